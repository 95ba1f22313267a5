package roles

import (
	"math"
	"time"
)

const (
	// fastTime is the time over which the fast average of demand forgets.
	fastTime = 5 * time.Second
	// slowTime is the time over which the slow average forgets.
	slowTime = 20 * time.Second
)

// Mix keeps the averages of demand. It is not safe for use by several goroutines.
type Mix struct {
	Fast Demand
	Slow Demand

	at time.Time
}

// Add takes the demand measured since the last call, in units a second.
func (m *Mix) Add(d Demand, now time.Time) {
	if m.at.IsZero() {
		m.Fast, m.Slow, m.at = d, d, now
		return
	}
	elapsed := now.Sub(m.at)
	m.at = now
	m.Fast = m.Fast.toward(d, elapsed, fastTime)
	m.Slow = m.Slow.toward(d, elapsed, slowTime)
}

func (d Demand) toward(next Demand, elapsed, forget time.Duration) Demand {
	part := 1 - math.Exp(-elapsed.Seconds()/forget.Seconds())
	return Demand{
		Input:    d.Input + part*(next.Input-d.Input),
		Output:   d.Output + part*(next.Output-d.Output),
		Requests: d.Requests + part*(next.Requests-d.Requests),
	}
}
