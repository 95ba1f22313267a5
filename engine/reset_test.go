package engine_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/socket"
)

// orderedConn is a connection whose end is read after a write has failed, and before the write returns.
type orderedConn struct {
	net.Conn
	left   int // bytes that are read at once
	failed chan struct{}
	ended  chan struct{}
}

func (c *orderedConn) Read(p []byte) (int, error) {
	if c.left == 0 {
		<-c.failed
	}
	n, err := c.Conn.Read(p)
	c.left -= n
	if err != nil {
		close(c.ended)
	}
	return n, err
}

func (c *orderedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		close(c.failed)
		<-c.ended
	}
	return n, err
}

// TestAnswerThatAResetCutsIsNotComplete checks an answer without a length that comes while its call is on its way, over the network of
// the system, which reports a reset to one call only.
func TestAnswerThatAResetCutsIsNotComplete(t *testing.T) {
	tests := []struct {
		name   string
		resets bool // the upstream resets the connection; otherwise it closes its side and reads on
	}{
		{name: "reset", resets: true},
		{name: "end of the upstream's side"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }()
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: id\r\n\r\nbody", engine.HeaderRequestID)
			done := make(chan struct{})
			go func() {
				defer close(done)
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, answer)
				if tt.resets {
					_ = conn.(*net.TCPConn).SetLinger(0)
					return
				}
				_ = conn.(*net.TCPConn).CloseWrite()
				_, _ = io.Copy(io.Discard, request.Body)
			}()
			pool, closePool := engine.Transport(func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := socket.System().Dial(ctx, network, address)
				if err != nil || !tt.resets {
					return conn, err
				}
				return &orderedConn{Conn: conn, left: len(answer), failed: make(chan struct{}), ended: make(chan struct{})}, nil
			})
			defer closePool()
			got, err := engine.New(listener.Addr().String(), pool, nil).Send(t.Context(), engine.Call{
				RequestID: "id", Method: http.MethodPost, Path: "/x", Body: make([]byte, 16<<20),
			})
			<-done
			if tt.resets {
				assert.Assert(t, err != nil, "the part %q counts as the answer", got.Body)
				assert.Equal(t, fault.VerdictOf(err), fault.MayHaveRun)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, string(got.Body), "body")
		})
	}
}
