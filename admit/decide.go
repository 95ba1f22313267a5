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

// Decide says what happens to a request with the plan, after it waited.
// A request that is slow by its own length is not shed for that.
func Decide(plan route.Plan, found bool, waited, target time.Duration, resumed bool) Decision {
	if !found {
		if waited >= absentWait && !resumed {
			return Shed
		}
		return Wait
	}
	if resumed {
		return Go
	}
	target = time.Duration(float64(target) * targetPart)
	alone := plan.First - plan.Queued
	spare := max(target-alone, time.Duration(float64(target)*engineQueuePart))
	switch {
	case waited > spare:
		return Shed
	case plan.Queued <= time.Duration(float64(spare)*engineQueuePart) && waited+plan.Queued <= spare:
		return Go
	default:
		return Wait
	}
}
