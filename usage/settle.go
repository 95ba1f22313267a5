package usage

import (
	"slices"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// heardTime is the time after the end of a window at which the counts of a process must have been taken to be those of the whole
	// window: requests that began in it may be known by then.
	heardTime = 2 * time.Second
	// settleTime is the time after the end of a window at which it is settled if all processes were heard.
	settleTime = 2300 * time.Millisecond
	// latestSettleTime is the same if some were not.
	latestSettleTime = 2800 * time.Millisecond
	// keptSettled is the number of settled windows that the record holds beside those that were not reported.
	keptSettled = 4
	// maxSettled bounds the windows that the record holds, and the earlier windows that are settled.
	maxSettled = 120
)

// Settled is a window whose counts are fixed.
type Settled struct {
	Window   Window `json:"window"`
	Counts   Counts `json:"counts"`
	Reported bool   `json:"reported,omitempty"` // the duty API has accepted the report, or refused it for good
}

// Record holds the last settled windows, in order. It is kept in the platform's store.
type Record struct {
	Length  Length    `json:"length"` // of a window, nanoseconds
	Era     units.Era `json:"era"`    // of the store when the record was written
	Settled []Settled `json:"settled"`
}

// last returns the last settled window, zero for none.
func (r Record) last() Window {
	if len(r.Settled) == 0 {
		return 0
	}
	return r.Settled[len(r.Settled)-1].Window
}

// next returns the settled window to report next, nil for none: the first one that is not late yet, or else the first one.
func (r Record) next(lateness time.Duration, now time.Time) *Settled {
	var late *Settled
	for i := range r.Settled {
		s := &r.Settled[i]
		switch {
		case s.Reported:
		case now.Before(r.Length.End(s.Window).Add(lateness)):
			return s
		case late == nil:
			late = s
		}
	}
	return late
}

// fleet is what a settlement is based on.
type fleet struct {
	book      *Book
	processes []units.ProcessName // that are not known to be gone
	length    Length
	era       units.Era // of the store
}

// first returns the first window to settle: the one after the last that was settled or of which a report was sent, or for the first
// report of all the first one of which counts are known. A store that came back from a copy may lack windows that were reported; their
// counts are not settled again. If no process remembers the reports, none has counted requests of those windows either.
func (f fleet) first(r Record, sent Window, now time.Time) Window {
	current := f.length.At(now)
	next := max(r.last(), sent) + 1
	if next == 1 {
		next = current
		if earliest, ok := f.book.Earliest(); ok {
			next = min(next, earliest)
		}
	}
	if r.last() != 0 && r.Era != f.era {
		earliest, ok := f.book.EarliestCounted()
		if !ok {
			earliest = current
		}
		next = max(next, earliest)
	}
	return max(next, current-maxSettled)
}

// settle returns the record with the windows that can be settled now, and the processes whose counts of the next one are missing.
func (f fleet) settle(r Record, sent Window, now time.Time) (next Record, missing []units.ProcessName) {
	if r.Length != f.length {
		r = Record{Length: f.length}
	}
	next = Record{Length: f.length, Era: f.era, Settled: slices.Clone(r.Settled)}
	for w := f.first(r, sent, now); ; w++ {
		end := f.length.End(w)
		if now.Before(end.Add(settleTime)) {
			break
		}
		missing = f.book.Missing(w, end.Add(heardTime), f.processes)
		if len(missing) > 0 && now.Before(end.Add(latestSettleTime)) {
			break
		}
		missing = nil
		next.Settled = append(next.Settled, Settled{Window: w, Counts: f.book.Sum(w)})
	}
	for len(next.Settled) > maxSettled || len(next.Settled) > keptSettled && next.Settled[0].Reported {
		next.Settled = next.Settled[1:]
	}
	return next, missing
}
