package proxy

import (
	"sync"

	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// estimators holds the prefill time estimator of each service.
type estimators struct {
	mu        sync.Mutex
	byService map[units.ServiceName]*pick.PrefillEstimator
}

func (e *estimators) of(service units.ServiceName) *pick.PrefillEstimator {
	e.mu.Lock()
	defer e.mu.Unlock()
	found, ok := e.byService[service]
	if !ok {
		found = pick.NewPrefillEstimator()
		e.byService[service] = found
	}
	return found
}
