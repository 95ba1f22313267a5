package front

import (
	"context"
	"time"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/demand"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/proxy"
	"github.com/buckthorntrack/buckthorntrack/scale"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

// demandInterval is the interval between the reports of a process on its demand.
const demandInterval = time.Second

// demands measures the demand of this process and holds that of all.
type demands struct {
	meter *demand.Meter // nil if no setting needs the demand
	view  *demand.View
}

// openDemands sets up what measures the demand, if a setting needs it.
func (p *Process) openDemands() {
	p.demands.view = demand.NewView(p.clock)
	if !p.settings.Routed.PrefillFraction.Auto && p.settings.Duties.Address == "" {
		return
	}
	p.demands.meter = demand.NewMeter(p.clock)
	p.gossip.OnDemand(p.demands.view.Add)
}

// runDemands reports the demand of this process until ctx ends.
func (p *Process) runDemands(ctx context.Context) {
	if p.demands.meter != nil {
		wait.Every(ctx, demandInterval, p.reportDemand)
	}
}

// reportDemand reports the demand for the services whose engines are ordered or change their roles by it.
func (p *Process) reportDemand() {
	cfg := p.config.Load()
	if cfg == nil {
		return
	}
	uptime, services := p.demands.meter.Totals()
	for name, totals := range services {
		s, ok := cfg.Services[name]
		if !ok || !p.isOrdered(s) && !p.followsDemand(s) {
			delete(services, name)
			continue
		}
		p.demands.view.Add(demand.Report{
			Process: p.settings.Process.Name, Place: p.settings.Process.Place, Incarnation: p.started.UnixNano(),
			Uptime: uptime, Service: name, Totals: totals,
		})
	}
	p.gossip.ReportDemand(uptime, services)
}

// isOrdered reports whether engines of the service are ordered here.
func (p *Process) isOrdered(s *config.Service) bool {
	return p.settings.Duties.Address != "" && s.Ordering != nil && s.Ordering.Check() == nil
}

// followsDemand reports whether the roles of the service's engines follow the demand.
func (p *Process) followsDemand(s *config.Service) bool {
	return p.settings.Routed.PrefillFraction.Auto && s.Kind == config.KindModel
}

// countRequest counts the end of a request for the demand.
func (p *Process) countRequest(x *proxy.Exchange, err error, now time.Time) {
	if x.Service == nil || x.Route == nil || p.demands.meter == nil {
		return
	}
	answered := x.First
	if x.Route.Kind != config.RouteStream || answered.IsZero() {
		answered = now
	}
	late := answered.Sub(x.Started) > x.Route.Objective
	if err != nil {
		code := fault.From(err).Code
		late = code == fault.CodeOverloaded || code == fault.CodeDeadline
	}
	p.demands.meter.RequestEnded(x.Service.Name, late)
}

// placesOf returns the availability zones of a region, none for all regions.
func (p *Process) placesOf(region units.RegionName) []units.PlaceName {
	var places []units.PlaceName
	for place, of := range p.engineSink.regions {
		if of == region {
			places = append(places, place)
		}
	}
	return places
}

// settingsOfScale returns the settings of the controller of engines.
func settingsOfScale(s config.Scale) scale.Settings {
	return scale.Settings{
		PrefillUse: s.PrefillUse, RunUse: s.RunUse, Keep: s.Keep, Hold: s.Hold, Pause: s.Pause,
		DecreaseShare: s.DecreasePart, OrdersPerHour: s.OrdersPerHour, ReclaimableUse: s.Reclaimable,
	}
}

// capacityOf returns what one engine of a service can do.
func (p *Process) capacityOf(s *config.Service) scale.Capacity {
	c := scale.Capacity{Slots: s.Memory.Slots, KVTokens: s.Memory.Tokens}
	for _, e := range p.roster.Of(s.Name) {
		c.HasRoles = c.HasRoles || e.Role != ""
		if s.Memory.Slots == 0 {
			c.Slots = max(c.Slots, e.Slots)
		}
	}
	return c
}
