package carry

import (
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// firstPrefillRate is the prompt tokens a second that are assumed before one was measured.
	firstPrefillRate = 60000
	// rateWeight is the weight of a new sample in the running mean.
	rateWeight = 0.1
	// leastSample is the number of tokens below which the time to read says little of the rate.
	leastSample units.Tokens = 1500
	// The bounds keep a few odd samples from turning the estimate over.
	leastRate, mostRate = 10000, 500000
)

// rates are the speeds of services that were measured on their answers.
type rates struct {
	mu        sync.Mutex
	byService map[units.ServiceName]pick.Rates
}

func (r *rates) of(service units.ServiceName) pick.Rates {
	r.mu.Lock()
	defer r.mu.Unlock()
	found, ok := r.byService[service]
	if !ok {
		return pick.Rates{Prefill: firstPrefillRate}
	}
	return found
}

// sample takes the time that an otherwise idle engine took to read the tokens.
func (r *rates) sample(service units.ServiceName, tokens units.Tokens, took time.Duration) {
	if tokens < leastSample || took <= 0 {
		return
	}
	current := r.of(service)
	measured := min(max(float64(tokens)/took.Seconds(), leastRate), mostRate)
	r.mu.Lock()
	defer r.mu.Unlock()
	current.Prefill += rateWeight * (measured - current.Prefill)
	r.byService[service] = current
}
