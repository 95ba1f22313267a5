package front

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/gossip"
	"github.com/buckthorntrack/buckthorntrack/mirror"
	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

// membersPrefix is the key prefix of the objects by which entry processes are registered on the platform.
const membersPrefix = "processes/"

// deregisterTimeout bounds the deregistration at a planned stop.
const deregisterTimeout = time.Second

// member is the registration of a process.
type member struct {
	Address string           `json:"address"` // at which the process receives gossip
	Place   units.PlaceName  `json:"place"`
	Region  units.RegionName `json:"region"`
}

// memberSink keeps the list of processes and the gossip peers as processes register and deregister.
type memberSink struct {
	gossip *gossip.Gossip
	log    zerolog.Logger
	loaded atomic.Bool // all registrations were read
	list   atomic.Pointer[[]mirror.Member]

	mu     sync.Mutex
	byName map[units.ProcessName]mirror.Member
}

func newMemberSink(g *gossip.Gossip, log zerolog.Logger) *memberSink {
	m := &memberSink{gossip: g, log: log, byName: map[units.ProcessName]mirror.Member{}}
	m.list.Store(&[]mirror.Member{})
	return m
}

// members returns the registered processes. The slice must not be modified.
func (m *memberSink) members() []mirror.Member {
	return *m.list.Load()
}

// Replace implements mirror.Sink.
func (m *memberSink) Replace(c objapi.Change) {
	m.mu.Lock()
	listed := map[units.ProcessName]bool{}
	for _, o := range c.Objects {
		listed[processName(o.Key)] = true
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
		delete(m.byName, processName(key))
		removed = append(removed, processName(key))
	}
	var set []gossip.Peer
	for _, o := range c.Objects {
		var v member
		if err := o.Decode(&v); err != nil {
			m.log.Warn().Str("key", o.Key).Err(err).Msg("front: registration of a process is malformed")
			continue
		}
		name := processName(o.Key)
		next := mirror.Member{Name: name, Address: v.Address, Region: v.Region}
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

// SetOutage implements mirror.Sink. The known processes stay.
func (*memberSink) SetOutage(mirror.Outage) {}

func processName(key string) units.ProcessName {
	return units.ProcessName(strings.TrimPrefix(key, membersPrefix))
}

const (
	// settleTime is how long a process of a fleet that starts for the first time waits for the others to register.
	settleTime = 500 * time.Millisecond
	// joinTimeout bounds the search for other processes. After it the process reads the platform itself.
	joinTimeout = 1500 * time.Millisecond
	// joinInterval is the mean interval between attempts to list the processes.
	joinInterval = 200 * time.Millisecond
	// registerInterval is the mean interval between attempts to register.
	registerInterval = 500 * time.Millisecond
)

// join registers the process and reads which others there are. The list may be outdated, as it is read by all; once it
// has the own registration, it has those of all processes that registered before.
func (p *Process) join(ctx context.Context) {
	key := membersPrefix + string(p.settings.Process.Name)
	own := member{
		Address: p.settings.Peers.Listen, Place: p.settings.Process.Place, Region: p.settings.Routed.Region,
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	register := func() { p.wg.Go(func() { p.registerWithRetry(key, own) }) }
	if p.settings.Routed.FirstStart {
		register()
		wait.Sleep(ctx, settleTime)
	}
	for first := !p.settings.Routed.FirstStart; ctx.Err() == nil; first = false {
		registered, err := p.listMembers(ctx, key, own)
		if err != nil {
			p.log.Debug().Err(err).Msg("front: list of processes cannot be read")
		}
		if registered {
			return
		}
		if first {
			register()
		}
		wait.Sleep(ctx, joinInterval/2+rand.N(joinInterval))
	}
}

// listMembers adds the listed processes. It reports whether the list has the own registration.
func (p *Process) listMembers(ctx context.Context, key string, own member) (registered bool, err error) {
	objects, err := p.store.ListStale(ctx, membersPrefix)
	if err != nil {
		return false, err
	}
	for _, o := range objects {
		var v member
		if o.Key == key && o.Decode(&v) == nil && v == own {
			registered = true
			p.registration.Store(&o)
		}
	}
	p.memberSink.Apply(objapi.Change{Objects: objects})
	return registered, nil
}

// registerWithRetry registers the process on the platform. It retries until it succeeds or the process stops.
func (p *Process) registerWithRetry(key string, own member) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for !p.stopping.Load() {
		err := p.register(ctx, key, own)
		if err == nil {
			return
		}
		p.log.Debug().Err(err).Msg("front: registration failed, will be retried")
		wait.Sleep(ctx, registerInterval/2+rand.N(registerInterval))
	}
}

// register writes the registration unless the platform already has it. Most processes are new, so it tries to create
// the registration first.
func (p *Process) register(ctx context.Context, key string, own member) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	err := p.putRegistration(ctx, key, objapi.Object{}, own)
	if !errors.Is(err, objapi.ErrConflict) {
		return err
	}
	previous, err := p.store.Get(ctx, key)
	if err != nil {
		return err
	}
	var registered member
	if previous.Decode(&registered) == nil && registered == own {
		p.registration.Store(&previous)
		return nil
	}
	return p.putRegistration(ctx, key, previous, own)
}

func (p *Process) putRegistration(ctx context.Context, key string, previous objapi.Object, own member) error {
	o, err := objapi.Encode(key, previous, own)
	if err != nil {
		return err
	}
	written, err := p.store.Put(ctx, o)
	if err == nil {
		p.registration.Store(&written)
	}
	return err
}

// registerTimeout bounds one attempt to register.
const registerTimeout = 2 * time.Second

// deregister removes the registration. If that fails, other processes consider this one dead once it does not answer.
func (p *Process) deregister() {
	registered := p.registration.Load()
	if registered == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := p.store.Delete(ctx, registered.Key, registered.Version); err != nil {
		p.log.Info().Err(err).Msg("front: deregistration failed")
	}
}
