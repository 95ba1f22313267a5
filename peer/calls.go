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

// streamWindow is the flow control window of a stream: the number of chunks the sender may be ahead of the reader.
const streamWindow = 256

var errWindowExceeded = errors.New("peer sent more chunks than the stream window allows")

// pendingCall is a call to the peer whose answer is not complete.
type pendingCall struct {
	link *Link
	id   uint64

	mu           sync.Mutex
	changed      chan struct{} // closed and replaced when a frame arrives or the call fails
	answer       *wire.Answer
	chunks       map[int64]wire.Chunk
	nextSequence int64
	consumed     int64
	failure      *fault.Error
}

// Send sends a call to the peer and waits for the head of the answer. An error has the verdict notRun only if no byte
// of the call can have been sent, or if the peer answered with that verdict.
func (l *Link) Send(ctx context.Context, c wire.Call) (engine.Answer, error) {
	p := l.startCall()
	if err := l.send(ctx, wire.Frame{CallID: p.id, Call: &c}); err != nil {
		l.removeCall(p.id)
		return engine.Answer{}, fault.Unavailable(fault.CodeNoUpstream, time.Second, "peer cannot be reached").Wrap(err)
	}
	head, err := p.head(ctx)
	if err != nil {
		p.cancel("caller left")
		return engine.Answer{}, err
	}
	if head.Failure != nil {
		l.removeCall(p.id)
		return engine.Answer{}, decodeFailure(*head.Failure)
	}
	answer := engine.Answer{Status: int(head.Status), Header: http.Header{}, Body: head.Body}
	for _, h := range head.Headers {
		answer.Header.Add(h.Name, h.Value)
	}
	if !head.Streams {
		l.removeCall(p.id)
		return answer, nil
	}
	answer.Events = &remoteEvents{pending: p, ctx: ctx}
	return answer, nil
}

// startCall registers a call under a new id.
func (l *Link) startCall() *pendingCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	p := &pendingCall{link: l, id: l.nextID, changed: make(chan struct{}), chunks: map[int64]wire.Chunk{}}
	l.pending[p.id] = p
	return p
}

func (l *Link) removeCall(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

// deliverReply passes an answer or chunk to its pending call. Frames without one are dropped.
func (l *Link) deliverReply(f wire.Frame) {
	l.mu.Lock()
	p := l.pending[f.CallID]
	l.mu.Unlock()
	if p == nil || !p.accept(f) {
		l.mesh.Traffic.Dropped.Add(1)
	}
}

// accept stores a frame of the answer. It returns false for a duplicate or a chunk beyond the stream window.
func (p *pendingCall) accept(f wire.Frame) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.notify()
	if f.Answer != nil {
		if p.answer != nil {
			return false
		}
		p.answer = f.Answer
		return true
	}
	sequence := f.Chunk.Sequence
	if _, duplicate := p.chunks[sequence]; duplicate || sequence < p.nextSequence {
		return false
	}
	if sequence >= p.nextSequence+streamWindow {
		p.failure = newLinkLostError().Wrap(errWindowExceeded)
		return false
	}
	p.chunks[sequence] = *f.Chunk
	return true
}

func (p *pendingCall) fail(e *fault.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failure == nil {
		p.failure = e
	}
	p.notify()
}

func (p *pendingCall) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// head waits for the first frame of the answer.
func (p *pendingCall) head(ctx context.Context) (*wire.Answer, error) {
	for {
		p.mu.Lock()
		answer, failure, changed := p.answer, p.failure, p.changed
		p.mu.Unlock()
		switch {
		case answer != nil:
			return answer, nil
		case failure != nil:
			return nil, failure
		}
		if err := waitFor(ctx, changed); err != nil {
			return nil, err
		}
	}
}

// chunk waits for the next chunk in sequence.
func (p *pendingCall) chunk(ctx context.Context) (wire.Chunk, error) {
	for {
		p.mu.Lock()
		c, ok := p.chunks[p.nextSequence]
		if ok {
			delete(p.chunks, p.nextSequence)
			p.nextSequence++
		}
		failure, changed := p.failure, p.changed
		p.mu.Unlock()
		switch {
		case ok:
			p.sendCredit()
			return c, nil
		case failure != nil:
			return wire.Chunk{}, failure
		}
		if err := waitFor(ctx, changed); err != nil {
			return wire.Chunk{}, err
		}
	}
}

// sendCredit counts a chunk that was read. It returns credit to the sender after each half window.
func (p *pendingCall) sendCredit() {
	p.consumed++
	if p.consumed%(streamWindow/2) == 0 {
		_ = p.link.send(context.Background(), wire.Frame{CallID: p.id, Credit: &wire.Credit{Chunks: streamWindow / 2}})
	}
}

// cancel removes the call and asks the peer to stop it.
func (p *pendingCall) cancel(why string) {
	p.link.removeCall(p.id)
	p.link.trySend(wire.Frame{CallID: p.id, Cancel: &wire.Cancel{Why: why}})
}

func waitFor(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return fault.New(fault.MayHaveRun, fault.CodeDeadline, http.StatusGatewayTimeout,
			"no answer from the peer in time").Wrap(ctx.Err())
	}
}

// remoteEvents implements engine.Events for a stream from a peer.
type remoteEvents struct {
	pending *pendingCall
	ctx     context.Context
	ended   bool
}

// Next implements engine.Events.
func (r *remoteEvents) Next() (engine.Event, error) {
	c, err := r.pending.chunk(r.ctx)
	if err != nil {
		return engine.Event{}, err
	}
	if c.Failure != nil {
		r.ended = true
		return engine.Event{}, decodeFailure(*c.Failure)
	}
	r.ended = c.Done
	return engine.Event{Index: units.Tokens(c.Index), Data: c.Data, Done: c.Done}, nil
}

// Buffered reports whether the next event has arrived.
func (r *remoteEvents) Buffered() bool {
	r.pending.mu.Lock()
	defer r.pending.mu.Unlock()
	_, ok := r.pending.chunks[r.pending.nextSequence]
	return ok
}

// Close cancels the call at the peer unless the stream has ended.
func (r *remoteEvents) Close() {
	if r.ended {
		r.pending.link.removeCall(r.pending.id)
		return
	}
	r.pending.cancel("stream closed")
}

// servedCall is a call of the peer that runs here.
type servedCall struct {
	cancel context.CancelFunc
	credit chan int64
}

// serve runs the handler for a call of the peer. A duplicate call is dropped.
func (l *Link) serve(id uint64, c wire.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(c.DeadlineMS)*time.Millisecond)
	s := &servedCall{cancel: cancel, credit: make(chan int64, streamWindow)}
	l.mu.Lock()
	_, duplicate := l.served[id]
	if !duplicate {
		l.served[id] = s
	}
	l.mu.Unlock()
	if duplicate {
		cancel()
		l.mesh.Traffic.Dropped.Add(1)
		return
	}
	l.wg.Go(func() {
		defer l.endServedCall(id, cancel)
		answer, err := l.mesh.handler(ctx, c)
		l.sendAnswer(ctx, id, s, answer, err)
	})
}

// sendAnswer sends the head of the answer, or its failure, and then its events.
func (l *Link) sendAnswer(ctx context.Context, id uint64, s *servedCall, answer engine.Answer, err error) {
	if err != nil {
		_ = l.send(ctx, wire.Frame{CallID: id, Answer: &wire.Answer{Failure: encodeFailure(err)}})
		return
	}
	head := &wire.Answer{Status: int64(answer.Status), Body: answer.Body, Streams: answer.Events != nil}
	for name, values := range answer.Header {
		for _, v := range values {
			head.Headers = append(head.Headers, wire.Header{Name: name, Value: v})
		}
	}
	if err := l.send(ctx, wire.Frame{CallID: id, Answer: head}); err != nil || answer.Events == nil {
		return
	}
	defer answer.Events.Close()
	l.sendEvents(ctx, id, s, answer.Events)
}

// sendEvents sends the events of a stream as chunks, as far as the reader's credit allows.
func (l *Link) sendEvents(ctx context.Context, id uint64, s *servedCall, events engine.Events) {
	credit := int64(streamWindow)
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
			chunk.Failure = encodeFailure(err)
		} else {
			chunk.Index = int64(event.Index)
			chunk.Data = append([]byte(nil), event.Data...)
			chunk.Done = event.Done
		}
		if l.send(ctx, wire.Frame{CallID: id, Chunk: &chunk}) != nil || err != nil || event.Done {
			return
		}
	}
}

func (l *Link) endServedCall(id uint64, cancel context.CancelFunc) {
	cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.served, id)
}

func (l *Link) cancelServedCall(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.served[id]; ok {
		s.cancel()
	}
}

func (l *Link) addCredit(id uint64, chunks int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.served[id]; ok && chunks > 0 {
		select {
		case s.credit <- chunks:
		default:
		}
	}
}

func encodeFailure(err error) *wire.Failure {
	e := fault.From(err)
	return &wire.Failure{
		Verdict: e.Verdict.String(), Code: string(e.Code), Status: int64(e.Status), Message: e.Message,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	}
}

func decodeFailure(f wire.Failure) *fault.Error {
	e := fault.New(fault.ParseVerdict(f.Verdict), fault.Code(f.Code), int(f.Status), "%s", f.Message)
	e.RetryAfter = time.Duration(f.RetryAfterMS) * time.Millisecond
	return e
}
