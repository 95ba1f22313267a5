package limit

// minShare is the part of an equal share that a process without demand keeps, so that it can start at once.
const minShare = 0.05

// Reach says how much of the fleet a process hears.
type Reach struct {
	Processes int // including itself
	Places    int // availability zones with a process that it hears, including its own
	AllPlaces int // availability zones of the configuration
}

// Split returns the rate that a process may grant of the limit: by demand among the processes that it hears,
// and only the fixed shares of the availability zones that it hears when others are cut off.
func Split(limit, own float64, others []float64, r Reach) float64 {
	if r.AllPlaces > 0 {
		limit *= min(float64(r.Places)/float64(r.AllPlaces), 1)
	}
	processes := float64(max(r.Processes, len(others)+1))
	total := own
	for _, d := range others {
		total += d
	}
	equal := limit / processes
	if total <= 0 {
		return equal
	}
	reserved := equal * minShare
	return reserved + (limit-reserved*processes)*own/total
}
