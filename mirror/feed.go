package mirror

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

const (
	// firstRetryDelay is the mean delay after the first failed read of the platform; it doubles with each failure.
	firstRetryDelay = 100 * time.Millisecond
	// maxRetryDelay is far below the time after which the platform's return has to be noticed everywhere.
	maxRetryDelay = time.Second
	// coalesceDelay is the delay after a change, so that a burst of changes causes few calls.
	coalesceDelay = 250 * time.Millisecond
	// historySteps is the number of changes that are kept for processes that follow this one.
	historySteps = 32
)

// feed holds the objects under a prefix. It reads them from the platform, or accepts them from another process.
type feed struct {
	Feed

	mirror       *Mirror
	newerVersion chan struct{} // signals an increase of peerVersion
	peerVersion  atomic.Int64  // newest version that another process has announced
	packed       atomic.Pointer[packed]
	asked        chan struct{} // signals that the platform is to confirm the state now
	historyGone  bool          // the platform no longer had the changes after version; used by read only
	goneWatches  int           // watches in a row whose history was gone; used by read only
	confirmNext  bool          // the next watch only confirms the state; used by read only
	coalesceNext bool          // a burst of changes may follow the confirmed one; used by read only

	mu          sync.Mutex
	version     units.Version // zero before the first snapshot
	objects     map[string]objapi.Object
	history     []historyStep
	outage      bool
	lostAt      time.Time // when this process itself found that the platform is lost, zero if it did not
	regainedAt  time.Time // end of the last outage, zero if there was none
	missedSince time.Time // when another process announced a version that is not known here, zero if all are
	resyncedFor int64     // newest announced version for which a new snapshot was read
	mustRead    bool      // a snapshot is needed, since a watch cannot start from version
	ignoring    bool      // the last state that was read is older than the known one
	confirmedAt time.Time // when the state was the platform's, on the clock BootTime; zero if that is not known
	doubt       doubt

	confirmedNS  atomic.Int64 // confirmedAt in nanoseconds, zero if that is not known; set by publish
	doubtedUntil atomic.Int64 // end of the doubt in nanoseconds, zero for none; set by publish
	awaited      bool         // another process waits for a confirmation
}

// historyStep is a change between two versions.
type historyStep struct {
	from, to units.Version
	change   objapi.Change
}

func newFeed(f Feed, m *Mirror) *feed {
	created := &feed{
		Feed: f, mirror: m, newerVersion: make(chan struct{}, 1), asked: make(chan struct{}, 1),
		objects: map[string]objapi.Object{}, doubt: doubt{open: f.SearchAge > 0 && !m.FirstStart},
	}
	created.publish()
	return created
}

// read reads from the platform until ctx ends. A short reading ends with the first failure.
func (f *feed) read(ctx context.Context, short bool) {
	for failures := 0; ctx.Err() == nil; {
		err := f.step(ctx)
		switch {
		case err == nil:
			failures = 0
			continue
		case errors.Is(err, errInterrupted):
			continue
		case ctx.Err() != nil:
			return
		case errors.Is(err, objapi.ErrGone):
			f.mirror.Log.Warn().Str("feed", f.Name).Msg("mirror: watch history is gone, reading all objects again")
			f.historyGone = true
			f.requireSnapshot()
			if f.goneWatches > 0 { // the snapshot that followed the last one was of no use to the watch
				pauseBeforeRetry(ctx, f.goneWatches-1)
			}
			f.goneWatches++
			continue
		}
		f.recordFailure(err)
		if short || !pauseBeforeRetry(ctx, failures) {
			return
		}
		failures++
	}
}

// pauseBeforeRetry waits after a read that failed, or had no use, after a number of others. It reports whether ctx goes on.
func pauseBeforeRetry(ctx context.Context, others int) bool {
	return sleep(ctx, min(firstRetryDelay<<min(others, 10), maxRetryDelay))
}

func (f *feed) requireSnapshot() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mustRead = true
}

// step reads a snapshot, or waits for one watch to return.
func (f *feed) step(ctx context.Context) error {
	f.mu.Lock()
	from, snapshot := f.version, f.version == 0 || f.mustRead
	f.mu.Unlock()
	if snapshot {
		return f.readSnapshot(ctx)
	}
	w := f.watch(ctx, from)
	if w.err != nil {
		return w.err
	}
	f.goneWatches = 0
	f.recordSuccess()
	f.accept(copied{Change: w.Change, confirmedAt: w.confirmedAt, from: platformName})
	changed := w.hasChanges()
	if changed {
		f.mirror.Announce(f.Prefix, int64(w.Newest))
	}
	if changed && f.SearchAge > 0 { // what a change proves is as old as its watch
		f.confirmNext, f.coalesceNext = true, true
		return nil
	}
	if changed || f.coalesceNext {
		f.coalesceNext = false
		wait.Sleep(ctx, coalesceDelay)
	}
	return nil
}

// readSnapshot reads all objects.
func (f *feed) readSnapshot(ctx context.Context) error {
	sent := f.mirror.BootTime()
	c, err := f.mirror.Platform.Snapshot(ctx, f.Prefix)
	if err != nil {
		return err
	}
	f.recordSuccess()
	f.consult(ctx, c.Version)
	f.accept(copied{Change: c, full: true, confirmedAt: f.provenBy(sent), from: platformName})
	f.mirror.Announce(f.Prefix, int64(f.announcedVersion(c)))
	return nil
}

// announcedVersion returns the version of the newest object of a snapshot. After a loss of history it is the version of
// the snapshot, as other processes may have missed any of the lost changes.
func (f *feed) announcedVersion(snapshot objapi.Change) units.Version {
	if f.historyGone {
		f.historyGone = false
		return snapshot.Version
	}
	var newest units.Version
	for _, o := range snapshot.Objects {
		newest = max(newest, o.Version)
	}
	return newest
}

// notifyNewer records the version of a change that another process has announced.
func (f *feed) notifyNewer(version int64) {
	if version <= f.peerVersion.Load() {
		return
	}
	f.peerVersion.Store(version)
	f.mu.Lock()
	if f.missedSince.IsZero() && version > max(int64(f.version), f.resyncedFor) {
		f.missedSince = f.mirror.Clock()
	}
	f.mu.Unlock()
	signal(f.newerVersion)
}

// misses reports whether another process has announced a version that is not known here.
func (f *feed) misses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peerVersion.Load() > max(int64(f.version), f.resyncedFor)
}

// copied is a state of the feed, or the changes since the current one.
type copied struct {
	objapi.Change

	full        bool
	confirmedAt time.Time // when it was the platform's, on the clock BootTime; zero if that is not known
	from        string    // name of the process that told it, or platformName
}

// platformName is the source of what the process reads itself, in logs.
const platformName = "platform"

// accept applies a snapshot or the changes since the current version. A snapshot that is older than the current state
// is ignored.
func (f *feed) accept(c copied) {
	if f.Rewrite != nil {
		for i := range c.Objects {
			c.Objects[i].Value = f.Rewrite(c.Objects[i].Value)
		}
	}
	if f.apply(c) {
		f.mirror.notifySubscribers()
	}
}

// apply does the work of accept. It reports whether other processes are to be told.
func (f *feed) apply(c copied) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	from := f.version
	if c.Version < from || (!c.full && c.Version == from) {
		f.logIgnored(c.Version)
		return f.isCoveredBy(c.Version, from) && f.confirm(c.confirmedAt)
	}
	f.ignoring = false
	c.Change = f.keepKnown(c.Change, c.full)
	if c.full {
		f.mustRead = false
		f.Sink.Replace(c.Change)
		clear(f.objects)
		f.history = nil
	} else if len(c.Objects)+len(c.Deleted) > 0 {
		f.Sink.Apply(c.Change)
	}
	for _, o := range c.Objects {
		f.objects[o.Key] = o
	}
	for _, key := range c.Deleted {
		delete(f.objects, key)
	}
	f.version = c.Version
	if f.peerVersion.Load() <= int64(c.Version) {
		f.missedSince = time.Time{}
	}
	if !c.full {
		f.history = append(f.history, historyStep{from: from, to: c.Version, change: c.Change})
		if len(f.history) > historySteps {
			f.history = f.history[len(f.history)-historySteps:]
		}
	}
	f.confirm(c.confirmedAt)
	if from == 0 {
		f.doubt.since = f.mirror.BootTime()
		f.publish()
		f.mirror.Log.Info().Str("feed", f.Name).Str("source", c.from).Int64("version", int64(c.Version)).
			Int64("ageMs", f.ageOf(c.confirmedAt).Milliseconds()).Msg("mirror: first state is accepted")
	}
	return true
}

// logIgnored logs the first of a series of states that are older than the known one. The lock must be held.
func (f *feed) logIgnored(version units.Version) {
	if version >= f.version || f.ignoring {
		return
	}
	f.ignoring = true
	f.mirror.Log.Warn().Str("feed", f.Name).Int64("version", int64(version)).Int64("known", int64(f.version)).
		Msg("mirror: state is older than the known one and ignored")
}

// since returns the changes after a version, or all objects if the history does not reach back. It returns nothing
// while the version is newer than the current one.
func (f *feed) since(version units.Version) (c objapi.Change, full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.Version = f.version
	if version >= f.version {
		return c, false
	}
	for i, step := range f.history {
		if step.from != version {
			continue
		}
		return merge(f.history[i:], f.version), false
	}
	for _, o := range f.objects {
		c.Objects = append(c.Objects, o)
	}
	return c, true
}

// merge returns one change with the last state of each object in the steps.
func merge(steps []historyStep, version units.Version) objapi.Change {
	if len(steps) == 1 {
		return steps[0].change
	}
	last := map[string]*objapi.Object{}
	for _, s := range steps {
		for i := range s.change.Objects {
			last[s.change.Objects[i].Key] = &s.change.Objects[i]
		}
		for _, key := range s.change.Deleted {
			last[key] = nil
		}
	}
	c := objapi.Change{Version: version}
	for key, o := range last {
		if o == nil {
			c.Deleted = append(c.Deleted, key)
			continue
		}
		c.Objects = append(c.Objects, *o)
	}
	return c
}
