package trait

import (
	"maps"
	"math/bits"
	"slices"
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// initialBreaks is the number of broken runs without a completed one after which a trait is suspected.
	initialBreaks = 4
	// minPresence bounds how much more evidence a trait needs that is at a part of the crashed engines only. A process that is
	// cut off knows of its own runs only, and sees engines crash under those of others.
	minPresence = 0.5
	// repeatWeight is the weight of a broken run of a request that broke off before, as evidence against a part of it.
	repeatWeight = 0.5
	// maxBreaks bounds the number, which doubles each time that a suspicion turns out to be wrong.
	maxBreaks = 32
	// minSuspicion is the shortest time from the first broken run to a suspicion. Traits of many sound requests have a
	// completed one meanwhile.
	minSuspicion = 1500 * time.Millisecond
	// evidenceLifetime is how long a broken or completed run counts.
	evidenceLifetime = 2 * time.Minute
	// breaksPerDoubling is how many more broken runs are needed for each doubling of the completed runs before.
	breaksPerDoubling = 1
	// maxSoundBreaks bounds them, so that a part that many requests share is found in time as well.
	maxSoundBreaks = 5
	// simultaneous is the time within which engines that crash are taken for one outage. Processes of other regions see a
	// crash some 20 ms later.
	simultaneous = 50 * time.Millisecond
	// explainedShare is the share of the engines at which broken runs have another trait, from which that one may explain
	// them.
	explainedShare = 0.8
	// minUnattributedBreaks is the number of broken runs without a trait in quarantine that another trait needs if it also
	// has broken runs with one. A single such run may be an accident.
	minUnattributedBreaks = 2
	// maxSuspects bounds the traits with broken runs.
	maxSuspects = 2048
	// maxBreaksKept bounds the broken runs that are kept for a trait.
	maxBreaksKept = 64
	// maxCrashesKept bounds the engines that are kept as crashed.
	maxCrashesKept = 4096
)

// Run is a run at an engine that broke off before its answer was complete.
type Run struct {
	Traits []Trait
	Engine Engine
	Began  time.Time
	Ended  time.Time
}

// Engine identifies an incarnation of an engine.
type Engine struct {
	ID          units.EngineName
	Incarnation int64
}

// tracker weighs broken runs against completed ones, by trait. An engine that crashes breaks off all its runs, so most
// traits of broken runs are sound. Four things tell them apart: runs with a sound trait complete as well; a sound trait
// is at some of the engines that crash, the guilty one at nearly all; engines that crash at the same time count once for
// a part that many requests share; and broken runs at an engine that crashed under a trait in quarantine are explained by
// it. Those that have this trait themselves still count, as a part of it may be the cause: a request that comes again and
// again is found before the part that it shares with others.
type tracker struct {
	mu        sync.Mutex
	suspects  map[Trait]*suspect
	completed *recent[Trait]
	explained *recent[Engine] // engines that crashed under a trait in quarantine
	crashes   []crash         // at which runs broke off and that are not explained, in the order of time
}

// crash is when the first run at an engine broke off.
type crash struct {
	engine Engine
	at     time.Time
}

// suspect holds the evidence against one trait.
type suspect struct {
	breaks  []brokenRun // at different engines, without completed runs of the trait since
	needed  int         // broken runs until the trait is suspected
	pending bool        // other processes are being asked whether they completed a run with the trait
	last    time.Time
}

// brokenRun is a run that counts against a trait.
type brokenRun struct {
	Run
	attributed bool // another trait of the run is in quarantine
}

func newTracker() *tracker {
	return &tracker{
		suspects: map[Trait]*suspect{}, completed: newRecent[Trait](maxRecent), explained: newRecent[Engine](maxRecent),
	}
}

// addBroken counts a broken run against its traits. It returns the traits that are now suspected.
func (t *tracker) addBroken(r Run, now time.Time) (suspected []Trait) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.explained.has(r.Engine) {
		return nil
	}
	t.addCrash(r, now)
	for _, trait := range r.Traits {
		s := t.suspect(trait, now)
		s.add(r, now)
		if !s.pending && t.isSuspected(trait, s, now) && !t.isExplained(trait, s) {
			s.pending = true
			suspected = append(suspected, trait)
		}
	}
	return suspected
}

// addCrash records the engine of a broken run as crashed.
func (t *tracker) addCrash(r Run, now time.Time) {
	expired := t.crashesBefore(now.Add(-evidenceLifetime))
	t.crashes = slices.Delete(t.crashes, 0, max(expired, len(t.crashes)+1-maxCrashesKept))
	if slices.ContainsFunc(t.crashes, func(c crash) bool { return c.engine == r.Engine }) {
		return
	}
	t.crashes = slices.Insert(t.crashes, t.crashesBefore(r.Ended), crash{engine: r.Engine, at: r.Ended})
}

// crashesBefore returns the number of engines that crashed before the time.
func (t *tracker) crashesBefore(at time.Time) int {
	i, _ := slices.BinarySearchFunc(t.crashes, at, func(c crash, at time.Time) int { return c.at.Compare(at) })
	return i
}

// suspect returns the evidence against a trait.
func (t *tracker) suspect(trait Trait, now time.Time) *suspect {
	if s, ok := t.suspects[trait]; ok {
		return s
	}
	if len(t.suspects) >= maxSuspects {
		t.expire(now)
	}
	s := &suspect{needed: initialBreaks}
	t.suspects[trait] = s
	return s
}

// expire drops traits without recent evidence, and about the older half if the others are still many. What crashes engines comes
// again.
func (t *tracker) expire(now time.Time) {
	drop := func(before time.Time) {
		maps.DeleteFunc(t.suspects, func(_ Trait, s *suspect) bool { return !s.pending && !s.last.After(before) })
	}
	drop(now.Add(-evidenceLifetime))
	if len(t.suspects) <= maxSuspects/2 {
		return
	}
	times := make([]time.Time, 0, len(t.suspects))
	for _, s := range t.suspects {
		times = append(times, s.last)
	}
	slices.SortFunc(times, time.Time.Compare)
	drop(times[len(times)/2])
}

// add counts a broken run unless one at the same engine is counted.
func (s *suspect) add(r Run, now time.Time) {
	s.last = now
	s.breaks = slices.DeleteFunc(s.breaks, func(b brokenRun) bool {
		return now.Sub(b.Ended) > evidenceLifetime
	})
	isCounted := slices.ContainsFunc(s.breaks, func(b brokenRun) bool { return b.Engine == r.Engine })
	if len(s.breaks) < maxBreaksKept && !isCounted {
		s.breaks = append(s.breaks, brokenRun{Run: r})
	}
}

// isSuspected reports whether enough engines crashed under the trait over a long enough time. A trait of many completed
// runs is probably sound, so it takes more: while engines crash all the time, the rarer trait that they crash under is
// found first and explains the other broken runs. So does one that is at a part of the crashed engines only.
func (t *tracker) isSuspected(trait Trait, s *suspect, now time.Time) bool {
	if len(s.breaks) == 0 || now.Sub(s.breaks[0].Ended) < minSuspicion {
		return false
	}
	sound := t.completed.get(trait).count
	needed := s.needed + min(breaksPerDoubling*bits.Len(uint(sound)), maxSoundBreaks)
	return s.evidence(trait)*t.presence(s) >= float64(needed)
}

// presence weighs the share of the engines that have crashed since the first broken run of the trait at which it had one: from
// minPresence up to one for nearly all of them.
func (t *tracker) presence(s *suspect) float64 {
	first := t.crashesBefore(s.breaks[0].Ended.Add(-simultaneous))
	share := float64(len(s.breaks)) / float64(max(len(t.crashes)-first, 1))
	return min(max(share/explainedShare, minPresence), 1)
}

// unattributed returns the number of broken runs without another trait that is in quarantine.
func (s *suspect) unattributed() int {
	count := 0
	for _, b := range s.breaks {
		if !b.attributed {
			count++
		}
	}
	return count
}

// reset drops the evidence.
func (s *suspect) reset(now time.Time) {
	s.breaks, s.last = nil, now
}

// isExplained reports whether another trait explains the broken runs better: one in quarantine that nearly all of them
// have, or one that has most of their engines, and clearly more of others, or that comes later in the same requests.
// Requests that crash engines share their first part with sound ones, and other sound ones break off beside them.
func (t *tracker) isExplained(trait Trait, s *suspect) bool {
	if unattributed := s.unattributed(); unattributed < len(s.breaks) && unattributed < minUnattributedBreaks {
		return true
	}
	engines := make(map[Engine]bool, len(s.breaks))
	for _, b := range s.breaks {
		engines[b.Engine] = true
	}
	since := s.breaks[0].Ended.Add(-simultaneous)
	most := float64(len(s.breaks)) * explainedShare
	for other, o := range t.suspects {
		if other == trait || float64(len(o.breaks)) < most {
			continue
		}
		shared, meanwhile := 0, 0
		for _, b := range o.breaks {
			if engines[b.Engine] {
				shared++
			}
			if !b.Ended.Before(since) {
				meanwhile++
			}
		}
		if float64(shared) >= most && isLater(other, trait, o.breaks) || meanwhile > len(s.breaks) ||
			meanwhile == len(s.breaks) && !isLater(trait, other, s.breaks) && !t.isRarer(trait, other) {
			return true
		}
	}
	return false
}

// isRarer reports whether fewer runs with one trait than with another were completed.
func (t *tracker) isRarer(trait, other Trait) bool {
	return t.completed.get(trait).count < t.completed.get(other).count
}

// isLater reports whether one trait comes after another in the requests that have both. Later parts are shared by fewer
// requests.
func isLater(trait, other Trait, breaks []brokenRun) bool {
	for _, b := range breaks {
		if i := slices.Index(b.Traits, other); i >= 0 {
			return slices.Index(b.Traits, trait) > i
		}
	}
	return false
}

// evidence returns the number of broken runs that count against the trait. An outage breaks off runs with a shared part at
// many engines at the same time, so for a part these count once, and runs of the same request count little. A whole
// request is at several engines at a time only if it comes again and again.
func (s *suspect) evidence(trait Trait) float64 {
	if trait.isRequest() {
		return float64(len(s.breaks))
	}
	weight := 0.0
	requests := make(map[Trait]bool, len(s.breaks))
	var counted time.Time
	for _, b := range s.breaks {
		if weight > 0 && b.Ended.Sub(counted) <= simultaneous {
			continue
		}
		counted = b.Ended
		request := b.Traits[len(b.Traits)-1]
		if requests[request] && request != trait {
			weight += repeatWeight
		} else {
			weight++
		}
		requests[request] = true
	}
	return weight
}

// addCompleted records a completed run and drops the evidence against its traits. It returns the traits that had some.
func (t *tracker) addCompleted(traits []Trait, now time.Time) (cleared []Trait) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, trait := range traits {
		t.completed.put(trait, now)
		if s, ok := t.suspects[trait]; ok && len(s.breaks) > 0 {
			s.reset(now)
			cleared = append(cleared, trait)
		}
	}
	return cleared
}

// clear drops the evidence against a trait of which another process completed a run. It reports whether there was some.
func (t *tracker) clear(trait Trait, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.suspects[trait]
	if !ok {
		return false
	}
	had := len(s.breaks) > 0
	s.reset(now)
	return had
}

// hasCompletedSince reports whether this process completed a run with the trait since the time.
func (t *tracker) hasCompletedSince(trait Trait, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.completed.get(trait).at.After(since)
}

// suspectedSince returns when the first broken run of a suspected trait ended.
func (t *tracker) suspectedSince(trait Trait) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.suspects[trait]
	if !ok || len(s.breaks) == 0 {
		return time.Time{}, false
	}
	return s.breaks[0].Ended, true
}

// decide ends a suspicion. It returns the number of broken runs if the trait is still suspected. Otherwise it returns false,
// and requires more of them the next time if a run with the trait was completed.
func (t *tracker) decide(trait Trait, now time.Time) (breaks int, guilty bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.suspects[trait]
	if !ok {
		return 0, false
	}
	s.pending = false
	if t.isSuspected(trait, s, now) {
		if t.isExplained(trait, s) {
			return 0, false
		}
		return len(s.breaks), true
	}
	if len(s.breaks) < initialBreaks { // a run was completed, rather than other engines having crashed
		s.needed = min(2*s.needed, maxBreaks)
	}
	return 0, false
}

// explain drops the evidence against a trait in quarantine, and all evidence at the engines that crashed under it except
// that of runs with this trait.
func (t *tracker) explain(guilty Trait, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.suspects[guilty]; ok {
		for _, b := range s.breaks {
			t.explained.put(b.Engine, now)
		}
		delete(t.suspects, guilty)
	}
	for _, s := range t.suspects {
		for i := range s.breaks {
			s.breaks[i].attributed = s.breaks[i].attributed || slices.Contains(s.breaks[i].Traits, guilty)
		}
	}
	t.dropExplained()
}

// explainEngine drops the evidence at an engine that crashed under a trait in quarantine.
func (t *tracker) explainEngine(e Engine, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.explained.put(e, now)
	t.dropExplained()
}

// dropExplained drops the broken runs at engines that crashed under a trait in quarantine which those runs do not have.
func (t *tracker) dropExplained() {
	for _, s := range t.suspects {
		s.breaks = slices.DeleteFunc(s.breaks, func(b brokenRun) bool {
			return !b.attributed && t.explained.has(b.Engine)
		})
	}
	t.crashes = slices.DeleteFunc(t.crashes, func(c crash) bool { return t.explained.has(c.engine) })
}
