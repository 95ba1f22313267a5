package gossip

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/buckthorntrack/buckthorntrack/digest"
	"github.com/buckthorntrack/buckthorntrack/units"
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

	lastMessageAt atomic.Int64 // local receive time of the last message, Unix nanoseconds
	heardAt       atomic.Int64 // the same on the clock BootTime, zero before the first message
	missedAnswers atomic.Int32 // consecutive requests without an answer
	suspectUntil  atomic.Int64 // Unix nanoseconds; not asked and not told before
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

// UpdatePeers adds peers or replaces their addresses, and removes others, whose messages are dropped from then on. A new
// peer counts as live until its timeout.
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
	for _, s := range set {
		address, err := net.ResolveUDPAddr("udp4", s.Address)
		if err != nil {
			g.Log.Warn().Str("peer", string(s.Name)).Err(err).Msg("gossip: peer address is invalid")
			continue
		}
		p := &peer{
			name: s.Name, hash: digest.Sum64(string(s.Name)), address: address, place: s.Place, region: s.Region,
		}
		p.lastMessageAt.Store(g.Clock().UnixNano())
		next[s.Name] = p
	}
	delete(next, g.Name)
	g.peers.Store(newPeerTable(next, g.self()))
}

// KnownProcesses returns the number of processes, live or not, including this one.
func (g *Gossip) KnownProcesses() int {
	return len(g.peers.Load().byName) + 1
}

// LiveProcesses returns the number of processes that were heard recently, including this one.
func (g *Gossip) LiveProcesses() int {
	live := 1
	for _, p := range g.peers.Load().byName {
		if g.isLive(p) {
			live++
		}
	}
	return live
}

// isSmall reports whether the fleet is small enough to tell all of all work.
func (g *Gossip) isSmall() bool {
	return g.KnownProcesses() <= g.SmallFleet
}

func (g *Gossip) isLive(p *peer) bool {
	timeout := remoteTimeout
	if p.region == g.Region {
		timeout = localTimeout
	}
	return g.Clock().UnixNano()-p.lastMessageAt.Load() < timeout.Nanoseconds()
}

// recordMessage records that a message was received from the peer.
func (p *peer) recordMessage(now, bootTime time.Time) {
	p.lastMessageAt.Store(now.UnixNano())
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
