package tunnel_test

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/socket"
	"github.com/buckthorntrack/buckthorntrack/tunnel"
)

// heldConn is a connection that is read only once a write has failed.
type heldConn struct {
	net.Conn
	failed chan struct{}
}

func (c *heldConn) Read(p []byte) (int, error) {
	<-c.failed
	return c.Conn.Read(p)
}

func (c *heldConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		close(c.failed) // there is no further write
	}
	return n, err
}

// TestResetThatAWriteMetIsPassedOn checks that a process passes the reset of an engine's connection on as one, not as its end, although
// the write of another process's bytes got the error. It uses the network of the system, which reports a reset once.
func TestResetThatAWriteMetIsPassedOn(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	system := socket.System()
	server, closeServer := tunnel.NewServer(tunnel.ServerOptions{
		Key: "test", Allowed: func(string) bool { return true }, Ready: func() bool { return true }, Limit: 1, Log: zerolog.Nop(),
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := system.Dial(ctx, network, address)
			return &heldConn{Conn: conn, failed: make(chan struct{})}, err
		},
	})
	process := httptest.NewServer(server)
	defer process.Close()
	defer closeServer()
	client, closeClient := tunnel.NewClient(tunnel.ClientOptions{Key: "test", Dial: system.Dial})
	defer closeClient()
	near, err := client.Dial(t.Context(), strings.TrimPrefix(process.URL, "http://"), listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = near.Close() }()
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	written := make(chan struct{})
	go func() {
		defer close(written)
		part := make([]byte, 1<<20)
		for err := error(nil); err == nil; {
			_, err = near.Write(part)
		}
	}()
	_, err = accepted.Read(make([]byte, 1)) // bytes are on their way
	assert.NilError(t, err)
	assert.NilError(t, accepted.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, accepted.Close())
	_, err = near.Read(make([]byte, 1))
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	<-written
}
