package conns

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// scripted is a connection whose input is fixed and arrives in pieces.
type scripted struct {
	net.Conn
	input []byte
	next  []byte // arrives after the input
	piece int
}

// Read implements net.Conn.
func (s *scripted) Read(p []byte) (int, error) {
	if len(s.input) == 0 {
		s.input, s.next = s.next, nil
	}
	if len(s.input) == 0 {
		return 0, io.EOF
	}
	n := copy(p, s.input[:min(s.piece, len(s.input))])
	s.input = s.input[n:]
	return n, nil
}

// Write implements net.Conn.
func (*scripted) Write(p []byte) (int, error) { return len(p), nil }

// SetReadDeadline implements net.Conn.
func (*scripted) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (*scripted) SetWriteDeadline(time.Time) error { return nil }

// Close implements net.Conn.
func (*scripted) Close() error { return nil }

// message is a request as net/http reads it.
type message struct {
	method, target string
	lines          int
	body           string
}

// readMessages reads requests until one is malformed or incomplete.
func readMessages(reader *bufio.Reader, next func()) []message {
	var messages []message
	for len(messages) < 100 {
		for range maxEmptyBytes {
			if b, err := reader.Peek(1); err == nil && (b[0] == '\r' || b[0] == '\n') {
				_, _ = reader.Discard(1)
			}
		}
		r, err := http.ReadRequest(reader)
		if err != nil {
			return messages
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return messages
		}
		messages = append(messages, message{r.Method, r.RequestURI, len(r.Header), string(body)})
		next()
	}
	return messages
}

// FuzzRequests checks that a connection passes on what net/http would read from the same bytes in the same requests, or less: a request
// whose end the two see at different places would let a client hide one request in another. It also checks that no room is lost.
func FuzzRequests(f *testing.F) {
	post := "POST /a HTTP/1.1\r\nHost: h\r\n"
	for _, text := range []string{
		requestText, post + "Content-Length: 3\r\n\r\nabc" + requestText, "\r\n" + requestText + "\n" + requestText,
		post + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: b\r\n\r\n" + requestText,
		post + "Transfer-Encoding: chunked\r\n\r\n0a;x=y\r\n0123456789\r\n000\r\n\r\n" + requestText,
		post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + requestText,
		post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", post + "A: b\r\n c\r\n\r\n", post + " \r\n\r\n" + requestText,
		post + "Content-Length:\t1 \r\n\r\nx" + requestText, "GET / HTTP/1.0\n\n" + requestText, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"GET  /  HTTP/1.1\r\nHost: h\r\n\r\n", post + strings.Repeat("a:\n", 700) + "\n" + requestText,
		post + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("a:\r\n", 40) + "\r\n" + requestText,
		post + "X: \rContent-Length: 5\r\n\r\nhello" + requestText,
	} {
		f.Add([]byte(text), 1)
		f.Add([]byte(text), 5000)
	}
	f.Fuzz(func(t *testing.T, input []byte, piece int) {
		if piece < 1 || len(input) > 1<<16 {
			return
		}
		plain := readMessages(bufio.NewReader(bytes.NewReader(input)), func() {})
		g := NewGuard(Options{Limits: Limits{HeaderBytes: 4096}, Clock: time.Now})
		l := g.Listen(&oneListener{conn: &scripted{input: input, piece: piece}}, "", 1)
		c, err := l.Accept()
		assert.NilError(t, err)
		passed := readMessages(bufio.NewReader(c), func() { l.Track(c, http.StateIdle) })
		assert.Assert(t, len(passed) <= len(plain), "%q is passed on, %q is read from the same bytes", passed, plain)
		for i := range passed {
			assert.Equal(t, passed[i], plain[i])
		}
		_ = c.Close()
		assert.Equal(t, g.Held(), int64(0))
		assert.Equal(t, l.Open(), 0)
	})
}

// oneListener accepts one connection.
type oneListener struct {
	net.Listener
	conn net.Conn
}

// Accept implements net.Listener.
func (l *oneListener) Accept() (net.Conn, error) { return l.conn, nil }
