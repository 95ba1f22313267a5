// Package holder uses the authority over a service in an availability zone: it takes engines away,
// changes their roles and gives them back.
package holder

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/wait"

	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/lease"
	"github.com/buckthorntrack/buckthorntrack/peer"
	"github.com/buckthorntrack/buckthorntrack/plat"
	"github.com/buckthorntrack/buckthorntrack/route"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// Prefix is the prefix of the shared entries by which holders tell what they may take away.
	Prefix = "hold/"
	// ProcessPrefix is the prefix of the processes' objects in the platform's store.
	ProcessPrefix = "process/"
	// HoldLife is the age at which a holder's entry is dropped.
	HoldLife = 30 * time.Second

	// fenceShift leaves room for the beats of one holder in the version of its entry.
	fenceShift  = 32
	clearPoll   = 100 * time.Millisecond
	clearBudget = 2 * time.Minute
	ackBudget   = 15 * time.Second
	// withdrawPart is the part of the lease's duration below which candidates are withdrawn.
	withdrawPart = 3
)

var (
	// ErrSilentPeer means that a process neither confirmed that it sends nothing new, nor is known to be unable to.
	ErrSilentPeer = errors.New("a process did not confirm the cordon")
	// ErrBusy means that the engine did not become idle in time.
	ErrBusy = errors.New("engine did not become idle in time")
)

// Process is the value of a process's object in the platform's store.
type Process struct {
	Name        units.ProcessName `json:"name"`
	VM          units.VMName      `json:"vm"`
	Address     string            `json:"address"`
	Incarnation string            `json:"incarnation"`
}

// Timing holds the times on which taking an engine away relies.
type Timing struct {
	Permit time.Duration // after which a process cut from the holder stops using candidates
	Drift  time.Duration
}

// Clearing takes engines away from all processes of the availability zone. It implements order.Clearance.
type Clearing struct {
	place    units.PlaceName
	service  units.ServiceName
	name     units.ProcessName
	mesh     *peer.Mesh
	store    plat.Store
	fleet    *route.Fleet
	departed func(units.VMName) bool
	timing   Timing
	clock    units.Clock
	log      zerolog.Logger

	mu         sync.Mutex
	fence      units.Fence
	beats      int64
	candidates map[units.EngineName]string // id of the candidacy
	cordons    map[units.EngineName]string // id of the cordon
	spoke      bool                        // the latest heartbeat had a candidate or a cordon
}

// NewClearing returns a Clearing without authority.
func NewClearing(
	place units.PlaceName, service units.ServiceName, name units.ProcessName, mesh *peer.Mesh, store plat.Store,
	fleet *route.Fleet, departed func(units.VMName) bool, timing Timing, clock units.Clock, log zerolog.Logger,
) *Clearing {
	return &Clearing{
		place: place, service: service, name: name, mesh: mesh, store: store, fleet: fleet, departed: departed,
		timing: timing, clock: clock, log: log,
		candidates: map[units.EngineName]string{}, cordons: map[units.EngineName]string{},
	}
}

// Key returns the key of the holder's shared entry.
func Key(place units.PlaceName, service units.ServiceName) string {
	return Prefix + string(place) + "/" + string(service)
}

// Begin starts to speak under the fencing number.
func (c *Clearing) Begin(held *lease.Held) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fence = held.Fence
	c.beats = 0
	clear(c.candidates)
	clear(c.cordons)
}

// End withdraws all candidates and cordons, also when the lease was lost: without the platform there may be no other
// holder for long, and a process that gives no more orders needs no engine to stand still. What a later holder says
// has a larger version and stands.
func (c *Clearing) End() {
	c.mu.Lock()
	clear(c.candidates)
	clear(c.cordons)
	c.mu.Unlock()
	c.tell()
	c.mesh.Flush()
}

// Nominate sets the engine that may be taken away next, empty for none. It reports whether the engine was nominated
// already, so that processes have heard of it.
func (c *Clearing) Nominate(wanted units.EngineName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.candidates {
		if name != wanted && c.cordons[name] == "" {
			delete(c.candidates, name)
		}
	}
	if wanted == "" || c.candidates[wanted] != "" {
		return wanted != ""
	}
	c.candidates[wanted] = rand.Text()
	return false
}

// Speaks reports whether there is something to tell: a candidate, a cordon, or that there is none any more.
func (c *Clearing) Speaks() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.candidates)+len(c.cordons) > 0 || c.spoke
}

// withdraw takes back all candidates that are not cordoned. A holder that cannot renew its lease does so while it is
// still heard, so that no engine stands idle for want of a holder.
func (c *Clearing) withdraw() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.candidates {
		if c.cordons[name] == "" {
			delete(c.candidates, name)
		}
	}
}

// Beat tells the processes what is nominated and cordoned, as long as the lease is held.
func (c *Clearing) Beat(held *lease.Held) {
	if !held.Valid() {
		return
	}
	if held.Left() < held.Duration/withdrawPart {
		c.withdraw()
	}
	c.tell()
}

// tell shares the holder's entry.
func (c *Clearing) tell() {
	c.mu.Lock()
	c.beats++
	version := int64(c.fence)<<fenceShift | c.beats
	c.spoke = len(c.candidates)+len(c.cordons) > 0
	hold := wire.Hold{Holder: string(c.name), Fence: int64(c.fence)}
	for name, id := range c.candidates {
		hold.Candidates = append(hold.Candidates, wire.Candidacy{ID: id, Engine: string(name)})
	}
	for name, id := range c.cordons {
		hold.Cordons = append(hold.Cordons, wire.Cordon{ID: id, Engine: string(name)})
	}
	c.mu.Unlock()
	if err := c.mesh.Table().Put(Key(c.place, c.service), version, HoldLife, false, hold); err != nil {
		c.log.Error().Err(err).Msg("holder: heartbeat cannot be encoded")
	}
}

// Cordon stops new work to the engine without waiting.
func (c *Clearing) Cordon(id string, name units.EngineName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cordons[name] = id
}

// Restore lets processes send work to the engine again, unless another cordon stands.
func (c *Clearing) Restore(id string, name units.EngineName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cordons[name] == id {
		delete(c.cordons, name)
	}
}

// Clear cordons the engine and waits until no process sends new work to it and nothing runs on it.
func (c *Clearing) Clear(ctx context.Context, id string, name units.EngineName) error {
	ctx, cancel := context.WithTimeout(ctx, clearBudget)
	defer cancel()
	registered, err := c.registered(ctx)
	if err != nil {
		return err
	}
	c.mu.Lock()
	candidacy := c.candidates[name]
	c.cordons[name] = id
	c.mu.Unlock()
	began := c.clock()
	if err := c.waitForProcesses(ctx, id, candidacy, began, registered); err != nil {
		return err
	}
	return c.waitIdle(ctx, name, c.clock())
}

// waitForProcesses waits until each process has confirmed the cordon or is known to send nothing new.
func (c *Clearing) waitForProcesses(
	ctx context.Context, id, candidacy string, began time.Time, registered []Process,
) error {
	for {
		unseen, running := c.open(id, candidacy, began, registered)
		if len(unseen)+len(running) == 0 {
			return nil
		}
		if len(unseen) > 0 && c.clock().Sub(began) > ackBudget {
			return fmt.Errorf("%w: %s", ErrSilentPeer, strings.Join(unseen, ", "))
		}
		if !wait.Sleep(ctx, clearPoll) {
			return fmt.Errorf("%w: requests of %s still run", ErrBusy, strings.Join(running, ", "))
		}
	}
}

// open returns the processes that have not seen the cordon, and those of which requests still run.
func (c *Clearing) open(
	id, candidacy string, began time.Time, registered []Process,
) (unseen, running []string) {
	permitOver := c.clock().Sub(began) > c.timing.Permit+c.timing.Drift
	members := c.members()
	for _, p := range registered {
		_, known := members[string(p.Name)]
		switch {
		case c.departed(p.VM):
			delete(members, string(p.Name))
		case !known:
			unseen = append(unseen, string(p.Name))
		}
	}
	for name, m := range members {
		switch {
		case slices.Contains(m.Stopped, id):
		case slices.Contains(m.Seen, id):
			running = append(running, name)
		case permitOver && candidacy != "" && slices.Contains(m.Candidates, candidacy):
		default:
			unseen = append(unseen, name)
		}
	}
	slices.Sort(unseen)
	slices.Sort(running)
	return unseen, running
}

// waitIdle waits for a report of the engine that is newer than the time and says that nothing runs.
func (c *Clearing) waitIdle(ctx context.Context, name units.EngineName, after time.Time) error {
	for {
		v := c.view(name)
		if v == nil {
			return fmt.Errorf("engine %s is not in the configuration", name)
		}
		report, taken, ok := v.Reported()
		if ok && taken.After(after) && report.Running+report.Waiting == 0 {
			return nil
		}
		if !wait.Sleep(ctx, clearPoll) {
			return ErrBusy
		}
	}
}

func (c *Clearing) view(name units.EngineName) *route.View {
	for _, v := range c.fleet.Views() {
		if v.Engine.Name == name {
			return v
		}
	}
	return nil
}

// members returns the processes of the availability zone that were heard of.
func (c *Clearing) members() map[string]wire.Member {
	members := map[string]wire.Member{}
	for _, v := range c.mesh.Table().Under(peer.MemberPrefix) {
		var m wire.Member
		if v.Decode(&m) == nil && m.Place == string(c.place) {
			members[strings.TrimPrefix(v.Key, peer.MemberPrefix)] = m
		}
	}
	return members
}

// registered returns the processes of the availability zone that the platform knows.
func (c *Clearing) registered(ctx context.Context) ([]Process, error) {
	objects, err := c.store.List(ctx, ProcessPrefix+string(c.place)+"/")
	if err != nil {
		return nil, fmt.Errorf("list processes: %w", err)
	}
	processes := make([]Process, 0, len(objects))
	for _, o := range objects {
		var p Process
		if err := o.Decode(&p); err != nil {
			return nil, fmt.Errorf("read process %s: %w", o.Key, err)
		}
		processes = append(processes, p)
	}
	return processes, nil
}
