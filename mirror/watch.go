package mirror

import (
	"context"
	"errors"
	"time"

	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// outageWatchTimeout is how long the platform holds a watch open while it counts as lost.
	outageWatchTimeout = 100 * time.Millisecond
	// confirmWatchTimeout is how long it holds a watch open that only confirms the state.
	confirmWatchTimeout = 10 * time.Millisecond
	// missedChangeTimeout is how long a change that another process has read may take to arrive.
	missedChangeTimeout = 300 * time.Millisecond
)

// errInterrupted means that a watch was canceled without an answer, for another read.
var errInterrupted = errors.New("watch is interrupted")

// interruption is why a watch is canceled.
type interruption int

const (
	notInterrupted interruption = iota
	changeMissed
	confirmationAsked
)

// watch waits for changes. It ends with errInterrupted if it misses a change that another process has announced, after which
// a new snapshot is read, or if the state is to be confirmed, which the next watch does at once.
// It returns when the state that results was the platform's.
func (f *feed) watch(ctx context.Context, from units.Version) (c objapi.Change, confirmedAt time.Time, err error) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	handled := max(int64(from), f.resyncedFor)
	f.mu.Unlock()
	timeout, asked := f.watchTimeout(), f.asked
	if f.confirmNext {
		timeout, asked = min(timeout, confirmWatchTimeout), nil
		f.confirmNext = false
	}
	reason := make(chan interruption, 1)
	go func() {
		reason <- f.awaitInterruption(watchCtx, handled, asked)
		cancel()
	}()
	sent := f.mirror.BootTime()
	c, err = f.mirror.Platform.WatchFor(watchCtx, f.Prefix, from, timeout)
	if err == nil || ctx.Err() != nil || watchCtx.Err() == nil {
		return c, f.provenByWatch(sent, timeout, c), err
	}
	if <-reason == confirmationAsked {
		f.confirmNext = true
		return objapi.Change{}, time.Time{}, errInterrupted
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mustRead, f.resyncedFor = true, f.peerVersion.Load()
	return objapi.Change{}, time.Time{}, errInterrupted
}

// watchTimeout returns how long the platform holds a watch open. During an outage it is short, as only an answer shows
// that the platform is back.
func (f *feed) watchTimeout() time.Duration {
	f.mu.Lock()
	lost := f.outage
	f.mu.Unlock()
	if lost {
		return outageWatchTimeout
	}
	if isFirst(f.mirror.Name, f.mirror.Present()) {
		return f.FirstWatchTimeout
	}
	return f.WatchTimeout
}

// awaitInterruption waits for a reason to cancel a watch: a request to confirm the state, or a version after handled that
// another process has announced missedChangeTimeout before.
func (f *feed) awaitInterruption(watchCtx context.Context, handled int64, asked <-chan struct{}) interruption {
	var missed <-chan time.Time
	for {
		if missed == nil && f.peerVersion.Load() > handled {
			timer := time.NewTimer(missedChangeTimeout)
			defer timer.Stop()
			missed = timer.C
		}
		select {
		case <-f.newerVersion:
		case <-missed:
			return changeMissed
		case <-asked:
			return confirmationAsked
		case <-watchCtx.Done():
			return notInterrupted
		}
	}
}
