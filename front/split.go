package front

import (
	"time"

	"github.com/buckthorntrack/buckthorntrack/assign"
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/scale"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// adaptRoles returns the function that sets the split of roles by the demand, nil if it does not follow the demand.
func (p *Process) adaptRoles(service units.ServiceName) func(assign.Settings) assign.Settings {
	if !p.settings.Routed.PrefillFraction.Auto {
		return nil
	}
	split, last, asked := scale.NewSplit(), 0.0, time.Time{}
	return func(s assign.Settings) assign.Settings {
		load := p.demands.view.Load(service)
		configured, ok := p.config.Load().Services[service]
		if !ok {
			return s
		}
		now := p.clock()
		present, engines := p.presentSplit(service)
		if engines > 0 && load.Known >= scale.KnownTime && now.Sub(asked) > splitTenure {
			split.Adopt(present)
		}
		asked = now
		need := scale.NeedOf(load, p.capacityOf(configured), settingsOfScale(p.settings.Scale))
		if s.PrefillFraction = split.Follow(need, engines, now); s.PrefillFraction != last {
			last = s.PrefillFraction
			p.log.Info().Str("service", string(service)).Float64("split", last).Float64("prefillNeed", need.Prefill).
				Float64("runNeed", need.Run).Int64("knownMs", load.Known.Milliseconds()).Msg("scale: split of roles")
		}
		return s
	}
}

// splitTenure is the time after which a process that did not ask for the split has not been the holder.
const splitTenure = 5 * time.Second

// presentSplit returns the fraction of a service's engines that only prefill, and the number of its engines.
func (p *Process) presentSplit(service units.ServiceName) (fraction float64, engines int) {
	prefill, all := 0, 0
	for _, e := range p.roster.Of(service) {
		if e.Leaving || e.Role == "" {
			continue
		}
		all++
		if e.Role == engine.RolePrefill {
			prefill++
		}
	}
	return float64(prefill) / float64(max(all, 1)), all
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
