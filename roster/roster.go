// Package roster keeps the engines in the platform's registry, with the load of each incarnation.
package roster

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Roster is the table of engines. It is safe for concurrent use; reads take no lock.
type Roster struct {
	log      zerolog.Logger
	mu       sync.Mutex // serializes changes
	pace     *groups    // nil if engines are not held back by their pace
	snapshot atomic.Pointer[snapshot]
}

// snapshot is an immutable state of the table.
type snapshot struct {
	version   units.Version // of the registry
	byID      map[units.EngineName]*pick.Engine
	byService map[units.ServiceName]*pick.Table
	byAddress map[string]units.ServiceName
	addresses []string
}

// New returns an empty table.
func New(log zerolog.Logger) *Roster {
	r := &Roster{log: log}
	r.snapshot.Store(&snapshot{byID: map[units.EngineName]*pick.Engine{}})
	return r
}

// Of returns the engines of the service, including leaving ones. The slice must not be modified.
func (r *Roster) Of(service units.ServiceName) []*pick.Engine {
	return r.Table(service).Engines()
}

// Table returns the table of the service's engines, nil if it has none.
func (r *Roster) Table(service units.ServiceName) *pick.Table {
	return r.snapshot.Load().byService[service]
}

// ModelRunners returns the numbers of engines that run requests of each service with model engines, by software version.
func (r *Roster) ModelRunners() map[units.ServiceName]map[units.SoftwareVersion]int {
	services := map[units.ServiceName]map[units.SoftwareVersion]int{}
	for service, table := range r.snapshot.Load().byService {
		if slices.ContainsFunc(table.Engines(), func(e *pick.Engine) bool { return e.Role != "" }) {
			services[service] = table.RunnersByVersion()
		}
	}
	return services
}

// Version returns the version of the registry that the table reflects.
func (r *Roster) Version() units.Version {
	return r.snapshot.Load().version
}

// Accepts reports whether the incarnation is still in the registry and accepts new requests.
func (r *Roster) Accepts(e *pick.Engine) bool {
	current, ok := r.snapshot.Load().byID[e.ID]
	return ok && current.SameIncarnation(e.Entry) && !current.Leaving
}

// Len returns the number of engines.
func (r *Roster) Len() int {
	return len(r.snapshot.Load().byID)
}

// Addresses returns the addresses of all engines. The slice must not be modified.
func (r *Roster) Addresses() []string {
	return r.snapshot.Load().addresses
}

// ServiceAt returns the service of the engine at an address, and whether there is one.
func (r *Roster) ServiceAt(address string) (units.ServiceName, bool) {
	service, ok := r.snapshot.Load().byAddress[address]
	return service, ok
}

// Replace replaces all entries.
func (r *Roster) Replace(entries []pick.Entry, version units.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.snapshot.Load().byID
	next := make(map[units.EngineName]*pick.Engine, len(entries))
	for _, entry := range entries {
		next[entry.ID] = r.merge(current[entry.ID], entry, version)
	}
	for id := range current {
		if _, ok := next[id]; !ok {
			r.logGone(id, version)
		}
	}
	r.publish(next, version)
}

// Apply adds or changes the entries, and then removes the given engines.
func (r *Roster) Apply(entries []pick.Entry, removed []units.EngineName, version units.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.snapshot.Load().byID
	next := make(map[units.EngineName]*pick.Engine, len(current)+len(entries))
	for id, e := range current {
		next[id] = e
	}
	for _, entry := range entries {
		next[entry.ID] = r.merge(current[entry.ID], entry, version)
	}
	for _, id := range removed {
		if _, ok := next[id]; ok {
			delete(next, id)
			r.logGone(id, version)
		}
	}
	r.publish(next, version)
}

// merge returns the engine for an entry. It keeps the load if the incarnation is already in the table.
func (r *Roster) merge(known *pick.Engine, entry pick.Entry, version units.Version) *pick.Engine {
	if known != nil {
		same := entry
		same.ColdFor = known.ColdFor // matters at the first sight of an incarnation only
		if known.Entry == same {
			return known
		}
	}
	r.log.Info().Str("engine", string(entry.ID)).Str("service", string(entry.Service)).Str("address", entry.Address).
		Str("role", string(entry.Role)).Bool("leaving", entry.Leaving).Int64("born", entry.StartedAt).
		Int64("version", int64(version)).Msg("roster: engine changed")
	if known != nil && known.SameIncarnation(entry) {
		changed := known.WithEntry(entry)
		r.pace.add(changed, entry.Role != known.Role)
		return changed
	}
	added := pick.NewEngine(entry)
	r.pace.add(added, r.hasRead() || entry.ColdFor > 0)
	return added
}

func (r *Roster) logGone(id units.EngineName, version units.Version) {
	r.log.Info().Str("engine", string(id)).Int64("version", int64(version)).Msg("roster: engine is gone")
}

// publish replaces the snapshot.
func (r *Roster) publish(byID map[units.EngineName]*pick.Engine, version units.Version) {
	next := &snapshot{
		version: version, byID: byID, byService: map[units.ServiceName]*pick.Table{},
		byAddress: make(map[string]units.ServiceName, len(byID)),
	}
	engines := map[units.ServiceName][]*pick.Engine{}
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		e := byID[id]
		engines[e.Service] = append(engines[e.Service], e)
		next.byAddress[e.Address] = e.Service
	}
	next.addresses = slices.Sorted(maps.Keys(next.byAddress))
	for service, list := range engines {
		next.byService[service] = pick.NewTable(list)
	}
	r.snapshot.Store(next)
}
