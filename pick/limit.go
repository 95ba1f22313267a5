package pick

import (
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// burstTime is the time without requests whose permits an engine with a limit may get at once.
	burstTime = time.Second
	// lapseTime is the time after the latest answer that named a limit, from which an answer without one ends it.
	lapseTime = 2 * time.Second
	// limitLifetime is how long a limit holds that no answer confirms.
	limitLifetime = time.Minute
	// limitInterval is the shortest time between two announcements of the same limit.
	limitInterval = 250 * time.Millisecond
)

// rateLimit is the limit that an engine names for all processes together, with the permits that are left of it. The
// requests of all processes take permits, so that they keep to the limit in their sum.
type rateLimit struct {
	perSecond   units.PerSecond // zero for none
	permits     float64         // negative if processes sent at the same time
	refilledAt  time.Time
	namedAt     time.Time // when the latest answer with the limit came
	announcedAt time.Time
}

// burst returns the largest number of permits.
func (r *rateLimit) burst() float64 {
	return max(float64(r.perSecond)*burstTime.Seconds(), 1)
}

// left returns the permits at a time.
func (r *rateLimit) left(now time.Time) float64 {
	added := float64(r.perSecond) * max(now.Sub(r.refilledAt), 0).Seconds()
	return min(max(r.permits+added, -r.burst()), r.burst())
}

func (r *rateLimit) refill(now time.Time) {
	r.permits = r.left(now)
	r.refilledAt = later(r.refilledAt, now)
}

// set stores a limit that an answer named. It reports whether it is another one than before.
func (r *rateLimit) set(perSecond units.PerSecond, now time.Time) (changed bool) {
	if !r.holds(now) {
		*r = rateLimit{permits: 1, refilledAt: now, perSecond: perSecond, namedAt: now}
		return true
	}
	r.refill(now)
	changed = r.perSecond != perSecond
	r.perSecond, r.namedAt = perSecond, now
	return changed
}

// holds reports whether there is a limit.
func (r *rateLimit) holds(now time.Time) bool {
	return r.perSecond > 0 && now.Sub(r.namedAt) < limitLifetime
}

// take takes a permit for a request that is sent.
func (r *rateLimit) take(now time.Time) {
	if r.perSecond > 0 {
		r.refill(now)
		r.permits--
	}
}

// wait returns the time until there is a permit, zero if there is one or no limit.
func (r *rateLimit) wait(now time.Time) time.Duration {
	if r.perSecond == 0 || !r.holds(now) {
		return 0
	}
	left := r.left(now)
	if left >= 1 {
		return 0
	}
	return time.Duration((1 - left) / float64(r.perSecond) * float64(time.Second))
}

// SetNamedLimit stores the limit of an answer, zero for none, to a request that was sent at the given time. It reports
// whether the limit is another one than before, and whether other processes should be told of it now.
func (l *loadTracker) SetNamedLimit(limit units.PerSecond, sent, now time.Time) (changed, announce bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit == 0 {
		lapsed := l.limit.lapse(sent)
		return lapsed, lapsed
	}
	changed = l.limit.set(limit, now)
	if changed || now.Sub(l.limit.announcedAt) >= limitInterval {
		l.limit.announcedAt = now
		return changed, true
	}
	return false, false
}

// SetPeerLimit stores a limit of which another process heard, or ends the limit if that process heard of none.
func (l *loadTracker) SetPeerLimit(limit units.PerSecond, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit == 0 {
		l.limit.lapse(now)
		return
	}
	l.limit.set(limit, now)
}

// lapse ends the limit if the answer that names none is to a request that was sent long enough after the latest answer
// that named it.
func (r *rateLimit) lapse(sent time.Time) bool {
	if r.perSecond == 0 || sent.Before(r.namedAt.Add(lapseTime)) {
		return false
	}
	*r = rateLimit{}
	return true
}

// SetPermits stores the limit and its permits as the process that counts the requests of all has them.
func (l *loadTracker) SetPermits(limit units.PerSecond, permits float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit == 0 {
		return // an answer of the engine ends a limit
	}
	namedAt := l.limit.namedAt
	if !l.limit.set(limit, now) {
		l.limit.namedAt = namedAt
	}
	l.limit.permits, l.limit.refilledAt = permits, now
}

// Permits returns the engine's limit, zero for none, and the permits that are left.
func (l *loadTracker) Permits(now time.Time) (limit units.PerSecond, permits float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limit.holds(now) {
		return 0, 0
	}
	return l.limit.perSecond, l.limit.left(now)
}

// HasPermit reports whether the engine may get another request now, by its limit and by what it has said itself.
func (l *loadTracker) HasPermit(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.mayNotSend(now)
}

// permitWait returns the time until the engine may get another request, if it is not leaving.
func (l *loadTracker) permitWait(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.limit.wait(now), l.declined.until.Sub(now), 0)
}

// PermitWait returns the shortest time until an engine of the table that runs requests may get one. It is zero if one may get
// it now, or if there is none.
func (t *Table) PermitWait(now time.Time) time.Duration {
	shortest, found := time.Duration(0), false
	if t == nil {
		return 0
	}
	for i := range t.regions {
		for _, e := range t.regions[i].byRole[roleRun] {
			if e.isGone() {
				continue
			}
			if wait := e.permitWait(now); !found || wait < shortest {
				shortest, found = wait, true
			}
			if shortest == 0 {
				return 0
			}
		}
	}
	return shortest
}
