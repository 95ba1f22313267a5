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
	os.Exit(fakes.FixedCourses(m, 0))
}

// TestAccountsBalance holds that an engine's load is what its open works say, in any order of events, and nothing at the end.
func TestAccountsBalance(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		e := newEngine("e", engine.RoleDecode)
		now := start
		type open struct {
			work *pick.Work
			read bool
			pick.Reading
		}
		var works []*open
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms")) * time.Millisecond)
			action := rapid.IntRange(0, 2).Draw(rt, "action")
			if action == 0 || len(works) == 0 {
				reading := pick.Reading{
					Holds: units.Tokens(rapid.IntRange(0, 9000).Draw(rt, "holds")), Urgency: pick.Urgency(rapid.IntRange(-1, 11).Draw(rt, "urgency")),
				}
				if rapid.Bool().Draw(rt, "prompt") {
					reading.Prompt = []pick.Part{{ID: "p", Tokens: 10}}
					reading.Unread = units.Tokens(rapid.IntRange(1, 9000).Draw(rt, "unread"))
					reading.Cost = time.Duration(reading.Unread) * 20 * time.Microsecond
				}
				works = append(works, &open{work: e.Begin(reading, now), Reading: reading})
			} else {
				i := rapid.IntRange(0, len(works)-1).Draw(rt, "work")
				w := works[i]
				if action == 1 {
					w.work.Read(now)
					w.read = true
				} else {
					w.work.End(rapid.Bool().Draw(rt, "failed"), now)
					works = append(works[:i], works[i+1:]...)
				}
			}
			var pending, holds units.Tokens
			var ahead [10]time.Duration // by urgency
			for _, w := range works {
				holds += w.Holds
				if w.read {
					continue
				}
				pending += w.Unread
				for u := min(max(int(w.Urgency), 0), len(ahead)-1); u < len(ahead); u++ {
					ahead[u] += w.Cost
				}
			}
			l := e.Own(now)
			assert.Equal(rt, l.Running, len(works))
			assert.Equal(rt, l.Held, holds)
			assert.Equal(rt, l.Pending, pending)
			for u, wait := range l.Wait {
				assert.Assert(rt, wait >= 0 && wait <= ahead[u], "urgency %d: %v of %v", u, wait, ahead[u])
			}
			if pending == 0 {
				assert.Equal(rt, l.Whole(), time.Duration(0))
			}
			assert.Assert(rt, e.Stretch() > 0)
		}
	})
}

// TestChosenEnginesMayTakeTheRequest holds that no plan names an engine that leaves, was tried, or has the wrong role.
func TestChosenEnginesMayTakeTheRequest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var engines []*pick.Engine
		usable := map[engine.Role]int{}
		a := ask()
		for i := range rapid.IntRange(0, 8).Draw(rt, "engines") {
			role := rapid.SampledFrom([]engine.Role{engine.RolePrefill, engine.RoleDecode, engine.RoleMixed}).Draw(rt, "role")
			e := newEngine(string(rune('a'+i)), role)
			e.Leaving = rapid.Bool().Draw(rt, "leaving")
			if rapid.Bool().Draw(rt, "shunned") {
				e.Shun(start.Add(time.Second))
			}
			tried := rapid.Bool().Draw(rt, "tried")
			if tried {
				a.Avoid = append(a.Avoid, e.ID)
			}
			if !e.Leaving && !tried {
				usable[role]++
			}
			for range rapid.IntRange(0, 10).Draw(rt, "load") {
				e.Begin(pick.Reading{Prompt: []pick.Part{{ID: "x"}}, Unread: 2000, Cost: 40 * time.Millisecond}, start)
			}
			engines = append(engines, e)
		}
		if rapid.Bool().Draw(rt, "prompt") {
			a.Prompt = []pick.Part{{ID: "s", Tokens: 500}, {ID: "o", Tokens: units.Tokens(rapid.IntRange(1, 40000).Draw(rt, "tokens"))}}
		}
		plan, ok := pick.Choose(engines, a)
		runners := usable[engine.RoleDecode] + usable[engine.RoleMixed]
		if !ok {
			assert.Assert(rt, runners == 0 || len(a.Prompt) > 0, "a plain request finds an engine if there is one")
			assert.Assert(rt, runners == 0 || usable[engine.RolePrefill] == 0, "a prompt finds a way if both roles are there")
			return
		}
		for _, e := range []*pick.Engine{plan.Run, plan.Prefill} {
			if e == nil {
				continue
			}
			assert.Assert(rt, !e.Leaving)
			for _, id := range a.Avoid {
				assert.Assert(rt, e.ID != id)
			}
		}
		assert.Assert(rt, plan.Run.Role != engine.RolePrefill)
		assert.Assert(rt, plan.Prefill == nil || plan.Prefill.Role == engine.RolePrefill)
		assert.Assert(rt, plan.First >= 0)
	})
}
