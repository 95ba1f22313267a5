package roster

import (
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/pace"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// groups holds the engines that are compared with each other for their pace.
type groups struct {
	clock  units.Clock
	byWork map[work]*pace.Group
}

// work is what engines of one group do.
type work struct {
	service units.ServiceName
	role    engine.Role
}

// EnablePace holds back engines that start, come back or become slow. Call it before the first change of the table.
func (r *Roster) EnablePace(clock units.Clock) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pace = &groups{clock: clock, byWork: map[work]*pace.Group{}}
}

// hasRead reports whether the table has had engines. Those in the first list of a process have no known start.
func (r *Roster) hasRead() bool {
	return r.snapshot.Load().version > 0
}

// add compares an engine with those that do the same work. Started reports that it is new or has changed its role.
func (g *groups) add(e *pick.Engine, started bool) {
	if g == nil {
		return
	}
	key := work{service: e.Service, role: e.Role}
	if g.byWork[key] == nil {
		g.byWork[key] = &pace.Group{}
	}
	e.Compare(g.byWork[key])
	if started {
		e.StartPace(e.ColdFor > 0, g.clock())
	}
}

// HeldBack calls a function for each engine that is held back by its pace.
func (r *Roster) HeldBack(each func(e *pick.Engine, h pace.Held)) {
	for _, e := range r.snapshot.Load().byID {
		if h, ok := e.HeldBack(); ok {
			each(e, h)
		}
	}
}
