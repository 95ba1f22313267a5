package pace

import (
	"math"
	"sync"
	"time"
)

// Kind is a kind of measurement at an engine. Only measurements of one kind are compared.
type Kind int

// Kinds of measurements.
const (
	Prefill Kind = iota // time until a prompt was prefilled, relative to the estimate for the service
	Whole               // duration of a request without a measured prefill
	Gap                 // time between two events of a stream
	kinds
)

const (
	// delay is added to measured and estimated times, so that network delay does not make short ones look slow. A round
	// trip between regions takes 40 ms.
	delay = 50 * time.Millisecond
	// gapDelay is the same for the time between two events, which the network delays alike.
	gapDelay = 5 * time.Millisecond
	// minMeasured is the number of measurements from which peers are compared with.
	minMeasured = 5
	// peersLifetime is how long peers are compared with after their latest measurement. Peers that have not answered for
	// longer say nothing about the present.
	peersLifetime = 5 * time.Second
	// medianStep is the change of the tracked median, a logarithm, with each measurement.
	medianStep = 0.05
	// firstStep is the same for the first measurement after the initial one; it falls to medianStep.
	firstStep = 0.5
)

// Prefilled returns the measurement of a prefill that took some time where an estimate was expected.
func Prefilled(took, expected time.Duration) float64 {
	return math.Log(float64(took+delay) / float64(max(expected, 0)+delay))
}

// Ended returns the measurement of a request that took some time.
func Ended(took time.Duration) float64 {
	return math.Log((took + delay).Seconds())
}

// Spaced returns the measurement of the mean time between two events.
func Spaced(gap time.Duration) float64 {
	return math.Log((gap + gapDelay).Seconds())
}

// Group holds what engines with the same work achieve: the engines of a service with one role whose pace is open. It is
// safe for concurrent use.
type Group struct {
	mu      sync.Mutex
	medians [kinds]median
}

// median tracks the median of logarithms. A few engines that are far slower than the others do not move it.
type median struct {
	value float64
	count int
	at    time.Time // of the latest measurement
}

// Add adds a measurement of an engine whose pace is open.
func (g *Group) Add(k Kind, measured float64, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := &g.medians[k]
	if now.Sub(m.at) > peersLifetime {
		*m = median{value: measured}
	}
	m.at = now
	m.count++
	step := max(firstStep/float64(m.count), medianStep)
	switch {
	case measured > m.value:
		m.value = min(m.value+step, measured)
	case measured < m.value:
		m.value = max(m.value-step, measured)
	}
}

// Deviation returns by how much a measurement is above that of the peers, as a logarithm. It returns false if the peers have
// not been measured lately.
func (g *Group) Deviation(k Kind, measured float64, now time.Time) (float64, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := &g.medians[k]
	if !m.isKnown(now) {
		return 0, false
	}
	return measured - m.value, true
}

// IsMeasured reports whether there are peers to compare with.
func (g *Group) IsMeasured(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for k := range g.medians {
		if g.medians[k].isKnown(now) {
			return true
		}
	}
	return false
}

func (m *median) isKnown(now time.Time) bool {
	return m.count >= minMeasured && now.Sub(m.at) <= peersLifetime
}
