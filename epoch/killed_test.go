package epoch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/epoch"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// callerWait is how long callers of the tests below wait, and longUptime longer than that.
const callerWait, longUptime = 10 * time.Second, time.Minute

// drainingFleet is the book of a process that writes records, beside the process "there".
type drainingFleet struct {
	*epoch.Book
	written *records
	names   []units.ProcessName
	report  func() epoch.Drained // of the other process, nil for none
}

// newDrainingFleet returns a fleet whose service has one version, and a function that ends the book's reads.
func newDrainingFleet() (*drainingFleet, func()) {
	f := &drainingFleet{written: &records{}, names: []units.ProcessName{"here", "there"}}
	book, closeBook := epoch.New(epoch.Options{
		Records: f.written, Messenger: f.written, Name: "here", Clock: time.Now, Log: zerolog.Nop(),
		Engines: func() map[units.ServiceName]map[units.SoftwareVersion]int {
			return map[units.ServiceName]map[units.SoftwareVersion]int{service: {f.version(): 1}}
		},
		IsFirst: func() bool { return true }, IsSubstitute: func() bool { return false },
		IsLost: func() bool { return false }, IsIsolated: func() bool { return false },
		Processes: func() []units.ProcessName { return f.names },
	})
	f.Book = book
	f.SetRecords(map[units.ServiceName]epoch.Record{}, true)
	f.Confirm(service, recordOf(epoch.Shares{"v1": 64}))
	f.Begin(service, "long ago", "v1", callerWait)
	f.End(service, "long ago", epoch.Outcome{Whole: true})
	return f, closeBook
}

// version returns the version of the service's engines.
func (f *drainingFleet) version() units.SoftwareVersion {
	if f.Known(service).Sequence > 1 {
		return "v2"
	}
	return "v1"
}

// release begins the epoch of the second version.
func (f *drainingFleet) release() {
	f.SetRecords(map[units.ServiceName]epoch.Record{service: recordOf(epoch.Shares{"v1": 64}, epoch.Shares{"v2": 64})}, false)
}

// run lets the book write records for a time, while the other process reports.
func (f *drainingFleet) run(t *testing.T, d time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if f.report != nil {
			f.ReceiveDrained("there", service, f.report())
		}
		f.SetRecords(f.written.read(), false)
	}
	cancel()
	<-done
}

// TestEpochStaysListedWhileStreamsOfAnEndedProcessMayBeTakenUp guards against streams that go on at another version, because an epoch is
// dropped on the word of processes that know nothing of the streams that a killed process passed on.
func TestEpochStaysListedWhileStreamsOfAnEndedProcessMayBeTakenUp(t *testing.T) {
	const short = 2 * time.Second
	tests := []struct {
		name   string
		uptime time.Duration // of this process at the release
		other  time.Duration // uptime of the other process at the release
		known  int64         // sequence of the first record that the other process read
		leaves time.Duration // before the release, at which the other process is removed from the list, zero for never
		after  time.Duration // the release
		epochs int
	}{
		{name: "both run for long", uptime: longUptime, other: longUptime, after: short, epochs: 1},
		{name: "other process was restarted before the release", uptime: longUptime, other: time.Second, known: 1, after: short, epochs: 2},
		{name: "other process was restarted after the release", uptime: longUptime, other: -time.Second, known: 2, after: short, epochs: 2},
		{
			name:   "other process was restarted before the release, and the store came back older",
			uptime: longUptime, other: time.Second, after: short, epochs: 2,
		},
		{
			name:   "other process was restarted before the release, and callers wait no longer",
			uptime: longUptime, other: time.Second, known: 1, after: callerWait, epochs: 1,
		},
		{name: "other process was restarted long before the release", uptime: longUptime, other: callerWait, known: 1, after: short, epochs: 1},
		{name: "this process was restarted before the release", uptime: time.Second, other: longUptime, after: short, epochs: 2},
		{
			name:   "this process was restarted before the release, and callers wait no longer",
			uptime: time.Second, other: longUptime, after: callerWait, epochs: 1,
		},
		{name: "other process was removed before the release", uptime: longUptime, leaves: time.Second, after: short, epochs: 2},
		{
			name:   "other process was removed before the release, and callers wait no longer",
			uptime: longUptime, leaves: time.Second, after: callerWait, epochs: 1,
		},
		{name: "other process was removed long before the release", uptime: longUptime, leaves: callerWait, after: short, epochs: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, closeBook := newDrainingFleet()
				defer closeBook()
				f.run(t, tt.uptime-tt.leaves)
				if tt.leaves > 0 {
					f.names = []units.ProcessName{"here"}
					f.run(t, tt.leaves)
				}
				released := time.Now()
				f.release()
				if tt.leaves == 0 {
					f.report = func() epoch.Drained {
						return epoch.Drained{Epoch: 2, Known: tt.known, Active: true, Uptime: max(tt.other+time.Since(released), 0)}
					}
				}
				f.run(t, tt.after)
				assert.Equal(t, len(f.Known(service).Epochs), tt.epochs)
			})
		})
	}
}

// TestStreamsOfARestartedProcessStayListed guards against streams that cannot go on, because a process that was killed and restarted
// between two records is taken for the one before, whose streams it does not report.
func TestStreamsOfARestartedProcessStayListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, closeBook := newDrainingFleet()
		defer closeBook()
		f.run(t, longUptime)
		f.release()
		f.report = func() epoch.Drained {
			return epoch.Drained{
				Epoch: 2, Known: 1, Uptime: longUptime, Left: map[epoch.StreamID]units.SoftwareVersion{"AAAAAAAAAAA": "v1"},
			}
		}
		f.run(t, time.Second)
		f.report = func() epoch.Drained { return epoch.Drained{Epoch: 2, Known: 1, Active: true, Uptime: time.Second} }
		f.run(t, time.Second)
		assert.Equal(t, f.Known(service).Left["AAAAAAAAAAA"], units.SoftwareVersion("v1"))
	})
}
