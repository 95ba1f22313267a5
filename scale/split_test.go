package scale_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/demand"
	"github.com/buckthorntrack/buckthorntrack/scale"
)

// TestSplitFollowsDemandSlowly guards against roles that follow each wave of the demand, or not at all.
func TestSplitFollowsDemandSlowly(t *testing.T) {
	tests := []struct {
		name    string
		need    func(at float64) scale.Need
		changes int
		last    float64
	}{
		{name: "no demand", need: func(float64) scale.Need { return scale.Need{} }, changes: 0, last: 0.5},
		{name: "small deviation", need: func(float64) scale.Need { return scale.Need{Prefill: 22, Run: 18} }, changes: 0, last: 0.5},
		{name: "waves", need: func(at float64) scale.Need {
			wave := 8 * math.Sin(2*math.Pi*at/11)
			return scale.Need{Prefill: 20 + wave, Run: 20 - wave}
		}, changes: 0, last: 0.5},
		{name: "more prefill work", need: func(float64) scale.Need { return scale.Need{Prefill: 29, Run: 21} }, changes: 1, last: 0.58},
		{name: "more than the bound", need: func(float64) scale.Need {
			return scale.Need{Prefill: 36, Run: 4}
		}, changes: 1, last: scale.MaxSplit},
		{name: "more prefill work, but little of all", need: func(float64) scale.Need {
			return scale.Need{Prefill: 9, Run: 1}
		}, changes: 0, last: 0.5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, now, last, changes := scale.NewSplit(), time.Unix(1000, 0), 0.5, 0
			for at := 0.0; at < 120; at += 0.5 {
				if split := s.Follow(tt.need(at), 50, now.Add(time.Duration(at*float64(time.Second)))); split != last {
					last, changes = split, changes+1
				}
			}
			assert.Equal(t, changes, tt.changes)
			assert.Equal(t, last, tt.last)
		})
	}
}

// TestNeed guards against engines that are too few for bursts, or for late requests.
func TestNeed(t *testing.T) {
	capacity := scale.Capacity{Slots: 10, KVTokens: 1000, HasRoles: true}
	tests := []struct {
		name string
		load demand.Load
		want scale.Need
	}{
		{name: "nothing"},
		{name: "steady", load: demand.Load{
			Recent: demand.Rate{Prefill: 4, Slots: 50}, Peak: demand.Rate{Prefill: 4, Slots: 50},
		}, want: scale.Need{Prefill: 10, Run: 10}},
		{name: "after a burst", load: demand.Load{
			Recent: demand.Rate{Prefill: 4, Slots: 50}, Peak: demand.Rate{Prefill: 14, Slots: 50},
		}, want: scale.Need{Prefill: 20, Run: 10}},
		{name: "KV cache is short", load: demand.Load{Recent: demand.Rate{Slots: 1, KVTokens: 5000}}, want: scale.Need{Run: 10}},
		{name: "late", load: demand.Load{
			Recent: demand.Rate{Prefill: 4, Slots: 50, Requests: 20, Late: 2},
		}, want: scale.Need{Prefill: 13, Run: 13}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := scale.NeedOf(tt.load, capacity, settings())
			assert.Assert(t, math.Abs(got.Prefill-tt.want.Prefill) < 1e-9 && math.Abs(got.Run-tt.want.Run) < 1e-9, "%+v", got)
		})
	}
}
