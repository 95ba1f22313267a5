// Package relay passes answers on to callers.
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

// Headers of answers.
const (
	HeaderVerdict  = "Buckthorntrack-Verdict"
	HeaderReplayed = "Buckthorntrack-Replayed"
)

// hopHeaders are the headers of an upstream that do not reach the caller.
var hopHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Date", "Upgrade", "Trailer"}

var (
	dataField = []byte("data: ")
	eventEnd  = []byte("\n\n")
)

// Observer is told of the tokens that reach callers, for metrics.
type Observer interface {
	FirstToken(x *flow.Exchange, after time.Duration)
	Gaps(x *flow.Exchange) func(gap time.Duration)
}

// Stage writes the answer.
type Stage struct {
	writeTimeout time.Duration
	observer     Observer
	clock        units.Clock
}

// New returns the stage. A caller that does not take a write within the timeout loses its answer.
func New(writeTimeout time.Duration, o Observer, clock units.Clock) *Stage {
	return &Stage{writeTimeout: writeTimeout, observer: o, clock: clock}
}

// String names the stage.
func (*Stage) String() string {
	return "relay"
}

// Run writes the answer to the caller.
func (s *Stage) Run(x *flow.Exchange) error {
	setHeaders(x.Writer.Header(), x)
	switch {
	case x.Answer.Events == nil:
		return s.plain(x)
	case x.Streams:
		defer x.Answer.Events.Close()
		return s.stream(x)
	default:
		defer x.Answer.Events.Close()
		return s.whole(x)
	}
}

// plain passes a whole answer on.
func (s *Stage) plain(x *flow.Exchange) error {
	header := x.Writer.Header()
	for name, values := range x.Answer.Header {
		header[name] = values
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
	setHeaders(header, x)
	_ = http.NewResponseController(x.Writer).SetWriteDeadline(s.clock().Add(s.writeTimeout))
	x.Writer.WriteHeader(x.Answer.Status)
	_, err := x.Writer.Write(x.Answer.Body)
	return callerFault(err)
}

// stream passes tokens on as they come.
func (s *Stage) stream(x *flow.Exchange) error {
	header := x.Writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	w := &eventWriter{stage: s, writer: x.Writer, control: http.NewResponseController(x.Writer)}
	gaps := &gapMeter{stage: s, x: x}
	for {
		event, err := x.Answer.Events.Next()
		if err != nil {
			return w.breakOff(x, err, gaps.tokens)
		}
		if err := w.event(event.Data, x.Answer.Events.Buffered()); err != nil {
			return callerFault(err)
		}
		if event.Done {
			return callerFault(w.flush())
		}
		gaps.token()
	}
}

// whole collects the tokens into one answer.
func (s *Stage) whole(x *flow.Exchange) error {
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
		gaps.token()
	}
	body, err := json.Marshal(newCompletion(x, text.String(), gaps.tokens))
	if err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	x.Answer = engine.Answer{Status: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}}, Body: body}
	return s.plain(x)
}

// eventWriter writes events to a caller that may be slow.
type eventWriter struct {
	stage    *Stage
	writer   http.ResponseWriter
	control  *http.ResponseController
	deadline time.Time
}

func (w *eventWriter) event(data []byte, more bool) error {
	w.extend()
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

// extend moves the write deadline on, but not for each token.
func (w *eventWriter) extend() {
	now := w.stage.clock()
	if w.deadline.Sub(now) > w.stage.writeTimeout/2 {
		return
	}
	w.deadline = now.Add(w.stage.writeTimeout)
	_ = w.control.SetWriteDeadline(w.deadline)
}

// breakOff ends a stream that cannot be completed. Without the end marker no caller takes it for whole.
func (w *eventWriter) breakOff(x *flow.Exchange, err error, tokens units.Tokens) error {
	if tokens == 0 {
		return err
	}
	body, marshalErr := json.Marshal(NewErrorBody(string(x.ID), fault.From(err)))
	if marshalErr == nil {
		_ = w.event(body, false)
	}
	return &fault.BrokenError{Err: err}
}

// gapMeter measures the times between tokens.
type gapMeter struct {
	stage  *Stage
	x      *flow.Exchange
	tokens units.Tokens
	last   time.Time
	gap    func(gap time.Duration)
}

func (g *gapMeter) token() {
	now := g.stage.clock()
	if g.tokens == 0 {
		g.x.Times.FirstToken = now
		g.stage.observer.FirstToken(g.x, now.Sub(g.x.Times.Started))
		g.gap = g.stage.observer.Gaps(g.x)
	} else {
		g.gap(now.Sub(g.last))
	}
	g.tokens++
	g.last = now
}

// ErrorBody is the body of an answer that tells of a failure.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is what a caller learns of a failure.
type ErrorDetail struct {
	Verdict   string `json:"verdict"`
	Code      string `json:"code"`
	Message   string `json:"message"`
	Field     string `json:"field,omitempty"`
	RequestID string `json:"requestId"`
}

// NewErrorBody returns the body for the failure of the request.
func NewErrorBody(id string, e *fault.Error) ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Verdict: e.Verdict.String(), Code: string(e.Code), Message: e.Message, Field: e.Field, RequestID: id,
	}}
}

// WriteError answers with the failure. The time to retry after is given in whole seconds.
func WriteError(w http.ResponseWriter, id string, err error) {
	WriteErrorWith(w, id, err, func(d time.Duration) string { return strconv.Itoa(int(math.Ceil(d.Seconds()))) })
}

// WriteErrorWith answers with the failure. The function formats the time to retry after.
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

// callerFault is the failure to write to the caller.
func callerFault(err error) error {
	if err == nil {
		return nil
	}
	return &fault.BrokenError{Err: fault.New(fault.Ran, fault.CodeCanceled, http.StatusGatewayTimeout,
		"caller does not take its answer").Wrap(err)}
}
