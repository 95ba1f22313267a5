// Package gossip tells other processes of the work that this one gives to engines, by datagrams that may be lost.
package gossip

import (
	"context"
	"errors"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// beatInterval is the time between two heartbeats to each peer.
	beatInterval = time.Second
	// silence is the time after which a peer that is not heard gets heartbeats only.
	silence = 4 * time.Second
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
)

// Options are what a gossip depends on.
type Options struct {
	Name  units.ProcessName
	Conn  net.PacketConn
	Sink  Sink
	Clock units.Clock
	Log   zerolog.Logger
}

// Sink takes the work that other processes tell of.
type Sink interface {
	Began(from units.ProcessName, grant int64, load *wire.Load)
	Read(from units.ProcessName, grant int64, work uint64)
	Ended(from units.ProcessName, grant int64, work uint64)
	Away(id units.EngineName, born int64, d time.Duration)
}

// Gossip exchanges messages with all known peers.
type Gossip struct {
	name  units.ProcessName
	conn  net.PacketConn
	sink  Sink
	clock units.Clock
	log   zerolog.Logger
	grant int64
	works atomic.Uint64

	mu    sync.Mutex // guards changes of peers
	peers atomic.Pointer[map[units.ProcessName]*peer]
	lost  atomic.Int64
}

// peer is another process.
type peer struct {
	address net.Addr
	heard   atomic.Int64 // time of the last message, Unix nanoseconds of the own clock
}

// New returns a gossip without peers.
func New(o Options) *Gossip {
	g := &Gossip{name: o.Name, conn: o.Conn, sink: o.Sink, clock: o.Clock, log: o.Log, grant: o.Clock().UnixNano()}
	g.peers.Store(&map[units.ProcessName]*peer{})
	return g
}

// Put adds a peer or changes its address.
func (g *Gossip) Put(name units.ProcessName, address string) {
	resolved, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		g.log.Warn().Str("peer", string(name)).Err(err).Msg("gossip: peer has no usable address")
		return
	}
	g.change(func(peers map[units.ProcessName]*peer) {
		p := &peer{address: resolved}
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

func (g *Gossip) hears(p *peer) bool {
	return g.clock().UnixNano()-p.heard.Load() < silence.Nanoseconds()
}

// Began tells that work began, and returns its identifier.
func (g *Gossip) Began(load wire.Load) uint64 {
	load.Work = g.works.Add(1)
	load.Kind = kindBegan
	g.tell(load, false)
	return load.Work
}

// Read tells that the prompt of a work has been read.
func (g *Gossip) Read(work uint64) {
	g.tell(wire.Load{Kind: kindRead, Work: work}, false)
}

// Ended tells that a work has ended.
func (g *Gossip) Ended(work uint64) {
	g.tell(wire.Load{Kind: kindEnded, Work: work}, false)
}

// Away tells that an engine takes no work for a while.
func (g *Gossip) Away(e *pick.Engine, d time.Duration) {
	g.tell(wire.Load{Kind: kindAway, Engine: string(e.ID), Born: e.Born, CostUS: d.Microseconds()}, false)
}

// tell sends the message to the peers that are heard, or to all of them.
func (g *Gossip) tell(load wire.Load, all bool) {
	load.Name, load.Grant = string(g.name), g.grant
	message, err := cbor.Marshal(wire.Frame{Load: &load})
	if err != nil || len(message) > maxDatagram {
		g.log.Error().Err(err).Int("bytes", len(message)).Msg("gossip: message cannot be sent")
		return
	}
	for _, p := range *g.peers.Load() {
		if !all && !g.hears(p) {
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
	go g.beat(ctx)
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
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		g.tell(wire.Load{Kind: kindBeat}, true)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
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
