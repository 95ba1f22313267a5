package assign

import (
	"math"
	"slices"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// regionTolerance is the share of a region's engines by which its prefill engines may deviate from the wanted number,
	// and fleetTolerance the same for all regions together. Each change of a role costs the engine some seconds.
	regionTolerance = 0.1
	fleetTolerance  = 0.04
	// minRegion is the number of engines from which a region has a split of its own.
	minRegion = 4
)

// nextRegionalMove returns the move that brings a region closer to the split, the region that deviates most first, or else
// one that brings the whole service closer to it.
func nextRegionalMove(engines []Engine, s Settings) (Move, bool) {
	byRegion := map[units.RegionName][]Engine{}
	for _, e := range engines {
		byRegion[e.Region] = append(byRegion[e.Region], e)
	}
	var worst []Engine
	most, surplus := 0, 0
	for _, region := range byRegion {
		deviation := deviationOf(region, s, regionTolerance)
		if size := max(deviation, -deviation); len(region) >= minRegion && (size > most || size == most && size > 0 && region[0].Region < worst[0].Region) {
			worst, most, surplus = region, size, deviation
		}
	}
	if most == 0 {
		worst, surplus = engines, deviationOf(engines, s, fleetTolerance)
	}
	worst = slices.Clone(worst)
	switch {
	case surplus > 0:
		return chooseMove(worst, engine.RolePrefill, engine.RoleDecode)
	case surplus < 0:
		return chooseMove(worst, engine.RoleDecode, engine.RolePrefill)
	default:
		return Move{}, false
	}
}

// deviationOf returns the number of prefill engines beyond the wanted one and the tolerance, negative if too few.
func deviationOf(engines []Engine, s Settings, tolerance float64) int {
	wanted, present := wantedPrefill(engines, s), countRole(engines, engine.RolePrefill)
	allowed := max(int(math.Round(tolerance*float64(len(engines)))), 0)
	switch {
	case present == 0 || present == len(engines): // a role is missing
		return present - wanted
	case present > wanted+allowed:
		return present - wanted - allowed
	case present < wanted-allowed:
		return present - wanted + allowed
	default:
		return 0
	}
}
