package usage

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// fault is a fault of one process, of all, or of the duty API.
type fault struct {
	pause    time.Duration
	process  units.ProcessName
	kind     string
	duration time.Duration
}

var processes = []units.ProcessName{"a", "b", "c", "d", "e"}

func drawFaults(rt *rapid.T, kinds []string) []fault {
	seconds := []int{0, 1, 2, 4, 6, 9, 13}
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fault {
		return fault{
			pause:   time.Duration(rapid.IntRange(0, 9000).Draw(rt, "pauseMs")) * time.Millisecond,
			process: rapid.SampledFrom(processes).Draw(rt, "process"), kind: rapid.SampledFrom(kinds).Draw(rt, "kind"),
			duration: time.Duration(rapid.SampledFrom(seconds).Draw(rt, "seconds"))*time.Second +
				time.Duration(rapid.IntRange(10, 900).Draw(rt, "ms"))*time.Millisecond,
		}
	}), 1, 10).Draw(rt, "faults")
}

func (s *simulation) apply(f fault) {
	s.mu.Lock()
	n := s.nodes[f.process]
	s.mu.Unlock()
	during := func(set func(m *fakes.MachineFaults, on bool)) {
		n.Set(func(m *fakes.MachineFaults) { set(m, true) })
		time.AfterFunc(f.duration, func() { n.Set(func(m *fakes.MachineFaults) { set(m, false) }) })
	}
	set := func(change func(on bool)) {
		change(true)
		time.AfterFunc(f.duration, func() { change(false) })
	}
	switch f.kind {
	case "suspend":
		n.Set(func(m *fakes.MachineFaults) { m.ResumeAt = time.Now().Add(f.duration) })
	case "noStore":
		during(func(m *fakes.MachineFaults, on bool) { m.NoStore = on })
	case "noAPI":
		during(func(m *fakes.MachineFaults, on bool) { m.NoAPI = on })
	case "lostWrites":
		n.Set(func(m *fakes.MachineFaults) { m.LostWrites = 1 + int(f.duration/(5*time.Second)) })
	case "lostCalls":
		n.Set(func(m *fakes.MachineFaults) {
			m.LostCalls, m.LateBy = 2, min(f.duration, turnTime-100*time.Millisecond)
		})
	case "outage":
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, other := range s.nodes {
			other.Set(func(m *fakes.MachineFaults) { m.NoAPI = true })
			time.AfterFunc(f.duration, func() { other.Set(func(m *fakes.MachineFaults) { m.NoAPI = false }) })
		}
	case "slow":
		s.api.SetStatus(429)
		time.AfterFunc(f.duration, func() { s.api.SetStatus(0) })
	case "step":
		s.recordStep(f.duration - 6*time.Second)
		set(func(on bool) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.step = 0
			if on {
				n.step = f.duration - 6*time.Second
			}
		})
	case "cutOff":
		set(func(on bool) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.cutOff = on
		})
	case "stop":
		n.stop()
		n.SendLast()
		s.start(f.process, false, 0)
	case "kill":
		n.mu.Lock()
		n.killedAt = time.Now()
		n.mu.Unlock()
		n.Set(func(m *fakes.MachineFaults) { m.NoStore, m.NoAPI = true, true })
		n.stop()
		time.Sleep(f.duration)
		s.start(f.process, false, 0)
	}
}

// firstReports returns the first report of each window. Exact repetitions are ignored.
func firstReports(calls []fakes.DutyCall) []fakes.DutyCall {
	seen := map[string]bool{}
	return slices.DeleteFunc(slices.Clone(calls), func(c fakes.DutyCall) bool {
		repeated := seen[c.Subject]
		seen[c.Subject] = true
		return repeated
	})
}

// run runs a fleet with faults and returns what broke a rule. In the last windows there are no faults.
func run(seed uint64, faults []fault, loss float64) (broken []string, reports int) {
	ctx, cancel := context.WithCancel(context.Background())
	s := newSimulation(ctx, seed)
	s.loss = loss
	for i, name := range processes {
		off := time.Duration(0)
		if i == int(seed%uint64(len(processes))) {
			off = time.Duration(seed%13) * time.Second
		}
		s.start(name, true, off)
	}
	traffic, stopTraffic := context.WithCancel(ctx)
	s.wg.Go(func() { s.serve(traffic) })
	time.Sleep(6 * time.Second)
	for _, f := range faults {
		time.Sleep(f.pause)
		s.apply(f)
	}
	time.Sleep(40 * time.Second)
	calm := length.At(time.Now()) + 1
	time.Sleep(time.Until(length.End(calm + 3).Add(lateness)))
	calls, late := s.api.Calls(), length.At(time.Now())
	stopTraffic()
	time.Sleep(4 * requestInterval) // until no more requests are counted
	synctest.Wait()
	broken = fakes.CheckDutyCalls(calls, turnTime)
	found := s.api.Reports()
	for w := range s.truth {
		if w > calm+3 {
			continue
		}
		content, ok := found[strconv.FormatInt(int64(w), 10)]
		var counts Counts
		if err := json.Unmarshal([]byte(content), &counts); err != nil || !ok {
			broken = append(broken, fmt.Sprintf("window %d is not reported: %q (calm from %d to %d)", w, content, calm, late))
			continue
		}
		for account, n := range counts {
			if most := s.truth[w][account] + s.edge[w][account]; n > most {
				broken = append(broken, fmt.Sprintf("window %d: %s has %d of %d", w, account, n, most))
			}
		}
		for account, n := range s.truth[w] {
			if w >= calm && counts[account] < n {
				broken = append(broken, fmt.Sprintf("window %d without faults: %s has %d of %d", w, account, counts[account], n))
			}
		}
	}
	for _, c := range firstReports(calls) {
		k, err := strconv.ParseInt(c.Subject, 10, 64)
		if after := c.At.Sub(length.End(Window(k))); err != nil || Window(k) >= calm && after > lateness {
			broken = append(broken, fmt.Sprintf("window %s is reported after %v", c.Subject, after))
		}
	}
	cancel()
	s.wg.Wait()
	time.Sleep(20 * time.Second)
	return broken, len(found)
}

// TestEachWindowIsReportedOnce guards against two different reports for a window, windows without a report, requests that are counted
// twice, wrong counts without faults, and calls of holders out of order; with loss, delay, repetition, suspension, steps of clocks,
// takeover, lost answers and calls that are carried out seconds later.
func TestEachWindowIsReportedOnce(t *testing.T) {
	kinds := []string{"suspend", "noStore", "noAPI", "lostWrites", "lostCalls", "slow", "outage", "step", "cutOff", "stop", "kill"}
	total := 0
	rapid.Check(t, func(rt *rapid.T) {
		faults := drawFaults(rt, kinds)
		seed := uint64(rapid.IntRange(0, 1<<20).Draw(rt, "seed"))
		loss := rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(rt, "loss")
		var broken []string
		synctest.Test(t, func(*testing.T) {
			var reports int
			broken, reports = run(seed, faults, loss)
			total += reports
		})
		if len(broken) > 0 {
			rt.Fatal(strings.Join(broken, "; "))
		}
	})
	assert.Assert(t, total > 0)
	t.Logf("%d windows were reported", total)
}

// TestLossOfAHolderMakesNoWindowLate guards against a window whose report is late as its holder is lost at the worst time.
func TestLossOfAHolderMakesNoWindowLate(t *testing.T) {
	worst := time.Duration(0)
	for _, kind := range []string{"kill", "suspend", "noStore", "noAPI", "stop"} {
		for at := time.Duration(0); at < time.Duration(length); at += 150 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				s := newSimulation(ctx, uint64(at))
				for _, name := range processes {
					s.start(name, true, 0)
				}
				s.wg.Go(func() { s.serve(ctx) })
				time.Sleep(time.Until(length.End(length.At(time.Now()) + 3).Add(at)))
				calls := s.api.Calls()
				holder := units.ProcessName(calls[len(calls)-1].Holder)
				s.apply(fault{process: holder, kind: kind, duration: 15 * time.Second})
				time.Sleep(30 * time.Second)
				first, broken := Window(0), fakes.CheckDutyCalls(s.api.Calls(), turnTime)
				for _, c := range firstReports(s.api.Calls()) {
					k, err := strconv.ParseInt(c.Subject, 10, 64)
					if err != nil {
						broken = append(broken, err.Error())
					}
					after := c.At.Sub(length.End(Window(k)))
					worst = max(worst, after)
					if after > lateness {
						broken = append(broken, fmt.Sprintf("window %d is reported after %v", k, after))
					}
					if first != 0 && Window(k) > first+1 {
						broken = append(broken, fmt.Sprintf("windows after %d are left out", first))
					}
					first = max(first, Window(k))
				}
				cancel()
				s.wg.Wait()
				time.Sleep(20 * time.Second)
				assert.Equal(t, len(broken), 0, "%s at %v: %v", kind, at, broken)
			})
		}
	}
	t.Logf("latest report %v after the end of its window", worst)
}
