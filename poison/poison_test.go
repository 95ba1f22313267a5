package poison_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/peer"
	"github.com/buckthorntrack/buckthorntrack/poison"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// TestQuarantine checks that a request is refused after the second crash that it caused, and not because it moved
// between engines that crashed in the same outage.
func TestQuarantine(t *testing.T) {
	tests := []struct {
		name    string
		crashes []time.Duration // of the engines that ran the request
		beside  []time.Duration // of engines that ran only other requests
		refused bool
	}{
		{name: "one crash", crashes: []time.Duration{0}},
		{name: "two crashes", crashes: []time.Duration{0, time.Millisecond}, refused: true},
		{name: "two crashes and one beside", crashes: []time.Duration{0, 1}, beside: []time.Duration{1}, refused: true},
		{name: "moved in an outage", crashes: []time.Duration{0, 1}, beside: []time.Duration{1, 2}},
		{
			name: "two crashes long before an outage", crashes: []time.Duration{0, 1},
			beside: []time.Duration{5 * time.Second, 5*time.Second + 1}, refused: true,
		},
		{
			name: "third crash in an outage", crashes: []time.Duration{0, 1, 2},
			beside: []time.Duration{1, 1, 1, 1}, refused: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				screen, closeScreen := poison.New(peer.NewTable(time.Now), func() {}, time.Now, zerolog.Nop())
				defer closeScreen()
				start := time.Now()
				record := func(digest, engine string, at time.Duration) {
					time.Sleep(time.Until(start.Add(at)))
					screen.RecordCrash(digest, units.EngineName(engine))
				}
				for i, at := range tt.crashes {
					record("request", fmt.Sprint("own", i), at)
				}
				for i, at := range tt.beside {
					record(fmt.Sprint("other", i), fmt.Sprint("beside", i), at)
				}
				assert.Equal(t, screen.Check("request", nil) != nil, tt.refused)
			})
		})
	}
}
