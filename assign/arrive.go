package assign

import (
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// settleTime is the time without new engines after which roles are planned. Ordered engines appear within a short time
	// of each other, and with all of them there are fewer changes.
	settleTime = time.Second
	// maxSettle bounds the wait.
	maxSettle = 3 * time.Second
)

// arrivals tells whether new engines are still appearing.
type arrivals struct {
	known map[units.EngineName]bool
	since time.Time // first of the new engines, zero if none is new
	last  time.Time // latest of them
}

// settling reports whether more new engines are likely to appear soon.
func (a *arrivals) settling(engines []Engine, now time.Time) bool {
	known := make(map[units.EngineName]bool, len(engines))
	for _, e := range engines {
		known[e.ID] = true
		if a.known[e.ID] {
			continue
		}
		a.last = now
		if a.since.IsZero() {
			a.since = now
		}
	}
	a.known = known
	if a.since.IsZero() || now.Sub(a.last) >= settleTime || now.Sub(a.since) >= maxSettle {
		a.since = time.Time{}
		return false
	}
	return true
}
