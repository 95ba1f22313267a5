package duty

import (
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// health records since when the duty API has not been reached.
type health struct {
	mu    sync.Mutex
	since time.Time // start of the first call that did not reach it since the last one that did, zero for none
}

// record records the end of a call, and returns how long the duty API has not been reached.
func (h *health) record(began, now time.Time, reached bool) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case reached:
		h.since = time.Time{}
		return 0
	case h.since.IsZero():
		h.since = began
	}
	return now.Sub(h.since)
}

// pace spreads the calls of this process, so that the duty API gets no more than it accepts.
type pace struct {
	interval time.Duration

	mu   sync.Mutex
	next time.Time // when the next call may be sent
}

// burstTime is the time for which calls may be sent at once after a time without calls.
const burstTime = 100 * time.Millisecond

// newPace returns a pace for a rate of calls, zero for no bound.
func newPace(rate units.PerSecond) *pace {
	if rate <= 0 {
		return &pace{}
	}
	return &pace{interval: time.Duration(float64(time.Second) / float64(rate))}
}

// delay returns how long the next call has to wait, and counts it.
func (p *pace) delay(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next = p.next.Add(p.interval)
	if earliest := now.Add(-burstTime); p.next.Before(earliest) {
		p.next = earliest
	}
	return max(0, p.next.Sub(now))
}
