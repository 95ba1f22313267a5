package front

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/demand"
	"github.com/buckthorntrack/buckthorntrack/duty"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/scale"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

// scaleInterval is the interval between two decisions on engines. Without anything to order a decision costs little, and
// engines that have been replaced are paid for until they are ordered away.
const scaleInterval = 200 * time.Millisecond

// scaleTask is the duty of ordering engines.
type scaleTask struct {
	process *Process
	api     DutyAPI
}

// String implements duty.Task.
func (*scaleTask) String() string { return "scale" }

// Run implements duty.Task.
func (t *scaleTask) Run(ctx context.Context, h *duty.Handle) {
	var calls conc.WaitGroup
	defer calls.Wait()
	defer t.process.metrics.wanted.Reset()
	defer t.process.metrics.needed.Reset()
	services := map[units.ServiceName]*scaledService{}
	for ctx.Err() == nil {
		cfg := t.process.config.Load()
		for name, s := range cfg.Services {
			if !t.process.isOrdered(s) {
				continue
			}
			if services[name] == nil {
				services[name] = t.newService(s, h.First())
			}
			controlled := services[name]
			for _, o := range controlled.decide(t.process.scaleInput(s, controlled.places)) {
				calls.Go(func() { t.send(ctx, h, name, controlled, o) })
			}
			controlled.observe(name, t.process.metrics)
		}
		wait.Sleep(ctx, scaleInterval)
	}
}

// scaledService is the controller of a service, which calls that end use as well.
type scaledService struct {
	mu         sync.Mutex
	controller *scale.Controller
	places     map[units.PlaceName]bool // zones with engines so far
}

func (s *scaledService) decide(in scale.Input) []scale.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.controller.Decide(in)
}

// observe sets the metrics of the zones.
func (s *scaledService) observe(service units.ServiceName, m *Metrics) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for place := range s.places {
		wanted, needed := s.controller.Wanted(place)
		m.wanted.WithLabelValues(string(service), string(place)).Set(float64(wanted))
		m.needed.WithLabelValues(string(service), string(place)).Set(float64(needed))
	}
}

func (s *scaledService) done(o scale.Order, outcome scale.Outcome, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.controller.Done(o, outcome, now)
}

func (t *scaleTask) newService(s *config.Service, first bool) *scaledService {
	t.process.log.Info().Str("service", string(s.Name)).Bool("first", first).Int("min", s.Ordering.Min).Int("max", s.Ordering.Max).
		Int64("bootMs", s.Ordering.BootTime.Milliseconds()).Float64("reclaimablePrice", s.Ordering.ReclaimablePrice).
		Msg("scale: this process orders the engines of the service")
	return &scaledService{
		controller: scale.New(settingsOfScale(t.process.settings.Scale), first, t.process.clock()),
		places:     map[units.PlaceName]bool{},
	}
}

// send makes the call of an order.
func (t *scaleTask) send(
	ctx context.Context, h *duty.Handle, name units.ServiceName, s *scaledService, o scale.Order,
) {
	p := t.process
	began := p.clock()
	err := h.Call(ctx, duty.Call{
		Subject: duty.Subject(fmt.Sprintf("scale/%s/%s", name, o.Place)),
		Content: fmt.Sprintf("%s/%d", o.Kind, o.Count),
		Send: func(ctx context.Context, c duty.Credentials) error {
			return t.api.OrderEngines(ctx, c, name, o.Place, o.Kind == scale.Reclaimable, o.Count)
		},
	})
	outcome := scaleOutcome(err)
	now := p.clock()
	s.done(o, outcome, now)
	load := p.demands.view.Load(name)
	p.metrics.orders.WithLabelValues(string(name), o.Kind.String(), outcome.String()).Inc()
	p.log.Info().Str("service", string(name)).Str("zone", string(o.Place)).Str("kind", o.Kind.String()).Int("count", o.Count).
		Str("reason", o.Reason).Str("outcome", outcome.String()).Int("wanted", o.Wanted).Int("needed", o.Need).
		Int("onDemand", o.Seen[scale.OnDemand].Serving).Int("onDemandLeaving", o.Seen[scale.OnDemand].Leaving).
		Int("reclaimable", o.Seen[scale.Reclaimable].Serving).Int("reclaimableLeaving", o.Seen[scale.Reclaimable].Leaving).
		Float64("prefill", load.Recent.Prefill).Float64("prefillPeak", load.Peak.Prefill).
		Float64("slots", load.Recent.Slots).Float64("slotsPeak", load.Peak.Slots).Float64("kvPeak", load.Peak.KVTokens).
		Float64("late", load.Recent.Late).Int64("knownMs", load.Known.Milliseconds()).
		Int64("tookMs", now.Sub(began).Milliseconds()).Int64("fence", int64(h.Token())).Err(err).Msg("scale: engines were ordered")
}

// scaleOutcome returns what became of an order whose call ended with the error.
func scaleOutcome(err error) scale.Outcome {
	switch {
	case err == nil:
		return scale.Accepted
	case errors.Is(err, duty.ErrThrottled), errors.Is(err, duty.ErrNotSent), errors.Is(err, duty.ErrBusy), errors.Is(err, duty.ErrEnded),
		errors.Is(err, duty.ErrFenced):
		return scale.NotSent
	case errors.Is(err, duty.ErrConflict):
		return scale.Unavailable
	case errors.Is(err, duty.ErrRefused):
		return scale.Refused
	default:
		return scale.Unknown
	}
}

// scaleInput returns what the controller of a service decides on. It adds the zones with engines to places.
func (p *Process) scaleInput(s *config.Service, places map[units.PlaceName]bool) scale.Input {
	return scale.Input{
		Now: p.clock(), Zones: p.zonesOf(s, places), Min: s.Ordering.Min, Max: s.Ordering.Max, BootTime: s.Ordering.BootTime,
		Capacity: p.capacityOf(s), Known: p.demands.view.Load(s.Name).Known,
		Demand: func(region units.RegionName) demand.Load {
			return p.demands.view.Load(s.Name, p.placesOf(region)...)
		},
	}
}

// zonesOf returns the zones in which the service has or had engines, ordered by name.
func (p *Process) zonesOf(s *config.Service, places map[units.PlaceName]bool) []scale.Zone {
	byPlace := map[units.PlaceName]scale.Zone{}
	for _, e := range p.roster.Of(s.Name) {
		places[e.Place] = true
		z := byPlace[e.Place]
		kind := kindOf(e)
		if e.Leaving {
			z.Counts[kind].Leaving++
		} else {
			z.Counts[kind].Serving++
		}
		byPlace[e.Place] = z
	}
	zones := make([]scale.Zone, 0, len(places))
	for _, place := range slices.Sorted(maps.Keys(places)) {
		z := byPlace[place]
		z.Place, z.Region, z.Price = place, p.engineSink.regions[place], s.Ordering.Price(place)
		zones = append(zones, z)
	}
	return zones
}

func kindOf(e *pick.Engine) scale.Kind {
	if e.Reclaimable {
		return scale.Reclaimable
	}
	return scale.OnDemand
}
