package send

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

var errMissingToken = errors.New("engine skipped a token")

// tokenStream is a stream of tokens that resumes on another engine if its engine fails. It returns each token exactly
// once and in order.
type tokenStream struct {
	run  *run
	once sync.Once
	done bool
}

// Next returns the next token or the end marker.
func (t *tokenStream) Next() (engine.Event, error) {
	r := t.run
	for {
		event, err := r.events.Next()
		switch {
		case err != nil:
			if err := r.resume(err); err != nil {
				return engine.Event{}, err
			}
		case event.Done && r.phase == engine.PhasePrefill && r.nextToken < r.x.Job.Output:
			if err := r.handOver(); err != nil {
				return engine.Event{}, err
			}
		case event.Done:
			t.done = true
			if len(r.x.Traits) > 0 {
				r.stage.screen.RunCompleted(r.x.Traits)
			}
			return event, nil
		case event.Index < r.nextToken: // already passed to the caller
		case event.Index > r.nextToken:
			if err := r.resume(errMissingToken); err != nil {
				return engine.Event{}, err
			}
		default:
			r.nextToken++
			return event, nil
		}
	}
}

// Buffered reports whether the next event can be read without blocking.
func (t *tokenStream) Buffered() bool {
	return t.run.events.Buffered()
}

// Close ends the stream, and cancels the request if it is still running.
func (t *tokenStream) Close() {
	t.once.Do(func() {
		t.run.events.Close()
		if t.run.phase != "" {
			t.run.endPhase()
		}
	})
}

// handOver moves the request from the prefill engine to the decode engine.
func (r *run) handOver() error {
	r.events.Close()
	r.endPhase()
	if err := r.startDecode(); err != nil {
		return r.restart(err)
	}
	return nil
}

// resume continues the stream on another engine after a failure.
func (r *run) resume(cause error) error {
	r.events.Close()
	if r.x.Context.Err() != nil {
		return contextError(r.x.Context)
	}
	if !r.isRemote {
		v := r.currentView()
		r.endPhase()
		r.recordFailure(v, diedError(cause))
	}
	return r.restart(cause)
}

// restart sends the request again from the next token that the caller has not received, until an attempt succeeds or
// none is left.
func (r *run) restart(cause error) error {
	for r.attempts < maxAttempts && r.x.Context.Err() == nil {
		r.stage.observer.Resumed(r.x)
		answer, err := r.attempt(true)
		if err == nil {
			r.events = answer.Events
			return nil
		}
		if fault.From(err).Code == fault.CodeQuarantined {
			return mayHaveRunError(err)
		}
		cause = err
		if !r.pause() {
			break
		}
	}
	if r.x.Context.Err() != nil {
		return contextError(r.x.Context)
	}
	return mayHaveRunError(cause)
}

// awaitOutageExtent waits, if the request was running when several engines crashed, until the other crashes of the same
// outage are known. They show that the request is not the cause, and it does not move to an engine that is about to crash.
func (r *run) awaitOutageExtent() {
	if r.stage.screen.HasCrashedSeveral(r.x.Digest) {
		wait.Sleep(r.x.Context, outageExtentTime)
	}
}

// outageExtentTime is the time within which the crashes of one outage are noticed.
const outageExtentTime = 100 * time.Millisecond

func diedError(cause error) error {
	return fault.New(fault.MayHaveRun, fault.CodeUpstreamDied, http.StatusBadGateway,
		"engine ended the stream early").Wrap(cause)
}

// mayHaveRunError returns a copy of the error with the verdict mayHaveRun, without a time to retry after. A status of
// 503 becomes 502.
func mayHaveRunError(cause error) error {
	e := *fault.From(cause)
	e.Verdict = fault.MayHaveRun
	e.RetryAfter = 0
	if e.Status == http.StatusServiceUnavailable {
		e.Status = http.StatusBadGateway
	}
	return &e
}
