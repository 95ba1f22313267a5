// Package assign assigns roles to model engines through the single holder of a lease.
package assign

import (
	"cmp"
	"math"
	"slices"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Settings are the target split of the roles and the limits on role changes.
type Settings struct {
	PrefillFraction     float64 // share of a service's engines that only prefill
	MaxChangingFraction float64 // largest share of a service's engines that may be unavailable at once
	Slack               int     // surplus of prefill engines up to which none is moved back to decoding
	// Regional keeps the split in each region, and leaves small deviations in both directions as they are.
	Regional bool
}

// Engine is the state of an engine on which Plan decides.
type Engine struct {
	ID          units.EngineName
	Region      units.RegionName
	Role        engine.Role
	Running     int  // running requests
	Unavailable bool // changing its role, or excluded from new requests
}

// Move is one role change.
type Move struct {
	Engine units.EngineName
	To     engine.Role
}

// Plan returns the role changes to order now. It spreads each role evenly over the regions, as a KV cache transfer to
// another region takes ten times as long as one within an availability zone. It updates engines by the returned moves.
func Plan(engines []Engine, s Settings) []Move {
	if len(engines) < 2 {
		return nil
	}
	unavailable := 0
	for _, e := range engines {
		if e.Unavailable {
			unavailable++
		}
	}
	allowed := max(int(s.MaxChangingFraction*float64(len(engines))), 1) - unavailable
	wanted := wantedPrefill(engines, s)
	var moves []Move
	for range max(allowed, 0) {
		move, ok := nextMove(engines, wanted, s.Slack)
		if s.Regional {
			move, ok = nextRegionalMove(engines, s)
		}
		if !ok {
			break
		}
		moves = append(moves, move)
		for i := range engines {
			if engines[i].ID == move.Engine {
				engines[i].Role, engines[i].Unavailable = move.To, true
			}
		}
	}
	return moves
}

// wantedPrefill returns the target number of prefill engines, which leaves at least one engine of each role.
func wantedPrefill(engines []Engine, s Settings) int {
	wanted := int(math.Round(s.PrefillFraction * float64(len(engines))))
	return min(max(wanted, 1), len(engines)-1)
}

// nextMove returns the move that brings the number of prefill engines closer to the wanted one, if it is out of bounds.
func nextMove(engines []Engine, wanted, slack int) (Move, bool) {
	present := countRole(engines, engine.RolePrefill)
	switch {
	case present < wanted:
		return chooseMove(engines, engine.RoleDecode, engine.RolePrefill)
	case present > wanted+slack:
		return chooseMove(engines, engine.RolePrefill, engine.RoleDecode)
	default:
		return Move{}, false
	}
}

// chooseMove selects the engine with the fewest running requests in the region with the largest share of the old role.
func chooseMove(engines []Engine, from, to engine.Role) (Move, bool) {
	inRole, total := map[units.RegionName]int{}, map[units.RegionName]int{}
	var candidates []Engine
	for _, e := range engines {
		total[e.Region]++
		if e.Role != from {
			continue
		}
		inRole[e.Region]++
		if !e.Unavailable {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return Move{}, false
	}
	share := func(e Engine) float64 { return float64(inRole[e.Region]) / float64(total[e.Region]) }
	best := slices.MinFunc(candidates, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(share(b), share(a)), cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
	})
	return Move{Engine: best.ID, To: to}, true
}

func countRole(engines []Engine, role engine.Role) int {
	n := 0
	for _, e := range engines {
		if e.Role == role {
			n++
		}
	}
	return n
}
