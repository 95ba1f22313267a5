package front

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/buckthorntrack/buckthorntrack/carry"
	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/relay"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// stage is one step on the way of a request.
type stage interface {
	String() string
	// Run passes the request on by returning nil, or ends it with an error that carries a verdict.
	Run(x *carry.Exchange) error
}

// line is the list of stages in their order.
type line []stage

func (l line) run(x *carry.Exchange) error {
	for _, s := range l {
		if err := s.Run(x); err != nil {
			return err
		}
	}
	return nil
}

// unknownConfigRetry is the time after which a caller may find the configuration read.
const unknownConfigRetry = 300 * time.Millisecond

// handle takes one request of a caller through the stages.
func (p *Process) handle(w http.ResponseWriter, r *http.Request) {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	if p.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &carry.Exchange{Context: r.Context(), Writer: w, Request: r, Config: p.config.Load(), Started: p.clock()}
	err := p.runLine(x)
	p.ended(x, err)
	if err == nil {
		return
	}
	var broken *fault.BrokenError
	if errors.As(err, &broken) {
		panic(http.ErrAbortHandler)
	}
	relay.WriteErrorWith(w, string(x.Inbound.ID), err, p.format.RetryAfter)
}

// runLine turns a panic of a stage into an error of this one request.
func (p *Process) runLine(x *carry.Exchange) (err error) {
	defer func() {
		if r := recover(); r != nil {
			p.log.Error().Str("request", string(x.Inbound.ID)).Interface("panic", r).Msg("front: request panicked")
			err = fault.New(fault.MayHaveRun, fault.CodeInternal, http.StatusInternalServerError, "internal error")
		}
	}()
	if x.Config == nil {
		return fault.Unavailable(fault.CodePlatformOut, unknownConfigRetry, "no configuration is known yet")
	}
	return p.line.run(x)
}

// ended counts and logs the outcome.
func (p *Process) ended(x *carry.Exchange, err error) {
	now := p.clock()
	verdict, code := fault.Ran, fault.Code("")
	status := x.Status
	if err != nil {
		e := fault.From(err)
		verdict, code = e.Verdict, e.Code
		if status == 0 {
			status = e.Status
		}
	}
	class := classOf(x.Route)
	p.metrics.ended(class, verdict, code, x, now)
	event := p.log.Info()
	route, version := "", units.Revision(0)
	if x.Route != nil {
		route = x.Route.Name
	}
	if x.Config != nil {
		version = x.Config.Revision
	}
	if !x.First.IsZero() {
		event.Int64("firstMs", x.First.Sub(x.Started).Milliseconds()).Int64("gapMs", x.Gap.Milliseconds())
	}
	event.Str("request", string(x.Inbound.ID)).Str("route", route).Str("class", class).Int("status", status).
		Str("verdict", verdict.String()).Str("code", string(code)).Int("sends", x.Sends).
		Int64("tookMs", now.Sub(x.Started).Milliseconds()).Int64("configVersion", int64(version)).
		Err(err).Msg("front: request ended")
}

// classOf names the class of a route's requests for metrics: routes may be many, kinds and priorities are few.
func classOf(r *config.Route) string {
	if r == nil {
		return "none"
	}
	return r.Kind + priorityNames[min(max(int(-r.Priority), 0), len(priorityNames)-1)]
}

var priorityNames = [...]string{"0", "1", "2", "3", "4", "5", "6", "7", "8", "9"}

// acceptStage reads the request whole.
type acceptStage struct {
	format carry.Format
}

// String implements stage.
func (*acceptStage) String() string { return "accept" }

// Run implements stage.
func (s *acceptStage) Run(x *carry.Exchange) error {
	in, err := s.format.Inbound(x.Request)
	x.Inbound = in
	if err != nil {
		return fault.Bad("header", "%v", err)
	}
	limit := x.Config.Bounds.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	body, err := io.ReadAll(io.LimitReader(x.Request.Body, limit+1))
	if err != nil {
		return fault.New(fault.NotRun, fault.CodeBadRequest, http.StatusBadRequest, "body cannot be read").Wrap(err)
	}
	if int64(len(body)) > limit {
		return fault.New(fault.NotRun, fault.CodeTooLarge, http.StatusRequestEntityTooLarge, "body exceeds %d bytes", limit)
	}
	x.Body = body
	return nil
}

// defaultBody bounds a body when the configuration does not.
const defaultBody = 4 << 20

// matchStage finds the route and the time for the answer.
type matchStage struct {
	clock units.Clock
}

// String implements stage.
func (*matchStage) String() string { return "match" }

// Run implements stage.
func (s *matchStage) Run(x *carry.Exchange) error {
	path, _, _ := strings.Cut(x.Request.RequestURI, "?")
	x.Route = x.Config.RouteFor(x.Request.Host, path)
	if x.Route == nil {
		return fault.New(fault.NotRun, fault.CodeUnknownService, http.StatusNotFound, "no route matches host and path")
	}
	name := x.Route.Pick(drawOf(x.Inbound.ID))
	x.Service = x.Config.Services[name]
	x.Deadline = x.Started.Add(x.Route.Timeout)
	if x.Inbound.Wait > 0 && x.Inbound.Wait < x.Route.Timeout {
		x.Deadline = x.Started.Add(x.Inbound.Wait)
	}
	return x.Context.Err()
}
