package carry

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/buckthorntrack/buckthorntrack/fakes"
)

func TestMain(m *testing.M) {
	os.Exit(fakes.FixedCourses(m, 3000)) // herds of starts are rare among the drawn courses
}

// modelProcess is one entry process as the model sees it.
type modelProcess struct {
	budget  *budget
	started time.Time
	known   int // processes on the platform, as it heard last; zero before it has read them
}

// TestRepeatsOfAllProcessesStayWithinTheAllowance draws courses in which processes are killed, start again, join and learn of
// each other late, and send as many repeats as they may.
func TestRepeatsOfAllProcessesStayWithinTheAllowance(t *testing.T) {
	whole := Allowance{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		processes := make([]*modelProcess, rapid.IntRange(1, 24).Draw(rt, "processes"))
		for i := range processes {
			processes[i] = &modelProcess{budget: &budget{}, started: now, known: len(processes)}
		}
		now = now.Add(whole.Window) // all have run for a while
		var requests, repeats []time.Time
		var starts []time.Time
		share := func(p *modelProcess) Allowance { return whole.Share(p.known, now.Sub(p.started) < whole.Window) }
		hold := func() {
			repeats = since(repeats, now.Add(-whole.Window))
			counted := 0 // in this window, the one before it or the one half a window before it, whichever has most
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
			if bound := whole.Ratio*float64(counted) + whole.Slack; float64(len(repeats)) > bound {
				rt.Fatalf("%d repeats in a window with %d requests, %.1f allowed", len(repeats), counted, bound)
			}
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			event := rapid.IntRange(0, 4).Draw(rt, "event")
			if event == 0 {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(rt, "ms")) * time.Millisecond)
				hold()
				continue
			}
			concerned := processes // a herd, or one of them
			if rapid.Bool().Draw(rt, "one") {
				n := rapid.IntRange(0, len(processes)-1).Draw(rt, "process")
				concerned = processes[n : n+1]
			}
			for _, p := range concerned {
				switch event {
				case 1: // callers come
					for range rapid.IntRange(1, 30).Draw(rt, "requests") {
						p.budget.request(share(p), now)
						requests = append(requests, now)
					}
				case 2: // as many repeats as it may send
					for p.budget.take(share(p), now) {
						repeats = append(repeats, now)
					}
				case 3: // it is killed and starts again, all together twice in a window at most
					starts = since(starts, now.Add(-whole.Window))
					if len(starts) < 2*len(processes) {
						starts = append(starts, now)
						*p = modelProcess{budget: &budget{}, started: now}
					}
				case 4: // it reads which processes there are
					p.known = len(processes)
				}
			}
			hold()
		}
	})
}
