package serve

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/ident"
	"github.com/buckthorntrack/buckthorntrack/relay"
	"github.com/buckthorntrack/buckthorntrack/route"
	"github.com/buckthorntrack/buckthorntrack/send"
	"github.com/buckthorntrack/buckthorntrack/wire"
	"github.com/buckthorntrack/buckthorntrack/zone"
)

var routedMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	http.MethodOptions,
}

// callerServer returns the server for callers.
func (p *Process) callerServer() *http.Server {
	router := httprouter.New()
	router.HandleMethodNotAllowed = false
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	for _, method := range routedMethods {
		router.HandlerFunc(method, ident.ChatPath, p.handleCaller)
		router.HandlerFunc(method, ident.ServicesPath+"*path", p.handleCaller)
	}
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		err := fault.New(fault.NotRun, fault.CodeUnknownService, http.StatusNotFound, "path does not belong to any service")
		relay.WriteError(w, r.Header.Get(engine.HeaderRequestID), err.WithField("path"))
	})
	return &http.Server{
		Handler:        router,
		ReadTimeout:    p.settings.Limits.ReadTimeout,
		MaxHeaderBytes: p.settings.Limits.HeaderBytes,
	}
}

// handleCaller runs one request of a caller through the stages.
func (p *Process) handleCaller(w http.ResponseWriter, r *http.Request) {
	defer p.inFlight.Add(-1)
	if p.inFlight.Add(1) > p.settings.Limits.Streams {
		overloaded := fault.Unavailable(fault.CodeOverloaded, time.Second, "process is at its limit of concurrent requests")
		relay.WriteError(w, r.Header.Get(engine.HeaderRequestID), overloaded)
		return
	}
	x := &flow.Exchange{Context: r.Context(), Writer: w, Request: r, Config: p.follower.Config()}
	x.Times.Started = p.clock()
	err := p.runCaller(x)
	p.metrics.ObserveRequest(x, err, p.clock())
	if err == nil {
		return
	}
	p.logFailure(x, err)
	var truncated *fault.TruncatedError
	if errors.As(err, &truncated) {
		panic(http.ErrAbortHandler)
	}
	relay.WriteError(w, string(x.ID), err)
}

// runCaller converts a panic of a stage into an error of this request, so that the process keeps serving others.
func (p *Process) runCaller(x *flow.Exchange) (err error) {
	defer func() {
		if r := recover(); r != nil {
			p.log.Error().Str("request", string(x.ID)).Interface("panic", r).Msg("serve: request panicked")
			err = fault.New(fault.MayHaveRun, fault.CodeInternal, http.StatusInternalServerError, "internal error")
		}
	}()
	return p.callerPipeline.Run(x)
}

// handlePeer runs a request that a peer forwarded.
func (p *Process) handlePeer(ctx context.Context, c wire.Call) (engine.Answer, error) {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	x, err := zone.NewExchange(ctx, c, p.follower.Config(), p.clock())
	if err != nil {
		return engine.Answer{}, err
	}
	if c.Streams {
		ident.ReadJob(x, c.Body)
	}
	x.Digest = ident.Digest(x)
	x.Times.Started = p.clock()
	if err := p.peerPipeline.Run(x); err != nil {
		return engine.Answer{}, err
	}
	return x.Answer, nil
}

func (p *Process) logFailure(x *flow.Exchange, err error) {
	e := fault.From(err)
	event := p.log.Debug()
	if e.Verdict != fault.NotRun {
		event = p.log.Warn()
	}
	event.Str("request", string(x.ID)).Str("verdict", e.Verdict.String()).Err(err).Msg("serve: request failed")
}

// summarize returns the state of the service in this availability zone.
func summarize(t *send.Target, p *Process) wire.ZoneSummary {
	s := wire.ZoneSummary{}
	now := p.clock()
	for _, v := range t.Fleet.Views() {
		if v.Usable(now) {
			s.Usable++
		}
	}
	if plan, ok := t.Fleet.Choose(route.Request{Now: now}); ok {
		s.QueuedMS = plan.QueueDelay.Milliseconds()
	}
	return s
}
