package admit

import (
	"time"

	"github.com/buckthorntrack/buckthorntrack/route"
)

// Decision is what happens to a request now.
type Decision int

// The decisions about a request.
const (
	Wait Decision = iota
	Go
	Shed
)

// Ask is a request to decide on.
type Ask struct {
	Waited    time.Duration // in the gate
	Target    time.Duration // for the time to the first token
	QueuePart float64       // part of the time to spare that may pass in an engine's own queue
	Resumed   bool          // the caller has a part of the answer already
}

// Decide says what happens to a request with the plan. A request that is slow by its own length is not shed for that.
func Decide(plan route.Plan, found bool, a Ask) Decision {
	if !found {
		if a.Waited >= absentWait && !a.Resumed {
			return Shed
		}
		return Wait
	}
	if a.Resumed {
		return Go
	}
	target := time.Duration(float64(a.Target) * targetPart)
	alone := plan.First - plan.Queued
	spare := max(target-alone, time.Duration(float64(target)*engineQueuePart))
	switch {
	case a.Waited > spare:
		return Shed
	case plan.Queued <= time.Duration(float64(spare)*a.QueuePart) && a.Waited+plan.Queued <= spare:
		return Go
	default:
		return Wait
	}
}
