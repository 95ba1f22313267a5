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
	os.Exit(fakes.FixedCourses(m, 0))
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

// TestSteadyMixEndsChanges applies decisions on one demand until there are none. Their number is bounded by the
// engines, and no role becomes empty.
func TestSteadyMixEndsChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawState(rt)
		p := testPolicy(rt)
		before := CountSplit(s.Engines)
		for changes := 0; ; changes++ {
			assert.Assert(rt, changes <= len(s.Engines), "still changing after %d changes", changes)
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
			assert.Assert(rt, before.Prefill == 0 || after.Prefill > 0, "no engine prefills")
			assert.Assert(rt, before.Decode == 0 || after.Decode > 0, "no engine decodes")
		}
	})
}

// TestNoChangeOnBadReports decides on frozen reports, with an engine away, and right after a change.
func TestNoChangeOnBadReports(t *testing.T) {
	tests := []struct {
		name   string
		spoil  func(s *State)
		wanted bool
	}{
		{"good reports", func(*State) {}, true},
		{"frozen reports", func(s *State) {
			for i := range s.Engines {
				s.Engines[i].Fresh = i%2 == 0
			}
		}, false},
		{"an engine is away", func(s *State) { s.Engines[3].Away = true }, false},
		{"right after a change", func(s *State) { s.LastChange = s.Now.Add(-time.Second) }, false},
		{"averages contradict each other", func(s *State) { s.Slow = Demand{Input: 1, Output: 30_000, Requests: 100} }, false},
		{"a short swing", func(s *State) { s.Slow = Demand{Input: 9000, Output: 1000, Requests: 100} }, false},
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
			tt.spoil(&s)
			move, ok := Goodput{Settings: DefaultSettings(9000, 1000, 0)}.Decide(s)
			assert.Equal(t, ok, tt.wanted, "%v", move)
		})
	}
}

func TestWithdrawnEngineDoesNotCount(t *testing.T) {
	s := State{Now: time.Unix(1_000_000, 0), Fast: Demand{Input: 1, Output: 20_000, Requests: 100}}
	s.Slow = s.Fast
	for i, role := range []engine.Role{engine.RolePrefill, engine.RolePrefill, engine.RoleDecode} {
		s.Engines = append(s.Engines, Engine{Name: units.EngineName(fmt.Sprint(i)), Role: role, Fresh: true})
	}
	s.Engines[0].Gone = true
	_, ok := Goodput{Settings: DefaultSettings(9000, 1000, 0)}.Decide(s)
	assert.Assert(t, !ok, "the last prefilling engine must stay")
}
