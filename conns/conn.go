package conns

import (
	"bytes"
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/buckthorntrack/buckthorntrack/memory"
)

const (
	// firstHeadBytes is the room that an incomplete head takes first. It doubles.
	firstHeadBytes = 1 << 10
	// maxAheadBytes bounds what is read at once, and so what is held of the requests behind the one that is read.
	maxAheadBytes = 4 << 10
	// writeBytes is the size of the pieces of an answer that have a timeout each.
	writeBytes = 16 << 10
)

// conn is an accepted connection. Its reads return a head as soon as it is whole, and never bytes of two requests at once.
type conn struct {
	net.Conn
	listener *Listener
	hijacked atomic.Bool
	// pipelines means that a further request began to arrive before the answer to the one before it.
	pipelines atomic.Bool

	// Used by the server's reads only, of which there is one at a time.
	scan   headScan
	body   bodyScan
	in     readPhase
	empty  int    // bytes of empty lines before the request
	out    []byte // has been read and belongs to this request
	rest   []byte // has been read and belongs to the next ones
	failed error  // of all further reads

	// Written by the server's handler, read by its writes.
	deadline atomic.Bool  // the handler has set a deadline for its writes
	wrote    atomic.Bool  // a part of the answer has been written
	writing  atomic.Int64 // Unix time in nanoseconds at which a write began, 0 for none
	cut      atomic.Bool  // no more is written, as the client did not read and its room is needed

	// Guarded by the lock of the guard.
	list        *list.List
	element     *list.Element
	headElement *list.Element
	headRoom    int64
	since       time.Time // when the connection came into its list
	inBody      bool      // the incomplete part is the body
	begun       bool      // the first byte of a request has arrived
	busy        bool      // the server has the head of a request
	ended       Reason    // empty while it is not to be closed
	closed      bool
	parsed      *memory.Share // room of the head that is parsed
}

// readPhase is what is read next.
type readPhase int

const (
	readingHead readPhase = iota
	readingBody
)

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	switch {
	case len(p) == 0:
		return 0, nil
	case len(c.out) > 0:
		return c.takeOut(p), nil
	case c.hijacked.Load():
		return c.readRaw(p)
	case c.failed != nil:
		return 0, c.failed
	case c.in == readingBody:
		return c.readBody(p)
	case len(p) == 1:
		return c.readFirst(p)
	default:
		return c.readHead(p)
	}
}

// takeOut returns bytes that have been read before. Their room ends with the last one.
func (c *conn) takeOut(p []byte) int {
	n := copy(p, c.out)
	if c.out = c.out[n:]; len(c.out) == 0 {
		c.out = nil
		g := c.listener.guard
		g.mu.Lock()
		g.release(c)
		g.mu.Unlock()
	}
	return n
}

// readRaw reads a connection that the server does not use for requests any more.
func (c *conn) readRaw(p []byte) (int, error) {
	if len(c.rest) > 0 {
		n := copy(p, c.rest)
		c.rest = c.rest[n:]
		return n, nil
	}
	return c.Conn.Read(p)
}

// readFirst reads the first byte of a request. The server does so while it still handles the one before, to learn whether its client
// has left; no more is read then.
func (c *conn) readFirst(p []byte) (int, error) {
	ahead := len(c.rest) > 0
	for {
		if len(c.rest) > 0 {
			p[0], c.rest = c.rest[0], c.rest[1:]
		} else if n, err := c.Conn.Read(p); n == 0 {
			return 0, c.readError(err)
		}
		if c.empty == maxEmptyBytes || p[0] != '\r' && p[0] != '\n' {
			break
		}
		c.empty++
	}
	if ahead || !c.wrote.Load() {
		c.pipelines.Store(true)
	}
	c.begin()
	if c.scan.feed(p) >= 0 || !tokenBytes[p[0]] {
		c.failed = io.EOF // a request that begins so is malformed, and the server answers that by itself
		c.listener.guard.closed(c.listener, ReasonMalformed)
	}
	return 1, nil
}

// begin notes that a part of a request has arrived, which ends the idle time. It returns false if the connection is to be closed
// nevertheless.
func (c *conn) begin() bool {
	l := c.listener
	l.guard.mu.Lock()
	defer l.guard.mu.Unlock()
	c.begun = true
	if c.busy {
		return true
	}
	if c.element == nil || c.list != l.incomplete {
		l.setIncomplete(c, false)
	}
	if c.ended == ReasonIdle || c.ended == ReasonRoom { // the request arrived just before the end
		c.ended = ""
		if _, ok := l.open[c]; ok {
			l.closing--
		}
		l.room.Broadcast()                      // another one has to make room
		_ = c.Conn.SetReadDeadline(time.Time{}) // Sweep bounds the time from here on
	}
	return c.ended == ""
}

// readBody reads bytes of the body.
func (c *conn) readBody(p []byte) (int, error) {
	if !c.body.chunked {
		p = p[:min(int64(len(p)), c.body.remaining)]
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return 0, c.readError(err)
	}
	used, err := c.body.feed(p[:n])
	switch {
	case err != nil:
		c.failBody(err)
	case c.body.done():
		c.rest = bytes.Clone(p[used:n])
		c.in = readingHead
		c.listener.guard.mu.Lock()
		c.listener.unlist(c)
		c.listener.guard.mu.Unlock()
	}
	if used == 0 {
		return 0, c.failed
	}
	return used, nil
}

// failBody has all further reads fail, so that the handler refuses the request.
func (c *conn) failBody(err error) {
	c.failed = err
	c.listener.guard.closed(c.listener, ReasonFraming)
}

// readError returns the error of a read that failed. Of one that the guard has ended, it answers the client and returns the end.
func (c *conn) readError(err error) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	c.listener.guard.mu.Lock()
	ended := c.ended
	c.listener.guard.mu.Unlock()
	if ended == "" {
		return err // the server's own deadline
	}
	if c.in == readingBody {
		c.listener.guard.closed(c.listener, ended)
		c.failed = err // the handler answers
		return err
	}
	return c.endError()
}

// endError closes a connection between two requests or in a head for the reason for which it was ended.
func (c *conn) endError() error {
	c.listener.guard.mu.Lock()
	ended, begun := c.ended, c.begun
	c.listener.guard.mu.Unlock()
	if begun {
		return c.refuse(ended)
	}
	c.listener.guard.closed(c.listener, ended)
	c.failed = io.EOF
	return io.EOF
}

// SetReadDeadline implements net.Conn. The server sets none when it begins to wait for the next request; that must not undo the end.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.listener.guard.mu.Lock()
	defer c.listener.guard.mu.Unlock()
	if c.ended != "" {
		t = past
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn. Unless the handler has set a deadline, each piece has one.
func (c *conn) Write(data []byte) (int, error) {
	c.wrote.Store(true)
	c.writing.Store(time.Now().UnixNano())
	defer c.writing.Store(0)
	timeout := c.listener.limits.Load().WriteTimeout
	if timeout <= 0 || c.deadline.Load() || c.hijacked.Load() {
		return c.Conn.Write(data)
	}
	written := 0
	for {
		if c.cut.Load() {
			return written, os.ErrDeadlineExceeded
		}
		if err := c.Conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return written, err
		}
		c.writing.Store(time.Now().UnixNano())
		n, err := c.Conn.Write(data[written:min(written+writeBytes, len(data))])
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) && !c.cut.Load() {
			c.listener.guard.closed(c.listener, ReasonUnread)
		}
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.deadline.Store(!t.IsZero())
	return c.Conn.SetWriteDeadline(t)
}

// CloseWrite tells the client that no more is sent, if the connection can.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	l := c.listener
	l.guard.mu.Lock()
	if !c.closed {
		c.closed = true
		c.releaseParsed()
		l.leave(c)
	}
	l.guard.mu.Unlock()
	return c.Conn.Close()
}
