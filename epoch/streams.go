package epoch

import (
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// maxStreams bounds half of the streams that are remembered.
const maxStreams = 20000

// streams remembers the versions of streams for one to two lifetimes.
type streams struct {
	clock units.Clock

	mu       sync.Mutex
	current  map[uint64]units.SoftwareVersion
	previous map[uint64]units.SoftwareVersion
	since    time.Time // of current
}

func newStreams(clock units.Clock) *streams {
	return &streams{clock: clock, current: map[uint64]units.SoftwareVersion{}, since: clock()}
}

func (s *streams) put(stream uint64, version units.SoftwareVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.clock(); len(s.current) >= maxStreams || now.Sub(s.since) > Lifetime {
		s.previous, s.current, s.since = s.current, map[uint64]units.SoftwareVersion{}, now
	}
	s.current[stream] = version
}

func (s *streams) get(stream uint64) (units.SoftwareVersion, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version, ok := s.current[stream]; ok {
		return version, true
	}
	version, ok := s.previous[stream]
	return version, ok
}
