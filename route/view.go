// Package route chooses the availability zone and the engines for a request.
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
	// reportLife is the age at which a load report says nothing any more.
	reportLife = 5 * time.Second
	// marksKept bounds the remembered counts of own sends.
	marksKept = 16
	// downTime is how long an engine is passed over after a send to it failed.
	downTime = time.Second
)

// Blocked says why an engine gets no new work.
type Blocked uint32

// The reasons to send nothing new to an engine. They can hold together.
const (
	BlockedDrain   Blocked = 1 << iota // drained by the configuration
	BlockedLeaving                     // its VM is leaving
	BlockedCordon                      // the holder of the lease takes it away
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

// counts are an engine's work from this process at a moment.
type counts struct {
	at       time.Time
	inFlight int64
	prefill  int64 // prompt tokens in flight
}

// reported is a load report with the own counts at the time when it was taken.
type reported struct {
	engine.Report

	taken time.Time
	mark  counts
}

// View is what a process knows of one engine. It is safe for use by several goroutines.
type View struct {
	Engine   *config.Engine
	Upstream engine.Upstream
	Client   *engine.Client // nil in measurements without a network

	sent     atomic.Int64
	ended    atomic.Int64
	prefill  atomic.Int64 // prompt tokens of own requests without a first token
	suspects atomic.Int64
	blocked  atomic.Uint32
	downTill atomic.Int64 // in nanoseconds since start
	permit   atomic.Int64 // end of the permit of a candidate in nanoseconds since start, zero for none needed
	report   atomic.Pointer[reported]
	role     atomic.Pointer[engine.Role]
	prefixes prefixIndex
	start    time.Time

	mu    sync.Mutex
	marks []counts
}

// NewView returns the view of an engine that nothing was sent to yet.
func NewView(e *config.Engine, upstream engine.Upstream, client *engine.Client, now time.Time) *View {
	v := &View{Engine: e, Upstream: upstream, Client: client, start: now}
	v.role.Store(&e.Role)
	return v
}

// Role returns the role that the engine reported last, or the one of the configuration.
func (v *View) Role() engine.Role {
	return *v.role.Load()
}

// InFlight returns the requests of this process that run on the engine.
func (v *View) InFlight() int64 {
	ended := v.ended.Load() // first, so that the difference is never too small
	return v.sent.Load() - ended
}

// Block sets or clears one reason to send nothing new.
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

// Blocked returns the reasons to send nothing new, zero for none.
func (v *View) Blocked() Blocked {
	return Blocked(v.blocked.Load())
}

// SetPermit allows new work only until the time. The zero time takes the limit away.
func (v *View) SetPermit(till time.Time) {
	if till.IsZero() {
		v.permit.Store(0)
		return
	}
	v.permit.Store(max(int64(till.Sub(v.start)), 1))
}

// open reports whether nothing forbids new work now.
func (v *View) open(now time.Time) bool {
	permit := v.permit.Load()
	return v.blocked.Load() == 0 && (permit == 0 || int64(now.Sub(v.start)) < permit)
}

// Failed makes the engine be passed over for a while.
func (v *View) Failed(now time.Time) {
	v.downTill.Store(int64(now.Add(downTime).Sub(v.start)))
}

// Usable reports whether new work may be sent now.
func (v *View) Usable(now time.Time) bool {
	if !v.open(now) || int64(now.Sub(v.start)) < v.downTill.Load() {
		return false
	}
	r := v.report.Load()
	return r == nil || !r.Away || now.Sub(r.taken) > reportLife
}

// begin counts a request that is sent, before anything of it leaves. It returns false when the engine
// was blocked meanwhile.
func (v *View) begin(job flow.Job, suspect bool, now time.Time) bool {
	v.sent.Add(1)
	if !v.open(now) {
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

// prefilled counts a request's prompt as done.
func (v *View) prefilled(job flow.Job) {
	v.prefill.Add(-int64(job.Input))
}

// end counts a request as over.
func (v *View) end(suspect bool) {
	v.ended.Add(1)
	if suspect {
		v.suspects.Add(-1)
	}
}

// Asked notes the own counts at the time when a load report is asked for.
func (v *View) Asked(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.marks = append(v.marks, counts{at: now, inFlight: v.InFlight(), prefill: v.prefill.Load()})
	if len(v.marks) > marksKept {
		v.marks = v.marks[1:]
	}
}

// Report takes a load report that was asked for at the given time. A report that is not newer is dropped.
func (v *View) Report(r engine.Report, asked time.Time) {
	old := v.report.Load()
	if old != nil && old.Incarnation == r.Incarnation && old.Sequence >= r.Sequence {
		return
	}
	taken := r.Taken(asked)
	v.report.Store(&reported{Report: r, taken: taken, mark: v.markAt(taken)})
	if r.Role != "" {
		v.role.Store(&r.Role)
	}
	if old != nil && old.Incarnation != r.Incarnation {
		v.prefixes.clear()
	}
}

// Reported returns the latest report and when it was taken.
func (v *View) Reported() (engine.Report, time.Time, bool) {
	r := v.report.Load()
	if r == nil {
		return engine.Report{}, time.Time{}, false
	}
	return r.Report, r.taken, true
}

// Cached notes cache events of the engine.
func (v *View) Cached(events []engine.CacheEvent) {
	for _, e := range events {
		if e.Dropped {
			v.prefixes.remove(e.Prefix)
			continue
		}
		v.prefixes.add(e.Prefix)
	}
}

// markAt returns the counts at the time, from the latest mark that is not younger.
func (v *View) markAt(taken time.Time) counts {
	v.mu.Lock()
	defer v.mu.Unlock()
	var mark counts
	for _, m := range v.marks {
		if m.at.After(taken) {
			break
		}
		mark = m
	}
	return mark
}

// uncached returns the prompt tokens that the engine has to prefill.
func (v *View) uncached(job flow.Job) units.Tokens {
	if job.Prefix != 0 && v.prefixes.has(job.Prefix) {
		return max(job.Input-job.Shared, 1)
	}
	return job.Input
}
