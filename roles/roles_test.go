package roles

import (
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/units"
)

func TestMain(m *testing.M) {
	os.Exit(fakes.RunWithFixedSeed(m, 0))
}

func drawState(rt *rapid.T) State {
	s := State{Now: time.Unix(1_000_000, 0)}
	s.Fast = Demand{
		Input:    rapid.Float64Range(0, 300_000).Draw(rt, "input"),
		Output:   rapid.Float64Range(0, 40_000).Draw(rt, "output"),
		Requests: rapid.Float64Range(0, 500).Draw(rt, "requests"),
	}
	s.Slow = s.Fast
	all := []engine.Role{engine.RoleMixed, engine.RolePrefill, engine.RoleDecode}
	for i := range rapid.IntRange(1, 18).Draw(rt, "engines") {
		s.Engines = append(s.Engines, Engine{
			Name: units.EngineName(fmt.Sprintf("e%d", i)), Role: rapid.SampledFrom(all).Draw(rt, "role"),
			Running: rapid.IntRange(0, 16).Draw(rt, "running"), Fresh: true,
		})
	}
	return s
}

func testPolicy(rt *rapid.T) Goodput {
	return Goodput{Settings: DefaultSettings(9000, 1000, rapid.SampledFrom([]float64{0, 150, 1000}).Draw(rt, "weight"))}
}

// TestChangesEndUnderSteadyDemand applies decisions under constant demand until there are none. It guards against a
// policy that oscillates between splits: there are at most as many changes as engines, and no role loses its last
// engine.
func TestChangesEndUnderSteadyDemand(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawState(rt)
		p := testPolicy(rt)
		before := CountSplit(s.Engines)
		for changes := 0; ; changes++ {
			assert.Assert(rt, changes <= len(s.Engines), "policy still changes roles after %d changes", changes)
			move, ok := p.Decide(s)
			if !ok {
				return
			}
			for i := range s.Engines {
				if s.Engines[i].Name == move.Engine {
					assert.Equal(rt, s.Engines[i].Role, move.From)
					s.Engines[i].Role = move.To
				}
			}
			after := CountSplit(s.Engines)
			assert.Assert(rt, before.Prefill == 0 || after.Prefill > 0, "no prefill engine is left")
			assert.Assert(rt, before.Decode == 0 || after.Decode > 0, "no decoding engine is left")
		}
	})
}

// TestNoChangeInUnfitState checks that the policy changes nothing on stale reports, during or right after a change, or
// if the averages of demand disagree. The first case shows that the same state without these faults leads to a change.
func TestNoChangeInUnfitState(t *testing.T) {
	tests := []struct {
		name   string
		modify func(s *State)
		wanted bool
	}{
		{"recent reports", func(*State) {}, true},
		{"stale reports", func(s *State) {
			for i := range s.Engines {
				s.Engines[i].Fresh = i%2 == 0
			}
		}, false},
		{"an engine changes its role", func(s *State) { s.Engines[3].Changing = true }, false},
		{"right after a change", func(s *State) { s.LastChange = s.Now.Add(-time.Second) }, false},
		{"averages require opposite changes", func(s *State) {
			s.Slow = Demand{Input: 1, Output: 30_000, Requests: 100}
		}, false},
		{"short swing of demand", func(s *State) { s.Slow = Demand{Input: 9000, Output: 1000, Requests: 100} }, false},
		{"no demand", func(s *State) { s.Fast = Demand{}; s.Slow = Demand{} }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := State{Now: time.Unix(1_000_000, 0), Fast: Demand{Input: 90_000, Output: 2000, Requests: 100}}
			s.Slow = s.Fast
			for i := range 8 {
				role := engine.RoleDecode
				if i < 2 {
					role = engine.RolePrefill
				}
				s.Engines = append(s.Engines, Engine{Name: units.EngineName(fmt.Sprint(i)), Role: role, Fresh: true})
			}
			tt.modify(&s)
			move, ok := Goodput{Settings: DefaultSettings(9000, 1000, 0)}.Decide(s)
			assert.Equal(t, ok, tt.wanted, "move is %v", move)
		})
	}
}

func TestDrainedEngineDoesNotCount(t *testing.T) {
	s := State{Now: time.Unix(1_000_000, 0), Fast: Demand{Input: 1, Output: 20_000, Requests: 100}}
	s.Slow = s.Fast
	for i, role := range []engine.Role{engine.RolePrefill, engine.RolePrefill, engine.RoleDecode} {
		s.Engines = append(s.Engines, Engine{Name: units.EngineName(fmt.Sprint(i)), Role: role, Fresh: true})
	}
	s.Engines[0].Withdrawn = true
	_, ok := Goodput{Settings: DefaultSettings(9000, 1000, 0)}.Decide(s)
	assert.Assert(t, !ok, "last prefill engine must keep its role")
}
