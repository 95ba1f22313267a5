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
	// MixPrefix is the key prefix of the shared entries with the request and token rates of the processes.
	MixPrefix = "mix/"

	heartbeatInterval = time.Second
	// idleHeartbeatRounds is the number of intervals between two heartbeats without a candidate or cordon.
	idleHeartbeatRounds = 10
	controlInterval     = time.Second
	maxReportAge        = 2 * time.Second
	orderTimeout        = 3 * time.Minute
	// warmUp is the time from the takeover to the policy's first change, in which the holder measures the demand.
	warmUp = 10 * time.Second
)

// Controller changes the roles of a service's engines in one availability zone while this process holds the lease.
type Controller struct {
	Drainer  *Drainer
	Journal  *order.Journal
	Executor *order.Executor
	Fleet    *route.Fleet
	Mesh     *peer.Mesh
	Config   func() *config.Config
	Place    units.PlaceName
	Service  units.ServiceName
	Clock    units.Clock
	Log      zerolog.Logger
	OnOrder  func(err error) // called after each order with its error, or nil

	mix        roles.DemandAverages
	takenOver  time.Time // when this process took the lease over
	lastChange time.Time
	unfinished bool // the journal may have open intents, of earlier holders or of own orders that failed
}

// Run sends heartbeats and gives orders until the lease is lost or ctx ends.
func (c *Controller) Run(ctx context.Context, held *lease.Lease) {
	c.Drainer.Begin(held)
	var heartbeats conc.WaitGroup
	// An order in progress is completed when the process stops, and abandoned when the lease is lost.
	heartbeatCtx, stopHeartbeats := context.WithCancel(context.WithoutCancel(ctx))
	orderCtx, cancelOrders := context.WithCancel(context.WithoutCancel(ctx))
	heartbeats.Go(func() {
		defer cancelOrders()
		c.sendHeartbeats(heartbeatCtx, held)
	})
	c.control(ctx, orderCtx, held)
	stopHeartbeats()
	heartbeats.Wait()
	c.Drainer.End()
}

func (c *Controller) sendHeartbeats(ctx context.Context, held *lease.Lease) {
	for round := 0; held.Valid(); round++ {
		if round%idleHeartbeatRounds == 0 || c.Drainer.HasUpdate() {
			c.Drainer.Heartbeat(held)
		}
		if !wait.Sleep(ctx, heartbeatInterval) {
			return
		}
	}
}

// control takes the journal over, and then recovers open intents and changes roles at a fixed interval. Orders run
// under orderCtx, which outlives ctx.
func (c *Controller) control(ctx, orderCtx context.Context, held *lease.Lease) {
	c.mix = roles.DemandAverages{}
	c.takenOver = c.Clock()
	c.lastChange = time.Time{}
	if !c.takeOver(ctx, held) {
		return
	}
	for held.Valid() && wait.Sleep(ctx, controlInterval) {
		c.recoverIntents(orderCtx, held)
		c.step(orderCtx, held)
	}
}

// takeOver retries until the journal's fencing tokens are raised. It returns false if the lease is lost or ctx ends
// first.
func (c *Controller) takeOver(ctx context.Context, held *lease.Lease) bool {
	for attempt := 0; held.Valid(); attempt++ {
		entries, err := c.Journal.TakeOver(ctx, held)
		if err == nil {
			c.unfinished = len(entries) > 0
			return true
		}
		c.Log.Warn().Err(err).Msg("holder: journal takeover failed, will be retried")
		if !wait.Sleep(ctx, wait.Backoff(attempt)) {
			return false
		}
	}
	return false
}

// recoverIntents executes or closes intents that were left open.
func (c *Controller) recoverIntents(ctx context.Context, held *lease.Lease) {
	if !c.unfinished {
		return
	}
	entries, err := c.Journal.TakeOver(ctx, held)
	if err != nil {
		return
	}
	c.unfinished = len(entries) > 0
	for _, e := range entries {
		target, ok := c.target(e.Engine)
		if !ok {
			continue
		}
		err := c.Executor.Recover(ctx, held, target, e)
		if err != nil && !errors.Is(err, order.ErrOpenIntent) {
			c.Log.Warn().Str("engine", string(e.Engine)).Err(err).Msg("holder: open intent could not be recovered")
		}
	}
}

// step decides on the next change of role. It nominates the engine first, and gives the order in a later step.
func (c *Controller) step(ctx context.Context, held *lease.Lease) {
	cfg := c.Config()
	service, ok := cfg.Services[c.Service]
	if !ok || service.Kind != config.KindModel {
		return
	}
	now := c.Clock()
	c.mix.Add(c.demand(), now)
	engines := c.engineStates(now)
	move, why := c.decide(service, engines, now)
	target, known := c.target(move.Engine)
	if !c.Drainer.Nominate(move.Engine) || !known {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := c.Executor.Execute(ctx, held, target, engine.OrderRole, string(move.To), why)
	c.lastChange = c.Clock()
	c.OnOrder(err)
	if err != nil {
		c.Log.Warn().Str("engine", string(move.Engine)).Err(err).Msg("holder: role change failed")
		c.unfinished = true
	}
}

// decide returns the next change of role and its reason. The change comes from the policy if the service has automatic
// roles, and from the configuration otherwise.
func (c *Controller) decide(s *config.Service, engines []roles.Engine, now time.Time) (roles.Move, string) {
	if !s.AutoRoles {
		return c.configuredMove(engines)
	}
	if now.Sub(c.takenOver) < warmUp {
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

// configuredMove returns the change for the first available engine whose role differs from its configured role.
func (c *Controller) configuredMove(engines []roles.Engine) (roles.Move, string) {
	cfg := c.Config()
	for _, e := range engines {
		wanted, ok := cfg.Engines[e.Name]
		if ok && wanted.Role != e.Role && e.Fresh && !e.Changing && !e.Withdrawn {
			return roles.Move{Engine: e.Name, From: e.Role, To: wanted.Role}, "configuration"
		}
	}
	return roles.Move{}, ""
}

// demand sums the request and token rates that the processes of the availability zone published.
func (c *Controller) demand() roles.Demand {
	var sum roles.Demand
	for _, v := range c.Mesh.Table().List(MixPrefix + string(c.Place) + "/" + string(c.Service) + "/") {
		var m wire.Workload
		if v.Decode(&m) == nil {
			sum.Input += m.Input
			sum.Output += m.Output
			sum.Requests += m.Requests
		}
	}
	return sum
}

// engineStates returns what the policy needs to know of each engine.
func (c *Controller) engineStates(now time.Time) []roles.Engine {
	var engines []roles.Engine
	for _, v := range c.Fleet.Views() {
		report, taken, ok := v.LatestReport()
		engines = append(engines, roles.Engine{
			Name: v.Engine.Name, Role: v.Role(), Running: report.Running + report.Waiting,
			Fresh:     ok && now.Sub(taken) < maxReportAge,
			Changing:  report.Away || v.Blocked()&route.BlockedCordon != 0,
			Withdrawn: v.Blocked()&^route.BlockedCordon != 0,
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

// MixKey returns the key of the shared entry with one process's request and token rates.
func MixKey(place units.PlaceName, service units.ServiceName, name units.ProcessName) string {
	return strings.Join([]string{MixPrefix + string(place), string(service), string(name)}, "/")
}
