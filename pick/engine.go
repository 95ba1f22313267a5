// Package pick selects the engines for a request by the estimated time to its first event, without any I/O.
package pick

import (
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/digest"
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/pace"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// PartID identifies a prompt segment that several requests may share.
type PartID string

// Part is one segment of a prompt.
type Part struct {
	ID     PartID
	Tokens units.Tokens
}

// Entry is the registry entry of one incarnation of an engine.
type Entry struct {
	ID        units.EngineName
	StartedAt int64 // start of the incarnation in Unix milliseconds, zero if the registry does not state it
	Service   units.ServiceName
	Address   string
	Place     units.PlaceName
	Region    units.RegionName
	Role      engine.Role
	Slots     int
	Leaving   bool
	Version   units.SoftwareVersion // empty if the registry names none
	Sequence  int64                 // rises from one state of the incarnation to the next
	// Reclaimable engines may be taken away by the platform at any time.
	Reclaimable bool
	LeavesIn    time.Duration // time that a leaving engine has left when the entry is written, zero if not stated
	ColdFor     time.Duration // slow time after the start that is left as the engine says, which may be wrong
}

// SameIncarnation reports whether both entries describe the same incarnation at the same address.
func (e Entry) SameIncarnation(other Entry) bool {
	return e.ID == other.ID && e.StartedAt == other.StartedAt && e.Address == other.Address && e.Service == other.Service
}

// IsNewer reports whether the entry is of a later state of the engine than the other one, by what the engine says of
// itself: incarnations start one after the other, and within one the sequence rises and leaving is final.
func (e Entry) IsNewer(other Entry) bool {
	if e.StartedAt != other.StartedAt {
		return e.StartedAt > other.StartedAt
	}
	return e.Leaving && !other.Leaving || e.Sequence > other.Sequence
}

// Engine is one incarnation of an engine: its registry entry, which is immutable, and its load, which is shared by all
// Engine values of the incarnation.
type Engine struct {
	Entry
	*loadTracker

	hash uint64 // of the id, for rendezvous hashing
}

// loadTracker tracks the load, the KV cache content and the failures of one incarnation of an engine.
type loadTracker struct {
	mu               sync.Mutex
	busyUntil        time.Time                    // estimated time at which all queued prompts are prefilled
	busySince        time.Time                    // start of the current period with at least one queued prompt
	estimatedBusy    time.Duration                // estimated cost of the prompts sent since busySince
	prefillFactor    float64                      // measured prefill time divided by the service's estimate
	queuedPrompts    int                          // prompts sent but not prefilled yet
	queuedTokens     units.Tokens                 // uncached tokens of these prompts
	queuedCost       [urgencyLevels]time.Duration // estimated prefill time of these prompts, by urgency
	running          int                          // requests sent but not ended
	kvTokens         units.Tokens                 // KV cache tokens reserved by these requests
	meanDuration     time.Duration                // moving average of the duration of a request
	reportedRequests int                          // requests of all callers, from the engine's latest load report
	reportedAt       time.Time
	backoff          pace.Backoff
	excludedUntil    time.Time // no new requests before this time
	peerLoad         PeerLoad
	cachedParts      *partCache
	limit            rateLimit // that the engine names for all processes together
	declined         declined
	contact          contact
	departure
	eventTime eventTime
	paced     paced
}

// NewEngine returns an engine without load.
func NewEngine(e Entry) *Engine {
	l := &loadTracker{cachedParts: newPartCache(maxCachedParts), prefillFactor: 1, meanDuration: initialDuration}
	l.record(e)
	return &Engine{Entry: e, hash: digest.Sum64(string(e.ID)), loadTracker: l}
}

// WithEntry returns the same incarnation with a changed entry. A changed role ends any exclusion, as the engine has
// completed its role change.
func (e *Engine) WithEntry(entry Entry) *Engine {
	if entry.Role != e.Role {
		e.resetExclusion()
	}
	e.record(entry)
	return &Engine{Entry: entry, loadTracker: e.loadTracker, hash: e.hash}
}

// resetExclusion ends an exclusion and resets the counts behind it.
func (l *loadTracker) resetExclusion() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.excludedUntil, l.contact.avoidedUntil = time.Time{}, time.Time{}
	l.backoff = pace.Backoff{}
}

const (
	// maxCachedParts bounds the segments remembered per engine; a KV cache holds about as many of the usual size.
	maxCachedParts = 512
	// reportLifetime is how long an engine's load report is used, a few times the usual duration of a plain request.
	reportLifetime = 300 * time.Millisecond
	// peerLoadLifetime is how long a load that another process reported is used.
	peerLoadLifetime = 700 * time.Millisecond
	// minObservedBusy is the shortest busy period that corrects prefillFactor; in shorter ones network delay and the
	// latency of the engine distort the ratio.
	minObservedBusy = 60 * time.Millisecond
	// fullWeightBusy is the length from which a busy period counts with the full factorWeight.
	fullWeightBusy = 500 * time.Millisecond
	// factorWeight is the share of the deviation by which one busy period corrects prefillFactor.
	factorWeight = 0.5
	// The bounds keep a single outlier from ruling an engine out.
	minBusyRatio, maxBusyRatio         = 0.5, 3.0
	minPrefillFactor, maxPrefillFactor = 0.4, 8.0
	// initialDuration is the assumed duration of a request before any has ended.
	initialDuration = time.Second
	// durationWeight is the weight of the latest request in meanDuration.
	durationWeight = 0.05
)

// CachedTokens returns how many leading tokens of the prompt are expected in the engine's KV cache.
func (l *loadTracker) CachedTokens(prompt []Part, now time.Time) units.Tokens {
	return l.cachedParts.cached(prompt, now)
}

// CachedParts returns how many leading parts are expected in the engine's KV cache.
func (l *loadTracker) CachedParts(parts []PartID, now time.Time) int {
	return l.cachedParts.leading(parts, now)
}

// MarkCached records parts that another process expects in the engine's KV cache.
func (l *loadTracker) MarkCached(parts []Part, now time.Time) {
	l.cachedParts.add(parts, now)
}

// ExcludedFor returns how much longer the engine is excluded from new requests.
func (l *loadTracker) ExcludedFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.excludedUntil.Sub(now), 0)
}

// SetReportedLoad stores a load report of the engine: the number of its running and waiting requests.
func (l *loadTracker) SetReportedLoad(requests int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportedRequests, l.reportedAt = requests, now
	if l.paced.group != nil {
		l.paced.state.Report(requests, now)
	}
}

// ExcludeUntil excludes the engine from selection until the given time, or longer if an earlier exclusion lasts longer.
func (l *loadTracker) ExcludeUntil(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.excludedUntil = later(l.excludedUntil, until)
	l.come(l.excludedUntil)
}

// Work is one request sent to an engine and counted in the engine's load.
type Work struct {
	PrefillTask
	load      *loadTracker
	startedAt time.Time
	queued    bool // the prompt is not prefilled yet
	measured  measurement
}

// Backoff counts a trouble of the engine, and returns for how long the engine should get no new requests.
func (l *loadTracker) Backoff(t pace.Trouble) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.backoff.Next(t)
}

// ResetBackoff resets the back-off after the engine accepted a request.
func (l *loadTracker) ResetBackoff() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backoff.Accepted()
}

// PrefillTask holds the prefill work and the KV cache reservation of a request at one engine.
type PrefillTask struct {
	Prompt   []Part        // empty if the engine has nothing to prefill
	Uncached units.Tokens  // prompt tokens without the cached ones
	Cost     time.Duration // estimated prefill time, without latency
	Urgency  Urgency
	KVTokens units.Tokens // KV cache tokens reserved until the request ends
}

// Begin adds a request that is about to be sent to the load.
func (l *loadTracker) Begin(t PrefillTask, now time.Time) *Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running++
	l.limit.take(now)
	t.Urgency = min(max(t.Urgency, 0), urgencyLevels-1)
	l.kvTokens += t.KVTokens
	w := &Work{load: l, PrefillTask: t, startedAt: now}
	if len(t.Prompt) > 0 {
		w.queued = true
		if l.queuedPrompts == 0 {
			l.busySince, l.estimatedBusy = now, 0
		}
		l.estimatedBusy += t.Cost
		l.queuedPrompts++
		l.queuedTokens += t.Uncached
		l.queuedCost[t.Urgency] += t.Cost
		l.busyUntil = later(l.busyUntil, now).Add(t.Cost)
	}
	l.beginPaced(w, now)
	return w
}

// PrefillDone marks the prompt as prefilled and its shared segments as cached.
func (w *Work) PrefillDone(now time.Time) {
	l := w.load
	l.mu.Lock()
	defer l.mu.Unlock()
	if !w.dequeue(now) {
		return
	}
	l.backoff.Answered()
	w.measurePrefill(now)
	l.cachedParts.add(Shared(w.Prompt), now)
	if l.queuedPrompts == 0 {
		l.updatePrefillFactor(now)
	}
}

// updatePrefillFactor corrects the factor by the measured length of the busy period that has just ended.
func (l *loadTracker) updatePrefillFactor(now time.Time) {
	if l.estimatedBusy < minObservedBusy {
		return
	}
	ratio := min(max(float64(now.Sub(l.busySince))/float64(l.estimatedBusy), minBusyRatio), maxBusyRatio)
	weight := min(float64(l.estimatedBusy)/float64(fullWeightBusy), 1) * factorWeight
	l.prefillFactor = min(max(l.prefillFactor*(1+weight*(ratio-1)), minPrefillFactor), maxPrefillFactor)
}

// PrefillFactor returns the ratio of the engine's measured prefill time to the estimate for the service.
func (l *loadTracker) PrefillFactor() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.factor()
}

// factor returns PrefillFactor. The lock must be held.
func (l *loadTracker) factor() float64 {
	if l.peerLoad.Factor > 0 {
		return l.peerLoad.Factor
	}
	return l.prefillFactor
}

// Hash returns the hash of the engine's id.
func (e *Engine) Hash() uint64 { return e.hash }

// dequeue removes the prompt from the queued ones, and reports whether it was still queued.
func (w *Work) dequeue(now time.Time) bool {
	if !w.queued {
		return false
	}
	l := w.load
	w.queued = false
	l.queuedPrompts--
	l.queuedTokens -= w.Uncached
	l.queuedCost[w.Urgency] -= w.Cost
	if l.queuedPrompts == 0 {
		l.busyUntil = now
	}
	return true
}

// End removes the request from the load. Failed is true only for failures that the engine caused.
func (w *Work) End(failed bool, now time.Time) {
	l := w.load
	l.mu.Lock()
	defer l.mu.Unlock()
	w.remove(now)
	if !failed {
		l.meanDuration += time.Duration(durationWeight * float64(now.Sub(w.startedAt)-l.meanDuration))
		l.backoff.Answered()
		w.measureEnd(now)
		return
	}
	if exclusion := l.countFailure(); exclusion > 0 {
		l.excludedUntil = now.Add(exclusion)
		l.come(l.excludedUntil)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
