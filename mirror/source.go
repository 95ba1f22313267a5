package mirror

import (
	"context"
	"time"
)

// sourceState is what is known about another process as a source.
type sourceState struct {
	failures     int
	suspectUntil time.Time
	lostUntil    time.Time
}

// recordSource records how following a process ended.
func (m *Mirror) recordSource(ctx context.Context, source Member, err error) {
	if err == nil || ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forgetSources(m.Clock())
	s, ok := m.sources[source.Name]
	if !ok {
		s = &sourceState{}
		m.sources[source.Name] = s
	}
	now := m.Clock()
	if isLost(err) {
		s.lostUntil = now.Add(lostTime)
	} else {
		s.suspectUntil = now.Add(min(suspicionTime<<min(s.failures, 5), maxSuspicionTime))
		s.failures++
	}
	m.Log.Info().Str("source", string(source.Name)).Int64("ageMs", m.oldestAge().Milliseconds()).Err(err).
		Msg("mirror: source is not followed any more")
}

// forgetSources removes the states of processes that have not failed for long, so that the table does not grow with the
// processes that were ever replaced. The lock must be held.
func (m *Mirror) forgetSources(now time.Time) {
	for name, s := range m.sources {
		if now.Sub(s.suspectUntil) > maxSuspicionTime && now.Sub(s.lostUntil) > maxSuspicionTime {
			delete(m.sources, name)
		}
	}
}

// recordFollowed resets the failures of a process that sent its state.
func (m *Mirror) recordFollowed(source Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.sources, source.Name)
}
