package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/conns"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/fresh"
	"github.com/buckthorntrack/buckthorntrack/memory"
	"github.com/buckthorntrack/buckthorntrack/proxy"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

const (
	// memoryNumerator and memoryDenominator give the part of the process's memory that requests share. The rest is for connections
	// without a request, the collector and what the process knows.
	memoryNumerator, memoryDenominator = 1, 4
	// defaultBodyBytes is the body size limit if the configuration sets none.
	defaultBodyBytes = 4 << 20
	// heldBodyBytes is the part of a body for which a request has room from its start.
	heldBodyBytes = 16 << 10
	// bodyStep is the memory by which a body of unknown length grows.
	bodyStep = 256 << 10
	// usualLines is the number of header lines that RequestBytes covers, lineBytes the memory of each further one.
	usualLines, lineBytes = 64, 512
	// roomTimeout bounds the wait of a request for room. It is not read meanwhile.
	roomTimeout = 200 * time.Millisecond
	// stalledInterval is the interval at which stalled bodies are ended while a request waits for their room.
	stalledInterval = 10 * time.Millisecond
	// noRoomRetryAfter is the Retry-After time of a request that found no room.
	noRoomRetryAfter = 250 * time.Millisecond
)

// newMemory returns the memory that requests share, of a process that may use a number of megabytes.
func newMemory(megabytes int64) *memory.Budget {
	return memory.New(megabytes << 20 * memoryNumerator / memoryDenominator)
}

// parseStage parses the headers of a request.
type parseStage struct {
	format proxy.Format
}

// String implements stage.
func (*parseStage) String() string { return "parse" }

// Run implements stage.
func (s *parseStage) Run(x *proxy.Exchange) error {
	in, err := s.format.Inbound(x.Request)
	x.Inbound = in
	if err != nil {
		return fault.Bad("header", "%v", err)
	}
	return nil
}

// acceptStage reads the body of a request once there is room for it.
type acceptStage struct {
	*knowledge

	memory *memory.Budget
	slots  *memory.Budget // one for each request, as each has a connection to an engine
	guard  *conns.Guard
}

func newAcceptStage(k *knowledge, m *memory.Budget, g *conns.Guard, l config.Limits) *acceptStage {
	return &acceptStage{knowledge: k, memory: m, slots: memory.New(maxRequests(l)), guard: g}
}

// String implements stage.
func (*acceptStage) String() string { return "accept" }

// Run implements stage.
func (s *acceptStage) Run(x *proxy.Exchange) error {
	limit := bodyLimit(x.Config.Bounds.BodyBytes)
	if x.Request.ContentLength > limit {
		return s.errBodyTooLong(limit)
	}
	err := s.hold(x)
	if err == nil {
		x.Body, err = s.read(x, limit)
	}
	if err == nil && int64(len(x.Body)) <= limit {
		err = s.takeSlot(x)
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.Writer.Header().Set("Connection", "close")
		return fault.New(fault.NotRun, fault.CodeDeadline, http.StatusRequestTimeout, "body did not arrive in time").Wrap(err)
	case errors.Is(err, memory.ErrNoRoom):
		x.Writer.Header().Set("Connection", "close") // the body is not read
		return fault.Unavailable(fault.CodeOverloaded, noRoomRetryAfter, "no memory is left for the request").Wrap(err)
	case err != nil:
		return fault.New(fault.NotRun, fault.CodeBadRequest, http.StatusBadRequest, "body cannot be read").Wrap(err)
	case int64(len(x.Body)) > limit:
		return s.errBodyTooLong(limit)
	}
	return nil
}

// hold waits for the room that a request has from its start and for a body of known length. A request whose body is to come counts as large
// from its start, so that stalled bodies leave room for requests without.
func (s *acceptStage) hold(x *proxy.Exchange) (err error) {
	ctx, cancel := context.WithTimeout(x.Context, roomTimeout)
	defer cancel()
	bytes, length := proxy.RequestBytes+headBytes(x.Request.Header), x.Request.ContentLength
	if length < 0 || length > heldBodyBytes {
		x.Memory = s.memory.Share()
		err = s.waitForBody(ctx, x, bytes+max(length-heldBodyBytes, 0))
	} else {
		if s.memory.IsShort(bytes, false) {
			defer s.endStalled(ctx)()
		}
		x.Memory, err = s.memory.Hold(ctx, bytes)
	}
	conns.Admitted(x.Context)
	return err
}

// takeSlot waits for a place among the requests that run at once.
func (s *acceptStage) takeSlot(x *proxy.Exchange) (err error) {
	ctx, cancel := context.WithTimeout(x.Context, roomTimeout)
	defer cancel()
	x.Slot, err = s.slots.Hold(ctx, 1)
	return err
}

// endStalled ends the bodies that have stalled, the longest first, until the returned function is called.
func (s *acceptStage) endStalled(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	if s.guard.EndLongestBody() {
		go wait.Every(ctx, stalledInterval, func() { s.guard.EndLongestBody() })
	}
	return cancel
}

// waitForBody waits for room for a part of a body. Bodies that have stalled make it.
func (s *acceptStage) waitForBody(ctx context.Context, x *proxy.Exchange, bytes int64) error {
	if s.memory.IsShort(bytes, true) {
		defer s.endStalled(ctx)()
	}
	return x.Memory.Wait(ctx, bytes)
}

// headBytes returns the memory for a head of many lines, which RequestBytes does not cover. The copies for engines count too.
func headBytes(h http.Header) int64 {
	lines := 0
	for _, values := range h {
		lines += len(values)
	}
	return int64(max(lines-usualLines, 0)) * lineBytes
}

// errBodyTooLong returns the error for a request whose body exceeds the limit. It is refused for good only if no higher limit is in force
// or can be missing.
func (k *knowledge) errBodyTooLong(limit int64) error {
	if age := k.currentAge(); k.mayLackChanges(age) || bodyLimit(k.config().Bounds.BodyBytes) > limit {
		return fresh.Outdated("tell that it allows no such body")
	}
	return fault.New(fault.NotRun, fault.CodeTooLarge, http.StatusRequestEntityTooLarge, "body exceeds %d bytes", limit)
}

// brokenBodies holds the buffers of large bodies that were not read to their end. The collector would fall behind with clients that send
// half a body again and again, since the budget gives their room to others at once.
var brokenBodies sync.Pool

// newBody returns a buffer for a body of known length.
func newBody(length int64) []byte {
	if length >= bodyStep {
		if used, ok := brokenBodies.Get().(*[]byte); ok && int64(cap(*used)) >= length {
			return (*used)[:length]
		}
	}
	return make([]byte, length)
}

// read reads the body, up to one byte more than the limit. Memory is held for a body of known length.
func (s *acceptStage) read(x *proxy.Exchange, limit int64) ([]byte, error) {
	if length := x.Request.ContentLength; length >= 0 {
		body := newBody(length)
		if _, err := io.ReadFull(x.Request.Body, body); err != nil {
			if length >= bodyStep {
				brokenBodies.Put(&body) // nothing else refers to it
			}
			return nil, err
		}
		return body, nil
	}
	var body []byte
	for step := int64(heldBodyBytes); int64(len(body)) <= limit; step = bodyStep {
		if step > heldBodyBytes {
			if err := s.grow(x); err != nil {
				return nil, err
			}
		}
		part := make([]byte, min(step, limit+1-int64(len(body))))
		n, err := io.ReadFull(x.Request.Body, part)
		body = append(body, part[:n]...)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}

// grow holds memory for another part of a body of unknown length, twice as much as that is copied.
func (s *acceptStage) grow(x *proxy.Exchange) error {
	ctx, cancel := context.WithTimeout(x.Context, roomTimeout)
	defer cancel()
	return s.waitForBody(ctx, x, 2*bodyStep)
}
