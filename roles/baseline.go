package roles

import "github.com/buckthorntrack/buckthorntrack/engine"

// Static is the baseline that never changes a role.
type Static struct{}

// Decide returns no change.
func (Static) Decide(State) (Move, bool) {
	return Move{}, false
}

// Threshold is the baseline that follows the fast average of demand and ignores the cost of a change.
type Threshold struct {
	Settings Settings
}

// Decide returns a move as soon as the rounded share of prefill work requires another number of prefill engines.
func (t Threshold) Decide(s State) (Move, bool) {
	s.Engines = withoutWithdrawn(s.Engines)
	for _, e := range s.Engines {
		if e.Changing {
			return Move{}, false
		}
	}
	present := CountSplit(s.Engines)
	wanted := t.wanted(s.Fast, present.Prefill+present.Decode)
	switch {
	case wanted > present.Prefill:
		return t.shift(s, present, engine.RoleDecode, engine.RolePrefill)
	case wanted < present.Prefill:
		return t.shift(s, present, engine.RolePrefill, engine.RoleDecode)
	default:
		return Move{}, false
	}
}

// wanted returns the number of prefill engines in proportion to the prefill work, and leaves one engine of each role.
func (t Threshold) wanted(d Demand, engines int) int {
	settings := t.Settings
	prefill := d.Input / settings.PrefillPerSecond
	decode := d.Output / settings.DecodePerSecond
	if prefill+decode == 0 || engines < 2 {
		return 0
	}
	wanted := int(prefill/(prefill+decode)*float64(engines) + 0.5)
	return min(max(wanted, 1), engines-1)
}

// shift moves the least busy engine from one role to the other, if the split allows it.
func (t Threshold) shift(s State, present Split, from, to engine.Role) (Move, bool) {
	if _, ok := present.move(from, to); !ok {
		return Move{}, false
	}
	name, ok := leastBusy(s.Engines, from)
	return Move{Engine: name, From: from, To: to}, ok
}
