package pick

import (
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// Urgency is the scheduling priority of a request at an engine; 0 is the most urgent.
type Urgency int

// urgencyLevels is the number of urgencies that engines support.
const urgencyLevels = 10

// Load is the state of an engine's load at one moment.
type Load struct {
	Wait         [urgencyLevels]time.Duration // until the queued prompts of at least that urgency are prefilled
	Pending      units.Tokens                 // uncached tokens of prompts not prefilled yet
	Running      int
	KVTokens     units.Tokens  // KV cache tokens reserved by running requests
	MeanDuration time.Duration // moving average of the duration of a request
	EventTime    time.Duration // mean time between two events of its streams, zero if unknown
	Excluded     bool          // excluded from new requests for a while
	NoPermit     bool          // has had as many requests as its limit allows
	Allowance    int           // requests that may run by the engine's pace, zero for any number
}

// PeerLoad is an engine's load as another process reports it.
type PeerLoad struct {
	At       time.Time
	Wait     [urgencyLevels]time.Duration
	Pending  units.Tokens
	Running  int
	KVTokens units.Tokens
	Factor   float64 // measured prefill time divided by the estimate, zero if unknown
	// EventTime is the mean time between two events of its streams, zero if unknown.
	EventTime time.Duration
	// Allowance is the number of requests that may run by the engine's pace, zero if not told and OpenAllowance for any
	// number.
	Allowance int
}

// WaitsUS returns the waits by urgency in microseconds, without those at the end that equal the one before.
func (l Load) WaitsUS() []int64 {
	n := urgencyLevels
	for n > 1 && l.Wait[n-1] == l.Wait[n-2] {
		n--
	}
	waits := make([]int64, n)
	for u := range waits {
		waits[u] = l.Wait[u].Microseconds()
	}
	return waits
}

// WaitsOf returns the waits for a list that WaitsUS returned.
func WaitsOf(us []int64) (waits [urgencyLevels]time.Duration) {
	for u := range waits {
		if len(us) > 0 {
			waits[u] = time.Duration(us[min(u, len(us)-1)]) * time.Microsecond
		}
	}
	return waits
}

// SetPeerLoad stores the engine's load as another process reported it.
func (l *loadTracker) SetPeerLoad(r PeerLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peerLoad = r
	if r.Allowance == OpenAllowance {
		l.paced.state.Follow(r.At)
	}
}

// TotalWait returns the time until the queued prompts of all urgencies are prefilled.
func (l Load) TotalWait() time.Duration {
	return l.Wait[urgencyLevels-1]
}

// Load returns the larger of the local load and a recent report of another process, value by value.
func (l *loadTracker) Load(now time.Time) Load {
	var state Load
	l.readLoad(now, &state)
	return state
}

// readLoad stores Load in state.
func (l *loadTracker) readLoad(now time.Time, state *Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readLocalLoad(now, state)
	state.Allowance = l.allowance(now)
	remote := &l.peerLoad
	if age := now.Sub(remote.At); age < peerLoadLifetime {
		for u := range state.Wait {
			state.Wait[u] = max(state.Wait[u], remote.Wait[u]-age)
		}
		state.Pending = max(state.Pending, remote.Pending)
		state.Running = max(state.Running, remote.Running)
		state.KVTokens = max(state.KVTokens, remote.KVTokens)
	}
	if remote.EventTime > 0 {
		state.EventTime = remote.EventTime // from more streams than this process has seen
	}
}

// LocalLoad returns the load of the tracked requests and of the engine's own report, without reports of other processes.
func (l *loadTracker) LocalLoad(now time.Time) Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	var state Load
	l.readLocalLoad(now, &state)
	return state
}

// readLocalLoad stores LocalLoad in state. The lock must be held.
func (l *loadTracker) readLocalLoad(now time.Time, state *Load) {
	*state = Load{
		Running: l.running, Excluded: l.excluded(now), Pending: l.queuedTokens, KVTokens: l.kvTokens,
		MeanDuration: l.meanDuration, EventTime: l.eventTime.mean, NoPermit: l.mayNotSend(now), Allowance: l.paced.state.Allowance(),
	}
	if now.Sub(l.reportedAt) < reportLifetime {
		state.Running = max(state.Running, l.reportedRequests)
	}
	if l.queuedPrompts == 0 {
		return
	}
	left := max(l.busyUntil.Sub(now), time.Millisecond*time.Duration(l.queuedPrompts))
	var ahead time.Duration
	for u, queued := range l.queuedCost {
		ahead += queued
		state.Wait[u] = min(ahead, left)
	}
}
