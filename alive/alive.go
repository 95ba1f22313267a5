// Package alive tells which registered processes are there. A registration may outlive its process, so choices among processes go
// by what was heard of them. It has no input or output: its caller sends the probes, and reports the messages that arrive.
package alive

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthorntrack/buckthorntrack/digest"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Process is a registered process.
type Process struct {
	Name   units.ProcessName
	Region units.RegionName
}

// Record is what is known of another registered process.
type Record struct {
	Process
	hash    uint64
	heardAt atomic.Int64 // Unix nanoseconds, zero before the first message
	gone    atomic.Bool
	goneAt  atomic.Int64 // when it was found gone, Unix nanoseconds

	// What follows is guarded by the lock of the Watch.
	listedAt        time.Time
	probedAt        time.Time
	unanswered      int // consecutive probes without a message since
	unansweredSince time.Time
	suspected       bool // another process found it gone
}

// Heard records a message of the process.
func (r *Record) Heard(now time.Time) {
	r.heardAt.Store(now.UnixNano())
	r.gone.Store(false)
}

// IsGone reports whether the process answered none of the latest probes. It may only be frozen, or cut off from this one: duties
// pass on to others, but what it may still do counts for as long as it is registered.
func (r *Record) IsGone() bool {
	return r.gone.Load()
}

// setGone records whether the process is gone.
func (r *Record) setGone(gone bool, now time.Time) {
	if gone && !r.gone.Load() {
		r.goneAt.Store(now.UnixNano())
	}
	r.gone.Store(gone)
}

// isHeardSince reports whether a message was received at the time or later.
func (r *Record) isHeardSince(at time.Time) bool {
	heard := r.heardAt.Load()
	return heard != 0 && heard >= at.UnixNano()
}

// isConfirmed reports whether the process was heard and is not gone.
func (r *Record) isConfirmed() bool {
	return r.heardAt.Load() != 0 && !r.gone.Load()
}

// Options holds the own identity and the sizes of a Watch.
type Options struct {
	Process
	// SmallFleet is the number of processes up to which all are watched. In a larger fleet these are the first ones of each region.
	SmallFleet int
	// Leaders is the number of processes of each region that have duties, and Fanout the number of processes that follow one.
	Leaders, Fanout int
}

// Watch decides which processes are probed when, and which are gone.
type Watch struct {
	Options
	hash   uint64
	byName atomic.Pointer[map[units.ProcessName]*Record]
	here   atomic.Int64

	mu       sync.Mutex
	ordered  []*Record // in the order in which duties pass on
	leads    bool      // this process had duties at calledAt
	calledAt time.Time // of the latest call of Next
}

// New returns a Watch of no processes.
func New(o Options) *Watch {
	o.Leaders, o.Fanout = max(o.Leaders, 1), max(o.Fanout, 1)
	w := &Watch{Options: o, hash: digest.Sum64(string(o.Name))}
	w.byName.Store(&map[units.ProcessName]*Record{})
	w.here.Store(1)
	return w
}

// Update adds registered processes, or begins anew with them, and removes others. It returns the records of those added.
func (w *Watch) Update(set []Process, removed []units.ProcessName, now time.Time) []*Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := maps.Clone(*w.byName.Load())
	for _, name := range removed {
		delete(next, name)
	}
	added := make([]*Record, 0, len(set))
	for _, p := range set {
		r := &Record{Process: p, hash: digest.Sum64(string(p.Name)), listedAt: now}
		added = append(added, r)
		if p.Name != w.Name {
			next[p.Name] = r
		}
	}
	w.byName.Store(&next)
	w.ordered = slices.SortedFunc(maps.Values(next), func(a, b *Record) int { return cmp.Compare(a.hash, b.hash) })
	w.count()
	return added
}

// IsGone reports whether a registered process is known to be gone.
func (w *Watch) IsGone(name units.ProcessName) bool {
	r, ok := (*w.byName.Load())[name]
	return ok && r.IsGone()
}

// GoneFor returns how long a registered process has been gone, zero if it is not.
func (w *Watch) GoneFor(name units.ProcessName, now time.Time) time.Duration {
	r, ok := (*w.byName.Load())[name]
	if !ok || !r.IsGone() {
		return 0
	}
	return now.Sub(time.Unix(0, r.goneAt.Load()))
}

// IsHeard reports whether a message of a registered process was received lately.
func (w *Watch) IsHeard(name units.ProcessName, now time.Time) bool {
	r, ok := (*w.byName.Load())[name]
	return ok && !r.IsGone() && r.isHeardSince(now.Add(-heardTime))
}

// Here returns the number of registered processes that are not gone, with this one.
func (w *Watch) Here() int {
	return int(w.here.Load())
}

// IsSmall reports whether the fleet is small enough to watch all processes.
func (w *Watch) IsSmall() bool {
	return w.Here() <= w.SmallFleet
}

// Suspect has a process probed that another one has found gone.
func (w *Watch) Suspect(name units.ProcessName, now time.Time) {
	r, ok := (*w.byName.Load())[name]
	if !ok || r.IsGone() || r.isHeardSince(now.Add(-answerTime)) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	r.suspected = true
}

// count updates the number of processes that are not gone. The lock must be held.
func (w *Watch) count() {
	here := 1
	for _, r := range w.ordered {
		if !r.IsGone() {
			here++
		}
	}
	w.here.Store(int64(here))
}
