package conns

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/fakes"
)

// TestSlowBodies checks that a body has to arrive in time, and that the one that is incomplete for the longest time makes room on demand.
func TestSlowBodies(t *testing.T) {
	serveGuarded(t, Options{Limits: testLimits}, 10, func(s *guarded) {
		assert.Assert(t, !s.guard.EndLongestBody())
		slow, stalled := s.dial(), s.dial()
		for _, c := range []*client{slow, stalled} {
			c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nabc")
			synctest.Wait()
			time.Sleep(300 * time.Millisecond)
		}
		assert.Assert(t, !s.guard.EndLongestBody())
		time.Sleep(200 * time.Millisecond)
		assert.Assert(t, s.guard.EndLongestBody())
		assert.Equal(t, slow.receive(), http.StatusBadRequest)
		assert.Assert(t, !s.guard.EndLongestBody())
		time.Sleep(31 * time.Second)
		assert.Equal(t, stalled.receive(), http.StatusBadRequest)
		assert.Equal(t, s.count(ReasonBodyRoom), 1)
		assert.Equal(t, s.count(ReasonBodyTime), 1)
		for _, err := range s.errs {
			assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
		}
	})
}

// TestMalformedChunksEndTheConnection checks that bytes after a malformed chunk are not taken for a request.
func TestMalformedChunksEndTheConnection(t *testing.T) {
	for _, chunks := range []string{
		"x\r\n", "\r\n", "1\nx\r\n", "1\r\nxy\r\n", "1\r\nx\n", "1;" + strings.Repeat("e", 5000), "ffffffffffffffffff\r\n",
		"0\r\n" + strings.Repeat("a:\r\n", 100), "0\r\nA: " + strings.Repeat("x", 3000), "0\r\n\n",
	} {
		serveGuarded(t, Options{Limits: testLimits}, 10, func(s *guarded) {
			c := s.dial()
			c.trySend("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n" + requestText)
			assert.Equal(t, c.receive(), http.StatusBadRequest)
			assert.Equal(t, c.receive(), 0)
			assert.Equal(t, len(s.bodies), 0)
			assert.Equal(t, s.count(ReasonFraming), 1)
		})
	}
}

// TestHijackedConnectionsAreLeftAlone checks that connections between processes are no longer read as requests and do not count.
func TestHijackedConnectionsAreLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := fakes.NewNetwork()
		inner, err := network.Host("server").Listen(address)
		assert.NilError(t, err)
		g := NewGuard(Options{Limits: testLimits, Clock: time.Now})
		l := g.Listen(inner, "peers", 1)
		hijacked := make(chan net.Conn, 1)
		server := &http.Server{ConnState: l.Track, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			assert.Check(t, err)
			hijacked <- conn
		})}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = server.Serve(l)
		}()
		c, err := network.Host("caller").Dial(t.Context(), "tcp", address)
		assert.NilError(t, err)
		_, _ = io.WriteString(c, requestText)
		conn := <-hijacked
		assert.Equal(t, l.Open(), 0)
		time.Sleep(time.Minute)
		g.Sweep()
		go func() { _, _ = c.Write([]byte("\x00\n\n\n\n\n\n\n\n")) }()
		data := make([]byte, 9)
		_, err = io.ReadFull(conn, data)
		assert.NilError(t, err)
		assert.Equal(t, string(data), "\x00\n\n\n\n\n\n\n\n")
		_ = c.Close()
		_ = conn.Close()
		_ = server.Close()
		<-done
		time.Sleep(time.Second)
	})
}
