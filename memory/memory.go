// Package memory bounds the bytes that the requests of a process hold together.
package memory

import (
	"context"
	"errors"
	"slices"
	"sync"
)

// ErrNoRoom means that a request found no room in time.
var ErrNoRoom = errors.New("memory for requests is used up")

// smallPart is the part of a Budget that is left to what each request holds from its start.
const smallPart = 4

// Budget is the memory that requests share. What each holds from its start may take all of it, large bodies and answers only a part, so
// that small requests are served beside them. Those that wait get room in their order.
type Budget struct {
	limit int64

	mu   sync.Mutex
	used int64
	// small and large hold those that wait, in their order. Small ones go first: they fit where large ones do not.
	small, large queue
}

// queue holds waiters that may hold bytes up to a limit.
type queue struct {
	limit   int64
	waiting []*waiter
}

// waiter waits for bytes.
type waiter struct {
	bytes   int64
	granted chan struct{}
}

// New returns a Budget of a number of bytes.
func New(bytes int64) *Budget {
	return &Budget{limit: bytes, small: queue{limit: bytes}, large: queue{limit: bytes - bytes/smallPart}}
}

// Used returns the number of bytes that are held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Limit returns the number of bytes that may be held.
func (b *Budget) Limit() int64 {
	return b.limit
}

// Hold waits until a new request may hold a number of bytes. Errors wrap ErrNoRoom. The share must be released.
func (b *Budget) Hold(ctx context.Context, bytes int64) (*Share, error) {
	s := &Share{budget: b}
	return s, s.take(ctx, bytes, &b.small)
}

// Share returns a share that holds nothing yet.
func (b *Budget) Share() *Share {
	return &Share{budget: b}
}

// TryHold returns a share of a number of bytes, or false if there is no room for it now.
func (b *Budget) TryHold(bytes int64) (*Share, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.small.waiting) > 0 || b.used+bytes > b.small.limit {
		return nil, false
	}
	b.used += bytes
	return &Share{budget: b, held: bytes}, true
}

// IsShort reports whether a number of bytes would have to wait, as a large part or as what a request holds from its start.
func (b *Budget) IsShort(bytes int64, large bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := &b.small
	if large {
		q = &b.large
	}
	return bytes > 0 && (len(q.waiting) > 0 || b.used+bytes > q.limit)
}

// take waits in a queue for the bytes.
func (b *Budget) take(ctx context.Context, bytes int64, q *queue) error {
	b.mu.Lock()
	if len(q.waiting) == 0 && b.used+bytes <= q.limit {
		b.used += bytes
		b.mu.Unlock()
		return nil
	}
	if ctx.Err() != nil || bytes > q.limit {
		b.mu.Unlock()
		return ErrNoRoom
	}
	w := &waiter{bytes: bytes, granted: make(chan struct{})}
	q.waiting = append(q.waiting, w)
	b.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(q.waiting, w)
	if i < 0 {
		return nil // granted meanwhile
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	b.grant() // to those behind it
	return ErrNoRoom
}

// try takes the bytes if there is room for them now, and nobody waits for it.
func (b *Budget) try(bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.large.waiting) > 0 || b.used+bytes > b.large.limit {
		return false
	}
	b.used += bytes
	return true
}

func (b *Budget) give(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
	b.grant()
}

// grant gives room to those that wait. The lock must be held.
func (b *Budget) grant() {
	for _, q := range []*queue{&b.small, &b.large} {
		for len(q.waiting) > 0 && b.used+q.waiting[0].bytes <= q.limit {
			b.used += q.waiting[0].bytes
			close(q.waiting[0].granted)
			q.waiting = q.waiting[1:]
		}
	}
}

// Share is what one request holds. Its methods are not safe for concurrent use. A nil Share is not bounded.
type Share struct {
	budget *Budget
	held   int64
}

func (s *Share) take(ctx context.Context, bytes int64, q *queue) error {
	if err := s.budget.take(ctx, bytes, q); err != nil {
		return err
	}
	s.held += bytes
	return nil
}

// Wait waits until the request may hold more bytes for a large part. Errors wrap ErrNoRoom.
func (s *Share) Wait(ctx context.Context, bytes int64) error {
	if s == nil || bytes <= 0 {
		return nil
	}
	return s.take(ctx, bytes, &s.budget.large)
}

// Grow reports whether the request may hold more bytes for a large part now.
func (s *Share) Grow(bytes int64) bool {
	if s == nil {
		return true
	}
	if !s.budget.try(bytes) {
		return false
	}
	s.held += bytes
	return true
}

// Shrink gives bytes back.
func (s *Share) Shrink(bytes int64) {
	if s == nil {
		return
	}
	s.held -= bytes
	s.budget.give(bytes)
}

// Release gives all bytes back.
func (s *Share) Release() {
	if s != nil && s.held > 0 {
		s.Shrink(s.held)
	}
}
