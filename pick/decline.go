package pick

import "time"

// declined is what an engine has said about further requests of this process.
type declined struct {
	until   time.Time // it wants none before
	leaving bool      // it wants none any more
}

// DeclineUntil keeps this process from sending to the engine before a time, as the engine has asked for.
func (l *loadTracker) DeclineUntil(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.declined.until = later(l.declined.until, until)
}

// DeclineAll keeps this process from sending to the incarnation any more, as it has said that it leaves. It reports whether
// that is new.
func (l *loadTracker) DeclineAll() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.declined.leaving
	l.declined.leaving = true
	return !before
}

// Declines reports whether the engine wants nothing from this process now.
func (l *loadTracker) Declines(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.declined.holds(now)
}

// isGone reports whether the engine will take no request of this process any more.
func (l *loadTracker) isGone() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.declined.leaving
}

func (d *declined) holds(now time.Time) bool {
	return d.leaving || now.Before(d.until)
}

// mayNotSend reports whether the engine may get no request now, by its limit or since it declines. The lock must be held.
func (l *loadTracker) mayNotSend(now time.Time) bool {
	return l.declined.holds(now) || l.limit.wait(now) > 0
}
