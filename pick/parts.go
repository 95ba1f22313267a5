package pick

import (
	"container/list"
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// partLife is how long a part that was read is believed to be cached; long prompts push others out in about that time.
const partLife = 20 * time.Second

// parts are the parts of prompts that an engine has read, the latest used first.
type parts struct {
	mu    sync.Mutex
	limit int
	order *list.List
	byID  map[PartID]*list.Element
}

type readPart struct {
	id   PartID
	used time.Time
}

func newParts(limit int) *parts {
	return &parts{limit: limit, order: list.New(), byID: map[PartID]*list.Element{}}
}

// add remembers that the engine has read the prompt. The last part belongs to one request and is left out.
func (p *parts) add(prompt []Part, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range Shared(prompt) {
		if element, ok := p.byID[part.ID]; ok {
			element.Value = readPart{id: part.ID, used: now}
			p.order.MoveToFront(element)
			continue
		}
		p.byID[part.ID] = p.order.PushFront(readPart{id: part.ID, used: now})
		if p.order.Len() > p.limit {
			oldest := p.order.Back()
			delete(p.byID, p.order.Remove(oldest).(readPart).id)
		}
	}
}

func (p *parts) cached(prompt []Part, now time.Time) units.Tokens {
	p.mu.Lock()
	defer p.mu.Unlock()
	var tokens units.Tokens
	for _, part := range Shared(prompt) {
		element, ok := p.byID[part.ID]
		if !ok || now.Sub(element.Value.(readPart).used) > partLife {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// Shared returns the parts that other requests may have in common with the prompt.
func Shared(prompt []Part) []Part {
	if len(prompt) == 0 {
		return nil
	}
	return prompt[:len(prompt)-1]
}

// Total returns the tokens of all parts.
func Total(prompt []Part) units.Tokens {
	var tokens units.Tokens
	for _, part := range prompt {
		tokens += part.Tokens
	}
	return tokens
}
