// Package order sends orders to engines, one at a time for each engine, and records them in an intent journal.
package order

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/lease"
	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// Prefix is the key prefix of the engines' records in the platform's store.
	Prefix = "engine/"

	maxHistory = 16 // closed intents kept in a record
)

var (
	// ErrOpenIntent means that the engine's previous intent is not closed yet.
	ErrOpenIntent = errors.New("engine has an open intent")
	// ErrNoAuthority means that the lease is lost, or that a newer holder has written the record.
	ErrNoAuthority = errors.New("process has no authority over the engine")
)

// Step is the progress of an intent.
type Step string

// The steps of an intent.
const (
	StepOpen    Step = "open"    // recorded, nothing sent yet
	StepSending Step = "sending" // the order may have been sent
	StepDone    Step = "done"
	StepDropped Step = "dropped" // closed without sending the order
)

// Intent is the record of one order, from the decision to send it until it is done or dropped.
type Intent struct {
	ID       string             `json:"id"`
	Engine   units.EngineName   `json:"engine"`
	Fence    units.FencingToken `json:"fence"`  // fencing token under which the intent was opened
	Holder   units.ProcessName  `json:"holder"` // process that opened the intent
	Sender   units.ProcessName  `json:"sender"` // process that may send the order: the latest to start sending
	VM       units.VMName       `json:"vm"`     // VM of the sender
	Kind     engine.OrderKind   `json:"kind"`
	Argument string             `json:"argument"`
	Why      string             `json:"why"`
	Step     Step               `json:"step"`
	Opened   time.Time          `json:"opened"` // by the holder's clock, shown to operators only
	Ended    time.Time          `json:"ended,omitzero"`
	Note     string             `json:"note,omitempty"`
	Stopped  bool               `json:"stopped,omitempty"` // the sender will not send the order again
	// ClosedFence is the fencing token under which the intent was closed, if it is not the one that opened it.
	ClosedFence units.FencingToken `json:"carried,omitempty"`
}

// Record is the value of an engine's object in the platform's store.
type Record struct {
	Engine  units.EngineName   `json:"engine"`
	Place   units.PlaceName    `json:"place"`
	Service units.ServiceName  `json:"service"`
	Fence   units.FencingToken `json:"fence"` // highest fencing token that has written the record
	Open    *Intent            `json:"open,omitempty"`
	History []Intent           `json:"history"` // closed intents, the newest last
}

// Entry is a record together with the stored object that it was read from.
type Entry struct {
	Record

	object objapi.Object
}

// Journal reads and writes the intents for the engines of one service in one availability zone.
type Journal struct {
	store   objapi.Store
	place   units.PlaceName
	service units.ServiceName
	name    units.ProcessName
	vm      units.VMName
	clock   units.Clock
}

// NewJournal returns a journal that writes as the process with the given name and VM.
func NewJournal(
	store objapi.Store, place units.PlaceName, service units.ServiceName, name units.ProcessName, vm units.VMName,
	clock units.Clock,
) *Journal {
	return &Journal{store: store, place: place, service: service, name: name, vm: vm, clock: clock}
}

// List reads all records whose key has the prefix, sorted by engine. The prefix may cover one service, one
// availability zone or all records.
func List(ctx context.Context, store objapi.Store, prefix string) ([]Record, error) {
	objects, err := store.List(ctx, prefix)
	if err != nil {
		return nil, fmt.Errorf("list orders: %w", err)
	}
	records := make([]Record, 0, len(objects))
	for _, o := range objects {
		var r Record
		if err := o.Decode(&r); err != nil {
			return nil, fmt.Errorf("read orders of %s: %w", o.Key, err)
		}
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Engine, b.Engine) })
	return records, nil
}

// ServicePrefix returns the key prefix of the records of one service in one availability zone.
func ServicePrefix(place units.PlaceName, service units.ServiceName) string {
	return Prefix + string(place) + "/" + string(service) + "/"
}

// TakeOver raises the fencing token of all records, so that earlier holders lose their authority over them, and
// returns the records with an open intent.
func (j *Journal) TakeOver(ctx context.Context, held *lease.Lease) ([]Entry, error) {
	objects, err := j.store.List(ctx, ServicePrefix(j.place, j.service))
	if err != nil {
		return nil, fmt.Errorf("take over orders: %w", err)
	}
	var open []Entry
	for _, o := range objects {
		e, err := j.raiseFence(ctx, held, o)
		if err != nil {
			return nil, fmt.Errorf("take over orders of %s: %w", o.Key, err)
		}
		if e.Open != nil {
			open = append(open, e)
		}
	}
	return open, nil
}

// raiseFence raises the fencing token of the record in the object, and retries after a concurrent write.
func (j *Journal) raiseFence(ctx context.Context, held *lease.Lease, o objapi.Object) (Entry, error) {
	for {
		e, err := decodeEntry(o)
		if err != nil {
			return Entry{}, err
		}
		if e.Fence >= held.Fence {
			return e, j.checkAuthority(held, e)
		}
		e.Fence = held.Fence
		written, err := j.write(ctx, held, e)
		if !errors.Is(err, objapi.ErrConflict) {
			return written, err
		}
		o, err = j.store.Get(ctx, o.Key)
		if err != nil {
			return Entry{}, err
		}
	}
}

// Open records a new intent. It returns ErrOpenIntent if the engine already has an open one.
func (j *Journal) Open(
	ctx context.Context, held *lease.Lease, name units.EngineName, kind engine.OrderKind, argument, why string,
) (Entry, error) {
	e, err := j.read(ctx, name)
	if err != nil {
		return Entry{}, err
	}
	if e.Open != nil {
		return Entry{}, fmt.Errorf("%w: %s", ErrOpenIntent, e.Open.ID)
	}
	e.Fence = max(e.Fence, held.Fence)
	e.Open = &Intent{
		ID: rand.Text(), Engine: name, Fence: held.Fence, Holder: j.name, Sender: j.name, VM: j.vm,
		Kind: kind, Argument: argument, Why: why, Step: StepOpen, Opened: j.clock().UTC(),
	}
	return j.write(ctx, held, e)
}

// Sending records, before the order is sent, that this process may send it from now on.
func (j *Journal) Sending(ctx context.Context, held *lease.Lease, e Entry) (Entry, error) {
	next := e
	intent := *e.Open
	intent.Step = StepSending
	intent.Sender, intent.VM, intent.Stopped = j.name, j.vm, false
	next.Open = &intent
	return j.write(ctx, held, next)
}

// Close moves the open intent to the history with its final step.
func (j *Journal) Close(ctx context.Context, held *lease.Lease, e Entry, step Step, note string) (Entry, error) {
	intent := *e.Open
	intent.Step = step
	intent.Note = note
	intent.Ended = j.clock().UTC()
	if intent.Fence != held.Fence {
		intent.ClosedFence = held.Fence
	}
	next := e
	next.Open = nil
	next.History = append(slices.Clone(e.History), intent)
	if len(next.History) > maxHistory {
		next.History = next.History[len(next.History)-maxHistory:]
	}
	return j.write(ctx, held, next)
}

// MarkStopped records for later holders that this process will not send the order of the intent again. It needs no
// authority. An intent whose order was never sent is closed as dropped.
func (j *Journal) MarkStopped(ctx context.Context, id string, name units.EngineName) error {
	for {
		e, err := j.read(ctx, name)
		if err != nil {
			return err
		}
		if e.Open == nil || e.Open.ID != id || e.Open.Sender != j.name {
			return nil
		}
		e.markStopped(j.clock().UTC())
		object, err := objapi.Encode(j.key(name), e.object, e.Record)
		if err != nil {
			return err
		}
		if _, err = j.store.Put(ctx, object); !errors.Is(err, objapi.ErrConflict) {
			return err
		}
	}
}

func (r *Record) markStopped(now time.Time) {
	intent := *r.Open
	intent.Stopped = true
	if intent.Step != StepOpen {
		r.Open = &intent
		return
	}
	intent.Step, intent.Note, intent.Ended = StepDropped, "holder stood down", now
	r.Open = nil
	r.History = append(slices.Clone(r.History), intent)
}

// checkAuthority returns ErrNoAuthority if the lease is lost or a newer holder has written the record.
func (j *Journal) checkAuthority(held *lease.Lease, e Entry) error {
	if !held.Valid() || e.Fence > held.Fence {
		return ErrNoAuthority
	}
	return nil
}

func (j *Journal) key(name units.EngineName) string {
	return ServicePrefix(j.place, j.service) + string(name)
}

func (j *Journal) read(ctx context.Context, name units.EngineName) (Entry, error) {
	object, err := j.store.Get(ctx, j.key(name))
	if errors.Is(err, objapi.ErrNotFound) {
		return Entry{Record: Record{Engine: name, Place: j.place, Service: j.service}}, nil
	}
	if err != nil {
		return Entry{}, err
	}
	return decodeEntry(object)
}

// write stores the record if its version is unchanged since it was read and this process still has the authority.
func (j *Journal) write(ctx context.Context, held *lease.Lease, e Entry) (Entry, error) {
	if err := j.checkAuthority(held, e); err != nil {
		return Entry{}, err
	}
	object, err := objapi.Encode(j.key(e.Engine), e.object, e.Record)
	if err != nil {
		return Entry{}, fmt.Errorf("encode orders: %w", err)
	}
	written, err := j.store.Put(ctx, object)
	if err != nil {
		return Entry{}, err
	}
	e.object = written
	return e, nil
}

func decodeEntry(o objapi.Object) (Entry, error) {
	e := Entry{object: o}
	return e, o.Decode(&e.Record)
}
