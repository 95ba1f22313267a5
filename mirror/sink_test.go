package mirror

import (
	"sync"
	"testing"

	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// recordingSink keeps the objects, and checks that none comes back in an older version.
type recordingSink struct {
	t  *testing.T
	mu sync.Mutex
	objapi.Change
	objects map[string]units.Version
	newest  map[string]units.Version
	lost    bool
}

// Replace implements Sink.
func (s *recordingSink) Replace(c objapi.Change) {
	s.mu.Lock()
	clear(s.objects)
	s.mu.Unlock()
	s.Apply(c)
}

// Apply implements Sink.
func (s *recordingSink) Apply(c objapi.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Version < s.Version {
		s.t.Errorf("version %d after %d", c.Version, s.Version)
	}
	s.Version = c.Version
	for _, o := range c.Objects {
		if o.Version < s.newest[o.Key] {
			s.t.Errorf("object %s is back at version %d after %d", o.Key, o.Version, s.newest[o.Key])
		}
		s.objects[o.Key], s.newest[o.Key] = o.Version, o.Version
	}
	for _, key := range c.Deleted {
		delete(s.objects, key)
	}
}

// SetOutage implements Sink.
func (s *recordingSink) SetOutage(o Outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = o.Lost
}

func (s *recordingSink) isLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

func (s *recordingSink) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.objects[key]
	return ok
}
