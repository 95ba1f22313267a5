package order

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/lease"
	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

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

func (s pausedStore) Get(ctx context.Context, key string) (objapi.Object, error) {
	s.pauses.wait("get")
	if s.isCut() {
		return objapi.Object{}, objapi.ErrUnavailable
	}
	o, err := s.Store.Get(ctx, key)
	s.pauses.wait("get")
	return o, err
}

func (s pausedStore) List(ctx context.Context, prefix string) ([]objapi.Object, error) {
	s.pauses.wait("list")
	if s.isCut() {
		return nil, objapi.ErrUnavailable
	}
	o, err := s.Store.List(ctx, prefix)
	s.pauses.wait("list")
	return o, err
}

// Put may lose its answer after the write took effect, which the client would report as unresolved.
func (s pausedStore) Put(ctx context.Context, o objapi.Object) (objapi.Object, error) {
	s.pauses.wait("before put")
	if s.isCut() {
		return objapi.Object{}, objapi.ErrUnavailable
	}
	time.Sleep(callTime)
	s.pauses.wait("before put")
	written, err := s.Store.Put(ctx, o)
	s.pauses.wait("after put")
	if err == nil && s.loses() {
		return objapi.Object{}, errors.Join(objapi.ErrUnresolved, errLost)
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
	highest units.FencingToken
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

func (p pausedOrders) RaiseFence(_ context.Context, fence units.FencingToken) error {
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

func (p pausedOrders) Submit(_ context.Context, o engine.Order) error {
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

func (c clearNow) Drain(context.Context, string, units.EngineName) error {
	c.pauses.wait("clear")
	time.Sleep(300 * time.Millisecond)
	c.pauses.wait("clear")
	return nil
}

func (clearNow) Cordon(string, units.EngineName)   {}
func (clearNow) Uncordon(string, units.EngineName) {}

// holderProcess is one process that competes for the lease and gives orders while it has it.
type holderProcess struct {
	name    string
	pauses  *pauses
	mu      sync.Mutex
	cut     bool
	lose    int
	engines []*standIn
	store   *fakes.Store
	held    atomic.Pointer[lease.Lease]
}

func (p *holderProcess) run(ctx context.Context) {
	store := pausedStore{Store: p.store, pauses: p.pauses, cut: &p.cut, lose: &p.lose, mu: &p.mu}
	name := units.ProcessName(p.name)
	keeper := lease.New(lease.Options{
		Place: "za", Service: "llm", Name: name, Duration: leaseTime, Drift: driftTime,
		Eligible: func() bool { p.pauses.wait("get"); return true },
	}, store, time.Now, zerolog.Nop())
	journal := NewJournal(store, "za", "llm", name, units.VMName("vm-"+p.name), time.Now)
	giver := NewExecutor(journal, clearNow{p.pauses}, func(units.VMName) bool { return false }, zerolog.Nop())
	keeper.Run(ctx, func(ctx context.Context, held *lease.Lease) { p.hold(ctx, held, journal, giver) })
}

func (p *holderProcess) hold(ctx context.Context, held *lease.Lease, j *Journal, g *Executor) {
	p.held.Store(held)
	for held.Valid() && ctx.Err() == nil {
		open, err := j.TakeOver(ctx, held)
		for _, e := range open {
			_ = g.Recover(ctx, held, p.target(e.Engine), e)
		}
		if err == nil {
			for i, e := range p.engines {
				role := []engine.Role{engine.RolePrefill, engine.RoleDecode}[(int(held.Fence)+i)%2]
				_ = g.Execute(ctx, held, p.target(e.name), engine.OrderRole, string(role), "test")
			}
		}
		if !wait.Sleep(ctx, 500*time.Millisecond) {
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
