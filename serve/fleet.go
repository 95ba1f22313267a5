package serve

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/wait"

	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/holder"
	"github.com/buckthorntrack/buckthorntrack/order"
	"github.com/buckthorntrack/buckthorntrack/peer"
	"github.com/buckthorntrack/buckthorntrack/plat"
	"github.com/buckthorntrack/buckthorntrack/route"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	leavePrefix = "leave/"

	// watchersPerPlace is the number of processes of an availability zone that watch the platform.
	watchersPerPlace = 2
	vmInterval       = time.Second
	leaveLife        = 40 * time.Second
	listLife         = 20 * time.Second // age at which the list says nothing any more
	lostLife         = 5 * time.Minute
)

// fleetView is what a process knows of the VMs and the other processes.
type fleetView struct {
	settings config.Settings
	store    plat.Store
	mesh     *peer.Mesh
	clock    units.Clock
	log      zerolog.Logger

	mu     sync.Mutex
	vms    map[units.VMName]plat.VM
	readAt time.Time
	absent map[units.VMName]time.Time // since when a VM is not on the list
	told   []string                   // leaving VMs that were shared last
	toldAt time.Time
}

func newFleetView(s config.Settings, store plat.Store, mesh *peer.Mesh, clock units.Clock, log zerolog.Logger) *fleetView {
	return &fleetView{
		settings: s, store: store, mesh: mesh, clock: clock, log: log,
		vms: map[units.VMName]plat.VM{}, absent: map[units.VMName]time.Time{},
	}
}

// run reads the platform's list of VMs while this process is a watcher.
func (f *fleetView) run(ctx context.Context) {
	for attempt := 0; ; {
		pause := vmInterval
		if f.watches() || f.neverRead() {
			if err := f.readVMs(ctx); err != nil {
				pause = wait.Backoff(attempt)
				attempt++
			} else {
				attempt = 0
			}
		}
		if !wait.Sleep(ctx, pause) {
			return
		}
	}
}

func (f *fleetView) neverRead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readAt.IsZero()
}

func (f *fleetView) readVMs(ctx context.Context) error {
	list, err := f.store.VMs(ctx)
	if err != nil {
		return err
	}
	now := f.clock()
	leaving := wire.Leaving{VMs: []string{}}
	f.mu.Lock()
	before := f.vms
	f.vms = map[units.VMName]plat.VM{}
	for _, vm := range list {
		f.vms[vm.Name] = vm
		delete(f.absent, vm.Name)
		if vm.State == plat.VMLeaving && vm.Place == f.settings.Process.Place {
			leaving.VMs = append(leaving.VMs, string(vm.Name))
		}
	}
	for name := range before {
		if _, still := f.vms[name]; !still {
			f.absent[name] = now
		}
	}
	f.readAt = now
	f.mu.Unlock()
	f.learn(list)
	slices.Sort(leaving.VMs)
	return f.tellLeaving(leaving, now)
}

// tellLeaving shares the leaving VMs when they changed or the last word grows old.
func (f *fleetView) tellLeaving(leaving wire.Leaving, now time.Time) error {
	f.mu.Lock()
	same := slices.Equal(leaving.VMs, f.told) && now.Sub(f.toldAt) < leaveLife/2
	if !same {
		f.told, f.toldAt = leaving.VMs, now
	}
	f.mu.Unlock()
	if same {
		return nil
	}
	key := leavePrefix + string(f.settings.Process.Place) + "/" + string(f.settings.Process.Name)
	err := f.mesh.Table().Put(key, 0, leaveLife, false, leaving)
	f.mesh.Flush()
	return err
}

func (f *fleetView) learn(list []plat.VM) {
	for _, vm := range list {
		if vm.Process != "" {
			f.mesh.Learn(peer.Contact{Name: units.ProcessName(vm.Process), Place: vm.Place, Address: vm.Address})
		}
	}
}

// departed reports whether the VM has not been on the list for the grace time.
func (f *fleetView) departed(vm units.VMName) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	if _, listed := f.vms[vm]; listed || vm == "" || f.readAt.IsZero() || now.Sub(f.readAt) > listLife {
		return false
	}
	since, known := f.absent[vm]
	if !known {
		f.absent[vm] = now
		return false
	}
	return now.Sub(since) > f.settings.Authority.Grace
}

// leaving returns the VMs of the own availability zone that some process has seen as leaving.
func (f *fleetView) leaving() map[units.VMName]bool {
	leaving := map[units.VMName]bool{}
	for _, v := range f.mesh.Table().Under(leavePrefix + string(f.settings.Process.Place) + "/") {
		var l wire.Leaving
		if v.Decode(&l) == nil {
			for _, vm := range l.VMs {
				leaving[units.VMName(vm)] = true
			}
		}
	}
	return leaving
}

// alive reports whether the process may still be running.
func (f *fleetView) alive(name units.ProcessName) bool {
	if name == f.settings.Process.Name {
		return true
	}
	for _, l := range f.mesh.Links() {
		if l.Name() == name {
			return true
		}
	}
	v, isLost := f.mesh.Table().Get(peer.LostPrefix + string(name))
	var lost wire.Lost
	if !isLost || v.Decode(&lost) != nil {
		return true
	}
	member, known := f.mesh.Table().Get(peer.MemberPrefix + string(name))
	return known && member.Version > lost.Version
}

// rank returns the place of this process among the live ones of its availability zone, and their number.
func (f *fleetView) rank() (rank, count int) {
	own := f.settings.Process.Name
	names := []units.ProcessName{own}
	for _, v := range f.mesh.Table().Under(peer.MemberPrefix) {
		name := units.ProcessName(strings.TrimPrefix(v.Key, peer.MemberPrefix))
		var m wire.Member
		if name == own || v.Decode(&m) != nil || m.Place != string(f.settings.Process.Place) || m.Stopping {
			continue
		}
		if f.alive(name) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, cmp.Compare)
	return slices.Index(names, own), len(names)
}

// watches reports whether this process watches the platform for its availability zone.
func (f *fleetView) watches() bool {
	rank, _ := f.rank()
	return rank < watchersPerPlace
}

// lost tells the others that the link to a process was lost.
func (f *fleetView) lost(name units.ProcessName) {
	lost := wire.Lost{By: string(f.settings.Process.Name)}
	if member, known := f.mesh.Table().Get(peer.MemberPrefix + string(name)); known {
		lost.Version = member.Version
	}
	_ = f.mesh.Table().Put(peer.LostPrefix+string(name), 0, lostLife, true, lost)
}

// register writes the process's object, and returns the engines that have an open intent.
func (f *fleetView) register(ctx context.Context, incarnation string) ([]units.EngineName, error) {
	key := f.processKey()
	object, err := f.store.Get(ctx, key)
	if err != nil && !errors.Is(err, plat.ErrNotFound) {
		return nil, err
	}
	own := holder.Process{
		Name: f.settings.Process.Name, VM: f.settings.Process.VM, Address: f.settings.Peers.Listen, Incarnation: incarnation,
	}
	next, err := plat.Encode(key, plat.Object{Version: object.Version}, own)
	if err != nil {
		return nil, err
	}
	if _, err := f.store.Put(ctx, next); err != nil {
		return nil, err
	}
	return f.openIntents(ctx)
}

func (f *fleetView) openIntents(ctx context.Context) ([]units.EngineName, error) {
	records, err := order.List(ctx, f.store, order.Prefix+string(f.settings.Process.Place)+"/")
	if err != nil {
		return nil, err
	}
	var names []units.EngineName
	for _, r := range records {
		if r.Open != nil {
			names = append(names, r.Engine)
		}
	}
	return names, nil
}

// deregister removes the process's object after a planned stop.
func (f *fleetView) deregister(ctx context.Context) {
	object, err := f.store.Get(ctx, f.processKey())
	if err == nil {
		_ = f.store.Delete(ctx, f.processKey(), object.Version)
	}
}

func (f *fleetView) processKey() string {
	return holder.ProcessPrefix + string(f.settings.Process.Place) + "/" + string(f.settings.Process.Name)
}

// blockLeaving stops new work to engines whose VM is leaving.
func blockLeaving(views []*route.View, leaving map[units.VMName]bool) {
	for _, v := range views {
		v.Block(route.BlockedLeaving, v.Engine.VM != "" && leaving[v.Engine.VM])
	}
}
