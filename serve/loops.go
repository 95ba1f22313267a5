package serve

import (
	"context"
	cryptorand "crypto/rand"
	"math/rand/v2"
	"time"

	"github.com/buckthorntrack/buckthorntrack/claim"
	"github.com/buckthorntrack/buckthorntrack/limit"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

const (
	memberInterval = 100 * time.Millisecond
	// intentsInterval is the time between two looks at the intents that were open at the start.
	intentsInterval = 5 * time.Second
	// sweepInterval lets a zone sweep all shards of claims in about an hour.
	sweepInterval = 15 * time.Second
)

func (p *Process) startLoops(ctx context.Context) {
	p.wg.Go(func() { p.mesh.Run(ctx) })
	p.wg.Go(func() { p.follower.Run(ctx) })
	p.wg.Go(func() { p.fleet.run(ctx) })
	p.wg.Go(func() { p.registerLoop(ctx) })
	p.wg.Go(func() { p.accountLoop(ctx) })
	p.wg.Go(func() { p.memberLoop(ctx) })
	p.wg.Go(func() { p.sweepLoop(ctx) })
}

// sweepLoop removes old claims, one shard after another, while this process is the first of its zone.
func (p *Process) sweepLoop(ctx context.Context) {
	for shard := rand.IntN(claim.Shards); wait.Sleep(ctx, sweepInterval); shard++ {
		if rank, _ := p.fleet.rank(); rank != 0 {
			continue
		}
		if _, err := claim.Sweep(ctx, p.store, shard, p.clock()); err != nil {
			p.log.Debug().Err(err).Msg("claim: sweep failed")
		}
	}
}

// registerLoop makes the process known to the platform and asks which engines it must leave alone.
func (p *Process) registerLoop(ctx context.Context) {
	incarnation := cryptorand.Text()
	for attempt := 0; ctx.Err() == nil; attempt++ {
		open, err := p.fleet.register(ctx, incarnation)
		if err == nil {
			p.permits.AtStart(open)
			p.applyPermits()
			break
		}
		p.log.Debug().Err(err).Msg("serve: process cannot be registered yet")
		if !wait.Sleep(ctx, wait.Backoff(attempt)) {
			return
		}
	}
	p.releaseAtStart(ctx)
}

// releaseAtStart frees the engines whose intents are closed when no holder tells.
func (p *Process) releaseAtStart(ctx context.Context) {
	for wait.Sleep(ctx, intentsInterval) {
		open, err := p.fleet.openIntents(ctx)
		if err != nil {
			continue
		}
		p.permits.AtStart(open)
		p.applyPermits()
		if len(open) == 0 {
			return
		}
	}
}

func (p *Process) applyPermits() {
	for name := range p.follower.Config().Services {
		p.permits.Apply(name)
	}
}

func (p *Process) accountLoop(ctx context.Context) {
	for wait.Sleep(ctx, limit.Period) {
		cfg := p.follower.Config()
		p.limits.Account(cfg)
		p.tellServices(cfg)
	}
}

func (p *Process) memberLoop(ctx context.Context) {
	for wait.Sleep(ctx, memberInterval) {
		p.permits.SetState(p.follower.Revision(), p.stopping.Load())
		blockLeaving(p.pool.all(), p.fleet.leaving())
		if p.permits.Tell() {
			p.mesh.Flush()
		}
		p.ready.Store(!p.stopping.Load() && p.follower.Revision() > 0)
	}
}
