package mirror

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// answerTime is the response time of the platform.
const answerTime = 5 * time.Millisecond

// fakeSource is a platform with changes at set times. If it is stale, its watches miss all changes.
type fakeSource struct {
	start   time.Time
	changes []time.Duration // after start, each increases the version by one
	stale   bool

	snapshots, watches int
}

func (s *fakeSource) newest() units.Version {
	version := units.Version(1)
	for _, at := range s.changes {
		if time.Since(s.start) >= at {
			version++
		}
	}
	return version
}

// Snapshot implements source.
func (s *fakeSource) Snapshot(context.Context, string) (objapi.Change, error) {
	s.snapshots++
	return objapi.Change{Version: s.newest()}, nil
}

// WatchFor implements source.
func (s *fakeSource) WatchFor(
	ctx context.Context, _ string, from units.Version, timeout time.Duration,
) (objapi.Change, error) {
	s.watches++
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); {
		select {
		case <-ctx.Done():
			return objapi.Change{}, ctx.Err()
		case <-time.After(answerTime):
		}
		if newest := s.newest(); newest > from && !s.stale {
			return objapi.Change{Version: newest, Newest: newest, Objects: []objapi.Object{{Key: "changed"}}}, nil
		}
	}
	return objapi.Change{Version: from}, nil
}

type discardSink struct{}

func (discardSink) Replace(objapi.Change) {}
func (discardSink) Apply(objapi.Change)   {}
func (discardSink) SetOutage(Outage)      {}

type discardObserver struct{}

func (discardObserver) FeedFailed(string)    {}
func (discardObserver) FeedSucceeded(string) {}

// TestVersionsOfPeers guards against needless snapshots when other processes announce versions before the local watch
// returns them, as at the start of a fleet with many new engines, and against missed changes when watches are stale.
func TestVersionsOfPeers(t *testing.T) {
	var burst []time.Duration
	for i := range 30 {
		burst = append(burst, time.Duration(i)*100*time.Millisecond+50*time.Millisecond)
	}
	tests := []struct {
		name         string
		stale        bool
		maxSnapshots int
		maxWatches   int
	}{
		{name: "watch returns the changes", maxSnapshots: 1, maxWatches: 20},
		{name: "watch misses the changes", stale: true, maxSnapshots: 14, maxWatches: 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeSource{start: time.Now(), changes: burst, stale: tt.stale}
				m, stop := New(Options{
					Platform: s, Present: func() []Member { return nil }, Announce: func(string, int64) {}, Clock: time.Now, BootTime: time.Now, Log: zerolog.Nop(),
					Observer: discardObserver{},
					Feeds:    []Feed{{Name: "engines", Sink: discardSink{}, WatchTimeout: 10 * time.Second, FirstWatchTimeout: 10 * time.Second}},
				})
				defer stop()
				f := m.feeds[0]
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan struct{})
				go func() { defer close(done); f.read(ctx, false) }()
				for i, at := range burst {
					time.Sleep(time.Until(s.start.Add(at + 2*time.Millisecond)))
					f.notifyNewer(int64(i + 2)) // before the watch returns the change
				}
				time.Sleep(time.Second)
				cancel()
				<-done
				assert.Equal(t, f.version, units.Version(len(burst)+1))
				assert.Assert(t, s.snapshots <= tt.maxSnapshots, "%d snapshots", s.snapshots)
				assert.Assert(t, s.watches <= tt.maxWatches, "%d watches", s.watches)
			})
		})
	}
}
