package assign_test

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntrack/buckthorntrack/assign"
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// TestNewEnginesGetRolesWithFewOrders guards against more changes of role than new engines with random roles need, against
// regions that have a split of their own, and against plans that never come to an end.
func TestNewEnginesGetRolesWithFewOrders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		regions := rapid.IntRange(1, 3).Draw(rt, "regions")
		perRegion := rapid.IntRange(8, 30).Draw(rt, "engines")
		share := rapid.Float64Range(0, 1).Draw(rt, "share")
		split := rapid.Float64Range(0.3, 0.7).Draw(rt, "split")
		var engines []assign.Engine
		needed := 0.0
		for r := range regions {
			prefill := 0
			for n := range perRegion {
				e := assign.Engine{
					ID: units.EngineName(fmt.Sprint(r, "-", n)), Region: units.RegionName(fmt.Sprint(r)), Role: engine.RoleDecode,
				}
				if rapid.Float64Range(0, 1).Draw(rt, "role") < share {
					e.Role = engine.RolePrefill
					prefill++
				}
				engines = append(engines, e)
			}
			needed += math.Abs(float64(prefill) - split*float64(perRegion))
		}
		settings := assign.Settings{PrefillFraction: split, MaxChangingFraction: 0.34, Slack: 1, Regional: true}
		orders := 0
		for round := 0; ; round++ {
			assert.Assert(rt, round < 20, "plan still moves engines after 20 rounds")
			moves := assign.Plan(append([]assign.Engine(nil), engines...), settings)
			if len(moves) == 0 {
				break
			}
			orders += len(moves)
			for _, move := range moves {
				for i := range engines {
					if engines[i].ID == move.Engine {
						engines[i].Role = move.To
					}
				}
			}
		}
		assert.Assert(rt, float64(orders) <= needed+float64(regions), "%d orders where %.1f engines deviate", orders, needed)
		for r := range regions {
			prefill := 0
			for _, e := range engines {
				if e.Region == units.RegionName(fmt.Sprint(r)) && e.Role == engine.RolePrefill {
					prefill++
				}
			}
			deviation := math.Abs(float64(prefill) - split*float64(perRegion))
			assert.Assert(rt, deviation <= 0.1*float64(perRegion)+1.01, "region %d has %d of %d, split %.2f", r, prefill, perRegion, split)
		}
	})
}
