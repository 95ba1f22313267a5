package mirror

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc"

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

// watched is the outcome of a watch.
type watched struct {
	objapi.Change

	confirms    bool      // the watch only confirms the state, beside another one
	confirmedAt time.Time // when the state that results was the platform's
	err         error
}

func (w watched) hasChanges() bool { return len(w.Objects)+len(w.Deleted) > 0 }

// watchOnce makes one call.
func (f *feed) watchOnce(ctx context.Context, from units.Version, timeout time.Duration) watched {
	sent := f.mirror.BootTime()
	c, err := f.mirror.Platform.WatchFor(ctx, f.Prefix, from, timeout)
	return watched{Change: c, confirmedAt: f.provenByWatch(sent, timeout, c), err: err}
}

// watch waits for changes. It ends with errInterrupted if it misses a change that another process has announced, after which
// a new snapshot is read. If the state is to be confirmed meanwhile, a short watch does so beside the open one, which goes on
// unless the short one fails or returns changes.
func (f *feed) watch(ctx context.Context, from units.Version) watched {
	var running conc.WaitGroup
	defer running.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	handled := max(int64(from), f.resyncedFor)
	f.mu.Unlock()
	timeout, asked := f.watchTimeout(), f.asked
	if f.confirmNext {
		timeout, asked = min(timeout, confirmWatchTimeout), nil
		f.confirmNext = false
	}
	answers := make(chan watched, 2)
	running.Go(func() { answers <- f.watchOnce(ctx, from, timeout) })
	var missed <-chan time.Time
	for {
		if missed == nil && f.peerVersion.Load() > handled {
			timer := time.NewTimer(missedChangeTimeout)
			defer timer.Stop()
			missed = timer.C
		}
		select {
		case w := <-answers:
			if !w.confirms || w.err != nil || w.hasChanges() {
				return w
			}
			asked = f.asked
			f.recordSuccess()
			w.Version = from // that of the open watch, which continues from it
			f.accept(copied{Change: w.Change, confirmedAt: w.confirmedAt, from: platformName})
		case <-asked:
			asked = nil
			running.Go(func() {
				w := f.watchOnce(ctx, from, min(timeout, confirmWatchTimeout))
				w.confirms = true
				answers <- w
			})
		case <-f.newerVersion:
		case <-missed:
			f.mu.Lock()
			defer f.mu.Unlock()
			f.mustRead, f.resyncedFor = true, f.peerVersion.Load()
			return watched{err: errInterrupted}
		}
	}
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
