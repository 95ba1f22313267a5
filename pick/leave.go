package pick

import (
	"sync/atomic"
	"time"
)

// departure is what an incarnation of an engine has said of its leaving. It outlives its registry entry, which is removed
// when the engine ends.
type departure struct {
	leaving  atomic.Bool
	leavesIn atomic.Int64 // nanoseconds, zero if not stated
}

// record takes over what a registry entry says.
func (d *departure) record(e Entry) {
	if e.Leaving {
		d.leavesIn.Store(int64(e.LeavesIn))
		d.leaving.Store(true)
	}
}

// HasBegunToLeave reports whether the incarnation has said in the registry that it leaves.
func (d *departure) HasBegunToLeave() bool {
	return d.leaving.Load()
}

// StatedDeparture returns the time that was left to the engine when it last wrote its entry. It returns false if the engine
// does not leave or has not stated the time.
func (d *departure) StatedDeparture() (time.Duration, bool) {
	left := time.Duration(d.leavesIn.Load())
	return left, d.leaving.Load() && left > 0
}
