package pick_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// TestSharedPartsAreCopiedFromWhereTheyAre guards against shared parts that are prefilled again though another engine has them.
func TestSharedPartsAreCopiedFromWhereTheyAre(t *testing.T) {
	long := []pick.Part{{ID: "a", Tokens: 500}, {ID: "b", Tokens: 4900}, {ID: "own", Tokens: 6600}}
	tests := []struct {
		name     string
		prompt   []pick.Part
		off      bool
		cachedAt []units.EngineName
		busy     []units.EngineName // have other prompts to prefill for a second
		excluded []units.EngineName
		copied   bool
		from     units.EngineName // any if empty
	}{
		{name: "switched off", prompt: long, off: true, cachedAt: []units.EngineName{"p1"}, busy: []units.EngineName{"p1"}},
		{name: "the chosen engine has them", prompt: long, cachedAt: []units.EngineName{"p1"}},
		{name: "another one has them and is busy", prompt: long, cachedAt: []units.EngineName{"p1"}, busy: []units.EngineName{"p1"}, copied: true, from: "p1"},
		{name: "that one is excluded", prompt: long, cachedAt: []units.EngineName{"p1"}, excluded: []units.EngineName{"p1", "p2", "far"}},
		{name: "short shared parts", prompt: []pick.Part{{ID: "a", Tokens: 120}, {ID: "own", Tokens: 9000}}, cachedAt: []units.EngineName{"p1"}, busy: []units.EngineName{"p1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			engines := map[units.EngineName]*pick.Engine{
				"p1": newEngine("p1", engine.RolePrefill), "p2": newEngine("p2", engine.RolePrefill),
				"far": newEngine("far", engine.RolePrefill), "d1": newEngine("d1", engine.RoleDecode),
			}
			engines["far"].Region, engines["far"].Place = "two", "b"
			for _, id := range tt.cachedAt {
				engines[id].MarkCached(pick.Shared(tt.prompt), start)
			}
			for _, id := range tt.busy {
				engines[id].Begin(pick.PrefillTask{Prompt: []pick.Part{{ID: "x", Tokens: 60000}}, Uncached: 60000, Cost: time.Second}, start)
			}
			for _, id := range tt.excluded {
				engines[id].ExcludeUntil(start.Add(time.Second))
			}
			r := newRequest(tt.prompt...)
			r.CopyShared = !tt.off
			table := pick.NewTable([]*pick.Engine{engines["p1"], engines["p2"], engines["far"], engines["d1"]})
			plan, ok := pick.Choose(table, r)
			assert.Assert(t, ok)
			assert.Equal(t, plan.Copy != nil, tt.copied)
			if tt.from != "" {
				assert.Equal(t, plan.Copy.ID, tt.from)
			}
		})
	}
}

// TestUnknownCopiesAreSoughtAtOneEngine guards against processes that each guess another engine, none of which has the parts.
func TestUnknownCopiesAreSoughtAtOneEngine(t *testing.T) {
	var engines []*pick.Engine
	for _, region := range []units.RegionName{"one", "two", "three"} {
		for _, id := range []units.EngineName{"1", "2", "3"} {
			e := newEngine(string(region)+"-p"+string(id), engine.RolePrefill)
			e.Region, e.Place = region, units.PlaceName(region)
			engines = append(engines, e)
		}
		d := newEngine(string(region)+"-d", engine.RoleDecode)
		d.Region, d.Place = region, units.PlaceName(region)
		engines = append(engines, d)
	}
	table := pick.NewTable(engines)
	sources := map[units.EngineName]int{}
	for _, region := range []units.RegionName{"one", "two", "three"} {
		r := newRequest(pick.Part{ID: "a", Tokens: 5000}, pick.Part{ID: "own", Tokens: 6000})
		r.Region, r.Place, r.CopyShared = region, units.PlaceName(region), true
		plan, ok := pick.Choose(table, r)
		assert.Assert(t, ok)
		assert.Equal(t, plan.Prefill.Region, region)
		if plan.Copy == nil {
			sources[plan.Prefill.ID]++
			continue
		}
		sources[plan.Copy.ID]++
	}
	assert.Equal(t, len(sources), 1, "sources are %v", sources)
}
