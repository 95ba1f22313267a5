package route

// Random is the baseline that chooses any engine.
type Random struct {
	Draw func(n int) int
}

// Choose returns any candidate.
func (r Random) Choose(candidates []*View, _ Ask) (*View, bool) {
	if len(candidates) == 0 {
		return nil, false
	}
	return candidates[r.Draw(len(candidates))], true
}

// LeastInFlight is the baseline that chooses by this process's own counts.
type LeastInFlight struct{}

// Choose returns the candidate with the fewest own requests.
func (LeastInFlight) Choose(candidates []*View, _ Ask) (*View, bool) {
	var best *View
	for _, v := range candidates {
		if best == nil || v.InFlight() < best.InFlight() {
			best = v
		}
	}
	return best, best != nil
}
