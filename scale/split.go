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

// Follow returns the split, given the fraction that the present demand wants.
func (s *Split) Follow(wanted float64, now time.Time) float64 {
	deviation := math.Abs(wanted - s.current)
	if deviation < splitStep {
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
