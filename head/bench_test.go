package head

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/buckthorntrack/buckthorntrack/config"
)

// pinned is a snapshot whose readers are counted in two classes, those before and after the latest change, so that
// what an old version owns could be retired when the older class is empty.
type pinned struct {
	mu      sync.RWMutex
	config  *config.Config
	readers [2]atomic.Int64
	class   atomic.Int32
}

func (p *pinned) enter() (*config.Config, int32) {
	class := p.class.Load()
	p.readers[class].Add(1)
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.config, class
}

func (p *pinned) leave(class int32) {
	p.readers[class].Add(-1)
}

// BenchmarkSnapshot compares ways for a request to read the configuration, on all processors at once.
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
	b.Run("pinned", func(b *testing.B) {
		p := &pinned{config: c}
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				got, class := p.enter()
				if got.Revision != 0 {
					b.Error("wrong revision")
				}
				p.leave(class)
			}
		})
	})
}
