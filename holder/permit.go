package holder

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/peer"
	"github.com/buckthorntrack/buckthorntrack/route"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

// memberTTL is the age at which a process's shared entry expires.
const memberTTL = 6 * time.Minute

// Fleets finds the engines of a service in this process's availability zone.
type Fleets interface {
	Views(service units.ServiceName) []*route.View
}

// CordonWatcher applies the heartbeats of the holders in this process's availability zone: it stops new work to
// cordoned engines, and to candidates when no heartbeat arrives in time. It confirms the cordons and candidacies to the
// holders in the process's own entry.
type CordonWatcher struct {
	place   units.PlaceName
	name    units.ProcessName
	address string
	mesh    *peer.Mesh
	fleets  Fleets
	permit  time.Duration // how long after a heartbeat new work may be sent to a candidate

	mu          sync.Mutex
	holds       map[units.ServiceName]heartbeat
	startup     map[units.EngineName]bool // engines with an open intent at the start
	stopping    bool
	revision    units.Revision
	published   wire.Member
	publishedAt time.Time
	clock       units.Clock
}

// heartbeat is the latest entry of a holder.
type heartbeat struct {
	wire.HolderBeat

	born time.Time // earliest time at which the holder can have written it
}

// NewCordonWatcher returns a CordonWatcher that observes the holders' entries in the mesh's table.
func NewCordonWatcher(
	place units.PlaceName, name units.ProcessName, address string, mesh *peer.Mesh, fleets Fleets,
	permit time.Duration, clock units.Clock,
) *CordonWatcher {
	p := &CordonWatcher{
		place: place, name: name, address: address, mesh: mesh, fleets: fleets, permit: permit, clock: clock,
		holds: map[units.ServiceName]heartbeat{}, startup: map[units.EngineName]bool{},
	}
	mesh.Table().Observe(Prefix+string(place)+"/", p.receive)
	return p
}

// receive applies a holder's entry and confirms it at once.
func (p *CordonWatcher) receive(v peer.Value) {
	service := units.ServiceName(strings.TrimPrefix(v.Key, Prefix+string(p.place)+"/"))
	var h wire.HolderBeat
	if v.Expired || v.Decode(&h) != nil {
		return
	}
	p.mu.Lock()
	p.holds[service] = heartbeat{HolderBeat: h, born: v.CreatedAt}
	p.mu.Unlock()
	p.Apply(service)
	if p.Announce() {
		p.mesh.Flush()
	}
}

// Apply updates the cordons and permits of the service's engines. It must be called again when the engines change.
func (p *CordonWatcher) Apply(service units.ServiceName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, known := p.holds[service]
	for _, v := range p.fleets.Views(service) {
		name := string(v.Engine.Name)
		cordoned := slices.ContainsFunc(h.Cordons, func(c wire.Cordon) bool { return c.Engine == name })
		candidate := slices.ContainsFunc(h.Candidates, func(c wire.Candidacy) bool { return c.Engine == name })
		v.Block(route.BlockedCordon, cordoned || (!known && p.startup[v.Engine.Name]))
		if candidate {
			v.SetPermit(h.born.Add(p.permit))
			continue
		}
		v.SetPermit(time.Time{})
	}
}

// SetStartupBlocks sets the engines that have an open intent. Apply blocks them until the first heartbeat of their
// holder.
func (p *CordonWatcher) SetStartupBlocks(engines []units.EngineName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.startup)
	for _, name := range engines {
		p.startup[name] = true
	}
}

// SetState sets the revision and the stopping flag in the process's entry.
func (p *CordonWatcher) SetState(revision units.Revision, stopping bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision, p.stopping = revision, stopping
}

// Announce publishes the process's entry if it changed, if a third of its TTL has passed or if another process reported
// this one as lost. It returns whether it published.
func (p *CordonWatcher) Announce() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.member()
	now := p.clock()
	if equalMembers(m, p.published) && now.Sub(p.publishedAt) < memberTTL/3 && !p.isReportedLost() {
		return false
	}
	p.published, p.publishedAt = m, now
	_ = p.mesh.Table().Put(peer.MemberPrefix+string(p.name), 0, memberTTL, false, m)
	return true
}

// isReportedLost reports whether another process reported this one as lost at the present version of its own entry, so
// that only a newer entry refutes it.
func (p *CordonWatcher) isReportedLost() bool {
	v, ok := p.mesh.Table().Get(peer.LostPrefix + string(p.name))
	own, known := p.mesh.Table().Get(peer.MemberPrefix + string(p.name))
	var lost wire.LostLink
	return ok && known && v.Decode(&lost) == nil && lost.Version >= own.Version
}

// member returns the process's entry: its state, the candidacies and cordons that it applies, and the cordons under
// which none of its requests runs on the engine.
func (p *CordonWatcher) member() wire.Member {
	m := wire.Member{
		Place: string(p.place), Address: p.address, Revision: int64(p.revision), Stopping: p.stopping,
	}
	for service, h := range p.holds {
		for _, c := range h.Candidates {
			m.Candidates = append(m.Candidates, c.ID)
		}
		for _, c := range h.Cordons {
			m.AckedCordons = append(m.AckedCordons, c.ID)
			if p.isIdle(service, c.Engine) {
				m.DrainedCordons = append(m.DrainedCordons, c.ID)
			}
		}
	}
	slices.Sort(m.Candidates)
	slices.Sort(m.AckedCordons)
	slices.Sort(m.DrainedCordons)
	return m
}

// isIdle reports whether the engine is cordoned and runs no request of this process, or is not in its configuration.
func (p *CordonWatcher) isIdle(service units.ServiceName, engine string) bool {
	for _, v := range p.fleets.Views(service) {
		if string(v.Engine.Name) == engine {
			return v.Blocked()&route.BlockedCordon != 0 && v.InFlight() == 0
		}
	}
	return true
}

func equalMembers(a, b wire.Member) bool {
	return a.Place == b.Place && a.Address == b.Address && a.Revision == b.Revision && a.Stopping == b.Stopping &&
		slices.Equal(a.Candidates, b.Candidates) && slices.Equal(a.AckedCordons, b.AckedCordons) && slices.Equal(a.DrainedCordons, b.DrainedCordons)
}
