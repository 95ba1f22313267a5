package epoch

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

const (
	// readInterval is the least interval between the starts of reads of a service.
	readInterval = 150 * time.Millisecond
	// readTimeout bounds one read of a record.
	readTimeout = 350 * time.Millisecond
)

// reader reads records on demand: one read of a service at a time, for all who wait when it starts.
type reader struct {
	read  func(ctx context.Context, service units.ServiceName) error
	clock units.Clock
	ctx   context.Context // done when the reader is closed
	loops conc.WaitGroup

	mu        sync.Mutex
	byService map[units.ServiceName]*serviceReads
}

// serviceReads holds the next read of a service, nil for none. It is guarded by reader.mu.
type serviceReads struct {
	next      *pendingRead
	running   bool
	startedAt time.Time // of the last read, or of the next one
}

// pendingRead is a read that has not started when it is returned.
type pendingRead struct {
	done chan struct{}
	err  error // set before done is closed
}

// newReader returns a reader, and a function that ends its reads.
func newReader(read func(ctx context.Context, service units.ServiceName) error, clock units.Clock) (*reader, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &reader{read: read, clock: clock, ctx: ctx, byService: map[units.ServiceName]*serviceReads{}}
	return r, func() {
		r.mu.Lock()
		cancel()
		r.mu.Unlock()
		r.loops.Wait()
	}
}

// request returns the next read of a service.
func (r *reader) request(service units.ServiceName) *pendingRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.ctx.Err(); err != nil {
		p := &pendingRead{done: make(chan struct{}), err: err}
		close(p.done)
		return p
	}
	s, ok := r.byService[service]
	if !ok {
		s = &serviceReads{}
		r.byService[service] = s
	}
	if s.next == nil {
		s.next = &pendingRead{done: make(chan struct{})}
	}
	if !s.running {
		s.running = true
		r.loops.Go(func() { r.run(service, s) })
	}
	return s.next
}

// run reads while there is a next read.
func (r *reader) run(service units.ServiceName, s *serviceReads) {
	for {
		r.mu.Lock()
		if s.next == nil {
			s.running = false
			r.mu.Unlock()
			return
		}
		now := r.clock()
		if at := s.startedAt.Add(readInterval); at.After(now) {
			s.startedAt = at
		} else {
			s.startedAt = now
		}
		delay := s.startedAt.Sub(now)
		r.mu.Unlock()
		wait.Sleep(r.ctx, delay)
		r.mu.Lock()
		p := s.next
		s.next = nil
		r.mu.Unlock()
		ctx, cancel := context.WithTimeout(r.ctx, readTimeout)
		p.err = r.read(ctx, service)
		cancel()
		close(p.done)
	}
}
