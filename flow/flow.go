// Package flow runs a request through a pipeline of stages.
package flow

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/trait"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Job holds the size of a request in tokens and its prompt prefix.
type Job struct {
	Input  units.Tokens // prompt tokens
	Output units.Tokens // maximum number of tokens to generate
	Prefix uint64       // hash of the shared prefix of the prompt, zero for none
	Shared units.Tokens // number of tokens in that prefix
}

// Times holds the times of a request's progress, for metrics.
type Times struct {
	Started    time.Time
	Admitted   time.Time
	FirstToken time.Time
}

// Exchange holds one request, its settings and its answer while it passes through the stages.
type Exchange struct {
	Context context.Context
	Writer  http.ResponseWriter // nil for a call that a peer forwarded
	Request *http.Request       // nil for a call that a peer forwarded
	Config  *config.Config      // one snapshot for the whole request

	ID         units.RequestID
	Service    *config.Service
	Tenant     *config.Tenant
	Class      *config.Class
	Deadline   time.Time
	Call       engine.Call
	Job        Job
	Digest     string        // hash of tenant, service, method, path and body
	Traits     []trait.Trait // messages of the prompt that other requests may share
	Idempotent bool
	Streams    bool // the caller requested a stream of events
	Forwarded  bool // came from a peer and must not be forwarded again

	Answer   engine.Answer
	Verdict  fault.Verdict // verdict of an answer without an error
	Replayed bool          // the answer is the recorded one of an earlier attempt
	Times    Times

	finishers []func(error)
}

// Stage is one step in the handling of a request.
type Stage interface {
	fmt.Stringer
	// Run returns nil to let the next stage run, or an error with a verdict to end the request.
	Run(x *Exchange) error
}

// Pipeline is a list of stages in the order in which they run.
type Pipeline []Stage

// Run runs the stages until one returns an error. Then it runs the finishers, in reverse order of registration.
func (p Pipeline) Run(x *Exchange) error {
	err := p.runStages(x)
	for i := len(x.finishers) - 1; i >= 0; i-- {
		x.finishers[i](err)
	}
	return err
}

func (p Pipeline) runStages(x *Exchange) error {
	for _, s := range p {
		if err := s.Run(x); err != nil {
			return err
		}
	}
	return nil
}

// OnFinish registers a function that is called with the request's error, or nil, when the request has ended.
func (x *Exchange) OnFinish(f func(error)) {
	x.finishers = append(x.finishers, f)
}
