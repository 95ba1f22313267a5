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
	"pgregory.net/rapid"

	"github.com/buckthorntrack/buckthorntrack/assign"
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/lease"
	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// The bounds that the engines' owners state.
const (
	leaseBound = 3 * time.Second        // holders do not take turns within it
	thawBound  = 300 * time.Millisecond // orders that arrive so soon after their sender went on do not count
)

const (
	holderLease = 10 * time.Second
	holderDrift = time.Second
	changeTime  = 3 * time.Second
	callTime    = 20 * time.Millisecond
	courseTime  = 3 * time.Minute
	processes   = 3
	modelFleet  = 6
)

var errNoAnswer = errors.New("no answer came")

// harmed is what one process suffers. While it is frozen none of its calls begins or ends.
type harmed struct {
	mu     sync.Mutex
	thaw   time.Time
	cut    bool
	lose   int           // answers to writes that get lost
	late   time.Duration // by which the next lost write or order is carried out
	orders int           // answers to orders that get lost
}

func (h *harmed) wait() {
	for {
		h.mu.Lock()
		left := time.Until(h.thaw)
		h.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

func (h *harmed) thawed() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.thaw
}

// harmedStore is the platform as one process reaches it.
type harmedStore struct {
	objapi.Store
	harmed *harmed
}

func (s harmedStore) begin(ctx context.Context) error {
	s.harmed.wait()
	time.Sleep(callTime)
	s.harmed.mu.Lock()
	defer s.harmed.mu.Unlock()
	if s.harmed.cut {
		return errNoAnswer
	}
	return ctx.Err()
}

// Get implements objapi.Store.
func (s harmedStore) Get(ctx context.Context, key string) (objapi.Object, error) {
	if err := s.begin(ctx); err != nil {
		return objapi.Object{}, err
	}
	o, err := s.Store.Get(ctx, key)
	s.harmed.wait()
	return o, err
}

// Put implements objapi.Store. A lost write may be carried out much later.
func (s harmedStore) Put(ctx context.Context, o objapi.Object) (objapi.Object, error) {
	if err := s.begin(ctx); err != nil {
		return objapi.Object{}, err
	}
	s.harmed.mu.Lock()
	lost, late := s.harmed.lose > 0, s.harmed.late
	if lost {
		s.harmed.lose--
	}
	s.harmed.mu.Unlock()
	if lost {
		go func() {
			time.Sleep(late)
			_, _ = s.Store.Put(context.WithoutCancel(ctx), o)
		}()
		return objapi.Object{}, errNoAnswer
	}
	written, err := s.Store.Put(ctx, o)
	s.harmed.wait()
	return written, err
}

// arrived is an order that reached an engine.
type arrived struct {
	at     time.Time
	holder units.ProcessName
	fence  units.FencingToken
	taken  bool
	counts bool // not late, and not from a process that had just gone on
}

// enginesInModel are engines that check fencing numbers, and the registry that shows them.
type enginesInModel struct {
	mu     sync.Mutex
	byID   map[units.EngineName]*modelEngine
	orders []arrived
}

type modelEngine struct {
	shown *pick.Engine
	role  engine.Role
	fence units.FencingToken
	taken int64
	busy  time.Time
}

// Of implements assign.Engines.
func (m *enginesInModel) Of(units.ServiceName) []*pick.Engine {
	m.mu.Lock()
	defer m.mu.Unlock()
	var shown []*pick.Engine
	for n := range modelFleet {
		shown = append(shown, m.byID[nameOf(n)].shown)
	}
	return shown
}

func nameOf(n int) units.EngineName { return units.EngineName(fmt.Sprint("e", n)) }

// restart gives an engine its first role, and makes it forget numbers.
func (m *enginesInModel) restart(n int, role engine.Role) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := pick.NewEngine(pick.Entry{ID: nameOf(n), StartedAt: time.Now().UnixMilli(), Region: "a", Role: role})
	m.byID[nameOf(n)] = &modelEngine{shown: e, role: role}
}

func (m *enginesInModel) order(o assign.Order, counts bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.byID[o.Engine.ID]
	seen := arrived{at: time.Now(), holder: o.Holder, fence: o.Fence, counts: counts}
	defer func() { m.orders = append(m.orders, seen) }()
	switch {
	case o.Engine.StartedAt != e.shown.StartedAt:
		return assign.ErrRefused
	case o.Fence < e.fence:
		return assign.ErrFenced
	case o.Expected != e.taken || time.Now().Before(e.busy):
		return assign.ErrBusy
	}
	seen.taken = true
	e.fence, e.role, e.busy = o.Fence, o.Role, time.Now().Add(changeTime)
	e.taken++
	entry := e.shown.Entry
	entry.Role = o.Role
	shown := e.shown
	time.AfterFunc(changeTime, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if now := m.byID[entry.ID]; now.shown == shown {
			now.shown = now.shown.WithEntry(entry)
		}
	})
	return nil
}

// harmedOrders are the engines as one process reaches them.
type harmedOrders struct {
	engines *enginesInModel
	harmed  *harmed
}

// Report implements assign.Orders.
func (o harmedOrders) Report(_ context.Context, e *pick.Engine) (assign.Report, error) {
	o.harmed.wait()
	time.Sleep(callTime)
	o.engines.mu.Lock()
	known := o.engines.byID[e.ID]
	r := assign.Report{Role: known.role, Busy: time.Now().Before(known.busy), Orders: known.taken}
	o.engines.mu.Unlock()
	o.harmed.wait()
	return r, nil
}

// Submit implements assign.Orders.
func (o harmedOrders) Submit(_ context.Context, given assign.Order) error {
	o.harmed.wait()
	thawed := o.harmed.thawed()
	time.Sleep(callTime)
	o.harmed.mu.Lock()
	lost, late := o.harmed.orders > 0, o.harmed.late
	if lost {
		o.harmed.orders--
	}
	o.harmed.mu.Unlock()
	if lost {
		time.AfterFunc(late, func() { _ = o.engines.order(given, false) })
		return errNoAnswer
	}
	err := o.engines.order(given, time.Since(thawed) > thawBound)
	o.harmed.wait()
	return err
}

// TestOneHolderOrders draws courses in which processes that compete for the authority are frozen, cut off from the platform, and
// have writes and orders lost or carried out late, while engines start anew. The engines' own record decides.
func TestOneHolderOrders(t *testing.T) {
	given := 0
	rapid.Check(t, func(rt *rapid.T) {
		type act struct {
			after, lasts  time.Duration
			kind          string
			process, item int
		}
		acts := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) act {
			return act{
				after: time.Duration(rapid.IntRange(100, 9000).Draw(rt, "after")) * time.Millisecond,
				lasts: time.Duration(rapid.IntRange(100, 25_000).Draw(rt, "lasts")) * time.Millisecond,
				kind:  rapid.SampledFrom([]string{"freeze", "freeze", "cut", "heal", "lose", "order", "restart", "restart"}).Draw(rt, "kind"),
				// Process 0 acquires first, and is harmed most.
				process: rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(rt, "process"), item: rapid.IntRange(0, modelFleet-1).Draw(rt, "engine"),
			}
		}), 10, 30).Draw(rt, "acts")
		problem := ""
		synctest.Test(t, func(*testing.T) {
			m := &enginesInModel{byID: map[units.EngineName]*modelEngine{}}
			for n := range modelFleet {
				m.restart(n, engine.RoleDecode)
			}
			store := fakes.NewStore()
			ctx, cancel := context.WithCancel(context.Background())
			var running sync.WaitGroup
			harms := make([]*harmed, processes)
			for i := range harms {
				h := &harmed{}
				harms[i] = h
				name := units.ProcessName(fmt.Sprint("p", i))
				controller := assign.New(assign.Options{
					Name: name, Service: "llm", Engines: m, Orders: harmedOrders{m, h}, Settings: assign.Settings{PrefillFraction: 0.5, MaxChangingFraction: 0.34, Slack: 1},
					RoleChange: func() time.Duration { return changeTime }, Exclude: func(*pick.Engine, time.Duration) {}, Clock: time.Now, Log: zerolog.Nop(),
				})
				keeper := lease.New(lease.Options{
					Place: "fleet", Service: "llm", Name: name, Duration: holderLease, Drift: holderDrift, Eligible: func() bool { return true },
				}, harmedStore{store, h}, time.Now, zerolog.Nop())
				running.Go(func() { keeper.Run(ctx, controller.Run) })
			}
			ends := time.Now().Add(courseTime)
			for _, a := range acts {
				time.Sleep(a.after)
				h := harms[a.process]
				h.mu.Lock()
				switch a.kind {
				case "freeze":
					h.thaw = time.Now().Add(a.lasts)
				case "cut", "heal":
					h.cut = a.kind == "cut"
				case "lose":
					h.lose, h.late = h.lose+1, a.lasts
				case "order":
					h.orders, h.late = h.orders+1, a.lasts
				}
				h.mu.Unlock()
				if a.kind == "restart" {
					m.restart(a.item, engine.RoleDecode)
				}
			}
			time.Sleep(time.Until(ends))
			cancel()
			running.Wait()
			time.Sleep(courseTime) // what is late has come
			problem = holdersIn(m.orders)
			given += len(m.orders)
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

// holdersIn returns what is wrong with the orders: two holders with one number, or turns within the bound.
func holdersIn(orders []arrived) string {
	holders := map[units.FencingToken]units.ProcessName{}
	var last *arrived
	for i, o := range orders {
		if known, ok := holders[o.fence]; ok && known != o.holder {
			return fmt.Sprintf("%s and %s gave orders with number %d", known, o.holder, o.fence)
		}
		holders[o.fence] = o.holder
		if !o.counts {
			continue
		}
		if last != nil && o.fence < last.fence {
			return fmt.Sprintf("%s gave an order with number %d after number %d", o.holder, o.fence, last.fence)
		}
		if last != nil && last.holder != o.holder && o.at.Sub(last.at) < leaseBound {
			return fmt.Sprintf("%s gave an order %v after %s", o.holder, o.at.Sub(last.at), last.holder)
		}
		last = &orders[i]
	}
	return ""
}
