// Package flow carries a request through the stages that handle it.
package flow

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Job describes the work that a request asks of a service.
type Job struct {
	Input  units.Tokens // prompt tokens
	Output units.Tokens // most tokens to generate
	Prefix uint64       // hash of the shared prefix of the prompt, zero for none
	Shared units.Tokens // tokens of that prefix
}

// Times are the moments of a request, for metrics.
type Times struct {
	Started    time.Time
	Admitted   time.Time
	FirstToken time.Time
}

// Exchange is one request on its way through the stages.
type Exchange struct {
	Context context.Context
	Writer  http.ResponseWriter // nil for a call that a peer passed on
	Request *http.Request       // nil for a call that a peer passed on
	Config  *config.Config      // the snapshot that the whole request uses

	ID         units.RequestID
	Service    *config.Service
	Tenant     *config.Tenant
	Class      *config.Class
	Deadline   time.Time
	Call       engine.Call
	Job        Job
	Digest     string // identity of tenant and body
	Idempotent bool
	Streams    bool // the caller wants a stream of events
	Forwarded  bool // came from a peer, so that it is not passed on again

	Answer   engine.Answer
	Verdict  fault.Verdict // of an answer without an error
	Replayed bool          // the answer was recorded earlier
	Times    Times

	finishers []func(error)
}

// Stage is one step on the way of a request.
type Stage interface {
	fmt.Stringer
	// Run passes the request on by returning nil, or ends it with an error that carries a verdict.
	Run(x *Exchange) error
}

// Line is the list of stages in their order.
type Line []Stage

// Run takes the request through the stages. Finishers run last, in reverse order.
func (l Line) Run(x *Exchange) error {
	err := l.stages(x)
	for i := len(x.finishers) - 1; i >= 0; i-- {
		x.finishers[i](err)
	}
	return err
}

func (l Line) stages(x *Exchange) error {
	for _, s := range l {
		if err := s.Run(x); err != nil {
			return err
		}
	}
	return nil
}

// Finish registers a function that runs when the request has ended, with its error.
func (x *Exchange) Finish(f func(error)) {
	x.finishers = append(x.finishers, f)
}
