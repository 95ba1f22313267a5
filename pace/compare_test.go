package pace_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/buckthorntrack/buckthorntrack/pace"
)

// slowStart lets the limit grow with the time since the start, whatever the engine answers.
type slowStart struct {
	unpaced
	since time.Time
}

const slowStartTime = 8 * time.Second

func (p *slowStart) start(now time.Time) { p.since = now }
func (p *slowStart) allowance(now time.Time) int {
	if p.since.IsZero() || now.Sub(p.since) >= slowStartTime {
		return 0
	}
	return 1 + int(modelSlots*now.Sub(p.since)/slowStartTime)
}

func (p *slowStart) fail(now time.Time) time.Duration {
	p.since = now
	return p.unpaced.fail(now)
}

// additive raises the limit by one in the time of an answer, and halves it for an answer that is slower than the peers'.
type additive struct {
	unpaced
	limit float64
}

func (p *additive) start(time.Time) { p.limit = 1 }
func (p *additive) allowance(time.Time) int {
	if p.limit == 0 || p.limit >= modelSlots {
		return 0
	}
	return int(p.limit)
}

func (p *additive) answer(d float64, sent, now time.Time) {
	p.unpaced.answer(d, sent, now)
	if p.limit == 0 {
		p.limit = modelSlots
	}
	if d > math.Log(2.5) {
		p.limit = max(p.limit/2, 1)
	} else {
		p.limit = min(p.limit+1/p.limit, modelSlots)
	}
}

func (p *additive) fail(now time.Time) time.Duration {
	p.limit = 1
	return p.unpaced.fail(now)
}

// gradient follows the ratio of the engine's own long-term to its present latency.
type gradient struct {
	unpaced
	limit, long float64
}

func (p *gradient) start(time.Time) { p.limit = 1 }
func (p *gradient) allowance(time.Time) int {
	if p.limit == 0 || p.limit >= modelSlots {
		return 0
	}
	return int(p.limit)
}

func (p *gradient) answer(d float64, sent, now time.Time) {
	p.unpaced.answer(d, sent, now)
	if p.limit == 0 {
		p.limit = modelSlots
	}
	latency := math.Exp(d)
	if p.long == 0 {
		p.long = latency
	}
	p.long += 0.02 * (latency - p.long)
	ratio := max(0.5, min(1, 1.5*p.long/latency))
	next := p.limit*ratio + math.Sqrt(p.limit)
	p.limit = max(1, min(0.8*p.limit+0.2*next, modelSlots))
}

func (p *gradient) fail(now time.Time) time.Duration {
	p.limit = 1
	return p.unpaced.fail(now)
}

// little sets the limit to the measured rate times the duration at the peers, with room to grow.
type little struct {
	unpaced
	limit float64
	since time.Time
	count int
}

func (p *little) start(now time.Time) { p.limit, p.since = 2, now }
func (p *little) allowance(time.Time) int {
	if p.limit == 0 || p.limit >= modelSlots {
		return 0
	}
	return int(p.limit)
}

func (p *little) answer(d float64, sent, now time.Time) {
	p.unpaced.answer(d, sent, now)
	p.count++
	if window := now.Sub(p.since); window >= 500*time.Millisecond {
		if p.limit == 0 {
			p.limit = modelSlots
		}
		rate := float64(p.count) / window.Seconds()
		p.limit = max(1, min(2*rate*modelWork.Seconds(), modelSlots))
		p.since, p.count = now, 0
	}
}

func (p *little) fail(now time.Time) time.Duration {
	p.limit = 1
	return p.unpaced.fail(now)
}

var policies = []struct {
	name      string
	newPolicy func(*pace.Group) policy
}{
	{name: "none", newPolicy: newUnpaced},
	{name: "fixed slow start, 8 s", newPolicy: func(*pace.Group) policy { return &slowStart{} }},
	{name: "additive increase", newPolicy: func(*pace.Group) policy { return &additive{} }},
	{name: "gradient of latency", newPolicy: func(*pace.Group) policy { return &gradient{} }},
	{name: "Little's law", newPolicy: func(*pace.Group) policy { return &little{} }},
	{name: "pace", newPolicy: newPaced},
}

// TestTable prints the comparison of docs/design/pace.md: go test ./pace -run TestTable -v.
func TestTable(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints a table only")
	}
	for _, c := range scenarios {
		for _, p := range policies {
			o := outcomeOf(c, p.newPolicy, 8)
			fmt.Printf("| %s | %s | %d ms | %d ms | %.2f | %d | %d |\n", c.name, p.name, o.p95.Milliseconds(), o.p99.Milliseconds(),
				o.share, o.refused, o.failed)
		}
	}
}
