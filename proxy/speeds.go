package proxy

import (
	"sync"

	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// speeds holds the measured prefill speed of each service.
type speeds struct {
	mu        sync.Mutex
	byService map[units.ServiceName]*pick.PrefillEstimator
}

func (s *speeds) of(service units.ServiceName) *pick.PrefillEstimator {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.byService[service]
	if !ok {
		found = pick.NewPrefillEstimator()
		s.byService[service] = found
	}
	return found
}
