package objapi

import (
	"context"
	"sync"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// progress is how far the store is known to have come, by its answers.
type progress struct {
	mu     sync.Mutex
	era    units.Era     // latest that an answer named
	ended  chan struct{} // closed and replaced at each later era
	newest units.Version // greatest of the store or of an object in an answer
}

func newProgress() *progress {
	return &progress{ended: make(chan struct{})}
}

// recordEra records the era of an answer. It returns false if a later one is known.
func (p *progress) recordEra(era units.Era) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if era < p.era {
		return false
	}
	if era > p.era {
		p.era = era
		close(p.ended)
		p.ended = make(chan struct{})
	}
	return true
}

// awaitLater waits until a later era than the given one is known. It returns false if ctx ends first.
func (p *progress) awaitLater(ctx context.Context, era units.Era) bool {
	for {
		p.mu.Lock()
		known, ended := p.era, p.ended
		p.mu.Unlock()
		if known > era {
			return true
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return false
		}
	}
}

// record records versions of an answer.
func (p *progress) record(versions ...units.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, v := range versions {
		p.newest = max(p.newest, v)
	}
}

func (p *progress) latestEra() units.Era {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.era
}

func (p *progress) newestVersion() units.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newest
}
