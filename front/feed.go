package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

// feedRetryInterval is the mean interval between retries while the platform does not answer. At this rate the retries
// of all processes and feeds stay far below the rate limit of the platform, and its return is noticed well within the
// time in which a configuration has to be in force.
const feedRetryInterval = 300 * time.Millisecond

// After a change a feed waits before its next watch, so that a burst of changes causes only a few hundred calls a
// second per feed in total over all processes, and fewer than 1000 even with 960 processes.
const (
	// coalesceDelayPerProcess is multiplied by the number of registered processes.
	coalesceDelayPerProcess = 8 * time.Millisecond
	// minCoalesceDelay is the delay for a few processes, which make few calls in total.
	minCoalesceDelay = 250 * time.Millisecond
	// maxCoalesceDelay is well below the 2.5 s in which a configuration has to be in force.
	maxCoalesceDelay = time.Second
	// membersCoalesceDelay is the delay for the list of processes, which is not time-critical.
	membersCoalesceDelay = 2 * time.Second
)

// coalesceDelayFor returns the delay after a change for the given number of processes.
func coalesceDelayFor(processes int) time.Duration {
	return min(max(time.Duration(processes)*coalesceDelayPerProcess, minCoalesceDelay), maxCoalesceDelay)
}

// missedChangeTimeout is how long a watch may take to return a change that a peer has announced. A watch usually
// returns within milliseconds; after the timeout it is assumed to have missed the change.
const missedChangeTimeout = 300 * time.Millisecond

// source is the subset of objapi.Client that a feed reads from.
type source interface {
	Snapshot(ctx context.Context, prefix string) (objapi.Change, error)
	WatchFor(ctx context.Context, prefix string, from units.Version, timeout time.Duration) (objapi.Change, error)
}

// sink receives the objects that a feed reads.
type sink interface {
	Replace(c objapi.Change) // c is a snapshot of all objects
	Apply(c objapi.Change)   // c holds the changes since the last call
	Lost()                   // called when reads begin to fail
	Regained()               // called when reads succeed again, before any Replace or Apply
}

// feed follows the objects with a key prefix: it reads a snapshot and then watches for changes.
type feed struct {
	name          string
	prefix        string
	watchTimeout  func() time.Duration // how long the platform holds one watch open
	coalesceDelay func() time.Duration // delay after a change
	announce      func(version int64)  // sends a version that was read to other processes
	newerVersion  chan struct{}        // signals an increase of peerVersion
	peerVersion   atomic.Int64         // newest version that another process has announced
	source        source
	sink          sink
	log           zerolog.Logger
	metrics       *Metrics

	attempted   chan struct{} // closed after the first read, successful or not
	version     units.Version
	resyncedFor int64 // newest announced version for which a new snapshot was read
	synced      bool  // a watch can start from version
	historyGone bool  // the platform no longer had the changes after version
	unreachable bool
}

// run reads from the platform until ctx ends.
func (f *feed) run(ctx context.Context) {
	for first := true; ctx.Err() == nil; first = false {
		err := f.step(ctx)
		if first {
			close(f.attempted)
		}
		switch {
		case err == nil:
			continue
		case ctx.Err() != nil:
			return
		case errors.Is(err, objapi.ErrGone):
			f.log.Warn().Str("feed", f.name).Int64("version", int64(f.version)).
				Msg("front: watch history is gone, reading all objects again")
			f.synced, f.historyGone = false, true
			continue
		}
		f.recordFailure(err)
		if !wait.Sleep(ctx, feedRetryInterval/2+rand.N(feedRetryInterval)) {
			return
		}
	}
}

// step reads a snapshot, or waits for one watch to return.
func (f *feed) step(ctx context.Context) error {
	if !f.synced {
		c, err := f.source.Snapshot(ctx, f.prefix)
		if err != nil {
			return err
		}
		f.recordSuccess()
		f.sink.Replace(c)
		f.version, f.synced = c.Version, true
		if f.historyGone {
			f.historyGone = false
			f.announce(int64(f.version)) // other processes may have missed the changes dropped from the history
		}
		f.announce(f.peerVersion.Load())
		return nil
	}
	c, err := f.watch(ctx)
	if err != nil {
		return err
	}
	f.recordSuccess()
	if len(c.Objects)+len(c.Deleted) > 0 {
		f.sink.Apply(c)
		f.announce(int64(c.Newest))
		wait.Sleep(ctx, f.coalesceDelay())
	}
	f.version = max(f.version, c.Version)
	return nil
}

// watch waits for changes. If it misses a change that another process has announced, it is canceled and a new snapshot
// is read next.
func (f *feed) watch(ctx context.Context) (objapi.Change, error) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	from, handled := f.version, max(int64(f.version), f.resyncedFor)
	go func() {
		if f.missesChange(watchCtx, handled) {
			cancel()
		}
	}()
	c, err := f.source.WatchFor(watchCtx, f.prefix, from, f.watchTimeout())
	if err != nil && watchCtx.Err() != nil && ctx.Err() == nil {
		f.synced, f.resyncedFor = false, f.peerVersion.Load()
		return objapi.Change{Version: from}, nil
	}
	return c, err
}

// missesChange waits until another process announces a version after handled. It reports whether the watch is still
// waiting missedChangeTimeout later.
func (f *feed) missesChange(watchCtx context.Context, handled int64) bool {
	for f.peerVersion.Load() <= handled {
		select {
		case <-f.newerVersion:
		case <-watchCtx.Done():
			return false
		}
	}
	return wait.Sleep(watchCtx, missedChangeTimeout)
}

// notifyNewer records the version of a change that another process has announced.
func (f *feed) notifyNewer(version int64) {
	if version <= f.peerVersion.Load() {
		return
	}
	f.peerVersion.Store(version)
	select {
	case f.newerVersion <- struct{}{}:
	default:
	}
}

func (f *feed) recordFailure(err error) {
	f.metrics.feedFailed(f.name)
	if f.unreachable {
		return
	}
	f.unreachable = true
	f.sink.Lost()
	f.log.Warn().Str("feed", f.name).Int64("version", int64(f.version)).Err(err).Msg("front: platform is lost")
}

func (f *feed) recordSuccess() {
	f.metrics.feedSucceeded(f.name)
	if !f.unreachable {
		return
	}
	f.unreachable = false
	f.sink.Regained()
	f.log.Info().Str("feed", f.name).Int64("version", int64(f.version)).Msg("front: platform is back")
}
