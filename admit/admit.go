// Package admit admits requests to engines by priority and fair usage, and sheds those that cannot be in time.
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
	// scanInterval is the time between two scans of the queue while requests wait.
	scanInterval = 10 * time.Millisecond
	// engineQueueShare is the share of its slack that a request may spend in an engine's own queue.
	engineQueueShare = 0.5
	// overShareQueueShare is the same for tenants above their fair share, which leaves room in the queue for the others.
	overShareQueueShare = 0.12
	// lowerPriorityQueueShare is the same for priorities below the highest recent one.
	lowerPriorityQueueShare = 0.2
	// topPriorityLifetime is how long the highest priority counts as recent after its last request.
	topPriorityLifetime = 5 * time.Second
	// overShareFactor is the multiple of the mean usage from which a tenant is above its fair share.
	overShareFactor = 1.25
	// targetShare is the share of the target that admission plans with, since estimates lag behind the load.
	targetShare = 0.4
	// noEngineTimeout is how long a request waits while no engine is usable.
	noEngineTimeout = 3 * time.Second
	// usageHalfLife is the half-life of a tenant's usage.
	usageHalfLife = 10 * time.Second
	// maxTenants bounds the number of tenants whose usage is tracked.
	maxTenants = 4096

	retryAfter = time.Second
)

// Request describes a request that waits for admission.
type Request struct {
	Job      flow.Job
	Priority units.Priority
	Tenant   units.TenantName
	Share    float64            // weight of the tenant
	Avoid    []units.EngineName // engines that failed the request
	Suspect  func() bool        // reports whether an engine died while it ran the request
	Resumed  bool               // the caller has received a part of the answer; shed only if the queue is full
}

// Bounds are the limits of a gate.
type Bounds struct {
	Target time.Duration // for the time to the first token
	Queue  int           // largest number of waiting requests
}

// Gate admits the requests of one service in one process to engines.
type Gate struct {
	fleet   *route.Fleet
	clock   units.Clock
	bounds  atomic.Pointer[Bounds]
	waiting atomic.Int64
	wake    chan struct{}

	mu         sync.Mutex
	queue      []*waiter
	usage      map[units.TenantName]*usage
	totalUsage usage // sum over all tenants

	topPriority   units.Priority // highest recent priority
	topPriorityAt time.Time
}

// waiter is a request in the queue.
type waiter struct {
	Request

	enqueuedAt time.Time
	done       chan struct{}
	plan       route.Plan
	err        error
}

// usage is the work of a tenant divided by its share, with exponential decay.
type usage struct {
	amount    float64
	updatedAt time.Time
}

// New returns a gate for the fleet. Requests leave its queue only while Run is running.
func New(fleet *route.Fleet, b Bounds, clock units.Clock) *Gate {
	g := &Gate{fleet: fleet, clock: clock, wake: make(chan struct{}, 1), usage: map[units.TenantName]*usage{}}
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

// Acquire waits for admission and returns a plan that is started on its first engine. It returns a notRun error if the
// request is shed or ctx ends.
func (g *Gate) Acquire(ctx context.Context, r Request) (route.Plan, error) {
	w := &waiter{Request: r, enqueuedAt: g.clock(), done: make(chan struct{})}
	if g.waiting.Load() == 0 {
		g.mu.Lock()
		settled := g.tryAdmit(w, false)
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
		return g.cancel(w)
	}
}

// Release triggers a scan of the queue after an engine may have become free.
func (g *Gate) Release() {
	if g.waiting.Load() == 0 {
		return
	}
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Run scans the queue until ctx ends: after a release, after a new request, and at intervals while requests wait.
func (g *Gate) Run(ctx context.Context) {
	for {
		var tick <-chan time.Time
		if g.waiting.Load() > 0 {
			tick = time.After(scanInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		case <-tick:
		}
		g.scan()
	}
}

// enqueue adds the request to the queue. If the queue is full, the last request in order of admission is shed.
func (g *Gate) enqueue(w *waiter) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	bound := g.bounds.Load().Queue
	if len(g.queue) >= bound {
		g.sortQueue()
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
	case g.wake <- struct{}{}:
	default:
	}
	return nil
}

// cancel removes a request from the queue whose context has ended, unless it was settled meanwhile.
func (g *Gate) cancel(w *waiter) (route.Plan, error) {
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

// scan admits requests in order until one has to wait. Those behind it wait too, so that a tenant with many requests
// does not overtake one with few merely by their number. Requests that can no longer be in time are shed.
func (g *Gate) scan() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sortQueue()
	kept := g.queue[:0]
	blocked := false
	for _, w := range g.queue {
		settled := false
		if blocked {
			settled = g.shedLate(w)
		} else {
			settled = g.tryAdmit(w, true)
			blocked = !settled && !w.isConstrained()
		}
		if !settled {
			kept = append(kept, w)
		}
	}
	clear(g.queue[len(kept):])
	g.queue = kept
	g.waiting.Store(int64(len(kept)))
}

// isConstrained reports whether the choice of engines is restricted for this request only, so others need not wait.
func (w *waiter) isConstrained() bool {
	return len(w.Avoid) > 0 || w.Suspect()
}

// tryAdmit settles the request if it can be admitted now or must be shed. If wide is true, it considers more engines.
func (g *Gate) tryAdmit(w *waiter, wide bool) bool {
	now := g.clock()
	plan, ok := g.fleet.Choose(route.Request{Job: w.Job, Avoid: w.Avoid, Suspect: w.Suspect(), Wide: wide, Now: now})
	candidate := Candidate{
		Waited: now.Sub(w.enqueuedAt), Target: g.bounds.Load().Target, QueueShare: g.queueShare(w, now), Resumed: w.Resumed,
	}
	switch Decide(plan, ok, candidate) {
	case Admit:
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

// shedLate sheds a request that has waited longer than the target, without a choice of engines.
func (g *Gate) shedLate(w *waiter) bool {
	target := time.Duration(float64(g.bounds.Load().Target) * targetShare)
	if w.Resumed || g.clock().Sub(w.enqueuedAt) <= target {
		return false
	}
	g.settle(w, route.Plan{}, shed("no engine can answer in time"))
	return true
}

// settle ends the wait of a request with a plan or an error.
func (g *Gate) settle(w *waiter, plan route.Plan, err error) {
	w.plan, w.err = plan, err
	close(w.done)
}

func (g *Gate) sortQueue() {
	slices.SortStableFunc(g.queue, g.compare)
}

// compare orders resumed requests first, then by priority, by the tenant's usage, and by arrival.
func (g *Gate) compare(a, b *waiter) int {
	if a.Resumed != b.Resumed {
		if a.Resumed {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(b.Priority, a.Priority),
		cmp.Compare(g.usageOf(a.Tenant), g.usageOf(b.Tenant)),
		a.enqueuedAt.Compare(b.enqueuedAt),
	)
}

// charge adds the work of an admitted request to the usage of its tenant.
func (g *Gate) charge(w *waiter, now time.Time) {
	u, ok := g.usage[w.Tenant]
	if !ok {
		if len(g.usage) >= maxTenants {
			clear(g.usage)
			g.totalUsage = usage{}
		}
		u = &usage{updatedAt: now}
		g.usage[w.Tenant] = u
	}
	amount := float64(1+w.Job.Input+w.Job.Output) / max(w.Share, math.SmallestNonzeroFloat32)
	u.add(amount, now)
	g.totalUsage.add(amount, now)
}

// add adds work that begins at the time.
func (u *usage) add(amount float64, now time.Time) {
	u.amount = u.decayed(now) + amount
	u.updatedAt = now
}

func (g *Gate) usageOf(t units.TenantName) float64 {
	u, ok := g.usage[t]
	if !ok {
		return 0
	}
	return u.decayed(g.clock())
}

// queueShare returns the share of its slack that the request may spend in an engine's own queue. It is smaller for
// tenants above their fair share and for lower priorities, which leaves room in the queue for the others.
func (g *Gate) queueShare(w *waiter, now time.Time) float64 {
	if w.Priority >= g.topPriority || now.Sub(g.topPriorityAt) > topPriorityLifetime {
		g.topPriority, g.topPriorityAt = w.Priority, now
	}
	switch {
	case g.isOverShare(w.Tenant):
		return overShareQueueShare
	case w.Priority < g.topPriority:
		return lowerPriorityQueueShare
	default:
		return engineQueueShare
	}
}

// isOverShare reports whether the usage of the tenant is well above the mean of all tenants.
func (g *Gate) isOverShare(t units.TenantName) bool {
	if len(g.usage) < 2 {
		return false
	}
	return g.usageOf(t) > overShareFactor*g.totalUsage.decayed(g.clock())/float64(len(g.usage))
}

// decayed returns the usage after exponential decay until now.
func (u *usage) decayed(now time.Time) float64 {
	return u.amount * math.Exp2(-now.Sub(u.updatedAt).Seconds()/usageHalfLife.Seconds())
}

func shed(reason string) *fault.Error {
	return fault.Unavailable(fault.CodeOverloaded, retryAfter, "request is shed: %s", reason)
}
