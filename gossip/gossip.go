// Package gossip tells other processes of the work that this one gives to engines, by datagrams that may be lost.
package gossip

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// beatInterval is the time between two heartbeats to each peer.
	beatInterval = time.Second
	// farBeats is the number of heartbeats in the own region for each one to another region, where bytes are paid for.
	farBeats = 3
	// silence is the time after which a peer that is not heard gets heartbeats only.
	silence = 4 * time.Second * farBeats
	// nearSilence is the same for peers of the own region.
	nearSilence = 2500 * time.Millisecond
	// loadsInterval is the time between two accounts of a region's engines to other regions.
	loadsInterval = 200 * time.Millisecond
	// fewProcesses is the number of processes up to which each tells all others of its works: the bytes between regions
	// cost less than old accounts of the loads there.
	fewProcesses = 16
	// maxLoads is the number of engines whose load fits one message.
	maxLoads = 16
	// maxDatagram bounds a message, so that it fits one packet.
	maxDatagram = 1200
)

// The kinds of messages.
const (
	kindBeat int64 = iota
	kindBegan
	kindRead
	kindEnded
	kindAway
	kindLoads
)

// Options are what a gossip depends on.
type Options struct {
	Name   units.ProcessName
	Region units.RegionName
	Conn   net.PacketConn
	Sink   Sink
	Clock  units.Clock
	Log    zerolog.Logger
}

// Sink takes the work that other processes tell of.
type Sink interface {
	Began(from units.ProcessName, grant int64, load *wire.Load)
	Read(from units.ProcessName, grant int64, work uint64)
	Ended(from units.ProcessName, grant int64, work uint64)
	Away(id units.EngineName, born int64, d time.Duration)
	// Loads returns the loads of the engines of a region.
	Loads(region units.RegionName) []wire.Busy
	// Loaded takes the loads of another region's engines.
	Loaded(loads []wire.Busy)
}

// Gossip exchanges messages with all known peers.
type Gossip struct {
	name   units.ProcessName
	region units.RegionName
	conn   net.PacketConn
	sink   Sink
	clock  units.Clock
	log    zerolog.Logger
	grant  int64
	works  atomic.Uint64

	mu    sync.Mutex // guards changes of peers
	peers atomic.Pointer[map[units.ProcessName]*peer]
	lost  atomic.Int64
	seen  versions
}

// versions are the newest changes under some prefixes that a process has seen.
type versions struct {
	mu    sync.Mutex
	own   map[string]int64
	newer func(prefix string, version int64)
}

// peer is another process.
type peer struct {
	address net.Addr
	region  units.RegionName
	heard   atomic.Int64 // time of the last message, Unix nanoseconds of the own clock
}

// New returns a gossip without peers.
func New(o Options) *Gossip {
	g := &Gossip{name: o.Name, region: o.Region, conn: o.Conn, sink: o.Sink, clock: o.Clock, log: o.Log, grant: o.Clock().UnixNano()}
	g.peers.Store(&map[units.ProcessName]*peer{})
	g.seen.own = map[string]int64{}
	return g
}

// Put adds a peer or changes its address.
func (g *Gossip) Put(name units.ProcessName, address string, region units.RegionName) {
	resolved, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		g.log.Warn().Str("peer", string(name)).Err(err).Msg("gossip: peer has no usable address")
		return
	}
	g.change(func(peers map[units.ProcessName]*peer) {
		p := &peer{address: resolved, region: region}
		p.heard.Store(g.clock().UnixNano())
		peers[name] = p
	})
}

// Remove forgets a peer.
func (g *Gossip) Remove(name units.ProcessName) {
	g.change(func(peers map[units.ProcessName]*peer) { delete(peers, name) })
}

func (g *Gossip) change(f func(map[units.ProcessName]*peer)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := maps.Clone(*g.peers.Load())
	f(next)
	delete(next, g.name)
	g.peers.Store(&next)
}

// Live returns the number of processes that are heard, this one included.
func (g *Gossip) Live() int {
	live := 1
	for _, p := range *g.peers.Load() {
		if g.hears(p) {
			live++
		}
	}
	return live
}

// Known returns the number of processes, this one included, whether they are heard or not.
func (g *Gossip) Known() int {
	return len(*g.peers.Load()) + 1
}

// Lost returns the number of messages that could not be sent.
func (g *Gossip) Lost() int64 {
	return g.lost.Load()
}

// Rank returns the number of processes of the own region that are heard and come first by their names. The process of
// rank zero speaks for the region.
func (g *Gossip) Rank() int {
	rank := 0
	for name, p := range *g.peers.Load() {
		if p.region == g.region && name < g.name && g.hears(p) {
			rank++
		}
	}
	return rank
}

func (g *Gossip) hears(p *peer) bool {
	bound := silence
	if p.region == g.region {
		bound = nearSilence
	}
	return g.clock().UnixNano()-p.heard.Load() < bound.Nanoseconds()
}

// near selects the peers of the own region and of one other that are heard, or all while there are few.
func (g *Gossip) near(other units.RegionName) func(p *peer) bool {
	few := g.Known() <= fewProcesses
	return func(p *peer) bool { return (few || p.region == g.region || p.region == other) && g.hears(p) }
}

// Began tells the processes of the own region and of the engine's that work began, and returns its identifier.
func (g *Gossip) Began(load wire.Load, region units.RegionName) uint64 {
	load.Work = g.works.Add(1)
	load.Kind = kindBegan
	g.tell(load, g.near(region))
	return load.Work
}

// Read tells that the prompt of a work has been read.
func (g *Gossip) Read(work uint64, region units.RegionName) {
	g.tell(wire.Load{Kind: kindRead, Work: work}, g.near(region))
}

// Ended tells that a work has ended.
func (g *Gossip) Ended(work uint64, region units.RegionName) {
	g.tell(wire.Load{Kind: kindEnded, Work: work}, g.near(region))
}

// Away tells all processes that an engine takes no work for a while.
func (g *Gossip) Away(e *pick.Engine, d time.Duration) {
	g.tell(wire.Load{Kind: kindAway, Engine: string(e.ID), Born: e.Born, CostUS: d.Microseconds()}, g.hears)
}

// Saw tells the own region of the newest change under a prefix that this process has seen.
func (g *Gossip) Saw(prefix string, version int64) {
	g.seen.mu.Lock()
	g.seen.own[prefix] = max(g.seen.own[prefix], version)
	g.seen.mu.Unlock()
	g.tell(g.beatMessage(), g.near(g.region))
}

// OnNewer sets the function that learns of changes which others have seen and this process has not.
func (g *Gossip) OnNewer(f func(prefix string, version int64)) {
	g.seen.newer = f
}

func (g *Gossip) beatMessage() wire.Load {
	g.seen.mu.Lock()
	defer g.seen.mu.Unlock()
	load := wire.Load{Kind: kindBeat}
	for prefix, version := range g.seen.own {
		load.Seen = append(load.Seen, wire.Seen{Prefix: prefix, Version: version})
	}
	return load
}

// compare looks for changes that a peer has seen and this process has not.
func (g *Gossip) compare(seen []wire.Seen) {
	for _, s := range seen {
		g.seen.mu.Lock()
		newer := s.Version > g.seen.own[s.Prefix]
		g.seen.mu.Unlock()
		if newer && g.seen.newer != nil {
			g.seen.newer(s.Prefix, s.Version)
		}
	}
}

// tell sends the message to the selected peers.
func (g *Gossip) tell(load wire.Load, selects func(p *peer) bool) {
	load.Name, load.Grant = string(g.name), g.grant
	message, err := cbor.Marshal(wire.Frame{Load: &load})
	if err != nil || len(message) > maxDatagram {
		g.log.Error().Err(err).Int("bytes", len(message)).Msg("gossip: message cannot be sent")
		return
	}
	for _, p := range *g.peers.Load() {
		if !selects(p) {
			continue
		}
		if _, err := g.conn.WriteTo(message, p.address); err != nil {
			g.lost.Add(1) // advice only: the load lapses at the receiver by itself
		}
	}
}

// Run receives messages and sends heartbeats until ctx ends. It closes the connection.
func (g *Gossip) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = g.conn.Close() })
	defer stop()
	var loops conc.WaitGroup
	loops.Go(func() { g.beat(ctx) })
	loops.Go(func() { g.speak(ctx) })
	defer loops.Wait()
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := g.conn.ReadFrom(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			g.log.Debug().Err(err).Msg("gossip: a read failed")
			continue
		}
		g.take(buffer[:n])
	}
}

func (g *Gossip) beat(ctx context.Context) {
	n := 0
	beat := func() {
		far := n%farBeats == 0
		n++
		g.tell(g.beatMessage(), func(p *peer) bool { return far || p.region == g.region })
	}
	beat()
	wait.Each(ctx, beatInterval, beat)
}

// speak gives other regions an account of the own region's engines, while this process speaks for the region.
func (g *Gossip) speak(ctx context.Context) {
	wait.Each(ctx, loadsInterval, func() {
		if g.Rank() > 0 || g.Known() <= fewProcesses {
			return
		}
		for loads := range slices.Chunk(g.sink.Loads(g.region), maxLoads) {
			g.tell(wire.Load{Kind: kindLoads, Busy: loads}, func(p *peer) bool { return p.region != g.region && g.hears(p) })
		}
	})
}

func (g *Gossip) take(message []byte) {
	var frame wire.Frame
	if err := cbor.Unmarshal(message, &frame); err != nil || frame.Load == nil {
		g.log.Debug().Err(err).Msg("gossip: message is malformed")
		return
	}
	load := frame.Load
	from := units.ProcessName(load.Name)
	p, known := (*g.peers.Load())[from]
	if !known {
		return
	}
	p.heard.Store(g.clock().UnixNano())
	switch load.Kind {
	case kindBeat:
		g.compare(load.Seen)
	case kindLoads:
		g.sink.Loaded(load.Busy)
	case kindBegan:
		g.sink.Began(from, load.Grant, load)
	case kindRead:
		g.sink.Read(from, load.Grant, load.Work)
	case kindEnded:
		g.sink.Ended(from, load.Grant, load.Work)
	case kindAway:
		g.sink.Away(units.EngineName(load.Engine), load.Born, time.Duration(load.CostUS)*time.Microsecond)
	}
}
