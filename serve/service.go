package serve

import (
	"context"
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/holder"
	"github.com/buckthorntrack/buckthorntrack/lease"
	"github.com/buckthorntrack/buckthorntrack/limit"
	"github.com/buckthorntrack/buckthorntrack/order"
	"github.com/buckthorntrack/buckthorntrack/route"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	workloadTTL = 4 * time.Second
	summaryTTL  = 60 * time.Second
	// queuedStep is the step to which the shared wait for an engine is rounded down, so that small changes are not sent.
	queuedStep = 200 * time.Millisecond
)

// leaseSet tracks the leases that this process competes for.
type leaseSet struct {
	mu      sync.Mutex
	stopped bool
	cancels []context.CancelFunc
	wg      sync.WaitGroup
	held    map[units.ServiceName]units.FencingToken
}

// add registers the competition for one lease. It returns false after stop.
func (l *leaseSet) add(cancel context.CancelFunc) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return false
	}
	l.cancels = append(l.cancels, cancel)
	l.wg.Add(1)
	return true
}

// stop cancels the competition for all leases and waits until they are released.
func (l *leaseSet) stop() {
	l.mu.Lock()
	l.stopped = true
	cancels := l.cancels
	l.mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
	l.wg.Wait()
}

// set records the fencing token of a service's lease; zero removes it.
func (l *leaseSet) set(service units.ServiceName, fence units.FencingToken) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held == nil {
		l.held = map[units.ServiceName]units.FencingToken{}
	}
	if fence == 0 {
		delete(l.held, service)
		return
	}
	l.held[service] = fence
}

// all returns the fencing tokens of the leases that this process holds.
func (l *leaseSet) all() map[units.ServiceName]units.FencingToken {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := make(map[units.ServiceName]units.FencingToken, len(l.held))
	for service, fence := range l.held {
		held[service] = fence
	}
	return held
}

// runService competes for the lease of a model service until ctx ends, and controls the engines while it holds the
// lease.
func (p *Process) runService(ctx context.Context, name units.ServiceName, s *pooledService) {
	if s.kind != config.KindModel {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	if !p.leases.add(cancel) {
		cancel()
		return
	}
	defer p.leases.wg.Done()
	defer cancel()
	controller := p.controller(name, s.target.Fleet)
	keeper := lease.New(lease.Options{
		Place: p.settings.Process.Place, Service: name, Name: p.settings.Process.Name,
		Duration: p.settings.Authority.Lease, Drift: p.settings.Authority.Drift,
		Eligible: func() bool { return !p.stopping.Load() && p.cluster.watches() && len(s.target.Fleet.Views()) > 0 },
	}, p.store, p.clock, p.log)
	keeper.Run(ctx, func(ctx context.Context, l *lease.Lease) {
		p.leases.set(name, l.Fence)
		defer p.leases.set(name, 0)
		controller.Run(ctx, l)
	})
}

// controller returns the controller that withdraws engines and changes their roles for the holder of the lease.
func (p *Process) controller(name units.ServiceName, fleet *route.Fleet) *holder.Controller {
	s := p.settings
	drainer := holder.NewDrainer(
		s.Process.Place, name, s.Process.Name, p.mesh, p.store, fleet, p.cluster.departed,
		holder.Timing{Permit: s.Authority.Permit, Drift: s.Authority.Drift}, p.clock, p.log)
	journal := order.NewJournal(p.store, s.Process.Place, name, s.Process.Name, s.Process.VM, p.clock)
	return &holder.Controller{
		Drainer: drainer, Journal: journal, Executor: order.NewExecutor(journal, drainer, p.cluster.departed, p.log),
		Fleet: fleet, Mesh: p.mesh, Config: p.follower.Config, Place: s.Process.Place, Service: name,
		Clock: p.clock, Log: p.log, OnOrder: func(err error) { p.metrics.Ordered(name, err) },
	}
}

// shareServices shares the workload that this process accepted and, if it has rank 0, the state of each service.
func (p *Process) shareServices(cfg *config.Config) {
	rank, count := p.cluster.rank()
	for name, s := range *p.pool.services.Load() {
		s.target.Fleet.SetRetryShard(route.RetryShard{Rank: rank, Count: count})
		if _, ok := cfg.Services[name]; !ok {
			continue
		}
		if s.kind == config.KindModel {
			p.shareWorkload(name, s)
		}
		if rank == 0 {
			s.shareSummary(p, name, summarize(s.target, p))
		}
	}
}

// shareSummary shares the state of the service when it has changed, and renews the entry after half of its time to
// live.
func (s *pooledService) shareSummary(p *Process, name units.ServiceName, next wire.ZoneSummary) {
	next.QueuedMS -= next.QueuedMS % queuedStep.Milliseconds()
	now := p.clock()
	if next == s.sharedSummary && now.Sub(s.sharedAt) < summaryTTL/2 {
		return
	}
	s.sharedSummary, s.sharedAt = next, now
	p.forwarder.PublishSummary(name, next, summaryTTL)
}

// shareWorkload shares the workload of the service since the last call. Without requests it shares the zero workload
// once.
func (p *Process) shareWorkload(name units.ServiceName, s *pooledService) {
	seconds := limit.Period.Seconds()
	if s.workload.requests.Load() == 0 && s.sharedIdle {
		return
	}
	s.sharedIdle = s.workload.requests.Load() == 0
	m := wire.Workload{
		Service:  string(name),
		Input:    float64(s.workload.input.Swap(0)) / seconds,
		Output:   float64(s.workload.output.Swap(0)) / seconds,
		Requests: float64(s.workload.requests.Swap(0)) / seconds,
	}
	key := holder.MixKey(p.settings.Process.Place, name, p.settings.Process.Name)
	_ = p.mesh.Table().Put(key, 0, workloadTTL, false, m)
}
