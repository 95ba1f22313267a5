// Package lease keeps authority over a service in an availability zone with one process at a time.
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

	"github.com/buckthorntrack/buckthorntrack/plat"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// Prefix is the prefix of leases in the platform's store.
	Prefix = "lease/"

	renewals       = 3 // attempts to renew in the time of one lease
	releaseTimeout = 2 * time.Second
)

// Value is the value of a lease object.
type Value struct {
	Holder     units.ProcessName `json:"holder"` // empty when it was released
	Grant      string            `json:"grant"`  // id of the holder's run
	Fence      units.Fence       `json:"fence"`
	DurationMS int64             `json:"durationMs"`
	Renewal    int64             `json:"renewal"`
}

// Options are the settings of a keeper.
type Options struct {
	Place    units.PlaceName
	Service  units.ServiceName
	Name     units.ProcessName
	Duration time.Duration
	Drift    time.Duration // margin for clocks that run apart
	Eligible func() bool   // whether this process may become the holder
}

// Held is authority under one fencing number.
type Held struct {
	Fence    units.Fence
	Duration time.Duration // of the lease

	clock units.Clock
	until atomic.Int64 // nanoseconds since start
	start time.Time
}

// Valid reports whether the authority still stands on this process's own clock.
func (h *Held) Valid() bool {
	return int64(h.clock().Sub(h.start)) < h.until.Load()
}

func (h *Held) extend(till time.Time) {
	h.until.Store(int64(till.Sub(h.start)))
}

// Left returns the time until the authority ends unless it is renewed.
func (h *Held) Left() time.Duration {
	return time.Duration(h.until.Load()) - h.clock().Sub(h.start)
}

// Keeper acquires and renews one lease.
type Keeper struct {
	options Options
	store   plat.Store
	clock   units.Clock
	log     zerolog.Logger
	grant   string

	seen   plat.Object // lease of another holder
	seenAt time.Time
	last   plat.Object // own latest write
}

// New returns a keeper.
func New(o Options, store plat.Store, clock units.Clock, log zerolog.Logger) *Keeper {
	return &Keeper{options: o, store: store, clock: clock, log: log, grant: rand.Text()}
}

// Key returns the key of the lease object.
func Key(place units.PlaceName, service units.ServiceName) string {
	return Prefix + string(place) + "/" + string(service)
}

// Run acquires the lease again and again until ctx ends. While it is held, hold runs with a context
// that ends when the authority does; the lease is released when hold returns by itself.
func (k *Keeper) Run(ctx context.Context, hold func(ctx context.Context, held *Held)) {
	for ctx.Err() == nil {
		held, err := k.acquire(ctx)
		if held == nil || err != nil {
			if err != nil {
				k.log.Debug().Err(err).Msg("lease: cannot be acquired now")
			}
			wait.Sleep(ctx, k.retryInterval())
			continue
		}
		k.log.Info().Str("service", string(k.options.Service)).Int64("fence", int64(held.Fence)).Msg("lease: acquired")
		k.serve(ctx, held, hold)
		k.log.Info().Str("service", string(k.options.Service)).Int64("fence", int64(held.Fence)).Msg("lease: given up")
	}
}

// acquire takes the lease if it is free, released or expired. It returns nil when another process holds it.
func (k *Keeper) acquire(ctx context.Context) (*Held, error) {
	if !k.options.Eligible() {
		k.seen = plat.Object{}
		return nil, nil
	}
	object, err := k.store.Get(ctx, Key(k.options.Place, k.options.Service))
	if errors.Is(err, plat.ErrNotFound) {
		return k.take(ctx, plat.Object{}, Value{})
	}
	if err != nil {
		return nil, err
	}
	var v Value
	if err := object.Decode(&v); err != nil {
		return nil, err
	}
	if v.Holder == "" || k.hasExpired(object, v) {
		return k.take(ctx, object, v)
	}
	return nil, nil
}

// hasExpired reports whether the object has not changed for the lease's whole duration on the own clock.
func (k *Keeper) hasExpired(object plat.Object, v Value) bool {
	now := k.clock()
	if object.Version != k.seen.Version {
		k.seen = object
		k.seenAt = now
	}
	duration := time.Duration(v.DurationMS) * time.Millisecond
	return now.Sub(k.seenAt) > duration+k.options.Drift
}

// take writes the lease with the next fencing number.
func (k *Keeper) take(ctx context.Context, previous plat.Object, v Value) (*Held, error) {
	before := k.clock()
	next := Value{
		Holder: k.options.Name, Grant: k.grant, Fence: v.Fence + 1, DurationMS: k.options.Duration.Milliseconds(),
	}
	if err := k.write(ctx, previous, next); err != nil {
		if errors.Is(err, plat.ErrConflict) {
			return nil, nil
		}
		return nil, err
	}
	held := &Held{Fence: next.Fence, Duration: k.options.Duration, clock: k.clock, start: before}
	held.extend(before.Add(k.options.Duration - k.options.Drift))
	return held, nil
}

// serve runs hold and renews the lease beside it.
func (k *Keeper) serve(ctx context.Context, held *Held, hold func(ctx context.Context, held *Held)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	var renewing conc.WaitGroup
	renewing.Go(func() { k.renewUntil(ctx, cancel, held, done) })
	hold(ctx, held)
	close(done)
	renewing.Wait()
	if held.Valid() {
		k.release(held)
	}
	held.extend(held.start)
}

// renewUntil renews the lease until it is lost, or done is closed.
func (k *Keeper) renewUntil(ctx context.Context, cancel context.CancelFunc, held *Held, done <-chan struct{}) {
	defer cancel()
	interval := k.options.Duration / renewals
	for {
		timer := time.NewTimer(min(interval, max(held.Left(), 0)))
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
		if errors.Is(err, plat.ErrConflict) {
			held.extend(held.start)
			k.log.Warn().Str("service", string(k.options.Service)).Msg("lease: lost to another process")
			return
		}
		interval = k.options.Duration / renewals
		if err != nil {
			interval /= renewals
		}
	}
}

func (k *Keeper) renew(ctx context.Context, held *Held) error {
	before := k.clock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(held.Left(), time.Millisecond))
	defer cancel()
	var v Value
	if err := k.last.Decode(&v); err != nil {
		return err
	}
	v.Renewal++
	if err := k.write(ctx, k.last, v); err != nil {
		return err
	}
	held.extend(before.Add(k.options.Duration - k.options.Drift))
	return nil
}

// release frees the lease for others at once.
func (k *Keeper) release(held *Held) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := k.write(ctx, k.last, Value{Fence: held.Fence}); err != nil {
		k.log.Debug().Err(err).Msg("lease: release failed")
	}
}

func (k *Keeper) write(ctx context.Context, previous plat.Object, v Value) error {
	object, err := plat.Encode(Key(k.options.Place, k.options.Service), previous, v)
	if err != nil {
		return fmt.Errorf("encode lease: %w", err)
	}
	written, err := k.store.Put(ctx, object)
	if err != nil {
		return err
	}
	k.last = written
	return nil
}

// retryInterval is short enough to notice a lapsed lease soon.
func (k *Keeper) retryInterval() time.Duration {
	return k.options.Duration / (2 * renewals)
}
