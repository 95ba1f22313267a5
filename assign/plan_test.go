package assign_test

import (
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntrack/buckthorntrack/assign"
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/units"
)

func TestMain(m *testing.M) {
	os.Exit(fakes.RunWithFixedSeed(m, 0))
}

func fleet(perRegion, prefill int) []assign.Engine {
	var engines []assign.Engine
	for _, region := range []units.RegionName{"a", "b", "c"} {
		for i := range perRegion {
			role := engine.RoleDecode
			if i < prefill {
				role = engine.RolePrefill
			}
			engines = append(engines, assign.Engine{
				ID: units.EngineName(fmt.Sprintf("%s%d", region, i)), Region: region, Role: role,
			})
		}
	}
	return engines
}

func TestPlanReachesEvenSplitAndStops(t *testing.T) {
	engines := fleet(6, 1)
	settings := assign.Settings{PrefillFraction: 0.5, MaxChangingFraction: 0.34, Slack: 1}
	for round := 0; ; round++ {
		assert.Assert(t, round < 10, "plan still moves engines after 10 rounds")
		moves := assign.Plan(append([]assign.Engine(nil), engines...), settings)
		if len(moves) == 0 {
			break
		}
		assert.Assert(t, len(moves) <= 6)
		for _, move := range moves {
			for i := range engines {
				if engines[i].ID == move.Engine {
					engines[i].Role = move.To
				}
			}
		}
	}
	prefill := map[units.RegionName]int{}
	for _, e := range engines {
		if e.Role == engine.RolePrefill {
			prefill[e.Region]++
		}
	}
	assert.DeepEqual(t, prefill, map[units.RegionName]int{"a": 3, "b": 3, "c": 3})
}

func TestPlanMovesNothing(t *testing.T) {
	settings := assign.Settings{PrefillFraction: 0.5, MaxChangingFraction: 0.34, Slack: 1}
	tests := []struct {
		name    string
		engines []assign.Engine
	}{
		{name: "roles match the target", engines: fleet(6, 3)},
		{name: "one engine", engines: fleet(6, 3)[:1]},
		{name: "surplus within the slack", engines: append(fleet(6, 3), assign.Engine{
			ID: "x", Region: "a", Role: engine.RolePrefill,
		})},
		{name: "limit of unavailable engines is reached", engines: func() []assign.Engine {
			engines := fleet(6, 0)
			for i := range 6 {
				engines[i].Unavailable = true
			}
			return engines
		}()},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, len(assign.Plan(tt.engines, settings)), 0)
		})
	}
}

func TestPlanKeepsLastEngineOfARole(t *testing.T) {
	engines := []assign.Engine{{ID: "a", Role: engine.RoleDecode}, {ID: "b", Role: engine.RoleDecode}}
	moves := assign.Plan(engines, assign.Settings{PrefillFraction: 1, MaxChangingFraction: 1})
	assert.Equal(t, len(moves), 1)
}

// TestPlanIsBounded checks for any fleet that at most the allowed number of engines is unavailable at once, and that
// each role keeps an engine.
func TestPlanIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var engines []assign.Engine
		unavailable := 0
		for i := range rapid.IntRange(0, 20).Draw(rt, "engines") {
			e := assign.Engine{
				ID:          units.EngineName(fmt.Sprint(i)),
				Region:      units.RegionName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "region")),
				Role:        rapid.SampledFrom([]engine.Role{engine.RolePrefill, engine.RoleDecode}).Draw(rt, "role"),
				Running:     rapid.IntRange(0, 50).Draw(rt, "running"),
				Unavailable: rapid.IntRange(0, 3).Draw(rt, "unavailable") == 0,
			}
			if e.Unavailable {
				unavailable++
			}
			engines = append(engines, e)
		}
		settings := assign.Settings{
			PrefillFraction:     rapid.Float64Range(0, 1).Draw(rt, "prefill"),
			MaxChangingFraction: rapid.Float64Range(0, 1).Draw(rt, "maxChanging"),
			Slack:               rapid.IntRange(0, 2).Draw(rt, "slack"),
		}
		before := append([]assign.Engine(nil), engines...)
		moves := assign.Plan(engines, settings)
		limit := max(int(settings.MaxChangingFraction*float64(len(before))), 1)
		assert.Assert(rt, len(moves) == 0 || unavailable+len(moves) <= limit)
		roles := map[units.EngineName]engine.Role{}
		for _, e := range before {
			roles[e.ID] = e.Role
		}
		for _, m := range moves {
			assert.Assert(rt, roles[m.Engine] != m.To)
			roles[m.Engine] = m.To
		}
		remaining := map[engine.Role]int{}
		for _, role := range roles {
			remaining[role]++
		}
		if len(moves) > 0 {
			assert.Assert(rt, remaining[engine.RolePrefill] > 0 && remaining[engine.RoleDecode] > 0)
		}
	})
}
