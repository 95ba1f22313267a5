package send

import (
	"errors"
	"net/http"
	"sync"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fault"
)

var errGap = errors.New("engine left out a token")

// tokens is a stream that goes on elsewhere when its engine fails. Each token comes once and in order.
type tokens struct {
	run  *run
	once sync.Once
	done bool
}

// Next returns the next token or the end marker.
func (t *tokens) Next() (engine.Event, error) {
	r := t.run
	for {
		event, err := r.events.Next()
		switch {
		case err != nil:
			if err := r.resume(err); err != nil {
				return engine.Event{}, err
			}
		case event.Done && r.phase == engine.PhasePrefill && r.next < r.x.Job.Output:
			if err := r.handOver(); err != nil {
				return engine.Event{}, err
			}
		case event.Done:
			t.done = true
			return event, nil
		case event.Index < r.next: // sent before
		case event.Index > r.next:
			if err := r.resume(errGap); err != nil {
				return engine.Event{}, err
			}
		default:
			r.next++
			return event, nil
		}
	}
}

// Buffered reports whether the next event is at hand.
func (t *tokens) Buffered() bool {
	return t.run.events.Buffered()
}

// Close ends the stream, and cancels the request if it still runs.
func (t *tokens) Close() {
	t.once.Do(func() {
		t.run.events.Close()
		if t.run.phase != "" {
			t.run.endPhase()
		}
	})
}

// handOver moves the request from the engine that prefilled its prompt to the one that decodes.
func (r *run) handOver() error {
	r.events.Close()
	r.endPhase()
	if err := r.startDecode(); err != nil {
		return r.again(err)
	}
	return nil
}

// resume goes on with the stream on another engine after the error.
func (r *run) resume(cause error) error {
	r.events.Close()
	if r.x.Context.Err() != nil {
		return lateFault(r.x.Context)
	}
	if !r.remotely {
		v := r.engine()
		r.endPhase()
		r.failed(v, diedFault(cause))
	}
	return r.again(cause)
}

// again starts the request anew from the next token that the caller lacks.
func (r *run) again(cause error) error {
	for r.attempts < maxAttempts && r.x.Context.Err() == nil {
		r.stage.observer.Resumed(r.x)
		answer, err := r.attempt(true)
		if err == nil {
			r.events = answer.Events
			return nil
		}
		if fault.From(err).Code == fault.CodeQuarantined {
			return ranFault(err)
		}
		cause = err
		if !r.pause() {
			break
		}
	}
	if r.x.Context.Err() != nil {
		return lateFault(r.x.Context)
	}
	return ranFault(cause)
}

func diedFault(cause error) error {
	return fault.New(fault.MayHaveRun, fault.CodeUpstreamDied, http.StatusBadGateway,
		"engine broke the stream off").Wrap(cause)
}

// ranFault is the failure of a request of which a part ran already.
func ranFault(cause error) error {
	e := *fault.From(cause)
	e.Verdict = fault.MayHaveRun
	e.RetryAfter = 0
	if e.Status == http.StatusServiceUnavailable {
		e.Status = http.StatusBadGateway
	}
	return &e
}
