package pick_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/pace"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// largeFleet returns engines in three regions with two availability zones each, two in five of them for prefill.
func largeFleet(n int) []*pick.Engine {
	engines := make([]*pick.Engine, 0, n)
	for i := range n {
		role := engine.RoleDecode
		if i/6%5 < 2 {
			role = engine.RolePrefill
		}
		engines = append(engines, pick.NewEngine(pick.Entry{
			ID: units.EngineName(fmt.Sprint("engine-", i)), Role: role, Slots: 12,
			Place:  units.PlaceName(fmt.Sprint("place-", i%6)),
			Region: units.RegionName([]string{"one", "two", "three"}[i%3]),
		}))
	}
	return engines
}

// BenchmarkChoose measures the choice of engines for one request.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{30, 320, 4000} {
		for _, cached := range []bool{false, true} {
			b.Run(fmt.Sprintf("engines=%d/cached=%v", n, cached), func(b *testing.B) { benchmarkChoose(b, n, cached, false) })
		}
		b.Run(fmt.Sprintf("engines=%d/held", n), func(b *testing.B) { benchmarkChoose(b, n, true, true) })
	}
}

// benchmarkChoose measures the choice among n engines. Held holds back every second one, with as many requests as its pace
// allows.
func benchmarkChoose(b *testing.B, n int, cached, held bool) {
	engines := largeFleet(n)
	r := newRequest(pick.Part{ID: "all", Tokens: 500}, pick.Part{ID: "subject", Tokens: 4900},
		pick.Part{ID: "own", Tokens: 6600})
	if cached {
		for _, e := range engines {
			w := e.Begin(pick.PrefillTask{Prompt: r.Prompt, Uncached: 1, Cost: time.Millisecond}, start)
			w.PrefillDone(start)
			w.End(false, start)
		}
	}
	var group pace.Group
	for i, e := range engines {
		if held && i%2 == 0 {
			for range 3 {
				e.Begin(pick.PrefillTask{}, start)
			}
			e.Compare(&group)
			e.StartPace(false, start)
		}
	}
	r.HomeOnly, r.ShareHomes = true, true
	table := pick.NewTable(engines)
	b.ReportAllocs()
	for b.Loop() {
		r.Seed++
		if _, ok := pick.Choose(table, r); !ok {
			b.Fatal("no engine was chosen")
		}
	}
}
