// Package gossip exchanges heartbeats and engine loads between processes, by UDP datagrams that may be lost.
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
	// heartbeatInterval is the interval between heartbeats to each peer of the local region.
	heartbeatInterval = time.Second
	// remoteHeartbeatRatio is the number of heartbeat intervals between heartbeats to peers of other regions: traffic
	// between regions is paid for.
	remoteHeartbeatRatio = 3
	// remoteTimeout is the time without messages after which a peer of another region counts as dead and is sent
	// heartbeats only.
	remoteTimeout = 4 * time.Second * remoteHeartbeatRatio
	// localTimeout is the corresponding time for peers of the local region.
	localTimeout = 2500 * time.Millisecond
	// reportInterval is the interval between load reports of a region's engines to other regions.
	reportInterval = 200 * time.Millisecond
	// smallFleet is the number of processes up to which each sends its work messages to all others. The traffic between
	// regions then costs less than routing by outdated load reports.
	smallFleet = 16
	// maxLoadsPerMessage is the number of engine loads that fit one message.
	maxLoadsPerMessage = 16
	// maxMessageBytes bounds a message so that it fits one IP packet.
	maxMessageBytes = 1200
)

// Values of wire.LoadMessage.Kind.
const (
	kindHeartbeat int64 = iota
	kindStarted
	kindPrefilled
	kindEnded
	kindUnavailable
	kindLoads
)

// Options configures a Gossip.
type Options struct {
	Name   units.ProcessName
	Region units.RegionName
	Conn   net.PacketConn
	Sink   Sink
	Clock  units.Clock
	Log    zerolog.Logger
}

// Sink handles the messages of other processes. WorkStarted, WorkPrefilled and WorkEnded report the start of a request
// at an engine, the end of its prefill and its end. A request is identified by its process, the process's incarnation
// and a work id.
type Sink interface {
	WorkStarted(from units.ProcessName, incarnation int64, load *wire.LoadMessage)
	WorkPrefilled(from units.ProcessName, incarnation int64, work uint64)
	WorkEnded(from units.ProcessName, incarnation int64, work uint64)
	// EngineUnavailable reports that an engine takes no new requests for the given time.
	EngineUnavailable(id units.EngineName, engineIncarnation int64, d time.Duration)
	// RegionLoads returns the loads of a region's engines that are sent to other regions.
	RegionLoads(region units.RegionName) []wire.EngineLoad
	// SetRemoteLoads receives the loads of another region's engines.
	SetRemoteLoads(loads []wire.EngineLoad)
}

// Gossip sends messages to peers and passes theirs to a Sink.
type Gossip struct {
	name        units.ProcessName
	region      units.RegionName
	conn        net.PacketConn
	sink        Sink
	clock       units.Clock
	log         zerolog.Logger
	incarnation int64 // start of this process, Unix nanoseconds
	lastWorkID  atomic.Uint64

	mu           sync.Mutex // guards changes of peers
	peers        atomic.Pointer[map[units.ProcessName]*peer]
	sendFailures atomic.Int64
	versions     versions
}

// versions holds the newest version that this process has read under each key prefix.
type versions struct {
	mu      sync.Mutex
	local   map[string]int64
	onNewer func(prefix string, version int64)
}

// peer is another process.
type peer struct {
	address       net.Addr
	region        units.RegionName
	lastMessageAt atomic.Int64 // local receive time of the last message, Unix nanoseconds
}

// New returns a Gossip without peers.
func New(o Options) *Gossip {
	g := &Gossip{
		name: o.Name, region: o.Region, conn: o.Conn, sink: o.Sink, clock: o.Clock, log: o.Log,
		incarnation: o.Clock().UnixNano(),
	}
	g.peers.Store(&map[units.ProcessName]*peer{})
	g.versions.local = map[string]int64{}
	return g
}

// SetPeer adds a peer or replaces its address and region. The peer counts as live until its timeout.
func (g *Gossip) SetPeer(name units.ProcessName, address string, region units.RegionName) {
	resolved, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		g.log.Warn().Str("peer", string(name)).Err(err).Msg("gossip: peer address is invalid")
		return
	}
	g.updatePeers(func(peers map[units.ProcessName]*peer) {
		p := &peer{address: resolved, region: region}
		p.lastMessageAt.Store(g.clock().UnixNano())
		peers[name] = p
	})
}

// RemovePeer removes a peer. Its messages are dropped from then on.
func (g *Gossip) RemovePeer(name units.ProcessName) {
	g.updatePeers(func(peers map[units.ProcessName]*peer) { delete(peers, name) })
}

func (g *Gossip) updatePeers(update func(map[units.ProcessName]*peer)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := maps.Clone(*g.peers.Load())
	update(next)
	delete(next, g.name)
	g.peers.Store(&next)
}

// LiveProcesses returns the number of live processes, including this one.
func (g *Gossip) LiveProcesses() int {
	live := 1
	for _, p := range *g.peers.Load() {
		if g.isLive(p) {
			live++
		}
	}
	return live
}

// KnownProcesses returns the number of processes, live or not, including this one.
func (g *Gossip) KnownProcesses() int {
	return len(*g.peers.Load()) + 1
}

// SendFailures returns the number of messages whose send failed.
func (g *Gossip) SendFailures() int64 {
	return g.sendFailures.Load()
}

// Rank returns the position of this process among the live processes of its region, ordered by name. The process of
// rank 0 reports the loads of the region's engines to other regions.
func (g *Gossip) Rank() int {
	rank := 0
	for name, p := range *g.peers.Load() {
		if p.region == g.region && name < g.name && g.isLive(p) {
			rank++
		}
	}
	return rank
}

func (g *Gossip) isLive(p *peer) bool {
	timeout := remoteTimeout
	if p.region == g.region {
		timeout = localTimeout
	}
	return g.clock().UnixNano()-p.lastMessageAt.Load() < timeout.Nanoseconds()
}

// regionPeers returns a filter for the live peers of the local region and of the engine's region. In a small fleet it
// selects all live peers.
func (g *Gossip) regionPeers(engineRegion units.RegionName) func(p *peer) bool {
	all := g.KnownProcesses() <= smallFleet
	return func(p *peer) bool { return (all || p.region == g.region || p.region == engineRegion) && g.isLive(p) }
}

// AnnounceStart announces the start of work at an engine of the region, and returns the work id for AnnouncePrefilled
// and AnnounceEnd.
func (g *Gossip) AnnounceStart(load wire.LoadMessage, region units.RegionName) uint64 {
	load.WorkID = g.lastWorkID.Add(1)
	load.Kind = kindStarted
	g.send(load, g.regionPeers(region))
	return load.WorkID
}

// AnnouncePrefilled announces that the engine has prefilled the prompt.
func (g *Gossip) AnnouncePrefilled(work uint64, region units.RegionName) {
	g.send(wire.LoadMessage{Kind: kindPrefilled, WorkID: work}, g.regionPeers(region))
}

// AnnounceEnd announces that the work has ended.
func (g *Gossip) AnnounceEnd(work uint64, region units.RegionName) {
	g.send(wire.LoadMessage{Kind: kindEnded, WorkID: work}, g.regionPeers(region))
}

// AnnounceUnavailable announces to all live processes that an engine takes no new work for the given time.
func (g *Gossip) AnnounceUnavailable(e *pick.Engine, d time.Duration) {
	g.send(wire.LoadMessage{
		Kind: kindUnavailable, Engine: string(e.ID), Born: e.StartedAt, CostUS: d.Microseconds(),
	}, g.isLive)
}

// AnnounceVersion records the version of a change under a prefix that this process has read, and announces it to the
// named processes with a heartbeat.
func (g *Gossip) AnnounceVersion(prefix string, version int64, to []units.ProcessName) {
	g.versions.mu.Lock()
	g.versions.local[prefix] = max(g.versions.local[prefix], version)
	g.versions.mu.Unlock()
	peers := *g.peers.Load()
	for _, name := range to {
		if p, ok := peers[name]; ok {
			g.sendTo(g.heartbeat(), p)
		}
	}
}

// OnNewerVersion sets the function to call when a peer has read a newer version than this process. Call it before Run.
func (g *Gossip) OnNewerVersion(f func(prefix string, version int64)) {
	g.versions.onNewer = f
}

// heartbeat returns a heartbeat message with the newest versions that this process has read.
func (g *Gossip) heartbeat() wire.LoadMessage {
	g.versions.mu.Lock()
	defer g.versions.mu.Unlock()
	load := wire.LoadMessage{Kind: kindHeartbeat}
	for prefix, version := range g.versions.local {
		load.Seen = append(load.Seen, wire.SeenVersion{Prefix: prefix, Version: version})
	}
	return load
}

// checkVersions calls onNewer for each version of a peer that is newer than the local one.
func (g *Gossip) checkVersions(seen []wire.SeenVersion) {
	for _, s := range seen {
		g.versions.mu.Lock()
		newer := s.Version > g.versions.local[s.Prefix]
		g.versions.mu.Unlock()
		if newer && g.versions.onNewer != nil {
			g.versions.onNewer(s.Prefix, s.Version)
		}
	}
}

// send sends the message to the peers that the filter includes.
func (g *Gossip) send(load wire.LoadMessage, include func(p *peer) bool) {
	message := g.encode(load)
	for _, p := range *g.peers.Load() {
		if include(p) {
			g.write(message, p)
		}
	}
}

// sendTo sends the message to one peer.
func (g *Gossip) sendTo(load wire.LoadMessage, p *peer) {
	g.write(g.encode(load), p)
}

// encode returns the message as a datagram, nil if it cannot be sent.
func (g *Gossip) encode(load wire.LoadMessage) []byte {
	load.Name, load.Incarnation = string(g.name), g.incarnation
	message, err := cbor.Marshal(wire.Frame{Load: &load})
	if err != nil || len(message) > maxMessageBytes {
		g.log.Error().Err(err).Int("bytes", len(message)).Msg("gossip: message cannot be encoded or is too long")
		return nil
	}
	return message
}

func (g *Gossip) write(message []byte, p *peer) {
	if message == nil {
		return
	}
	if _, err := g.conn.WriteTo(message, p.address); err != nil {
		g.sendFailures.Add(1) // not retried: receivers drop the load of unfinished work after a while
	}
}

// Run receives messages and sends heartbeats until ctx ends. It closes the connection.
func (g *Gossip) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = g.conn.Close() })
	defer stop()
	var loops conc.WaitGroup
	loops.Go(func() { g.sendHeartbeats(ctx) })
	loops.Go(func() { g.reportLoads(ctx) })
	defer loops.Wait()
	buffer := make([]byte, maxMessageBytes)
	for {
		n, _, err := g.conn.ReadFrom(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			g.log.Debug().Err(err).Msg("gossip: read failed")
			continue
		}
		g.handle(buffer[:n])
	}
}

// sendHeartbeats sends a heartbeat at once and then at each interval until ctx ends.
func (g *Gossip) sendHeartbeats(ctx context.Context) {
	count := 0
	sendOne := func() {
		toRemote := count%remoteHeartbeatRatio == 0
		count++
		g.send(g.heartbeat(), func(p *peer) bool { return toRemote || p.region == g.region })
	}
	sendOne()
	wait.Every(ctx, heartbeatInterval, sendOne)
}

// reportLoads sends the loads of the region's engines to other regions while this process has rank 0. In a small fleet
// the other regions receive all work messages instead.
func (g *Gossip) reportLoads(ctx context.Context) {
	wait.Every(ctx, reportInterval, func() {
		if g.Rank() > 0 || g.KnownProcesses() <= smallFleet {
			return
		}
		for loads := range slices.Chunk(g.sink.RegionLoads(g.region), maxLoadsPerMessage) {
			g.send(wire.LoadMessage{Kind: kindLoads, Busy: loads}, func(p *peer) bool {
				return p.region != g.region && g.isLive(p)
			})
		}
	})
}

// handle processes a message. Messages of unknown processes are dropped.
func (g *Gossip) handle(message []byte) {
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
	p.lastMessageAt.Store(g.clock().UnixNano())
	switch load.Kind {
	case kindHeartbeat:
		g.checkVersions(load.Seen)
	case kindLoads:
		g.sink.SetRemoteLoads(load.Busy)
	case kindStarted:
		g.sink.WorkStarted(from, load.Incarnation, load)
	case kindPrefilled:
		g.sink.WorkPrefilled(from, load.Incarnation, load.WorkID)
	case kindEnded:
		g.sink.WorkEnded(from, load.Incarnation, load.WorkID)
	case kindUnavailable:
		g.sink.EngineUnavailable(units.EngineName(load.Engine), load.Born, time.Duration(load.CostUS)*time.Microsecond)
	}
}
