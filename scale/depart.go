package scale

import (
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// startTime is the time from the start within which on-demand engines are expected to be replaced.
	startTime = 15 * time.Second
	// replaceTime is the time from when reclaimable engines of a zone could replace its on-demand ones until these have left.
	replaceTime = 20 * time.Second
)

// Departures tells which on-demand engines are about to be replaced. They need no other role, and do not count for the
// split of roles: the platform chooses which of them leaves first.
type Departures struct {
	started time.Time
	since   map[units.PlaceName]time.Time // when a zone first had as many reclaimable engines as on-demand ones
}

// NewDepartures returns the state at the start of a process.
func NewDepartures(now time.Time) *Departures {
	return &Departures{started: now, since: map[units.PlaceName]time.Time{}}
}

// Zones returns the zones whose on-demand engines are about to be replaced.
func (d *Departures) Zones(zones []Zone, now time.Time) map[units.PlaceName]bool {
	departing := map[units.PlaceName]bool{}
	for _, z := range zones {
		onDemand, reclaimable := z.Counts[OnDemand].Serving, z.Counts[Reclaimable].Serving
		if reclaimable == 0 || reclaimable < onDemand {
			delete(d.since, z.Place)
			departing[z.Place] = now.Sub(d.started) < startTime
			continue
		}
		if _, ok := d.since[z.Place]; !ok {
			d.since[z.Place] = now
		}
		departing[z.Place] = now.Sub(d.since[z.Place]) < replaceTime
	}
	return departing
}
