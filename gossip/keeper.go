package gossip

import (
	"context"
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/digest"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// askTimeout bounds the wait for the loads of engines. Processes of a region answer within a few milliseconds.
	askTimeout = 15 * time.Millisecond
	// remoteAskTimeout is the same for engines of another region, which take a round trip of 40 ms.
	remoteAskTimeout = 60 * time.Millisecond
	// maxEnginesPerAsk is the number of engines whose loads fit one message.
	maxEnginesPerAsk = 12
)

// asks holds the requests for loads that wait for answers.
type asks struct {
	mu      sync.Mutex
	pending map[uint64]*ask
}

// ask is one request for the loads of engines, which several processes keep.
type ask struct {
	prompt  []pick.Part
	waiting map[*peer]bool // guarded by asks.mu
	done    chan struct{}
}

// keeperOf returns the process that keeps the load of the engine: one of the engine's availability zone, or else of its
// region, by rendezvous hashing over those that are there and answer. It returns nil if this process keeps it. Two processes that
// choose different keepers for a while see only a part of the load.
func (g *Gossip) keeperOf(e *pick.Engine) *peer {
	t := g.peers.Load()
	best := g.keeperAmong(t.byPlace[e.Place], e)
	if best == nil {
		best = g.keeperAmong(t.byRegion[e.Region], e)
	}
	if best == nil || best.address == nil {
		return nil
	}
	return best
}

// keeperAmong returns the candidate with the highest weight, nil for none.
func (g *Gossip) keeperAmong(candidates []*peer, e *pick.Engine) *peer {
	var best *peer
	var highest uint64
	now := g.Clock()
	for _, p := range candidates {
		weight := digest.Combine(e.Hash(), p.hash)
		if (best == nil || weight > highest) && isLive(p) && !p.isSuspect(now) {
			best, highest = p, weight
		}
	}
	return best
}

// KnowsAllLoads reports whether the loads of all engines are known without asking, as all processes tell all others.
func (g *Gossip) KnowsAllLoads() bool {
	return g.isSmall()
}

// Ask requests the loads of the engines from the processes that keep them, and passes the answers to the Sink. It returns
// when all have answered or after a short time.
func (g *Gossip) Ask(ctx context.Context, engines []*pick.Engine, prompt []pick.Part) {
	requests := g.groupByKeeper(engines)
	if len(requests) == 0 {
		return
	}
	a := &ask{prompt: prompt, waiting: map[*peer]bool{}, done: make(chan struct{})}
	for p := range requests {
		a.waiting[p] = true
	}
	id := g.lastAsk.Add(1)
	g.asks.mu.Lock()
	g.asks.pending[id] = a
	g.asks.mu.Unlock()
	var parts []string
	for _, part := range pick.Shared(prompt) {
		parts = append(parts, string(part.ID))
	}
	for p, list := range requests {
		g.sendTo(wire.LoadMessage{Kind: kindAsk, WorkID: id, Parts: parts, Busy: list}, p)
	}
	timeout := askTimeout
	for p := range requests {
		if p.region != g.Region {
			timeout = remoteAskTimeout
		}
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-a.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	g.endAsk(id, a, ctx.Err() == nil)
}

// groupByKeeper returns the engines by the process that keeps their load, without those kept here.
func (g *Gossip) groupByKeeper(engines []*pick.Engine) map[*peer][]wire.EngineLoad {
	requests := map[*peer][]wire.EngineLoad{}
	for _, e := range engines {
		if p := g.keeperOf(e); p != nil && len(requests[p]) < maxEnginesPerAsk {
			requests[p] = append(requests[p], wire.EngineLoad{Engine: string(e.ID), Born: e.StartedAt})
		}
	}
	return requests
}

// endAsk removes a request. Peers that have not answered it in time are recorded.
func (g *Gossip) endAsk(id uint64, a *ask, timedOut bool) {
	g.asks.mu.Lock()
	delete(g.asks.pending, id)
	missing := a.waiting
	g.asks.mu.Unlock()
	if !timedOut {
		return
	}
	now := g.Clock()
	for p := range missing {
		p.recordMissed(now)
	}
}

// receiveLoads passes an answer to the Sink. An answer that is late or a duplicate still has loads.
func (g *Gossip) receiveLoads(from *peer, load *wire.LoadMessage) {
	g.asks.mu.Lock()
	a, ok := g.asks.pending[load.WorkID]
	var prompt []pick.Part
	finished := false
	if ok && a.waiting[from] {
		prompt = a.prompt
		delete(a.waiting, from)
		finished = len(a.waiting) == 0
	}
	g.asks.mu.Unlock()
	g.Sink.SetLoads(load.Busy, prompt)
	if finished {
		close(a.done)
	}
}
