package mirror

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// clockedFeed returns a feed of a process with the clock.
func clockedFeed(now *time.Time, searchAge time.Duration) *feed {
	m, _ := New(Options{
		Name: "p", Clock: time.Now, BootTime: func() time.Time { return *now }, Log: zerolog.Nop(), Observer: discardObserver{},
		Feeds: []Feed{{Name: "test", Prefix: "test/", Sink: &inForce{}, SearchAge: searchAge}},
	})
	return m.feeds[0]
}

// TestAnswersProveTheStateOfTheirTime guards against an answer of the platform that counts for a later time than it proves.
func TestAnswersProveTheStateOfTheirTime(t *testing.T) {
	changed := objapi.Change{Version: 2, Objects: []objapi.Object{{Key: "test/a", Version: 2}}}
	tests := []struct {
		name    string
		proven  bool
		timeout time.Duration
		took    time.Duration
		answer  objapi.Change
		want    time.Duration // after the watch was sent
	}{
		{name: "ended by its timeout", proven: true, timeout: time.Second, took: time.Second, want: time.Second},
		{name: "ended by its timeout, late", proven: true, timeout: time.Second, took: 9 * time.Second, want: time.Second},
		{name: "ended before its timeout", proven: true, timeout: time.Second, took: 999 * time.Millisecond, want: 0},
		{name: "change", proven: true, timeout: time.Second, took: 300 * time.Millisecond, answer: changed, want: 0},
		{name: "change, late", proven: true, timeout: time.Second, took: 9 * time.Second, answer: changed, want: 0},
		{name: "removal", proven: true, timeout: time.Second, took: 9 * time.Second, answer: objapi.Change{Version: 2, Deleted: []string{"test/a"}}, want: 0},
		{name: "estimate", timeout: time.Second, took: 9 * time.Second, want: 9 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			f := clockedFeed(&now, 0)
			if tt.proven {
				f = clockedFeed(&now, time.Second)
			}
			sent := now
			now = now.Add(tt.took)
			assert.Equal(t, f.provenByWatch(sent, tt.timeout, tt.answer).Sub(sent), tt.want)
		})
	}
}

// TestAgesCountFromTheStamp guards against an age of a source that counts from the receipt of its frame.
func TestAgesCountFromTheStamp(t *testing.T) {
	before := time.Unix(900, 0)
	tests := []struct {
		name   string
		stamp  time.Duration // after the start, negative for none
		age    time.Duration
		proven time.Time
	}{
		{name: "answered stamp", stamp: 2 * time.Second, age: time.Second, proven: time.Unix(1001, 0)},
		{name: "age is not known", stamp: 2 * time.Second, age: unknownAge, proven: before},
		{name: "no stamp", stamp: -1, age: time.Second, proven: before},
		{name: "stamp of the future", stamp: 11 * time.Second, age: time.Second, proven: before},
		{name: "earlier than what is known", stamp: 0, age: 200 * time.Second, proven: before},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			f := clockedFeed(&now, time.Second)
			now = now.Add(10 * time.Second) // the frame is late
			var stamp *int64
			if tt.stamp >= 0 {
				ms := tt.stamp.Milliseconds()
				stamp = &ms
			}
			assert.Equal(t, f.confirmedBy(sourceFeed{age: tt.age, confirmedAt: before}, stamp), tt.proven)
		})
	}
}

// TestProofsOfNewerStatesDoNotCount guards against a copy that is confirmed by a state which is newer than it.
func TestProofsOfNewerStatesDoNotCount(t *testing.T) {
	now := time.Unix(1000, 0)
	proven, estimated := clockedFeed(&now, time.Second), clockedFeed(&now, 0)
	older, newer, later := units.Version(5), units.Version(6), units.Version(2).In(1)
	assert.Assert(t, proven.isCoveredBy(older, newer))
	assert.Assert(t, proven.isCoveredBy(newer, newer))
	assert.Assert(t, proven.isCoveredBy(newer, later))
	assert.Assert(t, !proven.isCoveredBy(newer, older))
	assert.Assert(t, !proven.isCoveredBy(later, newer))
	assert.Assert(t, !proven.isCoveredBy(0, newer))
	assert.Assert(t, !estimated.isCoveredBy(older, newer))
	assert.Assert(t, estimated.isCoveredBy(newer, newer))
}
