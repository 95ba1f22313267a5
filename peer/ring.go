package peer

import (
	"cmp"
	"slices"

	"github.com/buckthorntrack/buckthorntrack/digest"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// localNeighbours is the number of processes that a process dials in its own availability zone.
	localNeighbours = 3
	// remoteNeighbours is the number of processes that a process dials in each other availability zone.
	remoteNeighbours = 1
)

// Neighbours returns the contacts that self dials: seeds without a name, its successors on the hash ring of its own
// availability zone, and in each other zone the contacts with the highest rendezvous hash.
func Neighbours(self Contact, contacts []Contact) []Contact {
	byPlace := map[units.PlaceName][]Contact{}
	var chosen []Contact
	for _, c := range contacts {
		switch {
		case c.Name == "":
			chosen = append(chosen, c)
		case c.Name != self.Name:
			byPlace[c.Place] = append(byPlace[c.Place], c)
		}
	}
	for place, candidates := range byPlace {
		if place == self.Place {
			chosen = append(chosen, successors(self, candidates)...)
			continue
		}
		chosen = append(chosen, highestWeights(self, candidates)...)
	}
	slices.SortFunc(chosen, func(a, b Contact) int { return cmp.Compare(a.Address, b.Address) })
	return chosen
}

// successors returns the contacts that follow self on a ring ordered by the hash of the names.
func successors(self Contact, candidates []Contact) []Contact {
	start := digest.Sum64(string(self.Name))
	slices.SortFunc(candidates, func(a, b Contact) int {
		return cmp.Or(cmp.Compare(digest.Sum64(string(a.Name))-start, digest.Sum64(string(b.Name))-start),
			cmp.Compare(a.Name, b.Name))
	})
	return candidates[:min(localNeighbours, len(candidates))]
}

func highestWeights(self Contact, candidates []Contact) []Contact {
	slices.SortFunc(candidates, func(a, b Contact) int {
		return cmp.Or(cmp.Compare(weight(self, b), weight(self, a)), cmp.Compare(a.Name, b.Name))
	})
	return candidates[:min(remoteNeighbours, len(candidates))]
}

// weight returns the rendezvous hash of a pair of contacts.
func weight(self, other Contact) uint64 {
	return digest.Sum64(string(self.Name) + "/" + string(other.Name))
}

func compareNames(a, b units.ProcessName) int {
	return cmp.Compare(a, b)
}
