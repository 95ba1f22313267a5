package serve

import (
	"context"
	"net/http"
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

// pooled is one service with its engines in the own availability zone.
type pooled struct {
	target *send.Target
	kind   string
	taken  mixCounter
	stop   context.CancelFunc

	quiet     bool // the last account was of no work
	summary   wire.Summary
	summaryAt time.Time
}

// mixCounter counts the work that the process took since it was read last.
type mixCounter struct {
	input    atomic.Int64
	output   atomic.Int64
	requests atomic.Int64
}

// pool holds the services and engines of the own availability zone.
type pool struct {
	place     units.PlaceName
	transport http.RoundTripper
	clock     units.Clock
	started   func(ctx context.Context, name units.ServiceName, p *pooled) // runs while the service stays
	changed   func(name units.ServiceName)

	ctx      context.Context
	wg       conc.WaitGroup
	services atomic.Pointer[map[units.ServiceName]*pooled]

	mu    sync.Mutex
	views map[units.EngineName]*watched
}

// watched is an engine's view with the loop that reads its reports.
type watched struct {
	view *route.View
	stop context.CancelFunc
}

func newPool(ctx context.Context, place units.PlaceName, transport http.RoundTripper, clock units.Clock) *pool {
	p := &pool{place: place, transport: transport, clock: clock, ctx: ctx, views: map[units.EngineName]*watched{}}
	p.services.Store(&map[units.ServiceName]*pooled{})
	return p
}

// Target returns the service's engines and gate.
func (p *pool) Target(name units.ServiceName) (*send.Target, bool) {
	s, ok := (*p.services.Load())[name]
	if !ok {
		return nil, false
	}
	return s.target, true
}

// Views returns the service's engines.
func (p *pool) Views(name units.ServiceName) []*route.View {
	t, ok := p.Target(name)
	if !ok {
		return nil
	}
	return t.Fleet.Views()
}

// Count adds the work that a request asks for.
func (p *pool) Count(x *flow.Exchange, cached units.Tokens) {
	if s, ok := (*p.services.Load())[x.Service.Name]; ok {
		s.taken.input.Add(int64(x.Job.Input - cached))
		s.taken.output.Add(int64(x.Job.Output))
		s.taken.requests.Add(1)
	}
}

// Set makes the pool fit the configuration. Engines and services that stay keep their state.
func (p *pool) Set(c *config.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := *p.services.Load()
	next := map[units.ServiceName]*pooled{}
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
		p.changed(name)
	}
}

func (p *pool) start(name units.ServiceName, service *config.Service) *pooled {
	fleet := route.New(speedsOf(service), nil)
	gate := admit.New(fleet, boundsOf(service), p.clock)
	ctx, stop := context.WithCancel(p.ctx)
	s := &pooled{target: send.NewTarget(fleet, gate), kind: service.Kind, stop: stop}
	p.wg.Go(func() { gate.Run(ctx) })
	p.wg.Go(func() { p.started(ctx, name, s) })
	return s
}

func (p *pool) setViews(c *config.Config, services map[units.ServiceName]*pooled) {
	for name, s := range services {
		var views []*route.View
		for _, e := range c.EnginesOf(name, p.place) {
			views = append(views, p.view(e, s))
		}
		s.target.Fleet.Set(views)
	}
	for name, w := range p.views {
		if e, ok := c.Engines[name]; !ok || e.Place != p.place {
			w.view.Block(route.BlockedRemoved, true)
			w.stop()
			delete(p.views, name)
		}
	}
}

// view returns the present view of the engine if it is still reached in the same way.
func (p *pool) view(e *config.Engine, s *pooled) *route.View {
	w, ok := p.views[e.Name]
	if ok && sameEngine(w.view.Engine, e) {
		w.view.Block(route.BlockedDrain, e.Drain)
		return w.view
	}
	if ok {
		w.view.Block(route.BlockedRemoved, true)
		w.stop()
	}
	client := engine.New(e.Address, p.transport, e.Refuses)
	view := route.NewView(e, client, client, p.clock())
	view.Block(route.BlockedDrain, e.Drain)
	ctx, stop := context.WithCancel(p.ctx)
	p.views[e.Name] = &watched{view: view, stop: stop}
	p.wg.Go(func() { pollReports(ctx, view, s.target.Gate, p.clock) })
	return view
}

// all returns all engines of the own availability zone.
func (p *pool) all() []*route.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	views := make([]*route.View, 0, len(p.views))
	for _, w := range p.views {
		views = append(views, w.view)
	}
	return views
}

func sameEngine(a, b *config.Engine) bool {
	return a.Service == b.Service && a.Address == b.Address && a.VM == b.VM &&
		a.ChecksFences == b.ChecksFences && slices.Equal(a.Refuses, b.Refuses)
}

func speedsOf(s *config.Service) route.Speeds {
	return route.Speeds{
		PrefillPerSecond: s.PrefillRate,
		MixedPart:        s.MixedPart,
		Sequences:        s.Sequences,
		Decode:           s.MeanAnswer / time.Duration(max(s.Sequences, 1)),
		FullStep:         s.FullStep,
		PieceTokens:      max(s.PieceTokens, 1),
	}
}

func boundsOf(s *config.Service) admit.Bounds {
	return admit.Bounds{Target: s.FirstTokenTarget, Queue: s.QueueBound}
}
