package bench

import (
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// Result holds the outcome of a setup on a trace. All counts are requests unless noted.
type Result struct {
	Trace         string
	Setup         string
	Sent          int
	Good          int // answered within both targets
	Late          int // answered, but missed a target
	Shed          int // not run
	Failed        int // ended with another error
	RoleChanges   int
	Retries       int                              // repeated attempts before the first token
	Resumes       int                              // attempts to resume a stream
	FirstTokenP95 map[units.Priority]time.Duration // 95th percentile of the time to the first token
	Tenants       map[units.TenantName]Tally
	Classes       map[units.Priority]Tally
	Bound         float64 // upper bound on Good
	LastThird     Tally   // requests in the last third of the trace
}

// Tally counts all and good requests.
type Tally struct {
	Sent int
	Good int
}

// GoodFraction returns the good requests as a fraction of all.
func (t Tally) GoodFraction() float64 {
	return float64(t.Good) / float64(max(t.Sent, 1))
}

func (t Tally) plus(good bool) Tally {
	t.Sent++
	if good {
		t.Good++
	}
	return t
}

// Goodput returns the good requests as a fraction of the bound.
func (r Result) Goodput() float64 {
	return float64(r.Good) / r.Bound
}
