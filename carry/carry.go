package carry

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Exchange is one routed request on its way through the stages.
type Exchange struct {
	Context context.Context
	Writer  http.ResponseWriter
	Request *http.Request
	Config  *config.Config // the snapshot that the whole request uses
	Started time.Time

	Inbound  Inbound
	Body     []byte
	Route    *config.Route
	Service  *config.Service
	Deadline time.Time // for the final answer

	Status int           // of the answer that was passed on, zero for none
	First  time.Time     // when the answer began
	Sends  int           // calls to engines
	Gap    time.Duration // longest pause between two events
}

// Engines are the engines of services, as the registry shows them.
type Engines interface {
	Of(service units.ServiceName) []*pick.Engine
	Takes(e *pick.Engine) bool
	Version() units.Version
}

// Observer counts what happens to requests.
type Observer interface {
	Sent(service units.ServiceName, phase string)
	Repeated(service units.ServiceName, reason string)
	Denied(service units.ServiceName)
}

// Options are what the stage depends on.
type Options struct {
	Place     units.PlaceName
	Region    units.RegionName
	Format    Format
	Engines   Engines
	Transport http.RoundTripper
	Allowance func() Allowance
	Observer  Observer
	Teller    Teller
	Clock     units.Clock
	Log       zerolog.Logger
}

// Stage sends requests to engines and passes their answers on.
type Stage struct {
	place      units.PlaceName
	region     units.RegionName
	format     Format
	engines    Engines
	http       http.RoundTripper
	allowance  func() Allowance
	observer   Observer
	teller     Teller
	clock      units.Clock
	log        zerolog.Logger
	speeds     speeds
	budgets    budgets
	background conc.WaitGroup
}

// New returns a stage, and a function that waits for its background calls.
func New(o Options) (*Stage, func()) {
	s := &Stage{
		place: o.Place, region: o.Region, format: o.Format, engines: o.Engines, http: o.Transport,
		allowance: o.Allowance, observer: o.Observer, teller: o.Teller, clock: o.Clock, log: o.Log,
		speeds:  speeds{byService: map[units.ServiceName]*pick.Speed{}},
		budgets: budgets{byService: map[units.ServiceName]*budget{}},
	}
	return s, s.background.Wait
}

// String returns the name of the stage.
func (*Stage) String() string {
	return "carry"
}

// Run sends the request until an engine has answered it whole, or no further send is allowed.
func (s *Stage) Run(x *Exchange) error {
	ctx, cancel := context.WithDeadline(x.Context, x.Deadline)
	defer cancel()
	s.budgets.of(x.Service.Name).request(s.allowance(), s.clock())
	r := &run{Stage: s, x: x, ctx: ctx, request: request{
		Inbound: x.Inbound, method: x.Request.Method, target: x.Request.RequestURI, host: x.Request.Host, body: x.Body,
	}}
	for {
		err := r.attempt()
		if err == nil {
			return nil
		}
		r.note(err)
		next := decide(r.state(err))
		if next.again {
			s.observer.Repeated(x.Service.Name, string(fault.From(err).Code))
			s.log.Info().Str("request", string(x.Inbound.ID)).Str("reason", next.reason).Err(err).Int("sends", x.Sends).
				Msg("carry: request is sent again")
			continue
		}
		return r.final(err)
	}
}

// run is one request being sent.
type run struct {
	*Stage
	x       *Exchange
	ctx     context.Context
	request request

	avoid    []units.EngineName
	prefills int       // calls that only read the prompt
	runs     int       // calls that run the request
	held     *held     // a prompt that was read and not taken yet
	denied   bool      // the allowance had no room for another call
	paid     bool      // the last call counted against the allowance
	unplaced bool      // no engine was left to send to
	ran      int       // engines that may have run the request
	begun    bool      // the caller has the head of the answer
	lastAt   time.Time // of the last event
	lastID   string    // of the last whole event that the caller has
	kept     *kept     // an engine's failure that is passed on when nothing better comes
}

// kept is an engine's whole answer.
type kept struct {
	status int
	header http.Header
	body   []byte
}

func (r *run) ask() pick.Ask {
	return pick.Ask{
		Prompt: r.request.Prompt, Output: r.request.Output, Place: r.place, Region: r.region,
		Memory: r.x.Service.Memory, Gap: r.x.Route.Gap, Aim: r.x.Route.Objective, Speed: r.speeds.of(r.x.Service.Name), Avoid: r.avoid, Now: r.clock(),
	}
}

// patience returns how long the caller waits on for the first event.
func (r *run) patience() time.Duration {
	left := r.x.Deadline.Sub(r.clock())
	if r.x.Route.Patience <= 0 {
		return left
	}
	return min(left, r.x.Route.Patience-r.clock().Sub(r.x.Started))
}

// held is a prompt that an engine has read for another engine.
type held struct {
	source *pick.Engine
	handle Handle
	plan   pick.Plan
	tried  bool // an engine did not take it
}

// attempt sends the request once, and passes the answer on.
func (r *run) attempt() error {
	if r.held != nil {
		return r.decode()
	}
	plan, ok := pick.Choose(r.engines.Of(r.x.Service.Name), r.ask())
	if !ok {
		r.unplaced = true
		return fault.Unavailable(fault.CodeNoUpstream, 0, "service %s has no upstream", r.x.Service.Name)
	}
	if plan.First > r.patience() {
		r.unplaced = true
		return fault.Unavailable(fault.CodeOverloaded, 0, "service %s would begin after %v, when its caller has left",
			r.x.Service.Name, plan.First.Round(time.Millisecond))
	}
	if plan.Prefill == nil {
		return r.send(plan, Outbound{Engine: plan.Run})
	}
	handle, err := r.prefill(plan)
	if err != nil {
		return err
	}
	r.held = &held{source: plan.Prefill, handle: handle, plan: plan}
	return r.decode()
}

// decode has an engine go on with the prompt that is held. One that did not take it leaves it to one other engine.
func (r *run) decode() error {
	h := r.held
	if h.tried || !r.engines.Takes(h.plan.Run) {
		next, ok := pick.ChooseDecode(r.engines.Of(r.x.Service.Name), h.source, r.ask())
		if !ok {
			r.unplaced = true
			return fault.Unavailable(fault.CodeNoUpstream, 0, "service %s has no engine that decodes", r.x.Service.Name)
		}
		h.plan.Run = next
	}
	err := r.send(h.plan, Outbound{Engine: h.plan.Run, Source: h.source.Address, Handle: h.handle})
	switch {
	case err == nil:
		r.held = nil
	case fault.VerdictOf(err) == fault.NotRun && !h.tried:
		h.tried = true
	default:
		r.drop()
	}
	return err
}

// drop frees the prompt that is held, if any.
func (r *run) drop() {
	if r.held == nil {
		return
	}
	r.free(r.held.source, r.held.handle)
	r.held = nil
}

// allow reports whether a call may be made. The first one that reads the prompt and the first one that runs the request
// are free; all others count against the allowance of repeats.
func (r *run) allow(calls *int) error {
	*calls++
	r.x.Sends++
	r.paid = *calls > 1
	if !r.paid || r.budgets.of(r.x.Service.Name).take(r.allowance(), r.clock()) {
		return nil
	}
	r.denied = true
	r.observer.Denied(r.x.Service.Name)
	return fault.Unavailable(fault.CodeOverloaded, 0, "repeats of service %s are used up", r.x.Service.Name)
}

// note remembers what a failure says for the next attempt.
func (r *run) note(err error) {
	if fault.VerdictOf(err) != fault.NotRun {
		r.ran++
	}
}

func (r *run) state(err error) state {
	return state{
		err: fault.From(err), canceled: r.x.Context.Err() != nil, left: r.x.Deadline.Sub(r.clock()),
		repeatable: r.x.Route.Repeatable(), attempts: r.x.Route.Attempts, ran: r.ran, sends: r.x.Sends,
		begun: r.begun, resumable: r.x.Route.Resumable, lastID: r.lastID, denied: r.denied, unplaced: r.unplaced,
	}
}

// final returns the failure that the caller learns of. It promises notRun only when no engine may have run the request.
func (r *run) final(err error) error {
	r.drop()
	if r.begun {
		return &fault.BrokenError{Err: err}
	}
	if r.kept != nil {
		return r.deliver(r.kept)
	}
	e := fault.From(err)
	if e.Verdict == fault.NotRun && r.ran > 0 {
		return fault.New(fault.MayHaveRun, e.Code, http.StatusBadGateway, "no further upstream answered").Wrap(err)
	}
	if e.Verdict == fault.NotRun {
		e.RetryAfter = retryAfter(r.x.Deadline.Sub(r.clock()))
	}
	return e
}
