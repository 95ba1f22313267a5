package proxy

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/pace"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/trait"
)

// prefill runs the prefill on the plan's prefill engine and returns the handle of the result. Its errors have the
// verdict notRun, since a prefill alone does not run the request.
func (r *run) prefill(plan pick.Plan) (Handle, error) {
	if err := r.admitCall(&r.prefills); err != nil {
		return Handle{}, err
	}
	e := plan.Prefill
	idle, factor := e.Load(r.clock()).Pending == 0, e.PrefillFactor()
	work := r.begin(e, plan.Task)
	sent := r.clock()
	handle, err := r.callPrefill(plan, work)
	now := r.clock()
	switch {
	case err != nil:
		r.endWork(work, err)
	default:
		work.endPrefilled(now)
		if idle {
			took := now.Sub(sent) - 2*pick.Delay(r.place, r.region, e)
			cached := pick.Total(plan.Task.Prompt) - plan.Task.Uncached
			r.estimators.of(r.x.Service.Name).Observe(plan.Task.Uncached, cached, took, factor)
		}
	}
	r.log.Info().Str("request", string(r.x.Inbound.ID)).Str("engine", string(e.ID)).
		Int64("unread", int64(plan.Task.Uncached)).Int64("costMs", plan.Task.Cost.Milliseconds()).
		Int64("latencyMs", plan.Latency.Milliseconds()).Int64("tookMs", now.Sub(sent).Milliseconds()).Err(err).
		Msg("proxy: prefill finished")
	if err != nil {
		r.avoid = append(r.avoid, e.ID)
		return Handle{}, r.asNotRun(err)
	}
	return handle, nil
}

func (r *run) callPrefill(plan pick.Plan, w *work) (Handle, error) {
	out := Outbound{
		Engine: plan.Prefill, Phase: engine.PhasePrefill, Timeout: r.x.Deadline.Sub(r.clock()),
		Urgency: plan.Task.Urgency, Sent: r.clock(),
	}
	if plan.Copy != nil {
		out.Copy = plan.Copy.Address
	}
	r.recordSend(plan, out)
	response, reply, err := r.roundTrip(out, w)
	if err != nil {
		r.applyReply(out, reply, err)
		return Handle{}, err
	}
	defer func() { _ = response.Body.Close() }()
	r.recordReply(plan.Prefill, reply, out.Sent, nil)
	body, err := readSmall(r.ctx, response)
	if err != nil {
		return Handle{}, err
	}
	if response.StatusCode != http.StatusOK {
		return Handle{}, refusedError(response.StatusCode)
	}
	handle, err := r.format.Handle(body)
	if err != nil {
		return Handle{}, fault.New(fault.NotRun, fault.CodeUpstreamFailed, http.StatusBadGateway,
			"upstream answered the prefill without a valid handle").Wrap(err)
	}
	return handle, nil
}

// asNotRun returns a copy of a prefill call's error with the verdict notRun.
func (*run) asNotRun(err error) error {
	e := *fault.From(err)
	e.Verdict, e.Status = fault.NotRun, http.StatusServiceUnavailable
	return &e
}

// send runs the request on the engine of the call and passes the answer to the caller.
func (r *run) send(plan pick.Plan, out Outbound) error {
	if err := r.admitCall(&r.runs); err != nil {
		return err
	}
	e := out.Engine
	out.Urgency = plan.Task.Urgency
	out.Timeout, out.EventID, out.Sent = r.x.Deadline.Sub(r.clock()), r.resumeFrom(), r.clock()
	r.recordSend(plan, out)
	task := pick.PrefillTask{KVTokens: pick.Total(r.request.Prompt) + r.request.Output}
	if plan.Prefill == nil {
		task = plan.Task
		if plan.Copy != nil {
			out.Copy = plan.Copy.Address
		}
	}
	work := r.begin(e, task)
	defer r.countLongRun(e, work)()
	err := r.callAndPass(out, work)
	r.endWork(work, err)
	r.countSend(e, work, err)
	switch {
	case isComplete(err):
		if !r.x.EndsWithConnection { // a crash may end such an answer as well
			r.screen.RunCompleted(r.traits)
		}
	case fault.From(err).Code == fault.CodeUpstreamDied && e.HasBegunToLeave():
		r.log.Info().Str("request", string(r.x.Inbound.ID)).Str("engine", string(e.ID)).Int64("born", e.StartedAt).Int("events", r.x.Events).
			Msg("proxy: run was cut by the departure of its engine")
	case fault.From(err).Code == fault.CodeUpstreamDied:
		r.recordBrokenRun(e, out.Sent)
	}
	if err != nil {
		r.avoid = append(r.avoid, e.ID)
	}
	return err
}

// isComplete reports whether the engine's answer is complete, be it a success or a failure.
func isComplete(err error) bool {
	if err == nil {
		return true
	}
	e := fault.From(err)
	return e.Code == fault.CodeUpstreamFailed && e.Verdict == fault.Ran
}

// recordBrokenRun counts and logs a run whose connection failed before the answer was complete.
func (r *run) recordBrokenRun(e *pick.Engine, sent time.Time) {
	r.screen.RunBroke(trait.Run{
		Traits: r.traits, Engine: trait.Engine{ID: e.ID, Incarnation: e.StartedAt}, Began: sent, Ended: r.clock(),
	})
	r.observer.RunBrokeOff(r.x.Service.Name)
	parts := make([]string, 0, len(r.request.Prompt))
	for _, part := range pick.Shared(r.request.Prompt) {
		parts = append(parts, string(part.ID))
	}
	r.log.Info().Str("request", string(r.x.Inbound.ID)).Str("route", r.x.Route.Name).Str("engine", string(e.ID)).
		Int64("born", e.StartedAt).Strs("parts", parts).Strs("traits", trait.Names(r.traits)).Int("events", r.x.Events).
		Int64("tookMs", r.clock().Sub(sent).Milliseconds()).Msg("proxy: run broke off")
}

// resumeFrom returns the id of the last event that the caller received; the next engine continues after it.
func (r *run) resumeFrom() string {
	if r.lastEventID != "" {
		return r.lastEventID
	}
	return r.request.EventID
}

func (r *run) callAndPass(out Outbound, w *work) error {
	response, reply, err := r.roundTrip(out, w)
	if err != nil {
		r.applyReply(out, reply, err)
		return err
	}
	defer func() { _ = response.Body.Close() }()
	r.applyReply(out, reply, nil)
	r.x.EndsWithConnection = endsWithConnection(response)
	if isSuccess(response.StatusCode) && !reply.Signed {
		return fault.New(fault.MayHaveRun, fault.CodeUpstreamFailed, http.StatusBadGateway, "answer has no engine signature")
	}
	if isStream(response) {
		return r.passStream(response, reply, w)
	}
	w.whole = true
	return r.passWhole(response, reply)
}

// startAnswer writes the status and headers of the answer.
func (r *run) startAnswer(status int) {
	r.answerStarted = true
	r.x.Status, r.x.First = status, r.clock()
	r.x.Writer.WriteHeader(status)
}

// applyReply updates the engine's load and back-off from the outcome of a call. An engine that refuses a call without
// reporting its load is counted as full.
func (r *run) applyReply(out Outbound, reply Reply, err error) {
	e, now := out.Engine, r.clock()
	r.recordReply(e, reply, out.Sent, err)
	if reply.HasLoad {
		e.SetReportedLoad(reply.Load, now)
	}
	if err == nil {
		e.ResetBackoff()
		return
	}
	code := fault.From(err).Code
	if code == fault.CodeUpstreamRefused && out.Source == "" {
		e.Reject(saysWhy(e, reply), now)
	}
	if code == fault.CodeUpstreamRefused && !reply.HasLoad {
		e.SetReportedLoad(2*max(e.Slots, 1), now)
		// With a source, the engine may have refused because the prefilled prompt is gone from the source.
		if e.Role != "" && out.Source == "" {
			r.suspendEngine(e, e.Backoff(pace.Refused))
		}
	}
	if code == fault.CodeWrongUpstream {
		r.suspendEngine(e, e.Backoff(pace.Mismatched))
	}
	if code == fault.CodeNoUpstream {
		if r.charged {
			r.budgets.of(r.x.Service.Name).refund() // a call without a connection has not reached an engine
			r.charged = false
		}
		if r.ctx.Err() == nil {
			until := now.Add(unreachableBackoff)
			e.AvoidUntil(until)
			r.path.failed(e, now, until)
		}
	}
}

// saysWhy reports whether a refusal says that the engine is full, over its limit, or wants no requests for a while.
func saysWhy(e *pick.Engine, reply Reply) bool {
	return reply.HasLoad && reply.Load >= e.Slots || reply.Limit > 0 || reply.RetryAfter > 0 || reply.Leaving
}

// recordReply records what the engine said about further requests in an answer to a call that was sent at the given time.
// Answers to other requests, and of an engine that is not the expected one, say nothing about it.
func (r *run) recordReply(e *pick.Engine, reply Reply, sent time.Time, err error) {
	if reply.ID != r.x.Inbound.ID || err != nil && fault.From(err).Code == fault.CodeWrongUpstream {
		return
	}
	now := r.clock()
	e.RecordAnswer(now)
	r.announceUnreached(e, r.path.answered(e, now))
	r.recordLimit(e, reply, sent, err == nil)
	if reply.RetryAfter > 0 {
		e.DeclineUntil(r.clock().Add(reply.RetryAfter))
		r.log.Info().Str("request", string(r.x.Inbound.ID)).Str("engine", string(e.ID)).Int64("born", e.StartedAt).
			Int64("afterMs", reply.RetryAfter.Milliseconds()).Msg("proxy: engine wants no requests for a while")
	}
	if reply.Leaving && e.DeclineAll() {
		r.publisher.AnnounceUnavailable(e, leavingTime)
		r.log.Info().Str("request", string(r.x.Inbound.ID)).Str("engine", string(e.ID)).Int64("born", e.StartedAt).
			Msg("proxy: engine says that it leaves")
	}
}

// leavingTime is how long other processes avoid an engine that has said to this one that it leaves.
const leavingTime = 30 * time.Second

// recordLimit records and publishes the limit that the engine named in an answer to a call that was sent at the given
// time. An answer without a limit ends an earlier one only if the engine accepted the call.
func (r *run) recordLimit(e *pick.Engine, reply Reply, sent time.Time, accepted bool) {
	if reply.Limit > 0 {
		r.observer.LimitNamed(r.x.Service.Name)
	} else if !accepted {
		return
	}
	changed, announce := e.SetNamedLimit(reply.Limit, sent, r.clock())
	if announce {
		r.publisher.AnnounceLimit(e, reply.Limit)
	}
	if changed {
		r.log.Info().Str("request", string(r.x.Inbound.ID)).Str("engine", string(e.ID)).Int64("born", e.StartedAt).
			Float64("perSecond", float64(reply.Limit)).Msg("proxy: engine named another limit")
	}
}

// suspendEngine stops this and all other processes from sending to the engine for the duration.
func (r *run) suspendEngine(e *pick.Engine, d time.Duration) {
	e.ExcludeUntil(r.clock().Add(d))
	r.publisher.AnnounceUnavailable(e, d)
}

// announceUnreached tells other processes of engines that this one does not reach while it reaches another.
func (r *run) announceUnreached(reached *pick.Engine, engines []unreached) {
	now := r.clock()
	for _, u := range engines {
		u.engine.ExcludeUntil(u.until)
		r.publisher.AnnounceUnreached(u.engine, u.until.Sub(now))
		r.log.Info().Str("engine", string(u.engine.ID)).Int64("born", u.engine.StartedAt).Str("reached", string(reached.ID)).
			Int64("forMs", u.until.Sub(now).Milliseconds()).Msg("proxy: engine is not reached while others are")
	}
}

// unreachableBackoff is how long a process sends nothing to an engine that accepts no connection. A crashed engine is down
// for seconds, and each try costs a round trip.
const unreachableBackoff = 700 * time.Millisecond

// endWork ends the work of a call with its error, nil for a success.
func (r *run) endWork(w *work, err error) {
	if err != nil {
		w.Discard()
	}
	if err != nil && fault.From(err).Code == fault.CodeNoUpstream && r.x.Context.Err() == nil {
		w.endUnreached(r.clock())
		return
	}
	w.end(r.isEngineFault(err), r.clock())
}

// isEngineFault reports whether the engine caused the failure, rather than the caller or a refusal.
func (r *run) isEngineFault(err error) bool {
	if err == nil || r.x.Context.Err() != nil {
		return false
	}
	var truncated *fault.TruncatedError
	if errors.As(err, &truncated) {
		return false
	}
	switch fault.From(err).Code {
	case fault.CodeUpstreamDied, fault.CodeUpstreamFailed, fault.CodeDeadline:
		return true
	default:
		return false
	}
}

// recordSend counts and logs a call to an engine.
func (r *run) recordSend(plan pick.Plan, out Outbound) {
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
	r.log.Info().Str("request", string(r.x.Inbound.ID)).Str("route", r.x.Route.Name).
		Str("engine", string(out.Engine.ID)).Str("phase", phase).Str("software", string(out.Engine.Version)).
		Int64("configVersion", int64(r.x.Config.Revision)).
		Int64("registryVersion", int64(r.engines.Version())).Int64("leftMs", out.Timeout.Milliseconds()).
		Int64("unread", int64(plan.Task.Uncached)).Int64("output", int64(r.request.Output)).Int64("firstMs", plan.TimeToFirstEvent.Milliseconds()).
		Int64("waitMs", l.Wait[plan.Task.Urgency].Milliseconds()).Int("urgency", int(plan.Task.Urgency)).
		Int("running", l.Running).Msg("proxy: sending request")
}

func isSuccess(status int) bool {
	return status >= 200 && status < 300
}

func isStream(response *http.Response) bool {
	return isSuccess(response.StatusCode) && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// endsWithConnection reports whether the answer has neither a length nor chunks.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// writeTimeout bounds one write to the caller. A caller that reads its answer needs only a few round trips.
const writeTimeout = 5 * time.Second
