package roles

import "github.com/buckthorntrack/buckthorntrack/engine"

// Static is the baseline that never changes a role.
type Static struct{}

// Decide returns no change.
func (Static) Decide(State) (Move, bool) {
	return Move{}, false
}

// Threshold is the baseline that follows the present mix at fixed ratios, without regard to costs.
type Threshold struct {
	Settings Settings
}

// Decide moves an engine as soon as one role has more than a whole engine's work more than its part.
func (t Threshold) Decide(s State) (Move, bool) {
	s.Engines = remaining(s.Engines)
	for _, e := range s.Engines {
		if e.Away {
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

// wanted returns the number of prefilling engines that the mix asks for.
func (t Threshold) wanted(d Demand, engines int) int {
	p := t.Settings
	prefill := d.Input / p.PrefillPerSecond
	decode := d.Output / p.DecodePerSecond
	if prefill+decode == 0 || engines < 2 {
		return 0
	}
	wanted := int(prefill/(prefill+decode)*float64(engines) + 0.5)
	return min(max(wanted, 1), engines-1)
}

func (t Threshold) shift(s State, present Split, from, to engine.Role) (Move, bool) {
	if _, ok := present.move(from, to); !ok {
		return Move{}, false
	}
	name, ok := leastBusy(s.Engines, from)
	return Move{Engine: name, From: from, To: to}, ok
}
