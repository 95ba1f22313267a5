package admit

import (
	"time"

	"github.com/buckthorntrack/buckthorntrack/route"
)

// Decision is the outcome of one attempt to admit a request.
type Decision int

// The decisions on a request.
const (
	Wait  Decision = iota // stay in the queue
	Admit                 // send to the engines of the plan
	Shed                  // refuse
)

// Candidate is the state of a request on which Decide decides.
type Candidate struct {
	Waited     time.Duration // time in the queue
	Target     time.Duration // for the time to the first token
	QueueShare float64       // share of the slack that may pass in an engine's own queue
	Resumed    bool          // the caller has received a part of the answer
}

// Decide returns the decision on a request with the plan, if one was found. The slack is what remains of the target
// after the request's own prefill, but at least engineQueueShare of the target, so that a long prompt alone sheds no
// request.
func Decide(plan route.Plan, found bool, c Candidate) Decision {
	if !found {
		if c.Waited >= noEngineTimeout && !c.Resumed {
			return Shed
		}
		return Wait
	}
	if c.Resumed {
		return Admit
	}
	target := time.Duration(float64(c.Target) * targetShare)
	alone := plan.TimeToFirstToken - plan.QueueDelay
	slack := max(target-alone, time.Duration(float64(target)*engineQueueShare))
	switch {
	case c.Waited > slack:
		return Shed
	case plan.QueueDelay <= time.Duration(float64(slack)*c.QueueShare) && c.Waited+plan.QueueDelay <= slack:
		return Admit
	default:
		return Wait
	}
}
