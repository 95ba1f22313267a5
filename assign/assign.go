package assign

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/lease"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

const (
	// interval is the time between two runs of the control loop.
	interval = 500 * time.Millisecond
	// orderTimeout bounds the calls to an engine for one order.
	orderTimeout = time.Second
	// registryDelay is the time after a role change within which the registry shows the new role.
	registryDelay = 2 * time.Second
	// handoverDelay is the wait of a new holder before its first order. It exceeds the interval that the engines'
	// operators require between the orders of two holders.
	handoverDelay = 4 * time.Second
)

var (
	// ErrFenced means that the engine has seen an order with a higher fencing token.
	ErrFenced = errors.New("engine has seen a higher fencing token")
	// ErrBusy means that the engine is carrying out another order, or has accepted orders that the sender did not expect.
	ErrBusy = errors.New("engine is carrying out or has accepted another order")
	// ErrRefused means that the engine rejected the order for any other reason.
	ErrRefused = errors.New("engine refused the order")
)

// Report is an engine's report on its role and its orders.
type Report struct {
	Role   engine.Role
	Busy   bool  // an order is in progress
	Orders int64 // number of orders accepted so far
}

// Order changes the role of one incarnation of an engine, provided that it has accepted exactly the expected number of
// orders.
type Order struct {
	Engine   *pick.Engine
	Role     engine.Role
	Holder   units.ProcessName
	Fence    units.FencingToken
	Expected int64
}

// Orders reads the reports of engines and sends orders to them.
type Orders interface {
	Report(ctx context.Context, e *pick.Engine) (Report, error)
	// Submit sends the order. After ErrFenced, ErrBusy and ErrRefused the engine has not accepted it; after any other
	// error it may have.
	Submit(ctx context.Context, o Order) error
}

// Engines looks up the engines of a service.
type Engines interface {
	Of(service units.ServiceName) []*pick.Engine
}

// Options are the dependencies and settings of a controller.
type Options struct {
	Name       units.ProcessName
	Service    units.ServiceName
	Engines    Engines
	Orders     Orders
	Settings   Settings
	RoleChange func() time.Duration              // how long a role change makes an engine unavailable
	Exclude    func(*pick.Engine, time.Duration) // keeps all processes from sending to the engine for the duration
	Clock      units.Clock                       // of leases and orders
	LoadClock  units.Clock                       // of the engines' loads
	Log        zerolog.Logger
	// Adapt returns the settings that hold now. It is nil if they do not change.
	Adapt func(Settings) Settings
	// Departing returns a function that reports whether an engine is about to be replaced, so that it neither counts nor
	// changes its role. It is nil if none is.
	Departing func() func(*pick.Engine) bool
}

// Controller orders the role changes of a service's engines while it holds the lease.
type Controller struct {
	Options

	pending  map[units.EngineName]pendingChange
	arrivals arrivals
}

// pendingChange is a role change that was ordered and that the registry may not show yet.
type pendingChange struct {
	to    engine.Role
	until time.Time // when the registry is expected to show it
}

// New returns a controller.
func New(o Options) *Controller {
	return &Controller{Options: o, pending: map[units.EngineName]pendingChange{}}
}

// Run runs the control loop while the lease is held. It returns early when an engine has seen a higher fencing token.
func (c *Controller) Run(ctx context.Context, heldLease *lease.Lease) {
	// The first holder has no previous one that may have sent an order just before.
	if !heldLease.First && !wait.Sleep(ctx, handoverDelay) {
		return // the lease ended during the delay
	}
	for ctx.Err() == nil && heldLease.Valid() {
		for _, move := range c.plan() {
			if errors.Is(c.order(ctx, heldLease, move), ErrFenced) {
				return
			}
		}
		wait.Sleep(ctx, interval)
	}
}

// plan returns the role changes to order now.
func (c *Controller) plan() []Move {
	settings, input := c.Settings, c.planInput()
	if c.Adapt != nil {
		settings = c.Adapt(settings)
	}
	if settings.Regional && c.arrivals.settling(input, c.Clock()) {
		return nil
	}
	return Plan(input, settings)
}

// planInput returns the engines with their roles after the pending changes.
func (c *Controller) planInput() []Engine {
	now := c.Clock()
	departing := func(*pick.Engine) bool { return false }
	if c.Departing != nil {
		departing = c.Departing()
	}
	var input []Engine
	for _, e := range c.Engines.Of(c.Service) {
		l := e.Load(c.LoadClock())
		if e.Leaving || e.Role == "" || departing(e) {
			continue
		}
		planned := Engine{ID: e.ID, Region: e.Region, Role: e.Role, Running: l.Running, Unavailable: l.Excluded}
		if change, ok := c.pending[e.ID]; ok && now.Before(change.until) {
			planned.Role, planned.Unavailable = change.to, true
		}
		input = append(input, planned)
	}
	return input
}

// order reads the engine's report and orders the role change, unless the engine is busy or has the role already.
func (c *Controller) order(ctx context.Context, heldLease *lease.Lease, move Move) error {
	e := c.find(move.Engine)
	if e == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := c.Orders.Report(ctx, e)
	// The change is recorded whatever the outcome, as an engine may have accepted an order although the call failed.
	c.pending[e.ID] = pendingChange{to: move.To, until: c.Clock().Add(c.RoleChange() + registryDelay)}
	if err != nil || report.Busy || report.Role == move.To {
		c.Log.Info().Str("engine", string(e.ID)).Bool("busy", report.Busy).Str("role", string(report.Role)).Err(err).
			Msg("assign: role change was skipped")
		return err
	}
	if !heldLease.Valid() {
		return nil
	}
	c.Exclude(e, c.RoleChange())
	err = c.Orders.Submit(ctx, Order{
		Engine: e, Role: move.To, Holder: c.Name, Fence: heldLease.Fence, Expected: report.Orders,
	})
	if err == nil {
		c.Exclude(e, c.RoleChange()+registryDelay) // the change begins when the running requests have ended
	}
	c.Log.Info().Str("engine", string(e.ID)).Str("from", string(report.Role)).Str("to", string(move.To)).
		Int64("fence", int64(heldLease.Fence)).Int64("expected", report.Orders).Err(err).
		Msg("assign: role change was ordered")
	return err
}

func (c *Controller) find(id units.EngineName) *pick.Engine {
	for _, e := range c.Engines.Of(c.Service) {
		if e.ID == id {
			return e
		}
	}
	return nil
}
