package carry

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/pick"
)

// prefill has the prompt read by the plan's first engine. A prompt that is only read has not run.
func (r *run) prefill(plan pick.Plan) (Handle, error) {
	if err := r.allow(&r.prefills); err != nil {
		return Handle{}, err
	}
	e := plan.Prefill
	idle, stretch := e.Load(r.clock()).Pending == 0, e.Stretch()
	work := r.begin(e, plan.Reading)
	sent := r.clock()
	handle, err := r.readPrompt(plan)
	now := r.clock()
	if err == nil {
		work.promptRead(now)
		if idle {
			took := now.Sub(sent) - 2*pick.Delay(r.place, r.region, e)
			cached := pick.Total(plan.Reading.Prompt) - plan.Reading.Unread
			r.speeds.of(r.x.Service.Name).Measure(plan.Reading.Unread, cached, took, stretch)
		}
	}
	work.end(r.blames(err), now)
	r.log.Info().Str("request", string(r.x.Inbound.ID)).Str("engine", string(e.ID)).Int64("unread", int64(plan.Reading.Unread)).
		Int64("costMs", plan.Reading.Cost.Milliseconds()).Int64("latencyMs", plan.Latency.Milliseconds()).
		Int64("tookMs", now.Sub(sent).Milliseconds()).Err(err).Msg("carry: prompt was read")
	if err != nil {
		r.avoid = append(r.avoid, e.ID)
		return Handle{}, r.notRun(err)
	}
	return handle, nil
}

func (r *run) readPrompt(plan pick.Plan) (Handle, error) {
	out := Outbound{Engine: plan.Prefill, Phase: engine.PhasePrefill, Left: r.x.Deadline.Sub(r.clock()), Urgency: plan.Reading.Urgency}
	r.logSend(plan, out)
	response, reply, err := r.exchange(r.ctx, r.request, out)
	if err != nil {
		r.told(out, reply, err)
		return Handle{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readWhole(r.ctx, response)
	if err != nil {
		return Handle{}, err
	}
	if response.StatusCode != http.StatusOK {
		return Handle{}, refusal(response.StatusCode)
	}
	handle, err := r.format.Handle(body)
	if err != nil {
		return Handle{}, fault.New(fault.NotRun, fault.CodeUpstreamFailed, http.StatusBadGateway, "prompt was not read").Wrap(err)
	}
	return handle, nil
}

// notRun turns the failure of a call that only reads a prompt into one that promises that the request did not run.
func (*run) notRun(err error) error {
	e := *fault.From(err)
	e.Verdict, e.Status = fault.NotRun, http.StatusServiceUnavailable
	return &e
}

// send has the plan's last engine run the request, and passes the answer on.
func (r *run) send(plan pick.Plan, out Outbound) error {
	if err := r.allow(&r.runs); err != nil {
		return err
	}
	e := out.Engine
	out.Urgency = plan.Reading.Urgency
	out.Left, out.EventID = r.x.Deadline.Sub(r.clock()), r.resumeFrom()
	r.logSend(plan, out)
	reading := pick.Reading{Holds: pick.Total(r.request.Prompt) + r.request.Output}
	if plan.Prefill == nil {
		reading = plan.Reading
	}
	work := r.begin(e, reading)
	err := r.relayFrom(out, work)
	work.end(r.blames(err), r.clock())
	if err != nil {
		r.avoid = append(r.avoid, e.ID)
	}
	return err
}

// resumeFrom returns the event after which the next engine goes on.
func (r *run) resumeFrom() string {
	if r.lastID != "" {
		return r.lastID
	}
	return r.request.EventID
}

func (r *run) relayFrom(out Outbound, w *work) error {
	response, reply, err := r.exchange(r.ctx, r.request, out)
	if err != nil {
		r.told(out, reply, err)
		return err
	}
	defer func() { _ = response.Body.Close() }()
	r.told(out, reply, nil)
	if isSuccess(response.StatusCode) && !reply.Signed {
		return fault.New(fault.MayHaveRun, fault.CodeUpstreamFailed, http.StatusBadGateway, "answer bears no engine's mark")
	}
	if isStream(response) {
		return r.stream(response, reply, w)
	}
	return r.plain(response, reply)
}

// plain passes a whole answer on. An engine's own failure is kept, as another engine may do better.
func (r *run) plain(response *http.Response, reply Reply) error {
	body, err := readWhole(r.ctx, response)
	if err != nil {
		return err
	}
	answer := &kept{status: response.StatusCode, header: reply.Header, body: body}
	if isSuccess(answer.status) && !r.begun {
		return r.deliver(answer)
	}
	failed := fault.New(fault.Ran, fault.CodeUpstreamFailed, http.StatusBadGateway,
		"upstream answered status %d", answer.status)
	if reply.Signed && !promises(answer.status) {
		r.kept = answer
		if answer.status < http.StatusInternalServerError && !r.begun {
			return r.deliver(answer)
		}
	}
	return failed
}

// promises reports whether callers take the status as a promise that the request did not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

func (r *run) deliver(a *kept) error {
	copyHeader(r.x.Writer.Header(), a.header)
	r.beginAnswer(a.status)
	if _, err := r.x.Writer.Write(a.body); err != nil {
		return &fault.BrokenError{Err: fault.New(fault.Ran, fault.CodeCanceled, http.StatusBadGateway, "caller took no answer").Wrap(err)}
	}
	return nil
}

// beginAnswer writes the head of the answer.
func (r *run) beginAnswer(status int) {
	r.begun = true
	r.x.Status, r.x.First = status, r.clock()
	r.x.Writer.WriteHeader(status)
}

// told takes an engine's word on its load. One that refuses for want of room is full for all its callers.
func (r *run) told(out Outbound, reply Reply, err error) {
	e, now := out.Engine, r.clock()
	if reply.Loaded {
		e.Told(reply.Load, now)
	}
	if err == nil {
		e.Current()
		return
	}
	code := fault.From(err).Code
	if code == fault.CodeUpstreamRefused && !reply.Loaded {
		e.Told(2*max(e.Slots, 1), now)
		// One that was to take a prompt from another engine may have found it gone there.
		if e.Role != "" && out.Source == "" {
			r.leaveAlone(e, e.Refused())
		}
	}
	if code == fault.CodeWrongUpstream {
		r.leaveAlone(e, e.Outdated())
	}
	if code == fault.CodeNoUpstream {
		if r.paid {
			r.budgets.of(r.x.Service.Name).refund() // a call that never got a connection has not reached an engine
			r.paid = false
		}
		if r.ctx.Err() == nil {
			r.leaveAlone(e, unreachable)
		}
	}
}

// leaveAlone keeps this and other processes from sending to the engine for a while.
func (r *run) leaveAlone(e *pick.Engine, d time.Duration) {
	e.Shun(r.clock().Add(d))
	r.teller.Away(e, d)
}

// unreachable is how long all processes leave an engine alone that takes no connection; a crashed one is away for
// seconds, and trying it costs a round trip.
const unreachable = 700 * time.Millisecond

// blames reports whether the engine is at fault for the failure.
func (r *run) blames(err error) bool {
	if err == nil || r.x.Context.Err() != nil {
		return false
	}
	var broken *fault.BrokenError
	if errors.As(err, &broken) {
		return false
	}
	switch fault.From(err).Code {
	case fault.CodeUpstreamDied, fault.CodeNoUpstream, fault.CodeUpstreamFailed, fault.CodeDeadline:
		return true
	default:
		return false
	}
}

func (r *run) logSend(plan pick.Plan, out Outbound) {
	phase := string(out.Phase)
	switch {
	case phase != "":
	case out.Source != "":
		phase = string(engine.PhaseDecode)
	default:
		phase = string(engine.PhaseWhole)
	}
	r.observer.Sent(r.x.Service.Name, phase)
	l := out.Engine.Load(r.clock())
	r.log.Info().Str("request", string(r.x.Inbound.ID)).Str("route", r.x.Route.Name).Str("engine", string(out.Engine.ID)).
		Str("phase", phase).Int64("configVersion", int64(r.x.Config.Revision)).
		Int64("registryVersion", int64(r.engines.Version())).Int64("leftMs", out.Left.Milliseconds()).
		Int64("unread", int64(plan.Reading.Unread)).Int64("firstMs", plan.First.Milliseconds()).
		Int64("waitMs", l.Wait[plan.Reading.Urgency].Milliseconds()).Int("urgency", int(plan.Reading.Urgency)).Int("running", l.Running).Msg("carry: request is sent")
}

func isSuccess(status int) bool {
	return status >= 200 && status < 300
}

func isStream(response *http.Response) bool {
	return isSuccess(response.StatusCode) && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// writeTimeout is how long a caller may take for one write; a caller that reads takes a few round trips.
const writeTimeout = 5 * time.Second
