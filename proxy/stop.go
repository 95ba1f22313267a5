package proxy

import (
	"context"
	"time"
)

// Stop is the planned stop of the process.
type Stop interface {
	// IsLate reports whether a request that is sent to an engine now may outlast the stop.
	IsLate() bool
	// Ended is done when requests that are still at engines must be answered.
	Ended() context.Context
}

// Reach says whether engines can be reached.
type Reach interface {
	// Stranded reports whether the process reaches no engine, neither directly nor through another process.
	Stranded() bool
}

// untilStop returns a context that ends at the deadline, or as if that had passed when the process stops.
func (s *Stage) untilStop(parent context.Context, deadline time.Time) (context.Context, func()) {
	stoppable, cancelStoppable := context.WithCancelCause(parent)
	detach := context.AfterFunc(s.stop.Ended(), func() { cancelStoppable(context.DeadlineExceeded) })
	ctx, cancel := context.WithDeadline(stoppable, deadline)
	return ctx, func() {
		detach()
		cancel()
		cancelStoppable(nil)
	}
}
