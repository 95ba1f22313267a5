package engine

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/heads"
	"github.com/buckthorntrack/buckthorntrack/links"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// MaxAnswerBytes bounds an answer that is not streamed, which is buffered whole before it is passed on.
	MaxAnswerBytes = 8 << 20
	// controlTimeout bounds calls other than requests, such as for load reports and orders.
	controlTimeout = 2 * time.Second

	idleConnTimeout     = 30 * time.Second
	maxIdleConnsPerHost = 1024
)

// ErrOldFence means that the engine has seen a higher fencing token than that of the call.
var ErrOldFence = errors.New("engine refused an old fencing token")

// Client calls one upstream over HTTP.
type Client struct {
	base    string
	pool    *Pool
	refuses []int       // statuses with which the upstream declares that it did not run the request
	names   atomic.Bool // the upstream has named a call in its answer
	unnamed atomic.Bool // the upstream has given an answer that names no call
}

// New returns a client of the upstream at the address. The upstream answers a status in refuses only if it did not run
// the request.
func New(address string, p *Pool, refuses []int) *Client {
	return &Client{base: "http://" + address, pool: p, refuses: refuses}
}

// Send implements Upstream.
func (c *Client) Send(ctx context.Context, call Call) (Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := links.NewSending(call.RequestID, call.Method)
	if call.IdempotencyKey != "" {
		s.Once()
	}
	response, err := c.exchange(s, call.RequestID, func() (*http.Request, error) {
		return c.newRequest(ctx, call)
	})
	if err != nil {
		cancel()
		return Answer{}, err
	}
	if slices.Contains(c.refuses, response.StatusCode) {
		discard(response.Body)
		cancel()
		return Answer{}, fault.Unavailable(fault.CodeUpstreamRefused, time.Second,
			"upstream refused with status %d", response.StatusCode)
	}
	if call.Streams && response.StatusCode == http.StatusOK {
		events := NewEvents(response.Body, cancel)
		return Answer{Status: response.StatusCode, Header: response.Header, Events: events}, nil
	}
	defer cancel()
	return readAnswer(response)
}

// Report reads the load report, and returns it with the time at which the request for it was sent.
func (c *Client) Report(ctx context.Context) (Report, time.Time, error) {
	requested := time.Now()
	var report Report
	err := c.control(ctx, http.MethodGet, "/load", nil, &report)
	return report, requested, err
}

// CacheEvents reads the cache events after the sequence number.
func (c *Client) CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := c.control(ctx, http.MethodGet, "/events?after="+strconv.FormatInt(after, 10), nil, &events)
	return events, err
}

// RaiseFence makes the engine refuse smaller fencing tokens from now on.
func (c *Client) RaiseFence(ctx context.Context, fence units.FencingToken) error {
	return c.control(ctx, http.MethodPost, "/fence", Order{Fence: fence}, nil)
}

// Submit sends the order.
func (c *Client) Submit(ctx context.Context, o Order) error {
	return c.control(ctx, http.MethodPost, "/orders", o, nil)
}

// State reads the state of the engine's orders.
func (c *Client) State(ctx context.Context) (State, error) {
	var state State
	err := c.control(ctx, http.MethodGet, "/orders", nil, &state)
	return state, err
}

// exchange sends the request of a call and returns the answer to it.
func (c *Client) exchange(s *links.Sending, id units.RequestID, newRequest func() (*http.Request, error)) (*http.Response, error) {
	first := c.pool.fresh
	if c.names.Load() && !c.unnamed.Load() {
		first = c.pool.kept
	}
	response, err := s.Exchange(func() (*http.Response, error) {
		return c.roundTrip(first, s, newRequest)
	}, func() (*http.Response, error) {
		return c.roundTrip(c.pool.fresh, s, newRequest)
	})
	if invalid := (*fault.Error)(nil); errors.As(err, &invalid) {
		return nil, err // the call was not made
	}
	if errors.Is(err, heads.ErrMalformed) {
		return nil, fault.New(fault.MayHaveRun, fault.CodeUpstreamFailed, http.StatusBadGateway, "upstream's answer is malformed").Wrap(err)
	}
	if err != nil {
		return nil, sendFault(!s.Withdraw(), err)
	}
	named := units.RequestID(response.Header.Get(HeaderRequestID))
	switch named {
	case id:
		c.names.Store(true)
	case "":
		c.unnamed.Store(true)
	}
	if !proves(named, id, s.Use()) {
		_ = response.Body.Close()
		s.Close()
		return nil, fault.New(fault.MayHaveRun, fault.CodeUpstreamFailed, http.StatusBadGateway,
			"upstream's answer is for request %q or an earlier one", named)
	}
	return response, nil
}

func (c *Client) roundTrip(t *http.Transport, s *links.Sending, newRequest func() (*http.Request, error)) (*http.Response, error) {
	request, err := newRequest()
	if err != nil {
		return nil, err
	}
	return t.RoundTrip(request.WithContext(withTrace(request.Context(), s)))
}

// newRequest returns the HTTP request for the call.
func (c *Client) newRequest(ctx context.Context, call Call) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, fault.Bad("path", "bad path").Wrap(err)
	}
	request.GetBody = nil // keeps the transport from sending the body again after a failure
	maps.Copy(request.Header, call.Header)
	request.Header.Set(HeaderRequestID, string(call.RequestID))
	request.Header.Set(HeaderPriority, strconv.Itoa(int(call.Priority)))
	setUnlessEmpty(request.Header, HeaderIdempotencyKey, call.IdempotencyKey)
	setUnlessEmpty(request.Header, HeaderPhase, string(call.Phase))
	setUnlessEmpty(request.Header, HeaderKVFrom, call.KVFrom)
	if call.ResumeFrom > 0 {
		request.Header.Set(HeaderResumeFrom, strconv.FormatInt(int64(call.ResumeFrom), 10))
	}
	return request, nil
}

// control sends the body as JSON and decodes the engine's answer, unless answer is nil. Status 409 returns ErrOldFence.
func (c *Client) control(ctx context.Context, method, path string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	encoded, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode control call: %w", err)
	}
	id := units.RequestID(rand.Text())
	response, err := c.exchange(links.NewSending(id, method), id, func() (*http.Request, error) {
		request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(encoded))
		if err != nil {
			return nil, fmt.Errorf("create control request: %w", err)
		}
		request.Header.Set(HeaderRequestID, string(id))
		return request, nil
	})
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	defer discard(response.Body)
	switch {
	case response.StatusCode == http.StatusConflict:
		return fmt.Errorf("%s %s: %w", method, path, ErrOldFence)
	case response.StatusCode >= http.StatusBadRequest:
		return fmt.Errorf("%s %s: status %d", method, path, response.StatusCode)
	case answer == nil:
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, MaxAnswerBytes)).Decode(answer); err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	return nil
}

// readAnswer reads an answer that is not streamed.
func readAnswer(response *http.Response) (Answer, error) {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil {
		return Answer{}, fault.New(fault.MayHaveRun, fault.CodeUpstreamDied, http.StatusBadGateway,
			"upstream's answer is incomplete").Wrap(err)
	}
	if len(body) > MaxAnswerBytes {
		return Answer{}, fault.New(fault.Ran, fault.CodeUpstreamFailed, http.StatusBadGateway,
			"upstream answered more than %d bytes", MaxAnswerBytes)
	}
	return Answer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// sendFault returns the error for a failed send. Its verdict is notRun only if no byte of the request was passed to a connection.
func sendFault(sent bool, err error) error {
	if sent {
		return fault.New(fault.MayHaveRun, fault.CodeUpstreamDied, http.StatusBadGateway,
			"upstream failed after the send").Wrap(err)
	}
	return fault.Unavailable(fault.CodeNoUpstream, time.Second, "upstream cannot be reached").Wrap(err)
}

func setUnlessEmpty(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// discard drains and closes the body, so that the connection can be reused.
func discard(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, MaxAnswerBytes))
	_ = body.Close()
}
