package pick_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// TestLimitBoundsRequests draws arrivals at an engine with a limit, and checks that in each window it gets at most what
// the limit allows, one second's worth more and one request, and that it is idle only without a request to send.
func TestLimitBoundsRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.2, 50).Draw(t, "limit")
		e := pick.NewEngine(pick.Entry{ID: "e", Service: "s"})
		now := time.Unix(100, 0)
		e.SetNamedLimit(units.PerSecond(limit), now, now)
		table := pick.NewTable([]*pick.Engine{e})
		var sent []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "attempts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			wait := table.PermitWait(now)
			_, found := pick.Choose(table, pick.Request{Now: now})
			assert.Equal(t, found, wait == 0)
			if found {
				e.Begin(pick.PrefillTask{}, now).End(false, now)
				sent = append(sent, now)
			}
		}
		for i := range sent {
			for j := i; j < len(sent); j++ {
				allowed := limit*(sent[j].Sub(sent[i]).Seconds()+1) + 1
				assert.Assert(t, float64(j-i+1) <= allowed+1e-6, "%d requests in %v", j-i+1, sent[j].Sub(sent[i]))
			}
		}
	})
}

// TestLimitIsSharedAndEnds checks which answers of an engine, and which words of other processes, begin and end a limit.
func TestLimitIsSharedAndEnds(t *testing.T) {
	start := time.Unix(100, 0)
	tests := []struct {
		name    string
		change  func(e *pick.Engine, now time.Time)
		after   time.Duration
		limited bool
	}{
		{name: "named", change: func(*pick.Engine, time.Time) {}, limited: true},
		{name: "named long ago", change: func(*pick.Engine, time.Time) {}, after: 2 * time.Minute},
		{
			name:  "an answer without it to an earlier request",
			after: 10 * time.Second, limited: true,
			change: func(e *pick.Engine, now time.Time) { e.SetNamedLimit(0, start, now) },
		},
		{
			name: "an answer without it to a later request", after: 10 * time.Second,
			change: func(e *pick.Engine, now time.Time) { e.SetNamedLimit(0, now, now) },
		},
		{
			name: "another process heard of its end", after: 10 * time.Second,
			change: func(e *pick.Engine, now time.Time) { e.SetPeerLimit(0, now) },
		},
		{
			name: "another process heard of its end, this one of the limit since", after: 10 * time.Second, limited: true,
			change: func(e *pick.Engine, now time.Time) {
				e.SetNamedLimit(1, now, now)
				e.SetPeerLimit(0, now)
			},
		},
		{
			name: "the process that counts the requests knows of none", after: time.Second, limited: true,
			change: func(e *pick.Engine, now time.Time) { e.SetPermits(0, 0, now) },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := pick.NewEngine(pick.Entry{ID: "e", Service: "s"})
			e.SetNamedLimit(1, start, start)
			now := start.Add(tt.after)
			tt.change(e, now)
			for range 3 {
				e.Begin(pick.PrefillTask{}, now)
			}
			assert.Equal(t, !e.HasPermit(now), tt.limited)
		})
	}
}

// TestPermitsOfTheCountingProcessHold checks that a process goes by the permits of the one that counts all requests.
func TestPermitsOfTheCountingProcessHold(t *testing.T) {
	now := time.Unix(100, 0)
	e := pick.NewEngine(pick.Entry{ID: "e", Service: "s", Role: engine.RoleDecode})
	e.SetPermits(2, -1, now)
	assert.Assert(t, !e.HasPermit(now))
	assert.Assert(t, !e.HasPermit(now.Add(900*time.Millisecond)))
	assert.Assert(t, e.HasPermit(now.Add(1100*time.Millisecond)))
	e.SetPermits(2, 1.5, now)
	assert.Assert(t, e.HasPermit(now))
}

// TestReadingLoadGivesNoPermits checks that a look at the load by another clock, such as that of leases, which goes on while
// the VM is suspended, does not fill the permits up.
func TestReadingLoadGivesNoPermits(t *testing.T) {
	now := time.Unix(100, 0)
	e := pick.NewEngine(pick.Entry{ID: "e", Service: "s"})
	e.SetNamedLimit(5, now, now)
	for range 3 {
		e.Begin(pick.PrefillTask{}, now)
	}
	for _, other := range []time.Duration{time.Hour, -time.Hour, time.Hour} {
		e.Load(now.Add(other))
		e.Permits(now.Add(other))
	}
	_, permits := e.Permits(now)
	assert.Equal(t, permits, -2.0)
	assert.Assert(t, !e.HasPermit(now))
}
