package proxy

import "time"

const (
	// defaultIdleTime is how long a connection to an engine stays idle if the engine states no time, below the usual idle timeouts of
	// servers.
	defaultIdleTime = 2 * time.Second
	// idleMargin is the time before the engine's own timeout at which an idle connection is closed, so that no request crosses the
	// engine's close.
	idleMargin = time.Second
	// forgottenTime is how long an engine that reset an idle connection early is expected to do so again.
	forgottenTime = time.Minute
	// minIdleTime is the shortest time for which connections stay idle.
	minIdleTime = 50 * time.Millisecond
)

// idleLimit decides how long connections to one engine stay idle: by what the engine states, and below the idle time of a connection
// that the engine no longer knew. A request that may not be repeated is lost on such a connection.
type idleLimit struct {
	stated         time.Duration // idle timeout of the engine, zero if it states none
	forgotten      time.Duration // idle time of a connection that the engine no longer knew, zero for none
	forgottenUntil time.Time
}

// at returns the time for which connections may stay idle now, at most longest.
func (l idleLimit) at(now time.Time, longest time.Duration) time.Duration {
	limit := min(longest, defaultIdleTime)
	if l.stated > 0 {
		limit = min(longest, max(l.stated-idleMargin, minIdleTime))
	}
	if l.forgotten > 0 && now.Before(l.forgottenUntil) {
		limit = min(limit, max(l.forgotten/2, minIdleTime))
	}
	return limit
}

// state records the idle timeout that the engine states, zero for none.
func (l *idleLimit) state(d time.Duration) {
	l.stated = d
}

// forget records that the engine did not know a connection that had been idle for a time.
func (l *idleLimit) forget(idle time.Duration, now time.Time) {
	if now.Before(l.forgottenUntil) && l.forgotten > 0 {
		idle = min(idle, l.forgotten)
	}
	l.forgotten, l.forgottenUntil = max(idle, minIdleTime), now.Add(forgottenTime)
}

// noIdlePolicy is that of a transport with a fixed timeout.
type noIdlePolicy struct{}

func (noIdlePolicy) SetIdleTimeout(string, time.Duration)      {}
func (noIdlePolicy) ConnectionForgotten(string, time.Duration) {}
