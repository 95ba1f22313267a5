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

// TestExplanationAgreesWithTheChoice guards against an explanation in which another engine than the chosen one ranks first, and
// one that leaves out an engine.
func TestExplanationAgreesWithTheChoice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var engines []*pick.Engine
		r := newRequest()
		r.Seed = rapid.Uint64().Draw(rt, "seed")
		for i := range rapid.IntRange(0, 60).Draw(rt, "engines") {
			role := rapid.SampledFrom([]engine.Role{engine.RolePrefill, engine.RoleDecode, engine.RoleMixed}).Draw(rt, "role")
			e := newEngine(string(rune('A'+i)), role)
			e.Region = units.RegionName(rapid.SampledFrom([]string{"one", "two"}).Draw(rt, "region"))
			e.Leaving = rapid.IntRange(0, 5).Draw(rt, "leaving") == 0
			if rapid.IntRange(0, 5).Draw(rt, "excluded") == 0 {
				e.ExcludeUntil(start.Add(time.Second))
			}
			for range rapid.IntRange(0, 6).Draw(rt, "load") {
				e.Begin(pick.PrefillTask{Prompt: []pick.Part{{ID: "x"}}, Uncached: 2000, Cost: 40 * time.Millisecond}, start)
			}
			engines = append(engines, e)
		}
		if rapid.Bool().Draw(rt, "prompt") {
			r.Prompt = []pick.Part{
				{ID: "s", Tokens: 500}, {ID: "o", Tokens: units.Tokens(rapid.IntRange(1, 40000).Draw(rt, "tokens"))},
			}
		}
		table := pick.NewTable(engines)
		want, wantOK := pick.Choose(table, r)
		options, plan, ok := pick.Explain(table, r)
		assert.Equal(rt, ok, wantOK)
		assert.Equal(rt, plan.Run, want.Run)
		assert.Equal(rt, plan.Prefill, want.Prefill)
		assert.Equal(rt, len(options), len(engines))
		if !ok {
			return
		}
		least, chosen := time.Duration(1<<62), time.Duration(-1)
		for _, o := range options {
			if o.HasPlan {
				least = min(least, o.Ranking)
			}
			if o.Engine == plan.Run {
				assert.Assert(rt, o.Compared && !o.IsLeaving)
				chosen = o.Ranking
				if len(r.Prompt) > 0 {
					assert.Equal(rt, o.Estimate, plan.TimeToFirstEvent)
					assert.Equal(rt, o.Transfer > 0, plan.Prefill != nil)
				}
			}
		}
		if len(r.Prompt) > 0 {
			assert.Equal(rt, chosen, least)
		}
	})
}
