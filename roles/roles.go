// Package roles decides which engine of a service changes its role.
package roles

import (
	"cmp"
	"slices"
	"time"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Engine is the state of an engine on which a policy decides.
type Engine struct {
	Name      units.EngineName
	Role      engine.Role
	Running   int
	Fresh     bool // has a recent load report
	Changing  bool // has an order for a role change, or is cordoned for one
	Withdrawn bool // drained, leaving or removed, so that it does not count
}

// Demand is the rate of incoming work, in tokens and requests per second.
type Demand struct {
	Input    float64 // prompt tokens without cached ones
	Output   float64
	Requests float64
}

// State is the input of a policy.
type State struct {
	Now        time.Time
	Fast       Demand // moving average with a short time constant
	Slow       Demand // moving average with a long time constant
	Engines    []Engine
	LastChange time.Time
}

// Settings are the rates of a service's engines and the costs of a role change.
type Settings struct {
	PrefillPerSecond float64       // prompt tokens per second of a prefill engine
	DecodePerSecond  float64       // output tokens per second of a decoding engine that meets the gap target
	MixedFraction    float64       // prefill rate of an engine that also decodes, as a share of PrefillPerSecond
	ChangeTime       time.Duration // time for which a role change makes an engine unavailable
	Horizon          time.Duration // time within which the gain must exceed the cost
	Dwell            time.Duration // minimum time between two changes
	Weight           float64       // fixed cost of a change, in requests that meet their targets
	Margin           float64       // minimum gain of goodput, as a share of the request rate
}

// DefaultSettings returns the settings for the rates of an engine and the weight of a change.
func DefaultSettings(prefillPerSecond, decodePerSecond, weight float64) Settings {
	return Settings{
		PrefillPerSecond: prefillPerSecond,
		DecodePerSecond:  decodePerSecond,
		MixedFraction:    0.3,
		ChangeTime:       8 * time.Second,
		Horizon:          60 * time.Second,
		Dwell:            3 * time.Second,
		Weight:           weight,
		Margin:           0.02,
	}
}

// Move is the role change of one engine.
type Move struct {
	Engine units.EngineName
	From   engine.Role
	To     engine.Role
	Gain   float64 // requests that meet their targets over the horizon, net of the costs
}

// Split is the number of engines of each role.
type Split struct {
	Prefill int
	Decode  int
	Mixed   int
}

// Policy decides on a role change from the state alone.
type Policy interface {
	Decide(s State) (Move, bool)
}

// Goodput is the policy that compares the estimated goodput of the present split with that of each split one role
// change away.
type Goodput struct {
	Settings Settings
}

// Decide returns the change with the largest net gain over the horizon, if any gain is positive.
func (g Goodput) Decide(s State) (Move, bool) {
	s.Engines = withoutWithdrawn(s.Engines)
	if !g.canDecide(s) {
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

// canDecide reports whether no role change is in progress, at least three quarters of the engines have a recent report,
// and the dwell time since the last change has passed.
func (g Goodput) canDecide(s State) bool {
	fresh := 0
	for _, e := range s.Engines {
		if e.Changing {
			return false
		}
		if e.Fresh {
			fresh++
		}
	}
	return 4*fresh >= 3*len(s.Engines) && s.Now.Sub(s.LastChange) >= g.Settings.Dwell
}

// gain returns the smaller net gain under the fast and the slow average of demand, so that a short swing of demand
// causes no change.
func (g Goodput) gain(s State, present, next Split, from engine.Role) float64 {
	return min(g.gainAt(s.Fast, present, next, from), g.gainAt(s.Slow, present, next, from))
}

// gainAt returns the net gain of a change over the horizon under the demand, or 0 if the goodput rises by no more than
// Margin times the request rate.
func (g Goodput) gainAt(d Demand, present, next Split, from engine.Role) float64 {
	settings := g.Settings
	before := g.Rate(d, present)
	after := g.Rate(d, next)
	if after-before <= settings.Margin*d.Requests {
		return 0
	}
	during := g.Rate(d, present.without(from))
	gained := (after - before) * max(settings.Horizon-settings.ChangeTime, 0).Seconds()
	lost := (before - during) * settings.ChangeTime.Seconds()
	return gained - lost - settings.Weight
}

// Rate estimates the goodput of the split under the demand, in requests per second.
func (g Goodput) Rate(d Demand, s Split) float64 {
	if d.Requests <= 0 {
		return 0
	}
	return d.Requests / max(g.utilization(d, s), 1)
}

// utilization returns the utilization of the split by the demand, at the role with the highest one. Mixed engines take
// the work beyond the capacity of the others.
func (g Goodput) utilization(d Demand, s Split) float64 {
	settings := g.Settings
	prefill := float64(s.Prefill) * settings.PrefillPerSecond
	decode := float64(s.Decode) * settings.DecodePerSecond
	if s.Prefill == 0 || s.Decode == 0 {
		prefill, decode = 0, 0
	}
	mixed := float64(s.Mixed)
	if mixed == 0 {
		return max(utilizationOf(d.Input, prefill), utilizationOf(d.Output, decode))
	}
	// Bisection for the utilization at which the work left for mixed engines equals their capacity.
	low, high := 0.0, maxUtilization
	for range bisectionSteps {
		middle := (low + high) / 2
		seconds := max(d.Input-middle*prefill, 0)/(settings.PrefillPerSecond*settings.MixedFraction) +
			max(d.Output-middle*decode, 0)/settings.DecodePerSecond
		if seconds > middle*mixed {
			low = middle
			continue
		}
		high = middle
	}
	return high
}

const (
	// maxUtilization bounds the estimated utilization.
	maxUtilization = 16.0
	// bisectionSteps is the number of halvings of the interval from 0 to maxUtilization.
	bisectionSteps = 24
)

// utilizationOf returns the demand as a share of the rate, at most maxUtilization.
func utilizationOf(demand, rate float64) float64 {
	if demand <= 0 {
		return 0
	}
	if rate <= 0 {
		return maxUtilization
	}
	return min(demand/rate, maxUtilization)
}

// withoutWithdrawn leaves out the engines that are drained, leaving or removed.
func withoutWithdrawn(engines []Engine) []Engine {
	return slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return e.Withdrawn })
}

// CountSplit counts the engines of each role.
func CountSplit(engines []Engine) Split {
	var s Split
	for _, e := range engines {
		s.add(e.Role, 1)
	}
	return s
}

// move returns the split after one role change. It returns false if that leaves no prefill or no decoding engine, or
// if no engine has the old role.
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

// leastBusy returns the engine of the role with the fewest running requests. It skips engines that change their role or
// have no recent report.
func leastBusy(engines []Engine, role engine.Role) (units.EngineName, bool) {
	candidates := slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool {
		return e.Role != role || e.Changing || !e.Fresh
	})
	if len(candidates) == 0 {
		return "", false
	}
	best := slices.MinFunc(candidates, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Running, b.Running), cmp.Compare(a.Name, b.Name))
	})
	return best.Name, true
}
