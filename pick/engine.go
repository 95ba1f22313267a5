// Package pick chooses the engines of a request from estimates; it does no input or output.
package pick

import (
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// PartID identifies a part of prompts that requests may share.
type PartID string

// Part is one part of a prompt.
type Part struct {
	ID     PartID
	Tokens units.Tokens
}

// Entry is what the registry says of one incarnation of an engine.
type Entry struct {
	ID      units.EngineName
	Born    int64 // start of the incarnation, Unix milliseconds, zero when it is not told
	Service units.ServiceName
	Address string
	Place   units.PlaceName
	Region  units.RegionName
	Role    engine.Role
	Slots   int
	Leaving bool
}

// Same reports whether both entries are of the same incarnation at the same address.
func (e Entry) Same(other Entry) bool {
	return e.ID == other.ID && e.Born == other.Born && e.Address == other.Address && e.Service == other.Service
}

// Engine is one incarnation of an engine as the registry shows it, with what this process knows of its load.
// It is immutable but for the load, which all entries of one incarnation share.
type Engine struct {
	Entry
	*load
}

// load is what this process knows of an incarnation's work.
type load struct {
	mu       sync.Mutex
	busy     time.Time                // when the prompts that are known to be queued will have been read
	since    time.Time                // start of the time in which there were always prompts to read
	planned  time.Duration            // cost of the prompts that were sent since
	stretch  float64                  // time that reading takes, against the estimate for the service's engines
	unread   int                      // prompts sent and not read yet
	pending  units.Tokens             // of these prompts
	queued   [urgencies]time.Duration // time to read the prompts that are not read yet, by urgency
	running  int                      // requests sent and not ended
	held     units.Tokens             // of the engine's memory, by these requests
	lasts    time.Duration            // usual time of a request at the engine
	reported int                      // requests that the engine said it has, of all callers
	heard    time.Time
	failures int       // in a row
	shunned  time.Time // not used until then
	account  Account
	away     int // times in a row that the engine turned requests away
	parts    *parts
}

// NewEngine returns an engine without load.
func NewEngine(e Entry) *Engine {
	return &Engine{Entry: e, load: &load{parts: newParts(maxParts), stretch: 1, lasts: firstLasts}}
}

// With returns the same incarnation with another entry. One that shows a new role is used again at once.
func (e *Engine) With(entry Entry) *Engine {
	if entry.Role != e.Role {
		e.back()
	}
	return &Engine{Entry: entry, load: e.load}
}

// back ends the time for which the engine is left alone.
func (l *load) back() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shunned, l.away, l.failures = time.Time{}, 0, 0
}

const (
	// maxParts bounds the parts that are remembered for one engine; its memory holds about as many of usual size.
	maxParts = 512
	// loadLife is how long a load that an engine told is believed, a few times the usual time of a plain call.
	loadLife = 300 * time.Millisecond
	// accountLife is how long the word of another region is believed, a few times the interval at which it comes.
	accountLife = 700 * time.Millisecond
	// firstOutdated is how long an engine is left alone of which the registry's word is not true any more: the registry
	// lags behind a change of role by about that time.
	firstOutdated = time.Second
	// maxOutdated bounds that time while the platform cannot be read.
	maxOutdated = 4 * time.Second
	// firstRefused is how long an engine is left alone that refuses and does not say how full it is: one that changes its
	// role refuses everything for some seconds, and each process that tries it loses a round trip and a repeat.
	firstRefused = 500 * time.Millisecond
	// maxRefused bounds that time, as the engine may be only full.
	maxRefused = 2 * time.Second
	// failuresToShun is the number of failures in a row after which an engine is left alone for a while.
	failuresToShun = 2
	// firstShun is how long an engine is left alone at first; the time doubles with each further failure.
	firstShun = 400 * time.Millisecond
	// leastCompared is the busy time from which an engine's factor is corrected: latency and delay are small against it.
	leastCompared = 60 * time.Millisecond
	// fullCompared is the busy time that counts with the whole stretchWeight.
	fullCompared = 500 * time.Millisecond
	// stretchWeight is the part of a correction that is taken over at once.
	stretchWeight = 0.5
	// The ratios and factors are bounded, so that one odd time does not rule an engine out.
	leastRatio, mostRatio     = 0.5, 3.0
	leastStretch, mostStretch = 0.4, 8.0
	// firstLasts is the time of a request that is assumed before one has ended.
	firstLasts = time.Second
	// lastsWeight is the weight of one request in the usual time.
	lastsWeight = 0.05
	// maxShun bounds the time for which an engine is left alone, so that a mended one is back within seconds.
	maxShun = 3 * time.Second
)

// Urgency orders work at an engine; 0 goes first.
type Urgency int

// urgencies is the number of urgencies that engines know.
const urgencies = 10

// Load is the state of an engine's load at one moment.
type Load struct {
	Wait    [urgencies]time.Duration // until the queued prompts of that urgency and more urgent ones have been read
	Pending units.Tokens             // prompt tokens sent and not read yet
	Running int
	Held    units.Tokens  // of the engine's memory
	Lasts   time.Duration // usual time of a request
	Shunned bool
}

// Account is an engine's load as another region tells it.
type Account struct {
	At      time.Time
	Wait    time.Duration
	Pending units.Tokens
	Running int
	Held    units.Tokens
}

// Account takes the word of another region on the engine's load.
func (l *load) Account(a Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account = a
}

// Whole returns the time until all queued prompts have been read.
func (l Load) Whole() time.Duration {
	return l.Wait[urgencies-1]
}

// Load returns the load now, by what this process knows itself and by what another region tells.
func (l *load) Load(now time.Time) Load {
	state := l.Own(now)
	l.mu.Lock()
	a := l.account
	l.mu.Unlock()
	if age := now.Sub(a.At); age < accountLife {
		for u := range state.Wait {
			state.Wait[u] = max(state.Wait[u], a.Wait-age)
		}
		state.Pending = max(state.Pending, a.Pending)
		state.Running = max(state.Running, a.Running)
		state.Held = max(state.Held, a.Held)
	}
	return state
}

// Own returns the load now by what this process knows itself.
func (l *load) Own(now time.Time) Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := Load{Running: l.running, Shunned: now.Before(l.shunned), Pending: l.pending, Held: l.held, Lasts: l.lasts}
	if now.Sub(l.heard) < loadLife {
		state.Running = max(state.Running, l.reported)
	}
	if l.unread == 0 {
		return state
	}
	left := max(l.busy.Sub(now), time.Millisecond*time.Duration(l.unread))
	var ahead time.Duration
	for u, queued := range l.queued {
		ahead += queued
		state.Wait[u] = min(ahead, left)
	}
	return state
}

// Cached returns how many tokens at the head of the prompt the engine is believed to have read.
func (l *load) Cached(prompt []Part, now time.Time) units.Tokens {
	return l.parts.cached(prompt, now)
}

// Told takes a load that the engine told: the requests that it runs and that wait there.
func (l *load) Told(requests int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reported, l.heard = requests, now
}

// Shun keeps new work from the engine until the time.
func (l *load) Shun(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shunned = later(l.shunned, until)
}

// Work is one request at an engine.
type Work struct {
	Reading
	engine *load
	began  time.Time
	open   bool // the prompt is not read yet
}

// Outdated tells that the engine is not the one that its entry names, or has another role. It returns for how long it is
// to be left alone: the time doubles while that stays so.
func (l *load) Outdated() time.Duration {
	return l.turnedAway(firstOutdated, maxOutdated)
}

// Refused tells that the engine refused and did not say how full it is. It returns for how long it is to be left alone.
func (l *load) Refused() time.Duration {
	return l.turnedAway(firstRefused, maxRefused)
}

func (l *load) turnedAway(first, most time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := min(first<<min(l.away, 3), most)
	l.away++
	return d
}

// Current tells that the engine is the one that its entry names, and takes requests.
func (l *load) Current() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.away = 0
}

// Reading is what an engine has to do before a request runs.
type Reading struct {
	Prompt  []Part // nil when there is nothing to read
	Unread  units.Tokens
	Cost    time.Duration // time of the engine that reading takes
	Urgency Urgency
	Holds   units.Tokens // of the engine's memory, until the request ends
}

// Begin counts a request that is about to be sent.
func (l *load) Begin(r Reading, now time.Time) *Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running++
	r.Urgency = min(max(r.Urgency, 0), urgencies-1)
	l.held += r.Holds
	w := &Work{engine: l, Reading: r, began: now}
	if len(r.Prompt) > 0 {
		w.open = true
		if l.unread == 0 {
			l.since, l.planned = now, 0
		}
		l.planned += r.Cost
		l.unread++
		l.pending += r.Unread
		l.queued[r.Urgency] += r.Cost
		l.busy = later(l.busy, now).Add(r.Cost)
	}
	return w
}

// Read tells that the engine has read the prompt.
func (w *Work) Read(now time.Time) {
	e := w.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if !w.close(now) {
		return
	}
	e.failures = 0
	e.parts.add(w.Prompt, now)
	if e.unread == 0 {
		e.compare(now)
	}
}

// compare corrects the engine's factor by how long it really took to read all prompts of a busy time.
func (l *load) compare(now time.Time) {
	if l.planned < leastCompared {
		return
	}
	ratio := min(max(float64(now.Sub(l.since))/float64(l.planned), leastRatio), mostRatio)
	weight := min(float64(l.planned)/float64(fullCompared), 1) * stretchWeight
	l.stretch = min(max(l.stretch*(1+weight*(ratio-1)), leastStretch), mostStretch)
}

// Stretch returns the time that reading takes at the engine, against the estimate for the service's engines.
func (l *load) Stretch() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stretch
}

// close takes the prompt off the queue. It reports whether the prompt was still there.
func (w *Work) close(now time.Time) bool {
	if !w.open {
		return false
	}
	e := w.engine
	w.open = false
	e.unread--
	e.pending -= w.Unread
	e.queued[w.Urgency] -= w.Cost
	if e.unread == 0 {
		e.busy = now
	}
	return true
}

// End tells that the request has ended at the engine. A failure is one for which the engine is to blame.
func (w *Work) End(failed bool, now time.Time) {
	e := w.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	w.close(now)
	e.running--
	e.held -= w.Holds
	if !failed {
		e.lasts += time.Duration(lastsWeight * float64(now.Sub(w.began)-e.lasts))
		e.failures = 0
		return
	}
	e.failures++
	if e.failures >= failuresToShun {
		doublings := min(e.failures-failuresToShun, 3)
		e.shunned = now.Add(min(firstShun<<doublings, maxShun))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
