package front

import (
	"github.com/buckthorntrack/buckthorntrack/assign"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/scale"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// adaptRoles returns the function that sets the split of roles by the demand, nil if it does not follow the demand.
func (p *Process) adaptRoles(service units.ServiceName) func(assign.Settings) assign.Settings {
	if !p.settings.Routed.PrefillFraction.Auto {
		return nil
	}
	split, last := scale.NewSplit(), 0.0
	return func(s assign.Settings) assign.Settings {
		load := p.demands.view.Load(service)
		configured, ok := p.config.Load().Services[service]
		if !ok {
			return s
		}
		need := scale.NeedOf(load, p.capacityOf(configured), settingsOfScale(p.settings.Scale))
		if s.PrefillFraction = split.Follow(need.Split(), p.clock()); s.PrefillFraction != last {
			last = s.PrefillFraction
			p.log.Info().Str("service", string(service)).Float64("split", last).Float64("prefillNeed", need.Prefill).
				Float64("runNeed", need.Run).Int64("knownMs", load.Known.Milliseconds()).Msg("scale: split of roles")
		}
		return s
	}
}

// departing returns the function that tells which engines of a service are about to be replaced. It is nil where no engines
// are ordered.
func (p *Process) departing(service units.ServiceName) func() func(*pick.Engine) bool {
	if p.settings.Duties.Address == "" || !p.settings.Scale.Reclaimable {
		return nil
	}
	departures, places := scale.NewDepartures(p.started), map[units.PlaceName]bool{}
	return func() func(*pick.Engine) bool {
		s, ok := p.config.Load().Services[service]
		if !ok || !p.isOrdered(s) {
			return func(*pick.Engine) bool { return false }
		}
		zones := departures.Zones(p.zonesOf(s, places), p.clock())
		return func(e *pick.Engine) bool { return !e.Reclaimable && zones[e.Place] }
	}
}
