package bench

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/flow"
)

var errRefused = errors.New("engine refused the request")

// upstream runs calls directly on the model of a stand-in engine, without a network.
type upstream struct {
	model *fakes.Model
}

// Send starts the call on the model, after the import of the KV cache if the call is a decode phase.
func (u upstream) Send(ctx context.Context, c engine.Call) (engine.Answer, error) {
	job, err := decodeJob(c.Body)
	if err != nil {
		return engine.Answer{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	request := fakes.ModelRequest{
		ID: c.RequestID, Input: job.Input, Shared: job.Shared, Output: job.Output, From: c.ResumeFrom, Phase: c.Phase,
		Priority: c.Priority,
	}
	if job.Prefix != 0 {
		request.Prefix = strconv.FormatUint(job.Prefix, 10)
	}
	if c.Phase == engine.PhaseDecode {
		time.Sleep(kvImportTime)
	}
	tokens, result, err := u.model.Start(ctx, request)
	if err != nil {
		cancel()
		return engine.Answer{}, fault.Unavailable(fault.CodeUpstreamRefused, time.Second, "refused").Wrap(
			errors.Join(errRefused, err))
	}
	return engine.Answer{Status: http.StatusOK, Events: &events{tokens: tokens, result: result, cancel: cancel}}, nil
}

// events is the token stream of a call.
type events struct {
	tokens <-chan engine.Token
	result func() error
	cancel func()
}

// Next returns the next token or the end marker.
func (e *events) Next() (engine.Event, error) {
	token, ok := <-e.tokens
	if ok {
		return engine.Event{Index: token.Index}, nil
	}
	if err := e.result(); err != nil {
		return engine.Event{}, fault.New(
			fault.MayHaveRun, fault.CodeUpstreamDied, http.StatusBadGateway, "stream ended early",
		).Wrap(err)
	}
	return engine.Event{Done: true}, nil
}

// Buffered reports whether Next returns a token without waiting.
func (e *events) Buffered() bool {
	return len(e.tokens) > 0
}

// Close cancels the call.
func (e *events) Close() {
	e.cancel()
}

// encodeJob writes the sizes of a request into a body, which stands in for the prompt.
func encodeJob(j flow.Job) []byte {
	return fmt.Appendf(nil, "%d %d %d %d", j.Input, j.Output, j.Prefix, j.Shared)
}

// decodeJob reads a body of encodeJob.
func decodeJob(body []byte) (flow.Job, error) {
	var j flow.Job
	_, err := fmt.Sscan(string(body), &j.Input, &j.Output, &j.Prefix, &j.Shared)
	return j, err
}
