package front

import (
	"context"
	"time"

	"github.com/buckthorntrack/buckthorntrack/assign"
	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/lease"
	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

// fleetPlace replaces the availability zone in the key of a lease that covers all zones.
const fleetPlace units.PlaceName = "fleet"

// servicePollInterval is the interval between checks of the configuration for new model services.
const servicePollInterval = 500 * time.Millisecond

// runRoleControllers starts a role controller for each model service that the configuration names, until ctx ends.
func (p *Process) runRoleControllers(ctx context.Context) {
	started := map[units.ServiceName]bool{}
	for wait.Sleep(ctx, servicePollInterval) {
		cfg := p.config.Load()
		if cfg == nil {
			continue
		}
		for name, s := range cfg.Services {
			if s.Kind == config.KindModel && !started[name] {
				started[name] = true
				p.wg.Go(func() { p.runRoleController(ctx, name) })
			}
		}
	}
}

// runRoleController controls the roles of the service's engines whenever this process holds the service's lease.
func (p *Process) runRoleController(ctx context.Context, service units.ServiceName) {
	controller := assign.New(assign.Options{
		Name: p.settings.Process.Name, Service: service, Engines: p.roster, Orders: p.orders,
		Settings: assign.Settings{
			PrefillFraction: p.settings.Routed.PrefillFraction.Value, MaxChangingFraction: p.settings.Routed.MaxChangingFraction,
			Slack: p.settings.Routed.RoleSlack, Regional: p.settings.Routed.PrefillFraction.Auto,
		},
		Adapt: p.adaptRoles(service), Departing: p.departing(service),
		RoleChange: func() time.Duration { return p.roleChangeTime(service) },
		Exclude:    p.announceUnavailable, Clock: p.bootClock, LoadClock: p.clock, Log: p.log,
	})
	keeper := lease.New(lease.Options{
		Place: fleetPlace, Service: service, Name: p.settings.Process.Name,
		Duration: p.settings.Authority.Lease, Drift: p.settings.Authority.Drift,
		Eligible: func() bool { return p.ready() && p.mirror.Reading() },
		Era:      p.store.Era, FirstStart: p.settings.Routed.FirstStart,
	}, staleReads{p.store}, p.bootClock, p.log)
	keeper.Run(ctx, controller.Run)
}

// staleReads is a store whose reads of single objects may be outdated and are cheap. It suits a lease: a takeover is
// written on the condition that the version read is still the current one.
type staleReads struct {
	*objapi.Client
}

// Get returns the object as it may have been some seconds ago.
func (s staleReads) Get(ctx context.Context, key string) (objapi.Object, error) {
	return s.GetStale(ctx, key)
}

// announceUnavailable stops this and other processes from sending requests to an engine for the given time, while it
// changes its role.
func (p *Process) announceUnavailable(e *pick.Engine, d time.Duration) {
	e.ExcludeUntil(p.clock().Add(d))
	p.gossip.AnnounceUnavailable(e, d)
}

// roleChangeTime returns how long an engine of the service takes to change its role, zero if the service is not
// configured.
func (p *Process) roleChangeTime(service units.ServiceName) time.Duration {
	if s, ok := p.config.Load().Services[service]; ok {
		return s.Memory.RoleChangeTime
	}
	return 0
}
