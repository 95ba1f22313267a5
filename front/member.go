package front

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/gossip"
	"github.com/buckthorntrack/buckthorntrack/mirror"
	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// membersPrefix is the key prefix of the objects by which entry processes are registered on the platform.
const membersPrefix = "processes/"

// member is the registration of a process.
type member struct {
	Address string           `json:"address"` // at which the process receives gossip
	Place   units.PlaceName  `json:"place"`
	Region  units.RegionName `json:"region"`
	// FoundGone names the process that will remove the registration, unless the registered one or one that hears it writes it again.
	FoundGone units.ProcessName `json:"foundGone,omitempty"`
}

// registration is a registration with the object that holds it.
type registration struct {
	member
	object objapi.Object
}

// memberSink keeps the list of processes and the gossip peers as processes register and deregister.
type memberSink struct {
	gossip *gossip.Gossip
	log    zerolog.Logger
	loaded atomic.Bool // all registrations were read
	list   atomic.Pointer[[]mirror.Member]
	// onOwn gets the registration of this process, the zero Object if there is none, with the version of what was read.
	onOwn func(o objapi.Object, read units.Version)

	mu     sync.Mutex
	byName map[units.ProcessName]mirror.Member
	// registrations holds all that are known, and removed those that were removed as their processes were found gone.
	registrations map[units.ProcessName]registration
	removed       map[units.ProcessName]member
}

func newMemberSink(g *gossip.Gossip, log zerolog.Logger, onOwn func(o objapi.Object, read units.Version)) *memberSink {
	m := &memberSink{gossip: g, log: log, onOwn: onOwn, byName: map[units.ProcessName]mirror.Member{},
		registrations: map[units.ProcessName]registration{}, removed: map[units.ProcessName]member{}}
	m.list.Store(&[]mirror.Member{})
	return m
}

// registered returns the registered processes, gone or not: what they may still do counts. The slice must not be modified.
func (m *memberSink) registered() []mirror.Member {
	return *m.list.Load()
}

// present returns the registered processes that are not known to be gone, for choices among those that can act. This process is
// one of them.
func (m *memberSink) present() []mirror.Member {
	registered := m.registered()
	present := make([]mirror.Member, 0, len(registered))
	for _, p := range registered {
		if !m.gossip.IsGone(p.Name) {
			present = append(present, p)
		}
	}
	return present
}

// Replace implements mirror.Sink.
func (m *memberSink) Replace(c objapi.Change) {
	m.mu.Lock()
	listed := map[units.ProcessName]bool{}
	for _, o := range c.Objects {
		listed[processName(o.Key)] = true
	}
	if !listed[m.gossip.Name] {
		m.onOwn(objapi.Object{}, c.Version)
	}
	for name := range m.byName {
		if !listed[name] {
			c.Deleted = append(c.Deleted, membersPrefix+string(name))
		}
	}
	m.mu.Unlock()
	m.Apply(c)
	m.loaded.Store(true)
}

// Apply implements mirror.Sink.
func (m *memberSink) Apply(c objapi.Change) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var removed []units.ProcessName
	for _, key := range c.Deleted {
		m.forget(processName(key))
		removed = append(removed, processName(key))
		if processName(key) == m.gossip.Name {
			m.onOwn(objapi.Object{}, c.Version)
		}
	}
	var set []gossip.Peer
	for _, o := range c.Objects {
		var v member
		if err := o.Decode(&v); err != nil {
			m.log.Warn().Str("key", o.Key).Err(err).Msg("front: registration of a process is malformed")
			continue
		}
		name := processName(o.Key)
		if name == m.gossip.Name {
			m.onOwn(o, c.Version)
		}
		m.registrations[name] = registration{member: v, object: o}
		delete(m.removed, name)
		next := mirror.Member{Name: name, Address: v.Address, Place: v.Place, Region: v.Region}
		if m.byName[name] == next {
			continue
		}
		m.byName[name] = next
		set = append(set, gossip.Peer{Name: name, Address: v.Address, Place: v.Place, Region: v.Region})
	}
	m.gossip.UpdatePeers(set, removed)
	list := slices.Collect(maps.Values(m.byName))
	m.list.Store(&list)
}

// maxRemoved bounds the registrations that are remembered after their removal.
const maxRemoved = 256

// forget removes a process. The lock must be held.
func (m *memberSink) forget(name units.ProcessName) {
	if r := m.registrations[name]; r.FoundGone != "" {
		r.FoundGone = ""
		m.addRemoved(name, r.member)
	}
	delete(m.registrations, name)
	delete(m.byName, name)
}

// addRemoved remembers a registration after its removal. The lock must be held.
func (m *memberSink) addRemoved(name units.ProcessName, v member) {
	if len(m.removed) >= maxRemoved {
		clear(m.removed)
	}
	m.removed[name] = v
}

// remember does the same.
func (m *memberSink) remember(name units.ProcessName, v member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addRemoved(name, v)
}

// isRemoved reports whether the registration of a process was removed as the process was found gone.
func (m *memberSink) isRemoved(name units.ProcessName) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.removed[name]
	return ok
}

// takeRemoved returns such a registration and forgets it.
func (m *memberSink) takeRemoved(name units.ProcessName) (member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, ok := m.removed[name]
	delete(m.removed, name)
	return v, ok
}

// all returns all registrations but that of this process.
func (m *memberSink) all() map[units.ProcessName]registration {
	m.mu.Lock()
	defer m.mu.Unlock()
	others := maps.Clone(m.registrations)
	delete(others, m.gossip.Name)
	return others
}

// SetOutage implements mirror.Sink. The known processes stay.
func (*memberSink) SetOutage(mirror.Outage) {}

// keep is the feed's Keep. A registration that a copy of the store lacks stays: its process registers again, or is cut
// off from the platform and serves on.
func (*memberSink) keep(_, current objapi.Object) bool {
	return current.Key == ""
}

func processName(key string) units.ProcessName {
	return units.ProcessName(strings.TrimPrefix(key, membersPrefix))
}
