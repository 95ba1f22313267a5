package scale_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/demand"
	"github.com/buckthorntrack/buckthorntrack/scale"
	"github.com/buckthorntrack/buckthorntrack/units"
)

func busy(prefill, slots float64) func(units.PlaceName, time.Duration) demand.Rate {
	return func(units.PlaceName, time.Duration) demand.Rate { return demand.Rate{Prefill: prefill, Slots: slots} }
}

// TestKindChangesAtTheStart guards against paying for on-demand engines once others serve in their place, and against
// fewer engines than at the start meanwhile.
func TestKindChangesAtTheStart(t *testing.T) {
	w := newWorld(6, 10)
	for range 60 {
		w.run(tick)
		assert.Assert(t, w.total() >= 60)
	}
	assert.Equal(t, w.countOf(scale.Reclaimable), 60)
	assert.Equal(t, w.countOf(scale.OnDemand), 0)
	assert.Equal(t, len(w.orders), 12)
	w.run(10 * time.Minute)
	assert.Equal(t, len(w.orders), 12, "orders without demand")
	assert.Equal(t, w.broken, "")
}

// TestKindChangesWithoutRoom guards against a change of kind that never begins, as the zone's bound has no room for engines
// of both kinds.
func TestKindChangesWithoutRoom(t *testing.T) {
	for _, most := range []int{10, 12, 15} {
		w := newWorld(6, 10)
		w.max = most
		for range 600 {
			w.run(tick)
			assert.Assert(t, w.total() >= 48)
		}
		assert.Equal(t, w.broken, "")
		assert.Equal(t, w.countOf(scale.Reclaimable), 60)
		assert.Equal(t, w.countOf(scale.OnDemand), 0)
	}
}

// TestZoneLosesReclaimableEngines guards against a fleet that stays short of engines after all reclaimable ones of a zone were taken
// away, against paying for on-demand engines while other zones can have reclaimable ones, and for substitutes longer than needed.
func TestZoneLosesReclaimableEngines(t *testing.T) {
	tests := []struct {
		name        string
		unavailable time.Duration
		within      time.Duration // until the zones together have their engines again
	}{
		{name: "others at once", unavailable: 0, within: 8 * time.Second},
		{name: "others after 4 s", unavailable: 4 * time.Second, within: 8 * time.Second},
		{name: "others after a minute", unavailable: time.Minute, within: 8 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(6, 10)
			w.work = busy(1.4, 50)
			w.run(20 * time.Second)
			lost := w.zones[2]
			w.takeAway(lost, tt.unavailable)
			w.run(tt.within)
			assert.Assert(t, w.total() >= 60, "%d engines after %v; orders %v", w.total(), tt.within, w.orders[12:])
			assert.Assert(t, w.countOf(scale.OnDemand) <= 2, "on-demand engines beside reclaimable ones of other zones; orders %v", w.orders[12:])
			w.run(tt.unavailable + 20*time.Second)
			assert.Equal(t, lost.count(scale.OnDemand, w.now, true), 0)
			assert.Assert(t, lost.count(scale.Reclaimable, w.now, false) >= 10)
			assert.Equal(t, w.broken, "")
		})
	}
}

// TestOnDemandEnginesStandInWhereNoZoneHasOthers guards against a fleet without engines while none may be reclaimed.
func TestOnDemandEnginesStandInWhereNoZoneHasOthers(t *testing.T) {
	w := newWorld(6, 10)
	w.work = busy(1.4, 50)
	w.run(20 * time.Second)
	for _, z := range w.zones {
		w.takeAway(z, time.Minute)
	}
	w.run(16 * time.Second)
	assert.Assert(t, w.countOf(scale.OnDemand) >= 60, "%d on-demand engines; orders %v", w.countOf(scale.OnDemand), w.orders[12:])
	w.run(3 * time.Minute)
	assert.Equal(t, w.countOf(scale.OnDemand), 0)
	assert.Assert(t, w.countOf(scale.Reclaimable) >= 60)
	assert.Equal(t, w.broken, "")
}

// TestDemandAddsAndReducesEngines guards against too few engines under a demand that the starting number does not carry,
// and against giving them up too soon, too fast or never.
func TestDemandAddsAndReducesEngines(t *testing.T) {
	w := newWorld(6, 10)
	w.work = busy(1, 40)
	w.run(time.Minute)
	assert.Equal(t, w.total(), 60)
	w.work = busy(4, 60)
	w.run(15 * time.Second)
	high := w.total()
	assert.Assert(t, high >= 100, "%d engines for 24 busy prefill engines", high)
	w.work = busy(0.5, 10)
	w.run(55 * time.Second)
	assert.Equal(t, w.total(), high, "given up before a minute of lower demand")
	w.run(20 * time.Minute)
	assert.Equal(t, w.total(), 36, "0.6 of the start are kept")
	assert.Equal(t, w.broken, "")
	w.work = busy(3, 60)
	w.run(15 * time.Second)
	assert.Assert(t, w.total() >= 80, "burst right after a reduction: %d", w.total())
}

// TestWavesOutOfPhase guards against orders that follow each wave: zones whose demand comes in two phases of a period of 11 s,
// out of phase with each other, in clumps of three. The engines must carry every second of it.
func TestWavesOutOfPhase(t *testing.T) {
	w := newWorld(6, 10)
	w.work = func(place units.PlaceName, at time.Duration) demand.Rate {
		if at < 14*time.Second {
			return demand.Rate{}
		}
		phase := math.Mod(at.Seconds()/11+float64(place[1]-'0')/6, 1)
		rate := 0.6
		if phase < 0.5 {
			rate = 1.8
		}
		if int(at.Seconds()*3)%3 == 0 { // clumps of three
			rate *= 3
		} else {
			rate = 0
		}
		return demand.Rate{Prefill: rate, Slots: 25 * rate, KVTokens: 60_000 * rate}
	}
	w.run(14 * time.Second)
	before := len(w.orders)
	w.run(5 * time.Minute)
	load := w.view.Load("s")
	t.Logf("prefill %.1f (peak %.1f), %d engines, %d orders in 5 minutes of waves, cost %.0f", load.Recent.Prefill, load.Peak.Prefill,
		w.total(), len(w.orders)-before, w.price)
	assert.Assert(t, len(w.orders)-before <= 24, "%d orders", len(w.orders)-before)
	need := scale.NeedOf(load, w.input().Capacity, settings())
	assert.Assert(t, float64(w.total()) >= need.Total(w.input().Capacity))
	assert.Equal(t, w.broken, "")
}

// TestNewHolderUndoesNothing guards against a new holder that reduces or adds engines before it knows the demand.
func TestNewHolderUndoesNothing(t *testing.T) {
	for _, at := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second, 7 * time.Second, 40 * time.Second} {
		w := newWorld(6, 10)
		w.work = busy(3, 60)
		w.run(at)
		w.takeOver(false)
		before := len(w.orders)
		w.run(3 * time.Second)
		assert.Equal(t, len(w.orders), before, "orders before the demand is known, take-over at %v", at)
		w.run(30 * time.Second)
		assert.Equal(t, w.countOf(scale.OnDemand), 0)
		assert.Assert(t, w.total() >= 60 && w.total() <= 120, "%d engines after a take-over at %v", w.total(), at)
		assert.Equal(t, w.broken, "")
	}
}
