// Package send runs a request on engines, with retries that never run a non-idempotent call twice.
package send

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/buckthorntrack/buckthorntrack/admit"
	"github.com/buckthorntrack/buckthorntrack/digest"
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/poison"
	"github.com/buckthorntrack/buckthorntrack/route"
	"github.com/buckthorntrack/buckthorntrack/trait"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// maxAttempts bounds the sends of one request, including those that resume its stream.
	maxAttempts = 6
	// maxRetryPause is the upper bound of the random pause before a retry.
	maxRetryPause = 20 * time.Millisecond
)

// Target holds a service's engines, its admission gate and its retry budget.
type Target struct {
	Fleet *route.Fleet
	Gate  *admit.Gate

	retries *budget
}

// NewTarget returns a target with a new retry budget.
func NewTarget(fleet *route.Fleet, gate *admit.Gate) *Target {
	return &Target{Fleet: fleet, Gate: gate, retries: newBudget()}
}

// Targets provides the targets of services and records their demand.
type Targets interface {
	Target(name units.ServiceName) (*Target, bool)
	// RecordDemand records the request as demand; cached is the number of its prompt tokens that an engine has cached.
	RecordDemand(x *flow.Exchange, cached units.Tokens)
}

// Remote forwards a request to another availability zone.
type Remote interface {
	// Send returns the answer of the other zone. A stream starts at the token with index from.
	Send(ctx context.Context, x *flow.Exchange, from units.Tokens) (engine.Answer, error)
}

// Observer records metrics of requests.
type Observer interface {
	Retried(x *flow.Exchange)
	Resumed(x *flow.Exchange)
	Forwarded(x *flow.Exchange)
}

// Stage sends a request to an engine or another availability zone and sets its answer.
type Stage struct {
	targets  Targets
	remote   Remote
	screen   *poison.Screen
	observer Observer
	clock    units.Clock
}

// New returns the stage. If remote is nil, requests are never forwarded.
func New(t Targets, remote Remote, s *poison.Screen, o Observer, clock units.Clock) *Stage {
	return &Stage{targets: t, remote: remote, screen: s, observer: o, clock: clock}
}

// String returns the name of the stage.
func (*Stage) String() string {
	return "send"
}

// Run sends the request, unless its answer is replayed from an earlier run.
func (s *Stage) Run(x *flow.Exchange) error {
	if x.Replayed {
		return nil
	}
	target, ok := s.targets.Target(x.Service.Name)
	if !ok {
		return fault.Unavailable(fault.CodeNoUpstream, time.Second, "service has no upstream in this availability zone")
	}
	r := &run{stage: s, target: target, x: x, nextToken: x.Call.ResumeFrom}
	answer, err := r.firstAnswer()
	if err != nil {
		return r.withVerdict(err)
	}
	target.retries.addSuccess(x.Service.RetryBudget)
	x.Verdict = fault.Ran
	if answer.Events != nil {
		r.events = answer.Events
		answer.Events = &tokenStream{run: r}
	}
	x.Answer = answer
	return nil
}

// run holds the state of one request across its attempts.
type run struct {
	stage      *Stage
	target     *Target
	x          *flow.Exchange
	avoid      []units.EngineName
	attempts   int
	isRemote   bool // the current attempt was forwarded to another availability zone
	mayHaveRun bool // an earlier attempt may have run

	plan      route.Plan
	events    engine.Events
	phase     engine.Phase
	sentAt    time.Time    // when the current engine got the request
	nextToken units.Tokens // index of the next token to pass to the caller
}

// firstAnswer returns the first successful answer, with retries. Nothing has been passed to the caller before.
func (r *run) firstAnswer() (engine.Answer, error) {
	for {
		answer, err := r.attempt(false)
		r.mayHaveRun = r.mayHaveRun || (err != nil && fault.VerdictOf(err) != fault.NotRun)
		if err == nil || !r.mayRetry(err) {
			return answer, err
		}
		if !r.target.retries.take() {
			return answer, err
		}
		r.stage.observer.Retried(r.x)
		if !r.pause() {
			return answer, err
		}
	}
}

// withVerdict raises a notRun verdict to mayHaveRun if an earlier attempt may have run the request.
func (r *run) withVerdict(err error) error {
	if !r.mayHaveRun || fault.VerdictOf(err) != fault.NotRun {
		return err
	}
	return mayHaveRunError(err)
}

// mayRetry reports whether a failed attempt may be retried on another engine.
func (r *run) mayRetry(err error) bool {
	e := fault.From(err)
	if r.x.Context.Err() != nil || r.attempts >= maxAttempts || isFinal(e) {
		return false
	}
	return r.x.Idempotent || e.Verdict == fault.NotRun
}

// isFinal reports whether another attempt cannot help.
func isFinal(e *fault.Error) bool {
	switch e.Code {
	case fault.CodeOverloaded, fault.CodeQuarantined, fault.CodeDeadline, fault.CodeNoUpstream, fault.CodeCanceled:
		return true
	default:
		return false
	}
}

// attempt sends the request once: to an engine of the own availability zone, or to another zone if the own one refuses.
func (r *run) attempt(resumed bool) (engine.Answer, error) {
	if r.attempts > 0 {
		r.awaitOutageExtent()
	}
	r.attempts++
	if err := r.stage.screen.Check(r.x.Digest, r.x.Traits); err != nil {
		return engine.Answer{}, err
	}
	plan, err := r.acquire(resumed)
	if err != nil {
		return r.forward(err)
	}
	r.plan, r.isRemote = plan, false
	return r.sendFirst()
}

// acquire waits for the admission gate and returns the plan with the chosen engines.
func (r *run) acquire(resumed bool) (route.Plan, error) {
	if len(r.target.Fleet.Views()) == 0 {
		return route.Plan{}, fault.Unavailable(fault.CodeNoUpstream, time.Second,
			"service has no upstream in this availability zone")
	}
	job := r.x.Job
	job.Input += r.nextToken
	plan, err := r.target.Gate.Acquire(r.x.Context, admit.Request{
		Job: job, Priority: r.x.Class.Priority, Tenant: r.x.Tenant.Name, Share: r.x.Tenant.Share,
		Avoid: r.avoid, Suspect: r.isSuspect, Resumed: resumed,
	})
	if r.attempts == 1 {
		r.stage.targets.RecordDemand(r.x, plan.Cached())
	}
	if err == nil && r.x.Times.Admitted.IsZero() {
		r.x.Times.Admitted = r.stage.clock()
	}
	return plan, err
}

// isSuspect reports whether an engine crashed while it ran the request.
func (r *run) isSuspect() bool {
	return r.stage.screen.Deaths(r.x.Digest) > 0
}

// forward sends the request to another availability zone after the own one refused it. It returns the error of the own
// zone if no other zone runs the request.
func (r *run) forward(refused error) (engine.Answer, error) {
	if r.x.Forwarded || r.stage.remote == nil || r.x.Context.Err() != nil {
		return engine.Answer{}, refused
	}
	answer, err := r.stage.remote.Send(r.x.Context, r.x, r.nextToken)
	if err != nil && fault.VerdictOf(err) == fault.NotRun {
		return engine.Answer{}, refused
	}
	if err == nil {
		r.isRemote = true
		r.phase = engine.PhaseWhole
		r.stage.observer.Forwarded(r.x)
	}
	return answer, err
}

// sendFirst sends the request to the engine that prefills it.
func (r *run) sendFirst() (engine.Answer, error) {
	call := r.x.Call
	call.ResumeFrom = r.nextToken
	r.phase = engine.PhaseWhole
	if !r.plan.Whole() {
		r.phase = engine.PhasePrefill
	}
	if call.Streams {
		call.Phase = r.phase
	}
	r.sentAt = r.stage.clock()
	answer, err := r.plan.Prefill.Upstream.Send(r.x.Context, call)
	if err != nil {
		r.endPhase()
		r.recordFailure(r.plan.Prefill, err)
		return engine.Answer{}, err
	}
	if answer.Events == nil {
		r.endPhase()
		return answer, noStreamError(call, answer)
	}
	r.plan.Prefilled()
	return answer, nil
}

// startDecode sends a prefilled request to the decode engine, starting at the next token.
func (r *run) startDecode() error {
	if !r.plan.StartDecode(r.stage.clock()) {
		return fault.Unavailable(fault.CodeNoUpstream, time.Second, "decode engine accepts no new work")
	}
	call := r.x.Call
	call.ResumeFrom = r.nextToken
	call.Phase = engine.PhaseDecode
	call.KVFrom = r.plan.Prefill.Engine.Address
	r.phase = engine.PhaseDecode
	r.sentAt = r.stage.clock()
	answer, err := r.plan.Decode.Upstream.Send(r.x.Context, call)
	if err == nil && answer.Events == nil {
		err = noStreamError(call, answer)
	}
	if err != nil {
		r.endPhase()
		r.recordFailure(r.plan.Decode, err)
		return err
	}
	r.events = answer.Events
	return nil
}

// endPhase removes the request from the requests in flight on its current engine and lets the admission gate admit a
// waiting request.
func (r *run) endPhase() {
	if r.isRemote {
		return
	}
	switch r.phase {
	case engine.PhaseDecode:
		r.plan.EndDecode()
	case engine.PhaseWhole, engine.PhasePrefill:
		r.plan.End()
	}
	r.phase = ""
	r.target.Gate.Release()
}

// recordFailure backs off from the engine and excludes it from further attempts. If the engine crashed, the crash is
// recorded against the request. Failures after the request was canceled are ignored.
func (r *run) recordFailure(v *route.View, err error) {
	if r.x.Context.Err() != nil {
		return
	}
	e := fault.From(err)
	v.BackOff(r.stage.clock())
	r.avoid = append(r.avoid, v.Engine.Name)
	if e.Code == fault.CodeUpstreamDied && r.x.Call.Streams {
		r.stage.screen.RecordCrash(r.x.Digest, v.Engine.Name)
		if len(r.x.Traits) > 0 {
			r.stage.screen.RunBroke(trait.Run{
				Traits: r.x.Traits, Engine: incarnationOf(v), Began: r.sentAt, Ended: r.stage.clock(),
			})
		}
	}
}

// incarnationOf returns the engine's incarnation of the latest report.
func incarnationOf(v *route.View) trait.Engine {
	report, _, _ := v.LatestReport() // an engine without a report counts as one incarnation
	return trait.Engine{ID: v.Engine.Name, Incarnation: int64(digest.Sum64(report.Incarnation))}
}

// currentView returns the view of the engine that currently runs the request.
func (r *run) currentView() *route.View {
	if r.phase == engine.PhaseDecode {
		return r.plan.Decode
	}
	return r.plan.Prefill
}

// pause waits a random time before a retry. It returns false if the request ended in the meantime.
func (r *run) pause() bool {
	timer := time.NewTimer(rand.N(maxRetryPause))
	defer timer.Stop()
	select {
	case <-r.x.Context.Done():
		return false
	case <-timer.C:
		return true
	}
}

// noStreamError returns an error if a call for a stream got an answer without events.
func noStreamError(call engine.Call, answer engine.Answer) error {
	if !call.Streams {
		return nil
	}
	return fault.New(fault.Ran, fault.CodeUpstreamFailed, http.StatusBadGateway,
		"engine answered with status %d instead of a stream", answer.Status)
}

// contextError returns the error for a request whose context ended.
func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.New(fault.MayHaveRun, fault.CodeDeadline, http.StatusGatewayTimeout,
			"deadline exceeded while the request was running")
	}
	return fault.New(fault.MayHaveRun, fault.CodeCanceled, http.StatusGatewayTimeout, "caller disconnected")
}
