package send

import "sync"

const (
	// initialRetries is the number of retries that are allowed before any success.
	initialRetries = 10
	// maxRetries bounds the retries that successes can accumulate.
	maxRetries = 100
)

// budget is the retry budget of a service: a token bucket that successes refill.
type budget struct {
	mu    sync.Mutex
	level float64
}

func newBudget() *budget {
	return &budget{level: initialRetries}
}

// addSuccess refills the budget by ratio retries.
func (b *budget) addSuccess(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.level+ratio, maxRetries)
}

// take removes one retry, or returns false if none is left.
func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
