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
	stateInterval = 200 * time.Millisecond
	standDownTime = 5 * time.Second
)

// Clearance takes an engine away from all processes before an order, and gives it back after.
type Clearance interface {
	// Clear waits until no process sends new work to the engine and nothing runs on it.
	Clear(ctx context.Context, id string, name units.EngineName) error
	// Cordon stops new work to the engine without waiting.
	Cordon(id string, name units.EngineName)
	// Restore lets processes send work to the engine again.
	Restore(id string, name units.EngineName)
}

// Target is an engine that takes orders.
type Target struct {
	Name         units.EngineName
	ChecksFences bool
	Orders       engine.Orders
}

// Departed reports whether a VM has left the platform's list for so long that nothing of it can arrive any more.
type Departed func(vm units.VMName) bool

// Giver carries intents through.
type Giver struct {
	journal   *Journal
	clearance Clearance
	departed  Departed
	log       zerolog.Logger
}

// NewGiver returns a giver that writes the journal.
func NewGiver(j *Journal, c Clearance, departed Departed, log zerolog.Logger) *Giver {
	return &Giver{journal: j, clearance: c, departed: departed, log: log}
}

// Give opens an intent for the engine and carries it through. An error before the order is sent drops the intent.
func (g *Giver) Give(
	ctx context.Context, held *lease.Held, t Target, kind engine.OrderKind, argument, why string,
) error {
	entry, err := g.journal.Open(ctx, held, t.Name, kind, argument, why)
	if err != nil {
		return fmt.Errorf("open intent for %s: %w", t.Name, err)
	}
	g.log.Info().Str("engine", string(t.Name)).Str("order", entry.Open.ID).Str("kind", string(kind)).
		Str("argument", argument).Str("why", why).Msg("order: intent is open")
	return g.carry(ctx, held, t, entry)
}

// Recover carries an intent of an earlier holder through, or closes it. It returns ErrOpenIntent as long as the
// earlier holder may still send the order, also when the engine has carried it out already: a holder that was paused
// while it waited for an engine that crashed would send it once more. What this process, or an earlier run of it,
// sent itself is over, since two runs cannot listen on the same addresses.
func (g *Giver) Recover(ctx context.Context, held *lease.Held, t Target, e Entry) error {
	intent := e.Open
	if intent.Step == StepOpen {
		_, err := g.journal.Close(ctx, held, e, StepDropped, "holder was lost before it sent the order")
		return err
	}
	if t.ChecksFences {
		if err := t.Orders.Raise(ctx, held.Fence); err != nil {
			return fmt.Errorf("raise fencing number at %s: %w", t.Name, err)
		}
		return g.carry(ctx, held, t, e)
	}
	if !intent.Stopped && intent.Sender != g.journal.name && !g.departed(intent.VM) {
		g.clearance.Cordon(intent.ID, t.Name)
		return fmt.Errorf("%w: %s may still be sent by process %s", ErrOpenIntent, intent.ID, intent.Sender)
	}
	return g.carry(ctx, held, t, e)
}

// carry brings the intent to its end, or tells that this process sends nothing of it any more.
func (g *Giver) carry(ctx context.Context, held *lease.Held, t Target, e Entry) error {
	err := g.through(ctx, held, t, e)
	if err != nil {
		g.standDown(e, t.Name)
	}
	return err
}

// through clears the engine, sends the order and waits for its end.
func (g *Giver) through(ctx context.Context, held *lease.Held, t Target, e Entry) error {
	id := e.Open.ID
	defer g.clearance.Restore(id, t.Name)
	if err := g.clearance.Clear(ctx, id, t.Name); err != nil {
		return g.drop(ctx, held, e, err)
	}
	entry, err := g.journal.Sending(ctx, held, e)
	if err != nil {
		return fmt.Errorf("record sending to %s: %w", t.Name, err)
	}
	if err := g.send(ctx, held, t, entry); err != nil {
		return err
	}
	if _, err := g.journal.Close(ctx, held, entry, StepDone, ""); err != nil {
		return fmt.Errorf("close intent of %s: %w", t.Name, err)
	}
	g.log.Info().Str("engine", string(t.Name)).Str("order", id).Msg("order: carried through")
	return nil
}

// drop closes an intent whose order was not sent.
func (g *Giver) drop(ctx context.Context, held *lease.Held, e Entry, cause error) error {
	if e.Open.Step == StepOpen {
		if _, err := g.journal.Close(ctx, held, e, StepDropped, cause.Error()); err != nil {
			return errors.Join(cause, err)
		}
	}
	return fmt.Errorf("clear %s: %w", e.Engine, cause)
}

// send gives the order until the engine's state shows that it was carried out. An engine that crashed
// half way gets the same order again.
func (g *Giver) send(ctx context.Context, held *lease.Held, t Target, e Entry) error {
	intent := e.Open
	o := engine.Order{
		ID: intent.ID, Fence: held.Fence, Holder: g.journal.name, Kind: intent.Kind, Argument: intent.Argument,
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
			if err := t.Orders.Give(ctx, o); errors.Is(err, engine.ErrOldFence) {
				return fmt.Errorf("give order to %s: %w", t.Name, ErrNoAuthority)
			}
		}
		if !wait.Sleep(ctx, stateInterval) {
			return fmt.Errorf("wait for %s: %w", t.Name, ctx.Err())
		}
	}
}

// standDown tells later holders that this process sends nothing of the intent any more.
func (g *Giver) standDown(e Entry, name units.EngineName) {
	ctx, cancel := context.WithTimeout(context.Background(), standDownTime)
	defer cancel()
	err := g.journal.StandDown(ctx, e.Open.ID, name)
	g.log.Info().Str("engine", string(name)).Str("order", e.Open.ID).Err(err).Msg("order: holder stood down")
}
