package send

import "sync"

const (
	// budgetReserve is the number of retries that a service may make before any success.
	budgetReserve = 10
	// budgetMax bounds the saved retries.
	budgetMax = 100
)

// budget is a token bucket of retries that successes fill.
type budget struct {
	mu    sync.Mutex
	level float64
}

func newBudget() *budget {
	return &budget{level: budgetReserve}
}

// succeed adds a part of a retry.
func (b *budget) succeed(part float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.level+part, budgetMax)
}

// take removes one retry, or returns false when none is left.
func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
