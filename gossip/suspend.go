package gossip

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/buckthorntrack/buckthorntrack/wait"
)

const (
	// lookInterval is the interval between looks at the clock that show a suspension.
	lookInterval = 200 * time.Millisecond
	// suspensionThreshold is the time without a look from which the process counts as suspended, longer than scheduling takes.
	suspensionThreshold = time.Second
	// drainTime is how long after a suspension the buffer of the socket may hold datagrams from before its end.
	drainTime = 100 * time.Millisecond
)

var errLate = errors.New("message waited while the process was suspended")

// suspension finds out that the process was suspended. Its times are nanoseconds on the clock BootTime.
type suspension struct {
	lookedAt  atomic.Int64
	resumedAt atomic.Int64 // end of the last suspension, zero if there was none
}

// look records that the process runs.
func (s *suspension) look(now time.Time) {
	if s.isOverdue(now) {
		s.resumedAt.Store(now.UnixNano())
	}
	s.lookedAt.Store(now.UnixNano())
}

// hasResumed reports whether datagrams that are read now may be from before the end of a suspension.
func (s *suspension) hasResumed(now time.Time) bool {
	return s.isOverdue(now) || now.Sub(time.Unix(0, s.resumedAt.Load())) < drainTime
}

func (s *suspension) isOverdue(now time.Time) bool {
	return now.Sub(time.Unix(0, s.lookedAt.Load())) > suspensionThreshold
}

// detectSuspension looks at the clock until ctx ends.
func (g *Gossip) detectSuspension(ctx context.Context) {
	wait.Every(ctx, lookInterval, func() { g.suspension.look(g.BootTime()) })
}
