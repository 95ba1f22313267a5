package pick

import (
	"slices"

	"github.com/buckthorntrack/buckthorntrack/digest"
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// homes is the number of engines of a region and role that all processes prefer for a prompt with the same shared
	// segments, in the same order: the next one is used when the one before is busy, so that few engines prefill them.
	homes = 3
	// drawnCandidates is the number of engines of the home region that are drawn for one request and role, beside the
	// homes. With many processes, comparing all engines would send the requests of all of them to the same best one, and
	// the load of each has to be asked for.
	drawnCandidates = 1
	// remoteCandidates is the number of engines of each other region that are compared.
	remoteCandidates = 2
	// maxCandidates bounds the engines that are compared for one request and role.
	maxCandidates = 24
	// drawsPerCandidate bounds the draws that find a healthy engine.
	drawsPerCandidate = 3
	// extraDraws bounds the further draws while no engine is found that may get a request by its limit.
	extraDraws = 8
	// minSharedCost is the time to prefill shared segments from which they are kept in one region only: twice the round
	// trip between regions.
	minSharedCost = 4 * regionDelay
	// smallGroup is the number of engines of a region and role up to which all are compared.
	smallGroup = 8
)

// tableRole is the part of a request that an engine may take.
type tableRole int

const (
	rolePrefill tableRole = iota // engines that only prefill
	roleRun                      // engines that run requests
	tableRoles
)

// Table holds the engines of a service by region and role. It is immutable.
type Table struct {
	engines   []*Engine
	regions   []regionGroup
	versions  []units.SoftwareVersion          // of the engines that run requests and are not leaving, sorted
	byVersion map[units.SoftwareVersion]*Table // the table itself if there is one version
}

type regionGroup struct {
	region units.RegionName
	byRole [tableRoles][]*Engine // without engines that are leaving
}

// NewTable returns the table of the engines.
func NewTable(engines []*Engine) *Table {
	t := newTable(engines)
	byVersion := map[units.SoftwareVersion][]*Engine{}
	for _, e := range engines {
		byVersion[e.Version] = append(byVersion[e.Version], e)
	}
	t.byVersion = make(map[units.SoftwareVersion]*Table, len(byVersion))
	for version, list := range byVersion {
		of := t
		if len(byVersion) > 1 {
			of = newTable(list)
			of.byVersion = map[units.SoftwareVersion]*Table{version: of}
		}
		t.byVersion[version] = of
		if of.runners() > 0 {
			t.versions = append(t.versions, version)
		}
	}
	slices.Sort(t.versions)
	return t
}

// Of returns the table of the engines with a software version, nil if there are none.
func (t *Table) Of(version units.SoftwareVersion) *Table {
	if t == nil {
		return nil
	}
	return t.byVersion[version]
}

// Versions returns the software versions of the engines that run requests. The slice must not be modified.
func (t *Table) Versions() []units.SoftwareVersion {
	if t == nil {
		return nil
	}
	return t.versions
}

// RunnersByVersion returns the number of engines that run requests, by software version.
func (t *Table) RunnersByVersion() map[units.SoftwareVersion]int {
	counts := make(map[units.SoftwareVersion]int, len(t.versions))
	for _, version := range t.versions {
		counts[version] = t.byVersion[version].runners()
	}
	return counts
}

// runners returns the number of engines that run requests and are not leaving.
func (t *Table) runners() int {
	count := 0
	for i := range t.regions {
		count += len(t.regions[i].byRole[roleRun])
	}
	return count
}

func newTable(engines []*Engine) *Table {
	t := &Table{engines: engines}
	for _, e := range engines {
		if e.Leaving {
			continue
		}
		role := roleRun
		if e.Role == engine.RolePrefill {
			role = rolePrefill
		}
		g := t.group(e.Region)
		g.byRole[role] = append(g.byRole[role], e)
	}
	return t
}

// Engines returns all engines, including leaving ones. The slice must not be modified.
func (t *Table) Engines() []*Engine {
	if t == nil {
		return nil
	}
	return t.engines
}

func (t *Table) group(region units.RegionName) *regionGroup {
	i := slices.IndexFunc(t.regions, func(g regionGroup) bool { return g.region == region })
	if i < 0 {
		i = len(t.regions)
		t.regions = append(t.regions, regionGroup{region: region})
	}
	return &t.regions[i]
}

// candidate is an engine that is compared with others for a request, with its state at that time.
type candidate struct {
	engine    *Engine
	load      Load
	cached    units.Tokens // leading tokens of the prompt that are expected in the engine's KV cache
	preferred bool         // all processes prefer it for the prompt's shared segments
}

// candidates is a bounded list without allocations.
type candidates struct {
	all   [maxCandidates]candidate
	count int
}

func (c *candidates) list() []candidate {
	return c.all[:c.count]
}

func (c *candidates) has(e *Engine) bool {
	for i := range c.list() {
		if c.all[i].engine.ID == e.ID {
			return true
		}
	}
	return false
}

// add adds an engine with its state, unless it is already in the list, the list is full, or the engine has had as many
// requests as its limit allows.
func (c *candidates) add(e *Engine, r *Request, preferred bool) {
	if c.count == maxCandidates || c.has(e) {
		return
	}
	added := &c.all[c.count]
	added.engine, added.preferred = e, preferred
	e.readLoad(r.Now, &added.load)
	if added.load.NoPermit && !r.AnyPermits {
		return
	}
	if len(r.Prompt) > 0 {
		added.cached = e.CachedTokens(r.Prompt, r.Now)
	}
	c.count++
}

// keepHealthy drops excluded engines unless all are.
func (c *candidates) keepHealthy() {
	kept := 0
	for i := range c.list() {
		if !c.all[i].load.Excluded {
			kept++
		}
	}
	if kept == 0 || kept == c.count {
		return
	}
	kept = 0
	for i := range c.list() {
		if !c.all[i].load.Excluded {
			c.all[kept] = c.all[i]
			kept++
		}
	}
	c.count = kept
}

// selectCandidates fills the list with engines of the role: the homes of the prompt, and further ones that are drawn if
// there are many. Engines that were tried before are left out, and excluded engines unless all others are.
func (t *Table) selectCandidates(c *candidates, role tableRole, r *Request, draw *draw) {
	if t == nil {
		return
	}
	preferredRegion := t.preferredRegion(role, t.homeRegion(r))
	for i := range t.regions {
		g := &t.regions[i]
		engines := g.byRole[role]
		if r.HomeOnly && g.region != preferredRegion {
			continue
		}
		limit := remoteCandidates
		if g.region == preferredRegion {
			limit = drawnCandidates
			found := homesOf(engines, r)
			for i, e := range found {
				if e == nil {
					limit++ // a prompt without shared segments has no home
					continue
				}
				c.add(e, r, i == 0 && role == rolePrefill)
			}
		}
		selectFrom(c, engines, limit, r, draw)
	}
	c.keepHealthy()
}

// Considered returns the engines that Choose compares for the request, with those that have no permits here: the processes
// that count them are asked.
func Considered(t *Table, r Request) []*Engine {
	r.AnyPermits = true
	draw := newDraw(r.Seed)
	var prefills, runs candidates
	if len(r.Prompt) > 0 {
		t.selectCandidates(&prefills, rolePrefill, &r, &draw)
	}
	t.selectCandidates(&runs, roleRun, &r, &draw)
	engines := make([]*Engine, 0, prefills.count+runs.count)
	for _, list := range [][]candidate{prefills.list(), runs.list()} {
		for i := range list {
			engines = append(engines, list[i].engine)
		}
	}
	return engines
}

// homeRegion returns the region that serves prompts with the same shared segments. It is the local one, unless these
// segments take so long to prefill that all regions should share one copy of them.
func (t *Table) homeRegion(r *Request) units.RegionName {
	parts := Shared(r.Prompt)
	if !r.ShareHomes || len(parts) == 0 {
		return r.Region
	}
	if cost, _ := r.Estimator.Estimate(Total(parts), 0); cost < minSharedCost {
		return r.Region
	}
	part := digest.Sum64(string(parts[len(parts)-1].ID))
	home, highest := r.Region, uint64(0)
	for i := range t.regions {
		for _, e := range t.regions[i].byRole[rolePrefill] {
			if weight := digest.Combine(e.hash, part); weight > highest {
				home, highest = e.Region, weight
			}
		}
	}
	return home
}

// preferredRegion returns the region whose engines are preferred: the home region if it has engines of the role.
func (t *Table) preferredRegion(role tableRole, home units.RegionName) units.RegionName {
	fallback := home
	for i := range t.regions {
		g := &t.regions[i]
		if len(g.byRole[role]) == 0 {
			continue
		}
		if g.region == home {
			return home
		}
		fallback = g.region
	}
	return fallback
}

// selectFrom adds all engines of a small group, and up to limit drawn ones of a large one.
func selectFrom(c *candidates, engines []*Engine, limit int, r *Request, draw *draw) {
	if len(engines) <= smallGroup {
		for _, e := range engines {
			if !slices.Contains(r.Avoid, e.ID) {
				c.add(e, r, false)
			}
		}
		return
	}
	for n := 0; n < limit || c.count == 0 && n < limit+extraDraws; n++ {
		e := drawHealthy(engines, r, draw)
		if !slices.Contains(r.Avoid, e.ID) {
			c.add(e, r, false)
		}
	}
}

// drawHealthy draws an engine that is not avoided, or any engine after several attempts.
func drawHealthy(engines []*Engine, r *Request, draw *draw) *Engine {
	e := engines[draw.next(len(engines))]
	for range drawsPerCandidate - 1 {
		if !e.isAvoided(r.Now) {
			break
		}
		e = engines[draw.next(len(engines))]
	}
	return e
}

// homesOf returns the engines that all processes prefer for prompts with the same shared segments, by rendezvous
// hashing, best first. Missing ones are nil.
func homesOf(engines []*Engine, r *Request) (found [homes]*Engine) {
	parts := Shared(r.Prompt)
	if len(parts) == 0 {
		return found
	}
	part := digest.Sum64(string(parts[len(parts)-1].ID))
	var weights [homes]uint64
	for _, e := range engines {
		weight := digest.Combine(e.hash, part)
		if (found[homes-1] != nil && weight <= weights[homes-1]) || slices.Contains(r.Avoid, e.ID) {
			continue
		}
		i := homes - 1
		for ; i > 0 && (found[i-1] == nil || weight > weights[i-1]); i-- {
			found[i], weights[i] = found[i-1], weights[i-1]
		}
		found[i], weights[i] = e, weight
	}
	return found
}

// draw is a sequence of pseudo-random numbers.
type draw struct {
	state uint64
}

func newDraw(seed uint64) draw {
	return draw{state: seed}
}

// next returns a number from 0 to n-1.
func (d *draw) next(n int) int {
	d.state += 0x9e3779b97f4a7c15
	return int(digest.Mix(d.state) % uint64(n))
}
