package head

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/buckthorntrack/buckthorntrack/config"
)

// epochSnapshot counts its readers in two epochs, before and after the latest change, so that the resources of the old
// version could be released when its epoch has no readers.
type epochSnapshot struct {
	mu      sync.RWMutex
	config  *config.Config
	readers [2]atomic.Int64
	epoch   atomic.Int32
}

func (s *epochSnapshot) enter() (*config.Config, int32) {
	epoch := s.epoch.Load()
	s.readers[epoch].Add(1)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.config, epoch
}

func (s *epochSnapshot) leave(epoch int32) {
	s.readers[epoch].Add(-1)
}

// BenchmarkSnapshot compares ways to read the configuration in each request, with parallel readers.
func BenchmarkSnapshot(b *testing.B) {
	c := config.Empty()
	b.Run("pointer", func(b *testing.B) {
		var p atomic.Pointer[config.Config]
		p.Store(c)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				if p.Load().Revision != 0 {
					b.Error("wrong revision")
				}
			}
		})
	})
	b.Run("lock", func(b *testing.B) {
		var mu sync.RWMutex
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				mu.RLock()
				if c.Revision != 0 {
					b.Error("wrong revision")
				}
				mu.RUnlock()
			}
		})
	})
	b.Run("epoch", func(b *testing.B) {
		s := &epochSnapshot{config: c}
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				got, epoch := s.enter()
				if got.Revision != 0 {
					b.Error("wrong revision")
				}
				s.leave(epoch)
			}
		})
	})
}
