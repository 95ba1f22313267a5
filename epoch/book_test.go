package epoch_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/epoch"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const service units.ServiceName = "llm"

// records holds what a book writes.
type records struct {
	mu     sync.Mutex
	latest map[units.ServiceName]epoch.Record
	err    error // of Get

	readTime time.Duration
	reads    []time.Time // when they started

	reported []epoch.Drained

	ask func(question uint64, id units.RequestID, all bool) // answers
}

var errAway = errors.New("platform is away")

// Put implements epoch.Records.
func (r *records) Put(_ context.Context, name units.ServiceName, record epoch.Record) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latest = map[units.ServiceName]epoch.Record{name: record}
	return nil
}

// Get implements epoch.Records.
func (r *records) Get(_ context.Context, name units.ServiceName) (epoch.Record, error) {
	r.mu.Lock()
	record, ok := r.latest[name]
	err := r.err
	r.reads = append(r.reads, time.Now())
	r.mu.Unlock()
	time.Sleep(r.readTime)
	switch {
	case err != nil:
		return epoch.Record{}, err
	case !ok:
		return epoch.Record{}, epoch.ErrNotRecorded
	}
	return record, nil
}

func (r *records) read() map[units.ServiceName]epoch.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest
}

// ReportDrained implements epoch.Messenger.
func (r *records) ReportDrained(_ units.ServiceName, d epoch.Drained) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reported = append(r.reported, d)
}

// AskStream implements epoch.Messenger.
func (r *records) AskStream(question uint64, _ units.ServiceName, id units.RequestID, all bool) {
	if r.ask != nil {
		r.ask(question, id, all)
	}
}

func recordOf(all ...epoch.Shares) (r epoch.Record) {
	for i, s := range all {
		r.Sequence = int64(i + 1)
		r.Epochs = append(r.Epochs, epoch.Epoch{Since: r.Sequence, Shares: s})
	}
	return r
}

func newBook(clock units.Clock, written *records, isolated *bool) (*epoch.Book, func()) {
	return epoch.New(epoch.Options{
		Records: written, Messenger: written, Name: "here",
		Processes: func() []units.ProcessName { return []units.ProcessName{"here"} }, Engines: func() map[units.ServiceName]map[units.SoftwareVersion]int { return nil },
		IsFirst: func() bool { return true }, IsSubstitute: func() bool { return false },
		IsLost: func() bool { return false }, IsIsolated: func() bool { return *isolated }, Clock: clock, Log: zerolog.Nop(),
	})
}

// TestStreamOfAnUnknownVersionMayNotGoOn checks where a stream may go on that this process has not seen.
func TestStreamOfAnUnknownVersionMayNotGoOn(t *testing.T) {
	one, two := []units.SoftwareVersion{"v1"}, []units.SoftwareVersion{"v1", "v2"}
	single := recordOf(epoch.Shares{"v1": 64})
	replaced := recordOf(epoch.Shares{"v1": 64}, epoch.Shares{"v2": 64})
	tests := []struct {
		name     string
		record   *epoch.Record
		unread   bool // the platform's records were not read yet
		isolated bool
		id       units.RequestID
		present  []units.SoftwareVersion
		want     units.SoftwareVersion // empty for unknown
	}{
		{name: "one version ever", record: &single, id: "a", present: one, want: "v1"},
		{name: "one version ever, stream is not named", record: &single, present: one, want: "v1"},
		{name: "its version has no engine", record: &single, id: "a", present: []units.SoftwareVersion{"v2"}, want: "v1"},
		{name: "no record and one version", id: "a", present: one, want: "v1"},
		{name: "no record and two versions", id: "a", present: two},
		{name: "records were not read", unread: true, id: "a", present: one},
		{name: "versions were replaced", record: &replaced, id: "a", present: []units.SoftwareVersion{"v2"}},
		{name: "versions were replaced, stream is not named", record: &replaced, present: []units.SoftwareVersion{"v2"}},
		{name: "process is cut off", record: &single, isolated: true, id: "a", present: one},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform := &records{}
				b, closeBook := newBook(time.Now, platform, &tt.isolated)
				defer closeBook()
				if !tt.unread {
					b.SetRecords(nil, true)
				}
				if tt.record != nil {
					platform.latest = map[units.ServiceName]epoch.Record{service: *tt.record}
					b.SetRecords(platform.latest, false)
				}
				if tt.isolated {
					platform.err = errAway
				}
				version, err := b.Resolve(t.Context(), service, tt.id, tt.present)
				assert.Equal(t, version, tt.want)
				assert.Equal(t, err == nil, tt.want != "")
				b.Learn(service, "a", "v3")
				if tt.id != "" {
					version, err = b.Resolve(t.Context(), service, tt.id, tt.present)
					assert.NilError(t, err)
					assert.Equal(t, version, units.SoftwareVersion("v3"))
				}
			})
		})
	}
}

// TestStreamsBeginInTheEpochBeforeUntilAllProcessesKnowTheNewOne checks when new streams go to a new version.
func TestStreamsBeginInTheEpochBeforeUntilAllProcessesKnowTheNewOne(t *testing.T) {
	now, isolated := time.Now(), false
	b, closeBook := newBook(func() time.Time { return now }, &records{}, &isolated)
	defer closeBook()
	b.SetRecords(map[units.ServiceName]epoch.Record{service: recordOf(epoch.Shares{"v1": 64})}, true)
	b.SetRecords(map[units.ServiceName]epoch.Record{service: recordOf(epoch.Shares{"v1": 64}, epoch.Shares{"v2": 64})}, false)
	assign := func(present ...units.SoftwareVersion) units.SoftwareVersion {
		version, err := b.Assign(service, "a", present)
		assert.NilError(t, err)
		return version
	}
	assert.Equal(t, assign("v1", "v2"), units.SoftwareVersion("v1"))
	assert.Equal(t, assign("v2"), units.SoftwareVersion("v2")) // the version before has no engine any more
	now = now.Add(2 * time.Second)
	assert.Equal(t, assign("v1", "v2"), units.SoftwareVersion("v2"))
}

// TestPreviewRemembersNothing guards against a look at the version of a stream that makes the process vouch for a stream that never
// began.
func TestPreviewRemembersNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		isolated := false
		platform := &records{latest: map[units.ServiceName]epoch.Record{
			service: recordOf(epoch.Shares{"v1": 64}, epoch.Shares{"v2": 64}),
		}}
		b, closeBook := newBook(time.Now, platform, &isolated)
		defer closeBook()
		b.SetRecords(platform.latest, true)
		present := []units.SoftwareVersion{"v1", "v2"}
		previewed, err := b.Preview(service, "a", present)
		assert.NilError(t, err)
		_, err = b.Resolve(t.Context(), service, "a", present)
		assert.Assert(t, err != nil, "the stream is remembered")
		assigned, err := b.Assign(service, "a", present)
		assert.NilError(t, err)
		assert.Equal(t, assigned, previewed)
		resolved, err := b.Resolve(t.Context(), service, "a", present)
		assert.NilError(t, err)
		assert.Equal(t, resolved, assigned)
	})
}

// TestEpochIsDroppedOnceNoStreamOfItIsLeft checks when the record of two processes loses an epoch, and which streams it lists.
func TestEpochIsDroppedOnceNoStreamOfItIsLeft(t *testing.T) {
	const (
		wait  = 10 * time.Second
		short = 2 * time.Second
	)
	none := reporting(epoch.Drained{Epoch: 2, Active: true, Uptime: longUptime})
	two := func() epoch.Record { return recordOf(epoch.Shares{"v1": 64}, epoch.Shares{"v2": 64}) }
	tests := []struct {
		name    string
		begin   func(b *epoch.Book)
		reports func(b *epoch.Book) // of the other process
		after   time.Duration
		epochs  int
		left    int
	}{
		{name: "other process is silent", after: short, epochs: 2},
		{name: "other process is silent for long", after: time.Minute, epochs: 1},
		{name: "none is left", reports: none, after: short, epochs: 1},
		{name: "other process does not know the epoch", reports: reporting(epoch.Drained{Epoch: 1, Active: true, Uptime: longUptime}), after: short, epochs: 2},
		{name: "streams still begin in it", reports: reporting(epoch.Drained{Epoch: 2, Uptime: longUptime}), after: short, epochs: 2},
		{name: "too many are left", reports: reporting(epoch.Drained{Epoch: 2, Active: true, Omitted: 1, Uptime: longUptime}), after: short, epochs: 2},
		{name: "other process was restarted", reports: reporting(epoch.Drained{Epoch: 2, Known: 2, Active: true}), after: short, epochs: 2},
		{
			name: "other process was restarted, and callers wait no longer", after: wait + short,
			reports: reporting(epoch.Drained{Epoch: 2, Known: 2, Active: true}), epochs: 1,
		},
		{
			name: "one is open here", begin: func(b *epoch.Book) { b.Begin(service, "a", "v1", wait) },
			reports: none, after: short, epochs: 1, left: 1,
		},
		{
			name: "one broke off here", begin: func(b *epoch.Book) {
				b.Begin(service, "a", "v1", wait)
				b.End(service, "a", epoch.Outcome{Until: time.Now().Add(wait)})
			},
			reports: none, after: short, epochs: 1, left: 1,
		},
		{
			name: "one broke off here, and could not go on here", begin: func(b *epoch.Book) {
				b.Begin(service, "a", "v1", wait)
				b.End(service, "a", epoch.Outcome{Until: time.Now().Add(wait)})
				b.Begin(service, "a", "v1", wait)
				b.End(service, "a", epoch.Outcome{})
			},
			reports: none, after: short, epochs: 1, left: 1,
		},
		{
			name: "one has ended here", begin: func(b *epoch.Book) {
				b.Begin(service, "a", "v1", wait)
				b.End(service, "a", epoch.Outcome{Whole: true})
			},
			reports: none, after: short, epochs: 1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				written := &records{}
				b, closeBook := epoch.New(epoch.Options{
					Records: written, Messenger: written, Name: "here", Clock: time.Now, Log: zerolog.Nop(),
					Engines: func() map[units.ServiceName]map[units.SoftwareVersion]int {
						return map[units.ServiceName]map[units.SoftwareVersion]int{service: {"v2": 1}}
					},
					IsFirst: func() bool { return true }, IsSubstitute: func() bool { return false },
					IsLost: func() bool { return false }, IsIsolated: func() bool { return false },
					Processes: func() []units.ProcessName { return []units.ProcessName{"here", "there"} },
				})
				defer closeBook()
				b.SetRecords(map[units.ServiceName]epoch.Record{}, true)
				b.Confirm(service, recordOf(epoch.Shares{"v1": 64}))
				b.Begin(service, "long ago", "v2", wait)
				b.End(service, "long ago", epoch.Outcome{Whole: true})
				time.Sleep(longUptime)
				if tt.begin != nil {
					tt.begin(b)
				}
				b.SetRecords(map[units.ServiceName]epoch.Record{service: two()}, false)
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { defer close(done); b.Run(ctx) }()
				for end := time.Now().Add(tt.after); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
					if tt.reports != nil {
						tt.reports(b)
					}
					b.SetRecords(written.read(), false)
				}
				cancel()
				<-done
				assert.Equal(t, len(b.Known(service).Epochs), tt.epochs)
				if tt.epochs == 1 {
					assert.Equal(t, len(b.Known(service).Left), tt.left)
				}
			})
		})
	}
}

func reporting(d epoch.Drained) func(b *epoch.Book) {
	return func(b *epoch.Book) { b.ReceiveDrained("there", service, d) }
}
