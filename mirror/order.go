package mirror

import (
	"cmp"
	"slices"

	"github.com/buckthorntrack/buckthorntrack/digest"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// Fanout is the number of processes that follow one process while all are healthy. The processes of a region form
	// a tree, so that the cost of each does not grow with their number.
	Fanout = 16
	// outageReaders is the number of processes of a region that try to reach the platform during an outage. Any other
	// process takes as many others that cannot reach it for an outage.
	outageReaders = 5
	// RegionReaders is the number of processes of each region that are told of new versions.
	RegionReaders = 2
)

// Member is a process that may be followed.
type Member struct {
	Name    units.ProcessName
	Address string
	Place   units.PlaceName // empty if not known
	Region  units.RegionName
}

// sourceHealth says whether a process can be followed.
type sourceHealth int

const (
	sourceUsable  sourceHealth = iota
	sourceLost                 // it cannot reach the platform
	sourceSuspect              // it does not answer, or is behind
)

// choice is the decision whom to follow. Without follow the process reads the platform itself.
type choice struct {
	source Member
	follow bool
	lost   bool // the source cannot reach the platform, and neither can the others
	rank   int  // number of processes that precede this one
}

// predecessors returns the members of self's region that precede it in the order of the hashes of their names. Each
// process follows a predecessor only, so that there are no cycles whatever each believes of the others.
func predecessors(self Member, members []Member) []Member {
	own := digest.Sum64(string(self.Name))
	var before []Member
	for _, m := range members {
		if m.Region == self.Region && m.Name != self.Name && digest.Sum64(string(m.Name)) < own {
			before = append(before, m)
		}
	}
	slices.SortFunc(before, func(a, b Member) int {
		return cmp.Compare(digest.Sum64(string(a.Name)), digest.Sum64(string(b.Name)))
	})
	return before
}

// isFirst reports whether no member of any region precedes the named process.
func isFirst(name units.ProcessName, members []Member) bool {
	own := digest.Sum64(string(name))
	return !slices.ContainsFunc(members, func(m Member) bool { return digest.Sum64(string(m.Name)) < own })
}

// chooseSource selects the parent in a tree of the usable predecessors. In an outage few processes try to read the
// platform, and all others follow one that has lost it.
func chooseSource(before []Member, health func(units.ProcessName) sourceHealth) choice {
	var usable, lost []Member
	for _, m := range before {
		switch health(m.Name) {
		case sourceUsable:
			usable = append(usable, m)
		case sourceLost:
			lost = append(lost, m)
		case sourceSuspect:
		}
	}
	switch {
	case len(lost) >= outageReaders:
		return choice{source: parent(lost), follow: true, lost: true, rank: len(before)}
	case len(usable) > 0:
		return choice{source: parent(usable), follow: true, rank: len(before)}
	default:
		return choice{rank: len(before)}
	}
}

// parent returns the parent of the process after the last one, in a complete tree in which each has fanout children.
func parent(before []Member) Member {
	return before[(len(before)-1)/Fanout]
}

// FirstOfRegions returns the first processes of each region, which usually read the platform.
func FirstOfRegions(members []Member) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Compare(digest.Sum64(string(a.Name)), digest.Sum64(string(b.Name)))
	})
	count := map[units.RegionName]int{}
	var first []Member
	for _, m := range sorted {
		if count[m.Region] < RegionReaders {
			count[m.Region]++
			first = append(first, m)
		}
	}
	return first
}
