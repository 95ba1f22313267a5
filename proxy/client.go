package proxy

import (
	"bytes"
	"context"
	crand "crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/heads"
	"github.com/buckthorntrack/buckthorntrack/links"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/reach"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// maxHeadBytes bounds the head of an answer, with all interim answers before it.
	maxHeadBytes = 16 << 10
	// maxIdlePerEngine bounds the idle connections to one engine, well below what an engine accepts from all callers.
	maxIdlePerEngine = 16
)

// Transport returns the HTTP transport to engines, and a function that closes its idle connections.
func Transport(
	dial func(ctx context.Context, network, address string) (net.Conn, error),
) (*http.Transport, func()) {
	t := newTransport(dial, defaultIdleTime)
	return t, t.CloseIdleConnections
}

func newTransport(dial dialFunc, idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: maxIdlePerEngine, IdleConnTimeout: idle, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// IdlePolicy learns how long engines keep idle connections.
type IdlePolicy interface {
	// SetIdleTimeout records the idle timeout that the engine at the address states, zero for none.
	SetIdleTimeout(address string, d time.Duration)
	// ConnectionForgotten records that the engine at the address did not know a connection that had been idle for a time.
	ConnectionForgotten(address string, idle time.Duration)
}

// singleUseBody is a request body that cannot be rewound, so that net/http never sends a request again by itself, not even one without a
// body. Package engine has links.Sending.Once for that.
type singleUseBody struct {
	*bytes.Reader
}

// Close implements io.Closer.
func (singleUseBody) Close() error { return nil }

// request is a caller's complete request, buffered so that it can be sent to more than one engine.
type request struct {
	Inbound
	method string
	target string // unmodified path and query
	host   string
	body   []byte
}

// roundTrip sends one call to an engine and checks the head of the answer. The caller must close the answer's body,
// which cannot be read any further once the context of the request ends.
func (r *run) roundTrip(out Outbound, w *work) (*http.Response, Reply, error) {
	s := links.NewSending(r.request.ID, r.request.method)
	endsConnection := false // so that its answer tells nothing about idle ones
	response, err := s.Exchange(func() (*http.Response, error) {
		return r.exchange(r.ctx, s, out, w)
	}, func() (*http.Response, error) {
		r.log.Info().Str("request", string(r.x.Inbound.ID)).Str("engine", string(out.Engine.ID)).Int64("born", out.Engine.StartedAt).
			Str("address", out.Engine.Address).Msg("proxy: a new connection is used, as an open one may have carried the id")
		endsConnection = true
		return r.exchange(overNewConnection(r.ctx), s, out, w)
	})
	if errors.Is(err, heads.ErrMalformed) {
		err = fault.New(fault.MayHaveRun, fault.CodeUpstreamFailed, http.StatusBadGateway, "upstream's answer is malformed").Wrap(err)
		r.logRejected(out, Reply{}, s.Use(), err)
		return nil, Reply{}, err
	}
	if err != nil {
		return nil, Reply{}, sendError(r.ctx, s.Sent(), err)
	}
	endsConnection = endsConnection || response.Close
	reply := r.format.Reply(response)
	if reply.ID == r.request.ID && !endsConnection {
		r.idle.SetIdleTimeout(out.Engine.Address, reply.IdleTimeout)
	}
	if err := checkReply(r.request.ID, response, reply); err != nil {
		_ = response.Body.Close()
		r.logRejected(out, reply, s.Use(), err)
		if reply.ID != r.request.ID {
			r.observer.AnswerDoubted(r.x.Service.Name, "otherID")
			s.Close()
			reply = Reply{}
		}
		return nil, reply, err
	}
	return response, reply, nil
}

// exchange sends the request over a connection that may carry it, and returns the answer.
func (r *run) exchange(ctx context.Context, s *links.Sending, out Outbound, w *work) (*http.Response, error) {
	answered := &atomic.Bool{}
	idle := &atomic.Int64{} // nanoseconds for which the connection was idle before, zero for a new one
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if !s.Begin(info.Conn) {
				return
			}
			w.connected(r.clock())
			if info.Reused {
				idle.Store(int64(info.IdleTime))
			} else {
				r.announceUnreached(out.Engine, r.path.connected(out.Engine, r.clock()))
			}
		},
		GotFirstResponseByte: func() { answered.Store(true) },
	})
	target, _ := engineURL(out.Engine.Address, r.request.target) // checked by Run
	outgoing := (&http.Request{
		Method: r.request.method,
		URL:    target,
		Host:   r.request.host,
		Header: r.format.Outbound(r.request.Inbound, out),
		Body:   singleUseBody{bytes.NewReader(r.request.body)}, ContentLength: int64(len(r.request.body)),
	}).WithContext(ctx)
	response, err := r.http.RoundTrip(outgoing)
	if err != nil && idle.Load() > 0 && !answered.Load() && ctx.Err() == nil {
		r.idle.ConnectionForgotten(out.Engine.Address, time.Duration(idle.Load()))
	}
	return response, err
}

// logRejected logs an answer that is not passed on, with the use of its connection.
func (r *run) logRejected(out Outbound, reply Reply, use links.Use, err error) {
	r.log.Info().Str("request", string(r.x.Inbound.ID)).Str("answerTo", string(reply.ID)).Str("engine", string(out.Engine.ID)).
		Int64("born", out.Engine.StartedAt).Str("address", out.Engine.Address).Str("code", string(fault.From(err).Code)).
		Int64("connection", int64(use.Conn)).Int("requestOfConnection", use.Request).
		Int64("tookMs", r.clock().Sub(out.Sent).Milliseconds()).Msg("proxy: answer is not passed on")
}

// checkReply returns an error if the answer belongs to another request or comes from another engine, if the engine did
// not run the request, or if the body is encoded. The id proves something, as links.Conn carries it once.
func checkReply(id units.RequestID, response *http.Response, reply Reply) error {
	if reply.ID != id {
		return fault.New(fault.MayHaveRun, fault.CodeUpstreamFailed, http.StatusBadGateway,
			"upstream answered request %q instead of this one", reply.ID)
	}
	if response.StatusCode == http.StatusMisdirectedRequest {
		return fault.Unavailable(fault.CodeWrongUpstream, 0, "upstream is not the expected engine, or has another role")
	}
	if reply.NotRun {
		return refusedError(response.StatusCode)
	}
	if reply.Encoded {
		return fault.New(fault.MayHaveRun, fault.CodeUpstreamFailed, http.StatusBadGateway,
			"upstream answered with an encoded body")
	}
	return nil
}

func refusedError(status int) error {
	return fault.Unavailable(fault.CodeUpstreamRefused, 0, "upstream refused with status %d", status)
}

// sendError classifies a failed send. The verdict is notRun only if no connection to the engine was established.
func sendError(ctx context.Context, connected bool, err error) error {
	if connected {
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			return fault.New(fault.MayHaveRun, fault.CodeDeadline, http.StatusGatewayTimeout,
				"upstream did not answer in time").Wrap(err)
		}
		if errors.Is(context.Cause(ctx), context.Canceled) {
			return fault.New(fault.MayHaveRun, fault.CodeCanceled, http.StatusBadGateway, "caller disconnected").Wrap(err)
		}
		if errors.Is(err, reach.ErrPathLost) {
			return fault.New(fault.MayHaveRun, fault.CodePathLost, http.StatusBadGateway,
				"path to the upstream was lost after the request was sent").Wrap(err)
		}
		return fault.New(fault.MayHaveRun, fault.CodeUpstreamDied, http.StatusBadGateway,
			"upstream failed after the request was sent").Wrap(err)
	}
	return fault.Unavailable(fault.CodeNoUpstream, 0, "upstream cannot be reached").Wrap(err)
}

// freeHandle asks the engine in the background to free a prefilled prompt that no engine will decode. An engine that wants
// nothing is left alone, and the handle expires.
func (s *Stage) freeHandle(e *pick.Engine, h Handle) {
	if e.Declines(s.clock()) {
		return
	}
	method, path := s.format.Free(h)
	s.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		if err := s.controlCall(ctx, e, method, path); err != nil {
			s.log.Debug().Str("engine", string(e.ID)).Err(err).Msg("proxy: handle not freed, it will expire")
		}
	})
}

// freeTimeout bounds the call that frees a handle; a handle that is not freed expires after some seconds.
const freeTimeout = time.Second

// controlCall makes a call that is no request of a caller. The id that its connection remembers is not sent.
func (s *Stage) controlCall(ctx context.Context, e *pick.Engine, method, path string) error {
	call := links.NewSending(units.RequestID(crand.Text()), method)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { call.Begin(info.Conn) }})
	outgoing, err := http.NewRequestWithContext(ctx, method, "http://"+e.Address+path, nil)
	if err != nil {
		return fmt.Errorf("create control request: %w", err)
	}
	response, err := call.Check(s.http.RoundTrip(outgoing))
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	defer func() { _ = response.Body.Close() }()
	if id := s.format.Reply(response).ID; id != "" {
		call.Close()
		return fmt.Errorf("%s %s: upstream answered request %q instead", method, path, id)
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, heldAnswerBytes)); err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	return nil
}
