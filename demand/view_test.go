package demand_test

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntrack/buckthorntrack/demand"
	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/units"
)

func TestMain(m *testing.M) {
	os.Exit(fakes.RunWithFixedSeed(m, 0))
}

// clock is a clock that tests set.
type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

func newClock() *clock { return &clock{now: time.Unix(1_800_000_000, 0)} }

// TestMeterCountsRunningCalls guards against calls that count only when they end, or for ever.
func TestMeterCountsRunningCalls(t *testing.T) {
	c := newClock()
	m := demand.NewMeter(c.read)
	c.now = c.now.Add(time.Second)
	first := m.Begin("s", demand.Work{Runs: true, KVTokens: 100, Prefill: 300 * time.Millisecond})
	c.now = c.now.Add(time.Second)
	second := m.Begin("s", demand.Work{Runs: true, KVTokens: 50})
	c.now = c.now.Add(time.Second)
	_, totals := m.Totals()
	assert.Equal(t, totals["s"].Occupied, 3*time.Second)
	assert.Equal(t, totals["s"].KV, int64(100*2000+50*1000))
	m.End(first)
	m.End(second)
	m.RequestEnded("s", true)
	c.now = c.now.Add(time.Minute)
	uptime, totals := m.Totals()
	assert.Equal(t, uptime, 63*time.Second)
	assert.DeepEqual(t, totals["s"], demand.Totals{
		Prefill: 300 * time.Millisecond, Occupied: 3 * time.Second, KV: 250_000, Requests: 1, Late: 1,
	})
	var none *demand.Meter
	none.End(none.Begin("s", demand.Work{Runs: true}))
}

// TestViewUnderLossAndDisorder guards against demand that is counted twice, lost or negative as reports are lost, repeated or
// arrive in another order, or processes restart.
func TestViewUnderLossAndDisorder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newClock()
		v := demand.NewView(c.read)
		started := c.now
		var delayed []demand.Report
		const processes, rate = 5, 0.4
		restarted := map[int]time.Time{}
		for second := range 40 {
			c.now = started.Add(time.Duration(second) * time.Second)
			for p := range processes {
				if second > 5 && second < 20 && rapid.IntRange(0, 40).Draw(rt, "restart") == 0 {
					restarted[p] = c.now
				}
				since := started
				if at, ok := restarted[p]; ok {
					since = at
				}
				uptime := c.now.Sub(since)
				r := demand.Report{
					Process: units.ProcessName(rune('a' + p)), Place: "z", Incarnation: since.UnixNano(), Uptime: uptime, Service: "s",
					Totals: demand.Totals{Prefill: time.Duration(rate * float64(uptime)), Requests: int64(second)},
				}
				switch rapid.IntRange(0, 5).Draw(rt, "fate") {
				case 0: // lost
				case 1:
					delayed = append(delayed, r)
				case 2:
					v.Add(r)
					delayed = append(delayed, r)
				default:
					v.Add(r)
				}
			}
			for len(delayed) > 0 && rapid.Bool().Draw(rt, "arrives") {
				n := rapid.IntRange(0, len(delayed)-1).Draw(rt, "which")
				v.Add(delayed[n])
				delayed = append(delayed[:n], delayed[n+1:]...)
			}
			assert.Assert(rt, v.Load("s").Peak.Prefill < 1.5*processes*rate, "peak %v", v.Load("s").Peak)
		}
		for second := 40; second < 46; second++ { // no more faults
			c.now = started.Add(time.Duration(second) * time.Second)
			for p := range processes {
				since := started
				if at, ok := restarted[p]; ok {
					since = at
				}
				uptime := c.now.Sub(since)
				v.Add(demand.Report{
					Process: units.ProcessName(rune('a' + p)), Place: "z", Incarnation: since.UnixNano(), Uptime: uptime, Service: "s",
					Totals: demand.Totals{Prefill: time.Duration(rate * float64(uptime)), Requests: 1000},
				})
			}
		}
		recent := v.Load("s", "z").Recent.Prefill
		assert.Assert(rt, recent > 0.95*processes*rate && recent < 1.05*processes*rate, "recent %v", recent)
		assert.Equal(rt, v.Load("s", "other").Recent, demand.Rate{})
		assert.Equal(rt, v.Load("other").Known, time.Duration(0))
	})
}

// TestPeakLastsAMinute guards against a peak that is forgotten at once, or never.
func TestPeakLastsAMinute(t *testing.T) {
	c := newClock()
	v := demand.NewView(c.read)
	var total time.Duration
	for second := range 200 {
		c.now = c.now.Add(time.Second)
		if second < 10 {
			total += 2 * time.Second
		} else {
			total += 100 * time.Millisecond
		}
		v.Add(demand.Report{
			Process: "p", Place: "z", Incarnation: 1, Uptime: time.Duration(second+1) * time.Second, Service: "s",
			Totals: demand.Totals{Prefill: total},
		})
		peak := v.Load("s").Peak.Prefill
		switch {
		case second > 5 && second < 65:
			assert.Assert(t, peak > 1.9, "peak %.2f after %d s", peak, second)
		case second > 80:
			assert.Assert(t, peak < 0.2, "peak %.2f after %d s", peak, second)
		}
	}
}
