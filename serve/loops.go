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
	// intentsInterval is the time between reads of the open intents after the start.
	intentsInterval = 5 * time.Second
	// sweepInterval is the time between sweeps of single shards, so that all shards are swept in about an hour.
	sweepInterval = 15 * time.Second
)

func (p *Process) startLoops(ctx context.Context) {
	p.wg.Go(func() { p.mesh.Run(ctx) })
	p.wg.Go(func() { p.follower.Run(ctx) })
	p.wg.Go(func() { p.cluster.run(ctx) })
	p.wg.Go(func() { p.registerLoop(ctx) })
	p.wg.Go(func() { p.periodLoop(ctx) })
	p.wg.Go(func() { p.memberLoop(ctx) })
	p.wg.Go(func() { p.sweepLoop(ctx) })
	p.wg.Go(func() { wait.Every(ctx, connsInterval, p.guard.Sweep) })
}

// sweepLoop deletes old claims, one shard at a time from a random one on, while this process has rank 0 in its
// availability zone.
func (p *Process) sweepLoop(ctx context.Context) {
	for shard := rand.IntN(claim.Shards); wait.Sleep(ctx, sweepInterval); shard++ {
		if rank, _ := p.cluster.rank(); rank != 0 {
			continue
		}
		if _, err := claim.Sweep(ctx, p.store, shard, p.clock()); err != nil {
			p.log.Debug().Err(err).Msg("claim: sweep failed")
		}
	}
}

// registerLoop registers the process on the platform, retrying with backoff, and blocks the engines with open intents.
func (p *Process) registerLoop(ctx context.Context) {
	incarnation := cryptorand.Text()
	for attempt := 0; ctx.Err() == nil; attempt++ {
		open, err := p.cluster.register(ctx, incarnation)
		if err == nil {
			p.cordons.SetStartupBlocks(open)
			p.applyCordons()
			break
		}
		p.log.Debug().Err(err).Msg("serve: registration failed and is retried")
		if !wait.Sleep(ctx, wait.Backoff(attempt)) {
			return
		}
	}
	p.unblockAfterStart(ctx)
}

// unblockAfterStart unblocks the engines whose intents have been closed since the start, also when no holder sends
// heartbeats. It returns once no intent is open.
func (p *Process) unblockAfterStart(ctx context.Context) {
	for wait.Sleep(ctx, intentsInterval) {
		open, err := p.cluster.openIntents(ctx)
		if err != nil {
			continue
		}
		p.cordons.SetStartupBlocks(open)
		p.applyCordons()
		if len(open) == 0 {
			return
		}
	}
}

func (p *Process) applyCordons() {
	for name := range p.follower.Config().Services {
		p.cordons.Apply(name)
	}
}

// periodLoop updates rate limits and shares the state of the services once per period.
func (p *Process) periodLoop(ctx context.Context) {
	for wait.Sleep(ctx, limit.Period) {
		cfg := p.follower.Config()
		p.limits.EndPeriod(cfg)
		p.shareServices(cfg)
	}
}

// memberLoop shares this process's member entry, blocks engines on leaving VMs and updates readiness.
func (p *Process) memberLoop(ctx context.Context) {
	for wait.Sleep(ctx, memberInterval) {
		p.cordons.SetState(p.follower.Revision(), p.stopping.Load())
		blockLeaving(p.pool.all(), p.cluster.leaving())
		if p.cordons.Announce() {
			p.mesh.Flush()
		}
		p.ready.Store(!p.stopping.Load() && p.follower.Revision() > 0)
	}
}
