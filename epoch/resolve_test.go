package epoch_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/epoch"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// resolveLimit bounds the time in which a stream is resolved.
const resolveLimit = 500 * time.Millisecond

// newFleetBook returns a book of the process "here" beside "there" and "far".
func newFleetBook(platform *records) (*epoch.Book, func()) {
	return epoch.New(epoch.Options{
		Records: platform, Messenger: platform, Name: "here", Clock: time.Now, Log: zerolog.Nop(),
		Engines: func() map[units.ServiceName]map[units.SoftwareVersion]int { return nil },
		IsFirst: func() bool { return true }, IsSubstitute: func() bool { return false },
		IsLost: func() bool { return false }, IsIsolated: func() bool { return false },
		Processes: func() []units.ProcessName { return []units.ProcessName{"here", "there", "far"} },
	})
}

// TestStreamIsResolvedByThePresentRecord checks by what a stream is resolved that a process has not seen, whose record may be outdated.
func TestStreamIsResolvedByThePresentRecord(t *testing.T) {
	single := recordOf(epoch.Shares{"v1": 64})
	replaced := recordOf(epoch.Shares{"v1": 64}, epoch.Shares{"v2": 64})
	kept := recordOf(epoch.Shares{"v1": 64}, epoch.Shares{"v1": 64})
	other := recordOf(epoch.Shares{"v3": 64}, epoch.Shares{"v3": 64}) // that a store has which came back from a copy
	remembered := epoch.Answer{Version: "v2", Known: true, Remembered: true}
	first, newer := epoch.Answer{Version: "v1", Known: true, Sequence: 1}, epoch.Answer{Version: "v2", Known: true, Sequence: 7}
	tests := []struct {
		name     string
		platform *epoch.Record // nil if the platform is away
		hangs    bool          // the platform does not answer
		own      *epoch.Record // single if not stated
		copied   bool          // the own record is from another process
		answers  map[units.ProcessName]epoch.Answer
		late     map[units.ProcessName]epoch.Answer // after the record was read
		lost     int                                // number of the first questions that are lost
		want     units.SoftwareVersion              // empty for unknown
	}{
		{name: "record is current", platform: &single, want: "v1"},
		{name: "record is outdated", platform: &replaced},
		{name: "record is outdated, a process has the stream", platform: &replaced, answers: answersOf("far", remembered), want: "v2"},
		{name: "record is outdated, a process answers late", platform: &replaced, late: answersOf("far", remembered), want: "v2"},
		{name: "platform is older than what is known", platform: &single, own: &replaced},
		{name: "platform is older than what a process has", platform: &single, answers: answersOf("far", newer)},
		{
			name: "platform is older than what a process has, all answer", platform: &single,
			answers: answersOf("far", newer, "there", first), want: "v2",
		},
		{name: "platform has another record of the sequence", platform: &other, own: &kept},
		{
			name: "platform has another record of the sequence, a process has it too", platform: &other, own: &kept,
			answers: answersOf("far", epoch.Answer{Version: "v3", Known: true, Sequence: 2}, "there", first),
		},
		{name: "platform is away, a process has the stream", answers: answersOf("far", remembered), want: "v2"},
		{name: "platform hangs, a process has the stream", hangs: true, answers: answersOf("far", remembered), want: "v2"},
		{name: "platform is away, no process answers"},
		{name: "platform is away, one process does not answer", answers: answersOf("far", first)},
		{name: "platform is away, all have the record", answers: answersOf("far", first, "there", first), want: "v1"},
		{name: "platform hangs, all have the record", hangs: true, answers: answersOf("far", first, "there", first), want: "v1"},
		{name: "platform is away, one question is lost", lost: 1, answers: answersOf("far", first, "there", first), want: "v1"},
		{name: "platform is away, several questions are lost", lost: 3, answers: answersOf("far", first, "there", first), want: "v1"},
		{name: "platform is away, one has a newer record", answers: answersOf("far", first, "there", newer), want: "v2"},
		{
			name:    "platform is away, one has a newer record and does not know the version",
			answers: answersOf("far", first, "there", epoch.Answer{Sequence: 7}),
		},
		{name: "platform was never read here", copied: true, answers: answersOf("far", first, "there", first)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform := &records{latest: map[units.ServiceName]epoch.Record{}}
				b, closeBook := newFleetBook(platform)
				defer closeBook()
				own := single
				if tt.own != nil {
					own = *tt.own
				}
				b.SetRecords(map[units.ServiceName]epoch.Record{service: own}, true)
				if !tt.copied {
					b.Confirm(service, own)
				}
				switch {
				case tt.hangs:
					platform.readTime, platform.err = resolveLimit, errAway
				case tt.platform == nil:
					platform.err = errAway
				default:
					platform.latest[service] = *tt.platform
				}
				questions := 0
				platform.ask = func(question uint64, _ units.RequestID, _ bool) {
					if questions++; questions > tt.lost {
						answer(b, question, tt.answers)
					}
					time.AfterFunc(resolveLimit/10, func() { answer(b, question, tt.late) })
				}
				began := time.Now()
				version, err := b.Resolve(t.Context(), service, "a", []units.SoftwareVersion{"v1"})
				assert.Assert(t, time.Since(began) <= resolveLimit)
				assert.Equal(t, version, tt.want)
				if tt.want == "" {
					assert.ErrorIs(t, err, epoch.ErrUnknownVersion)
					return
				}
				assert.NilError(t, err)
				platform.mu.Lock() // a read may still be under way
				platform.err = errAway
				platform.mu.Unlock()
				began, platform.ask = time.Now(), nil
				version, err = b.Resolve(t.Context(), service, "a", nil)
				assert.NilError(t, err)
				assert.Equal(t, version, tt.want)
				assert.Equal(t, time.Since(began), time.Duration(0))
			})
		})
	}
}

func answersOf(pairs ...any) map[units.ProcessName]epoch.Answer {
	answers := map[units.ProcessName]epoch.Answer{}
	for i := 0; i < len(pairs); i += 2 {
		answers[units.ProcessName(pairs[i].(string))] = pairs[i+1].(epoch.Answer)
	}
	return answers
}

func answer(b *epoch.Book, question uint64, answers map[units.ProcessName]epoch.Answer) {
	for from, a := range answers {
		b.ReceiveAnswer(from, question, a)
	}
}

// TestTakeUpsShareReadsOfThePlatform checks that each take-up waits for a read that starts after it, and how often the platform is read.
func TestTakeUpsShareReadsOfThePlatform(t *testing.T) {
	const takeUps, maxReads, span = 200, 8, time.Second
	synctest.Test(t, func(t *testing.T) {
		platform := &records{
			latest: map[units.ServiceName]epoch.Record{service: recordOf(epoch.Shares{"v1": 64})}, readTime: 5 * time.Millisecond,
		}
		b, closeBook := newFleetBook(platform)
		defer closeBook()
		b.SetRecords(platform.latest, true)
		var wg sync.WaitGroup
		for n := range takeUps {
			wg.Go(func() {
				began := time.Now()
				version, err := b.Resolve(t.Context(), service, units.RequestID(fmt.Sprint("stream", n)), nil)
				ended := time.Now()
				assert.NilError(t, err)
				assert.Equal(t, version, units.SoftwareVersion("v1"))
				assert.Assert(t, ended.Sub(began) <= resolveLimit)
				platform.mu.Lock()
				defer platform.mu.Unlock()
				fresh := false
				for _, at := range platform.reads {
					fresh = fresh || !at.Before(began) && !at.Add(platform.readTime).After(ended)
				}
				assert.Assert(t, fresh)
			})
			time.Sleep(span / takeUps)
		}
		wg.Wait()
		assert.Assert(t, len(platform.reads) <= maxReads, "%d reads", len(platform.reads))
	})
}

// TestProcessDoesNotVouchForTheTimeBeforeItsStart checks that a process that started with an outdated copy of a record reports no streams
// before it has read the platform, and then names the sequence of the present record as the first that it has read.
func TestProcessDoesNotVouchForTheTimeBeforeItsStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := &records{latest: map[units.ServiceName]epoch.Record{}, err: errAway}
		b, closeBook := newFleetBook(platform)
		defer closeBook()
		outdated := recordOf(epoch.Shares{"v1": 64}, epoch.Shares{"v1": 32, "v2": 32})
		present := recordOf(epoch.Shares{"v1": 64}, epoch.Shares{"v1": 32, "v2": 32}, epoch.Shares{"v2": 64})
		b.SetRecords(map[units.ServiceName]epoch.Record{service: outdated}, true)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { b.Run(ctx) })
		time.Sleep(2 * time.Second)
		platform.mu.Lock()
		assert.Equal(t, len(platform.reported), 0)
		platform.err = nil
		platform.latest[service] = present
		platform.mu.Unlock()
		time.Sleep(2 * time.Second)
		cancel()
		running.Wait()
		assert.Assert(t, len(platform.reported) > 0)
		for _, d := range platform.reported {
			assert.Equal(t, d.Known, present.Sequence)
		}
	})
}
