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
	mixLife     = 4 * time.Second
	summaryLife = 60 * time.Second
	// summaryStep is the step in which the wait for an engine is told.
	summaryStep = 200 * time.Millisecond
)

// holds are the leases that this process competes for.
type holds struct {
	mu      sync.Mutex
	stopped bool
	cancels []context.CancelFunc
	wg      sync.WaitGroup
	held    map[units.ServiceName]units.Fence
}

func (h *holds) begin(cancel context.CancelFunc) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return false
	}
	h.cancels = append(h.cancels, cancel)
	h.wg.Add(1)
	return true
}

// stop gives all leases up and waits until they are released.
func (h *holds) stop() {
	h.mu.Lock()
	h.stopped = true
	cancels := h.cancels
	h.mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
	h.wg.Wait()
}

func (h *holds) set(service units.ServiceName, fence units.Fence) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held == nil {
		h.held = map[units.ServiceName]units.Fence{}
	}
	if fence == 0 {
		delete(h.held, service)
		return
	}
	h.held[service] = fence
}

func (h *holds) all() map[units.ServiceName]units.Fence {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := make(map[units.ServiceName]units.Fence, len(h.held))
	for service, fence := range h.held {
		held[service] = fence
	}
	return held
}

// runService competes for the authority over a model service while the service stays.
func (p *Process) runService(ctx context.Context, name units.ServiceName, s *pooled) {
	if s.kind != config.KindModel {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	if !p.holds.begin(cancel) {
		cancel()
		return
	}
	defer p.holds.wg.Done()
	defer cancel()
	controller := p.controller(name, s.target.Fleet)
	keeper := lease.New(lease.Options{
		Place: p.settings.Process.Place, Service: name, Name: p.settings.Process.Name,
		Duration: p.settings.Authority.Lease, Drift: p.settings.Authority.Drift,
		Eligible: func() bool { return !p.stopping.Load() && p.fleet.watches() && len(s.target.Fleet.Views()) > 0 },
	}, p.store, p.clock, p.log)
	keeper.Run(ctx, func(ctx context.Context, held *lease.Held) {
		p.holds.set(name, held.Fence)
		defer p.holds.set(name, 0)
		controller.Hold(ctx, held)
	})
}

func (p *Process) controller(name units.ServiceName, fleet *route.Fleet) *holder.Controller {
	s := p.settings
	clearing := holder.NewClearing(
		s.Process.Place, name, s.Process.Name, p.mesh, p.store, fleet, p.fleet.departed,
		holder.Timing{Permit: s.Authority.Permit, Drift: s.Authority.Drift}, p.clock, p.log)
	journal := order.NewJournal(p.store, s.Process.Place, name, s.Process.Name, s.Process.VM, p.clock)
	return &holder.Controller{
		Clearing: clearing, Journal: journal, Giver: order.NewGiver(journal, clearing, p.fleet.departed, p.log),
		Fleet: fleet, Mesh: p.mesh, Config: p.follower.Config, Place: s.Process.Place, Service: name,
		Clock: p.clock, Log: p.log, Ordered: func(err error) { p.metrics.Ordered(name, err) },
	}
}

// tellServices shares the work that was taken, and how the services fare here.
func (p *Process) tellServices(cfg *config.Config) {
	rank, count := p.fleet.rank()
	for name, s := range *p.pool.services.Load() {
		s.target.Fleet.SetShare(route.Share{Rank: rank, Count: count})
		if _, ok := cfg.Services[name]; !ok {
			continue
		}
		if s.kind == config.KindModel {
			p.tellMix(name, s)
		}
		if rank == 0 {
			s.tellSummary(p, name, summarize(s.target, p))
		}
	}
}

// tellSummary shares how the service fares here when that changed or the last word grows old.
func (s *pooled) tellSummary(p *Process, name units.ServiceName, next wire.Summary) {
	next.QueuedMS -= next.QueuedMS % summaryStep.Milliseconds()
	now := p.clock()
	if next == s.summary && now.Sub(s.summaryAt) < summaryLife/2 {
		return
	}
	s.summary, s.summaryAt = next, now
	p.placer.Tell(name, next, summaryLife)
}

func (p *Process) tellMix(name units.ServiceName, s *pooled) {
	seconds := limit.Period.Seconds()
	if s.taken.requests.Load() == 0 && s.quiet {
		return
	}
	s.quiet = s.taken.requests.Load() == 0
	m := wire.Mix{
		Service:  string(name),
		Input:    float64(s.taken.input.Swap(0)) / seconds,
		Output:   float64(s.taken.output.Swap(0)) / seconds,
		Requests: float64(s.taken.requests.Swap(0)) / seconds,
	}
	key := holder.MixKey(p.settings.Process.Place, name, p.settings.Process.Name)
	_ = p.mesh.Table().Put(key, 0, mixLife, false, m)
}
