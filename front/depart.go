package front

import (
	"time"

	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// renewalsToExpiry is the number of renewals after which the entry of a silent engine has expired, with one to spare.
	renewalsToExpiry = 4
	// departureMemory is how long an engine that has left is remembered, longer than the age of a copy of the store.
	departureMemory = time.Minute
)

// departures holds the engines that have left the registry lately. A store that comes back from an older copy lists them
// again: they are held back until the entries of those that have ended must have expired.
type departures struct {
	left map[units.EngineName]departure
	held map[units.EngineName]heldEntry
}

type departure struct {
	entry pick.Entry
	at    time.Time
}

// heldEntry is an entry that is not used before a time.
type heldEntry struct {
	entry pick.Entry
	until time.Time
}

func newDepartures() departures {
	return departures{left: map[units.EngineName]departure{}, held: map[units.EngineName]heldEntry{}}
}

// add records that an engine has left. It forgets earlier ones.
func (d departures) add(e pick.Entry, now time.Time) {
	for id, l := range d.left {
		if now.Sub(l.at) > departureMemory {
			delete(d.left, id)
		}
	}
	d.left[e.ID] = departure{entry: e, at: now}
}

// returned forgets that an engine had left, as it is in the registry again.
func (d departures) returned(id units.EngineName) {
	delete(d.left, id)
}

// expect holds those entries of a restored registry back whose engines had left.
func (d departures) expect(entries []pick.Entry, until time.Time) {
	for _, e := range entries {
		if l, ok := d.left[e.ID]; ok && l.entry.SameIncarnation(e) {
			d.held[e.ID] = heldEntry{entry: e, until: until}
		}
	}
}

// without returns the entries that are not held back.
func (d departures) without(entries []pick.Entry) []pick.Entry {
	if len(d.held) == 0 {
		return entries
	}
	usable := make([]pick.Entry, 0, len(entries))
	for _, e := range entries {
		if h, ok := d.held[e.ID]; !ok || !h.entry.SameIncarnation(e) {
			usable = append(usable, e)
		}
	}
	return usable
}

// release ends holding back engines that have written or lost their entries since.
func (d departures) release(written []pick.Entry, removed []units.EngineName) {
	for _, e := range written {
		delete(d.held, e.ID)
	}
	for _, id := range removed {
		delete(d.held, id)
	}
}

// due returns the entries that are still listed at the end of their time, so that their engines must be alive. An engine that
// had said that it leaves stays away.
func (d departures) due(now time.Time) []pick.Entry {
	var alive []pick.Entry
	for id, h := range d.held {
		if now.Before(h.until) {
			continue
		}
		delete(d.held, id)
		if !d.left[id].entry.Leaving {
			alive = append(alive, h.entry)
		}
	}
	return alive
}
