package pace_test

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/pace"
)

func TestMain(m *testing.M) {
	os.Exit(fakes.RunWithFixedSeed(m, 0))
}

// TestBackoffDoublesUpToItsBound checks the back-offs of each kind of trouble. Longer ones leave a recovered engine idle,
// shorter ones cost a retry for each attempt.
func TestBackoffDoublesUpToItsBound(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name     string
		troubles []pace.Trouble
		want     []time.Duration
	}{
		{
			name:     "failures",
			troubles: []pace.Trouble{pace.Failed, pace.Failed, pace.Failed, pace.Failed, pace.Failed, pace.Failed, pace.Failed},
			want:     []time.Duration{0, 400 * ms, 800 * ms, 1600 * ms, 3000 * ms, 3000 * ms, 3000 * ms},
		},
		{
			name:     "refusals",
			troubles: []pace.Trouble{pace.Refused, pace.Refused, pace.Refused, pace.Refused},
			want:     []time.Duration{500 * ms, 1000 * ms, 2000 * ms, 2000 * ms},
		},
		{
			name:     "mismatches",
			troubles: []pace.Trouble{pace.Mismatched, pace.Mismatched, pace.Mismatched, pace.Mismatched},
			want:     []time.Duration{1000 * ms, 2000 * ms, 4000 * ms, 4000 * ms},
		},
		{
			name:     "refusals and mismatches count together, failures apart",
			troubles: []pace.Trouble{pace.Refused, pace.Failed, pace.Mismatched, pace.Failed},
			want:     []time.Duration{500 * ms, 0, 2000 * ms, 400 * ms},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b pace.Backoff
			for i, trouble := range tt.troubles {
				assert.Equal(t, b.Next(trouble), tt.want[i], "trouble %d", i)
			}
			b.Answered()
			b.Accepted()
			assert.Equal(t, b.Next(pace.Failed), time.Duration(0))
			assert.Equal(t, b.Next(pace.Refused), 500*ms)
		})
	}
}
