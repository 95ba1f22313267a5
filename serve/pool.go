package serve

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/buckthorntrack/buckthorntrack/admit"
	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/route"
	"github.com/buckthorntrack/buckthorntrack/send"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

// pooledService is one service with its engines in this availability zone.
type pooledService struct {
	target   *send.Target
	kind     string
	workload workloadCounter
	stop     context.CancelFunc

	sharedIdle    bool // the workload that was shared last had no requests
	sharedSummary wire.ZoneSummary
	sharedAt      time.Time // of the summary
}

// workloadCounter counts the work that the process accepted since the counter was last reset.
type workloadCounter struct {
	input    atomic.Int64 // prompt tokens
	output   atomic.Int64 // output tokens
	requests atomic.Int64
}

// pool holds the services and engines of this availability zone.
type pool struct {
	place     units.PlaceName
	upstreams *engine.Pool
	clock     units.Clock
	onStart   func(ctx context.Context, name units.ServiceName, p *pooledService) // ctx ends when the service is removed
	onChange  func(name units.ServiceName)

	ctx      context.Context
	wg       conc.WaitGroup
	services atomic.Pointer[map[units.ServiceName]*pooledService]

	mu    sync.Mutex
	views map[units.EngineName]*polledEngine
}

// polledEngine is an engine's view with the loop that polls its load reports.
type polledEngine struct {
	view *route.View
	stop context.CancelFunc // ends the loop
}

func newPool(ctx context.Context, place units.PlaceName, upstreams *engine.Pool, clock units.Clock) *pool {
	p := &pool{place: place, upstreams: upstreams, clock: clock, ctx: ctx, views: map[units.EngineName]*polledEngine{}}
	p.services.Store(&map[units.ServiceName]*pooledService{})
	return p
}

// Target returns the fleet and the admission gate of the service.
func (p *pool) Target(name units.ServiceName) (*send.Target, bool) {
	s, ok := (*p.services.Load())[name]
	if !ok {
		return nil, false
	}
	return s.target, true
}

// Views returns the engines of the service.
func (p *pool) Views(name units.ServiceName) []*route.View {
	t, ok := p.Target(name)
	if !ok {
		return nil
	}
	return t.Fleet.Views()
}

// RecordDemand adds the request to the workload of its service, without the prompt tokens that are cached.
func (p *pool) RecordDemand(x *flow.Exchange, cached units.Tokens) {
	if s, ok := (*p.services.Load())[x.Service.Name]; ok {
		s.workload.input.Add(int64(x.Job.Input - cached))
		s.workload.output.Add(int64(x.Job.Output))
		s.workload.requests.Add(1)
	}
}

// Set applies the configuration. Services and engines that remain unchanged keep their state.
func (p *pool) Set(c *config.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := *p.services.Load()
	next := map[units.ServiceName]*pooledService{}
	for name, service := range c.Services {
		s, ok := old[name]
		if !ok || s.kind != service.Kind {
			s = p.start(name, service)
		}
		s.target.Fleet.SetSpeeds(speedsOf(service))
		s.target.Gate.SetBounds(boundsOf(service))
		next[name] = s
	}
	p.setViews(c, next)
	p.services.Store(&next)
	for name, s := range old {
		if next[name] != s {
			s.stop()
		}
	}
	for name := range next {
		p.onChange(name)
	}
}

// start creates the service's fleet and gate and runs their loops until the service is stopped.
func (p *pool) start(name units.ServiceName, service *config.Service) *pooledService {
	fleet := route.New(speedsOf(service), nil)
	gate := admit.New(fleet, boundsOf(service), p.clock)
	ctx, stop := context.WithCancel(p.ctx)
	s := &pooledService{target: send.NewTarget(fleet, gate), kind: service.Kind, stop: stop}
	p.wg.Go(func() { gate.Run(ctx) })
	p.wg.Go(func() { p.onStart(ctx, name, s) })
	return s
}

// setViews assigns the configured engines to the services, and stops the polling of removed ones.
func (p *pool) setViews(c *config.Config, services map[units.ServiceName]*pooledService) {
	for name, s := range services {
		var views []*route.View
		for _, e := range c.EnginesOf(name, p.place) {
			views = append(views, p.view(e, s))
		}
		s.target.Fleet.Set(views)
	}
	for name, polled := range p.views {
		if e, ok := c.Engines[name]; !ok || e.Place != p.place {
			polled.view.Block(route.BlockedRemoved, true)
			polled.stop()
			delete(p.views, name)
		}
	}
}

// view returns the view of the engine. It replaces the present one if the engine's settings have changed.
func (p *pool) view(e *config.Engine, s *pooledService) *route.View {
	polled, ok := p.views[e.Name]
	if ok && sameEngine(polled.view.Engine, e) {
		polled.view.Block(route.BlockedDrain, e.Drain)
		return polled.view
	}
	if ok {
		polled.view.Block(route.BlockedRemoved, true)
		polled.stop()
	}
	client := engine.New(e.Address, p.upstreams, e.Refuses)
	view := route.NewView(e, client, client, p.clock())
	view.Block(route.BlockedDrain, e.Drain)
	ctx, stop := context.WithCancel(p.ctx)
	p.views[e.Name] = &polledEngine{view: view, stop: stop}
	p.wg.Go(func() { pollReports(ctx, view, s.target.Gate, p.clock) })
	return view
}

// all returns all engines of this availability zone.
func (p *pool) all() []*route.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	views := make([]*route.View, 0, len(p.views))
	for _, polled := range p.views {
		views = append(views, polled.view)
	}
	return views
}

// sameEngine reports whether the settings on which a view depends are equal.
func sameEngine(a, b *config.Engine) bool {
	return a.Service == b.Service && a.Address == b.Address && a.VM == b.VM &&
		a.ChecksFences == b.ChecksFences && slices.Equal(a.Refuses, b.Refuses)
}

func speedsOf(s *config.Service) route.Speeds {
	return route.Speeds{
		PrefillPerSecond: s.PrefillRate,
		MixedFraction:    s.MixedFraction,
		Sequences:        s.Sequences,
		SequenceTime:     s.MeanOccupancy / time.Duration(max(s.Sequences, 1)),
		FullBatchStep:    s.FullBatchStep,
		PieceTokens:      max(s.PieceTokens, 1),
	}
}

func boundsOf(s *config.Service) admit.Bounds {
	return admit.Bounds{Target: s.FirstTokenTarget, Queue: s.QueueBound}
}
