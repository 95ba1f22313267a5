package front

import (
	"context"
	"time"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/lease"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/shift"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

// fleetPlace stands for all availability zones in the name of a lease.
const fleetPlace units.PlaceName = "fleet"

// servicePoll is the time between two looks at the services of the configuration.
const servicePoll = 500 * time.Millisecond

// candidates is the number of processes of a region that compete for the authority; each asks for it again and again.
const candidates = 1

// runRoles competes for the authority over the engines of each model service until ctx ends.
func (p *Process) runRoles(ctx context.Context) {
	started := map[units.ServiceName]bool{}
	for wait.Sleep(ctx, servicePoll) {
		cfg := p.config.Load()
		if cfg == nil {
			continue
		}
		for name, s := range cfg.Services {
			if s.Kind == config.KindModel && !started[name] {
				started[name] = true
				p.wg.Go(func() { p.holdRoles(ctx, name) })
			}
		}
	}
}

func (p *Process) holdRoles(ctx context.Context, service units.ServiceName) {
	controller := shift.New(shift.Options{
		Name: p.settings.Process.Name, Service: service, Engines: p.roster, Orders: p.orders,
		Settings: shift.Settings{
			Prefill: p.settings.Routed.PrefillPart, MostAway: p.settings.Routed.MostAway, Slack: p.settings.Routed.RoleSlack,
		},
		RoleChange: func() time.Duration { return p.roleChange(service) },
		Tell:       p.away, Clock: p.elapsed, Log: p.log,
	})
	keeper := lease.New(lease.Options{
		Place: fleetPlace, Service: service, Name: p.settings.Process.Name,
		Duration: p.settings.Authority.Lease, Drift: p.settings.Authority.Drift,
		Eligible: func() bool { return p.ready() && p.gossip.Rank() < candidates },
	}, p.store, p.elapsed, p.log)
	keeper.Run(ctx, controller.Hold)
}

// away keeps this and other processes from sending to an engine that is about to change its role.
func (p *Process) away(e *pick.Engine, d time.Duration) {
	e.Shun(p.clock().Add(d))
	p.gossip.Away(e, d)
}

func (p *Process) roleChange(service units.ServiceName) time.Duration {
	if s, ok := p.config.Load().Services[service]; ok {
		return s.Memory.RoleChange
	}
	return 0
}
