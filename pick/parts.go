package pick

import (
	"container/list"
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// partLifetime is how long a prefilled segment is assumed to stay cached; long prompts evict others in about that time.
const partLifetime = 20 * time.Second

// partCache is an LRU model of the prompt segments in an engine's KV cache.
type partCache struct {
	mu    sync.Mutex
	limit int
	byUse *list.List // most recently used first
	byID  map[PartID]*list.Element
}

type cachedPart struct {
	id   PartID
	used time.Time
}

func newPartCache(limit int) *partCache {
	return &partCache{limit: limit, byUse: list.New(), byID: map[PartID]*list.Element{}}
}

// add records segments that are in the KV cache.
func (p *partCache) add(parts []Part, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range parts {
		if element, ok := p.byID[part.ID]; ok {
			element.Value = cachedPart{id: part.ID, used: now}
			p.byUse.MoveToFront(element)
			continue
		}
		p.byID[part.ID] = p.byUse.PushFront(cachedPart{id: part.ID, used: now})
		if p.byUse.Len() > p.limit {
			oldest := p.byUse.Back()
			delete(p.byID, p.byUse.Remove(oldest).(cachedPart).id)
		}
	}
}

// cached returns the tokens of the leading segments that are assumed to be cached.
func (p *partCache) cached(prompt []Part, now time.Time) units.Tokens {
	p.mu.Lock()
	defer p.mu.Unlock()
	var tokens units.Tokens
	for _, part := range Shared(prompt) {
		element, ok := p.byID[part.ID]
		if !ok || now.Sub(element.Value.(cachedPart).used) > partLifetime {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// leading returns the number of leading segments that are assumed to be cached.
func (p *partCache) leading(ids []PartID, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, id := range ids {
		element, ok := p.byID[id]
		if !ok || now.Sub(element.Value.(cachedPart).used) > partLifetime {
			return i
		}
	}
	return len(ids)
}

// Shared returns the segments that other requests may share, which are all but the last one.
func Shared(prompt []Part) []Part {
	if len(prompt) == 0 {
		return nil
	}
	return prompt[:len(prompt)-1]
}

// Total returns the number of tokens of the prompt.
func Total(prompt []Part) units.Tokens {
	var tokens units.Tokens
	for _, part := range prompt {
		tokens += part.Tokens
	}
	return tokens
}
