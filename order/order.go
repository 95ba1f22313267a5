package order

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/buckthorntrack/buckthorntrack/wait"

	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/lease"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	statePollInterval = 200 * time.Millisecond
	// markStoppedTimeout bounds the write that marks an intent as stopped.
	markStoppedTimeout = 5 * time.Second
)

// Drainer drains an engine on all processes before an order is sent, and returns it to service afterwards.
type Drainer interface {
	// Drain cordons the engine and waits until no process sends it new work and no request runs on it.
	Drain(ctx context.Context, id string, name units.EngineName) error
	// Cordon stops new work to the engine. It does not wait for confirmation or for running requests.
	Cordon(id string, name units.EngineName)
	// Uncordon lifts the cordon with the given id.
	Uncordon(id string, name units.EngineName)
}

// Target is the engine that an order is for.
type Target struct {
	Name         units.EngineName
	ChecksFences bool // the engine refuses orders with an old fencing token
	Orders       engine.Orders
}

// Departed reports whether a VM has been missing from the platform's list for so long that no call from it can
// still arrive.
type Departed func(vm units.VMName) bool

// Executor executes intents: it drains the engine, sends the order and waits until the engine has carried it out.
type Executor struct {
	journal  *Journal
	drainer  Drainer
	departed Departed
	log      zerolog.Logger
}

// NewExecutor returns an Executor that records its progress in the journal.
func NewExecutor(j *Journal, d Drainer, departed Departed, log zerolog.Logger) *Executor {
	return &Executor{journal: j, drainer: d, departed: departed, log: log}
}

// Execute opens an intent for the engine and executes it. If an error occurs before the order is sent, the intent is
// dropped.
func (x *Executor) Execute(
	ctx context.Context, held *lease.Lease, t Target, kind engine.OrderKind, argument, why string,
) error {
	entry, err := x.journal.Open(ctx, held, t.Name, kind, argument, why)
	if err != nil {
		return fmt.Errorf("open intent for %s: %w", t.Name, err)
	}
	x.log.Info().Str("engine", string(t.Name)).Str("order", entry.Open.ID).Str("kind", string(kind)).
		Str("argument", argument).Str("why", why).Msg("order: intent opened")
	return x.executeOrMarkStopped(ctx, held, t, entry)
}

// Recover executes or closes an intent that an earlier holder left open. It returns ErrOpenIntent as long as the
// earlier sender may still send the order, even if the engine has already carried it out: a sender that was paused
// while it waited for a crashed engine would send the order again when it resumes. This does not apply to orders that
// a process of the same name sent, since two runs cannot listen on the same addresses, or to engines that check fencing
// tokens, which refuse the earlier sender once the token is raised.
func (x *Executor) Recover(ctx context.Context, held *lease.Lease, t Target, e Entry) error {
	intent := e.Open
	if intent.Step == StepOpen {
		_, err := x.journal.Close(ctx, held, e, StepDropped, "holder was lost before it sent the order")
		return err
	}
	if t.ChecksFences {
		if err := t.Orders.RaiseFence(ctx, held.Fence); err != nil {
			return fmt.Errorf("raise fencing token of %s: %w", t.Name, err)
		}
		return x.executeOrMarkStopped(ctx, held, t, e)
	}
	if !intent.Stopped && intent.Sender != x.journal.name && !x.departed(intent.VM) {
		x.drainer.Cordon(intent.ID, t.Name)
		return fmt.Errorf("%w: %s may still be sent by process %s", ErrOpenIntent, intent.ID, intent.Sender)
	}
	return x.executeOrMarkStopped(ctx, held, t, e)
}

// executeOrMarkStopped executes the intent. On failure it records that this process will not send the order again.
func (x *Executor) executeOrMarkStopped(ctx context.Context, held *lease.Lease, t Target, e Entry) error {
	err := x.execute(ctx, held, t, e)
	if err != nil {
		x.markStopped(e, t.Name)
	}
	return err
}

// execute drains the engine, sends the order and waits until the engine has carried it out.
func (x *Executor) execute(ctx context.Context, held *lease.Lease, t Target, e Entry) error {
	id := e.Open.ID
	defer x.drainer.Uncordon(id, t.Name)
	if err := x.drainer.Drain(ctx, id, t.Name); err != nil {
		return x.drop(ctx, held, e, err)
	}
	entry, err := x.journal.Sending(ctx, held, e)
	if err != nil {
		return fmt.Errorf("record sending to %s: %w", t.Name, err)
	}
	if err := x.sendUntilDone(ctx, held, t, entry); err != nil {
		return err
	}
	if _, err := x.journal.Close(ctx, held, entry, StepDone, ""); err != nil {
		return fmt.Errorf("close intent of %s: %w", t.Name, err)
	}
	x.log.Info().Str("engine", string(t.Name)).Str("order", id).Msg("order: completed")
	return nil
}

// drop closes an intent whose order was not sent, and returns the cause. An intent that may have been sent stays open.
func (x *Executor) drop(ctx context.Context, held *lease.Lease, e Entry, cause error) error {
	if e.Open.Step == StepOpen {
		if _, err := x.journal.Close(ctx, held, e, StepDropped, cause.Error()); err != nil {
			return errors.Join(cause, err)
		}
	}
	return fmt.Errorf("drain %s: %w", e.Engine, cause)
}

// sendUntilDone sends the order and polls the engine's state until it lists the order as done. An engine that crashed
// before it was done gets the same order again.
func (x *Executor) sendUntilDone(ctx context.Context, held *lease.Lease, t Target, e Entry) error {
	intent := e.Open
	o := engine.Order{
		ID: intent.ID, Fence: held.Fence, Holder: x.journal.name, Kind: intent.Kind, Argument: intent.Argument,
	}
	for {
		if !held.Valid() {
			return ErrNoAuthority
		}
		state, err := t.Orders.State(ctx)
		switch {
		case err == nil && slices.Contains(state.Done, o.ID):
			return nil
		case err == nil && state.Current != o.ID && held.Valid():
			if err := t.Orders.Submit(ctx, o); errors.Is(err, engine.ErrOldFence) {
				return fmt.Errorf("send order to %s: %w", t.Name, ErrNoAuthority)
			}
		}
		if !wait.Sleep(ctx, statePollInterval) {
			return fmt.Errorf("wait for %s: %w", t.Name, ctx.Err())
		}
	}
}

// markStopped records for later holders that this process will not send the order again.
func (x *Executor) markStopped(e Entry, name units.EngineName) {
	ctx, cancel := context.WithTimeout(context.Background(), markStoppedTimeout)
	defer cancel()
	err := x.journal.MarkStopped(ctx, e.Open.ID, name)
	x.log.Info().Str("engine", string(name)).Str("order", e.Open.ID).Err(err).Msg("order: sending stopped")
}
