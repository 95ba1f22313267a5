package bench

import (
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// Result is what a measurement found.
type Result struct {
	Trace   string
	Setup   string
	Sent    int
	Good    int
	Late    int // answered, and not good
	Shed    int
	Failed  int
	Changes int
	Retries int                              // attempts before a first token beyond the first
	Resumes int                              // attempts to go on with a stream
	First95 map[units.Priority]time.Duration // 95th percentile of the time to the first token
	Tenants map[units.TenantName]Tally
	Classes map[units.Priority]Tally
	Bound   float64
	Rest    Tally // of the last third of the trace
}

// Tally counts requests.
type Tally struct {
	Sent int
	Good int
}

// Part returns the part that was good.
func (t Tally) Part() float64 {
	return float64(t.Good) / float64(max(t.Sent, 1))
}

func (t Tally) plus(good bool) Tally {
	t.Sent++
	if good {
		t.Good++
	}
	return t
}

// Goodput returns the good requests as a part of the bound.
func (r Result) Goodput() float64 {
	return float64(r.Good) / r.Bound
}
