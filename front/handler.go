package front

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/fresh"
	"github.com/buckthorntrack/buckthorntrack/proxy"
	"github.com/buckthorntrack/buckthorntrack/relay"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// stage is one step in the processing of a request.
type stage interface {
	String() string
	// Run returns nil to continue with the next stage, or an error with a verdict to end the request.
	Run(x *proxy.Exchange) error
}

// pipeline is a list of stages that run in order.
type pipeline []stage

func (p pipeline) run(x *proxy.Exchange) error {
	for _, s := range p {
		if err := s.Run(x); err != nil {
			return err
		}
	}
	return nil
}

// noConfigRetryAfter is the Retry-After time of answers sent before a configuration has been read.
const noConfigRetryAfter = 300 * time.Millisecond

// stoppingRetryAfter is the Retry-After time of a stopping process; the caller's next connection goes to another one.
const stoppingRetryAfter = 50 * time.Millisecond

// handle runs the pipeline for one request. For a truncated answer it aborts the connection.
func (p *Process) handle(w http.ResponseWriter, r *http.Request) {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	p.lastRequestAt.Store(int64(p.uptime()))
	x := &proxy.Exchange{Context: r.Context(), Writer: w, Request: r, Config: p.config.Load(), Started: p.clock()}
	if p.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	err := p.runPipeline(x)
	x.Memory.Release()
	x.Slot.Release()
	p.recordOutcome(x, err)
	if err == nil {
		return
	}
	var truncated *fault.TruncatedError
	if errors.As(err, &truncated) {
		panic(http.ErrAbortHandler)
	}
	relay.WriteErrorWith(w, string(x.Inbound.ID), err, p.format.RetryAfter)
}

// runPipeline runs the stages, and turns a panic into an error of this request.
func (p *Process) runPipeline(x *proxy.Exchange) (err error) {
	defer func() {
		if r := recover(); r != nil {
			p.log.Error().Str("request", string(x.Inbound.ID)).Interface("panic", r).Msg("front: request panicked")
			err = fault.New(fault.MayHaveRun, fault.CodeInternal, http.StatusInternalServerError, "internal error")
		}
	}()
	if p.refusing.Load() {
		return fault.Unavailable(fault.CodeStopping, stoppingRetryAfter, "the process is stopping")
	}
	if x.Config == nil {
		return fault.Unavailable(fault.CodePlatformUnavailable, noConfigRetryAfter, "no configuration is known yet")
	}
	return p.pipeline.run(x)
}

// recordOutcome updates the metrics and logs the end of a request.
func (p *Process) recordOutcome(x *proxy.Exchange, err error) {
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
	class := classOf(x)
	p.metrics.recordOutcome(class, verdict, code, x, now)
	p.countRequest(x, err, now)
	event := p.log.Info()
	if x.Account != nil {
		event.Str("account", string(x.Account.Name))
	}
	route, version := "", units.Revision(0)
	if x.Route != nil {
		route = x.Route.Name
	}
	if x.Config != nil {
		version = x.Config.Revision
	}
	if !x.First.IsZero() {
		event.Int64("firstMs", x.First.Sub(x.Started).Milliseconds()).Int64("gapMs", x.Gap.Milliseconds()).
			Int("events", x.Events).Bool("endsWithConnection", x.EndsWithConnection)
	}
	if err != nil {
		event.Int64("configAgeMs", p.known.currentAge().Milliseconds())
	}
	event.Str("request", string(x.Inbound.ID)).Str("route", route).Str("class", class).Int("status", status).
		Str("verdict", verdict.String()).Str("code", string(code)).Int("sends", x.Sends).
		Int64("tookMs", now.Sub(x.Started).Milliseconds()).Int64("configVersion", int64(version)).
		Err(err).Msg("front: request ended")
}

// classOf returns the metrics label for a request. It combines the route's kind with the priority, which bounds the number of
// labels; there may be many routes and accounts.
func classOf(x *proxy.Exchange) string {
	if x.Route == nil {
		return "none"
	}
	return x.Route.Kind + priorityNames[min(max(int(-x.Priority), 0), len(priorityNames)-1)]
}

var priorityNames = [...]string{"0", "1", "2", "3", "4", "5", "6", "7", "8", "9"}

// matchStage selects the route and service of a request, and sets its deadline.
type matchStage struct {
	*knowledge

	clock units.Clock
}

// String implements stage.
func (*matchStage) String() string { return "match" }

// Run implements stage.
func (s *matchStage) Run(x *proxy.Exchange) error {
	path, _, _ := strings.Cut(x.Request.RequestURI, "?")
	x.Route = x.Config.RouteFor(x.Request.Host, path)
	if x.Route == nil {
		if err := s.findLater(x, path); err != nil {
			return err
		}
	}
	x.Priority = x.Route.Priority
	id := x.Inbound.ID
	if x.Inbound.Resumes != "" {
		id = x.Inbound.Resumes // the stream goes on at the service that began it
	}
	name := x.Route.SelectService(hashFraction(id))
	x.Service = x.Config.Services[name]
	x.Deadline = x.Started.Add(x.Route.Timeout)
	if x.Inbound.Timeout > 0 && x.Inbound.Timeout < x.Route.Timeout {
		x.Deadline = x.Started.Add(x.Inbound.Timeout)
	}
	return x.Context.Err()
}

// findLater looks for the route of a request in the configuration that is in force by now. It refuses the request for good only if no change
// can be missing.
func (s *matchStage) findLater(x *proxy.Exchange, path string) error {
	age := s.currentAge()
	x.Config = s.config()
	x.Route = x.Config.RouteFor(x.Request.Host, path)
	switch {
	case x.Route != nil:
		return nil
	case s.mayLackChanges(age):
		return fresh.Outdated("tell that it has no such route")
	default:
		return fault.New(fault.NotRun, fault.CodeUnknownService, http.StatusNotFound, "no route matches host and path")
	}
}
