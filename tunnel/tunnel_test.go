package tunnel_test

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/reach"
)

func TestBytesPassAsTheyCome(t *testing.T) {
	inRig(t, 1, func(t *testing.T, r *rig) {
		engine, stop := r.listen()
		defer stop()
		near, far := r.connect(engine)
		defer func() { _ = near.Close() }()
		defer func() { _ = far.Close() }()
		buffer := make([]byte, 64)
		for _, event := range []string{"a", "second event", "x"} {
			for _, way := range []struct{ from, to net.Conn }{{near, far}, {far, near}} {
				started := time.Now()
				_, err := way.from.Write([]byte(event))
				assert.NilError(t, err)
				n, err := way.to.Read(buffer)
				assert.NilError(t, err)
				assert.Equal(t, string(buffer[:n]), event)
				assert.Assert(t, time.Since(started) < promptly)
				time.Sleep(time.Second)
			}
		}
		assert.Equal(t, near.RemoteAddr().String(), engineAddress)
	})
}

func TestLargeBodiesPassUnchanged(t *testing.T) {
	inRig(t, 1, func(t *testing.T, r *rig) {
		client, stop := r.serveHTTP(func(w http.ResponseWriter, request *http.Request) {
			body, err := io.ReadAll(request.Body)
			assert.Check(t, err)
			_, _ = w.Write(body)
		})
		defer stop()
		body := make([]byte, 1<<20+17)
		_, _ = rand.Read(body) // never fails
		for range 3 {
			response, err := client.Post("http://"+engineAddress, "", bytes.NewReader(body))
			assert.NilError(t, err)
			got, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Assert(t, bytes.Equal(got, body))
		}
		assert.Equal(t, r.dials.Load(), int64(1), "the connection is used again")
	})
}

func TestCanceledRequestEndsAtTheEngine(t *testing.T) {
	inRig(t, 1, func(t *testing.T, r *rig) {
		ended := make(chan time.Time, 1)
		client, stop := r.serveHTTP(func(_ http.ResponseWriter, request *http.Request) {
			<-request.Context().Done()
			ended <- time.Now()
		})
		defer stop()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+engineAddress, nil)
		assert.NilError(t, err)
		_, err = client.Do(request) //nolint:bodyclose // it fails
		canceled := time.Now()
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Assert(t, (<-ended).Sub(canceled) < promptly)
	})
}

// resetConn is a connection that its peer resets after a few bytes in answer to the first write.
type resetConn struct {
	net.Conn

	after *bytes.Reader
	ask   sync.Once
	asked chan struct{}
	once  sync.Once
	reset chan struct{}
	err   error
}

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	<-c.asked
	if c.after.Len() > 0 {
		return c.after.Read(p)
	}
	<-c.reset
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: c.err}
}

// Write implements net.Conn.
func (c *resetConn) Write(p []byte) (int, error) {
	c.ask.Do(func() { close(c.asked) })
	return len(p), nil
}

// Close implements net.Conn.
func (c *resetConn) Close() error {
	c.once.Do(func() { close(c.reset) })
	return nil
}

// SetWriteDeadline implements net.Conn.
func (*resetConn) SetWriteDeadline(time.Time) error { return nil }

func TestOnlyTheEnginesOwnCloseEndsAnAnswer(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(r *rig, engine net.Conn)
		want error
		with error // of the connection to the engine, ECONNRESET if it is nil
	}{
		{name: "engine closes", end: func(_ *rig, engine net.Conn) { _ = engine.Close() }},
		{
			name: "engine resets", want: syscall.ECONNRESET,
			end: func(_ *rig, engine net.Conn) { _ = engine.Close() },
		},
		{
			name: "connection to the engine fails as the process is isolated", want: reach.ErrPathLost,
			end: func(r *rig, engine net.Conn) {
				r.isolated.Store(true)
				_ = engine.Close()
			},
		},
		{
			name: "process breaks the connection to the engine off", want: reach.ErrPathLost, with: reach.ErrPathLost,
			end: func(_ *rig, engine net.Conn) { _ = engine.Close() },
		},
		{
			name: "process dies", want: reach.ErrPathLost,
			end: func(r *rig, _ net.Conn) { r.network.SetPartition("front", "process", true) },
		},
		{name: "process stops", want: reach.ErrPathLost, end: func(r *rig, _ net.Conn) { r.close() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			inRig(t, 1, func(t *testing.T, r *rig) {
				engine, stop := r.listen()
				defer stop()
				const answer = "HTTP/1.1 200 OK\r\n\r\npart"
				var far net.Conn
				if c.want == nil {
					go func() {
						far = <-engine
						_, err := http.ReadRequest(bufio.NewReader(far))
						assert.Check(t, err)
						_, _ = far.Write([]byte(answer))
					}()
				} else {
					far = &resetConn{
						after: bytes.NewReader([]byte(answer)), asked: make(chan struct{}), reset: make(chan struct{}),
						err: cmp.Or(c.with, error(syscall.ECONNRESET)),
					}
					r.dial = func(context.Context) (net.Conn, error) { return far, nil }
				}
				transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
					return r.client.Dial(ctx, processAddress, address)
				}}
				response, err := (&http.Client{Transport: transport}).Get("http://" + engineAddress)
				assert.NilError(t, err)
				time.Sleep(time.Second)
				c.end(r, far)
				ended := time.Now()
				body, err := io.ReadAll(response.Body)
				assert.Assert(t, time.Since(ended) < promptly)
				assert.Equal(t, string(body), "part")
				assert.Assert(t, errors.Is(err, c.want), "%v", err)
				assert.Assert(t, !errors.Is(err, io.EOF))
				_ = response.Body.Close()
				_ = far.Close()
			})
		})
	}
}

func TestCanceledDialEndsTheDialOfTheEngine(t *testing.T) {
	inRig(t, 1, func(t *testing.T, r *rig) {
		ended := make(chan time.Time, 1)
		r.dial = func(ctx context.Context) (net.Conn, error) {
			<-ctx.Done()
			ended <- time.Now()
			return nil, ctx.Err()
		}
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, err := r.client.Dial(ctx, processAddress, engineAddress)
		canceled := time.Now()
		assert.Assert(t, err != nil)
		assert.Assert(t, (<-ended).Sub(canceled) < promptly)
	})
}

func TestOneEndClosesTheOther(t *testing.T) {
	for _, near := range []bool{false, true} {
		inRig(t, 1, func(t *testing.T, r *rig) {
			engine, stop := r.listen()
			defer stop()
			closing, other := r.connect(engine)
			if !near {
				closing, other = other, closing
			}
			started := time.Now()
			assert.NilError(t, closing.Close())
			_, err := other.Read(make([]byte, 1))
			assert.Equal(t, err, io.EOF)
			assert.Assert(t, time.Since(started) < promptly)
			_ = other.Close()
		})
	}
}

// answeredConn is a connection to an engine that has answered and takes no more bytes.
type answeredConn struct {
	net.Conn

	failed chan struct{} // closed by a failed write
	ask    sync.Once
	answer *bytes.Reader
}

// Read implements net.Conn.
func (c *answeredConn) Read(p []byte) (int, error) {
	<-c.failed
	return c.answer.Read(p)
}

// Write implements net.Conn.
func (c *answeredConn) Write([]byte) (int, error) {
	c.ask.Do(func() { close(c.failed) })
	return 0, syscall.EPIPE
}

// Close implements net.Conn.
func (*answeredConn) Close() error { return nil }

// SetWriteDeadline implements net.Conn.
func (*answeredConn) SetWriteDeadline(time.Time) error { return nil }

func TestAnswerIsReadThoughTheEngineTakesNoMore(t *testing.T) {
	inRig(t, 1, func(t *testing.T, r *rig) {
		r.dial = func(context.Context) (net.Conn, error) {
			return &answeredConn{failed: make(chan struct{}), answer: bytes.NewReader([]byte("refused"))}, nil
		}
		near, err := r.client.Dial(t.Context(), processAddress, engineAddress)
		assert.NilError(t, err)
		_, err = near.Write([]byte("more"))
		assert.NilError(t, err)
		got, err := io.ReadAll(near)
		assert.NilError(t, err)
		assert.Equal(t, string(got), "refused")
		assert.NilError(t, near.Close())
	})
}

func TestDeadlines(t *testing.T) {
	inRig(t, 1, func(t *testing.T, r *rig) {
		engine, stop := r.listen()
		defer stop()
		near, far := r.connect(engine)
		defer func() { _ = near.Close() }()
		buffer := make([]byte, 16)

		started := time.Now()
		assert.NilError(t, near.SetDeadline(started.Add(time.Second)))
		_, err := near.Read(buffer)
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		assert.Equal(t, time.Since(started), time.Second)
		_, err = near.Write([]byte("late"))
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		var timeout net.Error
		assert.Assert(t, errors.As(err, &timeout) && timeout.Timeout())

		assert.NilError(t, near.SetDeadline(time.Time{}))
		_, err = near.Write([]byte("on"))
		assert.NilError(t, err)
		n, err := far.Read(buffer)
		assert.NilError(t, err)
		assert.Equal(t, string(buffer[:n]), "on")

		// A deadline that is set while a read waits ends the read.
		time.AfterFunc(time.Second, func() { _ = near.SetReadDeadline(time.Unix(1, 0)) })
		started = time.Now()
		_, err = near.Read(buffer)
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		assert.Equal(t, time.Since(started), time.Second)

		// The engine reads nothing, so a write stops at its deadline.
		started = time.Now()
		assert.NilError(t, near.SetWriteDeadline(started.Add(time.Second)))
		for err = nil; err == nil; {
			_, err = near.Write(make([]byte, 1<<20))
		}
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		assert.Equal(t, time.Since(started), time.Second)

		time.AfterFunc(time.Second, func() { _ = near.Close() })
		assert.NilError(t, near.SetReadDeadline(time.Time{}))
		_, err = near.Read(buffer)
		assert.Assert(t, errors.Is(err, net.ErrClosed) || errors.Is(err, reach.ErrPathLost), "%v", err)
		_ = near.Close()
		_, err = near.Read(buffer)
		assert.ErrorIs(t, err, net.ErrClosed)
	})
}

func TestCloseEndsWaitingReadsAndWrites(t *testing.T) {
	inRig(t, 1, func(t *testing.T, r *rig) {
		engine, stop := r.listen()
		defer stop()
		near, far := r.connect(engine)
		defer func() { _ = far.Close() }()
		ended := make(chan error, 2)
		go func() {
			_, err := near.Read(make([]byte, 1))
			ended <- err
		}()
		go func() {
			var err error
			for err == nil {
				_, err = near.Write(make([]byte, 1<<20))
			}
			ended <- err
		}()
		time.Sleep(time.Second)
		assert.NilError(t, near.Close())
		assert.ErrorIs(t, <-ended, net.ErrClosed)
		assert.ErrorIs(t, <-ended, net.ErrClosed)
	})
}

func TestRetiredConnectionsStayOpen(t *testing.T) {
	inRig(t, 2, func(t *testing.T, r *rig) {
		engine, stop := r.listen()
		defer stop()
		near, far := r.connect(engine)
		defer func() { _ = near.Close() }()
		_, err := far.Write([]byte("event"))
		assert.NilError(t, err)
		r.server.Retire()
		time.Sleep(promptly)
		buffer := make([]byte, 16)
		n, err := near.Read(buffer)
		assert.NilError(t, err)
		assert.Equal(t, string(buffer[:n]), "event")
		late, _ := r.connect(engine)
		defer func() { _ = late.Close() }()
		_, err = far.Write([]byte("next"))
		assert.NilError(t, err)
		n, err = near.Read(buffer)
		assert.NilError(t, err)
		assert.Equal(t, string(buffer[:n]), "next")
		time.Sleep(promptly)
		assert.Equal(t, r.retired.Load(), int64(2))
	})
}
