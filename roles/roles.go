// Package roles decides which engine of a service should change its role.
package roles

import (
	"cmp"
	"slices"
	"time"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Engine is one engine as the policy sees it.
type Engine struct {
	Name    units.EngineName
	Role    engine.Role
	Running int
	Fresh   bool // its load report is recent
	Away    bool // it has an order, or is being taken away for one
	Gone    bool // it is drained or leaves, and does not count
}

// Demand is the work that callers ask for, in tokens a second.
type Demand struct {
	Input    float64 // prompt tokens that are not cached
	Output   float64
	Requests float64
}

// State is what the policy decides on.
type State struct {
	Now        time.Time
	Fast       Demand // average over seconds
	Slow       Demand // average over a minute or so
	Engines    []Engine
	LastChange time.Time
}

// Settings are the rates and weights of a service.
type Settings struct {
	PrefillPerSecond float64       // prompt tokens a second of a prefilling engine
	DecodePerSecond  float64       // output tokens a second of a decoding engine within the gap target
	MixedPart        float64       // part of the prefill rate of an engine that also decodes
	Away             time.Duration // time that a change of role takes an engine away
	Horizon          time.Duration // time over which a change must pay
	Dwell            time.Duration // least time between two changes
	Weight           float64       // cost of a change in good requests
	Margin           float64       // part of the goodput that a change must gain at least
}

// DefaultSettings returns the settings for the rates, with the weight of the service.
func DefaultSettings(prefillPerSecond, decodePerSecond, weight float64) Settings {
	return Settings{
		PrefillPerSecond: prefillPerSecond,
		DecodePerSecond:  decodePerSecond,
		MixedPart:        0.3,
		Away:             8 * time.Second,
		Horizon:          60 * time.Second,
		Dwell:            3 * time.Second,
		Weight:           weight,
		Margin:           0.02,
	}
}

// Move is a change of one engine's role.
type Move struct {
	Engine units.EngineName
	From   engine.Role
	To     engine.Role
	Gain   float64 // good requests over the horizon, costs taken off
}

// Split counts the engines of each role.
type Split struct {
	Prefill int
	Decode  int
	Mixed   int
}

// Policy decides on a change of role. The state is all that it knows.
type Policy interface {
	Decide(s State) (Move, bool)
}

// Goodput is the policy that weighs the goodput of the present split against that of its neighbours.
type Goodput struct {
	Settings Settings
}

// Decide returns the change that gains most over the horizon, if any pays.
func (g Goodput) Decide(s State) (Move, bool) {
	s.Engines = remaining(s.Engines)
	if !g.mayChange(s) {
		return Move{}, false
	}
	present := CountSplit(s.Engines)
	best, found := Move{}, false
	for _, from := range []engine.Role{engine.RolePrefill, engine.RoleDecode, engine.RoleMixed} {
		for _, to := range []engine.Role{engine.RolePrefill, engine.RoleDecode} {
			next, ok := present.move(from, to)
			if !ok {
				continue
			}
			gain := g.gain(s, present, next, from)
			if gain > 0 && (!found || gain > best.Gain) {
				best, found = Move{From: from, To: to, Gain: gain}, true
			}
		}
	}
	if !found {
		return Move{}, false
	}
	name, ok := leastBusy(s.Engines, best.From)
	best.Engine = name
	return best, ok
}

// mayChange reports whether the state is fit for a decision: nobody is away, most reports are fresh,
// and the last change is some time ago.
func (g Goodput) mayChange(s State) bool {
	fresh := 0
	for _, e := range s.Engines {
		if e.Away {
			return false
		}
		if e.Fresh {
			fresh++
		}
	}
	return 4*fresh >= 3*len(s.Engines) && s.Now.Sub(s.LastChange) >= g.Settings.Dwell
}

// gain returns the good requests that the change brings over the horizon, costs taken off. It must pay
// for the fast and for the slow average of demand, so that a short swing moves nothing.
func (g Goodput) gain(s State, present, next Split, from engine.Role) float64 {
	return min(g.gainFor(s.Fast, present, next, from), g.gainFor(s.Slow, present, next, from))
}

func (g Goodput) gainFor(d Demand, present, next Split, from engine.Role) float64 {
	p := g.Settings
	now := g.Rate(d, present)
	then := g.Rate(d, next)
	if then-now <= p.Margin*d.Requests {
		return 0
	}
	during := g.Rate(d, present.without(from))
	gained := (then - now) * max(p.Horizon-p.Away, 0).Seconds()
	lost := (now - during) * p.Away.Seconds()
	return gained - lost - p.Weight
}

// Rate estimates the good requests a second of the split under the demand.
func (g Goodput) Rate(d Demand, s Split) float64 {
	if d.Requests <= 0 {
		return 0
	}
	return d.Requests / max(g.use(d, s), 1)
}

// use returns the part of the split's rate that the demand takes, of the role that is used most.
// Mixed engines take what the others cannot.
func (g Goodput) use(d Demand, s Split) float64 {
	p := g.Settings
	prefill := float64(s.Prefill) * p.PrefillPerSecond
	decode := float64(s.Decode) * p.DecodePerSecond
	if s.Prefill == 0 || s.Decode == 0 {
		prefill, decode = 0, 0
	}
	mixed := float64(s.Mixed)
	if mixed == 0 {
		return max(part(d.Input, prefill), part(d.Output, decode))
	}
	// The use at which the engine seconds that are left for mixed engines are just what they have.
	low, high := 0.0, maxUse
	for range useSteps {
		use := (low + high) / 2
		seconds := max(d.Input-use*prefill, 0)/(p.PrefillPerSecond*p.MixedPart) + max(d.Output-use*decode, 0)/p.DecodePerSecond
		if seconds > use*mixed {
			low = use
			continue
		}
		high = use
	}
	return high
}

const (
	// maxUse bounds the use that is told apart.
	maxUse = 16.0
	// useSteps is the number of halvings by which the use is found.
	useSteps = 24
)

func part(demand, rate float64) float64 {
	if demand <= 0 {
		return 0
	}
	if rate <= 0 {
		return maxUse
	}
	return min(demand/rate, maxUse)
}

// remaining returns the engines that still count.
func remaining(engines []Engine) []Engine {
	return slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return e.Gone })
}

// CountSplit counts the engines of each role.
func CountSplit(engines []Engine) Split {
	var s Split
	for _, e := range engines {
		s.add(e.Role, 1)
	}
	return s
}

// move returns the split after one engine changed its role. It never leaves a role empty.
func (s Split) move(from, to engine.Role) (Split, bool) {
	if from == to {
		return s, false
	}
	next := s.without(from)
	if from != engine.RoleMixed && next.count(from) < 1 || next.count(from) < 0 {
		return s, false
	}
	next.add(to, 1)
	return next, true
}

func (s Split) without(role engine.Role) Split {
	s.add(role, -1)
	return s
}

func (s Split) count(role engine.Role) int {
	switch role {
	case engine.RolePrefill:
		return s.Prefill
	case engine.RoleDecode:
		return s.Decode
	default:
		return s.Mixed
	}
}

func (s *Split) add(role engine.Role, n int) {
	switch role {
	case engine.RolePrefill:
		s.Prefill += n
	case engine.RoleDecode:
		s.Decode += n
	default:
		s.Mixed += n
	}
}

// leastBusy returns the engine of the role that loses least when it is taken away.
func leastBusy(engines []Engine, role engine.Role) (units.EngineName, bool) {
	fit := slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool {
		return e.Role != role || e.Away || !e.Fresh
	})
	if len(fit) == 0 {
		return "", false
	}
	best := slices.MinFunc(fit, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Running, b.Running), cmp.Compare(a.Name, b.Name))
	})
	return best.Name, true
}
