package usage

import (
	"context"
	"encoding/json"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// reported returns the counts that were reported for a window.
func (s *simulation) reported(t *testing.T, w Window) Counts {
	t.Helper()
	var counts Counts
	assert.NilError(t, json.Unmarshal([]byte(s.api.Reports()[strconv.FormatInt(int64(w), 10)]), &counts))
	return counts
}

// TestCountsReachAHolderThatIsNoCollector guards against reports that lack the requests of processes whose messages the holder of the
// duties does not get.
func TestCountsReachAHolderThatIsNoCollector(t *testing.T) {
	tests := []struct {
		name  string
		fault func(s *simulation)
	}{
		{name: "no fault", fault: func(*simulation) {}},
		{name: "link to a process is cut", fault: func(s *simulation) { s.cut = [2]units.ProcessName{"c", "e"} }},
		{name: "link to a collector is cut", fault: func(s *simulation) { s.cut = [2]units.ProcessName{"a", "c"} }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				s := newSimulation(ctx, 1)
				s.holders = []units.ProcessName{"c"}
				tt.fault(s)
				for _, name := range processes {
					s.start(name, true, 0)
				}
				s.wg.Go(func() { s.serve(ctx) })
				time.Sleep(40 * time.Second)
				cancel()
				s.wg.Wait()
				last := length.At(time.Now()) - 2
				for w := last - 3; w <= last; w++ {
					assert.DeepEqual(t, s.reported(t, w), s.truth[w])
				}
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// TestCountsOfAKilledProcessPassToTheNextHolder guards against a report that lacks what a killed process has counted, as only the
// former holder and the collectors have its messages.
func TestCountsOfAKilledProcessPassToTheNextHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := newSimulation(ctx, 1)
		s.holders = []units.ProcessName{"c", "d"}
		for _, name := range processes {
			s.start(name, true, 0)
		}
		time.Sleep(time.Until(length.End(length.At(time.Now()) + 3)))
		w := length.At(time.Now())
		holder := s.nodes["c"]
		if holder.Token() == 0 {
			holder = s.nodes["d"]
		}
		time.Sleep(200 * time.Millisecond)
		s.nodes["e"].Count("x", 0)
		time.Sleep(1500 * time.Millisecond)
		for _, n := range []*node{s.nodes["e"], holder} {
			n.mu.Lock()
			n.killedAt = time.Now()
			n.mu.Unlock()
			n.stop()
		}
		time.Sleep(20 * time.Second)
		cancel()
		s.wg.Wait()
		time.Sleep(20 * time.Second)
		assert.DeepEqual(t, s.reported(t, w), Counts{"x": 1})
	})
}
