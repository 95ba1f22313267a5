package limit

// reservedShare is the share of an equal split that a process without demand keeps, so that it can accept its first
// requests at once.
const reservedShare = 0.05

// Visibility is the part of the fleet from which a process receives demand.
type Visibility struct {
	Processes int // including itself
	Places    int // availability zones with a visible process, including the own zone
	AllPlaces int // availability zones in the configuration
}

// LocalShare returns the rate that a process may grant of the limit. The visible processes divide the limit by demand.
// In a partition they divide only the fixed shares of the visible availability zones, so that all sides together keep
// within the limit.
func LocalShare(limit, own float64, others []float64, v Visibility) float64 {
	if v.AllPlaces > 0 {
		limit *= min(float64(v.Places)/float64(v.AllPlaces), 1)
	}
	processes := float64(max(v.Processes, len(others)+1))
	total := own
	for _, d := range others {
		total += d
	}
	equal := limit / processes
	if total <= 0 {
		return equal
	}
	reserved := equal * reservedShare
	return reserved + (limit-reserved*processes)*own/total
}
