package front

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/plat"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// answerTime is the time that the platform takes for an answer.
const answerTime = 5 * time.Millisecond

// slowSource is a platform with changes at set times. A deaf one's watches hear none of them.
type slowSource struct {
	start   time.Time
	changes []time.Duration // each makes one version
	deaf    bool

	snapshots, watches int
}

func (s *slowSource) newest() units.Version {
	version := units.Version(1)
	for _, at := range s.changes {
		if time.Since(s.start) >= at {
			version++
		}
	}
	return version
}

// Snapshot implements source.
func (s *slowSource) Snapshot(context.Context, string) (plat.Change, error) {
	s.snapshots++
	return plat.Change{Version: s.newest()}, nil
}

// WatchFor implements source.
func (s *slowSource) WatchFor(ctx context.Context, _ string, from units.Version, wait time.Duration) (plat.Change, error) {
	s.watches++
	for over := time.Now().Add(wait); time.Now().Before(over); {
		select {
		case <-ctx.Done():
			return plat.Change{}, ctx.Err()
		case <-time.After(answerTime):
		}
		if newest := s.newest(); newest > from && !s.deaf {
			return plat.Change{Version: newest, Newest: newest, Objects: []plat.Object{{Key: "changed"}}}, nil
		}
	}
	return plat.Change{Version: from}, nil
}

type nullSink struct{}

func (nullSink) Replace(plat.Change) {}
func (nullSink) Apply(plat.Change)   {}
func (nullSink) Lost()               {}
func (nullSink) Regained()           {}

// TestNudges replays the start of a fleet, when engines come by the dozen and each process tells others of every change.
func TestNudges(t *testing.T) {
	var burst []time.Duration
	for i := range 30 {
		burst = append(burst, time.Duration(i)*100*time.Millisecond+50*time.Millisecond)
	}
	tests := []struct {
		name          string
		deaf          bool
		mostSnapshots int
		mostWatches   int
	}{
		{name: "watch hears the changes by itself", mostSnapshots: 1, mostWatches: 20},
		{name: "watch is deaf", deaf: true, mostSnapshots: 14, mostWatches: 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &slowSource{start: time.Now(), changes: burst, deaf: tt.deaf}
				f := &feed{
					name: "engines", wait: always(10 * time.Second), gather: always(leastGather), saw: func(int64) {},
					nudges: make(chan struct{}, 1), tried: make(chan struct{}), source: s, sink: nullSink{}, log: zerolog.Nop(), metrics: NewMetrics(),
				}
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan struct{})
				go func() { defer close(done); f.run(ctx) }()
				for i, at := range burst {
					time.Sleep(time.Until(s.start.Add(at + 2*time.Millisecond)))
					f.nudge(int64(i + 2)) // sooner than the own watch tells of it
				}
				time.Sleep(time.Second)
				cancel()
				<-done
				assert.Equal(t, f.version, units.Version(len(burst)+1))
				assert.Assert(t, s.snapshots <= tt.mostSnapshots, "%d snapshots", s.snapshots)
				assert.Assert(t, s.watches <= tt.mostWatches, "%d watches", s.watches)
			})
		})
	}
}

func TestGatherKeepsTheCallsOfAllProcessesBounded(t *testing.T) {
	for _, processes := range []int{1, 8, 66, 300, 960} {
		pause := gatherAmong(processes)
		calls := float64(processes) / pause.Seconds()
		assert.Assert(t, calls <= 1000, "%d processes make %.0f calls a second", processes, calls)
		assert.Assert(t, pause <= 2500*time.Millisecond/2, "%d processes wait %v", processes, pause)
	}
}
