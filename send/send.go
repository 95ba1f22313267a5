// Package send runs a request on engines, with retries that cannot run a call twice.
package send

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/buckthorntrack/buckthorntrack/admit"
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/route"
	"github.com/buckthorntrack/buckthorntrack/screen"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// maxAttempts bounds the sends of one request, resumptions of its stream included.
	maxAttempts = 6
	// retryPause is the longest pause before a retry.
	retryPause = 20 * time.Millisecond
)

// Target is a service as a process sees it: its engines, its gate and its retries.
type Target struct {
	Fleet *route.Fleet
	Gate  *admit.Gate

	retries *budget
}

// NewTarget returns a target with a fresh budget of retries.
func NewTarget(fleet *route.Fleet, gate *admit.Gate) *Target {
	return &Target{Fleet: fleet, Gate: gate, retries: newBudget()}
}

// Targets finds the target of a service, and counts the work that is asked of it, with the prompt tokens that an
// engine has cached.
type Targets interface {
	Target(name units.ServiceName) (*Target, bool)
	Count(x *flow.Exchange, cached units.Tokens)
}

// Remote passes a request on to another availability zone.
type Remote interface {
	Send(ctx context.Context, x *flow.Exchange, from units.Tokens) (engine.Answer, error)
}

// Observer is told what happens to requests, for metrics.
type Observer interface {
	Retried(x *flow.Exchange)
	Resumed(x *flow.Exchange)
	Forwarded(x *flow.Exchange)
}

// Stage sends a request and sets its answer.
type Stage struct {
	targets  Targets
	remote   Remote
	screen   *screen.Screen
	observer Observer
	clock    units.Clock
}

// New returns the stage. Remote may be nil.
func New(t Targets, remote Remote, s *screen.Screen, o Observer, clock units.Clock) *Stage {
	return &Stage{targets: t, remote: remote, screen: s, observer: o, clock: clock}
}

// String names the stage.
func (*Stage) String() string {
	return "send"
}

// Run sends the request unless it has an answer already.
func (s *Stage) Run(x *flow.Exchange) error {
	if x.Replayed {
		return nil
	}
	target, ok := s.targets.Target(x.Service.Name)
	if !ok {
		return fault.Unavailable(fault.CodeNoUpstream, time.Second, "service has no upstream here")
	}
	r := &run{stage: s, target: target, x: x, next: x.Call.From}
	answer, err := r.first()
	if err != nil {
		return r.verdict(err)
	}
	target.retries.succeed(x.Service.RetryBudget)
	x.Verdict = fault.Ran
	if answer.Events != nil {
		r.events = answer.Events
		answer.Events = &tokens{run: r}
	}
	x.Answer = answer
	return nil
}

// run is one request on its way over engines.
type run struct {
	stage    *Stage
	target   *Target
	x        *flow.Exchange
	avoid    []units.EngineName
	attempts int
	remotely bool
	touched  bool // an attempt may have run

	plan   route.Plan
	events engine.Events
	phase  engine.Phase
	next   units.Tokens // index of the next token for the caller
}

// first gets an answer, with retries as long as nothing was shown to the caller.
func (r *run) first() (engine.Answer, error) {
	for {
		answer, err := r.attempt(false)
		r.touched = r.touched || (err != nil && fault.VerdictOf(err) != fault.NotRun)
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

// verdict keeps a later notRun from hiding that an earlier attempt may have run.
func (r *run) verdict(err error) error {
	if !r.touched || fault.VerdictOf(err) != fault.NotRun {
		return err
	}
	return ranFault(err)
}

// mayRetry reports whether a failed attempt may be repeated on another engine.
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

// attempt sends the request once: to an engine of the own availability zone, or else to another zone.
func (r *run) attempt(resumed bool) (engine.Answer, error) {
	r.attempts++
	if err := r.stage.screen.Check(r.x.Digest); err != nil {
		return engine.Answer{}, err
	}
	plan, err := r.acquire(resumed)
	if err != nil {
		return r.elsewhere(err)
	}
	r.plan, r.remotely = plan, false
	return r.start()
}

func (r *run) acquire(resumed bool) (route.Plan, error) {
	if len(r.target.Fleet.Views()) == 0 {
		return route.Plan{}, fault.Unavailable(fault.CodeNoUpstream, time.Second, "service has no upstream here")
	}
	job := r.x.Job
	job.Input += r.next
	plan, err := r.target.Gate.Acquire(r.x.Context, admit.Ticket{
		Job: job, Priority: r.x.Class.Priority, Tenant: r.x.Tenant.Name, Share: r.x.Tenant.Share,
		Avoid: r.avoid, Suspect: r.isSuspect, Resumed: resumed,
	})
	if r.attempts == 1 {
		r.stage.targets.Count(r.x, plan.Cached())
	}
	if err == nil && r.x.Times.Admitted.IsZero() {
		r.x.Times.Admitted = r.stage.clock()
	}
	return plan, err
}

// isSuspect reports whether an engine died while it ran the request.
func (r *run) isSuspect() bool {
	return r.stage.screen.Deaths(r.x.Digest) > 0
}

// elsewhere tries other availability zones after the own one refused with the error.
func (r *run) elsewhere(refused error) (engine.Answer, error) {
	if r.x.Forwarded || r.stage.remote == nil || r.x.Context.Err() != nil {
		return engine.Answer{}, refused
	}
	answer, err := r.stage.remote.Send(r.x.Context, r.x, r.next)
	if err != nil && fault.VerdictOf(err) == fault.NotRun {
		return engine.Answer{}, refused
	}
	if err == nil {
		r.remotely = true
		r.phase = engine.PhaseWhole
		r.stage.observer.Forwarded(r.x)
	}
	return answer, err
}

// start sends the request to the plan's first engine.
func (r *run) start() (engine.Answer, error) {
	call := r.x.Call
	call.From = r.next
	r.phase = engine.PhaseWhole
	if !r.plan.Whole() {
		r.phase = engine.PhasePrefill
	}
	if call.Streams {
		call.Phase = r.phase
	}
	answer, err := r.plan.Prefill.Upstream.Send(r.x.Context, call)
	if err != nil {
		r.endPhase()
		r.failed(r.plan.Prefill, err)
		return engine.Answer{}, err
	}
	if answer.Events == nil {
		r.endPhase()
		return answer, streamRefused(call, answer)
	}
	r.plan.Prefilled()
	return answer, nil
}

// startDecode sends the rest of a request, whose prompt was prefilled, to the decoding engine.
func (r *run) startDecode() error {
	if !r.plan.StartDecode(r.stage.clock()) {
		return fault.Unavailable(fault.CodeNoUpstream, time.Second, "decoding engine takes no new work")
	}
	call := r.x.Call
	call.From = r.next
	call.Phase = engine.PhaseDecode
	call.KVFrom = r.plan.Prefill.Engine.Address
	r.phase = engine.PhaseDecode
	answer, err := r.plan.Decode.Upstream.Send(r.x.Context, call)
	if err == nil && answer.Events == nil {
		err = streamRefused(call, answer)
	}
	if err != nil {
		r.endPhase()
		r.failed(r.plan.Decode, err)
		return err
	}
	r.events = answer.Events
	return nil
}

// endPhase counts the engine that the request is on as free.
func (r *run) endPhase() {
	if r.remotely {
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

// failed notes that the engine failed the request, and whether it may have died of it.
func (r *run) failed(v *route.View, err error) {
	if r.x.Context.Err() != nil {
		return
	}
	e := fault.From(err)
	v.Failed(r.stage.clock())
	r.avoid = append(r.avoid, v.Engine.Name)
	if e.Code == fault.CodeUpstreamDied && r.x.Call.Streams {
		r.stage.screen.Died(r.x.Digest, v.Engine.Name)
	}
}

// engine returns the view of the engine that the request is on.
func (r *run) engine() *route.View {
	if r.phase == engine.PhaseDecode {
		return r.plan.Decode
	}
	return r.plan.Prefill
}

// pause waits a random time before a retry. It returns false when the request's time is over.
func (r *run) pause() bool {
	timer := time.NewTimer(rand.N(retryPause))
	defer timer.Stop()
	select {
	case <-r.x.Context.Done():
		return false
	case <-timer.C:
		return true
	}
}

// streamRefused returns an error when a call for a stream got a plain answer.
func streamRefused(call engine.Call, answer engine.Answer) error {
	if !call.Streams {
		return nil
	}
	return fault.New(fault.Ran, fault.CodeUpstreamFailed, http.StatusBadGateway,
		"engine answered with status %d in place of a stream", answer.Status)
}

// lateFault turns the end of the request's time into an error.
func lateFault(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.New(fault.MayHaveRun, fault.CodeDeadline, http.StatusGatewayTimeout,
			"deadline passed while the request ran")
	}
	return fault.New(fault.MayHaveRun, fault.CodeCanceled, http.StatusGatewayTimeout, "caller left")
}
