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
	leaseTime = 10 * time.Second
	driftTime = time.Second
	orderTime = 2 * time.Second
	callTime  = 100 * time.Millisecond
	runTime   = 3 * time.Minute
)

func TestMain(m *testing.M) {
	os.Exit(fakes.RunWithFixedSeed(m, 200))
}

var errLost = errors.New("answer was lost")

// act is one disturbance at a time after the one before.
type act struct {
	After   time.Duration
	Kind    string
	Holder  bool // hits the present holder of the lease
	Process int  // hits this process otherwise
	Engine  int
	Point   point
	Length  time.Duration
}

func drawActs(rt *rapid.T) []act {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) act {
		return act{
			After:   time.Duration(rapid.IntRange(3_000, 20_000).Draw(rt, "after")) * time.Millisecond,
			Kind:    rapid.SampledFrom([]string{"pause", "pause", "pause", "pause", "pause", "cut", "heal", "lose", "crash"}).Draw(rt, "kind"),
			Holder:  rapid.SampledFrom([]bool{true, true, true, false}).Draw(rt, "holder"),
			Process: rapid.IntRange(0, 2).Draw(rt, "process"),
			Engine:  rapid.IntRange(0, 1).Draw(rt, "engine"),
			Point:   rapid.SampledFrom(points).Draw(rt, "point"),
			Length:  time.Duration(rapid.IntRange(14, 60).Draw(rt, "length")) * time.Second,
		}
	}), 12, 30).Draw(rt, "acts")
}

// TestAuthority runs three processes that compete for a lease and give orders to an engine that checks fencing
// numbers and to one that does not. Processes are paused at any step and longer than their lease, cut off from the
// platform and lose answers; engines crash half way. The engines' ledgers decide.
func TestAuthority(t *testing.T) {
	given := 0
	rapid.Check(t, func(rt *rapid.T) {
		acts := drawActs(rt)
		problem := ""
		synctest.Test(t, func(*testing.T) {
			store := fakes.NewStore()
			engines := []*standIn{{name: "checks", checks: true, store: store}, {name: "ignores", store: store}}
			processes, stop := startHolders(store, engines)
			holders := watchHolders(processes)
			disturb(acts, processes, engines)
			time.Sleep(runTime)
			stop()
			problem = cmp.Or(checkLedgers(engines), holders())
			for _, e := range engines {
				given += len(e.ledger)
			}
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
	if given == 0 {
		t.Fatal("no order was ever given")
	}
	t.Logf("%d orders given", given)
}

func startHolders(store *fakes.Store, engines []*standIn) ([]*holderProcess, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var processes []*holderProcess
	var wg sync.WaitGroup
	for i := range 3 {
		p := &holderProcess{name: fmt.Sprintf("p%d", i), pauses: &pauses{}, engines: engines, store: store}
		processes = append(processes, p)
		wg.Go(func() { p.run(ctx) })
	}
	return processes, func() {
		cancel()
		for _, p := range processes {
			p.pauses.cont()
		}
		wg.Wait()
		time.Sleep(2 * orderTime)
	}
}

func disturb(acts []act, processes []*holderProcess, engines []*standIn) {
	for _, a := range acts {
		time.Sleep(a.After)
		p := processes[a.Process]
		if a.Holder {
			p = presentHolder(processes, p)
		}
		switch a.Kind {
		case "pause":
			p.pauses.at(a.Point, a.Length)
		case "cut", "heal":
			p.mu.Lock()
			p.cut = a.Kind == "cut"
			p.mu.Unlock()
		case "lose":
			p.mu.Lock()
			p.lose++
			p.mu.Unlock()
		case "crash":
			engines[a.Engine].crash()
		}
	}
	for _, p := range processes {
		p.pauses.cont()
		p.mu.Lock()
		p.cut = false
		p.mu.Unlock()
	}
}

// watchHolders looks again and again whether two processes believe that they hold the lease. The function that it
// returns ends the watch and tells.
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
				problem = fmt.Sprintf("%d processes hold the lease at once", valid)
			}
			select {
			case <-stop:
				return
			case <-time.After(callTime):
			}
		}
	}()
	return func() string {
		close(stop)
		<-done
		return problem
	}
}

// presentHolder returns the process that the lease names, or the other one when it names none.
func presentHolder(processes []*holderProcess, other *holderProcess) *holderProcess {
	o, err := other.store.Get(context.Background(), lease.Key("za", "llm"))
	var v lease.Record
	if err != nil || o.Decode(&v) != nil {
		return other
	}
	for _, p := range processes {
		if p.name == string(v.Holder) {
			return p
		}
	}
	return other
}

// checkLedgers returns the first order that an engine should never have held.
func checkLedgers(engines []*standIn) string {
	for _, e := range engines {
		for _, o := range e.ledger {
			switch {
			case o.conflict:
				return fmt.Sprintf("%s held order %s beside another", e.name, o.ID)
			case o.stale && e.checks:
				return fmt.Sprintf("%s accepted order %s with an old fencing number", e.name, o.ID)
			case o.foreign:
				return fmt.Sprintf("%s held order %s of %s, which is not its open intent", e.name, o.ID, o.Holder)
			}
		}
	}
	return ""
}
