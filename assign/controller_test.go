package assign_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntrack/buckthorntrack/assign"
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/lease"
	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Bounds that the operators of the engines state.
const (
	minHolderChange = 3 * time.Second        // minimum time between orders of different holders
	resumeGrace     = 300 * time.Millisecond // this soon after their sender resumed, orders may be out of sequence
)

const (
	leaseDuration  = 10 * time.Second
	maxClockDrift  = time.Second
	roleChangeTime = 3 * time.Second
	callDelay      = 20 * time.Millisecond
	runTime        = 3 * time.Minute
	processCount   = 3
	fleetSize      = 6
)

var errNoResponse = errors.New("no response from the store or the engine")

// faultState holds the faults of one process. While the process is frozen, none of its calls starts or returns.
type faultState struct {
	mu           sync.Mutex
	resumeAt     time.Time
	disconnected bool
	lostWrites   int           // number of upcoming writes that get no response
	delay        time.Duration // after which a write or order without a response takes effect
	lostOrders   int           // number of upcoming orders that get no response
}

func (f *faultState) wait() {
	for {
		f.mu.Lock()
		left := time.Until(f.resumeAt)
		f.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

func (f *faultState) resumeTime() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.resumeAt
}

// faultyStore is the platform store with the faults of one process.
type faultyStore struct {
	objapi.Store
	faults *faultState
}

func (s faultyStore) start(ctx context.Context) error {
	s.faults.wait()
	time.Sleep(callDelay)
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	if s.faults.disconnected {
		return errNoResponse
	}
	return ctx.Err()
}

// Get implements objapi.Store.
func (s faultyStore) Get(ctx context.Context, key string) (objapi.Object, error) {
	if err := s.start(ctx); err != nil {
		return objapi.Object{}, err
	}
	o, err := s.Store.Get(ctx, key)
	s.faults.wait()
	return o, err
}

// Put implements objapi.Store. A write without a response may take effect much later.
func (s faultyStore) Put(ctx context.Context, o objapi.Object) (objapi.Object, error) {
	if err := s.start(ctx); err != nil {
		return objapi.Object{}, err
	}
	s.faults.mu.Lock()
	lost, delay := s.faults.lostWrites > 0, s.faults.delay
	if lost {
		s.faults.lostWrites--
	}
	s.faults.mu.Unlock()
	if lost {
		go func() {
			time.Sleep(delay)
			_, _ = s.Store.Put(context.WithoutCancel(ctx), o)
		}()
		return objapi.Object{}, errNoResponse
	}
	written, err := s.Store.Put(ctx, o)
	s.faults.wait()
	return written, err
}

// receivedOrder is an order that reached an engine.
type receivedOrder struct {
	at       time.Time
	holder   units.ProcessName
	fence    units.FencingToken
	accepted bool
	onTime   bool // neither delayed nor from a process that had just resumed
}

// engineFleet simulates engines that check fencing tokens, and the registry that lists them.
type engineFleet struct {
	mu     sync.Mutex
	byID   map[units.EngineName]*simulatedEngine
	orders []receivedOrder
}

type simulatedEngine struct {
	listed         *pick.Engine
	role           engine.Role
	fence          units.FencingToken
	acceptedOrders int64
	busyUntil      time.Time
}

// Of implements assign.Engines.
func (ef *engineFleet) Of(units.ServiceName) []*pick.Engine {
	ef.mu.Lock()
	defer ef.mu.Unlock()
	var listed []*pick.Engine
	for n := range fleetSize {
		listed = append(listed, ef.byID[engineName(n)].listed)
	}
	return listed
}

func engineName(n int) units.EngineName { return units.EngineName(fmt.Sprint("e", n)) }

// restart replaces an engine by a new incarnation with the role, which has seen no fencing token yet.
func (ef *engineFleet) restart(n int, role engine.Role) {
	ef.mu.Lock()
	defer ef.mu.Unlock()
	e := pick.NewEngine(pick.Entry{ID: engineName(n), StartedAt: time.Now().UnixMilli(), Region: "a", Role: role})
	ef.byID[engineName(n)] = &simulatedEngine{listed: e, role: role}
}

func (ef *engineFleet) order(o assign.Order, onTime bool) error {
	ef.mu.Lock()
	defer ef.mu.Unlock()
	e := ef.byID[o.Engine.ID]
	received := receivedOrder{at: time.Now(), holder: o.Holder, fence: o.Fence, onTime: onTime}
	defer func() { ef.orders = append(ef.orders, received) }()
	switch {
	case o.Engine.StartedAt != e.listed.StartedAt:
		return assign.ErrRefused
	case o.Fence < e.fence:
		return assign.ErrFenced
	case o.Expected != e.acceptedOrders || time.Now().Before(e.busyUntil):
		return assign.ErrBusy
	}
	received.accepted = true
	e.fence, e.role, e.busyUntil = o.Fence, o.Role, time.Now().Add(roleChangeTime)
	e.acceptedOrders++
	entry := e.listed.Entry
	entry.Role = o.Role
	listed := e.listed
	time.AfterFunc(roleChangeTime, func() {
		ef.mu.Lock()
		defer ef.mu.Unlock()
		if now := ef.byID[entry.ID]; now.listed == listed {
			now.listed = now.listed.WithEntry(entry)
		}
	})
	return nil
}

// faultyOrders calls the engines with the faults of one process.
type faultyOrders struct {
	engines *engineFleet
	faults  *faultState
}

// Report implements assign.Orders.
func (o faultyOrders) Report(_ context.Context, e *pick.Engine) (assign.Report, error) {
	o.faults.wait()
	time.Sleep(callDelay)
	o.engines.mu.Lock()
	known := o.engines.byID[e.ID]
	r := assign.Report{Role: known.role, Busy: time.Now().Before(known.busyUntil), Orders: known.acceptedOrders}
	o.engines.mu.Unlock()
	o.faults.wait()
	return r, nil
}

// Submit implements assign.Orders.
func (o faultyOrders) Submit(_ context.Context, sent assign.Order) error {
	o.faults.wait()
	resumed := o.faults.resumeTime()
	time.Sleep(callDelay)
	o.faults.mu.Lock()
	lost, delay := o.faults.lostOrders > 0, o.faults.delay
	if lost {
		o.faults.lostOrders--
	}
	o.faults.mu.Unlock()
	if lost {
		time.AfterFunc(delay, func() { _ = o.engines.order(sent, false) })
		return errNoResponse
	}
	err := o.engines.order(sent, time.Since(resumed) > resumeGrace)
	o.faults.wait()
	return err
}

// TestOneHolderOrders guards against orders from two lease holders at a time. Processes that compete for the lease are
// frozen or disconnected from the platform, their writes and orders get no response or take effect late, and engines
// restart. The orders that the engines recorded are checked.
func TestOneHolderOrders(t *testing.T) {
	received := 0
	rapid.Check(t, func(rt *rapid.T) {
		type disturbance struct {
			after, duration time.Duration
			kind            string
			process, engine int
		}
		disturbances := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) disturbance {
			return disturbance{
				after:    time.Duration(rapid.IntRange(100, 9000).Draw(rt, "after")) * time.Millisecond,
				duration: time.Duration(rapid.IntRange(100, 25_000).Draw(rt, "duration")) * time.Millisecond,
				kind: rapid.SampledFrom([]string{
					"freeze", "freeze", "disconnect", "reconnect", "lose write", "lose order", "restart", "restart",
				}).Draw(rt, "kind"),
				// Process 0 acquires the lease first and gets the most faults.
				process: rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(rt, "process"),
				engine:  rapid.IntRange(0, fleetSize-1).Draw(rt, "engine"),
			}
		}), 10, 30).Draw(rt, "disturbances")
		problem := ""
		synctest.Test(t, func(*testing.T) {
			engines := &engineFleet{byID: map[units.EngineName]*simulatedEngine{}}
			for n := range fleetSize {
				engines.restart(n, engine.RoleDecode)
			}
			store := fakes.NewStore()
			ctx, cancel := context.WithCancel(context.Background())
			var running sync.WaitGroup
			faults := make([]*faultState, processCount)
			for i := range faults {
				f := &faultState{}
				faults[i] = f
				name := units.ProcessName(fmt.Sprint("p", i))
				controller := assign.New(assign.Options{
					Name: name, Service: "llm", Engines: engines, Orders: faultyOrders{engines, f},
					Settings:   assign.Settings{PrefillFraction: 0.5, MaxChangingFraction: 0.34, Slack: 1},
					RoleChange: func() time.Duration { return roleChangeTime }, Exclude: func(*pick.Engine, time.Duration) {},
					Clock: time.Now, LoadClock: time.Now, Log: zerolog.Nop(),
				})
				leaseKeeper := lease.New(lease.Options{
					Place: "fleet", Service: "llm", Name: name, Duration: leaseDuration, Drift: maxClockDrift,
					Eligible: func() bool { return true },
				}, faultyStore{store, f}, time.Now, zerolog.Nop())
				running.Go(func() { leaseKeeper.Run(ctx, controller.Run) })
			}
			deadline := time.Now().Add(runTime)
			for _, d := range disturbances {
				time.Sleep(d.after)
				f := faults[d.process]
				f.mu.Lock()
				switch d.kind {
				case "freeze":
					f.resumeAt = time.Now().Add(d.duration)
				case "disconnect", "reconnect":
					f.disconnected = d.kind == "disconnect"
				case "lose write":
					f.lostWrites, f.delay = f.lostWrites+1, d.duration
				case "lose order":
					f.lostOrders, f.delay = f.lostOrders+1, d.duration
				}
				f.mu.Unlock()
				if d.kind == "restart" {
					engines.restart(d.engine, engine.RoleDecode)
				}
			}
			time.Sleep(time.Until(deadline))
			cancel()
			running.Wait()
			time.Sleep(runTime) // until all delayed writes and orders have taken effect
			problem = checkOrders(engines.orders)
			received += len(engines.orders)
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
	if received == 0 {
		t.Fatal("no engine received an order in any run")
	}
	t.Logf("engines received %d orders", received)
}

// checkOrders returns the first violation: a fencing token with two holders, or, among orders that were on time, a
// token lower than the previous one or a change of holder within minHolderChange.
func checkOrders(orders []receivedOrder) string {
	holders := map[units.FencingToken]units.ProcessName{}
	var last *receivedOrder
	for i, o := range orders {
		if known, ok := holders[o.fence]; ok && known != o.holder {
			return fmt.Sprintf("processes %s and %s gave orders with the same fencing token %d", known, o.holder, o.fence)
		}
		holders[o.fence] = o.holder
		if !o.onTime {
			continue
		}
		if last != nil && o.fence < last.fence {
			return fmt.Sprintf("process %s gave an order with fencing token %d after token %d", o.holder, o.fence, last.fence)
		}
		if last != nil && last.holder != o.holder && o.at.Sub(last.at) < minHolderChange {
			return fmt.Sprintf("process %s gave an order %v after process %s", o.holder, o.at.Sub(last.at), last.holder)
		}
		last = &orders[i]
	}
	return ""
}

// TestExclusionsEndForTheController checks that engines that were excluded some time ago may change their roles, also if the
// clock of leases, which goes on while the VM is suspended, has another origin than that of the engines' loads.
func TestExclusionsEndForTheController(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &engineFleet{byID: map[units.EngineName]*simulatedEngine{}}
		for n := range fleetSize {
			engines.restart(n, engine.RoleDecode)
		}
		for _, e := range engines.Of("llm") {
			e.ExcludeUntil(time.Now().Add(time.Second))
		}
		time.Sleep(2 * time.Second)
		started := time.Now()
		leaseClock := func() time.Time { return time.Unix(1000, 0).Add(time.Since(started)) }
		faults := &faultState{}
		controller := assign.New(assign.Options{
			Name: "p", Service: "llm", Engines: engines, Orders: faultyOrders{engines, faults},
			Settings:   assign.Settings{PrefillFraction: 0.5, MaxChangingFraction: 0.34, Slack: 1},
			RoleChange: func() time.Duration { return roleChangeTime }, Exclude: func(*pick.Engine, time.Duration) {},
			Clock: leaseClock, LoadClock: time.Now, Log: zerolog.Nop(),
		})
		leaseKeeper := lease.New(lease.Options{
			Place: "fleet", Service: "llm", Name: "p", Duration: leaseDuration, Drift: maxClockDrift,
			Eligible: func() bool { return true },
		}, faultyStore{fakes.NewStore(), faults}, leaseClock, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { leaseKeeper.Run(ctx, controller.Run) })
		time.Sleep(runTime)
		cancel()
		running.Wait()
		assert.Assert(t, len(engines.orders) > 0, "no engine was ordered to change its role")
	})
}
