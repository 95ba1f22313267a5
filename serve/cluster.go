package serve

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/holder"
	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/order"
	"github.com/buckthorntrack/buckthorntrack/peer"
	"github.com/buckthorntrack/buckthorntrack/route"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
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

// clusterView tracks the VMs on the platform's list and the other processes.
type clusterView struct {
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

func newClusterView(
	s config.Settings, store objapi.Store, mesh *peer.Mesh, clock units.Clock, log zerolog.Logger,
) *clusterView {
	return &clusterView{
		settings: s, store: store, mesh: mesh, clock: clock, log: log,
		vms: map[units.VMName]objapi.VM{}, absentSince: map[units.VMName]time.Time{},
	}
}

// run polls the platform's list of VMs while this process is a watcher. Other processes read it once at the start.
func (c *clusterView) run(ctx context.Context) {
	for attempt := 0; ; {
		pause := vmListInterval
		if c.watches() || c.neverRead() {
			if err := c.readVMs(ctx); err != nil {
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

func (c *clusterView) neverRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listReadAt.IsZero()
}

// readVMs reads the platform's list of VMs and shares those that are leaving.
func (c *clusterView) readVMs(ctx context.Context) error {
	list, err := c.store.VMs(ctx)
	if err != nil {
		return err
	}
	now := c.clock()
	leaving := wire.LeavingVMs{VMs: []string{}}
	c.mu.Lock()
	previous := c.vms
	c.vms = map[units.VMName]objapi.VM{}
	for _, vm := range list {
		c.vms[vm.Name] = vm
		delete(c.absentSince, vm.Name)
		if vm.State == objapi.VMLeaving && vm.Place == c.settings.Process.Place {
			leaving.VMs = append(leaving.VMs, string(vm.Name))
		}
	}
	for name := range previous {
		if _, listed := c.vms[name]; !listed {
			c.absentSince[name] = now
		}
	}
	c.listReadAt = now
	c.mu.Unlock()
	c.addContacts(list)
	slices.Sort(leaving.VMs)
	return c.shareLeaving(leaving, now)
}

// shareLeaving shares the leaving VMs when they have changed, and renews the entry after half of its time to live.
func (c *clusterView) shareLeaving(leaving wire.LeavingVMs, now time.Time) error {
	c.mu.Lock()
	current := slices.Equal(leaving.VMs, c.sharedLeaving) && now.Sub(c.sharedAt) < leavingTTL/2
	if !current {
		c.sharedLeaving, c.sharedAt = leaving.VMs, now
	}
	c.mu.Unlock()
	if current {
		return nil
	}
	key := leavingPrefix + string(c.settings.Process.Place) + "/" + string(c.settings.Process.Name)
	err := c.mesh.Table().Put(key, 0, leavingTTL, false, leaving)
	c.mesh.Flush()
	return err
}

// addContacts makes the processes on the list of VMs known to the mesh.
func (c *clusterView) addContacts(list []objapi.VM) {
	for _, vm := range list {
		if vm.Process != "" {
			c.mesh.AddContact(peer.Contact{Name: units.ProcessName(vm.Process), Place: vm.Place, Address: vm.Address})
		}
	}
}

// departed reports whether a recent list shows that the VM has been absent for longer than the grace time.
func (c *clusterView) departed(vm units.VMName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	if _, listed := c.vms[vm]; listed || vm == "" || c.listReadAt.IsZero() || now.Sub(c.listReadAt) > vmListTTL {
		return false
	}
	since, known := c.absentSince[vm]
	if !known {
		c.absentSince[vm] = now
		return false
	}
	return now.Sub(since) > c.settings.Authority.Grace
}

// leaving returns the VMs of this availability zone that any process has reported as leaving.
func (c *clusterView) leaving() map[units.VMName]bool {
	leaving := map[units.VMName]bool{}
	for _, v := range c.mesh.Table().List(leavingPrefix + string(c.settings.Process.Place) + "/") {
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
func (c *clusterView) alive(name units.ProcessName) bool {
	if name == c.settings.Process.Name {
		return true
	}
	for _, l := range c.mesh.Links() {
		if l.Name() == name {
			return true
		}
	}
	v, reported := c.mesh.Table().Get(peer.LostPrefix + string(name))
	var lost wire.LostLink
	if !reported || v.Decode(&lost) != nil {
		return true
	}
	member, known := c.mesh.Table().Get(peer.MemberPrefix + string(name))
	return known && member.Version > lost.Version
}

// rank returns the index of this process among the live processes of its availability zone that are not stopping,
// sorted by name, and their number. This process always counts.
func (c *clusterView) rank() (rank, count int) {
	own := c.settings.Process.Name
	names := []units.ProcessName{own}
	for _, v := range c.mesh.Table().List(peer.MemberPrefix) {
		name := units.ProcessName(strings.TrimPrefix(v.Key, peer.MemberPrefix))
		var m wire.Member
		if name == own || v.Decode(&m) != nil || m.Place != string(c.settings.Process.Place) || m.Stopping {
			continue
		}
		if c.alive(name) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, cmp.Compare)
	return slices.Index(names, own), len(names)
}

// watches reports whether this process is one of those that watch the platform for their availability zone.
func (c *clusterView) watches() bool {
	rank, _ := c.rank()
	return rank < watchersPerPlace
}

// reportLost shares that the link to a process was lost.
func (c *clusterView) reportLost(name units.ProcessName) {
	lost := wire.LostLink{By: string(c.settings.Process.Name)}
	if member, known := c.mesh.Table().Get(peer.MemberPrefix + string(name)); known {
		lost.Version = member.Version
	}
	_ = c.mesh.Table().Put(peer.LostPrefix+string(name), 0, lostTTL, true, lost)
}

// register writes this process's object to the platform, and returns the engines that have an open intent.
func (c *clusterView) register(ctx context.Context, incarnation string) ([]units.EngineName, error) {
	key := c.processKey()
	object, err := c.store.Get(ctx, key)
	if err != nil && !errors.Is(err, objapi.ErrNotFound) {
		return nil, err
	}
	own := holder.Process{
		Name: c.settings.Process.Name, VM: c.settings.Process.VM, Address: c.settings.Peers.Listen, Incarnation: incarnation,
	}
	next, err := objapi.Encode(key, objapi.Object{Version: object.Version}, own)
	if err != nil {
		return nil, err
	}
	if _, err := c.store.Put(ctx, next); err != nil {
		return nil, err
	}
	return c.openIntents(ctx)
}

// openIntents returns the engines of this availability zone that have an open intent in the journal.
func (c *clusterView) openIntents(ctx context.Context) ([]units.EngineName, error) {
	records, err := order.List(ctx, c.store, order.Prefix+string(c.settings.Process.Place)+"/")
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

// deregister deletes this process's object from the platform.
func (c *clusterView) deregister(ctx context.Context) {
	object, err := c.store.Get(ctx, c.processKey())
	if err == nil {
		_ = c.store.Delete(ctx, c.processKey(), object.Version)
	}
}

func (c *clusterView) processKey() string {
	return holder.ProcessPrefix + string(c.settings.Process.Place) + "/" + string(c.settings.Process.Name)
}

// blockLeaving stops new work to the engines whose VM is leaving, and unblocks the others.
func blockLeaving(views []*route.View, leaving map[units.VMName]bool) {
	for _, v := range views {
		v.Block(route.BlockedLeaving, v.Engine.VM != "" && leaving[v.Engine.VM])
	}
}
