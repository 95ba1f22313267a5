package shift

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
	// interval is the time between two looks at the split.
	interval = 500 * time.Millisecond
	// orderTimeout bounds one call to an engine.
	orderTimeout = time.Second
	// settle is added to the time of a change, for the registry to show it.
	settle = 2 * time.Second
	// handOver is the least time between the orders of two holders, above the lease time that engines' owners state.
	handOver = 4 * time.Second
)

var (
	// ErrFenced means that the engine has seen the order of a later holder.
	ErrFenced = errors.New("engine knows a later holder")
	// ErrBusy means that the engine carries out another order, or has taken orders that the sender does not know.
	ErrBusy = errors.New("engine has other orders")
	// ErrRefused means that the engine does not carry out the order.
	ErrRefused = errors.New("engine refused the order")
)

// Report is what an engine says of its orders.
type Report struct {
	Role   engine.Role
	Busy   bool  // an order is in progress
	Orders int64 // accepted so far
}

// Order changes the role of one incarnation of an engine, if it has taken just the expected number of orders.
type Order struct {
	Engine   *pick.Engine
	Role     engine.Role
	Holder   units.ProcessName
	Fence    units.Fence
	Expected int64
}

// Orders passes orders to engines.
type Orders interface {
	Report(ctx context.Context, e *pick.Engine) (Report, error)
	// Give sends the order. ErrFenced, ErrBusy and ErrRefused mean that it was not taken; after any other error it may
	// have been.
	Give(ctx context.Context, o Order) error
}

// Engines are the engines of services.
type Engines interface {
	Of(service units.ServiceName) []*pick.Engine
}

// Options are what a controller depends on.
type Options struct {
	Name       units.ProcessName
	Service    units.ServiceName
	Engines    Engines
	Orders     Orders
	Settings   Settings
	RoleChange func() time.Duration              // how long a change takes an engine away
	Tell       func(*pick.Engine, time.Duration) // tells other processes that an engine is away
	Clock      units.Clock
	Log        zerolog.Logger
}

// Controller orders changes of role while it has the authority over a service.
type Controller struct {
	Options

	changes map[units.EngineName]change
}

// change is a change of role that was ordered and may not show yet.
type change struct {
	to    engine.Role
	until time.Time // when it is expected to be over
}

// New returns a controller.
func New(o Options) *Controller {
	return &Controller{Options: o, changes: map[units.EngineName]change{}}
}

// Hold runs while the authority lasts. It returns when an engine knows a later holder.
func (c *Controller) Hold(ctx context.Context, held *lease.Held) {
	if held.Fence > 1 && !wait.Sleep(ctx, handOver) {
		return // another holder may have given an order just before
	}
	for ctx.Err() == nil && held.Valid() {
		for _, move := range Plan(c.view(), c.Settings) {
			if errors.Is(c.order(ctx, held, move), ErrFenced) {
				return
			}
		}
		wait.Sleep(ctx, interval)
	}
}

func (c *Controller) view() []Engine {
	now := c.Clock()
	var view []Engine
	for _, e := range c.Engines.Of(c.Service) {
		l := e.Load(now)
		if e.Leaving || e.Role == "" {
			continue
		}
		shown := Engine{ID: e.ID, Region: e.Region, Role: e.Role, Running: l.Running, Away: l.Shunned}
		if change, ok := c.changes[e.ID]; ok && now.Before(change.until) {
			shown.Role, shown.Away = change.to, true
		}
		view = append(view, shown)
	}
	return view
}

func (c *Controller) order(ctx context.Context, held *lease.Held, move Move) error {
	e := c.find(move.Engine)
	if e == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := c.Orders.Report(ctx, e)
	// Also after a failure the engine is left alone for a while, as the order may have been taken.
	c.changes[e.ID] = change{to: move.To, until: c.Clock().Add(c.RoleChange() + settle)}
	if err != nil || report.Busy || report.Role == move.To {
		c.Log.Info().Str("engine", string(e.ID)).Bool("busy", report.Busy).Str("role", string(report.Role)).Err(err).
			Msg("shift: role is not changed now")
		return err
	}
	if !held.Valid() {
		return nil
	}
	c.Tell(e, c.RoleChange())
	err = c.Orders.Give(ctx, Order{
		Engine: e, Role: move.To, Holder: c.Name, Fence: held.Fence, Expected: report.Orders,
	})
	if err == nil {
		c.Tell(e, c.RoleChange()+settle) // the change begins when running work has ended
	}
	c.Log.Info().Str("engine", string(e.ID)).Str("from", string(report.Role)).Str("to", string(move.To)).
		Int64("fence", int64(held.Fence)).Int64("expected", report.Orders).Err(err).Msg("shift: role change was ordered")
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
