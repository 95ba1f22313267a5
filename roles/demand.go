package roles

import (
	"math"
	"time"
)

const (
	// fastTimeConstant is the time constant of the fast moving average of demand.
	fastTimeConstant = 5 * time.Second
	// slowTimeConstant is the time constant of the slow moving average.
	slowTimeConstant = 20 * time.Second
)

// DemandAverages keeps exponential moving averages of demand. It is not safe for concurrent use.
type DemandAverages struct {
	Fast Demand
	Slow Demand

	updatedAt time.Time
}

// Add updates the averages by the rates measured since the last call.
func (a *DemandAverages) Add(d Demand, now time.Time) {
	if a.updatedAt.IsZero() {
		a.Fast, a.Slow, a.updatedAt = d, d, now
		return
	}
	elapsed := now.Sub(a.updatedAt)
	a.updatedAt = now
	a.Fast = a.Fast.averaged(d, elapsed, fastTimeConstant)
	a.Slow = a.Slow.averaged(d, elapsed, slowTimeConstant)
}

// averaged returns the moving average after the next measurement, which covers the elapsed time.
func (d Demand) averaged(next Demand, elapsed, timeConstant time.Duration) Demand {
	weight := 1 - math.Exp(-elapsed.Seconds()/timeConstant.Seconds())
	return Demand{
		Input:    d.Input + weight*(next.Input-d.Input),
		Output:   d.Output + weight*(next.Output-d.Output),
		Requests: d.Requests + weight*(next.Requests-d.Requests),
	}
}
