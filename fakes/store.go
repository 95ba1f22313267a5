// Package fakes provides stand-ins for the platform, model engines and plain services.
package fakes

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Calls counts the calls that the platform received, by kind.
type Calls struct {
	Gets    int64 `json:"gets"`
	Lists   int64 `json:"lists"`
	Puts    int64 `json:"puts"`
	Deletes int64 `json:"deletes"`
	Watches int64 `json:"watches"`
	VMs     int64 `json:"vms"`
}

// Store holds the objects and VMs of the stand-in platform in memory.
type Store struct {
	mu            sync.Mutex
	objects       map[string]objapi.Object
	deletions     []deletion
	latestVersion units.Version
	changed       chan struct{} // closed and replaced at each change
	vms           []objapi.VM
	calls         Calls
	onPut         func(o objapi.Object)
}

// deletion records the version at which a key was deleted, for watches.
type deletion struct {
	key     string
	version units.Version
}

// Backup is a copy of a store's objects.
type Backup struct {
	objects map[string]objapi.Object
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: map[string]objapi.Object{}, changed: make(chan struct{})}
}

// Get returns the object with the key, or objapi.ErrNotFound.
func (s *Store) Get(_ context.Context, key string) (objapi.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Gets++
	o, ok := s.objects[key]
	if !ok {
		return objapi.Object{}, objapi.ErrNotFound
	}
	return o, nil
}

// List returns the objects whose keys have the prefix, sorted by key.
func (s *Store) List(_ context.Context, prefix string) ([]objapi.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Lists++
	return s.objectsUnder(prefix, -1), nil
}

// Put writes the object if its stored version is o.Version, which is zero for a new object, and otherwise returns
// objapi.ErrConflict.
func (s *Store) Put(_ context.Context, o objapi.Object) (objapi.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Puts++
	if s.objects[o.Key].Version != o.Version {
		return objapi.Object{}, objapi.ErrConflict
	}
	s.nextVersion()
	o.Version = s.latestVersion
	s.objects[o.Key] = o
	if s.onPut != nil {
		s.onPut(o)
	}
	return o, nil
}

// OnPut sets a function that is called under the store's lock for each write that takes effect, before Put returns.
func (s *Store) OnPut(f func(o objapi.Object)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onPut = f
}

// Delete removes the object if its stored version is the given one, and otherwise returns objapi.ErrConflict.
func (s *Store) Delete(_ context.Context, key string, version units.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Deletes++
	o, ok := s.objects[key]
	if !ok {
		return objapi.ErrNotFound
	}
	if o.Version != version {
		return objapi.ErrConflict
	}
	delete(s.objects, key)
	s.nextVersion()
	s.deletions = append(s.deletions, deletion{key: key, version: s.latestVersion})
	return nil
}

// Watch waits at most objapi.WatchWait for a change to keys with the prefix.
func (s *Store) Watch(ctx context.Context, prefix string, from units.Version) (objapi.Change, error) {
	s.mu.Lock()
	s.calls.Watches++
	s.mu.Unlock()
	return s.watchFor(ctx, prefix, from, objapi.WatchWait)
}

// VMs returns the list of VMs.
func (s *Store) VMs(context.Context) ([]objapi.VM, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.VMs++
	return slices.Clone(s.vms), nil
}

// SetVM adds the VM or replaces the one with the same name.
func (s *Store) SetVM(vm objapi.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = slices.DeleteFunc(s.vms, func(v objapi.VM) bool { return v.Name == vm.Name })
	s.vms = append(s.vms, vm)
}

// RemoveVM removes the VM with the name.
func (s *Store) RemoveVM(name units.VMName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = slices.DeleteFunc(s.vms, func(v objapi.VM) bool { return v.Name == name })
}

// Calls returns the number of calls so far, by kind.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Backup returns a copy of all objects.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	objects := make(map[string]objapi.Object, len(s.objects))
	for key, o := range s.objects {
		objects[key] = o
	}
	return Backup{objects: objects}
}

// Restore replaces all objects by those of the backup. They get new versions, since versions must never decrease.
func (s *Store) Restore(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = make(map[string]objapi.Object, len(b.objects))
	for key, o := range b.objects {
		s.nextVersion()
		o.Version = s.latestVersion
		s.objects[key] = o
	}
}

// watchFor waits until an object with the prefix is newer than the version or was deleted after it, and returns the
// newer objects. It returns none if the timeout ends first.
func (s *Store) watchFor(
	ctx context.Context, prefix string, from units.Version, timeout time.Duration,
) (objapi.Change, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		s.mu.Lock()
		objects := s.objectsUnder(prefix, from)
		latest := s.latestVersion
		deleted := s.deletedSince(prefix, from)
		changed := s.changed
		s.mu.Unlock()
		if len(objects) > 0 || deleted {
			return objapi.Change{Version: latest, Objects: objects}, nil
		}
		select {
		case <-ctx.Done():
			return objapi.Change{}, ctx.Err()
		case <-timer.C:
			return objapi.Change{Version: latest}, nil
		case <-changed:
		}
	}
}

// objectsUnder returns the objects with the prefix whose version is above the given one, sorted by key.
func (s *Store) objectsUnder(prefix string, newerThan units.Version) []objapi.Object {
	objects := []objapi.Object{}
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) && o.Version > newerThan {
			objects = append(objects, o)
		}
	}
	slices.SortFunc(objects, func(a, b objapi.Object) int { return cmp.Compare(a.Key, b.Key) })
	return objects
}

// deletedSince reports whether a key with the prefix was deleted after the version.
func (s *Store) deletedSince(prefix string, from units.Version) bool {
	return slices.ContainsFunc(s.deletions, func(d deletion) bool {
		return d.version > from && strings.HasPrefix(d.key, prefix)
	})
}

// nextVersion increments the version and wakes all watches.
func (s *Store) nextVersion() {
	s.latestVersion++
	close(s.changed)
	s.changed = make(chan struct{})
}
