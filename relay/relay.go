// Package relay writes answers to callers.
package relay

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Headers that are added to answers.
const (
	HeaderVerdict  = "Buckthorntrack-Verdict"
	HeaderReplayed = "Buckthorntrack-Replayed"
)

// droppedHeaders are the headers of an upstream's answer that are not passed to the caller.
var droppedHeaders = []string{
	"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Date", "Upgrade", "Trailer",
}

var (
	dataField = []byte("data: ")
	eventEnd  = []byte("\n\n")
)

// Observer records metrics of the tokens that are written to callers.
type Observer interface {
	FirstToken(x *flow.Exchange, after time.Duration)
	// Gaps returns a function that records a gap between two tokens of the request.
	Gaps(x *flow.Exchange) func(gap time.Duration)
}

// Stage writes the answer of a request to its caller.
type Stage struct {
	writeTimeout time.Duration
	observer     Observer
	clock        units.Clock
}

// New returns the stage. The answer of a caller that does not accept a write within writeTimeout is aborted.
func New(writeTimeout time.Duration, o Observer, clock units.Clock) *Stage {
	return &Stage{writeTimeout: writeTimeout, observer: o, clock: clock}
}

// String returns the name of the stage.
func (*Stage) String() string {
	return "relay"
}

// Run writes the answer to the caller.
func (s *Stage) Run(x *flow.Exchange) error {
	setHeaders(x.Writer.Header(), x)
	switch {
	case x.Answer.Events == nil:
		return s.writeWhole(x)
	case x.Streams:
		defer x.Answer.Events.Close()
		return s.writeStream(x)
	default:
		defer x.Answer.Events.Close()
		return s.collectStream(x)
	}
}

// writeWhole writes a complete answer.
func (s *Stage) writeWhole(x *flow.Exchange) error {
	header := x.Writer.Header()
	for name, values := range x.Answer.Header {
		header[name] = values
	}
	for _, name := range droppedHeaders {
		header.Del(name)
	}
	setHeaders(header, x)
	_ = http.NewResponseController(x.Writer).SetWriteDeadline(s.clock().Add(s.writeTimeout))
	x.Writer.WriteHeader(x.Answer.Status)
	_, err := x.Writer.Write(x.Answer.Body)
	return callerError(err)
}

// writeStream writes each token as it arrives.
func (s *Stage) writeStream(x *flow.Exchange) error {
	header := x.Writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	w := &eventWriter{stage: s, writer: x.Writer, control: http.NewResponseController(x.Writer)}
	gaps := &gapMeter{stage: s, x: x}
	for {
		event, err := x.Answer.Events.Next()
		if err != nil {
			return w.abort(x, err, gaps.tokens)
		}
		if err := w.writeEvent(event.Data, x.Answer.Events.Buffered()); err != nil {
			return callerError(err)
		}
		if event.Done {
			return callerError(w.flush())
		}
		gaps.recordToken()
	}
}

// collectStream collects the tokens of a stream into one complete answer and writes it.
func (s *Stage) collectStream(x *flow.Exchange) error {
	var text strings.Builder
	gaps := &gapMeter{stage: s, x: x}
	for {
		event, err := x.Answer.Events.Next()
		if err != nil {
			return err
		}
		if event.Done {
			break
		}
		var chunk completionChunk
		if err := json.Unmarshal(event.Data, &chunk); err != nil {
			return fault.New(fault.Ran, fault.CodeUpstreamFailed, http.StatusBadGateway,
				"engine sent a malformed token").Wrap(err)
		}
		for _, c := range chunk.Choices {
			text.WriteString(c.Delta.Content)
		}
		gaps.recordToken()
	}
	body, err := json.Marshal(newCompletion(x, text.String(), gaps.tokens))
	if err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	x.Answer = engine.Answer{Status: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}}, Body: body}
	return s.writeWhole(x)
}

// eventWriter writes events to the caller, with a deadline for slow callers.
type eventWriter struct {
	stage    *Stage
	writer   http.ResponseWriter
	control  *http.ResponseController
	deadline time.Time
}

// writeEvent writes one event, and flushes it unless more events follow without delay.
func (w *eventWriter) writeEvent(data []byte, more bool) error {
	w.extendDeadline()
	if _, err := w.writer.Write(dataField); err != nil {
		return err
	}
	if _, err := w.writer.Write(data); err != nil {
		return err
	}
	if _, err := w.writer.Write(eventEnd); err != nil {
		return err
	}
	if more {
		return nil
	}
	return w.flush()
}

func (w *eventWriter) flush() error {
	return w.control.Flush()
}

// extendDeadline extends the write deadline once half of the timeout has passed, rather than for each token.
func (w *eventWriter) extendDeadline() {
	now := w.stage.clock()
	if w.deadline.Sub(now) > w.stage.writeTimeout/2 {
		return
	}
	w.deadline = now.Add(w.stage.writeTimeout)
	_ = w.control.SetWriteDeadline(w.deadline)
}

// abort ends a stream that cannot be completed with an error event. It writes no end marker, so that callers recognize
// the stream as incomplete. Before the first token it only returns the error.
func (w *eventWriter) abort(x *flow.Exchange, err error, tokens units.Tokens) error {
	if tokens == 0 {
		return err
	}
	body, marshalErr := json.Marshal(NewErrorBody(string(x.ID), fault.From(err)))
	if marshalErr == nil {
		_ = w.writeEvent(body, false)
	}
	return &fault.TruncatedError{Err: err}
}

// gapMeter measures the times between tokens.
type gapMeter struct {
	stage      *Stage
	x          *flow.Exchange
	tokens     units.Tokens
	last       time.Time
	observeGap func(gap time.Duration)
}

func (g *gapMeter) recordToken() {
	now := g.stage.clock()
	if g.tokens == 0 {
		g.x.Times.FirstToken = now
		g.stage.observer.FirstToken(g.x, now.Sub(g.x.Times.Started))
		g.observeGap = g.stage.observer.Gaps(g.x)
	} else {
		g.observeGap(now.Sub(g.last))
	}
	g.tokens++
	g.last = now
}

// ErrorBody is the body of an error answer.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes a failure to the caller.
type ErrorDetail struct {
	Verdict   string `json:"verdict"`
	Code      string `json:"code"`
	Message   string `json:"message"`
	Field     string `json:"field,omitempty"`
	RequestID string `json:"requestId"`
}

// NewErrorBody returns the error body for the request with the id.
func NewErrorBody(id string, e *fault.Error) ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Verdict: e.Verdict.String(), Code: string(e.Code), Message: e.Message, Field: e.Field, RequestID: id,
	}}
}

// WriteError writes an error answer, with Retry-After rounded up to whole seconds.
func WriteError(w http.ResponseWriter, id string, err error) {
	WriteErrorWith(w, id, err, func(d time.Duration) string { return strconv.Itoa(int(math.Ceil(d.Seconds()))) })
}

// WriteErrorWith writes an error answer. The function format returns the value of Retry-After.
func WriteErrorWith(w http.ResponseWriter, id string, err error, format func(time.Duration) string) {
	e := fault.From(err)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderVerdict, e.Verdict.String())
	if id != "" {
		header.Set(engine.HeaderRequestID, id)
	}
	if e.RetryAfter > 0 {
		header.Set("Retry-After", format(e.RetryAfter))
	}
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(NewErrorBody(id, e))
}

func setHeaders(h http.Header, x *flow.Exchange) {
	h.Set(engine.HeaderRequestID, string(x.ID))
	h.Set(HeaderVerdict, fault.Ran.String())
	if x.Replayed {
		h.Set(HeaderReplayed, "true")
	}
}

// callerError returns the error for a failed write to the caller, or nil if err is nil.
func callerError(err error) error {
	if err == nil {
		return nil
	}
	return &fault.TruncatedError{Err: fault.New(fault.Ran, fault.CodeCanceled, http.StatusGatewayTimeout,
		"caller did not accept the answer").Wrap(err)}
}
