package pick_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// TestLongAnswersAvoidEnginesThatWouldMissTheirDeadline guards against streams that are cut off by their deadline on engines which
// take 2.6 times as long for an event as others.
func TestLongAnswersAvoidEnginesThatWouldMissTheirDeadline(t *testing.T) {
	tests := []struct {
		name     string
		output   units.Tokens
		timeLeft time.Duration
		expected units.EngineName
	}{
		{name: "longest answer outlasts the deadline on the slow engine", output: 946, timeLeft: 8 * time.Second, expected: "fast"},
		{name: "longest answer is in time on both", output: 88, timeLeft: 2500 * time.Millisecond, expected: "slow"},
		{name: "little time is left", output: 88, timeLeft: 700 * time.Millisecond, expected: "fast"},
		{name: "no deadline", output: 946, expected: "slow"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			slow, fast := newEngine("slow", engine.RoleDecode), newEngine("fast", engine.RoleDecode)
			for range 20 {
				slow.ObserveEventTime(105 * time.Millisecond)
				fast.ObserveEventTime(38 * time.Millisecond)
			}
			for range 3 {
				fast.Begin(pick.PrefillTask{}, start) // the slow engine is the less busy one
			}
			r := newRequest(pick.Part{ID: "p", Tokens: 600})
			r.Output, r.TimeLeft, r.Memory.EventTokens = tt.output, tt.timeLeft, 11
			plan, ok := pick.Choose(pick.NewTable([]*pick.Engine{slow, fast}), r)
			assert.Assert(t, ok)
			assert.Equal(t, plan.Run.ID, tt.expected)
		})
	}
}

// TestEventTimeFollowsTheKeeper guards against processes that judge an engine by the few streams that they have seen themselves.
func TestEventTimeFollowsTheKeeper(t *testing.T) {
	e := newEngine("e", engine.RoleDecode)
	assert.Equal(t, e.Load(start).EventTime, time.Duration(0))
	e.ObserveEventTime(40 * time.Millisecond)
	assert.Equal(t, e.Load(start).EventTime, 40*time.Millisecond)
	e.SetPeerLoad(pick.PeerLoad{At: start, EventTime: 100 * time.Millisecond})
	assert.Equal(t, e.Load(start).EventTime, 100*time.Millisecond)
	assert.Equal(t, e.LocalLoad(start).EventTime, 40*time.Millisecond)
}
