package pick_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
)

var start = time.Unix(1000, 0)

func newEngine(id string, role engine.Role) *pick.Engine {
	return pick.NewEngine(pick.Entry{
		ID: units.EngineName(id), Role: role, Slots: 4, Place: "a", Region: "one", Address: id,
	})
}

func newRequest(prompt ...pick.Part) pick.Request {
	return pick.Request{
		Prompt: prompt, Place: "a", Region: "one", Estimator: pick.NewPrefillEstimator(),
		FirstTarget: 400 * time.Millisecond, Now: start, GapTarget: 150 * time.Millisecond,
		Memory: config.KVCache{Tokens: 400000, TokenBytes: 160000, LinkBitsPerSecond: 1e12},
	}
}

func TestExcludedEngineIsUsedIfItsRoleHasNoOther(t *testing.T) {
	tests := []struct {
		name   string
		prompt []pick.Part
	}{
		{name: "short prompt", prompt: []pick.Part{{ID: "p", Tokens: 300}}},
		{name: "long prompt", prompt: []pick.Part{{ID: "p", Tokens: 30000}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			engines := []*pick.Engine{newEngine("p1", engine.RolePrefill), newEngine("d1", engine.RoleDecode)}
			engines[1].ExcludeUntil(start.Add(time.Second))
			plan, ok := pick.Choose(pick.NewTable(engines), newRequest(tt.prompt...))
			assert.Assert(t, ok)
			assert.Equal(t, plan.Run.ID, units.EngineName("d1"))
		})
	}
}

func TestFullEngineLosesToOneInAnotherRegion(t *testing.T) {
	local, remote := newEngine("near", engine.RoleDecode), newEngine("far", engine.RoleDecode)
	remote.Region, remote.Place = "two", "b"
	for range 12 {
		local.Begin(pick.PrefillTask{}, start)
	}
	plan, ok := pick.Choose(pick.NewTable([]*pick.Engine{local, remote}), newRequest(pick.Part{ID: "p", Tokens: 300}))
	assert.Assert(t, ok)
	assert.Equal(t, plan.Run.ID, units.EngineName("far"))
}

func TestOnlyLongPromptGoesToPrefillEngine(t *testing.T) {
	engines := []*pick.Engine{newEngine("p1", engine.RolePrefill), newEngine("d1", engine.RoleDecode)}
	plan, ok := pick.Choose(pick.NewTable(engines), newRequest(pick.Part{ID: "p", Tokens: 12000}))
	assert.Assert(t, ok)
	assert.Equal(t, plan.Prefill.ID, units.EngineName("p1"))
	short, ok := pick.Choose(pick.NewTable(engines), newRequest(pick.Part{ID: "q", Tokens: 300}))
	assert.Assert(t, ok)
	assert.Assert(t, short.Prefill == nil)
}

func TestUrgentPromptDoesNotWaitForLessUrgentOne(t *testing.T) {
	p := newEngine("p1", engine.RolePrefill)
	long := pick.PrefillTask{Prompt: []pick.Part{{ID: "x", Tokens: 40000}}, Uncached: 40000, Cost: time.Second, Urgency: 8}
	p.Begin(long, start)
	load := p.Load(start)
	assert.Equal(t, load.Wait[3], time.Duration(0))
	assert.Equal(t, load.Wait[8], time.Second)
}

func TestPrefillFactorFollowsBusyPeriods(t *testing.T) {
	e := newEngine("p1", engine.RolePrefill)
	now := start
	for range 40 {
		w := e.Begin(pick.PrefillTask{Prompt: []pick.Part{{ID: "x", Tokens: 9000}}, Uncached: 9000,
			Cost: time.Duration(200 * e.PrefillFactor() * float64(time.Millisecond))}, now)
		now = now.Add(260 * time.Millisecond)
		w.PrefillDone(now)
		w.End(false, now)
	}
	assert.Assert(t, e.PrefillFactor() > 1.2 && e.PrefillFactor() < 1.4, "factor is %v", e.PrefillFactor())
}

func TestPlainRequestNeverGoesToPrefillEngine(t *testing.T) {
	engines := []*pick.Engine{newEngine("p1", engine.RolePrefill), newEngine("d1", engine.RoleDecode)}
	for range 6 {
		engines[1].Begin(pick.PrefillTask{}, start)
	}
	plan, ok := pick.Choose(pick.NewTable(engines), newRequest())
	assert.Assert(t, ok)
	assert.Equal(t, plan.Run.ID, units.EngineName("d1"))
	_, ok = pick.Choose(pick.NewTable(engines[:1]), newRequest())
	assert.Assert(t, !ok)
}
