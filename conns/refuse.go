package conns

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// maxLingering is the most refused connections at a time whose remaining input is discarded.
	maxLingering = 32
	// lingerBytes and lingerTime bound that input. A connection that is closed with unread input is reset, and its client may lose the answer.
	lingerBytes, lingerTime = 256 << 10, 500 * time.Millisecond
	// refusalTimeout bounds the write of a refusal, which is small.
	refusalTimeout = 100 * time.Millisecond
)

// statusOf returns the status with which a head is refused.
func statusOf(reason Reason) int {
	switch reason {
	case ReasonHeadBytes:
		return http.StatusRequestHeaderFieldsTooLarge
	case ReasonHeadTime, ReasonHeadRoom, ReasonRoom, ReasonTurn, ReasonIdle:
		return http.StatusRequestTimeout
	case ReasonHeadWait:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}

// refuse answers a request of which nothing was passed on, discards its input within a bound, and returns the error with which the
// server closes the connection.
func (c *conn) refuse(reason Reason) error {
	c.failed = io.EOF
	g := c.listener.guard
	g.closed(c.listener, reason)
	g.mu.Lock()
	g.release(c)
	c.listener.unlist(c)
	linger := reason != ReasonHeadRoom && reason != ReasonRoom && reason != ReasonTurn && g.lingering < maxLingering
	if linger {
		g.lingering++
	}
	g.mu.Unlock()
	status := statusOf(reason)
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: 1\r\n"
	}
	text := http.StatusText(status)
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s",
		status, text, len(text), retry, text)
	if !linger {
		return io.EOF
	}
	if err == nil {
		c.discard()
	}
	g.mu.Lock()
	g.lingering--
	g.mu.Unlock()
	return io.EOF
}

// discard reads and drops what the client still sends, within a bound.
func (c *conn) discard() {
	_ = c.CloseWrite()
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	buffer := make([]byte, 4<<10)
	for read := 0; read < lingerBytes; {
		n, err := c.Conn.Read(buffer)
		if read += n; err != nil {
			return
		}
	}
}
