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
	// drainedInterval is the interval at which processes say that no stream of an earlier epoch is left, and drainedLifetime how
	// long that counts.
	drainedInterval, drainedLifetime = 150 * time.Millisecond, 500 * time.Millisecond
	// listInterval is the interval at which open streams are listed in the record while epochs end.
	listInterval = 300 * time.Millisecond
	// maxReported bounds the streams that a process reports as left, so that the report fits a datagram, and maxListed those that a
	// record lists.
	maxReported, maxListed = 75, 1000
	// planInterval is the interval between comparisons of the records with the engines.
	planInterval = 100 * time.Millisecond
	// activationDelay is how long after a process has read a new epoch its streams begin in it, so that all others have read it as
	// well when such a stream is taken up.
	activationDelay = 600 * time.Millisecond
	// substituteDelay is how long another process waits for the first one to write a record.
	substituteDelay = time.Second
)

var (
	// ErrNotRecorded means that no version has been recorded yet to which new streams may go.
	ErrNotRecorded = errors.New("software versions are not recorded yet")
	// ErrUnknownVersion means that nothing says which version began a stream.
	ErrUnknownVersion = errors.New("software version that began the stream is unknown")
)

// Records writes the records of services to the platform, from where all processes read them.
type Records interface {
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
	// IsIsolated reports whether this process may lack records, as it reaches neither the platform nor other processes.
	IsIsolated func() bool
	Clock      units.Clock
	Log        zerolog.Logger
}

// Messenger tells the process that writes records which streams are left.
type Messenger interface {
	ReportDrained(service units.ServiceName, d Drained)
}

// Drained is what a process says of the streams that it passes on, or that have broken off, while epochs end.
type Drained struct {
	Epoch int64 // sequence of the record in which the current epoch began, as far as the process knows
	Known int64 // sequence of the first record that it read since its start: it may have had streams before that
	// Left holds streams, those of earlier epochs first, and Omitted is the number of these that it does not hold.
	Left    map[StreamID]units.SoftwareVersion
	Omitted int
	Active  bool // streams begin in the current epoch
}

// drainedReport is a Drained with the time at which it was received.
type drainedReport struct {
	Drained
	at time.Time
}

// Book knows the epochs of all services and recent streams.
type Book struct {
	Options
	loaded  atomic.Bool
	entries atomic.Pointer[map[units.ServiceName]entry]
	streams *streams
	open    openStreams
	// longestWait is the longest time for which a caller of a stream waits, in nanoseconds.
	longestWait atomic.Int64

	mu       sync.Mutex                                // guards what follows, and changes of entries
	before   map[units.ServiceName]Shares              // of services without a record
	wantedAt map[units.ServiceName]time.Time           // since when another record is needed
	endedAt  map[units.ServiceName]map[int64]time.Time // when epochs ended, by the sequence that ended them
	drained  map[units.ServiceName]map[units.ProcessName]drainedReport
	// orphans holds the streams of processes that were restarted since.
	orphans  map[units.ServiceName]map[StreamID]orphan
	rewrite  map[units.ServiceName]bool      // whose record the platform has lost
	listedAt map[units.ServiceName]time.Time // when a record with open streams was written
}

// entry is a record with its times at this process.
type entry struct {
	Record
	known    int64     // sequence of the first record that was read
	activeAt time.Time // when streams begin in the current epoch
}

// New returns a book without records.
func New(o Options) *Book {
	b := &Book{
		Options: o, streams: newStreams(o.Clock), before: map[units.ServiceName]Shares{},
		wantedAt: map[units.ServiceName]time.Time{}, endedAt: map[units.ServiceName]map[int64]time.Time{},
		drained: map[units.ServiceName]map[units.ProcessName]drainedReport{},
		open:    newOpenStreams(), orphans: map[units.ServiceName]map[StreamID]orphan{},
		rewrite: map[units.ServiceName]bool{}, listedAt: map[units.ServiceName]time.Time{},
	}
	b.entries.Store(&map[units.ServiceName]entry{})
	return b
}

// Assign returns the version at which a new stream begins. Present are the versions of the service's engines.
func (b *Book) Assign(
	service units.ServiceName, id units.RequestID, present []units.SoftwareVersion,
) (units.SoftwareVersion, error) {
	stream := streamOf(service, id)
	e, ok := (*b.entries.Load())[service]
	var version units.SoftwareVersion
	switch {
	case ok:
		version = e.assign(stream, present, b.Clock())
	case b.loaded.Load() && len(present) == 1:
		version = present[0]
	case len(present) == 0:
		return "", nil
	default:
		return "", ErrNotRecorded
	}
	b.streams.put(stream, version)
	return version, nil
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

// Resolve returns the version that began a stream, by the id of the request that brought its first event.
func (b *Book) Resolve(
	service units.ServiceName, id units.RequestID, present []units.SoftwareVersion,
) (units.SoftwareVersion, error) {
	stream := streamOf(service, id)
	if version, ok := b.streams.get(stream); ok && id != "" {
		return version, nil
	}
	e, ok := (*b.entries.Load())[service]
	version := units.SoftwareVersion("")
	switch {
	case ok && (id != "" || !e.isMixed()):
		version, ok = e.versionOf(stream)
	case !ok && b.loaded.Load() && len(present) == 1:
		version, ok = present[0], true
	default:
		ok = false
	}
	if !ok || b.IsIsolated() {
		return "", ErrUnknownVersion
	}
	return version, nil
}

// Learn remembers a stream that another process began.
func (b *Book) Learn(service units.ServiceName, id units.RequestID, version units.SoftwareVersion) {
	b.streams.put(streamOf(service, id), version)
}

// IsMixed reports whether streams of several versions of the service may be taken up.
func (b *Book) IsMixed(service units.ServiceName) bool {
	return b.Known(service).isMixed()
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
		e := entry{Record: r, known: next[service].known, activeAt: now}
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
	wait.Every(ctx, planInterval, func() {
		if !b.loaded.Load() {
			return
		}
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

// shorten returns the record without epochs that are over, or with the streams that are open now: if all processes are killed,
// the record is all that is known of them.
func (b *Book) shorten(service units.ServiceName, r Record, now time.Time) (Record, bool) {
	left := b.left(service, now)
	if len(left) > maxListed {
		return Record{}, false
	}
	next, ok := r.pruned(func(ended int64) bool {
		return now.Sub(b.endedAt[service][ended]) > Lifetime || b.allDrained(service, r.currentSince(), ended, now)
	})
	next.Left = left
	if len(next.Epochs) == 1 {
		maps.DeleteFunc(left, func(id StreamID, version units.SoftwareVersion) bool { return id.isAt(version, r.current()) })
	}
	if !ok && (now.Sub(b.listedAt[service]) < listInterval || maps.Equal(left, r.Left)) {
		return Record{}, false
	}
	b.listedAt[service] = now
	return next, true
}

// allDrained reports whether all processes say that they have no stream left of the epoch that ended with a sequence.
func (b *Book) allDrained(service units.ServiceName, current, ended int64, now time.Time) bool {
	for _, process := range b.Processes() {
		d, ok := b.drained[service][process]
		if !ok || d.Epoch != current || !d.Active || d.Omitted > 0 || now.Sub(d.at) > drainedLifetime {
			return false
		}
		if d.Known >= ended && now.Sub(b.endedAt[service][ended]) <= b.patience() {
			return false // callers may take up streams that it passed on before it was killed
		}
	}
	return true
}

// patience returns how long callers may take up a stream: the longest time for which a caller waits, as far as this process has
// seen.
func (b *Book) patience() time.Duration {
	if longest := time.Duration(b.longestWait.Load()); longest > 0 {
		return min(longest, Lifetime)
	}
	return Lifetime
}

// orphan is a stream of a process that was restarted since.
type orphan struct {
	version units.SoftwareVersion
	at      time.Time // when this process noticed
}

// left returns the streams that a shortened record lists: those that processes have reported, also if they were killed after that,
// for as long as callers may take them up.
func (b *Book) left(service units.ServiceName, now time.Time) map[StreamID]units.SoftwareVersion {
	left := map[StreamID]units.SoftwareVersion{}
	for id, o := range b.orphans[service] {
		if now.Sub(o.at) > b.patience() {
			delete(b.orphans[service], id)
			continue
		}
		left[id] = o.version
	}
	for _, d := range b.drained[service] {
		if now.Sub(d.at) <= b.patience() {
			maps.Copy(left, d.Left)
		}
	}
	return left
}

// orphan keeps streams of a process that was restarted since.
func (b *Book) orphan(service units.ServiceName, left map[StreamID]units.SoftwareVersion) {
	if b.orphans[service] == nil {
		b.orphans[service] = map[StreamID]orphan{}
	}
	for id, version := range left {
		b.orphans[service][id] = orphan{version: version, at: b.Clock()}
	}
}

// ReceiveDrained records what a process says of its streams.
func (b *Book) ReceiveDrained(from units.ProcessName, service units.ServiceName, d Drained) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.drained[service] == nil {
		b.drained[service] = map[units.ProcessName]drainedReport{}
	}
	if before, ok := b.drained[service][from]; ok && before.Known != d.Known {
		b.orphan(service, before.Left)
	}
	b.drained[service][from] = drainedReport{Drained: d, at: b.Clock()}
}

// reportDrained tells the process that writes records which streams are open here while epochs end.
func (b *Book) reportDrained() {
	now := b.Clock()
	for service, e := range *b.entries.Load() {
		if len(e.Epochs) < 2 {
			continue
		}
		d := Drained{Epoch: e.currentSince(), Known: e.known, Active: !now.Before(e.activeAt)}
		d.Left, d.Omitted = b.open.report(service, e.current(), maxReported, maxListed/len(b.Processes()), now)
		b.ReceiveDrained(b.Name, service, d)
		b.Messenger.ReportDrained(service, d)
	}
}

// Begin records that an answer passes on a stream, and how long its caller waits, zero if that is not known.
func (b *Book) Begin(service units.ServiceName, id units.RequestID, version units.SoftwareVersion, wait time.Duration) {
	for longest := b.longestWait.Load(); int64(wait) > longest; longest = b.longestWait.Load() {
		b.longestWait.CompareAndSwap(longest, int64(wait))
	}
	b.open.begin(service, streamOf(service, id), version)
}

// End records the end of such an answer, and until when its caller may take the stream up, zero if it is whole.
func (b *Book) End(service units.ServiceName, id units.RequestID, until time.Time) {
	b.open.end(service, streamOf(service, id), until)
}

// streamOf returns the hash that identifies a stream.
func streamOf(service units.ServiceName, id units.RequestID) uint64 {
	return digest.Sum64(string(service), "\n", string(id))
}
