package scale_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntrack/buckthorntrack/scale"
)

// TestControllerUnderFaults guards against engines that stay away or are paid for on demand after the platform refused, lost,
// delayed or repeated orders, took a zone's reclaimable engines away, or the duty moved, and against giving up engines that
// nothing has replaced, at any time.
func TestControllerUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rapid.IntRange(2, 6).Draw(rt, "zones"), 10)
		w.max = rapid.SampledFrom([]int{12, 15, 20, 24}).Draw(rt, "max")
		faulty := true
		w.fate = func(scale.Order) (time.Duration, scale.Outcome, bool, bool) {
			delay := time.Duration(20+w.draw.IntN(200)) * time.Millisecond
			if !faulty {
				return delay, scale.Accepted, false, false
			}
			switch w.draw.IntN(6) {
			case 0: // no answer, and carried out late or never
				return time.Duration(w.draw.IntN(3000)) * time.Millisecond, scale.Unknown, w.draw.IntN(2) == 0, false
			case 1: // too many calls
				return delay, scale.NotSent, true, false
			case 2:
				return delay, scale.Accepted, false, true
			default:
				return delay, scale.Accepted, false, false
			}
		}
		w.check = func(o scale.Order) {
			other := scale.OnDemand + scale.Reclaimable - o.Kind
			left := o.Count + o.Seen[other].Serving
			if o.Count < o.Seen[o.Kind].Serving && o.Reason != "no room for replacements" {
				assert.Assert(rt, left >= min(o.Wanted, o.Seen[o.Kind].Serving+o.Seen[other].Serving) || left >= max(o.Need, 6), "%v of %v", o, o.Seen)
			}
			assert.Assert(rt, o.Count >= 0 && left <= w.max, "%v of %v", o, o.Seen)
		}
		w.run(time.Duration(rapid.IntRange(0, 15).Draw(rt, "quiet")) * time.Second)
		for range rapid.IntRange(3, 15).Draw(rt, "events") {
			zone := w.zones[rapid.IntRange(0, len(w.zones)-1).Draw(rt, "zone")]
			switch rapid.SampledFrom([]string{"take away", "demand", "burst", "take over", "unavailable", "wait"}).Draw(rt, "event") {
			case "take away":
				w.takeAway(zone, time.Duration(rapid.IntRange(0, 12).Draw(rt, "unavailable"))*time.Second)
			case "demand":
				w.work = busy(rapid.Float64Range(0, 2).Draw(rt, "prefill"), rapid.Float64Range(0, 60).Draw(rt, "slots"))
			case "burst":
				before := w.work
				w.work = busy(2.5, 60)
				w.run(time.Duration(rapid.IntRange(3, 10).Draw(rt, "burst")) * time.Second)
				w.work = before
			case "take over":
				w.run(time.Duration(rapid.IntRange(0, 4).Draw(rt, "lease")) * time.Second)
				holder := w.controller
				w.controller = scale.New(scale.Settings{}, false, w.now) // no holder makes calls
				w.run(lateTime)
				assert.Assert(rt, holder != w.controller)
				w.takeOver(false)
			case "unavailable":
				zone.unavailable = w.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(rt, "unavailable")) * time.Second)
			default:
				w.run(time.Duration(rapid.IntRange(1, 60).Draw(rt, "wait")) * time.Second)
			}
			w.run(time.Second)
		}
		faulty = false
		for _, z := range w.zones {
			z.unavailable = time.Time{}
		}
		w.run(160 * time.Second)
		in := w.input()
		need := scale.NeedOf(w.view.Load("s"), in.Capacity, settings()).Total(in.Capacity)
		assert.Assert(rt, float64(w.total()) >= math.Min(need, float64(w.max*len(w.zones))), "%d engines, need %.1f, orders %v",
			w.total(), need, w.lastOrders())
		assert.Equal(rt, w.countOf(scale.OnDemand), 0, "orders %v", w.lastOrders())
	})
}
