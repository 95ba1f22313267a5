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
	heartbeats  map[units.ServiceName]heartbeat
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

	createdAt time.Time // earliest time at which the holder can have written it
}

// NewCordonWatcher returns a CordonWatcher that observes the holders' entries in the mesh's table.
func NewCordonWatcher(
	place units.PlaceName, name units.ProcessName, address string, mesh *peer.Mesh, fleets Fleets,
	permit time.Duration, clock units.Clock,
) *CordonWatcher {
	w := &CordonWatcher{
		place: place, name: name, address: address, mesh: mesh, fleets: fleets, permit: permit, clock: clock,
		heartbeats: map[units.ServiceName]heartbeat{}, startup: map[units.EngineName]bool{},
	}
	mesh.Table().Observe(Prefix+string(place)+"/", w.receive)
	return w
}

// receive applies a holder's entry and confirms it at once.
func (w *CordonWatcher) receive(v peer.Value) {
	service := units.ServiceName(strings.TrimPrefix(v.Key, Prefix+string(w.place)+"/"))
	var h wire.HolderBeat
	if v.Expired || v.Decode(&h) != nil {
		return
	}
	w.mu.Lock()
	w.heartbeats[service] = heartbeat{HolderBeat: h, createdAt: v.CreatedAt}
	w.mu.Unlock()
	w.Apply(service)
	if w.Announce() {
		w.mesh.Flush()
	}
}

// Apply updates the cordons and permits of the service's engines. It must be called again when the engines change.
func (w *CordonWatcher) Apply(service units.ServiceName) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h, known := w.heartbeats[service]
	for _, v := range w.fleets.Views(service) {
		name := string(v.Engine.Name)
		cordoned := slices.ContainsFunc(h.Cordons, func(c wire.Cordon) bool { return c.Engine == name })
		candidate := slices.ContainsFunc(h.Candidates, func(c wire.Candidacy) bool { return c.Engine == name })
		v.Block(route.BlockedCordon, cordoned || (!known && w.startup[v.Engine.Name]))
		if candidate {
			v.SetPermit(h.createdAt.Add(w.permit))
			continue
		}
		v.SetPermit(time.Time{})
	}
}

// SetStartupBlocks sets the engines that have an open intent. Apply blocks them until the first heartbeat of their
// holder.
func (w *CordonWatcher) SetStartupBlocks(engines []units.EngineName) {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.startup)
	for _, name := range engines {
		w.startup[name] = true
	}
}

// SetState sets the revision and the stopping flag in the process's entry.
func (w *CordonWatcher) SetState(revision units.Revision, stopping bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision, w.stopping = revision, stopping
}

// Announce publishes the process's entry if it changed, if a third of its TTL has passed or if another process reported
// this one as lost. It returns whether it published.
func (w *CordonWatcher) Announce() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.member()
	now := w.clock()
	if equalMembers(m, w.published) && now.Sub(w.publishedAt) < memberTTL/3 && !w.isReportedLost() {
		return false
	}
	w.published, w.publishedAt = m, now
	_ = w.mesh.Table().Put(peer.MemberPrefix+string(w.name), 0, memberTTL, false, m)
	return true
}

// isReportedLost reports whether another process reported this one as lost and its own entry is not newer than the
// version in the report. Publishing a newer entry refutes the report.
func (w *CordonWatcher) isReportedLost() bool {
	v, ok := w.mesh.Table().Get(peer.LostPrefix + string(w.name))
	own, known := w.mesh.Table().Get(peer.MemberPrefix + string(w.name))
	var lost wire.LostLink
	return ok && known && v.Decode(&lost) == nil && lost.Version >= own.Version
}

// member returns the process's entry: its state, the candidacies and cordons that it applies, and the cordons under
// which none of its requests runs on the engine.
func (w *CordonWatcher) member() wire.Member {
	m := wire.Member{
		Place: string(w.place), Address: w.address, Revision: int64(w.revision), Stopping: w.stopping,
	}
	for service, h := range w.heartbeats {
		for _, c := range h.Candidates {
			m.Candidates = append(m.Candidates, c.ID)
		}
		for _, c := range h.Cordons {
			m.AckedCordons = append(m.AckedCordons, c.ID)
			if w.isIdle(service, c.Engine) {
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
func (w *CordonWatcher) isIdle(service units.ServiceName, engine string) bool {
	for _, v := range w.fleets.Views(service) {
		if string(v.Engine.Name) == engine {
			return v.Blocked()&route.BlockedCordon != 0 && v.InFlight() == 0
		}
	}
	return true
}

func equalMembers(a, b wire.Member) bool {
	return a.Place == b.Place && a.Address == b.Address && a.Revision == b.Revision && a.Stopping == b.Stopping &&
		slices.Equal(a.Candidates, b.Candidates) && slices.Equal(a.AckedCordons, b.AckedCordons) &&
		slices.Equal(a.DrainedCordons, b.DrainedCordons)
}
