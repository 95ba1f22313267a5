package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/fault"
)

func TestDecideRetry(t *testing.T) {
	notRun := fault.Unavailable(fault.CodeUpstreamRefused, 0, "refused")
	mayHaveRun := fault.New(fault.MayHaveRun, fault.CodeUpstreamDied, 502, "died")
	base := retryState{err: notRun, timeLeft: time.Second, maxRuns: 1, sends: 1}
	tests := []struct {
		name   string
		change func(s *retryState)
		retry  bool
	}{
		{name: "refused", change: func(*retryState) {}, retry: true},
		{name: "caller disconnected", change: func(s *retryState) { s.canceled = true }},
		{name: "too little time left", change: func(s *retryState) { s.timeLeft = 10 * time.Millisecond }},
		{name: "too many sends", change: func(s *retryState) { s.sends = maxSends }},
		{name: "no engine left", change: func(s *retryState) { s.noEngine = true }},
		{name: "stranded", change: func(s *retryState) { s.stranded = true }},
		{name: "retry budget exhausted", change: func(s *retryState) { s.retryDenied = true }},
		{name: "may have run, not repeatable", change: func(s *retryState) {
			s.err, s.possibleRuns, s.maxRuns = mayHaveRun, 1, 3
		}},
		{name: "may have run, repeatable", change: func(s *retryState) {
			s.err, s.possibleRuns, s.maxRuns, s.repeatable = mayHaveRun, 1, 2, true
		}, retry: true},
		{name: "ran as often as allowed", change: func(s *retryState) {
			s.err, s.possibleRuns, s.maxRuns, s.repeatable = mayHaveRun, 2, 2, true
		}},
		{name: "answer started and resumable", change: func(s *retryState) {
			s.err, s.possibleRuns, s.maxRuns, s.repeatable, s.resumable, s.answerStarted, s.lastEventID =
				mayHaveRun, 1, 2, true, true, true, "7"
		}, retry: true},
		{name: "answer started without an event", change: func(s *retryState) {
			s.err, s.possibleRuns, s.maxRuns, s.repeatable, s.resumable, s.answerStarted = mayHaveRun, 1, 2, true, true, true
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := base
			tt.change(&s)
			assert.Equal(t, decideRetry(s).retry, tt.retry, decideRetry(s).reason)
		})
	}
}

func TestRetryAfterIsSpreadAndBounded(t *testing.T) {
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

func TestBudgetSlidesWithItsWindow(t *testing.T) {
	share := RetryBudget{Ratio: 0.2, Slack: 1, Window: 10 * time.Second}
	b := &budget{}
	now := time.Unix(100, 0)
	for range 10 {
		b.addRequest(share, now)
	}
	taken := 0
	for range 20 {
		if b.take(share, now) {
			taken++
		}
	}
	assert.Equal(t, taken, 3)
	assert.Assert(t, !b.take(share, now.Add(9*time.Second)))
	b.refund()
	assert.Assert(t, b.take(share, now.Add(9*time.Second)))
	assert.Assert(t, b.take(share, now.Add(20*time.Second)), "the slack is available in each window")
}
