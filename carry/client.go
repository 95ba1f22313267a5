package carry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// maxAnswer bounds an answer that is held whole before it is passed on.
	maxAnswer = 8 << 20
	// idlePerEngine bounds the idle connections to one engine, well below what an engine accepts of all callers.
	idlePerEngine = 16
	// engineIdle is how long an idle connection to an engine is kept, below the usual timeouts of servers.
	engineIdle = 2 * time.Second
)

// Transport returns the HTTP transport to engines, and a function that closes its idle connections.
func Transport(
	dial func(ctx context.Context, network, address string) (net.Conn, error),
) (*http.Transport, func()) {
	t := &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: idlePerEngine, IdleConnTimeout: engineIdle, DisableCompression: true,
	}
	return t, t.CloseIdleConnections
}

// once is a body that net/http cannot read again, so that it never repeats a request by itself.
type once struct {
	*bytes.Reader
}

// Close implements io.Closer.
func (once) Close() error { return nil }

// request is what a caller sent, held whole so that it can be sent to more than one engine.
type request struct {
	Inbound
	method string
	target string // path and query as they came
	host   string
	body   []byte
}

// exchange sends the call. The answer's body ends when ctx does.
func (s *Stage) exchange(ctx context.Context, r request, out Outbound) (*http.Response, Reply, error) {
	connected := &atomic.Bool{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	outgoing := (&http.Request{
		Method: r.method,
		URL:    &url.URL{Scheme: "http", Host: out.Engine.Address, Opaque: r.target},
		Host:   r.host,
		Header: s.format.Outbound(r.Inbound, out),
		Body:   once{bytes.NewReader(r.body)}, ContentLength: int64(len(r.body)),
	}).WithContext(ctx)
	response, err := s.http.RoundTrip(outgoing)
	if err != nil {
		return nil, Reply{}, sendFault(ctx, connected.Load(), err)
	}
	reply := s.format.Reply(response)
	if err := checkReply(r.ID, response, reply); err != nil {
		_ = response.Body.Close()
		return nil, reply, err
	}
	return response, reply, nil
}

// checkReply reports answers that are not the engine's word on this request.
func checkReply(id units.RequestID, response *http.Response, reply Reply) error {
	if reply.ID != id {
		return fault.New(fault.MayHaveRun, fault.CodeUpstreamFailed, http.StatusBadGateway,
			"upstream answered request %q in place of this one", reply.ID)
	}
	if response.StatusCode == http.StatusMisdirectedRequest {
		return fault.Unavailable(fault.CodeWrongUpstream, 0, "upstream is not the one that was meant, or has another role")
	}
	if reply.NotRun {
		return refusal(response.StatusCode)
	}
	if reply.Encoded {
		return fault.New(fault.MayHaveRun, fault.CodeUpstreamFailed, http.StatusBadGateway,
			"upstream answered with an encoded body")
	}
	return nil
}

func refusal(status int) error {
	return fault.Unavailable(fault.CodeUpstreamRefused, 0, "upstream refused with status %d", status)
}

// sendFault gives the verdict of a failed send: notRun only when no connection was ever at hand.
func sendFault(ctx context.Context, connected bool, err error) error {
	if connected {
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			return fault.New(fault.MayHaveRun, fault.CodeDeadline, http.StatusGatewayTimeout,
				"upstream did not answer in time").Wrap(err)
		}
		if errors.Is(context.Cause(ctx), context.Canceled) {
			return fault.New(fault.MayHaveRun, fault.CodeCanceled, http.StatusBadGateway, "caller has left").Wrap(err)
		}
		return fault.New(fault.MayHaveRun, fault.CodeUpstreamDied, http.StatusBadGateway,
			"upstream failed after the send").Wrap(err)
	}
	return fault.Unavailable(fault.CodeNoUpstream, 0, "upstream cannot be reached").Wrap(err)
}

// readWhole reads an answer to its end.
func readWhole(ctx context.Context, response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return nil, sendFault(ctx, true, err)
	}
	if len(body) > maxAnswer {
		return nil, fault.New(fault.Ran, fault.CodeUpstreamFailed, http.StatusBadGateway,
			"upstream answered more than %d bytes", maxAnswer)
	}
	return body, nil
}

// free tells the engine that nobody will take the prompt that it read.
func (s *Stage) free(e *pick.Engine, h Handle) {
	method, path := s.format.Free(h)
	s.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		if err := s.control(ctx, e, method, path); err != nil {
			s.log.Debug().Str("engine", string(e.ID)).Err(err).Msg("carry: handle was not freed and lapses by itself")
		}
	})
}

// freeTimeout bounds the call that frees a handle; a handle lapses by itself after some seconds.
const freeTimeout = time.Second

func (s *Stage) control(ctx context.Context, e *pick.Engine, method, path string) error {
	outgoing, err := http.NewRequestWithContext(ctx, method, "http://"+e.Address+path, nil)
	if err != nil {
		return fmt.Errorf("make control call: %w", err)
	}
	response, err := s.http.RoundTrip(outgoing)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswer)); err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	return nil
}
