package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/demand"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/memory"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/trait"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Exchange holds one routed request, its settings and the progress of its answer.
type Exchange struct {
	Context context.Context
	Writer  http.ResponseWriter
	Request *http.Request
	Config  *config.Config // the snapshot that the whole request uses
	Started time.Time

	Inbound  Inbound
	Body     []byte
	Memory   *memory.Share // that the request holds, nil for any
	Slot     *memory.Share // its place among the requests that run at once, nil for any
	Route    *config.Route
	Service  *config.Service
	Account  *config.Tenant // nil if the request has no known key
	Priority units.Priority // of the account, or else of the route
	Deadline time.Time      // for the final answer

	Status int           // HTTP status sent to the caller, zero before the answer starts
	First  time.Time     // when the answer started
	Sends  int           // number of calls to engines
	Gap    time.Duration // longest pause between two events
	Events int           // number of events passed to the caller
	// EndsWithConnection reports that the engine sent neither a length nor chunks, so that only the end of its connection
	// ends the answer.
	EndsWithConnection bool
}

// Engines provides the engines in the registry.
type Engines interface {
	// Table returns the engines of the service, nil if it has none.
	Table(service units.ServiceName) *pick.Table
	// Accepts reports whether the engine incarnation is still registered and accepts new work.
	Accepts(e *pick.Engine) bool
	Version() units.Version
}

// Observer records metrics of requests.
type Observer interface {
	Sent(service units.ServiceName, phase string)
	Retried(service units.ServiceName, reason string)
	// RetryDenied counts a retry that the retry budget did not allow.
	RetryDenied(service units.ServiceName)
	// RunBrokeOff counts a run whose connection failed before the answer was complete.
	RunBrokeOff(service units.ServiceName)
	// LimitNamed counts an answer in which the engine names a limit.
	LimitNamed(service units.ServiceName)
	// AnswerDoubted counts an answer that may belong to another request than the one that waits for it.
	AnswerDoubted(service units.ServiceName, reason string)
}

// Screen refuses requests with traits that crash engines, and learns such traits from the ends of runs.
type Screen interface {
	Check(traits []trait.Trait) error
	RunCompleted(traits []trait.Trait)
	RunBroke(r trait.Run)
}

// Accounts checks the account of a request again.
type Accounts interface {
	// Recheck returns an error if the key of the request was withdrawn meanwhile. It updates the account in the headers to forward.
	Recheck(x *Exchange, in *Inbound) error
}

// Options holds the dependencies of the stage.
type Options struct {
	Place         units.PlaceName
	Region        units.RegionName
	Format        Format
	Engines       Engines
	Transport     http.RoundTripper
	Idle          IdlePolicy // of the transport, nil for none
	RetryBudget   func() RetryBudget
	Observer      Observer
	LoadPublisher LoadPublisher
	Screen        Screen
	Versions      Versions
	Stop          Stop
	CopyShared    bool  // engines copy shared segments of prompts that another one has
	Reach         Reach // nil for a process that is never stranded
	Usage         Usage // nil if requests are not counted
	Demand        *demand.Meter
	Accounts      Accounts // nil for no accounts
	Clock         units.Clock
	Log           zerolog.Logger
}

// Stage sends requests to engines and passes the answers to the callers.
type Stage struct {
	place       units.PlaceName
	region      units.RegionName
	format      Format
	engines     Engines
	http        http.RoundTripper
	idle        IdlePolicy
	retryBudget func() RetryBudget
	observer    Observer
	publisher   LoadPublisher
	screen      Screen
	versions    Versions
	stop        Stop
	reach       Reach
	usage       Usage
	demand      *demand.Meter
	accounts    Accounts
	clock       units.Clock
	log         zerolog.Logger
	estimators  estimators
	budgets     budgets
	path        *pathEvidence
	copyShared  bool
	background  conc.WaitGroup
}

// New returns a stage, and a function that waits for its background calls.
func New(o Options) (*Stage, func()) {
	s := &Stage{
		place: o.Place, region: o.Region, format: o.Format, engines: o.Engines, http: o.Transport,
		retryBudget: o.RetryBudget, observer: o.Observer, publisher: o.LoadPublisher, screen: o.Screen, versions: o.Versions, stop: o.Stop, reach: o.Reach, usage: o.Usage, accounts: o.Accounts,
		clock: o.Clock, log: o.Log,
		estimators: estimators{byService: map[units.ServiceName]*pick.PrefillEstimator{}},
		budgets:    budgets{byService: map[units.ServiceName]*budget{}},
		path:       newPathEvidence(), demand: o.Demand,
		idle:       o.Idle,
		copyShared: o.CopyShared,
	}
	if s.idle == nil {
		s.idle = noIdlePolicy{}
	}
	return s, s.background.Wait
}

// String returns the name of the stage.
func (*Stage) String() string {
	return "carry"
}

// Run sends the request, with retries, until an engine has answered it completely or no further send is allowed.
func (s *Stage) Run(x *Exchange) (err error) {
	if _, ok := engineURL("", x.Request.RequestURI); !ok {
		return fault.Bad("path", "the path cannot be passed on unchanged")
	}
	traits := traitsOf(x)
	if err := s.screen.Check(traits); err != nil {
		return err
	}
	ctx, cancel := s.untilStop(x.Context, x.Deadline)
	defer cancel()
	s.budgets.of(x.Service.Name).addRequest(s.retryBudget(), s.clock())
	r := &run{Stage: s, x: x, ctx: ctx, request: request{
		Inbound: x.Inbound, method: x.Request.Method, target: x.Request.RequestURI,
		host: x.Request.Host, body: x.Body,
	}, traits: traits}
	if err := r.bind(); err != nil {
		return err
	}
	defer func() { r.release(err) }()
	defer r.countPossibleRun()
	for {
		err := r.attempt()
		if err == nil {
			return nil
		}
		r.recordFailure(err)
		next := decideRetry(r.retryState(err))
		if next.retry {
			s.observer.Retried(x.Service.Name, string(fault.From(err).Code))
			s.log.Info().Str("request", string(x.Inbound.ID)).Str("reason", next.reason).Err(err).Int("sends", x.Sends).
				Msg("proxy: retrying request")
			continue
		}
		return r.finalError(err)
	}
}

// run holds the state of one request across its attempts.
type run struct {
	*Stage
	x       *Exchange
	ctx     context.Context
	request request
	traits  []trait.Trait
	bound   bool // all engines have the version
	version units.SoftwareVersion

	avoid         []units.EngineName
	prefills      int              // calls that only prefill
	runs          int              // calls that run the request
	prompt        *prefilledPrompt // prefilled and not decoded yet, nil for none
	quarantined   bool             // a trait of the request crashes engines
	withdrawn     bool             // the key of the request was withdrawn
	tooLate       bool             // the process stops too soon for another call
	stranded      bool             // the process reaches no engine
	retryDenied   bool             // the retry budget is exhausted
	charged       bool             // the last call was charged to the retry budget
	noEngine      bool             // no engine is left that could answer in time
	permitWait    time.Duration    // until an engine may get a request
	possibleRuns  int              // number of engines that may have run the request
	counted       atomic.Bool      // the request is counted for its account
	possiblyBegan time.Time        // when an engine that may have run the request got it, zero for none
	answerStarted bool             // status and headers were sent to the caller
	lastEventAt   time.Time        // when the last event was passed on
	lastEventID   string           // last event id that was passed on
	fallback      *bufferedAnswer  // failure from an engine that is delivered if no engine succeeds
}

// bufferedAnswer is an engine's complete answer.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// criteria returns what the engines of the next attempt are chosen by.
func (r *run) criteria() pick.Request {
	return pick.Request{
		Prompt: r.request.Prompt, Output: r.request.Output, Place: r.place, Region: r.region,
		Memory: r.x.Service.Memory, GapTarget: r.x.Route.GapObjective, FirstTarget: r.x.Route.Objective,
		CopyShared: r.copyShared, TimeLeft: r.x.Deadline.Sub(r.clock()),
		Estimator: r.estimators.of(r.x.Service.Name), Avoid: r.avoid, Now: r.clock(), Seed: rand.Uint64(),
	}
}

// timeUntilAbandon returns how much longer the caller waits for the first event.
func (r *run) timeUntilAbandon() time.Duration {
	left := r.x.Deadline.Sub(r.clock())
	if r.x.Route.AbandonAfter <= 0 {
		return left
	}
	return min(left, r.x.Route.AbandonAfter-r.clock().Sub(r.x.Started))
}

// attempt sends the request once and passes the answer to the caller.
func (r *run) attempt() error {
	if r.prompt != nil {
		return r.decode()
	}
	plan, ok := r.choose()
	if !ok {
		return r.noUpstreamError("service %s has no upstream")
	}
	if plan.TimeToFirstEvent > r.timeUntilAbandon() {
		r.noEngine = true
		return fault.Unavailable(fault.CodeOverloaded, 0, "service %s would answer after %v, longer than the caller waits",
			r.x.Service.Name, plan.TimeToFirstEvent.Round(time.Millisecond))
	}
	if plan.Prefill == nil {
		return r.send(plan, Outbound{Engine: plan.Run})
	}
	handle, err := r.prefill(plan)
	if err != nil {
		return err
	}
	r.prompt = &prefilledPrompt{source: plan.Prefill, handle: handle, plan: plan}
	return r.decode()
}

// noUpstreamError returns the error for a request for which there is no engine, or only engines that have had as many
// requests as their limits allow or want none now.
func (r *run) noUpstreamError(format string) error {
	r.noEngine = true
	r.permitWait = r.table().PermitWait(r.clock())
	if r.permitWait > 0 {
		return fault.Unavailable(fault.CodeOverloaded, 0, "all upstreams of service %s have reached their limits or want no requests now",
			r.x.Service.Name)
	}
	return fault.Unavailable(fault.CodeNoUpstream, 0, format, r.x.Service.Name)
}

// admitCall counts a call, and returns an error if the key of the request was withdrawn, the request is in quarantine, the process
// stops too soon for it or reaches no engine, or the retry budget does not allow it.
// The first prefill and the first run of a request are free; all other calls count as retries.
func (r *run) admitCall(calls *int) error {
	if r.accounts != nil {
		if err := r.accounts.Recheck(r.x, &r.request.Inbound); err != nil {
			r.withdrawn = true
			return err
		}
	}
	if err := r.screen.Check(r.traits); err != nil {
		r.quarantined = true
		return err
	}
	state := callState{
		stopped: r.stop.Ended().Err() != nil, stopsSoon: r.stop.IsLate(), stranded: r.isStranded(), repeatable: r.x.Route.Repeatable(),
	}
	if refused := decideCall(state); refused != nil {
		r.tooLate, r.stranded = refused.Code == fault.CodeStopping, refused.Code != fault.CodeStopping
		return refused
	}
	*calls++
	r.x.Sends++
	r.charged = *calls > 1
	if !r.charged || r.budgets.of(r.x.Service.Name).take(r.retryBudget(), r.clock()) {
		return nil
	}
	r.retryDenied = true
	r.observer.RetryDenied(r.x.Service.Name)
	return fault.Unavailable(fault.CodeOverloaded, 0, "retry budget of service %s is exhausted", r.x.Service.Name)
}

// recordFailure counts a failed attempt that may have run the request.
func (r *run) recordFailure(err error) {
	if fault.VerdictOf(err) != fault.NotRun {
		r.possibleRuns++
	}
}

func (r *run) retryState(err error) retryState {
	return retryState{
		err: fault.From(err), canceled: r.x.Context.Err() != nil, timeLeft: r.x.Deadline.Sub(r.clock()),
		repeatable: r.x.Route.Repeatable(), maxRuns: r.x.Route.Attempts, possibleRuns: r.possibleRuns,
		sends: r.x.Sends, answerStarted: r.answerStarted, resumable: r.x.Route.Resumable,
		lastEventID: r.lastEventID, quarantined: r.quarantined, withdrawn: r.withdrawn, tooLate: r.tooLate || r.stop.Ended().Err() != nil,
		stranded: r.stranded || r.isStranded(), retryDenied: r.retryDenied, noEngine: r.noEngine,
	}
}

// finalError returns the error for the caller, or delivers the fallback answer if there is one. The verdict is notRun
// only if no engine may have run the request.
func (r *run) finalError(err error) error {
	r.releasePrompt()
	if r.answerStarted {
		r.announceBrokenStream()
		return &fault.TruncatedError{Err: err}
	}
	if r.fallback != nil {
		return r.deliver(r.fallback)
	}
	e := fault.From(err)
	if e.Verdict == fault.NotRun && r.possibleRuns > 0 {
		return fault.New(fault.MayHaveRun, e.Code, http.StatusBadGateway, "no other upstream answered").Wrap(err)
	}
	if e.Verdict == fault.NotRun && e.Code != fault.CodeQuarantined && e.Code != fault.CodeUnauthorized {
		e.RetryAfter = max(retryAfter(r.x.Deadline.Sub(r.clock())), r.permitWait)
	}
	return e
}
