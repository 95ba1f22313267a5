package gossip

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/buckthorntrack/buckthorntrack/alive"
	"github.com/buckthorntrack/buckthorntrack/digest"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

// Peer is a process that messages are exchanged with.
type Peer struct {
	Name    units.ProcessName
	Address string
	Place   units.PlaceName
	Region  units.RegionName
}

// peer is another process, or this one in the lists of keepers.
type peer struct {
	name    units.ProcessName
	hash    uint64
	address net.Addr // nil for this process
	place   units.PlaceName
	region  units.RegionName

	record        *alive.Record // nil for this process
	heardAt       atomic.Int64  // receive time of the last message on the clock BootTime, Unix nanoseconds, zero before the first
	missedAnswers atomic.Int32  // consecutive requests without an answer
	suspectUntil  atomic.Int64  // Unix nanoseconds; not asked and not told before
}

// peerTable is an immutable list of processes.
type peerTable struct {
	byName   map[units.ProcessName]*peer // without this process
	byPlace  map[units.PlaceName][]*peer // with this process, ordered by name
	byRegion map[units.RegionName][]*peer
}

func newPeerTable(byName map[units.ProcessName]*peer, self *peer) *peerTable {
	t := &peerTable{
		byName: byName, byPlace: map[units.PlaceName][]*peer{}, byRegion: map[units.RegionName][]*peer{},
	}
	all := append(slices.Collect(maps.Values(byName)), self)
	slices.SortFunc(all, func(a, b *peer) int { return cmp.Compare(a.name, b.name) })
	for _, p := range all {
		t.byPlace[p.place] = append(t.byPlace[p.place], p)
		t.byRegion[p.region] = append(t.byRegion[p.region], p)
	}
	return t
}

// self returns the entry of this process in the lists of keepers.
func (g *Gossip) self() *peer {
	return &peer{name: g.Name, hash: digest.Sum64(string(g.Name)), place: g.Place, region: g.Region}
}

// UpdatePeers adds peers or replaces their addresses, and removes others, whose messages are dropped from then on.
func (g *Gossip) UpdatePeers(set []Peer, removed []units.ProcessName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := maps.Clone(g.peers.Load().byName)
	if next == nil {
		next = map[units.ProcessName]*peer{}
	}
	for _, name := range removed {
		delete(next, name)
	}
	added := make([]*peer, 0, len(set))
	processes := make([]alive.Process, 0, len(set))
	for _, s := range set {
		address, err := net.ResolveUDPAddr("udp4", s.Address)
		if err != nil {
			g.Log.Warn().Str("peer", string(s.Name)).Err(err).Msg("gossip: peer address is invalid")
			continue
		}
		added = append(added, &peer{
			name: s.Name, hash: digest.Sum64(string(s.Name)), address: address, place: s.Place, region: s.Region,
		})
		processes = append(processes, alive.Process{Name: s.Name, Region: s.Region})
	}
	for i, record := range g.watch.Update(processes, removed, g.Clock()) {
		added[i].record = record
		next[added[i].name] = added[i]
	}
	delete(next, g.Name)
	g.peers.Store(newPeerTable(next, g.self()))
}

// RegisteredProcesses returns the number of registered processes, gone or not, including this one. What they may still do counts.
func (g *Gossip) RegisteredProcesses() int {
	return len(g.peers.Load().byName) + 1
}

// LiveProcesses returns the number of registered processes that are not gone, including this one.
func (g *Gossip) LiveProcesses() int {
	return g.watch.Here()
}

// IsGone reports whether a registered process is known to be gone.
func (g *Gossip) IsGone(name units.ProcessName) bool {
	return g.watch.IsGone(name)
}

// GoneFor returns how long a registered process has been gone, zero if it is not.
func (g *Gossip) GoneFor(name units.ProcessName) time.Duration {
	return g.watch.GoneFor(name, g.Clock())
}

// IsHeard reports whether a message of a registered process was received lately.
func (g *Gossip) IsHeard(name units.ProcessName) bool {
	return g.watch.IsHeard(name, g.Clock())
}

// OnUnknown sets the function to call with the name of a process that sends messages and is not registered. Call it before Run.
func (g *Gossip) OnUnknown(f func(name units.ProcessName)) {
	g.onUnknown = f
}

// handleUnknown processes a message of a process that is not registered.
func (g *Gossip) handleUnknown(from units.ProcessName, load *wire.LoadMessage, address net.Addr) {
	if load.Kind == kindUsage {
		g.handleUsage(from, nil, load)
	}
	if isProbe(load) {
		g.answerUnknown(address)
	}
	if g.onUnknown != nil {
		g.onUnknown(from)
	}
	g.drop(errUnknownProcess, load.Name)
}

// isSmall reports whether the fleet is small enough to tell all of all work.
func (g *Gossip) isSmall() bool {
	return g.watch.IsSmall()
}

// isLive reports whether the process is not known to be gone. This one is live.
func isLive(p *peer) bool {
	return p.record == nil || !p.record.IsGone()
}

// recordMessage records that a message was received from the peer.
func (p *peer) recordMessage(now, bootTime time.Time) {
	p.record.Heard(now)
	p.heardAt.Store(bootTime.UnixNano())
	p.missedAnswers.Store(0)
	p.suspectUntil.Store(0)
}

const (
	// maxMissedAnswers is the number of consecutive requests without an answer after which a peer is suspected. A single
	// datagram may be lost.
	maxMissedAnswers = 2
	// suspicionTime is how long a suspected peer is not asked.
	suspicionTime = 2 * time.Second
)

// recordMissed records that a request got no answer from the peer in time.
func (p *peer) recordMissed(now time.Time) {
	if p.missedAnswers.Add(1) >= maxMissedAnswers {
		p.suspectUntil.Store(now.Add(suspicionTime).UnixNano())
	}
}

func (p *peer) isSuspect(now time.Time) bool {
	return now.UnixNano() < p.suspectUntil.Load()
}
