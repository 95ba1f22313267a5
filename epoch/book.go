package epoch

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/buckthorntrack/buckthorntrack/digest"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

const (
	// Lifetime is how long after the end of an epoch a stream that began in it may be taken up if a process does not say which it has
	// left: the time for which it may be cut off and not know of the end, and for which callers wait.
	Lifetime = 30 * time.Second
	// planInterval is the interval between comparisons of the records with the engines.
	planInterval = 100 * time.Millisecond
	// activationDelay is how long after a process has read a new epoch its streams begin in it, so that all others have read it as
	// well when such a stream is taken up.
	activationDelay = 600 * time.Millisecond
	// confirmInterval is the interval between attempts to read records from the platform that this process has from others.
	confirmInterval = 500 * time.Millisecond
	// substituteDelay is how long another process waits for the first one to write a record.
	substituteDelay = time.Second
)

var (
	// ErrNotRecorded means that no version has been recorded yet to which new streams may go.
	ErrNotRecorded = errors.New("software versions are not recorded yet")
	errOlder       = errors.New("record of the platform is older than the known one")
	errDiffers     = errors.New("record of the platform differs from the known one of its sequence")
	// ErrUnknownVersion means that nothing says which version began a stream.
	ErrUnknownVersion = errors.New("software version that began the stream is unknown")
)

// Records holds the records of services on the platform, from where all processes read them.
type Records interface {
	// Get returns the present record, or ErrNotRecorded if there is none.
	Get(ctx context.Context, service units.ServiceName) (Record, error)
	// Put writes the record unless the platform has one that is as new.
	Put(ctx context.Context, service units.ServiceName, r Record) error
}

// Options holds the dependencies of a Book.
type Options struct {
	Records Records
	// Engines returns the numbers of engines that run requests of each service, by software version.
	Engines func() map[units.ServiceName]map[units.SoftwareVersion]int
	// IsFirst reports whether this process writes records, and IsSubstitute whether it does if the first one does not.
	IsFirst      func() bool
	IsSubstitute func() bool
	// Processes returns all processes, with this one.
	Processes func() []units.ProcessName
	Name      units.ProcessName // of this process
	Messenger Messenger
	// IsLost reports whether the platform cannot be read, so that other processes may be isolated.
	IsLost func() bool
	// IsIsolated reports whether this process may lack records, as it reaches neither the platform nor other processes.
	IsIsolated func() bool
	Clock      units.Clock
	Log        zerolog.Logger
}

// Book knows the epochs of all services and recent streams.
type Book struct {
	Options
	startedAt time.Time
	loaded    atomic.Bool
	entries   atomic.Pointer[map[units.ServiceName]entry]
	streams   *streams
	open      openStreams

	reader    *reader
	questions questions
	// longestWait is the longest time for which a caller of a stream waits, in nanoseconds.
	longestWait atomic.Int64

	mu       sync.Mutex                                // guards what follows, and changes of entries
	before   map[units.ServiceName]Shares              // of services without a record
	wantedAt map[units.ServiceName]time.Time           // since when another record is needed
	endedAt  map[units.ServiceName]map[int64]time.Time // when epochs ended, by the sequence that ended them
	drained  map[units.ServiceName]map[units.ProcessName]drainedReport
	// processes holds all processes as of the latest plan, and departedAt is when one of them last left the list.
	processes  map[units.ProcessName]bool
	departedAt time.Time
	// orphans holds the streams of processes that were restarted since.
	orphans  map[units.ServiceName]map[StreamID]orphan
	rewrite  map[units.ServiceName]bool      // whose record the platform has lost
	listedAt map[units.ServiceName]time.Time // when a record with open streams was written
}

// entry is a record with its times at this process.
type entry struct {
	Record
	known    int64     // sequence of the first record that was read from the platform
	activeAt time.Time // when streams begin in the current epoch
	// confirmed says that this process has read the record of the service from the platform, rather than from another process, which
	// may not have reached the platform for long.
	confirmed bool
}

// New returns a book without records, and a function that ends its reads.
func New(o Options) (*Book, func()) {
	b := &Book{
		Options: o, startedAt: o.Clock(), streams: newStreams(o.Clock), before: map[units.ServiceName]Shares{},
		wantedAt: map[units.ServiceName]time.Time{}, endedAt: map[units.ServiceName]map[int64]time.Time{},
		drained: map[units.ServiceName]map[units.ProcessName]drainedReport{},
		open:    newOpenStreams(), orphans: map[units.ServiceName]map[StreamID]orphan{},
		rewrite: map[units.ServiceName]bool{}, listedAt: map[units.ServiceName]time.Time{},
	}
	b.entries.Store(&map[units.ServiceName]entry{})
	b.questions.last, b.questions.open = rand.Uint64(), map[uint64]*question{}
	var closeReader func()
	b.reader, closeReader = newReader(b.readRecord, o.Clock)
	return b, closeReader
}

// Assign returns the version at which a new stream begins. Present are the versions of the service's engines.
func (b *Book) Assign(
	service units.ServiceName, id units.RequestID, present []units.SoftwareVersion,
) (units.SoftwareVersion, error) {
	version, known, err := b.preview(service, id, present)
	if known {
		b.streams.put(streamOf(service, id), version)
	}
	return version, err
}

// Preview returns the version that Assign would return, and remembers nothing.
func (b *Book) Preview(
	service units.ServiceName, id units.RequestID, present []units.SoftwareVersion,
) (units.SoftwareVersion, error) {
	version, _, err := b.preview(service, id, present)
	return version, err
}

// preview returns the version at which a new stream begins, and whether it is to be remembered.
func (b *Book) preview(
	service units.ServiceName, id units.RequestID, present []units.SoftwareVersion,
) (version units.SoftwareVersion, known bool, err error) {
	e, ok := (*b.entries.Load())[service]
	switch {
	case ok:
		return e.assign(streamOf(service, id), present, b.Clock()), true, nil
	case b.loaded.Load() && len(present) == 1:
		return present[0], true, nil
	case len(present) == 0:
		return "", false, nil
	default:
		return "", false, ErrNotRecorded
	}
}

// assign returns the version at which a new stream begins: that of the epoch before until the current one is active, if there
// are engines of it.
func (e entry) assign(stream uint64, present []units.SoftwareVersion, now time.Time) units.SoftwareVersion {
	if n := len(e.Epochs); n > 1 && now.Before(e.activeAt) {
		if version := e.Epochs[n-2].Shares.versionOf(stream); slices.Contains(present, version) {
			return version
		}
	}
	return e.current().versionOf(stream)
}

// Learn remembers a stream that another process began.
func (b *Book) Learn(service units.ServiceName, id units.RequestID, version units.SoftwareVersion) {
	b.streams.put(streamOf(service, id), version)
}

// LearnStarted remembers the stream of work that another process began.
func (b *Book) LearnStarted(id StreamID, version units.SoftwareVersion) {
	if stream, ok := id.hash(); ok {
		b.streams.put(stream, version)
	}
}

// IsUnclear reports whether a process that has not seen a stream may be unable to tell its version: several versions serve, or the
// process is isolated.
func (b *Book) IsUnclear(service units.ServiceName) bool {
	return b.IsLost() || b.Known(service).isMixed()
}

// SetRecords replaces the records that are newer than the known ones. Loaded says that these are all that the platform has.
func (b *Book) SetRecords(read map[units.ServiceName]Record, loaded bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next, now := maps.Clone(*b.entries.Load()), b.Clock()
	for service, r := range read {
		if known, ok := next[service]; ok && known.Sequence >= r.Sequence || r.current() == nil {
			continue
		}
		e := entry{Record: r, known: next[service].known, activeAt: now, confirmed: next[service].confirmed}
		switch known := next[service]; {
		case !b.loaded.Load():
			e.known = r.Sequence
			b.orphan(service, r.Left)
		case known.currentSince() == r.currentSince():
			e.activeAt = known.activeAt
		default:
			e.activeAt = now.Add(activationDelay)
		}
		next[service] = e
		b.recordEnds(service, r, now)
		delete(b.wantedAt, service)
		b.Log.Info().Str("service", string(service)).Int64("sequence", r.Sequence).Int("epochs", len(r.Epochs)).
			Interface("shares", r.current()).Msg("epoch: versions of a service are recorded")
	}
	b.entries.Store(&next)
	if loaded {
		b.loaded.Store(true)
	}
}

// storeEntry replaces the entry of a service. The lock must be held.
func (b *Book) storeEntry(service units.ServiceName, e entry) {
	next := maps.Clone(*b.entries.Load())
	next[service] = e
	b.entries.Store(&next)
}

// recordEnds records when the epochs of a record ended.
func (b *Book) recordEnds(service units.ServiceName, r Record, now time.Time) {
	ended := map[int64]time.Time{}
	for _, e := range r.Epochs[1:] {
		ended[e.Since] = now
		if at, ok := b.endedAt[service][e.Since]; ok {
			ended[e.Since] = at
		}
	}
	b.endedAt[service] = ended
}

// Known returns the record of a service.
func (b *Book) Known(service units.ServiceName) Record {
	return (*b.entries.Load())[service].Record
}

// Run records new versions until ctx ends.
func (b *Book) Run(ctx context.Context) {
	var loops conc.WaitGroup
	defer loops.Wait()
	loops.Go(func() { wait.Every(ctx, drainedInterval, b.reportDrained) })
	loops.Go(func() { wait.Every(ctx, confirmInterval, b.confirmAll) })
	wait.Every(ctx, planInterval, func() {
		if !b.loaded.Load() {
			return
		}
		b.trackProcesses()
		for service, engines := range b.Engines() {
			if r, ok := b.plan(service, engines); ok {
				b.write(ctx, service, r)
			}
		}
	})
}

func (b *Book) write(ctx context.Context, service units.ServiceName, r Record) {
	err := b.Records.Put(ctx, service, r)
	if err != nil {
		b.Log.Warn().Str("service", string(service)).Int64("sequence", r.Sequence).Err(err).
			Msg("epoch: versions of a service cannot be recorded, will be retried")
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.rewrite, service)
}

// Rewrite has the known record of a service written again, as the platform has lost it.
func (b *Book) Rewrite(service units.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rewrite[service] = true
}

// plan returns the record that this process should write now, and false for none.
func (b *Book) plan(service units.ServiceName, engines map[units.SoftwareVersion]int) (Record, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	record, now := (*b.entries.Load())[service], b.Clock()
	if len(record.Epochs) == 0 && len(engines) == 1 {
		for version := range engines {
			if version == "" { // the platform names no versions
				b.before[service] = sharesOf(engines)
				return Record{}, false
			}
		}
	}
	next, ok := record.next(engines, b.before[service])
	if !ok && len(record.Epochs) > 1 {
		next, ok = b.shorten(service, record.Record, now)
	}
	if !ok && b.rewrite[service] {
		next, ok = record.Record, true
	}
	if !ok {
		delete(b.wantedAt, service)
		return Record{}, false
	}
	wantedAt, known := b.wantedAt[service]
	if !known {
		wantedAt = now
		b.wantedAt[service] = now
	}
	if b.IsFirst() {
		return next, true
	}
	late := now.Sub(wantedAt) > substituteDelay+rand.N(substituteDelay)
	return next, late && b.IsSubstitute()
}

// Begin records that an answer passes on a stream, and how long its caller waits, zero if that is not known.
func (b *Book) Begin(service units.ServiceName, id units.RequestID, version units.SoftwareVersion, wait time.Duration) {
	for longest := b.longestWait.Load(); int64(wait) > longest; longest = b.longestWait.Load() {
		b.longestWait.CompareAndSwap(longest, int64(wait))
	}
	b.open.begin(service, streamOf(service, id), version)
}

// End records the end of such an answer.
func (b *Book) End(service units.ServiceName, id units.RequestID, outcome Outcome) {
	b.open.end(service, streamOf(service, id), outcome)
}

// streamOf returns the hash that identifies a stream.
func streamOf(service units.ServiceName, id units.RequestID) uint64 {
	return digest.Sum64(string(service), "\n", string(id))
}
