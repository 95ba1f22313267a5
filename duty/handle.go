package duty

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/buckthorntrack/buckthorntrack/lease"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

// Errors of Call.Send, which Handle.Call passes on. After any other error the call may be carried out, now or later.
var (
	// ErrNotSent means that the duty API was not reached and the call will not be carried out.
	ErrNotSent = errors.New("duty API is not reached")
	// ErrRefused means that the duty API answered and did not carry the call out.
	ErrRefused = errors.New("duty API refused the call")
	// ErrThrottled means that the duty API gets more calls than it accepts. It wraps ErrRefused.
	ErrThrottled = fmt.Errorf("%w: too many calls", ErrRefused)
	// ErrFenced means that the duty API has seen a higher fencing token. It wraps ErrRefused. The lease is given up.
	ErrFenced = fmt.Errorf("%w: a higher fencing token was seen", ErrRefused)
	// ErrConflict means that either the duty API has seen a higher fencing token, or what the call asks for is not available. It
	// wraps ErrRefused. Handle.Call returns it in the second case only, and ErrFenced in the first.
	ErrConflict = fmt.Errorf("%w: what it asks for is not available", ErrRefused)
)

// Errors of Handle.Call before a call is sent.
var (
	// ErrBusy means that a call for the subject is in flight, or that one with other content may still be carried out.
	ErrBusy = errors.New("another call for the subject may be carried out")
	// ErrEnded means that the lease has ended.
	ErrEnded = errors.New("lease has ended")
)

var errUnreached = errors.New("duty API is not reached while the store answers")

// Outcomes of a call, for metrics and logs.
const (
	OutcomeDone      = "done"
	OutcomeNotSent   = "notSent"
	OutcomeThrottled = "throttled"
	OutcomeFenced    = "fenced"
	OutcomeConflict  = "conflict"
	OutcomeRefused   = "refused"
	OutcomeUnknown   = "unknown" // no answer: the call may be carried out
)

const (
	// callTimeout bounds the wait for an answer of the duty API.
	callTimeout = 2 * time.Second
	// unreachedTime is the time without reaching the duty API after which a holder that reaches the store gives the lease up.
	unreachedTime = 2 * time.Second
	// storeSilence is the age of the last renewal up to which the store counts as answering.
	storeSilence = 2 * time.Second
)

// Subject names what a call is about. At most one call for a subject is in flight.
type Subject string

// Credentials identify the holder of the duties in a call.
type Credentials struct {
	Holder units.ProcessName
	Token  units.FencingToken
}

// Call is a call to the duty API.
type Call struct {
	Subject Subject
	// Content identifies what is asked for. A call without an answer may be repeated with the same content only, until it can no
	// longer be carried out.
	Content string
	// Send makes the call. It must return soon after ctx ends. Its errors are those above.
	Send func(ctx context.Context, c Credentials) error
}

// tenure is the time for which this process holds the lease.
type tenure struct {
	runner *Runner
	lease  *lease.Lease
	end    context.CancelCauseFunc
	health health
}

// Handle makes the calls of a task under a lease. It is safe for concurrent use.
type Handle struct {
	tenure *tenure
	ctx    context.Context // ends with the lease
	task   string
}

// Token returns the fencing token of the lease.
func (h *Handle) Token() units.FencingToken {
	return h.tenure.lease.Fence
}

// First reports whether no process had the lease before.
func (h *Handle) First() bool {
	return h.tenure.lease.First
}

// Call makes a call, unless the lease has ended or another call for the subject may still be carried out. It waits while the duty API
// would get more calls than it accepts. The call is abandoned when the lease ends.
func (h *Handle) Call(ctx context.Context, c Call) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(h.ctx, cancel)
	defer stop()
	r := h.tenure.runner
	if err := r.subjects.begin(c.Subject, c.Content, r.Clock()); err != nil {
		return err
	}
	err := ErrEnded
	if wait.Sleep(ctx, r.pace.delay(r.Clock())) {
		err = h.send(ctx, c)
	}
	r.subjects.end(c.Subject, c.Content, mayBeCarriedOut(err), r.Clock())
	return err
}

func (h *Handle) send(ctx context.Context, c Call) error {
	t, r := h.tenure, h.tenure.runner
	began, left := r.Clock(), t.lease.Remaining()
	if left <= 0 {
		return ErrEnded
	}
	ctx, cancel := context.WithTimeout(ctx, min(callTimeout, left))
	defer cancel()
	err := c.Send(ctx, Credentials{Holder: r.Name, Token: t.lease.Fence})
	if errors.Is(err, ErrConflict) && !t.lease.Valid() {
		err = ErrFenced // no other process can have a higher token while the lease is valid
	}
	now := r.Clock()
	outcome := outcomeOf(err)
	r.Observer.DutyCalled(h.task, outcome, now.Sub(began))
	event := r.Log.Info()
	if outcome != OutcomeDone {
		event = r.Log.Warn()
	}
	event.Str("task", h.task).Str("subject", string(c.Subject)).Str("outcome", outcome).Int64("token", int64(t.lease.Fence)).
		Int64("tookMs", now.Sub(began).Milliseconds()).Err(err).Msg("duty: call ended")
	if errors.Is(err, ErrFenced) {
		t.end(ErrFenced)
	}
	if t.health.record(began, now, !errors.Is(err, ErrNotSent) || ctx.Err() != nil && h.ctx.Err() != nil) >= unreachedTime &&
		t.lease.SinceRenewal() <= storeSilence {
		r.barred.Store(now.Add(barredTime).UnixNano())
		t.end(errUnreached)
	}
	return err
}

// mayBeCarriedOut reports whether a call with the error may be carried out, now or later.
func mayBeCarriedOut(err error) bool {
	return err != nil && !errors.Is(err, ErrRefused) && !errors.Is(err, ErrNotSent) && !errors.Is(err, ErrEnded)
}

func outcomeOf(err error) string {
	switch {
	case err == nil:
		return OutcomeDone
	case errors.Is(err, ErrNotSent):
		return OutcomeNotSent
	case errors.Is(err, ErrThrottled):
		return OutcomeThrottled
	case errors.Is(err, ErrFenced):
		return OutcomeFenced
	case errors.Is(err, ErrConflict):
		return OutcomeConflict
	case errors.Is(err, ErrRefused):
		return OutcomeRefused
	default:
		return OutcomeUnknown
	}
}
