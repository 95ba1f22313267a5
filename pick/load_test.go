package pick_test

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
)

func TestMain(m *testing.M) {
	os.Exit(fakes.RunWithFixedSeed(m, 0))
}

// TestLoadMatchesOpenWork checks after each event that the load is the sum over the open requests, in any order of
// events. A missed event would leave load on an idle engine.
func TestLoadMatchesOpenWork(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		e := newEngine("e", engine.RoleDecode)
		now := start
		type openRequest struct {
			work      *pick.Work
			prefilled bool
			pick.PrefillTask
		}
		var requests []*openRequest
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms")) * time.Millisecond)
			action := rapid.IntRange(0, 2).Draw(rt, "action")
			if action == 0 || len(requests) == 0 {
				task := pick.PrefillTask{
					KVTokens: units.Tokens(rapid.IntRange(0, 9000).Draw(rt, "kvTokens")),
					Urgency:  pick.Urgency(rapid.IntRange(-1, 11).Draw(rt, "urgency")),
				}
				if rapid.Bool().Draw(rt, "prompt") {
					task.Prompt = []pick.Part{{ID: "p", Tokens: 10}}
					task.Uncached = units.Tokens(rapid.IntRange(1, 9000).Draw(rt, "uncached"))
					task.Cost = time.Duration(task.Uncached) * 20 * time.Microsecond
				}
				requests = append(requests, &openRequest{work: e.Begin(task, now), PrefillTask: task})
			} else {
				i := rapid.IntRange(0, len(requests)-1).Draw(rt, "work")
				r := requests[i]
				if action == 1 {
					r.work.PrefillDone(now)
					r.prefilled = true
				} else {
					r.work.End(rapid.Bool().Draw(rt, "failed"), now)
					requests = append(requests[:i], requests[i+1:]...)
				}
			}
			var pending, kvTokens units.Tokens
			var ahead [10]time.Duration // upper bound of the wait, by urgency
			for _, r := range requests {
				kvTokens += r.KVTokens
				if r.prefilled {
					continue
				}
				pending += r.Uncached
				for u := min(max(int(r.Urgency), 0), len(ahead)-1); u < len(ahead); u++ {
					ahead[u] += r.Cost
				}
			}
			l := e.LocalLoad(now)
			assert.Equal(rt, l.Running, len(requests))
			assert.Equal(rt, l.KVTokens, kvTokens)
			assert.Equal(rt, l.Pending, pending)
			for u, wait := range l.Wait {
				assert.Assert(rt, wait >= 0 && wait <= ahead[u], "wait at urgency %d is %v, bound %v", u, wait, ahead[u])
			}
			if pending == 0 {
				assert.Equal(rt, l.TotalWait(), time.Duration(0))
			}
			assert.Assert(rt, e.PrefillFactor() > 0)
		}
	})
}

// TestChosenEnginesAreEligible checks that plans use no engine that is leaving, was tried before or has the wrong role.
func TestChosenEnginesAreEligible(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var engines []*pick.Engine
		usable := map[engine.Role]int{}
		r := newRequest()
		for i := range rapid.IntRange(0, 8).Draw(rt, "engines") {
			role := rapid.SampledFrom([]engine.Role{engine.RolePrefill, engine.RoleDecode, engine.RoleMixed}).Draw(rt, "role")
			e := newEngine(string(rune('a'+i)), role)
			e.Leaving = rapid.Bool().Draw(rt, "leaving")
			if rapid.Bool().Draw(rt, "excluded") {
				e.ExcludeUntil(start.Add(time.Second))
			}
			tried := rapid.Bool().Draw(rt, "tried")
			if tried {
				r.Avoid = append(r.Avoid, e.ID)
			}
			if !e.Leaving && !tried {
				usable[role]++
			}
			for range rapid.IntRange(0, 10).Draw(rt, "load") {
				e.Begin(pick.PrefillTask{Prompt: []pick.Part{{ID: "x"}}, Uncached: 2000, Cost: 40 * time.Millisecond}, start)
			}
			engines = append(engines, e)
		}
		if rapid.Bool().Draw(rt, "prompt") {
			r.Prompt = []pick.Part{
				{ID: "s", Tokens: 500}, {ID: "o", Tokens: units.Tokens(rapid.IntRange(1, 40000).Draw(rt, "tokens"))},
			}
		}
		plan, ok := pick.Choose(pick.NewTable(engines), r)
		runners := usable[engine.RoleDecode] + usable[engine.RoleMixed]
		if !ok {
			assert.Assert(rt, runners == 0 || len(r.Prompt) > 0,
				"plain request got no plan although a decoding engine is usable")
			assert.Assert(rt, runners == 0 || usable[engine.RolePrefill] == 0,
				"prompt got no plan although both roles have usable engines")
			return
		}
		for _, e := range []*pick.Engine{plan.Run, plan.Prefill} {
			if e == nil {
				continue
			}
			assert.Assert(rt, !e.Leaving)
			for _, id := range r.Avoid {
				assert.Assert(rt, e.ID != id)
			}
		}
		assert.Assert(rt, plan.Run.Role != engine.RolePrefill)
		assert.Assert(rt, plan.Prefill == nil || plan.Prefill.Role == engine.RolePrefill)
		assert.Assert(rt, plan.TimeToFirstEvent >= 0)
	})
}
