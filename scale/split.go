package scale

import (
	"math"
	"time"
)

const (
	// splitStep is the deviation from which the split of roles follows, and splitJump one from which it follows sooner.
	// A change of role costs an engine some seconds.
	splitStep = 0.07
	splitJump = 0.15
	// splitDelay is how long a deviation must last, and splitPause the least time between two changes.
	splitDelay     = 8 * time.Second
	splitJumpDelay = 4 * time.Second
	splitPause     = 30 * time.Second
	splitJumpPause = 15 * time.Second
	// minPressure is the part of a role's engines that is needed from which the split follows.
	minPressure = 0.5
)

// Split is the fraction of a service's engines that should only prefill. It follows the demand with hysteresis.
type Split struct {
	current   float64
	changedAt time.Time
	awaySince time.Time // since when the wanted fraction deviates, zero if it does not
}

// NewSplit returns the split for an unknown demand.
func NewSplit() *Split {
	return &Split{current: startSplit}
}

// Adopt takes over the fraction that a former holder has reached, so that its changes are not undone. It is called by a new holder to
// which the demand is known.
func (s *Split) Adopt(present float64) {
	s.current = min(max(present, MinSplit), MaxSplit)
}

// Follow returns the split, given the need of the present demand and the number of engines. While both roles have far more engines
// than they need, no change is worth its price.
func (s *Split) Follow(n Need, engines int, now time.Time) float64 {
	wanted := n.Split()
	deviation := math.Abs(wanted - s.current)
	idle := max(n.Prefill/s.current, n.Run/(1-s.current)) < minPressure*float64(engines)
	if deviation < splitStep || idle {
		s.awaySince = time.Time{}
		return s.current
	}
	if s.awaySince.IsZero() {
		s.awaySince = now
	}
	delay, pause := splitDelay, splitPause
	if deviation >= splitJump {
		delay, pause = splitJumpDelay, splitJumpPause
	}
	if now.Sub(s.awaySince) >= delay && (s.changedAt.IsZero() || now.Sub(s.changedAt) >= pause) {
		s.current, s.changedAt, s.awaySince = min(max(wanted, MinSplit), MaxSplit), now, time.Time{}
	}
	return s.current
}
