// Package route chooses the engines of an availability zone that run a request.
package route

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// reportMaxAge is the age from which a load report is ignored.
	reportMaxAge = 5 * time.Second
	// maxSnapshots bounds the snapshots of this process's own work, which are matched with load reports by time.
	maxSnapshots = 16
	// failureBackOff is how long an engine is not used after a send to it failed.
	failureBackOff = time.Second
)

// Blocked is a set of reasons why an engine gets no new work.
type Blocked uint32

// The reasons why an engine gets no new work. Several can apply at once.
const (
	BlockedDrain   Blocked = 1 << iota // the configuration drains it
	BlockedLeaving                     // its VM is being removed
	BlockedCordon                      // cordoned by the lease holder
	BlockedRemoved                     // no longer in the configuration
)

// String returns the reasons, separated by commas.
func (b Blocked) String() string {
	names := []string{"drain", "leaving", "cordon", "removed"}
	var set []string
	for i, name := range names {
		if b&(1<<i) != 0 {
			set = append(set, name)
		}
	}
	return strings.Join(set, ",")
}

// workCounts is a snapshot of this process's own work on an engine.
type workCounts struct {
	at       time.Time
	inFlight int64
	prefill  int64 // prompt tokens in flight
}

// timedReport is a load report with the time when it was taken and this process's own work on the engine at that time.
type timedReport struct {
	engine.Report

	takenAt time.Time
	own     workCounts
}

// View holds this process's state of one engine: its own requests, the latest load report and the cached prefixes.
// It is safe for concurrent use.
type View struct {
	Engine   *config.Engine
	Upstream engine.Upstream
	Client   *engine.Client // nil in benchmarks without a network

	sent       atomic.Int64
	ended      atomic.Int64
	prefill    atomic.Int64 // prompt tokens of this process's requests that have no first token yet
	suspects   atomic.Int64
	blocked    atomic.Uint32
	backOffEnd atomic.Int64 // end of the back-off after a failed send, in nanoseconds since start
	permitEnd  atomic.Int64 // new work is allowed until then, in nanoseconds since start; zero for no limit
	report     atomic.Pointer[timedReport]
	role       atomic.Pointer[engine.Role]
	prefixes   prefixIndex
	start      time.Time

	mu        sync.Mutex
	snapshots []workCounts
}

// NewView returns the view of an engine without requests and reports.
func NewView(e *config.Engine, upstream engine.Upstream, client *engine.Client, now time.Time) *View {
	v := &View{Engine: e, Upstream: upstream, Client: client, start: now}
	v.role.Store(&e.Role)
	return v
}

// Role returns the role of the latest load report, or the configured one before any report.
func (v *View) Role() engine.Role {
	return *v.role.Load()
}

// InFlight returns the number of requests of this process that are in flight on the engine.
func (v *View) InFlight() int64 {
	ended := v.ended.Load() // read before sent, so that the difference is never too small
	return v.sent.Load() - ended
}

// Block sets or clears one reason why the engine gets no new work.
func (v *View) Block(reason Blocked, on bool) {
	for {
		old := v.blocked.Load()
		next := old &^ uint32(reason)
		if on {
			next = old | uint32(reason)
		}
		if v.blocked.CompareAndSwap(old, next) {
			return
		}
	}
}

// Blocked returns the reasons why the engine gets no new work, zero for none.
func (v *View) Blocked() Blocked {
	return Blocked(v.blocked.Load())
}

// SetPermit allows new work only until the given time. The zero time removes the limit.
func (v *View) SetPermit(until time.Time) {
	if until.IsZero() {
		v.permitEnd.Store(0)
		return
	}
	v.permitEnd.Store(max(int64(until.Sub(v.start)), 1))
}

// isOpen reports whether the engine is not blocked and its permit, if any, has not expired.
func (v *View) isOpen(now time.Time) bool {
	permit := v.permitEnd.Load()
	return v.blocked.Load() == 0 && (permit == 0 || int64(now.Sub(v.start)) < permit)
}

// BackOff excludes the engine from selection for failureBackOff.
func (v *View) BackOff(now time.Time) {
	v.backOffEnd.Store(int64(now.Add(failureBackOff).Sub(v.start)))
}

// Usable reports whether new work may be sent to the engine now.
func (v *View) Usable(now time.Time) bool {
	if !v.isOpen(now) || int64(now.Sub(v.start)) < v.backOffEnd.Load() {
		return false
	}
	r := v.report.Load()
	return r == nil || !r.Away || now.Sub(r.takenAt) > reportMaxAge
}

// begin counts a request as in flight before any of it is sent. It returns false if the engine was blocked in the
// meantime.
func (v *View) begin(job flow.Job, suspect bool, now time.Time) bool {
	v.sent.Add(1)
	if !v.isOpen(now) {
		v.ended.Add(1)
		return false
	}
	v.prefill.Add(int64(job.Input))
	v.prefixes.add(job.Prefix)
	if suspect {
		v.suspects.Add(1)
	}
	return true
}

// prefilled removes the request's prompt from the prompt tokens in flight.
func (v *View) prefilled(job flow.Job) {
	v.prefill.Add(-int64(job.Input))
}

// end removes a request from the requests in flight.
func (v *View) end(suspect bool) {
	v.ended.Add(1)
	if suspect {
		v.suspects.Add(-1)
	}
}

// MarkPoll takes a snapshot of this process's own work on the engine. It is called when a load report is requested.
func (v *View) MarkPoll(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.snapshots = append(v.snapshots, workCounts{at: now, inFlight: v.InFlight(), prefill: v.prefill.Load()})
	if len(v.snapshots) > maxSnapshots {
		v.snapshots = v.snapshots[1:]
	}
}

// ApplyReport stores a load report that was requested at the given time. A report of the same incarnation that is not
// newer than the stored one is ignored.
func (v *View) ApplyReport(r engine.Report, requestedAt time.Time) {
	old := v.report.Load()
	if old != nil && old.Incarnation == r.Incarnation && old.Sequence >= r.Sequence {
		return
	}
	takenAt := r.TakenAt(requestedAt)
	v.report.Store(&timedReport{Report: r, takenAt: takenAt, own: v.snapshotAt(takenAt)})
	if r.Role != "" {
		v.role.Store(&r.Role)
	}
	if old != nil && old.Incarnation != r.Incarnation {
		v.prefixes.clear()
	}
}

// LatestReport returns the latest report and the time when it was taken, or false if there is none.
func (v *View) LatestReport() (engine.Report, time.Time, bool) {
	r := v.report.Load()
	if r == nil {
		return engine.Report{}, time.Time{}, false
	}
	return r.Report, r.takenAt, true
}

// ApplyCacheEvents applies the engine's cache events to the prefix index.
func (v *View) ApplyCacheEvents(events []engine.CacheEvent) {
	for _, e := range events {
		if e.Dropped {
			v.prefixes.remove(e.Prefix)
			continue
		}
		v.prefixes.add(e.Prefix)
	}
}

// snapshotAt returns the latest snapshot that was taken no later than the given time.
func (v *View) snapshotAt(takenAt time.Time) workCounts {
	v.mu.Lock()
	defer v.mu.Unlock()
	var latest workCounts
	for _, s := range v.snapshots {
		if s.at.After(takenAt) {
			break
		}
		latest = s
	}
	return latest
}

// uncached returns the number of prompt tokens that the engine has to prefill.
func (v *View) uncached(job flow.Job) units.Tokens {
	if job.Prefix != 0 && v.prefixes.has(job.Prefix) {
		return max(job.Input-job.Shared, 1)
	}
	return job.Input
}
