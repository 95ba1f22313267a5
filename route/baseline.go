package route

// Random is a baseline policy that chooses an engine at random. Draw returns a number below n.
type Random struct {
	Draw func(n int) int
}

// Choose returns a random candidate, or false without candidates.
func (r Random) Choose(candidates []*View, _ Request) (*View, bool) {
	if len(candidates) == 0 {
		return nil, false
	}
	return candidates[r.Draw(len(candidates))], true
}

// LeastInFlight is a baseline policy that counts only the requests of this process.
type LeastInFlight struct{}

// Choose returns the candidate with the fewest requests in flight from this process.
func (LeastInFlight) Choose(candidates []*View, _ Request) (*View, bool) {
	var best *View
	for _, v := range candidates {
		if best == nil || v.InFlight() < best.InFlight() {
			best = v
		}
	}
	return best, best != nil
}
