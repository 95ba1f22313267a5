// Package gossip exchanges engine loads, heartbeats and versions between processes, by UDP datagrams that may be lost.
package gossip

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/buckthorntrack/buckthorntrack/alive"
	"github.com/buckthorntrack/buckthorntrack/demand"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// heartbeatInterval is the interval between heartbeats to each peer of the local region, in a small fleet.
	heartbeatInterval = time.Second
	// remoteHeartbeatRatio is the number of heartbeat intervals between heartbeats to peers of other regions: traffic
	// between regions is paid for.
	remoteHeartbeatRatio = 3
	// readRetryDelay is the delay after a failed read from the socket.
	readRetryDelay = 50 * time.Millisecond
)

// SmallFleet is the number of processes up to which each sends its work messages to all others. In a larger fleet one
// process keeps the load of each engine, and is asked for it.
const SmallFleet = 16

// Options configures a Gossip.
type Options struct {
	Name       units.ProcessName
	Place      units.PlaceName
	Region     units.RegionName
	Key        string // shared by all processes
	SmallFleet int
	// Leaders is the number of processes of each region that have duties, and Fanout the number of processes that follow one.
	Leaders, Fanout int
	Conn            net.PacketConn
	Sink            Sink
	Clock           units.Clock
	BootTime        units.Clock // continues while the VM is suspended
	Log             zerolog.Logger
}

// Sink handles the messages of other processes. WorkStarted, WorkPrefilled and WorkEnded report the start of a request
// at an engine, the end of its prefill and its end, with the mean time between the events of its stream. A request is identified by its process, the process's incarnation
// and a work id.
type Sink interface {
	WorkStarted(from units.ProcessName, incarnation int64, load *wire.LoadMessage)
	WorkPrefilled(from units.ProcessName, incarnation int64, work uint64)
	WorkEnded(from units.ProcessName, incarnation int64, work uint64, eventTime time.Duration)
	// EngineUnavailable reports that an engine takes no new requests for the given time.
	EngineUnavailable(id units.EngineName, engineIncarnation int64, d time.Duration)
	// EngineUnreached reports that another process does not reach an engine, though it reaches others.
	EngineUnreached(from units.ProcessName, id units.EngineName, engineIncarnation int64, d time.Duration)
	// EngineLimited reports the limit that an engine names, zero for none.
	EngineLimited(id units.EngineName, engineIncarnation int64, limit units.PerSecond)
	// Loads returns the loads of the engines, with the number of the leading parts that each has cached.
	Loads(engines []wire.EngineLoad, parts []string) []wire.EngineLoad
	// SetLoads receives loads that another process keeps, for a prompt.
	SetLoads(loads []wire.EngineLoad, prompt []pick.Part)
}

// Gossip sends messages to peers and passes theirs to a Sink.
type Gossip struct {
	Options

	codec       codec
	incarnation int64 // start of this process, Unix nanoseconds
	lastWorkID  atomic.Uint64
	lastAsk     atomic.Uint64

	mu           sync.Mutex // guards changes of peers
	peers        atomic.Pointer[peerTable]
	sendFailures atomic.Int64
	dropped      atomic.Int64
	versions     versions
	asks         asks
	traits       traits
	streams      StreamSink
	usage        UsageSink
	demand       func(r demand.Report)
	suspension   suspension
	watch        *alive.Watch
	onUnknown    func(name units.ProcessName)
}

// versions holds the newest version that this process has read under each key prefix.
type versions struct {
	mu      sync.Mutex
	local   map[string]int64
	onNewer func(prefix string, version int64)
}

// New returns a Gossip without peers.
func New(o Options) *Gossip {
	g := &Gossip{Options: o, codec: newCodec(o.Key), incarnation: o.Clock().UnixNano()}
	g.watch = alive.New(alive.Options{
		Process: alive.Process{Name: o.Name, Region: o.Region}, SmallFleet: o.SmallFleet, Leaders: o.Leaders, Fanout: o.Fanout,
	})
	g.peers.Store(newPeerTable(nil, g.self()))
	g.versions.local = map[string]int64{}
	g.asks.pending = map[uint64]*ask{}
	return g
}

// SendFailures returns the number of messages whose send failed.
func (g *Gossip) SendFailures() int64 {
	return g.sendFailures.Load()
}

// Dropped returns the number of received datagrams that were malformed or of unknown processes.
func (g *Gossip) Dropped() int64 {
	return g.dropped.Load()
}

// Ticket identifies announced work.
type Ticket struct {
	id     uint64
	keeper *peer // that keeps the engine's load; nil if it is told to all, or kept here
	toAll  bool
}

// AnnounceStart announces the start of work at an engine. The ticket is for AnnouncePrefilled and AnnounceEnd.
func (g *Gossip) AnnounceStart(load wire.LoadMessage, e *pick.Engine) Ticket {
	load.WorkID = g.lastWorkID.Add(1)
	load.Kind = kindStarted
	t := Ticket{id: load.WorkID, toAll: g.isSmall()}
	if !t.toAll {
		t.keeper = g.keeperOf(e)
	}
	g.announce(load, t)
	return t
}

// AnnouncePrefilled announces that the engine has prefilled the prompt.
func (g *Gossip) AnnouncePrefilled(t Ticket) {
	g.announce(wire.LoadMessage{Kind: kindPrefilled, WorkID: t.id}, t)
}

// AnnounceEnd announces that the work has ended, whether the prompt was prefilled without an announcement, and the mean time between the
// events of its stream, zero for none.
func (g *Gossip) AnnounceEnd(t Ticket, prefilled bool, eventTime time.Duration) {
	g.announce(wire.LoadMessage{Kind: kindEnded, WorkID: t.id, Prefilled: prefilled, CostUS: microseconds(eventTime)}, t)
}

// AnnounceUnavailable announces that an engine takes no new work for the given time.
func (g *Gossip) AnnounceUnavailable(e *pick.Engine, d time.Duration) {
	g.announceUnavailable(e, d, false)
}

// AnnounceUnreached announces that this process does not reach an engine, which it avoids for the given time, though it
// reaches others.
func (g *Gossip) AnnounceUnreached(e *pick.Engine, d time.Duration) {
	g.announceUnavailable(e, d, true)
}

func (g *Gossip) announceUnavailable(e *pick.Engine, d time.Duration, unreached bool) {
	t := Ticket{toAll: g.isSmall()}
	if !t.toAll {
		t.keeper = g.keeperOf(e)
	}
	g.announce(wire.LoadMessage{
		Kind: kindUnavailable, Engine: string(e.ID), Born: e.StartedAt, CostUS: d.Microseconds(),
		Unreached: unreached,
	}, t)
}

// AnnounceLimit announces the limit that an engine names for all processes together, zero for none.
func (g *Gossip) AnnounceLimit(e *pick.Engine, limit units.PerSecond) {
	t := Ticket{toAll: g.isSmall()}
	if !t.toAll {
		t.keeper = g.keeperOf(e)
	}
	g.announce(wire.LoadMessage{Kind: kindLimit, Busy: []wire.EngineLoad{
		{Engine: string(e.ID), Born: e.StartedAt, LimitPermille: ToPermille(float64(limit))},
	}}, t)
}

// announce sends a message on work to all live peers, or to the keeper of the engine's load.
func (g *Gossip) announce(load wire.LoadMessage, t Ticket) {
	switch {
	case t.toAll:
		g.send(load, isLive)
	case t.keeper != nil:
		g.sendTo(load, t.keeper)
	}
}

// AnnounceVersion records the version of a change under a prefix that this process has read, and announces it to the
// named processes with a heartbeat.
func (g *Gossip) AnnounceVersion(prefix string, version int64, to []units.ProcessName) {
	g.versions.mu.Lock()
	g.versions.local[prefix] = max(g.versions.local[prefix], version)
	g.versions.mu.Unlock()
	peers := g.peers.Load()
	for _, name := range to {
		if p, ok := peers.byName[name]; ok {
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
	for _, p := range g.peers.Load().byName {
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
	load.Name, load.Incarnation = string(g.Name), g.incarnation
	message, err := g.codec.encode(&load)
	if err != nil {
		g.Log.Error().Err(err).Int64("kind", load.Kind).Msg("gossip: message cannot be sent")
		return nil
	}
	return message
}

func (g *Gossip) write(message []byte, p *peer) {
	if message == nil {
		return
	}
	if _, err := g.Conn.WriteTo(message, p.address); err != nil {
		g.sendFailures.Add(1) // not retried: receivers drop the load of unfinished work after a while
	}
}

// Run receives messages and sends heartbeats until ctx ends. It closes the connection.
func (g *Gossip) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = g.Conn.Close() })
	defer stop()
	var loops conc.WaitGroup
	loops.Go(func() { g.sendHeartbeats(ctx) })
	g.suspension.lookedAt.Store(g.BootTime().UnixNano())
	loops.Go(func() { g.detectSuspension(ctx) })
	loops.Go(func() { wait.Every(ctx, alive.Interval, g.probe) })
	defer loops.Wait()
	buffer := make([]byte, maxMessageBytes+1)
	for {
		n, from, err := g.Conn.ReadFrom(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			g.Log.Debug().Err(err).Msg("gossip: read failed")
			wait.Sleep(ctx, readRetryDelay)
			continue
		}
		g.handle(buffer[:n], from)
	}
}

// sendHeartbeats sends a heartbeat at once and then at each interval until ctx ends, while the fleet is small.
func (g *Gossip) sendHeartbeats(ctx context.Context) {
	count := 0
	sendOne := func() {
		if !g.isSmall() {
			return
		}
		toRemote := count%remoteHeartbeatRatio == 0
		count++
		g.send(g.heartbeat(), func(p *peer) bool { return isLive(p) && (toRemote || p.region == g.Region) })
	}
	sendOne()
	wait.Every(ctx, heartbeatInterval, sendOne)
}

// handle processes a datagram. Malformed messages, those of unknown processes and those from before the end of a suspension
// are dropped.
func (g *Gossip) handle(message []byte, address net.Addr) {
	now := g.BootTime()
	if g.suspension.hasResumed(now) {
		g.drop(errLate, "")
		return
	}
	load, err := g.codec.decode(message)
	if err != nil {
		g.drop(err, "")
		return
	}
	from := units.ProcessName(load.Name)
	p, known := g.peers.Load().byName[from]
	if !known {
		g.handleUnknown(from, load, address)
		return
	}
	p.recordMessage(g.Clock(), now)
	switch load.Kind {
	case kindHeartbeat:
		g.checkVersions(load.Seen)
		g.suspect(load.Gone)
	case kindStarted:
		g.learnStarted(load)
		g.Sink.WorkStarted(from, load.Incarnation, load)
	case kindPrefilled:
		g.Sink.WorkPrefilled(from, load.Incarnation, load.WorkID)
	case kindEnded:
		if load.Prefilled {
			g.Sink.WorkPrefilled(from, load.Incarnation, load.WorkID)
		}
		g.Sink.WorkEnded(from, load.Incarnation, load.WorkID, time.Duration(load.CostUS)*time.Microsecond)
	case kindUnavailable:
		id, d := units.EngineName(load.Engine), time.Duration(load.CostUS)*time.Microsecond
		if load.Unreached {
			g.Sink.EngineUnreached(from, id, load.Born, d)
		} else {
			g.Sink.EngineUnavailable(id, load.Born, d)
		}
	case kindAsk:
		g.sendTo(wire.LoadMessage{Kind: kindTold, WorkID: load.WorkID, Busy: g.Sink.Loads(load.Busy, load.Parts)}, p)
	case kindTold:
		g.receiveLoads(p, load)
	case kindLimit:
		for _, l := range load.Busy {
			g.Sink.EngineLimited(units.EngineName(l.Engine), l.Born, units.PerSecond(FromPermille(l.LimitPermille)))
		}
	case kindStream, kindDrained, kindAskStream, kindStreamAnswer:
		g.handleStream(p, load)
	case kindUsage:
		g.handleUsage(from, p, load)
	case kindDemand:
		g.receiveDemand(p, load)
	default:
		g.handleTraits(p, load)
	}
}

// dropsPerLog is the number of dropped datagrams for which one line is logged.
const dropsPerLog = 1000

// drop counts a datagram that is not processed, and logs the first one and each thousandth.
func (g *Gossip) drop(reason error, process string) {
	if n := g.dropped.Add(1); n%dropsPerLog == 1 {
		g.Log.Warn().Err(reason).Str("peer", process).Int64("dropped", n).Msg("gossip: datagram is dropped")
	}
}
