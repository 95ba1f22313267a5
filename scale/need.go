package scale

import (
	"math"
	"slices"

	"github.com/buckthorntrack/buckthorntrack/demand"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// peakRoom is how much higher the peak of the last minute may load engines than the mean of the last seconds: bursts of
	// 1.7 to 1.9 times are part of that peak already.
	peakRoom = 1.75
	// lossRoom is how much higher engines may be loaded after one zone has lost all its reclaimable engines.
	lossRoom = 1.4
	// lateShare is the share of late requests from which engines count as too few whatever the estimate of their work, and
	// lateFactor is by how much more are wanted then.
	lateShare  = 0.05
	lateFactor = 1.3
	// minLateRate is the number of late requests a second below which they say nothing about the number of engines.
	minLateRate = 0.5
)

// The bounds of the fraction of engines that only prefill.
const (
	MinSplit = 0.3
	MaxSplit = 0.6
	// startSplit is the fraction while no demand is known.
	startSplit = 0.5
)

// Capacity is what one engine of a service can do.
type Capacity struct {
	Slots    int
	KVTokens units.Tokens // zero for engines without a KV cache
	HasRoles bool         // some engines only prefill
}

// Need is a number of engines by role, not rounded.
type Need struct {
	Prefill float64
	Run     float64
}

// NeedOf returns the engines that a demand needs.
func NeedOf(l demand.Load, c Capacity, s Settings) Need {
	n := Need{
		Prefill: engines(l.Recent.Prefill, l.Peak.Prefill, s.PrefillUse),
		Run:     engines(l.Recent.Slots, l.Peak.Slots, s.RunUse*float64(max(c.Slots, 1))),
	}
	if c.KVTokens > 0 {
		n.Run = max(n.Run, engines(l.Recent.KVTokens, l.Peak.KVTokens, s.RunUse*float64(c.KVTokens)))
	}
	if l.Recent.Late >= minLateRate && l.Recent.Late >= lateShare*l.Recent.Requests {
		n.Prefill *= lateFactor
		n.Run *= lateFactor
	}
	return n
}

// engines returns the number of engines of which each takes the given work in the mean.
func engines(recent, peak, each float64) float64 {
	if each <= 0 {
		return 0
	}
	return max(recent/each, peak/(each*peakRoom))
}

// Split returns the fraction of engines that should only prefill.
func (n Need) Split() float64 {
	if n.Prefill+n.Run <= 0 {
		return startSplit
	}
	return min(max(n.Prefill/(n.Prefill+n.Run), MinSplit), MaxSplit)
}

// Total returns the number of engines with which both roles have enough at the split.
func (n Need) Total(c Capacity) float64 {
	if !c.HasRoles {
		return n.Prefill + n.Run
	}
	split := n.Split()
	return max(n.Prefill/split, n.Run/(1-split))
}

// zoneNeeds returns how many engines each zone needs. The zones of a region share the demand of its callers, and all zones
// but the largest one must be enough together.
func (c *Controller) zoneNeeds(in Input) map[units.PlaceName]int {
	byRegion := map[units.RegionName][]Zone{}
	for _, z := range in.Zones {
		byRegion[z.Region] = append(byRegion[z.Region], z)
	}
	needs := make(map[units.PlaceName]int, len(in.Zones))
	sum := 0
	for region, zones := range byRegion {
		total := int(math.Ceil(NeedOf(in.Demand(region), in.Capacity, c.Settings).Total(in.Capacity)))
		slices.SortFunc(zones, cheaper)
		for i, z := range zones {
			needs[z.Place] = min(max((total+len(zones)-1-i)/len(zones), in.Min), in.Max)
			sum += needs[z.Place]
		}
	}
	all := NeedOf(in.Demand(""), in.Capacity, c.Settings).Total(in.Capacity)
	zones := slices.SortedFunc(slices.Values(in.Zones), cheaper)
	for len(zones) > 0 {
		least, largest := zones[0], 0
		for _, z := range zones {
			if needs[z.Place] < needs[least.Place] {
				least = z
			}
			largest = max(largest, needs[z.Place])
		}
		enough := float64(sum) >= all && (len(zones) == 1 || float64(sum-largest) >= all/lossRoom)
		if enough || needs[least.Place] >= in.Max {
			break
		}
		needs[least.Place]++
		sum++
	}
	return needs
}
