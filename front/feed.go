package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/plat"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

// feedRetry is the mean time between calls to a platform that does not answer. Some processes times two feeds, each
// asking a few times a second, stay far below the rate that the platform takes, and see its return well within the
// time in which a configuration has to be in force.
const feedRetry = 300 * time.Millisecond

// After a change a feed waits before it asks the platform for the next ones, so that changes in quick succession cost all
// processes together some hundred calls a second.
const (
	// gatherPerProcess is the part of the pause for each process that stands on the platform.
	gatherPerProcess = 8 * time.Millisecond
	// leastGather bounds the pause where a few processes make few calls anyway.
	leastGather = 250 * time.Millisecond
	// mostGather is small against the 2.5 s in which a configuration has to be in force.
	mostGather = time.Second
	// membersGather is the pause for processes, on which nothing depends that cannot wait.
	membersGather = 2 * time.Second
)

// gatherAmong returns the pause of one among so many processes.
func gatherAmong(processes int) time.Duration {
	return min(max(time.Duration(processes)*gatherPerProcess, leastGather), mostGather)
}

// nudgePatience is the time that a feed's own watch has to tell of a change that another process has seen. A watch
// answers within milliseconds; one that is still silent then is taken for deaf.
const nudgePatience = 300 * time.Millisecond

// source is the part of the platform's client that feeds read from.
type source interface {
	Snapshot(ctx context.Context, prefix string) (plat.Change, error)
	WatchFor(ctx context.Context, prefix string, from units.Version, wait time.Duration) (plat.Change, error)
}

// sink takes what a feed reads.
type sink interface {
	Replace(c plat.Change)
	Apply(c plat.Change)
	Lost()     // the platform cannot be read
	Regained() // the platform can be read again; the next call is Replace or Apply
}

// feed follows the objects under a prefix.
type feed struct {
	name    string
	prefix  string
	wait    func() time.Duration // how long the platform holds one watch open
	gather  func() time.Duration // pause after a change
	saw     func(version int64)  // tells other processes of a change
	nudges  chan struct{}        // another process has seen a change that this one has not
	wanted  atomic.Int64         // version of that change
	source  source
	sink    sink
	log     zerolog.Logger
	metrics *Metrics

	tried   chan struct{} // closed after the first call, whatever its answer
	version units.Version
	asked   int64 // newest change of another process for which all was read again
	known   bool  // the version is one to watch on from
	gone    bool  // the history was gone, so that all is read again
	lost    bool
}

// run follows until ctx ends.
func (f *feed) run(ctx context.Context) {
	for first := true; ctx.Err() == nil; first = false {
		err := f.step(ctx)
		if first {
			close(f.tried)
		}
		switch {
		case err == nil:
			continue
		case ctx.Err() != nil:
			return
		case errors.Is(err, plat.ErrGone):
			f.log.Warn().Str("feed", f.name).Int64("version", int64(f.version)).Msg("front: history is gone and all is read again")
			f.known, f.gone = false, true
			continue
		}
		f.fail(err)
		if !wait.Sleep(ctx, feedRetry/2+rand.N(feedRetry)) {
			return
		}
	}
}

func (f *feed) step(ctx context.Context) error {
	if !f.known {
		c, err := f.source.Snapshot(ctx, f.prefix)
		if err != nil {
			return err
		}
		f.regain()
		f.sink.Replace(c)
		f.version, f.known = c.Version, true
		if f.gone {
			f.gone = false
			f.saw(int64(f.version)) // others may have missed what was dropped from the history
		}
		f.saw(f.wanted.Load())
		return nil
	}
	c, err := f.watch(ctx)
	if err != nil {
		return err
	}
	f.regain()
	if len(c.Objects)+len(c.Deleted) > 0 {
		f.sink.Apply(c)
		f.saw(int64(c.Newest))
		wait.Sleep(ctx, f.gather())
	}
	f.version = max(f.version, c.Version)
	return nil
}

// watch waits for changes. It ends early when it stays silent about a change that another process has seen.
func (f *feed) watch(ctx context.Context) (plat.Change, error) {
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	from, known := f.version, max(int64(f.version), f.asked)
	go func() {
		if f.misses(watching, known) {
			cancel()
		}
	}()
	c, err := f.source.WatchFor(watching, f.prefix, from, f.wait())
	if err != nil && watching.Err() != nil && ctx.Err() == nil {
		f.known, f.asked = false, f.wanted.Load()
		return plat.Change{Version: from}, nil
	}
	return c, err
}

// misses reports whether another process has seen a change after the known one that the watch did not tell of in time.
func (f *feed) misses(watching context.Context, known int64) bool {
	for f.wanted.Load() <= known {
		select {
		case <-f.nudges:
		case <-watching.Done():
			return false
		}
	}
	return wait.Sleep(watching, nudgePatience)
}

// nudge tells that another process has seen a newer change.
func (f *feed) nudge(version int64) {
	if version <= f.wanted.Load() {
		return // known already
	}
	f.wanted.Store(version)
	select {
	case f.nudges <- struct{}{}:
	default:
	}
}

func (f *feed) fail(err error) {
	f.metrics.feedFailed(f.name)
	if f.lost {
		return
	}
	f.lost = true
	f.sink.Lost()
	f.log.Warn().Str("feed", f.name).Int64("version", int64(f.version)).Err(err).Msg("front: platform is lost")
}

func (f *feed) regain() {
	f.metrics.feedRead(f.name)
	if !f.lost {
		return
	}
	f.lost = false
	f.sink.Regained()
	f.log.Info().Str("feed", f.name).Int64("version", int64(f.version)).Msg("front: platform is back")
}
