package carry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/fault"
)

func TestDecide(t *testing.T) {
	notRun := fault.Unavailable(fault.CodeUpstreamRefused, 0, "refused")
	mayHaveRun := fault.New(fault.MayHaveRun, fault.CodeUpstreamDied, 502, "died")
	base := state{err: notRun, left: time.Second, attempts: 1, sends: 1}
	tests := []struct {
		name   string
		change func(s *state)
		again  bool
	}{
		{name: "refused", change: func(*state) {}, again: true},
		{name: "caller has left", change: func(s *state) { s.canceled = true }},
		{name: "no time left", change: func(s *state) { s.left = 10 * time.Millisecond }},
		{name: "sent too often", change: func(s *state) { s.sends = maxSends }},
		{name: "no engine left", change: func(s *state) { s.unplaced = true }},
		{name: "allowance used up", change: func(s *state) { s.denied = true }},
		{name: "may have run, once", change: func(s *state) { s.err, s.ran, s.attempts = mayHaveRun, 1, 3 }},
		{name: "may have run, repeatable", change: func(s *state) { s.err, s.ran, s.attempts, s.repeatable = mayHaveRun, 1, 2, true }, again: true},
		{name: "ran as often as allowed", change: func(s *state) { s.err, s.ran, s.attempts, s.repeatable = mayHaveRun, 2, 2, true }},
		{name: "begun and resumable", change: func(s *state) {
			s.err, s.ran, s.attempts, s.repeatable, s.resumable, s.begun, s.lastID = mayHaveRun, 1, 2, true, true, true, "7"
		}, again: true},
		{name: "begun without an event", change: func(s *state) {
			s.err, s.ran, s.attempts, s.repeatable, s.resumable, s.begun = mayHaveRun, 1, 2, true, true, true
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := base
			tt.change(&s)
			assert.Equal(t, decide(s).again, tt.again, decide(s).reason)
		})
	}
}

func TestReturnsAreSpreadAndInTime(t *testing.T) {
	for _, left := range []time.Duration{100 * time.Millisecond, time.Second, 10 * time.Second} {
		seen := map[time.Duration]bool{}
		for range 50 {
			after := retryAfter(left)
			assert.Assert(t, after > 0 && after <= left/3, "%v of %v", after, left)
			seen[after] = true
		}
		assert.Assert(t, left < 4*time.Second || len(seen) > 10)
	}
}

func TestAllowanceCountsInAWindow(t *testing.T) {
	a := Allowance{Ratio: 0.2, Slack: 1, Window: 10 * time.Second}
	b := &budget{}
	now := time.Unix(100, 0)
	for range 10 {
		b.request(a, now)
	}
	taken := 0
	for range 20 {
		if b.take(a, now) {
			taken++
		}
	}
	assert.Equal(t, taken, 3)
	assert.Assert(t, !b.take(a, now.Add(9*time.Second)))
	b.refund()
	assert.Assert(t, b.take(a, now.Add(9*time.Second)))
	assert.Assert(t, b.take(a, now.Add(20*time.Second)), "the slack is there in each window")
}
