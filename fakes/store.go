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

// Store is the state of the stand-in for the platform's object API.
type Store struct {
	mu      sync.Mutex
	objects map[string]objapi.Object
	deleted []deletion
	latest  units.Version
	changed chan struct{}
	vms     []objapi.VM
	calls   Calls
	onPut   func(o objapi.Object)
}

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

// Get returns one object or objapi.ErrNotFound.
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

// List returns the objects under the prefix in the order of keys.
func (s *Store) List(_ context.Context, prefix string) ([]objapi.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Lists++
	return s.under(prefix, -1), nil
}

// Put writes the object if it is still at o.Version.
func (s *Store) Put(_ context.Context, o objapi.Object) (objapi.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Puts++
	if s.objects[o.Key].Version != o.Version {
		return objapi.Object{}, objapi.ErrConflict
	}
	s.advance()
	o.Version = s.latest
	s.objects[o.Key] = o
	if s.onPut != nil {
		s.onPut(o)
	}
	return o, nil
}

// OnPut calls the function within each write that takes effect, before it is answered.
func (s *Store) OnPut(f func(o objapi.Object)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onPut = f
}

// Delete removes the object if it is still at the version.
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
	s.advance()
	s.deleted = append(s.deleted, deletion{key: key, version: s.latest})
	return nil
}

// Watch waits for a change under the prefix, at most for objapi.WatchWait.
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

// SetVM adds or replaces one entry of the list of VMs.
func (s *Store) SetVM(vm objapi.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = slices.DeleteFunc(s.vms, func(v objapi.VM) bool { return v.Name == vm.Name })
	s.vms = append(s.vms, vm)
}

// RemoveVM takes one entry off the list of VMs.
func (s *Store) RemoveVM(name units.VMName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = slices.DeleteFunc(s.vms, func(v objapi.VM) bool { return v.Name == name })
}

// Calls returns the counts of calls so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Backup returns a copy of all objects.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := make(map[string]objapi.Object, len(s.objects))
	for key, o := range s.objects {
		kept[key] = o
	}
	return Backup{objects: kept}
}

// Restore sets all objects back to the backup, with versions that go on growing.
func (s *Store) Restore(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = make(map[string]objapi.Object, len(b.objects))
	for key, o := range b.objects {
		s.advance()
		o.Version = s.latest
		s.objects[key] = o
	}
}

func (s *Store) watchFor(
	ctx context.Context, prefix string, from units.Version, wait time.Duration,
) (objapi.Change, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		objects := s.under(prefix, from)
		latest := s.latest
		gone := s.deletedSince(prefix, from)
		changed := s.changed
		s.mu.Unlock()
		if len(objects) > 0 || gone {
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

func (s *Store) under(prefix string, newerThan units.Version) []objapi.Object {
	objects := []objapi.Object{}
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) && o.Version > newerThan {
			objects = append(objects, o)
		}
	}
	slices.SortFunc(objects, func(a, b objapi.Object) int { return cmp.Compare(a.Key, b.Key) })
	return objects
}

func (s *Store) deletedSince(prefix string, from units.Version) bool {
	return slices.ContainsFunc(s.deleted, func(d deletion) bool {
		return d.version > from && strings.HasPrefix(d.key, prefix)
	})
}

func (s *Store) advance() {
	s.latest++
	close(s.changed)
	s.changed = make(chan struct{})
}
