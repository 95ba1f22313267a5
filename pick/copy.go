package pick

import (
	"github.com/buckthorntrack/buckthorntrack/digest"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// minCopiedTokens is the number of missing shared tokens from which an engine copies them from another one: a transfer has a fixed
// part, and prefilling fewer tokens takes no longer.
const minCopiedTokens units.Tokens = 256

// copySource returns the engine from which the engine of a candidate is to copy shared segments that it lacks, nil for none: the
// candidate that has the most of them, or else the one that all processes prefer for them, whatever its region.
func copySource(t *Table, c *candidate, list []candidate, role tableRole, r *Request) *Engine {
	if Total(Shared(r.Prompt))-c.cached < minCopiedTokens {
		return nil
	}
	var source *Engine
	most := c.cached
	for i := range list {
		if list[i].cached > most && list[i].engine.ID != c.engine.ID && !list[i].load.Excluded {
			source, most = list[i].engine, list[i].cached
		}
	}
	if source != nil {
		return source
	}
	if home := t.homeOf(role, r); home != nil && home.ID != c.engine.ID && !home.isAvoided(r.Now) {
		return home // it may have them
	}
	return nil
}

// homeOf returns the engine of a role that all processes prefer for the prompt's shared segments over all regions.
func (t *Table) homeOf(role tableRole, r *Request) *Engine {
	parts := Shared(r.Prompt)
	if len(parts) == 0 {
		return nil
	}
	part := digest.Sum64(string(parts[len(parts)-1].ID))
	var home *Engine
	var highest uint64
	for i := range t.regions {
		for _, e := range t.regions[i].byRole[role] {
			if weight := digest.Combine(e.hash, part); home == nil || weight > highest {
				home, highest = e, weight
			}
		}
	}
	return home
}
