package mirror

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/buckthorntrack/buckthorntrack/wait"
)

const (
	// lookInterval is the interval between looks at the clock BootTime, which show a suspension.
	lookInterval = 200 * time.Millisecond
	// suspensionThreshold is the time without a look from which the process counts as suspended, longer than scheduling takes.
	suspensionThreshold = time.Second
	// resumeTime is how long after a suspension what is read may have waited before its end.
	resumeTime = 100 * time.Millisecond
)

// suspension finds out that the process was suspended. Its times are nanoseconds on the clock BootTime.
type suspension struct {
	lookedAt  atomic.Int64 // zero before the first look
	resumedAt atomic.Int64 // end of the last suspension, zero if there was none
}

// look records that the process runs.
func (s *suspension) look(now time.Time) {
	if s.isOverdue(now) {
		s.resumedAt.Store(now.UnixNano())
	}
	s.lookedAt.Store(now.UnixNano())
}

func (s *suspension) isOverdue(now time.Time) bool {
	at := s.lookedAt.Load()
	return at != 0 && now.Sub(time.Unix(0, at)) > suspensionThreshold
}

// hasResumed reports whether what is read now may have waited during a suspension.
func (s *suspension) hasResumed(now time.Time) bool {
	return s.isOverdue(now) || now.Sub(time.Unix(0, s.resumedAt.Load())) < resumeTime
}

// detectSuspension looks at the clock until ctx ends.
func (m *Mirror) detectSuspension(ctx context.Context) {
	m.suspension.look(m.BootTime())
	wait.Every(ctx, lookInterval, func() { m.suspension.look(m.BootTime()) })
}
