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

// memberLife is the age at which a process's entry is dropped.
const memberLife = 6 * time.Minute

// Fleets finds the engines of a service in the own availability zone.
type Fleets interface {
	Views(service units.ServiceName) []*route.View
}

// Permits obeys the holders of the own availability zone: it stops new work to cordoned engines, and to
// candidates when their holder is not heard in time. It tells the holders what it obeys.
type Permits struct {
	place   units.PlaceName
	name    units.ProcessName
	address string
	mesh    *peer.Mesh
	fleets  Fleets
	permit  time.Duration

	mu       sync.Mutex
	holds    map[units.ServiceName]heard
	startup  map[units.EngineName]bool // engines with an open intent when the process started
	stopping bool
	revision units.Revision
	told     wire.Member
	toldAt   time.Time
	clock    units.Clock
}

// heard is the latest entry of a holder.
type heard struct {
	wire.Hold

	born time.Time
}

// NewPermits returns a Permits for the process.
func NewPermits(
	place units.PlaceName, name units.ProcessName, address string, mesh *peer.Mesh, fleets Fleets,
	permit time.Duration, clock units.Clock,
) *Permits {
	p := &Permits{
		place: place, name: name, address: address, mesh: mesh, fleets: fleets, permit: permit, clock: clock,
		holds: map[units.ServiceName]heard{}, startup: map[units.EngineName]bool{},
	}
	mesh.Table().Observe(Prefix+string(place)+"/", p.hear)
	return p
}

// hear takes a holder's entry.
func (p *Permits) hear(v peer.Value) {
	service := units.ServiceName(strings.TrimPrefix(v.Key, Prefix+string(p.place)+"/"))
	var h wire.Hold
	if v.Gone || v.Decode(&h) != nil {
		return
	}
	p.mu.Lock()
	p.holds[service] = heard{Hold: h, born: v.Born}
	p.mu.Unlock()
	p.Apply(service)
	if p.Tell() {
		p.mesh.Flush()
	}
}

// Apply sets what the engines of the service may be used for. It is called again when the engines change.
func (p *Permits) Apply(service units.ServiceName) {
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

// AtStart blocks engines with an open intent until their holder is heard.
func (p *Permits) AtStart(engines []units.EngineName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.startup)
	for _, name := range engines {
		p.startup[name] = true
	}
}

// SetState sets what else the process tells about itself.
func (p *Permits) SetState(revision units.Revision, stopping bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision, p.stopping = revision, stopping
}

// Tell shares the process's entry when it changed or grows old. It reports whether it did.
func (p *Permits) Tell() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.member()
	now := p.clock()
	if equalMembers(m, p.told) && now.Sub(p.toldAt) < memberLife/3 && !p.isCalledLost() {
		return false
	}
	p.told, p.toldAt = m, now
	_ = p.mesh.Table().Put(peer.MemberPrefix+string(p.name), 0, memberLife, false, m)
	return true
}

// isCalledLost reports whether another process told that this one is lost, and nobody told the contrary since.
func (p *Permits) isCalledLost() bool {
	v, ok := p.mesh.Table().Get(peer.LostPrefix + string(p.name))
	own, known := p.mesh.Table().Get(peer.MemberPrefix + string(p.name))
	var lost wire.Lost
	return ok && known && v.Decode(&lost) == nil && lost.Version >= own.Version
}

// member returns the process's entry: all cordons that it obeys, and those under which nothing of it runs.
func (p *Permits) member() wire.Member {
	m := wire.Member{
		Place: string(p.place), Address: p.address, Revision: int64(p.revision), Stopping: p.stopping,
	}
	for service, h := range p.holds {
		for _, c := range h.Candidates {
			m.Candidates = append(m.Candidates, c.ID)
		}
		for _, c := range h.Cordons {
			m.Seen = append(m.Seen, c.ID)
			if p.idle(service, c.Engine) {
				m.Stopped = append(m.Stopped, c.ID)
			}
		}
	}
	slices.Sort(m.Candidates)
	slices.Sort(m.Seen)
	slices.Sort(m.Stopped)
	return m
}

// idle reports whether nothing of this process runs on the engine.
func (p *Permits) idle(service units.ServiceName, engine string) bool {
	for _, v := range p.fleets.Views(service) {
		if string(v.Engine.Name) == engine {
			return v.Blocked()&route.BlockedCordon != 0 && v.InFlight() == 0
		}
	}
	return true
}

func equalMembers(a, b wire.Member) bool {
	return a.Place == b.Place && a.Address == b.Address && a.Revision == b.Revision && a.Stopping == b.Stopping &&
		slices.Equal(a.Candidates, b.Candidates) && slices.Equal(a.Seen, b.Seen) && slices.Equal(a.Stopped, b.Stopped)
}
