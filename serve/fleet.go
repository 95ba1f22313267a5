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
	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/order"
	"github.com/buckthorntrack/buckthorntrack/peer"
	"github.com/buckthorntrack/buckthorntrack/route"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// leavingPrefix is the key prefix of shared entries that list leaving VMs.
	leavingPrefix = "leave/"

	// watchersPerPlace is the number of processes per availability zone that watch the platform.
	watchersPerPlace = 2
	vmListInterval   = time.Second
	leavingTTL       = 40 * time.Second
	vmListTTL        = 20 * time.Second // an older list does not show that a VM is gone
	lostTTL          = 5 * time.Minute
)

// fleetView tracks the VMs on the platform's list and the other processes.
type fleetView struct {
	settings config.Settings
	store    objapi.Store
	mesh     *peer.Mesh
	clock    units.Clock
	log      zerolog.Logger

	mu            sync.Mutex
	vms           map[units.VMName]objapi.VM // by the latest list
	listReadAt    time.Time
	absentSince   map[units.VMName]time.Time
	sharedLeaving []string // leaving VMs that were shared last
	sharedAt      time.Time
}

func newFleetView(s config.Settings, store objapi.Store, mesh *peer.Mesh, clock units.Clock, log zerolog.Logger) *fleetView {
	return &fleetView{
		settings: s, store: store, mesh: mesh, clock: clock, log: log,
		vms: map[units.VMName]objapi.VM{}, absentSince: map[units.VMName]time.Time{},
	}
}

// run polls the platform's list of VMs while this process is a watcher. Other processes read it once at the start.
func (f *fleetView) run(ctx context.Context) {
	for attempt := 0; ; {
		pause := vmListInterval
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
	return f.listReadAt.IsZero()
}

// readVMs reads the platform's list of VMs and shares those that are leaving.
func (f *fleetView) readVMs(ctx context.Context) error {
	list, err := f.store.VMs(ctx)
	if err != nil {
		return err
	}
	now := f.clock()
	leaving := wire.LeavingVMs{VMs: []string{}}
	f.mu.Lock()
	previous := f.vms
	f.vms = map[units.VMName]objapi.VM{}
	for _, vm := range list {
		f.vms[vm.Name] = vm
		delete(f.absentSince, vm.Name)
		if vm.State == objapi.VMLeaving && vm.Place == f.settings.Process.Place {
			leaving.VMs = append(leaving.VMs, string(vm.Name))
		}
	}
	for name := range previous {
		if _, listed := f.vms[name]; !listed {
			f.absentSince[name] = now
		}
	}
	f.listReadAt = now
	f.mu.Unlock()
	f.addContacts(list)
	slices.Sort(leaving.VMs)
	return f.shareLeaving(leaving, now)
}

// shareLeaving shares the leaving VMs when they have changed, and renews the entry after half of its time to live.
func (f *fleetView) shareLeaving(leaving wire.LeavingVMs, now time.Time) error {
	f.mu.Lock()
	current := slices.Equal(leaving.VMs, f.sharedLeaving) && now.Sub(f.sharedAt) < leavingTTL/2
	if !current {
		f.sharedLeaving, f.sharedAt = leaving.VMs, now
	}
	f.mu.Unlock()
	if current {
		return nil
	}
	key := leavingPrefix + string(f.settings.Process.Place) + "/" + string(f.settings.Process.Name)
	err := f.mesh.Table().Put(key, 0, leavingTTL, false, leaving)
	f.mesh.Flush()
	return err
}

// addContacts makes the processes on the list of VMs known to the mesh.
func (f *fleetView) addContacts(list []objapi.VM) {
	for _, vm := range list {
		if vm.Process != "" {
			f.mesh.AddContact(peer.Contact{Name: units.ProcessName(vm.Process), Place: vm.Place, Address: vm.Address})
		}
	}
}

// departed reports whether a recent list shows that the VM has been absent for longer than the grace time.
func (f *fleetView) departed(vm units.VMName) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	if _, listed := f.vms[vm]; listed || vm == "" || f.listReadAt.IsZero() || now.Sub(f.listReadAt) > vmListTTL {
		return false
	}
	since, known := f.absentSince[vm]
	if !known {
		f.absentSince[vm] = now
		return false
	}
	return now.Sub(since) > f.settings.Authority.Grace
}

// leaving returns the VMs of this availability zone that any process has reported as leaving.
func (f *fleetView) leaving() map[units.VMName]bool {
	leaving := map[units.VMName]bool{}
	for _, v := range f.mesh.Table().List(leavingPrefix + string(f.settings.Process.Place) + "/") {
		var l wire.LeavingVMs
		if v.Decode(&l) == nil {
			for _, vm := range l.VMs {
				leaving[units.VMName(vm)] = true
			}
		}
	}
	return leaving
}

// alive reports whether the process may still be running: this process has a link to it, no process has reported the
// loss of a link to it, or it has renewed its member entry since.
func (f *fleetView) alive(name units.ProcessName) bool {
	if name == f.settings.Process.Name {
		return true
	}
	for _, l := range f.mesh.Links() {
		if l.Name() == name {
			return true
		}
	}
	v, reported := f.mesh.Table().Get(peer.LostPrefix + string(name))
	var lost wire.LostLink
	if !reported || v.Decode(&lost) != nil {
		return true
	}
	member, known := f.mesh.Table().Get(peer.MemberPrefix + string(name))
	return known && member.Version > lost.Version
}

// rank returns the index of this process among the live processes of its availability zone that are not stopping,
// sorted by name, and their number. This process always counts.
func (f *fleetView) rank() (rank, count int) {
	own := f.settings.Process.Name
	names := []units.ProcessName{own}
	for _, v := range f.mesh.Table().List(peer.MemberPrefix) {
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

// watches reports whether this process is one of those that watch the platform for their availability zone.
func (f *fleetView) watches() bool {
	rank, _ := f.rank()
	return rank < watchersPerPlace
}

// reportLost shares that the link to a process was lost.
func (f *fleetView) reportLost(name units.ProcessName) {
	lost := wire.LostLink{By: string(f.settings.Process.Name)}
	if member, known := f.mesh.Table().Get(peer.MemberPrefix + string(name)); known {
		lost.Version = member.Version
	}
	_ = f.mesh.Table().Put(peer.LostPrefix+string(name), 0, lostTTL, true, lost)
}

// register writes this process's object to the platform, and returns the engines that have an open intent.
func (f *fleetView) register(ctx context.Context, incarnation string) ([]units.EngineName, error) {
	key := f.processKey()
	object, err := f.store.Get(ctx, key)
	if err != nil && !errors.Is(err, objapi.ErrNotFound) {
		return nil, err
	}
	own := holder.Process{
		Name: f.settings.Process.Name, VM: f.settings.Process.VM, Address: f.settings.Peers.Listen, Incarnation: incarnation,
	}
	next, err := objapi.Encode(key, objapi.Object{Version: object.Version}, own)
	if err != nil {
		return nil, err
	}
	if _, err := f.store.Put(ctx, next); err != nil {
		return nil, err
	}
	return f.openIntents(ctx)
}

// openIntents returns the engines of this availability zone that have an open intent in the journal.
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

// deregister deletes this process's object after a planned stop.
func (f *fleetView) deregister(ctx context.Context) {
	object, err := f.store.Get(ctx, f.processKey())
	if err == nil {
		_ = f.store.Delete(ctx, f.processKey(), object.Version)
	}
}

func (f *fleetView) processKey() string {
	return holder.ProcessPrefix + string(f.settings.Process.Place) + "/" + string(f.settings.Process.Name)
}

// blockLeaving stops new work to the engines whose VM is leaving, and unblocks the others.
func blockLeaving(views []*route.View, leaving map[units.VMName]bool) {
	for _, v := range views {
		v.Block(route.BlockedLeaving, v.Engine.VM != "" && leaving[v.Engine.VM])
	}
}
