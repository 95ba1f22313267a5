package reach

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/fakes"
)

// renewedTransport sends requests over the connections of a network. When the path to the engines changes, requests go over new
// connections, and the former ones are closed as soon as they are idle.
type renewedTransport struct {
	current atomic.Pointer[http.Transport]
}

func newTransport(n *Network) (*renewedTransport, func()) {
	create := func() *http.Transport { return &http.Transport{DialContext: n.Dial} }
	t := &renewedTransport{}
	t.current.Store(create())
	renew := func() { t.current.Swap(create()).CloseIdleConnections() }
	n.OnIsolated(renew)
	n.OnReached(renew)
	return t, func() { t.current.Load().CloseIdleConnections() }
}

// RoundTrip implements http.RoundTripper.
func (t *renewedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return t.current.Load().RoundTrip(r)
}

// TestTransportChangesConnectionsWithThePath checks that connections are kept while the path stays, that those of a former
// path are not used again, and that a request on one of them ends undisturbed.
func TestTransportChangesConnectionsWithThePath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := fakes.NewNetwork()
		stop, err := network.Host("engine").Serve("e:1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				time.Sleep(3 * time.Second)
			}
			w.WriteHeader(http.StatusNoContent)
		}))
		assert.NilError(t, err)
		defer stop()
		var cut atomic.Bool
		n, closeNetwork := New(Options{
			Dial: func(ctx context.Context, name, address string) (net.Conn, error) {
				if cut.Load() {
					return nil, errTestRefused
				}
				return network.Host("process").Dial(ctx, name, address)
			},
			Tunnel: func(ctx context.Context, _, engine string) (net.Conn, error) {
				return network.Host("other").Dial(ctx, "tcp", engine)
			},
			Processes: func() []Process { return []Process{{Name: "other", Address: "o:1"}} },
			Engines:   func() []string { return []string{"e:1"} }, Clock: time.Now, Log: zerolog.Nop(),
		})
		defer closeNetwork()
		transport, closeIdle := newTransport(n)
		defer closeIdle()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- n.Run(ctx) }()
		defer func() {
			cancel()
			<-done
		}()
		reused := func(path string) (conn net.Conn, reused bool) {
			trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { conn, reused = i.Conn, i.Reused }}
			r, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), http.MethodGet, "http://e:1"+path, nil)
			assert.NilError(t, err)
			response, err := transport.RoundTrip(r)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			return conn, reused
		}
		_, again := reused("/")
		assert.Assert(t, !again)
		_, again = reused("/")
		assert.Assert(t, again)

		cut.Store(true)
		n.failed("e:1", false)
		n.failed("e:2", false)
		assert.Assert(t, n.Isolated())
		c, again := reused("/")
		_, isAway := c.(*awayConn)
		assert.Assert(t, isAway && !again)
		c, again = reused("/")
		_, isAway = c.(*awayConn)
		assert.Assert(t, isAway && again)
		slow := make(chan struct{})
		go func() {
			defer close(slow)
			reused("/slow")
		}()
		synctest.Wait()

		cut.Store(false)
		time.Sleep(2 * isolatedInterval)
		assert.Assert(t, !n.Isolated())
		c, again = reused("/")
		_, isDirect := c.(*conn)
		assert.Assert(t, isDirect && !again)
		assert.Equal(t, n.away.Load(), int64(1))
		<-slow
		synctest.Wait()
		assert.Equal(t, n.away.Load(), int64(0))
	})
}

// TestBrokenOffConnectionIsReset checks that the peer of a connection that is broken off sees a reset.
func TestBrokenOffConnectionIsReset(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	n, closeNetwork := New(Options{
		Dial: (&net.Dialer{}).DialContext, Processes: func() []Process { return nil },
		Engines: func() []string { return nil }, Clock: time.Now, Log: zerolog.Nop(),
	})
	defer closeNetwork()
	c, err := n.Dial(t.Context(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	peer, err := listener.Accept()
	assert.NilError(t, err)
	defer peer.Close()
	c.(*conn).breakOff()
	_, err = peer.Read(make([]byte, 1))
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	_, err = c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, ErrPathLost)
	_, err = c.Write(make([]byte, 1))
	assert.ErrorIs(t, err, ErrPathLost)
	open, _ := n.conns.list()
	assert.Equal(t, len(open), 0)
}

// bytesConn reads and writes bytes at no cost.
type bytesConn struct {
	net.Conn
}

func (bytesConn) Read(b []byte) (int, error)  { return len(b), nil }
func (bytesConn) Write(b []byte) (int, error) { return len(b), nil }
func (bytesConn) Close() error                { return nil }

func benchNetwork(b *testing.B) *Network {
	b.Helper()
	n, closeNetwork := New(Options{
		Dial:      func(context.Context, string, string) (net.Conn, error) { return bytesConn{}, nil },
		Processes: func() []Process { return nil }, Engines: func() []string { return nil }, Clock: time.Now, Log: zerolog.Nop(),
	})
	b.Cleanup(closeNetwork)
	return n
}

// BenchmarkDialAndClose measures a direct connection beyond the cost of its dial.
func BenchmarkDialAndClose(b *testing.B) {
	n := benchNetwork(b)
	b.ReportAllocs()
	for b.Loop() {
		c, err := n.Dial(b.Context(), "tcp", "e:1")
		if err != nil {
			b.Fatal(err)
		}
		_ = c.Close()
	}
}

// BenchmarkWriteAndRead measures a write and a read beyond their own cost.
func BenchmarkWriteAndRead(b *testing.B) {
	n := benchNetwork(b)
	c, err := n.Dial(b.Context(), "tcp", "e:1")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	buffer := make([]byte, 64)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = c.Write(buffer)
		_, _ = c.Read(buffer)
	}
}
