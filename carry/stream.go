package carry

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/buckthorntrack/buckthorntrack/fault"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// errEventTooLarge means that an event exceeds maxEvent.
var errEventTooLarge = errors.New("event is too large")

// stream passes events on as they come, each one whole.
func (r *run) stream(response *http.Response, reply Reply, w *work) error {
	reader := bufio.NewReader(response.Body)
	controller := http.NewResponseController(r.x.Writer)
	for {
		event, err := readEvent(reader)
		if len(event) > 0 && (err == nil || errors.Is(err, io.EOF)) {
			w.promptRead(r.clock())
			if failed := r.event(event, reply, controller, reader.Buffered() == 0); failed != nil {
				return failed
			}
		}
		if errors.Is(err, io.EOF) {
			return r.streamEnd(reply)
		}
		if err != nil {
			return sendFault(r.ctx, true, err)
		}
	}
}

// streamEnd begins an answer that had no events.
func (r *run) streamEnd(reply Reply) error {
	if !r.begun {
		copyHeader(r.x.Writer.Header(), reply.Header)
		r.beginAnswer(http.StatusOK)
	}
	return nil
}

func (r *run) event(event []byte, reply Reply, controller *http.ResponseController, flush bool) error {
	if !r.begun {
		copyHeader(r.x.Writer.Header(), reply.Header)
		r.x.Writer.Header().Del("Content-Length") // an answer that is resumed has another length
		r.beginAnswer(http.StatusOK)
	}
	if err := controller.SetWriteDeadline(r.clock().Add(writeTimeout)); err != nil {
		return callerFault(err)
	}
	if _, err := r.x.Writer.Write(event); err != nil {
		return callerFault(err)
	}
	now := r.clock()
	if !r.lastAt.IsZero() {
		r.x.Gap = max(r.x.Gap, now.Sub(r.lastAt))
	}
	r.lastAt = now
	if id := r.format.EventID(event); id != "" {
		r.lastID = id
	}
	if !flush {
		return nil
	}
	if err := controller.Flush(); err != nil {
		return callerFault(err)
	}
	return nil
}

func callerFault(err error) error {
	return &fault.BrokenError{Err: fault.New(fault.Ran, fault.CodeCanceled, http.StatusBadGateway, "caller took no answer").Wrap(err)}
}

// readEvent reads up to the blank line that ends an event. At the end of the stream it returns what is left.
func readEvent(reader *bufio.Reader) ([]byte, error) {
	var event []byte
	for length := 0; ; {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		length += len(bytes.TrimRight(line, "\r\n"))
		switch {
		case len(event) > maxEvent:
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
