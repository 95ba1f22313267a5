package front

import (
	"context"
	"time"

	"github.com/buckthorntrack/buckthorntrack/wait"
)

// detectSuspension lets the process look at the platform again after it was suspended: what it believes may be
// outdated, and its connections may be dead.
func (p *Process) detectSuspension(ctx context.Context) {
	last := p.bootClock()
	wait.Every(ctx, suspensionPollInterval, func() {
		now := p.bootClock()
		if gap := now.Sub(last); gap > suspensionThreshold {
			p.log.Warn().Dur("gap", gap).Msg("front: process was suspended, reading its state again")
			p.mirror.Refresh()
			p.closeIdle()
		}
		last = now
	})
}

const (
	// suspensionPollInterval is the interval between looks at the clock.
	suspensionPollInterval = 200 * time.Millisecond
	// suspensionThreshold is the delay of a look from which the process counts as suspended, longer than scheduling takes.
	suspensionThreshold = time.Second
)
