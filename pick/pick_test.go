package pick_test

import (
	"fmt"
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

// subjects returns one prompt for each of n subjects from each region.
func subjects(n int) []pick.Request {
	var requests []pick.Request
	for i := range n {
		for _, region := range []units.RegionName{"one", "two", "three"} {
			r := newRequest(pick.Part{ID: pick.PartID(fmt.Sprint("subject-", i)), Tokens: 13000}, pick.Part{ID: "own", Tokens: 3000})
			r.Region, r.ShareHomes, r.HomeOnly = region, true, true
			requests = append(requests, r)
		}
	}
	return requests
}

// TestLongSharedPartsHaveOneHome replays prompts of the same subjects from all regions: each long shared part is
// prefilled at one engine while that is idle, and at few engines when it is busy.
func TestLongSharedPartsHaveOneHome(t *testing.T) {
	tests := []struct {
		name string
		busy time.Duration // work at the home
		most int           // engines for each subject
	}{
		{name: "idle", most: 1},
		{name: "home is busy", busy: time.Second, most: 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := pick.NewTable(largeFleet(140))
			used := map[pick.PartID]map[units.EngineName]bool{}
			perEngine := map[units.EngineName]int{}
			for i, r := range subjects(200) {
				r.Seed = uint64(i)
				plan, ok := pick.Choose(table, r)
				assert.Assert(t, ok)
				if plan.Prefill == nil {
					assert.Assert(t, tt.busy > 0, "an idle home is not used")
					continue
				}
				if tt.busy > 0 && i%3 == 0 {
					w := plan.Prefill.Begin(pick.PrefillTask{Prompt: r.Prompt, Uncached: 1, Cost: tt.busy}, start)
					defer w.End(false, start)
				}
				subject := r.Prompt[0].ID
				if used[subject] == nil {
					used[subject] = map[units.EngineName]bool{}
				}
				used[subject][plan.Prefill.ID] = true
				perEngine[plan.Prefill.ID]++
			}
			for subject, engines := range used {
				assert.Assert(t, len(engines) <= tt.most, "%s is prefilled at %d engines", subject, len(engines))
			}
			for id, count := range perEngine {
				assert.Assert(t, count <= 60, "%s has %d of 600 prompts", id, count)
			}
		})
	}
}

// TestManyProcessesSpreadOverIdleEngines replays one moment in which 300 processes choose for prompts without shared
// parts, none of them knowing of the others: they must not go to the same engine.
func TestManyProcessesSpreadOverIdleEngines(t *testing.T) {
	table := pick.NewTable(largeFleet(320))
	perEngine := map[units.EngineName]int{}
	for i := range 300 {
		r := newRequest(pick.Part{ID: "own", Tokens: 9000})
		r.Seed, r.HomeOnly = uint64(i)*7919, true
		plan, ok := pick.Choose(table, r)
		assert.Assert(t, ok)
		perEngine[plan.Run.ID]++
	}
	for id, count := range perEngine {
		assert.Assert(t, count <= 20, "%s has %d of 300 prompts", id, count)
	}
}

// TestTableOfAVersionHasItsEnginesOnly checks tables of engines with several software versions, also tables of such tables.
func TestTableOfAVersionHasItsEnginesOnly(t *testing.T) {
	var engines []*pick.Engine
	for i, version := range []units.SoftwareVersion{"v1", "v2", "v1", "v3"} {
		role := engine.RoleDecode
		if version == "v3" {
			role = engine.RolePrefill
		}
		engines = append(engines, pick.NewEngine(pick.Entry{
			ID: units.EngineName(fmt.Sprint("e", i)), Version: version, Role: role, Region: "one", Slots: 1,
		}))
	}
	table := pick.NewTable(engines)
	assert.DeepEqual(t, table.Versions(), []units.SoftwareVersion{"v1", "v2"})
	assert.DeepEqual(t, table.RunnersByVersion(), map[units.SoftwareVersion]int{"v1": 2, "v2": 1})
	for _, of := range []*pick.Table{table.Of("v1"), table.Of("v1").Of("v1")} {
		assert.Equal(t, len(of.Engines()), 2)
	}
	assert.Assert(t, table.Of("v1").Of("v2") == nil)
	assert.Assert(t, table.Of("v4") == nil)
	assert.Assert(t, table.Of("v4").Of("v4") == nil)
}
