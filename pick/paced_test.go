package pick_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/pace"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// pacedEngines returns engines of one role with a common group, whose peers have been measured. All but the first answer
// requests without a prompt in 200 ms and prompts as estimated; the first has just started.
func pacedEngines(role engine.Role, ids ...string) []*pick.Engine {
	var g pace.Group
	engines := make([]*pick.Engine, 0, len(ids))
	for _, id := range ids {
		e := newEngine(id, role)
		e.Slots = 12
		e.Compare(&g)
		engines = append(engines, e)
	}
	began := start.Add(-time.Second)
	prompt := []pick.Part{{ID: "x", Tokens: 4000}}
	for range 8 {
		for _, e := range engines[1:] {
			e.Begin(pick.PrefillTask{}, began).End(false, began.Add(200*time.Millisecond))
			w := e.Begin(pick.PrefillTask{Prompt: prompt, Uncached: 4000, Cost: 100 * time.Millisecond}, began)
			w.PrefillDone(began.Add(100 * time.Millisecond))
			w.End(false, began.Add(100*time.Millisecond))
		}
	}
	engines[0].StartPace(false, start)
	return engines
}

// TestEngineAtItsAllowanceGetsNoMore guards against requests to an engine that is held back while its peers have room.
func TestEngineAtItsAllowanceGetsNoMore(t *testing.T) {
	tests := []struct {
		name   string
		prompt []pick.Part
	}{
		{name: "plain"},
		{name: "prompt", prompt: []pick.Part{{ID: "p", Tokens: 300}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			engines := pacedEngines(engine.RoleDecode, "new", "old")
			for range 3 {
				engines[0].Begin(pick.PrefillTask{}, start)
			}
			for range 8 {
				engines[1].Begin(pick.PrefillTask{}, start)
			}
			assert.Equal(t, engines[0].Load(start).Allowance, 3)
			plan, ok := pick.Choose(pick.NewTable(engines), newRequest(tt.prompt...))
			assert.Assert(t, ok)
			assert.Equal(t, plan.Run.ID, units.EngineName("old"))
			source := newEngine("source", engine.RolePrefill)
			next, ok := pick.ChooseDecode(pick.NewTable(engines), source, newRequest(pick.Part{ID: "p", Tokens: 300}))
			assert.Assert(t, ok)
			assert.Equal(t, next.ID, units.EngineName("old"))
		})
	}
}

// TestHeldBackEnginesStillGetRequests guards against a service without an engine since all of them are held back, and
// against estimates that make a request be refused for it.
func TestHeldBackEnginesStillGetRequests(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		engines := pacedEngines(engine.RoleDecode, "a", "b", "c")
		for _, e := range engines {
			if rapid.Bool().Draw(rt, "excluded") {
				e.ExcludeUntil(start.Add(time.Second))
			} else {
				e.StartPace(false, start)
			}
			for range rapid.IntRange(0, 11).Draw(rt, "running") {
				e.Begin(pick.PrefillTask{}, start)
			}
		}
		r := newRequest()
		if rapid.Bool().Draw(rt, "prompt") {
			r.Prompt = []pick.Part{{ID: "p", Tokens: 300}}
		}
		plan, ok := pick.Choose(pick.NewTable(engines), r)
		assert.Assert(rt, ok)
		assert.Assert(rt, plan.TimeToFirstEvent < time.Second, "estimate is %v", plan.TimeToFirstEvent)
	})
}

// TestNewEngineOpensByItsAnswers guards against an engine that is held back though it prefills as its peers do, and one that
// is not held back though it is far slower, by the time to the first event and between two events.
func TestNewEngineOpensByItsAnswers(t *testing.T) {
	tests := []struct {
		name     string
		role     engine.Role
		slowness time.Duration
		held     bool
	}{
		{name: "prefills as its peers", role: engine.RolePrefill, slowness: 1},
		{name: "prefills slowly", role: engine.RolePrefill, slowness: 5, held: true},
		{name: "decodes as its peers", role: engine.RoleDecode, slowness: 1},
		{name: "decodes slowly", role: engine.RoleDecode, slowness: 5, held: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			engines := pacedEngines(tt.role, "new", "old", "older")
			now := start
			for range 20 {
				for i, e := range engines {
					slowness := time.Duration(1)
					if i == 0 {
						slowness = tt.slowness
					}
					if tt.role == engine.RolePrefill {
						task := pick.PrefillTask{Prompt: []pick.Part{{ID: "x", Tokens: 9000}}, Uncached: 9000}
						task.Cost = time.Duration(e.PrefillFactor() * float64(200*time.Millisecond))
						w := e.Begin(task, now)
						w.PrefillDone(now.Add(slowness * 200 * time.Millisecond))
						w.End(false, now.Add(slowness*200*time.Millisecond))
						continue
					}
					w := e.Begin(pick.PrefillTask{KVTokens: 9000}, now)
					for event := range 40 {
						w.Heard(now.Add(slowness * time.Duration(event) * 20 * time.Millisecond))
					}
					w.End(false, now.Add(slowness*800*time.Millisecond))
				}
				now = now.Add(200 * time.Millisecond)
			}
			_, held := engines[0].HeldBack()
			assert.Equal(t, held, tt.held)
			for _, e := range engines[1:] {
				_, held := e.HeldBack()
				assert.Assert(t, !held, "%s is held back", e.ID)
			}
		})
	}
}

// TestSlowCallersAreNoFaultOfTheEngine guards against an engine that counts as slow since its callers take their answers
// slowly, and one that counts as fast since it refuses.
func TestSlowCallersAreNoFaultOfTheEngine(t *testing.T) {
	engines := pacedEngines(engine.RoleDecode, "new", "old")
	e := engines[1]
	stream := func(gap, passing time.Duration) {
		w := e.Begin(pick.PrefillTask{}, start)
		for event := range 10 {
			w.Heard(start.Add(time.Duration(event) * gap))
			w.Passed(passing)
		}
		w.End(false, start.Add(10*gap))
	}
	for range 10 {
		stream(20*time.Millisecond, 0)
	}
	for range 40 {
		stream(400*time.Millisecond, 360*time.Millisecond)
	}
	_, held := e.HeldBack()
	assert.Assert(t, !held)
	for range 40 {
		w := engines[0].Begin(pick.PrefillTask{}, start)
		w.Discard()
		w.End(false, start.Add(3*time.Second))
	}
	_, held = engines[0].HeldBack()
	assert.Assert(t, held)
}

// TestPaceIsOffWithoutPeers checks after any sequence of events that engines without a group are never held back.
func TestPaceIsOffWithoutPeers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		e := newEngine("e", engine.RoleDecode)
		now := start
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			now = now.Add(100 * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(rt, "event") {
			case 0:
				e.StartPace(false, now)
			case 1:
				e.Reject(false, now)
			case 2:
				e.ExcludeUntil(now.Add(time.Second))
			case 3:
				e.AvoidUntil(now.Add(time.Second))
			case 4:
				e.SetPeerLoad(pick.PeerLoad{At: now, Allowance: 1})
			default:
				e.Begin(pick.PrefillTask{}, now).End(rapid.Bool().Draw(rt, "failed"), now)
			}
			e.SetReportedLoad(rapid.IntRange(0, 90).Draw(rt, "reported"), now)
			_, held := e.HeldBack()
			assert.Assert(rt, !held)
			assert.Equal(rt, e.Load(now).Allowance, 0)
			allowance, _ := e.OfferedAllowance(now)
			assert.Equal(rt, allowance, 0)
		}
	})
}

// TestEngineThatComesBackBeginsWithOneRequest guards against a full share of the work right after an exclusion.
func TestEngineThatComesBackBeginsWithOneRequest(t *testing.T) {
	tests := []struct {
		name   string
		before func(e *pick.Engine)
	}{
		{name: "failures", before: func(e *pick.Engine) {
			for range 2 {
				e.Begin(pick.PrefillTask{}, start).End(true, start)
			}
		}},
		{name: "refusals and mismatches", before: func(e *pick.Engine) {
			e.ExcludeUntil(start.Add(e.Backoff(pace.Refused)))
		}},
		{name: "not reached", before: func(e *pick.Engine) { e.AvoidUntil(start.Add(700 * time.Millisecond)) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := pacedEngines(engine.RoleDecode, "new", "old")[1]
			tt.before(e)
			later := start.Add(time.Second)
			assert.Assert(t, !e.Load(later).Excluded)
			assert.Equal(t, e.Load(later).Allowance, 1)
			held, _ := e.HeldBack()
			assert.Equal(t, held.Reason, pace.CameBack)
		})
	}
}

// TestKeeperDeterminesTheAllowance guards against processes of a large fleet that each go by the few answers they see.
func TestKeeperDeterminesTheAllowance(t *testing.T) {
	e := pacedEngines(engine.RoleDecode, "new", "old")[0]
	assert.Equal(t, e.Load(start).Allowance, 3)
	e.SetPeerLoad(pick.PeerLoad{At: start, Allowance: 5})
	assert.Equal(t, e.Load(start).Allowance, 5)
	assert.Equal(t, e.Load(start.Add(time.Second)).Allowance, 3, "an old word still counts")
	e.SetPeerLoad(pick.PeerLoad{At: start})
	assert.Equal(t, e.Load(start).Allowance, 3, "an earlier version says nothing of it")
	e.SetPeerLoad(pick.PeerLoad{At: start, Allowance: pick.OpenAllowance})
	assert.Equal(t, e.Load(start).Allowance, 0)
	assert.Equal(t, e.Load(start.Add(time.Minute)).Allowance, 0, "the engine is open from then on")
	e.ExcludeUntil(start.Add(time.Second))
	e.SetPeerLoad(pick.PeerLoad{At: start, Allowance: pick.OpenAllowance})
	assert.Equal(t, e.Load(start).Allowance, 1, "what the process has met itself counts")
	later := start.Add(4 * time.Second)
	e.SetPeerLoad(pick.PeerLoad{At: later, Allowance: 7})
	assert.Equal(t, e.Load(later).Allowance, 7, "a process that sees few answers holds the engine back for long")
	e.SetPeerLoad(pick.PeerLoad{At: later, Allowance: pick.OpenAllowance})
	_, held := e.HeldBack()
	assert.Assert(t, !held)
}
