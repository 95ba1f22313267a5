package conns

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/fakes"
)

// guarded is a server at a listener of a Guard.
type guarded struct {
	t       *testing.T
	guard   *Guard
	network *fakes.Network
	l       *Listener

	mu      sync.Mutex
	reasons map[Reason]int
	bodies  []string // that the handler has read
	errs    []error  // of bodies that it could not read
}

// serveGuarded runs a test with a server that reads each body and answers with its length, at a listener of few connections.
func serveGuarded(t *testing.T, o Options, limit int, test func(s *guarded)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &guarded{t: t, network: fakes.NewNetwork(), reasons: map[Reason]int{}}
		inner, err := s.network.Host("server").Listen(address)
		assert.NilError(t, err)
		o.Clock = time.Now
		o.Closed = func(_ string, r Reason) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.reasons[r]++
		}
		s.guard = NewGuard(o)
		s.l = s.guard.Listen(inner, "callers", limit)
		server := &http.Server{Handler: s, ConnState: s.l.Track, ConnContext: s.l.ConnContext}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = server.Serve(s.l)
		}()
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			for ctx.Err() == nil {
				s.guard.Sweep()
				time.Sleep(100 * time.Millisecond)
			}
		}()
		test(s)
		cancel()
		_ = server.Close()
		<-done
		time.Sleep(time.Second)
	})
}

// ServeHTTP implements http.Handler.
func (s *guarded) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	Admitted(r.Context())
	body, err := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.errs = append(s.errs, err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.bodies = append(s.bodies, string(body))
	_, _ = fmt.Fprint(w, len(body))
}

func (s *guarded) dial() *client {
	conn, err := s.network.Host("caller").Dial(s.t.Context(), "tcp", address)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	return &client{t: s.t, Conn: conn, reader: bufio.NewReader(conn)}
}

func (s *guarded) count(r Reason) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reasons[r]
}

// trySend sends what the server still takes.
func (c *client) trySend(text string) {
	go func() { _, _ = io.WriteString(c.Conn, text) }()
	synctest.Wait()
}

var testLimits = Limits{
	HeaderBytes: 16_384, HeaderTimeout: 3 * time.Second, BodyTimeout: 30 * time.Second, IdleTimeout: 15 * time.Second,
	WriteTimeout: 10 * time.Second,
}

// TestRefusedHeads checks the status and the counter of each kind of head that is not passed on, and that the connection then closes.
func TestRefusedHeads(t *testing.T) {
	post := "POST / HTTP/1.1\r\nHost: h\r\n"
	tests := []struct {
		name   string
		text   string
		status int
		reason Reason
	}{
		{"head beyond the limit", post + "A: " + strings.Repeat("x", 16_400), 431, ReasonHeadBytes},
		{"whole head beyond the limit", post + "A: " + strings.Repeat("x", 16_400) + "\r\n\r\n", 431, ReasonHeadBytes},
		{"short lines", post + strings.Repeat("a:\n", 6000), 431, ReasonHeadBytes},
		{"first line without end", strings.Repeat("a", 16_500), 431, ReasonHeadBytes},
		{"incomplete head", post, 408, ReasonHeadTime},
		{"one byte", "P", 408, ReasonHeadTime},
		{"empty lines", "\r\n\r\n\r\n", 400, ReasonEmpty},
		{"TLS hello", "\x16\x03\x01\x02\x00", 400, ReasonMalformed},
		{"HTTP/2 preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400, ReasonMalformed},
		{"line without colon", post + "abc\r\n\r\n", 400, ReasonMalformed},
		{"continued line", post + "A: b\r\n c\r\n\r\n", 400, ReasonMalformed},
		{"space before the colon", post + "Content-Length : 3\r\n\r\nabc", 400, ReasonMalformed},
		{"two lengths", post + "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabc", 400, ReasonFraming},
		{"list of lengths", post + "Content-Length: 3, 3\r\n\r\nabc", 400, ReasonFraming},
		{"signed length", post + "Content-Length: +3\r\n\r\nabc", 400, ReasonFraming},
		{"empty length", post + "Content-Length:\r\n\r\n", 400, ReasonFraming},
		{"length and chunks", post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, ReasonFraming},
		{"two codings", post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400, ReasonFraming},
		{"chunks in HTTP/1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, ReasonFraming},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			serveGuarded(t, Options{Limits: testLimits}, 10, func(s *guarded) {
				c := s.dial()
				c.trySend(tt.text)
				assert.Equal(t, c.receive(), tt.status)
				assert.Equal(t, s.count(tt.reason), 1)
				assert.Equal(t, c.receive(), 0)
				synctest.Wait()
				assert.Equal(t, s.l.Open(), 0)
				assert.Equal(t, len(s.bodies), 0)
				assert.Equal(t, s.guard.Held(), int64(0))
			})
		})
	}
}

// TestOrdinaryRequestsPass checks that requests inside the limits arrive as they were sent, whole, in pieces and byte by byte.
func TestOrdinaryRequestsPass(t *testing.T) {
	var many strings.Builder
	for n := 0; many.Len() < 16_200; n++ {
		_, _ = fmt.Fprintf(&many, "a%d:\r\n", n)
	}
	long := strings.Repeat("b", 5000)
	text := "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n" + long +
		"\r\nGET /2 HTTP/1.1\nHost: h\n\n" +
		"POST /3 HTTP/1.1\r\nHost: h\r\ntransfer-encoding: Chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 3000) + "5;a=b\r\nhello\r\n0\r\nT: 1\r\n\r\n" +
		"POST /4 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n" + many.String() + "\r\n" +
		"GET /5 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok"
	for _, step := range []int{len(text), 4096, 1000, 7, 1} {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			serveGuarded(t, Options{Limits: testLimits}, 10, func(s *guarded) {
				c := s.dial()
				go func() {
					for rest := text; rest != ""; rest = rest[min(step, len(rest)):] {
						_, _ = io.WriteString(c.Conn, rest[:min(step, len(rest))])
					}
				}()
				for range 5 {
					assert.Equal(t, c.receive(), http.StatusOK)
				}
				assert.DeepEqual(t, s.bodies, []string{long, "", strings.Repeat("x", 3000) + "hello", "", "ok"})
				synctest.Wait()
				assert.Equal(t, s.guard.Held(), int64(0))
			})
		})
	}
}

// TestLimitsApplyWhenTheyChange checks that a new limit holds for connections that are open already.
func TestLimitsApplyWhenTheyChange(t *testing.T) {
	serveGuarded(t, Options{Limits: testLimits}, 10, func(s *guarded) {
		large := "GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", 3000) + "\r\n\r\n"
		first, second, third := s.dial(), s.dial(), s.dial()
		for _, c := range []*client{first, second} {
			c.send(large)
			assert.Equal(t, c.receive(), http.StatusOK)
		}
		s.l.SetLimits(Limits{HeaderBytes: 2000, HeaderTimeout: time.Second, IdleTimeout: 2 * time.Second})
		first.send(large)
		assert.Equal(t, first.receive(), http.StatusRequestHeaderFieldsTooLarge)
		third.send("GET")
		assert.Equal(t, third.receive(), http.StatusRequestTimeout)
		assert.Equal(t, s.count(ReasonHeadTime), 1)
		time.Sleep(2 * time.Second)
		assert.Equal(t, s.count(ReasonIdle), 1)
		assert.Equal(t, second.receive(), 0)
		s.l.SetLimits(Limits{})
		fourth := s.dial()
		fourth.send(large)
		assert.Equal(t, fourth.receive(), http.StatusOK)
	})
}

// TestConnectionsAreReusedWithinTheIdleTime checks that neither used nor unused connections are closed early.
func TestConnectionsAreReusedWithinTheIdleTime(t *testing.T) {
	serveGuarded(t, Options{Limits: testLimits}, 10, func(s *guarded) {
		used, unused := s.dial(), s.dial()
		used.send(requestText)
		assert.Equal(t, used.receive(), http.StatusOK)
		time.Sleep(12 * time.Second)
		for _, c := range []*client{used, unused} {
			c.send(requestText)
			assert.Equal(t, c.receive(), http.StatusOK)
		}
		time.Sleep(16 * time.Second)
		assert.Equal(t, s.l.Open(), 0)
	})
}

// TestLongestIncompleteHeadMakesRoom guards against heads that keep others out by never ending.
func TestLongestIncompleteHeadMakesRoom(t *testing.T) {
	serveGuarded(t, Options{Limits: testLimits, HeadBytes: 4 * firstHeadBytes}, 10, func(s *guarded) {
		var stalled []*client
		for range 4 {
			c := s.dial()
			c.send("GET / HTTP/1.1\r\n")
			synctest.Wait()
			time.Sleep(time.Millisecond)
			stalled = append(stalled, c)
		}
		assert.Equal(t, s.guard.Held(), int64(4*firstHeadBytes))
		c := s.dial()
		c.send(requestText[:10])
		synctest.Wait()
		assert.Equal(t, s.count(ReasonHeadRoom), 1)
		assert.Equal(t, stalled[0].receive(), http.StatusRequestTimeout)
		c.send(requestText[10:])
		assert.Equal(t, c.receive(), http.StatusOK)
		stalled[1].send("Host: h\r\n\r\n")
		assert.Equal(t, stalled[1].receive(), http.StatusOK)
	})
}

// TestStalledConnectionsMakeRoom guards against connections that never end a request and keep new ones out, and against the closing of
// ordinary ones in their place.
func TestStalledConnectionsMakeRoom(t *testing.T) {
	tests := []struct {
		name string
		text string
		wait time.Duration // after which they make room
	}{
		{name: "nothing"},
		{name: "part of a head", text: "GET / HTTP/1.1\r\n"},
		{name: "part of a body", text: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc", wait: testLimits.HeaderTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			serveGuarded(t, Options{Limits: testLimits}, 5, func(s *guarded) {
				ordinary := s.dial()
				ordinary.send(requestText)
				assert.Equal(t, ordinary.receive(), http.StatusOK)
				for range 4 {
					s.dial().trySend(tt.text)
				}
				time.Sleep(2*freshTime + tt.wait)
				if tt.wait > 0 { // an idle connection makes room before a body
					ordinary.send(requestText)
					assert.Equal(t, ordinary.receive(), http.StatusOK)
					ordinary.trySend("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n")
				}
				c := s.dial()
				c.send(requestText)
				assert.Equal(t, c.receive(), http.StatusOK)
				if tt.wait > 0 {
					ordinary.send("x")
				} else {
					ordinary.send(requestText)
				}
				assert.Equal(t, ordinary.receive(), http.StatusOK)
				assert.Equal(t, s.count(ReasonRoom), 1)
			})
		})
	}
}

// TestPipelinedRequestsMakeRoom guards against clients that keep their connections busy by sending ahead, so that no new one is accepted.
// What is refused has not run.
func TestPipelinedRequestsMakeRoom(t *testing.T) {
	serveGuarded(t, Options{Limits: testLimits}, 1, func(s *guarded) {
		ahead := s.dial()
		ahead.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n")
		ahead.trySend("abc" + strings.Repeat(requestText, 100))
		assert.Equal(t, ahead.receive(), http.StatusOK)
		c := s.dial()
		c.send(requestText)
		status := ahead.receive()
		for status == http.StatusOK {
			status = ahead.receive()
		}
		assert.Equal(t, status, http.StatusRequestTimeout)
		assert.Equal(t, c.receive(), http.StatusOK)
		assert.Equal(t, s.count(ReasonTurn), 1)
	})
}

// TestLittleIsReadAhead guards against memory that connections hold for requests behind the one that is handled.
func TestLittleIsReadAhead(t *testing.T) {
	const first = "POST / HTTP/1.1\r\n"
	tests := []struct {
		name, start, rest string
	}{
		{"head in one read", "", first + "Host: h\r\nContent-Length: 1\r\n\r\nx"},
		{"head in parts", first + "A: " + strings.Repeat("a", 9000), "\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"},
		{"chunks", "", first + "Host: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"},
	}
	for _, tt := range tests {
		input := &scripted{input: []byte(tt.start), piece: 1 << 20}
		g := NewGuard(Options{Limits: testLimits, Clock: time.Now})
		l := g.Listen(&oneListener{conn: input}, "", 1)
		accepted, err := l.Accept()
		assert.NilError(t, err)
		input.next = []byte(tt.rest + strings.Repeat(requestText, 10_000))
		request, err := http.ReadRequest(bufio.NewReader(accepted))
		assert.NilError(t, err)
		body, err := io.ReadAll(request.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "x")
		assert.Assert(t, len(accepted.(*conn).rest) <= maxAheadBytes, "%s: %d bytes are held", tt.name, len(accepted.(*conn).rest))
	}
}
