package mirror

import (
	"math"
	"time"
)

// recentAge is the age up to which a copy counts as the platform's present state. It is below the time after which new streams
// go by a record of software versions.
const recentAge = 500 * time.Millisecond

// unknownAge is the age of a state that the platform is not known to have confirmed.
const unknownAge = -1 * time.Millisecond

const (
	// usualSearchTime is how long a search for a newer copy takes at most as a rule.
	usualSearchTime = time.Second
	// usualPassTime is how long a confirmation takes at most from the platform to the processes that follow others.
	usualPassTime = 2 * time.Second
)

// UsualAge returns the age up to which copies are not confirmed again though the platform is reached.
func (f *Feed) UsualAge() time.Duration {
	if f.SearchAge > 0 {
		return f.SearchAge + usualSearchTime
	}
	return f.WatchTimeout + usualPassTime
}

// Age returns the time since the platform confirmed the state under the key prefix. It is false if that is not known: before the
// first state, and after a suspension, for an estimate also before the suspension is noticed.
func (m *Mirror) Age(prefix string) (time.Duration, bool) {
	f := m.feedOf(prefix)
	if f == nil || f.SearchAge == 0 && m.suspension.isOverdue(m.BootTime()) {
		return 0, false
	}
	age := f.age()
	return age, age >= 0
}

// feedOf returns the feed with the prefix, nil if there is none.
func (m *Mirror) feedOf(prefix string) *feed {
	for _, f := range m.feeds {
		if f.Prefix == prefix {
			return f
		}
	}
	return nil
}

// oldestAge returns the highest age of the feeds, unknownAge if one is not known.
func (m *Mirror) oldestAge() time.Duration {
	var oldest time.Duration
	for _, f := range m.feeds {
		age := f.age()
		if age < 0 {
			return unknownAge
		}
		oldest = max(oldest, age)
	}
	return oldest
}

// age returns the time since the platform confirmed the state, unknownAge if that is not known.
// It waits for no lock, which is held while a sink takes a change over.
func (f *feed) age() time.Duration {
	now := f.mirror.BootTime().UnixNano()
	if now <= f.doubtedUntil.Load() {
		return unknownAge
	}
	confirmed := f.confirmedNS.Load()
	if confirmed == 0 {
		return unknownAge
	}
	return max(0, time.Duration(now-confirmed))
}

// publish makes the confirmation and the doubt known to age. It must be called after each change of them. The lock must be held.
func (f *feed) publish() {
	confirmed, until := int64(0), int64(0)
	if !f.confirmedAt.IsZero() {
		confirmed = f.confirmedAt.UnixNano()
	}
	switch {
	case f.doubt.open && f.doubt.since.IsZero():
		until = math.MaxInt64
	case f.doubt.open:
		until = f.doubt.since.Add(doubtTime).UnixNano()
	}
	f.doubtedUntil.Store(until)
	f.confirmedNS.Store(confirmed)
}

// ageOf returns the time since a confirmation, unknownAge for the zero time.
func (f *feed) ageOf(confirmedAt time.Time) time.Duration {
	if confirmedAt.IsZero() {
		return unknownAge
	}
	return max(0, f.mirror.BootTime().Sub(confirmedAt))
}

func isRecent(age time.Duration) bool {
	return age >= 0 && age <= recentAge
}

// confirm records that the platform confirmed the state at a time, the zero time for never. A time that is not proven does not count
// if it may have waited during a suspension. It reports whether other processes are to be told: if one waits for that, or if their
// proven ages would fall by more than those of the next stamp do. The lock must be held.
func (f *feed) confirm(at time.Time) (tell bool) {
	now := f.mirror.BootTime()
	if at.IsZero() || f.version == 0 || f.SearchAge == 0 && f.mirror.suspension.hasResumed(now) {
		return false
	}
	if at.After(f.confirmedAt) {
		tell = f.SearchAge > 0 && at.Sub(f.confirmedAt) > beatInterval
		f.confirmedAt = at
		f.publish()
	}
	if f.awaited && isRecent(now.Sub(at)) {
		f.awaited, tell = false, true
		select {
		case <-f.asked:
		default:
		}
	}
	return tell
}

// confirmVersion records the same for the state of a followed process, if that confirms the own state.
func (f *feed) confirmVersion(source sourceFeed) {
	f.mu.Lock()
	tell := f.isCoveredBy(source.version, f.version) && f.confirm(source.confirmedAt)
	if f.SearchAge > 0 && !f.doubt.asks && !source.confirmedAt.IsZero() && source.version <= f.version {
		f.endDoubt()
	}
	f.mu.Unlock()
	if tell {
		f.mirror.notifySubscribers()
	}
}

// ask asks for a confirmation of the state if it is not recent, and reports whether it is not.
func (f *feed) ask() bool {
	age := f.age()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.version == 0 || isRecent(age) {
		return false
	}
	f.awaited = true
	signal(f.asked)
	return true
}

// ask has the platform confirm the feeds whose state is not recent: by reading it if this process does, or else by way of the
// followed process.
func (m *Mirror) ask() {
	old := false
	for _, f := range m.feeds {
		old = f.ask() || old
	}
	if old {
		signal(m.asked)
	}
}

// distrust makes this process verify its state with the next source.
func (m *Mirror) distrust() {
	m.unverified = true
	m.forgetAges() // of frames that were on their way during the suspension
}

func (m *Mirror) forgetAges() {
	for _, f := range m.feeds {
		if f.SearchAge > 0 {
			continue // a proven age counts the suspension
		}
		f.mu.Lock()
		f.confirmedAt = time.Time{}
		f.publish()
		f.mu.Unlock()
	}
}

// agesFor returns the ages of the feeds with the prefixes in milliseconds.
func (m *Mirror) agesFor(prefixes []string) []int64 {
	ages := make([]int64, 0, len(prefixes))
	for _, prefix := range prefixes {
		age := unknownAge
		if f := m.feedOf(prefix); f != nil {
			age = f.age()
		}
		ages = append(ages, wholeMilliseconds(age))
	}
	return ages
}

// signal sends to a channel with a buffer of one unless it has a signal.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
