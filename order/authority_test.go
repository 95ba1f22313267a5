package order

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/lease"
)

const (
	leaseDuration = 10 * time.Second
	maxClockDrift = time.Second
	orderTime     = 2 * time.Second
	callDelay     = 100 * time.Millisecond
	settleTime    = 3 * time.Minute
)

func TestMain(m *testing.M) {
	os.Exit(fakes.RunWithFixedSeed(m, 200))
}

var errResponseLost = errors.New("response to the write was lost")

// disturbance is one fault, injected a given time after the previous one.
type disturbance struct {
	After    time.Duration
	Kind     string
	Holder   bool // affects the current holder of the lease
	Process  int  // affects this process if Holder is false
	Engine   int
	Point    pausePoint
	Duration time.Duration
}

func drawDisturbances(rt *rapid.T) []disturbance {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) disturbance {
		return disturbance{
			After: time.Duration(rapid.IntRange(3_000, 20_000).Draw(rt, "after")) * time.Millisecond,
			Kind: rapid.SampledFrom([]string{
				"pause", "pause", "pause", "pause", "pause", "cut", "heal", "lose", "crash",
			}).Draw(rt, "kind"),
			Holder:   rapid.SampledFrom([]bool{true, true, true, false}).Draw(rt, "holder"),
			Process:  rapid.IntRange(0, 2).Draw(rt, "process"),
			Engine:   rapid.IntRange(0, 1).Draw(rt, "engine"),
			Point:    rapid.SampledFrom(pausePoints).Draw(rt, "point"),
			Duration: time.Duration(rapid.IntRange(14, 60).Draw(rt, "duration")) * time.Second,
		}
	}), 12, 30).Draw(rt, "disturbances")
}

// TestAuthority guards against conflicting or stale orders from a process that lost its lease. Three processes compete
// for the lease and give orders to one engine that checks fencing tokens and one that does not. Processes pause at any
// step for longer than the lease, lose the connection to the platform, and lose responses to writes; engines crash
// during orders. The orders that the engines recorded must not conflict, and no two processes may hold a valid lease
// at once.
func TestAuthority(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(rt *rapid.T) {
		disturbances := drawDisturbances(rt)
		problem := ""
		synctest.Test(t, func(*testing.T) {
			store := fakes.NewStore()
			engines := []*fakeEngine{
				{name: "checks", checksFences: true, store: store}, {name: "ignores", store: store},
			}
			processes, stopHolders := startHolders(store, engines)
			stopWatch := watchHolders(processes)
			disturb(disturbances, processes, engines)
			time.Sleep(settleTime)
			stopHolders()
			problem = cmp.Or(checkLedgers(engines), stopWatch())
			for _, e := range engines {
				accepted += len(e.ledger)
			}
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
	if accepted == 0 {
		t.Fatal("no engine accepted an order in any run")
	}
	t.Logf("engines accepted %d orders", accepted)
}

func startHolders(store *fakes.Store, engines []*fakeEngine) ([]*holderProcess, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var processes []*holderProcess
	var wg sync.WaitGroup
	for i := range 3 {
		p := &holderProcess{name: fmt.Sprintf("p%d", i), pauser: &pauser{}, engines: engines, store: store}
		processes = append(processes, p)
		wg.Go(func() { p.run(ctx) })
	}
	return processes, func() {
		cancel()
		for _, p := range processes {
			p.pauser.resume()
		}
		wg.Wait()
		time.Sleep(2 * orderTime)
	}
}

func disturb(disturbances []disturbance, processes []*holderProcess, engines []*fakeEngine) {
	for _, d := range disturbances {
		time.Sleep(d.After)
		p := processes[d.Process]
		if d.Holder {
			p = currentHolder(processes, p)
		}
		switch d.Kind {
		case "pause":
			p.pauser.pauseAt(d.Point, d.Duration)
		case "cut", "heal":
			p.mu.Lock()
			p.disconnected = d.Kind == "cut"
			p.mu.Unlock()
		case "lose":
			p.mu.Lock()
			p.lostResponses++
			p.mu.Unlock()
		case "crash":
			engines[d.Engine].crash()
		}
	}
	for _, p := range processes {
		p.pauser.resume()
		p.mu.Lock()
		p.disconnected = false
		p.mu.Unlock()
	}
}

// watchHolders polls whether several processes hold a valid lease at once. The returned function stops polling and
// returns the violation, or an empty string.
func watchHolders(processes []*holderProcess) func() string {
	stop, done := make(chan struct{}), make(chan struct{})
	problem := ""
	go func() {
		defer close(done)
		for {
			valid := 0
			for _, p := range processes {
				if held := p.held.Load(); held != nil && held.Valid() {
					valid++
				}
			}
			if valid > 1 {
				problem = fmt.Sprintf("%d processes hold a valid lease at once", valid)
			}
			select {
			case <-stop:
				return
			case <-time.After(callDelay):
			}
		}
	}()
	return func() string {
		close(stop)
		<-done
		return problem
	}
}

// currentHolder returns the process that the stored lease names, or fallback if there is none.
func currentHolder(processes []*holderProcess, fallback *holderProcess) *holderProcess {
	o, err := fallback.store.Get(context.Background(), lease.Key("za", "llm"))
	var v lease.Record
	if err != nil || o.Decode(&v) != nil {
		return fallback
	}
	for _, p := range processes {
		if p.name == string(v.Holder) {
			return p
		}
	}
	return fallback
}

// checkLedgers returns the first order that an engine should not have accepted.
func checkLedgers(engines []*fakeEngine) string {
	for _, e := range engines {
		for _, o := range e.ledger {
			switch {
			case o.conflict:
				return fmt.Sprintf("engine %s accepted order %s while another order was running", e.name, o.ID)
			case o.stale && e.checksFences:
				return fmt.Sprintf("engine %s accepted order %s with an outdated fencing token", e.name, o.ID)
			case o.foreign:
				return fmt.Sprintf("engine %s accepted order %s of process %s, which is not its open intent in the journal",
					e.name, o.ID, o.Holder)
			}
		}
	}
	return ""
}
