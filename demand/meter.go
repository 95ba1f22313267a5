// Package demand measures the work that requests need of engines, and merges what all processes measure into one view,
// without any I/O.
package demand

import (
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// Totals is the work of one service that one process has sent to engines since the process started. It never decreases.
type Totals struct {
	Prefill  time.Duration // estimated time of engines that prefill
	Occupied time.Duration // time of occupied slots of engines that run requests
	KV       int64         // KV cache tokens of running requests times milliseconds
	Requests int64         // that ended
	Late     int64         // of these, answered after the route's objective or refused as the engines are overloaded
}

// Work is what one call needs of an engine.
type Work struct {
	Prefill  time.Duration // of an engine that prefills
	Runs     bool          // occupies a slot until it ends
	KVTokens units.Tokens  // KV cache tokens that it occupies until it ends
}

// Meter measures the work that this process sends to engines. A nil Meter measures nothing.
type Meter struct {
	clock   units.Clock
	started time.Time

	mu       sync.Mutex
	services map[units.ServiceName]*tally
}

// tally holds the sums of one service. The time of running calls is the sum of their ends less that of their starts.
type tally struct {
	ended   Totals // with the starts of running calls subtracted
	running int64
	tokens  int64 // KV cache tokens of running calls
}

// NewMeter returns a meter without work.
func NewMeter(clock units.Clock) *Meter {
	return &Meter{clock: clock, started: clock(), services: map[units.ServiceName]*tally{}}
}

// Ticket identifies a call that has begun. The zero Ticket is of no call.
type Ticket struct {
	service units.ServiceName
	tokens  int64
	runs    bool
}

// Begin counts a call. The ticket is for End.
func (m *Meter) Begin(service units.ServiceName, w Work) Ticket {
	if m == nil {
		return Ticket{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.of(service)
	t.ended.Prefill += w.Prefill
	ticket := Ticket{service: service, tokens: int64(w.KVTokens), runs: w.Runs}
	if w.Runs {
		t.change(1, ticket.tokens, m.uptime())
	}
	return ticket
}

// End counts the end of a call. It is called once for each ticket.
func (m *Meter) End(ticket Ticket) {
	if !ticket.runs {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.of(ticket.service).change(-1, -ticket.tokens, m.uptime())
}

// RequestEnded counts a request of a caller.
func (m *Meter) RequestEnded(service units.ServiceName, late bool) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.of(service)
	t.ended.Requests++
	if late {
		t.ended.Late++
	}
}

// Totals returns the time since the start of the process, and the totals of each service until now.
func (m *Meter) Totals() (uptime time.Duration, services map[units.ServiceName]Totals) {
	m.mu.Lock()
	defer m.mu.Unlock()
	uptime = m.uptime()
	services = make(map[units.ServiceName]Totals, len(m.services))
	for name, t := range m.services {
		total := t.ended
		total.Occupied += time.Duration(t.running) * uptime
		total.KV += t.tokens * uptime.Milliseconds()
		services[name] = total
	}
	return uptime, services
}

func (m *Meter) uptime() time.Duration {
	return m.clock().Sub(m.started)
}

// of returns the tally of a service. The lock must be held.
func (m *Meter) of(service units.ServiceName) *tally {
	t, ok := m.services[service]
	if !ok {
		t = &tally{}
		m.services[service] = t
	}
	return t
}

// change adds calls, or removes them for a negative number, at a time after the start.
func (t *tally) change(calls, tokens int64, at time.Duration) {
	t.running += calls
	t.tokens += tokens
	t.ended.Occupied -= time.Duration(calls) * at
	t.ended.KV -= tokens * at.Milliseconds()
}
