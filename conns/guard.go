package conns

import (
	"container/list"
	"net"
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/memory"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Reason says why a connection was closed before its client closed it.
type Reason string

// The reasons. ReasonIdle and ReasonRoom follow from the limits of connections, the others from what a client sent or did not send.
const (
	ReasonIdle      Reason = "idle"         // idle for longer than the limit
	ReasonRoom      Reason = "room"         // another connection needed its descriptor
	ReasonTurn      Reason = "turn"         // it sent a request before its last answer, and another connection needed its descriptor
	ReasonHeadBytes Reason = "headBytes"    // its head was too long
	ReasonHeadTime  Reason = "headTime"     // its head was incomplete for too long
	ReasonHeadRoom  Reason = "headRoom"     // its incomplete head made room for others
	ReasonHeadWait  Reason = "headWait"     // its whole head found no room in time
	ReasonEmpty     Reason = "emptyLines"   // too many empty lines before a request
	ReasonMalformed Reason = "malformed"    // no HTTP/1 request
	ReasonFraming   Reason = "framing"      // contradictory or malformed framing
	ReasonBodyTime  Reason = "bodyTime"     // its body was incomplete for too long
	ReasonBodyRoom  Reason = "bodyRoom"     // its incomplete body made room for others
	ReasonUnread    Reason = "unreadAnswer" // its client did not read the answer
)

// Limits are what a client may take. A change applies to open connections too.
type Limits struct {
	HeaderBytes   int           // of a head with its first line
	HeaderTimeout time.Duration // from the first byte of a head to its last
	BodyTimeout   time.Duration // from the end of a head to the end of its body, 0 for none
	IdleTimeout   time.Duration // between two requests, and before the first, 0 for none
	WriteTimeout  time.Duration // for each piece of writeBytes of an answer, 0 for none
}

// Options are the dependencies and bounds of a Guard.
type Options struct {
	Limits Limits // of each listener for which no others are set
	// HeadBytes bounds what incomplete heads hold together, and once more what whole heads take while they are parsed.
	HeadBytes int64
	Clock     units.Clock
	// Closed is told of each connection that was closed, nil for none. It must not block.
	Closed func(listener string, reason Reason)
}

// Guard bounds what the connections of all listeners of a process hold before their requests have a place in the budget of requests.
type Guard struct {
	Options
	parsed *memory.Budget

	mu        sync.Mutex
	listeners []*Listener
	heads     *list.List // connections with an incomplete head that hold room, the longest first
	held      int64
	lingering int
}

const (
	// timeSlack is the part of the time for a head that its way and a busy machine may take beside.
	timeSlack = 8
	// stallPart is the part of the time for a head after which a body counts as stalled while others need its room.
	stallPart = 4
	// defaultHeadBytes is the bound of a Guard without one.
	defaultHeadBytes = 8 << 20
	// lineCost is the memory that net/http and the handlers take for a header line beside its bytes.
	lineCost = 256
	// byteCost is the memory that they take for a byte of a head.
	byteCost = 3
	// headWait bounds the wait of a whole head for room.
	headWait = time.Second
)

// NewGuard returns a Guard without listeners.
func NewGuard(o Options) *Guard {
	if o.HeadBytes <= 0 {
		o.HeadBytes = defaultHeadBytes
	}
	return &Guard{Options: o, heads: list.New(), parsed: memory.New(o.HeadBytes)}
}

func orDefault[T comparable](value, otherwise T) T {
	var zero T
	if value == zero {
		return otherwise
	}
	return value
}

// Listen returns a listener of at most limit connections at a time. Those that were hijacked do not count.
func (g *Guard) Listen(l net.Listener, name string, limit int) *Listener {
	n := &Listener{
		Listener: l, guard: g, name: name, limit: limit, open: map[*conn]struct{}{}, unused: list.New(), idle: list.New(),
		incomplete: list.New(),
	}
	n.room = sync.NewCond(&g.mu)
	n.SetLimits(g.Limits)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners = append(g.listeners, n)
	return n
}

// Sweep closes the connections that have exceeded a time.
func (g *Guard) Sweep() {
	now := g.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.listeners {
		limits := l.limits.Load()
		if limits.IdleTimeout > 0 {
			l.closeLongest(l.unused, now, limits.IdleTimeout)
			l.closeLongest(l.idle, now, limits.IdleTimeout)
		}
		l.makeRoom() // others may have become old enough to make it
		for e := l.incomplete.Front(); e != nil; e = e.Next() {
			c := e.Value.(*conn)
			age := now.Sub(c.since)
			switch {
			case c.ended != "":
			case c.inBody && limits.BodyTimeout > 0 && age >= limits.BodyTimeout:
				l.end(c, ReasonBodyTime)
			case !c.inBody && limits.HeaderTimeout > 0 && age >= limits.HeaderTimeout+limits.HeaderTimeout/timeSlack:
				l.end(c, ReasonHeadTime)
			}
		}
	}
}

// EndLongestBody ends the request whose body has been incomplete for the longest time, if that is longer than bodies of callers in order
// take. It reports whether there was one.
func (g *Guard) EndLongestBody() bool {
	now := g.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.listeners {
		if c := l.longestBody(now, l.stallTime()); c != nil {
			l.end(c, ReasonBodyRoom)
			return true
		}
	}
	return false
}

// hold takes room for an incomplete head. The heads that have been incomplete for longer make it; false means that this one must. The
// lock must be held.
func (g *Guard) hold(c *conn, bytes int64) bool {
	if c.headElement == nil {
		c.headElement = g.heads.PushBack(c)
	}
	for g.held+bytes > g.HeadBytes {
		longest := g.heads.Front().Value.(*conn)
		g.release(longest)
		longest.listener.end(longest, ReasonHeadRoom)
		if longest == c {
			return false
		}
	}
	g.held += bytes
	c.headRoom += bytes
	return true
}

// release gives the room of an incomplete head back. The lock must be held.
func (g *Guard) release(c *conn) {
	if c.headElement != nil {
		g.heads.Remove(c.headElement)
		c.headElement = nil
	}
	g.held -= c.headRoom
	c.headRoom = 0
}

// Held returns the bytes that incomplete heads and heads that are parsed hold.
func (g *Guard) Held() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held + g.parsed.Used()
}

func (g *Guard) closed(l *Listener, reason Reason) {
	if g.Closed != nil {
		g.Closed(l.name, reason)
	}
}
