// Package conns bounds what the connections of clients hold, and closes those that are idle for long, exceed a limit or have room that
// another one needs. It reads the head of a request as a whole before net/http parses it.
package conns

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// Listener accepts connections up to a limit. The server that accepts from it reports their states to Track.
type Listener struct {
	net.Listener
	guard *Guard
	name  string
	limit int
	// limits are what clients of this listener may take.
	limits atomic.Pointer[Limits]

	// Guarded by the lock of the guard.
	room       *sync.Cond
	open       map[*conn]struct{}
	unused     *list.List // those that have sent nothing yet, the longest first
	idle       *list.List // those between two requests, the longest first
	incomplete *list.List // those of whose request a part has arrived, the longest first
	parsing    int        // those whose head has been passed on and whose request has no room yet
	closing    int        // connections that were asked to make room and are not closed yet
	waits      bool       // a connection waits for room
	closed     bool
}

// New returns a listener of at most limit connections at a time, with a guard of its own that bounds no time and no size.
func New(l net.Listener, limit int, clock units.Clock) *Listener {
	return NewGuard(Options{Clock: clock}).Listen(l, "", limit)
}

// SetLimits replaces the limits. Those that are zero are as in the options of the guard.
func (l *Listener) SetLimits(limits Limits) {
	d := l.guard.Limits
	l.limits.Store(&Limits{
		HeaderBytes:   orDefault(limits.HeaderBytes, d.HeaderBytes),
		HeaderTimeout: orDefault(limits.HeaderTimeout, d.HeaderTimeout),
		BodyTimeout:   orDefault(limits.BodyTimeout, d.BodyTimeout),
		IdleTimeout:   orDefault(limits.IdleTimeout, d.IdleTimeout),
		WriteTimeout:  orDefault(limits.WriteTimeout, d.WriteTimeout),
	})
}

// stallTime returns the time from which a body that is incomplete, or a client that does not read, makes room for others.
func (l *Listener) stallTime() time.Duration {
	return l.limits.Load().HeaderTimeout / stallPart
}

// Accept waits for a connection, and then for its room, which candidate makes.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &conn{Conn: c, listener: l}
	g := l.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	l.waits = true
	for len(l.open) >= l.limit && !l.closed {
		if l.closing == 0 {
			l.evict()
		}
		l.room.Wait()
	}
	l.waits = false
	l.open[accepted] = struct{}{}
	l.setWaiting(accepted, l.unused)
	return accepted, nil
}

// Close closes the listener and ends a wait for room.
func (l *Listener) Close() error {
	l.guard.mu.Lock()
	l.closed = true
	l.room.Broadcast()
	l.guard.mu.Unlock()
	return l.Listener.Close()
}

// Limit returns the most connections at a time.
func (l *Listener) Limit() int {
	return l.limit
}

// IsFull reports whether no further connection is accepted, as none makes room.
func (l *Listener) IsFull() bool {
	l.guard.mu.Lock()
	defer l.guard.mu.Unlock()
	return len(l.open) >= l.limit && l.closing == 0 && l.candidate() == nil
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.guard.mu.Lock()
	defer l.guard.mu.Unlock()
	return len(l.open)
}

// Pending returns the number of connections on which a part of a request has arrived that the server does not handle yet, or whose body is
// incomplete.
func (l *Listener) Pending() int {
	l.guard.mu.Lock()
	defer l.guard.mu.Unlock()
	return l.incomplete.Len() + l.parsing
}

// Track implements http.Server.ConnState.
func (l *Listener) Track(c net.Conn, state http.ConnState) {
	tracked, ok := c.(*conn)
	if !ok || state != http.StateIdle && state != http.StateHijacked {
		return
	}
	l.guard.mu.Lock()
	defer l.guard.mu.Unlock()
	tracked.releaseParsed()
	if state == http.StateHijacked {
		tracked.hijacked.Store(true)
		l.leave(tracked)
		return
	}
	tracked.busy = false
	if tracked.begun || len(tracked.rest) > 0 {
		l.setIncomplete(tracked, false) // the first byte of the next request arrived during this one
		if l.waits && tracked.pipelines.Load() {
			l.end(tracked, ReasonTurn)
		}
		return
	}
	l.setWaiting(tracked, l.idle)
	l.makeRoom()
}

// ConnContext implements http.Server.ConnContext for Admitted.
func (l *Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

type connKey struct{}

// Admitted says that the request of the context has a place in the budget of requests, so that its head takes no room here any more.
func Admitted(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.listener.guard.mu.Lock()
		defer c.listener.guard.mu.Unlock()
		c.releaseParsed()
	}
}

// CloseIdle closes the connections that have been idle for a time since a request. One whose next request has begun to arrive is not
// idle.
func (l *Listener) CloseIdle(after time.Duration) {
	l.guard.mu.Lock()
	defer l.guard.mu.Unlock()
	l.closeLongest(l.idle, l.guard.Clock(), after)
}

// closeLongest closes the idle connections that have been in a list for a time. The lock must be held.
func (l *Listener) closeLongest(idle *list.List, now time.Time, after time.Duration) {
	for e := idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		if now.Sub(c.since) < after {
			return
		}
		l.end(c, ReasonIdle)
	}
}

// makeRoom ends a connection if one waits for its room and no other one is being closed. The lock must be held.
func (l *Listener) makeRoom() {
	if l.waits && l.closing == 0 && len(l.open) >= l.limit {
		l.evict()
	}
}

// evict ends a connection to make room, if there is one. The lock must be held.
func (l *Listener) evict() {
	if c := l.candidate(); c != nil {
		l.end(c, ReasonRoom)
	}
}

// freshTime is the time within which an ordinary client sends its first request, and the rest of a head of which a part has arrived.
// Younger connections make room only if there are no others.
const freshTime = 100 * time.Millisecond

// candidate returns the connection that makes room next, nil for none: the one whose head has been incomplete, that has sent nothing or
// that has been idle for the longest time, or whose body or answer has stalled. The lock must be held.
func (l *Listener) candidate() *conn {
	now := l.guard.Clock()
	head, unused, idle := longest(l.incomplete, false), longest(l.unused, false), longest(l.idle, false)
	for _, c := range []*conn{head, unused, idle} {
		if c != nil && now.Sub(c.since) >= freshTime {
			return c
		}
	}
	least := l.stallTime()
	if c := l.longestBody(now, least); c != nil {
		return c
	}
	if c := l.longestWrite(least); c != nil {
		return c
	}
	var oldest *conn
	for _, c := range []*conn{head, unused, idle} {
		if c != nil && (oldest == nil || c.since.Before(oldest.since)) {
			oldest = c
		}
	}
	return oldest
}

// longest returns the first connection of a list that is not to be closed yet, and whose body is incomplete or not as asked for.
func longest(list *list.List, inBody bool) *conn {
	for e := list.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*conn); c.ended == "" && c.inBody == inBody {
			return c
		}
	}
	return nil
}

// longestBody returns the connection whose body has been incomplete for the longest time, nil if that is less than a time. The lock must
// be held.
func (l *Listener) longestBody(now time.Time, least time.Duration) *conn {
	if c := longest(l.incomplete, true); c != nil && least > 0 && now.Sub(c.since) >= least {
		return c
	}
	return nil
}

// longestWrite returns the connection whose client has taken no piece of the answer for the longest time, nil if that is less than a time.
// The lock must be held.
func (l *Listener) longestWrite(least time.Duration) *conn {
	if least <= 0 {
		return nil
	}
	var found *conn
	since := time.Now().Add(-least).UnixNano()
	for c := range l.open {
		if at := c.writing.Load(); at > 0 && at < since && c.ended == "" {
			found, since = c, at
		}
	}
	return found
}

// setWaiting makes the connection the last one of those that are idle or unused. The lock must be held.
func (l *Listener) setWaiting(c *conn, waiting *list.List) {
	l.unlist(c)
	c.since, c.inBody = l.guard.Clock(), false
	c.list = waiting
	c.element = waiting.PushBack(c)
}

// setIncomplete makes the connection the last one of those whose request is incomplete. The lock must be held.
func (l *Listener) setIncomplete(c *conn, inBody bool) {
	l.unlist(c)
	c.since, c.inBody = l.guard.Clock(), inBody
	c.list = l.incomplete
	c.element = l.incomplete.PushBack(c)
}

// unlist takes the connection out of the lists. The lock must be held.
func (l *Listener) unlist(c *conn) {
	if c.element != nil {
		c.list.Remove(c.element)
		c.list, c.element = nil, nil
	}
}

// leave makes the connection one that does not count. The lock must be held.
func (l *Listener) leave(c *conn) {
	l.unlist(c)
	l.guard.release(c)
	if _, ok := l.open[c]; !ok {
		return
	}
	delete(l.open, c)
	if c.ended != "" {
		l.closing--
	}
	l.room.Broadcast()
}

// end has the server's read of the request fail, upon which it closes the connection. The lock must be held.
func (l *Listener) end(c *conn, reason Reason) {
	if c.ended != "" {
		return
	}
	c.ended = reason
	if _, ok := l.open[c]; ok {
		l.closing++
	}
	_ = c.Conn.SetReadDeadline(past) // a connection that takes no deadline is closed already
	if c.writing.Load() > 0 {
		c.cut.Store(true)
		_ = c.Conn.SetWriteDeadline(past)
	}
}

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)
