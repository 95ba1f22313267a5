package epoch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/units"
)

type counts = map[units.SoftwareVersion]int

// recordOf returns a record with the shares of its epochs.
func recordOf(all ...Shares) (r Record) {
	for i, s := range all {
		r.Sequence = int64(i + 1)
		r.Epochs = append(r.Epochs, Epoch{Since: r.Sequence, Shares: s})
	}
	return r
}

// TestStreamsMoveOnlyToTheVersionWhoseShareRises checks the mapping of streams while engines are replaced.
func TestStreamsMoveOnlyToTheVersionWhoseShareRises(t *testing.T) {
	const streams, engines = 4000, 18
	before := sharesOf(counts{"v1": engines})
	for replaced := 1; replaced <= engines; replaced++ {
		after := sharesOf(counts{"v1": engines - replaced, "v2": replaced})
		atNew := 0
		for stream := range uint64(streams) {
			was, is := before.versionOf(streamOf("s", units.RequestID(fmt.Sprint(stream)))),
				after.versionOf(streamOf("s", units.RequestID(fmt.Sprint(stream))))
			assert.Assert(t, was == is || is == "v2", "stream moved from %s to %s", was, is)
			if is == "v2" {
				atNew++
			}
		}
		share, wanted := float64(atNew)/streams, float64(replaced)/engines
		assert.Assert(t, share > wanted-0.06 && share < wanted+0.06, "share is %.2f, not %.2f", share, wanted)
		before = after
	}
}

// TestNextEpoch checks when the record of a service gets another epoch.
func TestNextEpoch(t *testing.T) {
	tests := []struct {
		name    string
		record  Record
		engines counts
		before  Shares
		want    []Shares // nil for no change
	}{
		{name: "first engines", engines: counts{"v1": 3}, want: []Shares{{"v1": 64}}},
		{name: "no engines", engines: counts{}},
		{name: "all engines are gone", record: recordOf(Shares{"v1": 64}), engines: counts{}},
		{name: "more engines", record: recordOf(Shares{"v1": 64}), engines: counts{"v1": 9}},
		{
			name: "another version appears", record: recordOf(Shares{"v1": 64}), engines: counts{"v1": 3, "v2": 1},
			want: []Shares{{"v1": 64}, {"v1": 48, "v2": 16}},
		},
		{
			name: "versions change without overlap", record: recordOf(Shares{"v1": 64}), engines: counts{"v2": 1},
			want: []Shares{{"v1": 64}, {"v2": 64}},
		},
		{
			name: "small drift", record: recordOf(Shares{"v1": 32, "v2": 32}), engines: counts{"v1": 10, "v2": 8},
		},
		{
			name: "large drift", record: recordOf(Shares{"v1": 32, "v2": 32}), engines: counts{"v1": 3, "v2": 1},
			want: []Shares{{"v1": 32, "v2": 32}, {"v1": 48, "v2": 16}},
		},
		{
			name: "engines had no version", engines: counts{"": 1, "v1": 1}, before: Shares{"": 64},
			want: []Shares{{"": 64}, {"": 32, "v1": 32}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			next, changed := tt.record.next(tt.engines, tt.before)
			assert.Equal(t, changed, tt.want != nil)
			var shares []Shares
			for _, e := range next.Epochs {
				shares = append(shares, e.Shares)
			}
			assert.DeepEqual(t, shares, tt.want)
		})
	}
}

// TestVersionOfStreamIsKnownIfAllEpochsAgree checks what a record alone says of a stream.
func TestVersionOfStreamIsKnownIfAllEpochsAgree(t *testing.T) {
	record := recordOf(Shares{"v1": 64}, Shares{"v1": 48, "v2": 16})
	known := 0
	for n := range 1000 {
		stream := streamOf("s", units.RequestID(fmt.Sprint(n)))
		version, ok := record.versionOf(stream)
		assert.Equal(t, ok, record.current().versionOf(stream) == "v1")
		if ok {
			assert.Equal(t, version, units.SoftwareVersion("v1"))
			known++
		}
	}
	assert.Assert(t, known > 650 && known < 850, "%d of 1000 streams are known", known)
	assert.Assert(t, record.isMixed())
	assert.Assert(t, !recordOf(Shares{"v1": 64}).isMixed())
	assert.Assert(t, recordOf(Shares{"v1": 64}, Shares{"v2": 64}).isMixed())
}
