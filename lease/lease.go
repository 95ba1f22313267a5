// Package lease elects one process at a time as the holder of a service in an availability zone.
package lease

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/buckthorntrack/buckthorntrack/wait"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// Prefix is the key prefix of lease objects in the platform's store.
	Prefix = "lease/"

	renewalsPerLease = 3 // renewal attempts per lease duration
	releaseTimeout   = 2 * time.Second
)

// Record is the content of a lease object in the store.
type Record struct {
	Holder     units.ProcessName  `json:"holder"` // empty after a release
	InstanceID string             `json:"grant"`  // unique per Keeper
	Fence      units.FencingToken `json:"fence"`
	DurationMS int64              `json:"durationMs"`
	Renewal    int64              `json:"renewal"`
}

// Options configures a Keeper.
type Options struct {
	Place    units.PlaceName
	Service  units.ServiceName
	Name     units.ProcessName
	Duration time.Duration
	Drift    time.Duration // safety margin for clock drift between processes
	Eligible func() bool   // reports whether this process may acquire the lease
	// Era returns the latest known era of the store. Without it the store never comes back from a copy.
	Era func() units.Era
	// FirstStart says that the fleet starts for the first time, so that no process held the lease before.
	FirstStart bool
	// Confirm reports whether this process can use the lease, which is free. It is called before each acquisition; nil means yes.
	Confirm func(ctx context.Context) bool
	// RetryInterval is the interval between attempts to acquire the lease, zero for half the interval between renewals.
	RetryInterval time.Duration
}

// Lease is a lease that this process holds under one fencing token.
type Lease struct {
	Fence    units.FencingToken
	Duration time.Duration
	First    bool // no process has held the lease before
	Again    bool // this process was the last holder
	// FormerEnd is a time by which the lease of the former holder had ended.
	FormerEnd time.Time

	clock  units.Clock
	expiry atomic.Int64 // nanoseconds after start
	start  time.Time
	term   time.Duration // time from the start of a renewal until the lease expires
}

// Valid reports whether the lease has not expired by the local clock.
func (l *Lease) Valid() bool {
	return int64(l.clock().Sub(l.start)) < l.expiry.Load()
}

func (l *Lease) setExpiry(at time.Time) {
	l.expiry.Store(int64(at.Sub(l.start)))
}

// Remaining returns the time until the lease expires. It is negative after the expiry.
func (l *Lease) Remaining() time.Duration {
	return time.Duration(l.expiry.Load()) - l.clock().Sub(l.start)
}

// SinceRenewal returns the time since the start of the last successful renewal, or of the acquisition.
func (l *Lease) SinceRenewal() time.Duration {
	return l.term - l.Remaining()
}

// Keeper acquires, renews and releases one lease.
type Keeper struct {
	options    Options
	store      objapi.Store
	clock      units.Clock
	log        zerolog.Logger
	instanceID string

	observed   objapi.Object      // last version read of another holder's lease
	observedAt time.Time          // when that version was first read
	lastWrite  objapi.Object      // lease object as this keeper last wrote it
	lastHeld   units.FencingToken // of the last lease that this keeper held, zero for none
	past       past
}

// New returns a Keeper that does not hold the lease yet.
func New(o Options, store objapi.Store, clock units.Clock, log zerolog.Logger) *Keeper {
	return &Keeper{options: o, store: store, clock: clock, log: log, instanceID: rand.Text()}
}

// Key returns the key of the lease object for a service in an availability zone.
func Key(place units.PlaceName, service units.ServiceName) string {
	return Prefix + string(place) + "/" + string(service)
}

// Run acquires the lease repeatedly until ctx ends. After each acquisition it calls onAcquired with a context that ends
// with ctx or when the lease is lost. If the lease is still valid when onAcquired returns, it is released.
func (k *Keeper) Run(ctx context.Context, onAcquired func(ctx context.Context, held *Lease)) {
	for ctx.Err() == nil {
		held, err := k.acquire(ctx)
		if held == nil || err != nil {
			if err != nil {
				k.log.Debug().Err(err).Msg("lease: acquisition failed, will be retried")
			}
			wait.Sleep(ctx, k.retryInterval())
			continue
		}
		k.log.Info().Str("service", string(k.options.Service)).Int64("fence", int64(held.Fence)).Msg("lease: acquired")
		k.runWhileHeld(ctx, held, onAcquired)
		k.log.Info().Str("service", string(k.options.Service)).Int64("fence", int64(held.Fence)).
			Msg("lease: no longer held")
	}
}

// acquire acquires the lease if it does not exist or is released or expired. It returns nil if this process is not
// eligible, or if another process holds the lease or wrote it first.
func (k *Keeper) acquire(ctx context.Context) (*Lease, error) {
	if !k.options.Eligible() {
		k.observed = objapi.Object{}
		return nil, nil
	}
	object, err := k.store.Get(ctx, Key(k.options.Place, k.options.Service))
	known := k.knowsPast()
	if errors.Is(err, objapi.ErrNotFound) {
		if !known {
			return nil, nil
		}
		return k.takeOver(ctx, objapi.Object{}, Record{})
	}
	if err != nil {
		return nil, err
	}
	var v Record
	if err := object.Decode(&v); err != nil {
		return nil, err
	}
	k.observe(object)
	if v.Holder == "" && known || k.isOwn(object) || v.Holder != "" && k.hasExpired(v) {
		return k.takeOver(ctx, object, v)
	}
	return nil, nil
}

// isOwn reports whether the lease is still as this keeper wrote it when it held it last, so that no other process has held it since.
func (k *Keeper) isOwn(object objapi.Object) bool {
	return k.lastHeld > 0 && object.Version == k.lastWrite.Version
}

// hasExpired reports whether the lease has not been renewed for its duration plus the drift margin. It measures from
// the first local read of the current version, so the clocks of processes need not agree.
func (k *Keeper) hasExpired(v Record) bool {
	duration := time.Duration(v.DurationMS) * time.Millisecond
	return k.clock().Sub(k.observedAt) > duration+k.options.Drift
}

// observe records when a version of the lease object was first read.
func (k *Keeper) observe(object objapi.Object) {
	if object.Version != k.observed.Version {
		k.observed, k.observedAt = object, k.clock()
	}
}

// takeOver writes the lease with the next fencing token. It returns nil if the object has changed since it was read.
// The lease runs from before the write was sent, so it expires here before other processes can take it over.
func (k *Keeper) takeOver(ctx context.Context, previous objapi.Object, v Record) (*Lease, error) {
	if k.options.Confirm != nil && !k.options.Confirm(ctx) {
		return nil, nil
	}
	sentAt, era := k.clock(), k.currentEra()
	formerEnd := k.formerEnd(previous, v, sentAt)
	next := Record{
		Holder: k.options.Name, InstanceID: k.instanceID, Fence: nextFence(v.Fence, era),
		DurationMS: k.options.Duration.Milliseconds(),
	}
	if err := k.write(ctx, previous, next); err != nil {
		if errors.Is(err, objapi.ErrConflict) {
			return nil, nil
		}
		return nil, err
	}
	if k.options.Era != nil && k.lastWrite.Version.Era() != era {
		return nil, nil // the store came back meanwhile, and the token may have been given out in its new era
	}
	held := &Lease{
		Fence: next.Fence, Duration: k.options.Duration, First: previous.Version == 0 && k.past.isFirstEra,
		Again: k.lastHeld > 0 && v.Fence == k.lastHeld && next.Fence == v.Fence+1, FormerEnd: formerEnd, clock: k.clock, start: sentAt,
		term: k.options.Duration - k.options.Drift,
	}
	k.lastHeld = next.Fence
	held.setExpiry(sentAt.Add(held.term))
	return held, nil
}

// formerEnd returns a time by which the lease of the former holder had ended, now if nothing better is known. In an era that is not the
// first one a holder that the store has forgotten may have held the lease at its start.
func (k *Keeper) formerEnd(previous objapi.Object, v Record, now time.Time) time.Time {
	if previous.Version == 0 || k.isOwn(previous) {
		return now
	}
	end := k.observedAt
	if v.Holder != "" {
		end = end.Add(time.Duration(v.DurationMS)*time.Millisecond - k.options.Drift)
	}
	if forgotten := k.past.since.Add(k.options.Duration); !k.past.isFirstEra && forgotten.After(end) {
		end = forgotten
	}
	return end
}

// runWhileHeld calls onAcquired, renewing the lease concurrently, and releases the lease afterwards if it is valid.
func (k *Keeper) runWhileHeld(ctx context.Context, held *Lease, onAcquired func(ctx context.Context, held *Lease)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	var renewal conc.WaitGroup
	renewal.Go(func() { k.renewLoop(ctx, cancel, held, done) })
	onAcquired(ctx, held)
	close(done)
	renewal.Wait()
	if held.Valid() {
		k.release(held)
	}
	held.setExpiry(held.start)
}

// renewLoop renews the lease until the lease is lost or done is closed, and then calls cancel.
func (k *Keeper) renewLoop(ctx context.Context, cancel context.CancelFunc, held *Lease, done <-chan struct{}) {
	defer cancel()
	interval := k.options.Duration / renewalsPerLease
	for {
		timer := time.NewTimer(min(interval, max(held.Remaining(), 0)))
		select {
		case <-done:
			timer.Stop()
			return
		case <-timer.C:
		}
		if !held.Valid() {
			k.log.Warn().Str("service", string(k.options.Service)).Msg("lease: lost since it could not be renewed")
			return
		}
		err := k.renew(ctx, held)
		if errors.Is(err, objapi.ErrConflict) {
			held.setExpiry(held.start)
			k.log.Warn().Str("service", string(k.options.Service)).Msg("lease: lost to another process")
			return
		}
		interval = k.options.Duration / renewalsPerLease
		if err != nil {
			interval /= renewalsPerLease
		}
	}
}

// renew extends the lease by one write. The write continues if ctx ends, but not past the expiry of the lease.
func (k *Keeper) renew(ctx context.Context, held *Lease) error {
	sentAt := k.clock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(held.Remaining(), time.Millisecond))
	defer cancel()
	var v Record
	if err := k.lastWrite.Decode(&v); err != nil {
		return err
	}
	v.Renewal++
	if err := k.write(ctx, k.lastWrite, v); err != nil {
		return err
	}
	held.setExpiry(sentAt.Add(held.term))
	return nil
}

// release clears the holder, so that other processes can acquire the lease without waiting for its expiry.
func (k *Keeper) release(held *Lease) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := k.write(ctx, k.lastWrite, Record{Fence: held.Fence}); err != nil {
		k.log.Debug().Err(err).Msg("lease: release failed")
	}
}

func (k *Keeper) write(ctx context.Context, previous objapi.Object, v Record) error {
	object, err := objapi.Encode(Key(k.options.Place, k.options.Service), previous, v)
	if err != nil {
		return fmt.Errorf("encode lease: %w", err)
	}
	written, err := k.store.Put(ctx, object)
	if err != nil {
		return err
	}
	k.lastWrite = written
	return nil
}

// retryInterval returns the interval between attempts to acquire the lease: half the renewal interval unless one is set, so that
// an expired lease is detected soon.
func (k *Keeper) retryInterval() time.Duration {
	if k.options.RetryInterval > 0 {
		return k.options.RetryInterval
	}
	return k.options.Duration / (2 * renewalsPerLease)
}
