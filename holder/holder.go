// Package holder changes the roles of a service's engines on behalf of the process that holds the service's lease.
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
	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/peer"
	"github.com/buckthorntrack/buckthorntrack/route"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// Prefix is the key prefix of the holders' heartbeats, shared entries that list candidates and cordons.
	Prefix = "hold/"
	// ProcessPrefix is the key prefix of the processes' objects in the platform's store.
	ProcessPrefix = "process/"
	// HoldTTL is the age at which a holder's entry expires.
	HoldTTL = 30 * time.Second

	// fenceShift is the number of bits in an entry's version that count the heartbeats of one holder. The bits above
	// hold the fencing token.
	fenceShift   = 32
	pollInterval = 100 * time.Millisecond
	drainTimeout = 2 * time.Minute
	ackTimeout   = 15 * time.Second
	// withdrawDivisor sets when candidates are withdrawn: less than a third of the lease's duration is left.
	withdrawDivisor = 3
)

var (
	// ErrUnconfirmed means that a process did not confirm the cordon and may still send new work.
	ErrUnconfirmed = errors.New("a process did not confirm the cordon")
	// ErrBusy means that requests still ran on the engine at the timeout.
	ErrBusy = errors.New("engine did not become idle in time")
)

// Process is the value of a process's object in the platform's store.
type Process struct {
	Name        units.ProcessName `json:"name"`
	VM          units.VMName      `json:"vm"`
	Address     string            `json:"address"`
	Incarnation string            `json:"incarnation"`
}

// Timing holds the bounds after which a process that cannot be reached is safe to ignore.
type Timing struct {
	Permit time.Duration // time without a heartbeat after which a process sends nothing new to a candidate
	Drift  time.Duration // margin for differences between clocks
}

// Drainer drains engines on all processes of one availability zone. It implements order.Drainer.
//
// An engine whose role is to change is first a candidate, then cordoned. A process that has confirmed the candidacy
// stops new work to the engine by itself after Timing.Permit without a heartbeat, so that a process that is cut off
// does not block the drain.
type Drainer struct {
	place    units.PlaceName
	service  units.ServiceName
	name     units.ProcessName
	mesh     *peer.Mesh
	store    objapi.Store
	fleet    *route.Fleet
	departed func(units.VMName) bool
	timing   Timing
	clock    units.Clock
	log      zerolog.Logger

	mu         sync.Mutex
	fence      units.FencingToken
	heartbeats int64                       // number published under the fencing token
	candidates map[units.EngineName]string // ids of the candidacies
	cordons    map[units.EngineName]string // ids of the cordons
	announced  bool                        // the latest heartbeat had a candidate or a cordon
}

// NewDrainer returns a Drainer that holds no lease. Begin starts it.
func NewDrainer(
	place units.PlaceName, service units.ServiceName, name units.ProcessName, mesh *peer.Mesh, store objapi.Store,
	fleet *route.Fleet, departed func(units.VMName) bool, timing Timing, clock units.Clock, log zerolog.Logger,
) *Drainer {
	return &Drainer{
		place: place, service: service, name: name, mesh: mesh, store: store, fleet: fleet, departed: departed,
		timing: timing, clock: clock, log: log,
		candidates: map[units.EngineName]string{}, cordons: map[units.EngineName]string{},
	}
}

// Key returns the key of the holder's shared entry.
func Key(place units.PlaceName, service units.ServiceName) string {
	return Prefix + string(place) + "/" + string(service)
}

// Begin resets the state for a newly acquired lease.
func (d *Drainer) Begin(held *lease.Lease) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fence = held.Fence
	d.heartbeats = 0
	clear(d.candidates)
	clear(d.cordons)
}

// End withdraws all candidates and cordons, also when the lease was lost. While the platform is unreachable there may
// be no new holder for a long time, and engines need not stay idle since this process sends no more orders. An entry
// of a later holder has a larger version and is not overwritten.
func (d *Drainer) End() {
	d.mu.Lock()
	clear(d.candidates)
	clear(d.cordons)
	d.mu.Unlock()
	d.publish()
	d.mesh.Flush()
}

// Nominate makes the engine the only candidate that is not cordoned; an empty name withdraws the candidates. It reports
// whether the engine was a candidate before the call, so that an earlier heartbeat may have announced it.
func (d *Drainer) Nominate(wanted units.EngineName) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.candidates {
		if name != wanted && d.cordons[name] == "" {
			delete(d.candidates, name)
		}
	}
	if wanted == "" || d.candidates[wanted] != "" {
		return wanted != ""
	}
	d.candidates[wanted] = rand.Text()
	return false
}

// HasUpdate reports whether a heartbeat is due at once: there is a candidate or cordon, or the last ones were removed.
func (d *Drainer) HasUpdate() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.candidates)+len(d.cordons) > 0 || d.announced
}

// withdrawCandidates removes all candidates that are not cordoned. A holder that cannot renew its lease does so while
// its heartbeats still count: otherwise processes would stop using the engines once the heartbeats end.
func (d *Drainer) withdrawCandidates() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.candidates {
		if d.cordons[name] == "" {
			delete(d.candidates, name)
		}
	}
}

// Heartbeat publishes the candidates and cordons as long as the lease is valid.
func (d *Drainer) Heartbeat(held *lease.Lease) {
	if !held.Valid() {
		return
	}
	if held.Remaining() < held.Duration/withdrawDivisor {
		d.withdrawCandidates()
	}
	d.publish()
}

// publish writes the holder's shared entry with the next version.
func (d *Drainer) publish() {
	d.mu.Lock()
	d.heartbeats++
	version := int64(d.fence)<<fenceShift | d.heartbeats
	d.announced = len(d.candidates)+len(d.cordons) > 0
	entry := wire.HolderBeat{Holder: string(d.name), Fence: int64(d.fence)}
	for name, id := range d.candidates {
		entry.Candidates = append(entry.Candidates, wire.Candidacy{ID: id, Engine: string(name)})
	}
	for name, id := range d.cordons {
		entry.Cordons = append(entry.Cordons, wire.Cordon{ID: id, Engine: string(name)})
	}
	d.mu.Unlock()
	if err := d.mesh.Table().Put(Key(d.place, d.service), version, HoldTTL, false, entry); err != nil {
		d.log.Error().Err(err).Msg("holder: heartbeat could not be encoded")
	}
}

// Cordon adds a cordon to the next heartbeats. It does not wait for processes to confirm it.
func (d *Drainer) Cordon(id string, name units.EngineName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cordons[name] = id
}

// Uncordon removes the cordon with the id. A cordon of the engine with another id stays.
func (d *Drainer) Uncordon(id string, name units.EngineName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cordons[name] == id {
		delete(d.cordons, name)
	}
}

// Drain cordons the engine and waits until no process sends it new work and no request runs on it.
func (d *Drainer) Drain(ctx context.Context, id string, name units.EngineName) error {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	registered, err := d.registered(ctx)
	if err != nil {
		return err
	}
	d.mu.Lock()
	candidacy := d.candidates[name]
	d.cordons[name] = id
	d.mu.Unlock()
	started := d.clock()
	if err := d.waitForProcesses(ctx, id, candidacy, started, registered); err != nil {
		return err
	}
	return d.waitIdle(ctx, name, d.clock())
}

// waitForProcesses waits until each process has confirmed that no request of it runs on the engine, or can no longer
// send it new work.
func (d *Drainer) waitForProcesses(
	ctx context.Context, id, candidacy string, started time.Time, registered []Process,
) error {
	for {
		unconfirmed, running := d.pending(id, candidacy, started, registered)
		if len(unconfirmed)+len(running) == 0 {
			return nil
		}
		if len(unconfirmed) > 0 && d.clock().Sub(started) > ackTimeout {
			return fmt.Errorf("%w: %s", ErrUnconfirmed, strings.Join(unconfirmed, ", "))
		}
		if !wait.Sleep(ctx, pollInterval) {
			return fmt.Errorf("%w: it still runs requests of %s", ErrBusy, strings.Join(running, ", "))
		}
	}
}

// pending returns the processes that have not confirmed the cordon, and those that have but still run requests on the
// engine. It leaves out processes whose VM has departed. It also leaves out processes that confirmed only the
// candidacy, once their permit has expired.
func (d *Drainer) pending(
	id, candidacy string, started time.Time, registered []Process,
) (unconfirmed, running []string) {
	permitExpired := d.clock().Sub(started) > d.timing.Permit+d.timing.Drift
	members := d.members()
	for _, p := range registered {
		_, known := members[string(p.Name)]
		switch {
		case d.departed(p.VM):
			delete(members, string(p.Name))
		case !known:
			unconfirmed = append(unconfirmed, string(p.Name))
		}
	}
	for name, m := range members {
		switch {
		case slices.Contains(m.DrainedCordons, id):
		case slices.Contains(m.AckedCordons, id):
			running = append(running, name)
		case permitExpired && candidacy != "" && slices.Contains(m.Candidates, candidacy):
		default:
			unconfirmed = append(unconfirmed, name)
		}
	}
	slices.Sort(unconfirmed)
	slices.Sort(running)
	return unconfirmed, running
}

// waitIdle waits for a load report that was taken after the given time and shows no running or waiting requests.
func (d *Drainer) waitIdle(ctx context.Context, name units.EngineName, after time.Time) error {
	for {
		v := d.view(name)
		if v == nil {
			return fmt.Errorf("engine %s is not in the configuration", name)
		}
		report, taken, ok := v.LatestReport()
		if ok && taken.After(after) && report.Running+report.Waiting == 0 {
			return nil
		}
		if !wait.Sleep(ctx, pollInterval) {
			return ErrBusy
		}
	}
}

func (d *Drainer) view(name units.EngineName) *route.View {
	for _, v := range d.fleet.Views() {
		if v.Engine.Name == name {
			return v
		}
	}
	return nil
}

// members returns the processes of the availability zone that have a shared entry, by name.
func (d *Drainer) members() map[string]wire.Member {
	members := map[string]wire.Member{}
	for _, v := range d.mesh.Table().List(peer.MemberPrefix) {
		var m wire.Member
		if v.Decode(&m) == nil && m.Place == string(d.place) {
			members[strings.TrimPrefix(v.Key, peer.MemberPrefix)] = m
		}
	}
	return members
}

// registered returns the processes of the availability zone that have an object in the platform's store.
func (d *Drainer) registered(ctx context.Context) ([]Process, error) {
	objects, err := d.store.List(ctx, ProcessPrefix+string(d.place)+"/")
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
