package tunnel

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/coder/websocket"

	"github.com/buckthorntrack/buckthorntrack/wire"
)

// ClientOptions holds the dependencies of a Client.
type ClientOptions struct {
	Key  string // shared by all processes
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnRetire is called when a process asks that its connections be used for no further request, once for each connection. It
	// must not block. Nil stands for none.
	OnRetire func()
}

// Client opens connections to engines through other processes.
type Client struct {
	key  string
	http *http.Client
	// onRetire is called for each connection that must not be used for a further request.
	onRetire func()
	open     atomic.Int64
}

// NewClient returns a client, and a function that closes its idle connections to processes. Open tunnels belong to the callers
// of Dial.
func NewClient(o ClientOptions) (*Client, func()) {
	transport := &http.Transport{DialContext: o.Dial, IdleConnTimeout: handshakeTimeout, MaxResponseHeaderBytes: maxHeadBytes}
	if o.OnRetire == nil {
		o.OnRetire = func() {}
	}
	return &Client{key: o.Key, http: &http.Client{Transport: transport}, onRetire: o.OnRetire}, transport.CloseIdleConnections
}

// Open returns the number of open tunnels.
func (c *Client) Open() int64 {
	return c.open.Load()
}

// Dial connects to an engine through the process at an address. It returns once that process has connected to the engine: after
// an error the engine has got no byte. The error is a RefusedError if the process has answered.
//
// The connection ends with io.EOF only if the engine has closed its connection. Otherwise its errors wrap ECONNRESET if the
// engine's connection has failed, and reach.ErrPathLost if the process is lost or no longer reaches the engine.
func (c *Client) Dial(ctx context.Context, process, engine string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	ws, response, err := websocket.Dial(ctx, "ws://"+process+Path, &websocket.DialOptions{
		HTTPClient: c.http, HTTPHeader: http.Header{keyHeader: {c.key}},
	})
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("tunnel: dial process %s: %w", process, err)
	}
	if err := request(ctx, ws, process, engine); err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	c.open.Add(1)
	return newConn(ws, process, engine, c.onRetire, func() { c.open.Add(-1) }), nil
}

// request asks the process for the connection and waits for its answer.
func request(ctx context.Context, ws *websocket.Conn, process, engine string) error {
	ws.SetReadLimit(maxHandshakeBytes)
	if err := writeFrame(ctx, ws, wire.Frame{Tunnel: &wire.Tunnel{Engine: engine}}); err != nil {
		return fmt.Errorf("tunnel: ask process %s: %w", process, err)
	}
	_, data, err := ws.Read(ctx)
	if err != nil {
		return fmt.Errorf("tunnel: answer of process %s: %w", process, err)
	}
	reason, err := decodeAnswer(data)
	if err != nil {
		return fmt.Errorf("tunnel: answer of process %s: %w", process, err)
	}
	if reason != "" {
		return &RefusedError{Process: process, Reason: reason}
	}
	ws.SetReadLimit(chunkBytes)
	return nil
}
