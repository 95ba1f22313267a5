package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// unreachedMemory is how long a failed connection to an engine speaks against the process's own path.
const unreachedMemory = 3 * time.Second

// pathEvidence decides which engines that this process does not reach are announced to others. A failed connection alone may
// be the fault of the own path. The engine is at fault if the process connects to other engines afterwards, or if others
// answer and it is the only one that the process does not reach.
type pathEvidence struct {
	count     atomic.Int32 // of unreached engines
	mu        sync.Mutex
	unreached map[incarnation]unreached
}

type incarnation struct {
	id        units.EngineName
	startedAt int64
}

// unreached is an engine whose last connection failed.
type unreached struct {
	engine   *pick.Engine
	failedAt time.Time
	until    time.Time // when this process tries it again
	told     bool      // other processes have been told
}

func newPathEvidence() *pathEvidence {
	return &pathEvidence{unreached: map[incarnation]unreached{}}
}

func incarnationOf(e *pick.Engine) incarnation {
	return incarnation{e.ID, e.StartedAt}
}

// failed records a connection to the engine that failed. The process avoids the engine until the given time.
func (p *pathEvidence) failed(e *pick.Engine, now, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	p.unreached[incarnationOf(e)] = unreached{engine: e, failedAt: now, until: until}
	p.count.Store(int32(len(p.unreached)))
}

// connected records a new connection to the engine, and returns the engines to announce.
func (p *pathEvidence) connected(e *pick.Engine, now time.Time) []unreached {
	if p.count.Load() == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	delete(p.unreached, incarnationOf(e))
	p.count.Store(int32(len(p.unreached)))
	return p.announce(now)
}

// answered records an answer of the engine over any connection, and returns the engines to announce.
func (p *pathEvidence) answered(e *pick.Engine, now time.Time) []unreached {
	if p.count.Load() == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	if _, same := p.unreached[incarnationOf(e)]; same || len(p.unreached) > 1 {
		return nil // connections may live on while the path for new ones is lost
	}
	return p.announce(now)
}

// announce returns the engines that other processes have not been told of. The lock must be held.
func (p *pathEvidence) announce(now time.Time) (announced []unreached) {
	for key, u := range p.unreached {
		if u.told || !now.Before(u.until) {
			continue
		}
		u.told = true
		p.unreached[key] = u
		announced = append(announced, u)
	}
	return announced
}

// expire forgets old failures. The lock must be held.
func (p *pathEvidence) expire(now time.Time) {
	for key, u := range p.unreached {
		if now.Sub(u.failedAt) > unreachedMemory {
			delete(p.unreached, key)
		}
	}
	p.count.Store(int32(len(p.unreached)))
}
