package holder

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/buckthorntrack/buckthorntrack/wait"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/lease"
	"github.com/buckthorntrack/buckthorntrack/order"
	"github.com/buckthorntrack/buckthorntrack/peer"
	"github.com/buckthorntrack/buckthorntrack/roles"
	"github.com/buckthorntrack/buckthorntrack/route"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// MixPrefix is the prefix of the shared entries that tell how much work processes took.
	MixPrefix = "mix/"

	beatInterval = time.Second
	// quietBeats is the number of intervals between two heartbeats of a holder that has nothing to tell.
	quietBeats      = 10
	controlInterval = time.Second
	freshFor        = 2 * time.Second
	giveBudget      = 3 * time.Minute
	// settleTime is how long a holder waits before the policy's first change, so that it knows the mix.
	settleTime = 10 * time.Second
)

// Controller uses the authority over one service in one availability zone.
type Controller struct {
	Clearing *Clearing
	Journal  *order.Journal
	Giver    *order.Giver
	Fleet    *route.Fleet
	Mesh     *peer.Mesh
	Config   func() *config.Config
	Place    units.PlaceName
	Service  units.ServiceName
	Clock    units.Clock
	Log      zerolog.Logger
	Ordered  func(err error) // called after each order with its failure, if any

	mix        roles.Mix
	began      time.Time // when this holder took over
	lastChange time.Time
	open       bool // whether intents of earlier holders, or own ones that failed, are to be looked at
}

// Hold is run while the lease is held.
func (c *Controller) Hold(ctx context.Context, held *lease.Held) {
	c.Clearing.Begin(held)
	var beats conc.WaitGroup
	// An order in progress is carried through when the process stops, and given up when the lease is lost.
	beatCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	orders, lost := context.WithCancel(context.WithoutCancel(ctx))
	beats.Go(func() {
		defer lost()
		c.beat(beatCtx, held)
	})
	c.control(ctx, orders, held)
	stop()
	beats.Wait()
	c.Clearing.End()
}

func (c *Controller) beat(ctx context.Context, held *lease.Held) {
	for round := 0; held.Valid(); round++ {
		if round%quietBeats == 0 || c.Clearing.Speaks() {
			c.Clearing.Beat(held)
		}
		if !wait.Sleep(ctx, beatInterval) {
			return
		}
	}
}

func (c *Controller) control(ctx, orders context.Context, held *lease.Held) {
	c.mix = roles.Mix{}
	c.began = c.Clock()
	c.lastChange = time.Time{}
	if !c.takeOver(ctx, held) {
		return
	}
	for held.Valid() && wait.Sleep(ctx, controlInterval) {
		c.recover(orders, held)
		c.step(orders, held)
	}
}

// takeOver keeps trying until no earlier holder can write the journal any more.
func (c *Controller) takeOver(ctx context.Context, held *lease.Held) bool {
	for attempt := 0; held.Valid(); attempt++ {
		entries, err := c.Journal.TakeOver(ctx, held)
		if err == nil {
			c.open = len(entries) > 0
			return true
		}
		c.Log.Warn().Err(err).Msg("holder: journal cannot be taken over yet")
		if !wait.Sleep(ctx, wait.Backoff(attempt)) {
			return false
		}
	}
	return false
}

// recover carries the intents of earlier holders through, or closes them.
func (c *Controller) recover(ctx context.Context, held *lease.Held) {
	if !c.open {
		return
	}
	entries, err := c.Journal.TakeOver(ctx, held)
	if err != nil {
		return
	}
	c.open = len(entries) > 0
	for _, e := range entries {
		target, ok := c.target(e.Engine)
		if !ok {
			continue
		}
		err := c.Giver.Recover(ctx, held, target, e)
		if err != nil && !errors.Is(err, order.ErrOpenIntent) {
			c.Log.Warn().Str("engine", string(e.Engine)).Err(err).Msg("holder: intent of an earlier holder stays open")
		}
	}
}

// step nominates candidates and makes at most one change.
func (c *Controller) step(ctx context.Context, held *lease.Held) {
	cfg := c.Config()
	service, ok := cfg.Services[c.Service]
	if !ok || service.Kind != config.KindModel {
		return
	}
	now := c.Clock()
	c.mix.Add(c.demand(), now)
	engines := c.engines(now)
	move, why := c.decide(service, engines, now)
	target, known := c.target(move.Engine)
	if !c.Clearing.Nominate(move.Engine) || !known {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, giveBudget)
	defer cancel()
	err := c.Giver.Give(ctx, held, target, engine.OrderRole, string(move.To), why)
	c.lastChange = c.Clock()
	c.Ordered(err)
	if err != nil {
		c.Log.Warn().Str("engine", string(move.Engine)).Err(err).Msg("holder: change of role was not made")
		c.open = true
	}
}

// decide returns the next change: one that the configuration asks for, or one that the policy finds.
func (c *Controller) decide(s *config.Service, engines []roles.Engine, now time.Time) (roles.Move, string) {
	if !s.AutoRoles {
		return c.configured(engines)
	}
	if now.Sub(c.began) < settleTime {
		return roles.Move{}, ""
	}
	speeds := c.Fleet.Speeds()
	settings := roles.DefaultSettings(speeds.PrefillPerSecond, speeds.DecodePerSecond(), s.RoleChangeWeight)
	state := roles.State{
		Now: now, Fast: c.mix.Fast, Slow: c.mix.Slow, Engines: engines, LastChange: c.lastChange,
	}
	move, ok := roles.Goodput{Settings: settings}.Decide(state)
	if !ok {
		return roles.Move{}, ""
	}
	return move, "goodput"
}

// configured returns the first engine whose role is not that of the configuration.
func (c *Controller) configured(engines []roles.Engine) (roles.Move, string) {
	cfg := c.Config()
	for _, e := range engines {
		wanted, ok := cfg.Engines[e.Name]
		if ok && wanted.Role != e.Role && e.Fresh && !e.Away && !e.Gone {
			return roles.Move{Engine: e.Name, From: e.Role, To: wanted.Role}, "configuration"
		}
	}
	return roles.Move{}, ""
}

// demand adds up the work that the processes of the availability zone took.
func (c *Controller) demand() roles.Demand {
	var sum roles.Demand
	for _, v := range c.Mesh.Table().Under(MixPrefix + string(c.Place) + "/" + string(c.Service) + "/") {
		var m wire.Mix
		if v.Decode(&m) == nil {
			sum.Input += m.Input
			sum.Output += m.Output
			sum.Requests += m.Requests
		}
	}
	return sum
}

func (c *Controller) engines(now time.Time) []roles.Engine {
	var engines []roles.Engine
	for _, v := range c.Fleet.Views() {
		report, taken, ok := v.Reported()
		engines = append(engines, roles.Engine{
			Name: v.Engine.Name, Role: v.Role(), Running: report.Running + report.Waiting,
			Fresh: ok && now.Sub(taken) < freshFor,
			Away:  report.Away || v.Blocked()&route.BlockedCordon != 0,
			Gone:  v.Blocked()&^route.BlockedCordon != 0,
		})
	}
	return engines
}

func (c *Controller) target(name units.EngineName) (order.Target, bool) {
	for _, v := range c.Fleet.Views() {
		if v.Engine.Name == name && v.Client != nil {
			return order.Target{Name: name, ChecksFences: v.Engine.ChecksFences, Orders: v.Client}, true
		}
	}
	return order.Target{}, false
}

// MixKey returns the key of the shared entry of one process's work.
func MixKey(place units.PlaceName, service units.ServiceName, name units.ProcessName) string {
	return strings.Join([]string{MixPrefix + string(place), string(service), string(name)}, "/")
}
