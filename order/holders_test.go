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

// pausePoint is a step of a process at which it can be paused.
type pausePoint string

// pausePoints lists the points to draw from; those where a pause is most likely to cause a conflict are repeated.
var pausePoints = []pausePoint{
	"get", "list", "before put", "before put", "after put", "before submit", "before submit", "before submit",
	"after submit", "state", "state", "raise", "drain",
}

// pauser suspends all work of one process, as SIGSTOP does.
type pauser struct {
	mu       sync.Mutex
	paused   chan struct{} // closed when the process resumes; nil while it runs
	next     pausePoint    // where the process pauses next; empty for none
	duration time.Duration
}

// pauseAt makes the process pause for the duration when it next reaches the point.
func (p *pauser) pauseAt(next pausePoint, duration time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next, p.duration = next, duration
}

func (p *pauser) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next = ""
	if p.paused != nil {
		close(p.paused)
		p.paused = nil
	}
}

// wait blocks at the point while the process is paused, and starts the pause that is scheduled for it.
func (p *pauser) wait(point pausePoint) {
	for {
		p.mu.Lock()
		if p.next == point && p.paused == nil {
			p.next = ""
			p.paused = make(chan struct{})
			time.AfterFunc(p.duration, p.resume)
		}
		paused := p.paused
		p.mu.Unlock()
		if paused == nil {
			return
		}
		<-paused
	}
}

// pausableStore is the platform store of one process, which may pause before and after each call.
type pausableStore struct {
	*fakes.Store

	pauser        *pauser
	disconnected  *bool
	lostResponses *int
	mu            *sync.Mutex
}

func (s pausableStore) Get(ctx context.Context, key string) (objapi.Object, error) {
	s.pauser.wait("get")
	if s.isDisconnected() {
		return objapi.Object{}, objapi.ErrUnavailable
	}
	o, err := s.Store.Get(ctx, key)
	s.pauser.wait("get")
	return o, err
}

func (s pausableStore) List(ctx context.Context, prefix string) ([]objapi.Object, error) {
	s.pauser.wait("list")
	if s.isDisconnected() {
		return nil, objapi.ErrUnavailable
	}
	o, err := s.Store.List(ctx, prefix)
	s.pauser.wait("list")
	return o, err
}

// Put may lose the response to a successful write, which the real client reports as unresolved.
func (s pausableStore) Put(ctx context.Context, o objapi.Object) (objapi.Object, error) {
	s.pauser.wait("before put")
	if s.isDisconnected() {
		return objapi.Object{}, objapi.ErrUnavailable
	}
	time.Sleep(callDelay)
	s.pauser.wait("before put")
	written, err := s.Store.Put(ctx, o)
	s.pauser.wait("after put")
	if err == nil && s.loseResponse() {
		return objapi.Object{}, errors.Join(objapi.ErrUnresolved, errResponseLost)
	}
	return written, err
}

func (s pausableStore) isDisconnected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return *s.disconnected
}

func (s pausableStore) loseResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *s.lostResponses == 0 {
		return false
	}
	*s.lostResponses--
	return true
}

// acceptedOrder is an order that a fake engine accepted.
type acceptedOrder struct {
	engine.Order

	conflict bool // another order was running
	stale    bool // its fencing token was below the highest one
	foreign  bool // it was not the open intent of the engine in the journal
}

// fakeEngine is an engine that takes orderTime to complete an order.
type fakeEngine struct {
	name         units.EngineName
	checksFences bool
	store        *fakes.Store

	mu           sync.Mutex
	ledger       []acceptedOrder
	highestFence units.FencingToken
	current      string
	incarnation  int
	done         []string
}

func (e *fakeEngine) order(o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checksFences && o.Fence < e.highestFence {
		return engine.ErrOldFence
	}
	if e.checksFences && (e.current == o.ID || slices.Contains(e.done, o.ID)) {
		return nil
	}
	e.ledger = append(e.ledger, acceptedOrder{
		Order: o, conflict: e.current != "" && e.current != o.ID, stale: o.Fence < e.highestFence,
		foreign: !e.isOpen(o.ID),
	})
	e.highestFence = max(e.highestFence, o.Fence)
	e.current = o.ID
	incarnation := e.incarnation
	go func() {
		time.Sleep(orderTime)
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.incarnation == incarnation && e.current == o.ID {
			e.current = ""
			e.done = append(e.done, o.ID)
		}
	}()
	return nil
}

// isOpen reports whether the order is the open intent of the engine in the journal.
func (e *fakeEngine) isOpen(id string) bool {
	o, err := e.store.Get(context.Background(), ServicePrefix("za", "llm")+string(e.name))
	var r Record
	return err == nil && o.Decode(&r) == nil && r.Open != nil && r.Open.ID == id
}

func (e *fakeEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation++
	e.current = ""
	e.done = nil
}

// pausableOrders calls an engine for one process, which may pause before and after each call.
type pausableOrders struct {
	engine *fakeEngine
	pauser *pauser
}

func (p pausableOrders) RaiseFence(_ context.Context, fence units.FencingToken) error {
	p.pauser.wait("raise")
	p.engine.mu.Lock()
	defer p.engine.mu.Unlock()
	if !p.engine.checksFences {
		return nil
	}
	if fence < p.engine.highestFence {
		return engine.ErrOldFence
	}
	p.engine.highestFence = fence
	return nil
}

func (p pausableOrders) Submit(_ context.Context, o engine.Order) error {
	p.pauser.wait("before submit")
	time.Sleep(callDelay)
	p.pauser.wait("before submit")
	err := p.engine.order(o)
	p.pauser.wait("after submit")
	return err
}

func (p pausableOrders) State(context.Context) (engine.State, error) {
	p.pauser.wait("state")
	p.engine.mu.Lock()
	defer p.engine.mu.Unlock()
	return engine.State{Current: p.engine.current, Done: slices.Clone(p.engine.done)}, nil
}

// delayedDrainer is a Drainer that succeeds after a short delay.
type delayedDrainer struct {
	pauser *pauser
}

func (d delayedDrainer) Drain(context.Context, string, units.EngineName) error {
	d.pauser.wait("drain")
	time.Sleep(300 * time.Millisecond)
	d.pauser.wait("drain")
	return nil
}

func (delayedDrainer) Cordon(string, units.EngineName)   {}
func (delayedDrainer) Uncordon(string, units.EngineName) {}

// holderProcess is a process that competes for the lease and gives orders while it holds the lease.
type holderProcess struct {
	name          string
	pauser        *pauser
	mu            sync.Mutex
	disconnected  bool
	lostResponses int
	engines       []*fakeEngine
	store         *fakes.Store
	held          atomic.Pointer[lease.Lease]
}

func (p *holderProcess) run(ctx context.Context) {
	store := pausableStore{
		Store: p.store, pauser: p.pauser, disconnected: &p.disconnected, lostResponses: &p.lostResponses, mu: &p.mu,
	}
	name := units.ProcessName(p.name)
	leaseKeeper := lease.New(lease.Options{
		Place: "za", Service: "llm", Name: name, Duration: leaseDuration, Drift: maxClockDrift,
		Eligible: func() bool { p.pauser.wait("get"); return true },
	}, store, time.Now, zerolog.Nop())
	journal := NewJournal(store, "za", "llm", name, units.VMName("vm-"+p.name), time.Now)
	executor := NewExecutor(journal, delayedDrainer{p.pauser}, func(units.VMName) bool { return false }, zerolog.Nop())
	leaseKeeper.Run(ctx, func(ctx context.Context, held *lease.Lease) { p.giveOrders(ctx, held, journal, executor) })
}

func (p *holderProcess) giveOrders(ctx context.Context, held *lease.Lease, j *Journal, x *Executor) {
	p.held.Store(held)
	for held.Valid() && ctx.Err() == nil {
		open, err := j.TakeOver(ctx, held)
		for _, e := range open {
			_ = x.Recover(ctx, held, p.target(e.Engine), e)
		}
		if err == nil {
			for i, e := range p.engines {
				role := []engine.Role{engine.RolePrefill, engine.RoleDecode}[(int(held.Fence)+i)%2]
				_ = x.Execute(ctx, held, p.target(e.name), engine.OrderRole, string(role), "test")
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
			return Target{Name: name, ChecksFences: e.checksFences, Orders: pausableOrders{engine: e, pauser: p.pauser}}
		}
	}
	return Target{}
}
