package route

import "sync"

// maxPrefixes bounds the size of one engine's prefix index.
const maxPrefixes = 128

// prefixIndex is an approximate set of the prompt prefixes in an engine's cache. A full set evicts the oldest entry.
type prefixIndex struct {
	mu    sync.RWMutex
	known map[uint64]struct{}
	order []uint64
}

func (p *prefixIndex) has(prefix uint64) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	_, ok := p.known[prefix]
	return ok
}

func (p *prefixIndex) add(prefix uint64) {
	if prefix == 0 || p.has(prefix) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.known[prefix]; ok {
		return
	}
	if p.known == nil {
		p.known = map[uint64]struct{}{}
	}
	p.known[prefix] = struct{}{}
	p.order = append(p.order, prefix)
	if len(p.order) > maxPrefixes {
		delete(p.known, p.order[0])
		p.order = p.order[1:]
	}
}

func (p *prefixIndex) remove(prefix uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.known, prefix)
}

func (p *prefixIndex) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known, p.order = nil, nil
}
