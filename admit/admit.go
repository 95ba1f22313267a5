// Package admit lets requests through to engines in the order of priority and fairness, and sheds the rest.
package admit

import (
	"cmp"
	"context"
	"math"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/route"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// pumpInterval is the time between two looks at the queue while requests wait.
	pumpInterval = 10 * time.Millisecond
	// engineQueuePart is the part of the time to spare that a request may spend in an engine's own queue.
	engineQueuePart = 0.5
	// overSharePart is the same for a tenant that uses more than its share, so that there is room for the others.
	overSharePart = 0.12
	// lowerClassPart is the same for classes below the first that was seen lately.
	lowerClassPart = 0.2
	// firstClassLife is how long a class keeps room after its last request.
	firstClassLife = 5 * time.Second
	// overShare is how much more than the mean use is more than a share.
	overShare = 1.25
	// targetPart is the part of the target that admission counts on, since estimates lag behind.
	targetPart = 0.4
	// absentWait is how long a request waits for any usable engine.
	absentWait = 3 * time.Second
	// usageHalfLife is the time in which a tenant's counted use falls to half.
	usageHalfLife = 10 * time.Second
	// maxTenants bounds the tenants whose use is counted.
	maxTenants = 4096

	retryAfter = time.Second
)

// Ticket is a request for engines.
type Ticket struct {
	Job      flow.Job
	Priority units.Priority
	Tenant   units.TenantName
	Share    float64 // weight of the tenant
	Avoid    []units.EngineName
	Suspect  func() bool // whether an engine died while it ran the request
	Resumed  bool        // the caller has a part of the answer already, so that it is never shed
}

// Bounds are the limits of a gate.
type Bounds struct {
	Target time.Duration // for the time to the first token
	Queue  int           // most waiting requests
}

// Gate decides for one service in one process when a request goes to which engine.
type Gate struct {
	fleet   *route.Fleet
	clock   units.Clock
	bounds  atomic.Pointer[Bounds]
	waiting atomic.Int64
	kick    chan struct{}

	mu    sync.Mutex
	queue []*waiter
	use   map[units.TenantName]*usage
	total usage // of all tenants

	first   units.Priority // highest class that was seen lately
	firstAt time.Time
}

// waiter is a request in the queue.
type waiter struct {
	Ticket

	since time.Time
	done  chan struct{}
	plan  route.Plan
	err   error
}

// usage is the decayed work of a tenant divided by its share.
type usage struct {
	amount float64
	at     time.Time
}

// New returns a gate in front of the fleet. Run must be called for requests to leave the queue.
func New(fleet *route.Fleet, b Bounds, clock units.Clock) *Gate {
	g := &Gate{fleet: fleet, clock: clock, kick: make(chan struct{}, 1), use: map[units.TenantName]*usage{}}
	g.bounds.Store(&b)
	return g
}

// SetBounds replaces the limits.
func (g *Gate) SetBounds(b Bounds) {
	g.bounds.Store(&b)
}

// Waiting returns the number of requests in the queue.
func (g *Gate) Waiting() int64 {
	return g.waiting.Load()
}

// Acquire waits for a plan whose first engine counts as busy. It ends with a notRun error when the request is shed.
func (g *Gate) Acquire(ctx context.Context, t Ticket) (route.Plan, error) {
	w := &waiter{Ticket: t, since: g.clock(), done: make(chan struct{})}
	if g.waiting.Load() == 0 {
		g.mu.Lock()
		settled := g.try(w, false)
		g.mu.Unlock()
		if settled {
			return w.plan, w.err
		}
	}
	if err := g.enqueue(w); err != nil {
		return route.Plan{}, err
	}
	select {
	case <-w.done:
		return w.plan, w.err
	case <-ctx.Done():
		return g.leave(w)
	}
}

// Release tells the gate that an engine may have room.
func (g *Gate) Release() {
	if g.waiting.Load() == 0 {
		return
	}
	select {
	case g.kick <- struct{}{}:
	default:
	}
}

// Run lets requests leave the queue until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	for {
		var tick <-chan time.Time
		if g.waiting.Load() > 0 {
			tick = time.After(pumpInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-g.kick:
		case <-tick:
		}
		g.pump()
	}
}

func (g *Gate) enqueue(w *waiter) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	bound := g.bounds.Load().Queue
	if len(g.queue) >= bound {
		g.order()
		last := len(g.queue) - 1
		if last < 0 || g.compare(w, g.queue[last]) >= 0 {
			return shed("queue is full")
		}
		g.settle(g.queue[last], route.Plan{}, shed("queue is full"))
		g.queue = g.queue[:last]
	}
	g.queue = append(g.queue, w)
	g.waiting.Store(int64(len(g.queue)))
	select {
	case g.kick <- struct{}{}:
	default:
	}
	return nil
}

// leave takes a waiter out of the queue whose caller's time is over.
func (g *Gate) leave(w *waiter) (route.Plan, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-w.done:
		return w.plan, w.err
	default:
	}
	g.queue = slices.DeleteFunc(g.queue, func(other *waiter) bool { return other == w })
	g.waiting.Store(int64(len(g.queue)))
	return route.Plan{}, fault.New(fault.NotRun, fault.CodeDeadline, http.StatusServiceUnavailable,
		"deadline passed while the request waited for an engine")
}

// pump lets requests go in their order until one has to wait. Those behind it wait too, so that a tenant with many
// requests does not get past one with few by mere number. Requests that can no longer be in time are shed.
func (g *Gate) pump() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.order()
	kept := g.queue[:0]
	blocked := false
	for _, w := range g.queue {
		settled := false
		if blocked {
			settled = g.dropHopeless(w)
		} else {
			settled = g.try(w, true)
			blocked = !settled && !w.isPicky()
		}
		if !settled {
			kept = append(kept, w)
		}
	}
	clear(g.queue[len(kept):])
	g.queue = kept
	g.waiting.Store(int64(len(kept)))
}

// isPicky reports whether the request may wait for reasons that do not hold up others.
func (w *waiter) isPicky() bool {
	return len(w.Avoid) > 0 || w.Suspect()
}

// try settles the waiter if it can go now or never can in time. A wide try looks at more engines.
func (g *Gate) try(w *waiter, wide bool) bool {
	now := g.clock()
	plan, ok := g.fleet.Choose(route.Ask{Job: w.Job, Avoid: w.Avoid, Suspect: w.Suspect(), Wide: wide, Now: now})
	ask := Ask{
		Waited: now.Sub(w.since), Target: g.bounds.Load().Target, QueuePart: g.queuePart(w, now), Resumed: w.Resumed,
	}
	switch Decide(plan, ok, ask) {
	case Go:
		if !plan.Start(now) {
			return false
		}
		g.charge(w, now)
		g.settle(w, plan, nil)
	case Shed:
		err := shed("no engine can answer in time")
		if !ok {
			err = fault.Unavailable(fault.CodeNoUpstream, retryAfter, "no engine takes new work")
		}
		g.settle(w, route.Plan{}, err)
	case Wait:
		return false
	}
	return true
}

// dropHopeless sheds a waiter that has used up the target, without a look at the engines.
func (g *Gate) dropHopeless(w *waiter) bool {
	target := time.Duration(float64(g.bounds.Load().Target) * targetPart)
	if w.Resumed || g.clock().Sub(w.since) <= target {
		return false
	}
	g.settle(w, route.Plan{}, shed("no engine can answer in time"))
	return true
}

func (g *Gate) settle(w *waiter, plan route.Plan, err error) {
	w.plan, w.err = plan, err
	close(w.done)
}

func (g *Gate) order() {
	slices.SortStableFunc(g.queue, g.compare)
}

// compare orders by resumption, priority, the tenant's use of its share, and arrival.
func (g *Gate) compare(a, b *waiter) int {
	if a.Resumed != b.Resumed {
		if a.Resumed {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(b.Priority, a.Priority),
		cmp.Compare(g.used(a.Tenant), g.used(b.Tenant)),
		a.since.Compare(b.since),
	)
}

func (g *Gate) charge(w *waiter, now time.Time) {
	u, ok := g.use[w.Tenant]
	if !ok {
		if len(g.use) >= maxTenants {
			clear(g.use)
			g.total = usage{}
		}
		u = &usage{at: now}
		g.use[w.Tenant] = u
	}
	amount := float64(1+w.Job.Input+w.Job.Output) / max(w.Share, math.SmallestNonzeroFloat32)
	u.add(amount, now)
	g.total.add(amount, now)
}

// add counts work at the time.
func (u *usage) add(amount float64, now time.Time) {
	u.amount = u.decayed(now) + amount
	u.at = now
}

func (g *Gate) used(t units.TenantName) float64 {
	u, ok := g.use[t]
	if !ok {
		return 0
	}
	return u.decayed(g.clock())
}

// queuePart returns the part of the time to spare that the request may spend in an engine's own queue. Tenants that
// use more than their share, and classes below the first, leave room there for the others.
func (g *Gate) queuePart(w *waiter, now time.Time) float64 {
	if w.Priority >= g.first || now.Sub(g.firstAt) > firstClassLife {
		g.first, g.firstAt = w.Priority, now
	}
	switch {
	case g.isOverShare(w.Tenant):
		return overSharePart
	case w.Priority < g.first:
		return lowerClassPart
	default:
		return engineQueuePart
	}
}

// isOverShare reports whether the tenant uses much more than the mean of its share.
func (g *Gate) isOverShare(t units.TenantName) bool {
	if len(g.use) < 2 {
		return false
	}
	return g.used(t) > overShare*g.total.decayed(g.clock())/float64(len(g.use))
}

func (u *usage) decayed(now time.Time) float64 {
	return u.amount * math.Exp2(-now.Sub(u.at).Seconds()/usageHalfLife.Seconds())
}

func shed(why string) *fault.Error {
	return fault.Unavailable(fault.CodeOverloaded, retryAfter, "request is shed: %s", why)
}
