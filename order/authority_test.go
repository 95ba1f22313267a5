package order

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/lease"
	"github.com/buckthorntrack/buckthorntrack/plat"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	leaseTime = 10 * time.Second
	driftTime = time.Second
	orderTime = 2 * time.Second
	callTime  = 100 * time.Millisecond
	runTime   = 3 * time.Minute
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
		_ = flag.Set("rapid.checks", "200")
	}
	os.Exit(m.Run())
}

var errLost = errors.New("answer was lost")

// point is a place in the work of a process at which it can be paused.
type point string

// points has those more than once at which a pause does most harm.
var points = []point{
	"get", "list", "before put", "before put", "after put", "before give", "before give", "before give", "after give",
	"state", "state", "raise", "clear",
}

// pauses holds up all that one process does, as SIGSTOP would.
type pauses struct {
	mu     sync.Mutex
	paused chan struct{} // closed when the process goes on; nil while it runs
	next   point         // at which the process pauses by itself
	length time.Duration
}

// at makes the process pause for the time when it comes to the point next.
func (p *pauses) at(next point, length time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next, p.length = next, length
}

func (p *pauses) cont() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next = ""
	if p.paused != nil {
		close(p.paused)
		p.paused = nil
	}
}

// wait holds the process up at the point while it is paused.
func (p *pauses) wait(here point) {
	for {
		p.mu.Lock()
		if p.next == here && p.paused == nil {
			p.next = ""
			p.paused = make(chan struct{})
			time.AfterFunc(p.length, p.cont)
		}
		paused := p.paused
		p.mu.Unlock()
		if paused == nil {
			return
		}
		<-paused
	}
}

// pausedStore is the platform as a process that can be paused before and after each call sees it.
type pausedStore struct {
	*fakes.Store

	pauses *pauses
	cut    *bool
	lose   *int
	mu     *sync.Mutex
}

func (s pausedStore) Get(ctx context.Context, key string) (plat.Object, error) {
	s.pauses.wait("get")
	if s.isCut() {
		return plat.Object{}, plat.ErrUnavailable
	}
	o, err := s.Store.Get(ctx, key)
	s.pauses.wait("get")
	return o, err
}

func (s pausedStore) List(ctx context.Context, prefix string) ([]plat.Object, error) {
	s.pauses.wait("list")
	if s.isCut() {
		return nil, plat.ErrUnavailable
	}
	o, err := s.Store.List(ctx, prefix)
	s.pauses.wait("list")
	return o, err
}

// Put may lose its answer after the write took effect, which the client would report as unresolved.
func (s pausedStore) Put(ctx context.Context, o plat.Object) (plat.Object, error) {
	s.pauses.wait("before put")
	if s.isCut() {
		return plat.Object{}, plat.ErrUnavailable
	}
	time.Sleep(callTime)
	s.pauses.wait("before put")
	written, err := s.Store.Put(ctx, o)
	s.pauses.wait("after put")
	if err == nil && s.loses() {
		return plat.Object{}, errors.Join(plat.ErrUnresolved, errLost)
	}
	return written, err
}

func (s pausedStore) isCut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return *s.cut
}

func (s pausedStore) loses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *s.lose == 0 {
		return false
	}
	*s.lose--
	return true
}

// held is one order that a stand-in engine accepted.
type heldOrder struct {
	engine.Order

	conflict bool
	stale    bool
	foreign  bool // not the open intent of the journal
}

// standIn is an engine that carries orders out in its own time.
type standIn struct {
	name   units.EngineName
	checks bool
	store  *fakes.Store

	mu      sync.Mutex
	ledger  []heldOrder
	highest units.Fence
	current string
	epoch   int
	done    []string
}

func (e *standIn) order(o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checks && o.Fence < e.highest {
		return engine.ErrOldFence
	}
	if e.checks && (e.current == o.ID || slices.Contains(e.done, o.ID)) {
		return nil
	}
	e.ledger = append(e.ledger, heldOrder{
		Order: o, conflict: e.current != "" && e.current != o.ID, stale: o.Fence < e.highest, foreign: !e.isOpen(o.ID),
	})
	e.highest = max(e.highest, o.Fence)
	e.current = o.ID
	epoch := e.epoch
	go func() {
		time.Sleep(orderTime)
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.epoch == epoch && e.current == o.ID {
			e.current = ""
			e.done = append(e.done, o.ID)
		}
	}()
	return nil
}

// isOpen reports whether the journal has the order as the engine's open intent.
func (e *standIn) isOpen(id string) bool {
	o, err := e.store.Get(context.Background(), ServicePrefix("za", "llm")+string(e.name))
	var r Record
	return err == nil && o.Decode(&r) == nil && r.Open != nil && r.Open.ID == id
}

func (e *standIn) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.epoch++
	e.current = ""
	e.done = nil
}

// pausedOrders is an engine as a process that can be paused before and after each call sees it.
type pausedOrders struct {
	engine *standIn
	pauses *pauses
}

func (p pausedOrders) Raise(_ context.Context, fence units.Fence) error {
	p.pauses.wait("raise")
	p.engine.mu.Lock()
	defer p.engine.mu.Unlock()
	if !p.engine.checks {
		return nil
	}
	if fence < p.engine.highest {
		return engine.ErrOldFence
	}
	p.engine.highest = fence
	return nil
}

func (p pausedOrders) Give(_ context.Context, o engine.Order) error {
	p.pauses.wait("before give")
	time.Sleep(callTime)
	p.pauses.wait("before give")
	err := p.engine.order(o)
	p.pauses.wait("after give")
	return err
}

func (p pausedOrders) State(context.Context) (engine.State, error) {
	p.pauses.wait("state")
	p.engine.mu.Lock()
	defer p.engine.mu.Unlock()
	return engine.State{Current: p.engine.current, Done: slices.Clone(p.engine.done)}, nil
}

// clearNow is a clearance that takes a moment.
type clearNow struct {
	pauses *pauses
}

func (c clearNow) Clear(context.Context, string, units.EngineName) error {
	c.pauses.wait("clear")
	time.Sleep(300 * time.Millisecond)
	c.pauses.wait("clear")
	return nil
}

func (clearNow) Cordon(string, units.EngineName)  {}
func (clearNow) Restore(string, units.EngineName) {}

// holderProcess is one process that competes for the lease and gives orders while it has it.
type holderProcess struct {
	name    string
	pauses  *pauses
	mu      sync.Mutex
	cut     bool
	lose    int
	engines []*standIn
	store   *fakes.Store
	held    atomic.Pointer[lease.Held]
}

func (p *holderProcess) run(ctx context.Context) {
	store := pausedStore{Store: p.store, pauses: p.pauses, cut: &p.cut, lose: &p.lose, mu: &p.mu}
	name := units.ProcessName(p.name)
	keeper := lease.New(lease.Options{
		Place: "za", Service: "llm", Name: name, Duration: leaseTime, Drift: driftTime,
		Eligible: func() bool { p.pauses.wait("get"); return true },
	}, store, time.Now, zerolog.Nop())
	journal := NewJournal(store, "za", "llm", name, units.VMName("vm-"+p.name), time.Now)
	giver := NewGiver(journal, clearNow{p.pauses}, func(units.VMName) bool { return false }, zerolog.Nop())
	keeper.Run(ctx, func(ctx context.Context, held *lease.Held) { p.hold(ctx, held, journal, giver) })
}

func (p *holderProcess) hold(ctx context.Context, held *lease.Held, j *Journal, g *Giver) {
	p.held.Store(held)
	for held.Valid() && ctx.Err() == nil {
		open, err := j.TakeOver(ctx, held)
		for _, e := range open {
			_ = g.Recover(ctx, held, p.target(e.Engine), e)
		}
		if err == nil {
			for i, e := range p.engines {
				role := []engine.Role{engine.RolePrefill, engine.RoleDecode}[(int(held.Fence)+i)%2]
				_ = g.Give(ctx, held, p.target(e.name), engine.OrderRole, string(role), "test")
			}
		}
		if !plat.Sleep(ctx, 500*time.Millisecond) {
			return
		}
	}
}

func (p *holderProcess) target(name units.EngineName) Target {
	for _, e := range p.engines {
		if e.name == name {
			return Target{Name: name, ChecksFences: e.checks, Orders: pausedOrders{engine: e, pauses: p.pauses}}
		}
	}
	return Target{}
}

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
	var v lease.Value
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
