// Package conns bounds the connections of callers, and closes those that are idle for long or whose room another one needs.
package conns

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// Listener accepts connections up to a limit. The server that accepts from it reports their states to Track.
type Listener struct {
	net.Listener
	limit int
	clock units.Clock

	mu      sync.Mutex
	room    *sync.Cond
	open    map[*conn]struct{}
	closing int  // connections that were asked to make room and are not closed yet
	waits   bool // a connection waits for room
	closed  bool
}

// New returns a listener of at most limit connections at a time.
func New(l net.Listener, limit int, clock units.Clock) *Listener {
	n := &Listener{Listener: l, limit: limit, clock: clock, open: map[*conn]struct{}{}}
	n.room = sync.NewCond(&n.mu)
	return n
}

// Accept waits for a connection, and then for its room: the connection that was idle for the longest time makes it.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &conn{Conn: c, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waits = true
	for len(l.open) >= l.limit && !l.closed {
		if l.closing == 0 {
			l.evict()
		}
		l.room.Wait()
	}
	l.waits = false
	l.open[accepted] = struct{}{}
	return accepted, nil
}

// Close closes the listener and ends a wait for room.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.room.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// IsFull reports whether no further connection is accepted, as none makes room.
func (l *Listener) IsFull() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open) >= l.limit && l.longestIdle() == nil && l.closing == 0
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// Track implements http.Server.ConnState.
func (l *Listener) Track(c net.Conn, state http.ConnState) {
	tracked, ok := c.(*conn)
	if !ok || state != http.StateIdle {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	tracked.idleSince = l.clock()
	if l.waits && l.closing == 0 {
		l.evict()
	}
}

// CloseIdle closes the connections that have been idle for a time. One whose next request has begun to arrive is not idle.
func (l *Listener) CloseIdle(after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	for c := range l.open {
		if c.isIdle() && now.Sub(c.idleSince) >= after {
			l.end(c)
		}
	}
}

// evict ends the connection that was idle for the longest time, if there is one. The lock must be held.
func (l *Listener) evict() {
	if c := l.longestIdle(); c != nil {
		l.end(c)
	}
}

func (l *Listener) longestIdle() *conn {
	var longest *conn
	for c := range l.open {
		if c.isIdle() && (longest == nil || c.idleSince.Before(longest.idleSince)) {
			longest = c
		}
	}
	return longest
}

// end has the server's read of the next request fail, upon which it closes the connection. The lock must be held.
func (l *Listener) end(c *conn) {
	c.ended = true
	l.closing++
	_ = c.Conn.SetReadDeadline(past) // a connection that takes no deadline is closed already
}

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// conn is an accepted connection.
type conn struct {
	net.Conn
	listener *Listener

	// Guarded by the lock of the listener.
	idleSince time.Time // zero while a request is under way
	ended     bool
	closed    bool
}

func (c *conn) isIdle() bool {
	return !c.idleSince.IsZero() && !c.ended
}

// Read implements net.Conn. The first byte of a request ends the idle time.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.listener.mu.Lock()
		c.idleSince = time.Time{}
		if c.ended { // the request arrived just before the end
			c.ended = false
			c.listener.closing--
			c.listener.room.Broadcast() // another one has to make room
		}
		c.listener.mu.Unlock()
	}
	return n, err
}

// SetReadDeadline implements net.Conn. The server sets none when it begins to wait for the next request; that must not undo the end.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.ended {
		t = past
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	l := c.listener
	l.mu.Lock()
	if !c.closed {
		c.closed = true
		delete(l.open, c)
		if c.ended {
			l.closing--
		}
		l.room.Broadcast()
	}
	l.mu.Unlock()
	return c.Conn.Close()
}
