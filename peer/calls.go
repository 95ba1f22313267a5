package peer

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

// window is the number of chunks that the sender of a stream may be ahead of its reader.
const window = 256

var errWindow = errors.New("peer sent more chunks than its window")

// pending is a call that waits for its answer.
type pending struct {
	link *Link
	id   uint64

	mu       sync.Mutex
	ready    chan struct{} // closed and replaced at each change
	answer   *wire.Answer
	chunks   map[int64]wire.Chunk
	next     int64
	consumed int64
	failure  *fault.Error
}

// Send passes a call on to the peer. The verdict of an error is notRun only if no byte of the call
// can have left, or the peer says so.
func (l *Link) Send(ctx context.Context, c wire.Call) (engine.Answer, error) {
	p := l.register()
	if err := l.post(ctx, wire.Frame{CallID: p.id, Call: &c}); err != nil {
		l.forget(p.id)
		return engine.Answer{}, fault.Unavailable(fault.CodeNoUpstream, time.Second, "peer cannot be reached").Wrap(err)
	}
	head, err := p.head(ctx)
	if err != nil {
		p.cancel("caller left")
		return engine.Answer{}, err
	}
	if head.Failure != nil {
		l.forget(p.id)
		return engine.Answer{}, failureOf(*head.Failure)
	}
	answer := engine.Answer{Status: int(head.Status), Header: http.Header{}, Body: head.Body}
	for _, h := range head.Headers {
		answer.Header.Add(h.Name, h.Value)
	}
	if !head.Streams {
		l.forget(p.id)
		return answer, nil
	}
	answer.Events = &remoteEvents{pending: p, ctx: ctx}
	return answer, nil
}

func (l *Link) register() *pending {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	p := &pending{link: l, id: l.nextID, ready: make(chan struct{}), chunks: map[int64]wire.Chunk{}}
	l.pending[p.id] = p
	return p
}

func (l *Link) forget(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

// deliver hands an answer or chunk to the call that waits for it. Without a waiter it is dropped.
func (l *Link) deliver(f wire.Frame) {
	l.mu.Lock()
	p := l.pending[f.CallID]
	l.mu.Unlock()
	if p == nil || !p.take(f) {
		l.mesh.Traffic.Dropped.Add(1)
	}
}

// take stores a frame of the answer. It returns false for a duplicate.
func (p *pending) take(f wire.Frame) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.signal()
	if f.Answer != nil {
		if p.answer != nil {
			return false
		}
		p.answer = f.Answer
		return true
	}
	sequence := f.Chunk.Sequence
	if _, twice := p.chunks[sequence]; twice || sequence < p.next {
		return false
	}
	if sequence >= p.next+window {
		p.failure = linkFault().Wrap(errWindow)
		return false
	}
	p.chunks[sequence] = *f.Chunk
	return true
}

func (p *pending) fail(e *fault.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failure == nil {
		p.failure = e
	}
	p.signal()
}

func (p *pending) signal() {
	close(p.ready)
	p.ready = make(chan struct{})
}

// head waits for the head of the answer.
func (p *pending) head(ctx context.Context) (*wire.Answer, error) {
	for {
		p.mu.Lock()
		answer, failure, ready := p.answer, p.failure, p.ready
		p.mu.Unlock()
		switch {
		case answer != nil:
			return answer, nil
		case failure != nil:
			return nil, failure
		}
		if err := waitFor(ctx, ready); err != nil {
			return nil, err
		}
	}
}

// chunk waits for the next chunk in order.
func (p *pending) chunk(ctx context.Context) (wire.Chunk, error) {
	for {
		p.mu.Lock()
		c, ok := p.chunks[p.next]
		if ok {
			delete(p.chunks, p.next)
			p.next++
		}
		failure, ready := p.failure, p.ready
		p.mu.Unlock()
		switch {
		case ok:
			p.credit()
			return c, nil
		case failure != nil:
			return wire.Chunk{}, failure
		}
		if err := waitFor(ctx, ready); err != nil {
			return wire.Chunk{}, err
		}
	}
}

// credit lets the sender go on when half of its window was read.
func (p *pending) credit() {
	p.consumed++
	if p.consumed%(window/2) == 0 {
		_ = p.link.post(context.Background(), wire.Frame{CallID: p.id, Credit: &wire.Credit{Chunks: window / 2}})
	}
}

func (p *pending) cancel(why string) {
	p.link.forget(p.id)
	p.link.tryPost(wire.Frame{CallID: p.id, Cancel: &wire.Cancel{Why: why}})
}

func waitFor(ctx context.Context, ready <-chan struct{}) error {
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		return fault.New(fault.MayHaveRun, fault.CodeDeadline, http.StatusGatewayTimeout,
			"no answer from the peer in time").Wrap(ctx.Err())
	}
}

// remoteEvents is a stream of tokens that a peer passes on.
type remoteEvents struct {
	pending *pending
	ctx     context.Context
	ended   bool
}

// Next returns the next event.
func (r *remoteEvents) Next() (engine.Event, error) {
	c, err := r.pending.chunk(r.ctx)
	if err != nil {
		return engine.Event{}, err
	}
	if c.Failure != nil {
		r.ended = true
		return engine.Event{}, failureOf(*c.Failure)
	}
	r.ended = c.Done
	return engine.Event{Index: units.Tokens(c.Index), Data: c.Data, Done: c.Done}, nil
}

// Buffered reports whether the next event has arrived.
func (r *remoteEvents) Buffered() bool {
	r.pending.mu.Lock()
	defer r.pending.mu.Unlock()
	_, ok := r.pending.chunks[r.pending.next]
	return ok
}

// Close cancels the call at the peer unless it has ended.
func (r *remoteEvents) Close() {
	if r.ended {
		r.pending.link.forget(r.pending.id)
		return
	}
	r.pending.cancel("stream closed")
}

// serving is a call that runs for a peer.
type serving struct {
	cancel context.CancelFunc
	credit chan int64
}

// serve runs a call of the peer.
func (l *Link) serve(id uint64, c wire.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(c.DeadlineMS)*time.Millisecond)
	s := &serving{cancel: cancel, credit: make(chan int64, window)}
	l.mu.Lock()
	_, twice := l.serving[id]
	if !twice {
		l.serving[id] = s
	}
	l.mu.Unlock()
	if twice {
		cancel()
		l.mesh.Traffic.Dropped.Add(1)
		return
	}
	l.wg.Go(func() {
		defer l.endServing(id, cancel)
		answer, err := l.mesh.handler(ctx, c)
		l.reply(ctx, id, s, answer, err)
	})
}

func (l *Link) reply(ctx context.Context, id uint64, s *serving, answer engine.Answer, err error) {
	if err != nil {
		_ = l.post(ctx, wire.Frame{CallID: id, Answer: &wire.Answer{Failure: failureFor(err)}})
		return
	}
	head := &wire.Answer{Status: int64(answer.Status), Body: answer.Body, Streams: answer.Events != nil}
	for name, values := range answer.Header {
		for _, v := range values {
			head.Headers = append(head.Headers, wire.Header{Name: name, Value: v})
		}
	}
	if err := l.post(ctx, wire.Frame{CallID: id, Answer: head}); err != nil || answer.Events == nil {
		return
	}
	defer answer.Events.Close()
	l.pump(ctx, id, s, answer.Events)
}

// pump passes the events of a stream on, no faster than the reader's credit allows.
func (l *Link) pump(ctx context.Context, id uint64, s *serving, events engine.Events) {
	credit := int64(window)
	for sequence := int64(0); ; sequence++ {
		for credit == 0 {
			select {
			case n := <-s.credit:
				credit += n
			case <-ctx.Done():
				return
			case <-l.done:
				return
			}
		}
		credit--
		chunk := wire.Chunk{Sequence: sequence}
		event, err := events.Next()
		if err != nil {
			chunk.Failure = failureFor(err)
		} else {
			chunk.Index = int64(event.Index)
			chunk.Data = append([]byte(nil), event.Data...)
			chunk.Done = event.Done
		}
		if l.post(ctx, wire.Frame{CallID: id, Chunk: &chunk}) != nil || err != nil || event.Done {
			return
		}
	}
}

func (l *Link) endServing(id uint64, cancel context.CancelFunc) {
	cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.serving, id)
}

func (l *Link) cancelServing(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.serving[id]; ok {
		s.cancel()
	}
}

func (l *Link) creditServing(id uint64, chunks int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.serving[id]; ok && chunks > 0 {
		select {
		case s.credit <- chunks:
		default:
		}
	}
}

func failureFor(err error) *wire.Failure {
	e := fault.From(err)
	return &wire.Failure{
		Verdict: e.Verdict.String(), Code: string(e.Code), Status: int64(e.Status), Message: e.Message,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	}
}

func failureOf(f wire.Failure) *fault.Error {
	e := fault.New(fault.ParseVerdict(f.Verdict), fault.Code(f.Code), int(f.Status), "%s", f.Message)
	e.RetryAfter = time.Duration(f.RetryAfterMS) * time.Millisecond
	return e
}
