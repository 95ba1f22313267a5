package proxy

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/buckthorntrack/buckthorntrack/fakes"
)

func TestMain(m *testing.M) {
	os.Exit(fakes.RunWithFixedSeed(m, 3000)) // simultaneous restarts are rare among the generated sequences
}

// modelProcess models one process that sends requests and retries.
type modelProcess struct {
	budget  *budget
	started time.Time
	known   int // number of processes that it last read from the platform, zero before the first read
}

// TestRetriesOfAllProcessesStayWithinBudget guards against retries that together exceed the budget of the service.
// Processes restart, which loses their counts, read the number of processes late, and retry as often as they may.
func TestRetriesOfAllProcessesStayWithinBudget(t *testing.T) {
	whole := RetryBudget{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		processes := make([]*modelProcess, rapid.IntRange(1, 24).Draw(rt, "processes"))
		for i := range processes {
			processes[i] = &modelProcess{budget: &budget{}, started: now, known: len(processes)}
		}
		now = now.Add(whole.Window) // no process is fresh
		var requests, retries []time.Time
		var starts []time.Time
		share := func(p *modelProcess) RetryBudget { return whole.Share(p.known, now.Sub(p.started) < whole.Window) }
		checkBudget := func() {
			retries = dropBefore(retries, now.Add(-whole.Window))
			counted := 0 // most requests in this window, the one half a window earlier or the one a window earlier
			for _, shift := range []time.Duration{0, whole.Window / 2, whole.Window} {
				until := now.Add(-shift)
				from := until.Add(-whole.Window)
				n := 0
				for _, at := range requests {
					if !at.Before(from) && !at.After(until) {
						n++
					}
				}
				counted = max(counted, n)
			}
			if bound := whole.Ratio*float64(counted) + whole.Slack; float64(len(retries)) > bound {
				rt.Fatalf("%d retries in a window with %d requests, %.1f allowed", len(retries), counted, bound)
			}
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			event := rapid.IntRange(0, 4).Draw(rt, "event")
			if event == 0 {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(rt, "ms")) * time.Millisecond)
				checkBudget()
				continue
			}
			affected := processes // all processes, or one of them
			if rapid.Bool().Draw(rt, "one") {
				n := rapid.IntRange(0, len(processes)-1).Draw(rt, "process")
				affected = processes[n : n+1]
			}
			for _, p := range affected {
				switch event {
				case 1: // callers send requests
					for range rapid.IntRange(1, 30).Draw(rt, "requests") {
						p.budget.addRequest(share(p), now)
						requests = append(requests, now)
					}
				case 2: // the process retries until its budget is exhausted
					for p.budget.take(share(p), now) {
						retries = append(retries, now)
					}
				case 3: // the process is killed and restarts; on average at most twice per process in a window
					starts = dropBefore(starts, now.Add(-whole.Window))
					if len(starts) < 2*len(processes) {
						starts = append(starts, now)
						*p = modelProcess{budget: &budget{}, started: now}
					}
				case 4: // the process reads the number of processes
					p.known = len(processes)
				}
			}
			checkBudget()
		}
	})
}
