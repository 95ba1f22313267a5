// Package shift changes the roles of model engines through one holder of authority.
package shift

import (
	"cmp"
	"math"
	"slices"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Settings bound the changes of role.
type Settings struct {
	Prefill  float64 // part of a service's engines that only prefill
	MostAway float64 // part of a service's engines that may change at once
	Slack    int     // engines by which the split may be off before one is moved back to decoding
}

// Engine is an engine as the plan sees it.
type Engine struct {
	ID      units.EngineName
	Region  units.RegionName
	Role    engine.Role
	Running int  // requests that run there
	Away    bool // its role is being changed
}

// Move is one change of role.
type Move struct {
	Engine units.EngineName
	To     engine.Role
}

// Plan returns the changes of role to order now. Regions get even parts of each role, as a prompt that is read in one
// region and decoded in another takes ten times as long to move.
func Plan(engines []Engine, s Settings) []Move {
	if len(engines) < 2 {
		return nil
	}
	away := 0
	for _, e := range engines {
		if e.Away {
			away++
		}
	}
	room := max(int(s.MostAway*float64(len(engines))), 1) - away
	wanted := wantedPrefill(engines, s)
	var moves []Move
	for range max(room, 0) {
		move, ok := next(engines, wanted, s.Slack)
		if !ok {
			break
		}
		moves = append(moves, move)
		for i := range engines {
			if engines[i].ID == move.Engine {
				engines[i].Role, engines[i].Away = move.To, true
			}
		}
	}
	return moves
}

// wantedPrefill returns the number of engines that are to prefill. One of each role is always left.
func wantedPrefill(engines []Engine, s Settings) int {
	wanted := int(math.Round(s.Prefill * float64(len(engines))))
	return min(max(wanted, 1), len(engines)-1)
}

func next(engines []Engine, wanted, slack int) (Move, bool) {
	present := count(engines, engine.RolePrefill)
	switch {
	case present < wanted:
		return choose(engines, engine.RoleDecode, engine.RolePrefill)
	case present > wanted+slack:
		return choose(engines, engine.RolePrefill, engine.RoleDecode)
	default:
		return Move{}, false
	}
}

// choose takes the least busy engine of the region that has the largest part of its engines in the role.
func choose(engines []Engine, from, to engine.Role) (Move, bool) {
	inRole, all := map[units.RegionName]int{}, map[units.RegionName]int{}
	var candidates []Engine
	for _, e := range engines {
		all[e.Region]++
		if e.Role != from {
			continue
		}
		inRole[e.Region]++
		if !e.Away {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return Move{}, false
	}
	part := func(e Engine) float64 { return float64(inRole[e.Region]) / float64(all[e.Region]) }
	best := slices.MinFunc(candidates, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(part(b), part(a)), cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
	})
	return Move{Engine: best.ID, To: to}, true
}

func count(engines []Engine, role engine.Role) int {
	n := 0
	for _, e := range engines {
		if e.Role == role {
			n++
		}
	}
	return n
}
