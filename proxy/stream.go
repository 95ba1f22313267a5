package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/memory"
)

const (
	// maxEventBytes bounds the size of one event of a stream.
	maxEventBytes = 1 << 20
	// largeEventBytes is the memory that an event of this size takes while its buffer grows.
	largeEventBytes = 2 * maxEventBytes
)

var (
	// errEventTooLarge means that an event exceeds maxEventBytes.
	errEventTooLarge = errors.New("event is too large")
	// errInsideEvent means that a stream ended before the end of an event.
	errInsideEvent = errors.New("stream ended inside an event")
	// errNoEvent means that a stream of numbered events goes on with other bytes.
	errNoEvent = errors.New("stream has bytes that are no event")
)

// passStream passes the events of a stream to the caller, each one as soon as it is complete. A stream that ends inside an
// event has broken off, and so has one without any event if only the end of its connection ends it.
func (r *run) passStream(response *http.Response, reply Reply, w *work) error {
	events := &eventReader{Reader: bufio.NewReader(response.Body), ctx: r.ctx, memory: r.x.Memory}
	defer events.release()
	controller := http.NewResponseController(r.x.Writer)
	passed, m := 0, move{}
	for {
		event, err := events.next()
		switch {
		case errors.Is(err, io.EOF) && (len(event) > 0 || passed == 0 && endsWithConnection(response)):
			return sendError(r.ctx, true, errInsideEvent)
		case errors.Is(err, io.EOF):
			return r.finishStream(reply)
		case err != nil:
			return sendError(r.ctx, true, err)
		}
		id := r.format.EventID(event)
		if id == "" && r.lastEventID != "" {
			return sendError(r.ctx, true, errNoEvent)
		}
		passed++
		heard := r.clock()
		w.heard(heard)
		r.countFirstEvent(w.engine)
		if err := r.writeEvent(event, id, reply, controller, !hasEvent(events.Reader)); err != nil {
			return err
		}
		w.Passed(r.clock().Sub(heard))
		if r.mustMove(w, &m) {
			r.logMove(w, &m)
			return departureError()
		}
	}
}

// hasEvent reports whether a whole further event has arrived, so that both can be passed on at once.
func hasEvent(reader *bufio.Reader) bool {
	arrived, err := reader.Peek(reader.Buffered())
	return err == nil && (bytes.Contains(arrived, []byte("\n\n")) || bytes.Contains(arrived, []byte("\r\n\r\n")))
}

// finishStream sends the status and headers of a stream that ended without any event.
func (r *run) finishStream(reply Reply) error {
	if !r.answerStarted {
		copyHeader(r.x.Writer.Header(), reply.Header)
		r.startAnswer(http.StatusOK)
	}
	return nil
}

func (r *run) writeEvent(
	event []byte, id string, reply Reply, controller *http.ResponseController, flush bool,
) error {
	if !r.answerStarted {
		copyHeader(r.x.Writer.Header(), reply.Header)
		r.x.Writer.Header().Del("Content-Length") // a resumed answer has another length
		r.startAnswer(http.StatusOK)
	}
	if err := controller.SetWriteDeadline(r.clock().Add(writeTimeout)); err != nil {
		return callerError(err)
	}
	if _, err := r.x.Writer.Write(event); err != nil {
		return callerError(err)
	}
	now := r.clock()
	if !r.lastEventAt.IsZero() {
		r.x.Gap = max(r.x.Gap, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
	r.x.Events++
	if id != "" {
		r.lastEventID = id
	}
	if !flush {
		return nil
	}
	if err := controller.Flush(); err != nil {
		return callerError(err)
	}
	return nil
}

// callerError returns the error for a failed write to the caller.
func callerError(err error) error {
	return &fault.TruncatedError{Err: fault.New(fault.Ran, fault.CodeCanceled, http.StatusBadGateway,
		"caller did not accept the answer").Wrap(err)}
}

// eventReader reads the events of a stream.
type eventReader struct {
	*bufio.Reader
	ctx    context.Context // bounds the wait for room
	memory *memory.Share
	large  bool // the event at hand holds memory of its own
}

// next reads one event up to and including the blank line that ends it. At the end of the stream it returns the
// remaining bytes with io.EOF. A large event waits for room for the largest one, so that events which wait for each other's
// room do not stop.
func (e *eventReader) next() ([]byte, error) {
	e.release()
	var event []byte
	for length := 0; ; {
		line, err := e.ReadSlice('\n')
		if !e.large && len(event)+len(line) > heldAnswerBytes {
			if err := e.memory.Wait(e.ctx, largeEventBytes); err != nil {
				return nil, err
			}
			e.large = true
		}
		event = append(event, line...)
		length += len(bytes.TrimRight(line, "\r\n"))
		switch {
		case len(event) > maxEventBytes:
			return nil, errEventTooLarge
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return event, err
		case length == 0:
			return event, nil
		}
		length = 0
	}
}

// release gives the memory of a large event back.
func (e *eventReader) release() {
	if e.large {
		e.memory.Shrink(largeEventBytes)
	}
	e.large = false
}
