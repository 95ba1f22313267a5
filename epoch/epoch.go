// Package epoch says which software version of a service a stream belongs to, by the id of the request that began it, so
// that all processes say the same without having seen the stream.
package epoch

import (
	"maps"
	"slices"
	"strconv"

	"github.com/buckthorntrack/buckthorntrack/digest"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// shareUnits is the sum of the shares of an epoch.
	shareUnits = 64
	// maxDrift is how far, in shareUnits, a share may be from the version's share of the engines.
	maxDrift = 12
	// maxDriftEpochs is the number of epochs from which shares follow the engines only if a version appears or goes.
	maxDriftEpochs = 8
)

// Shares holds the share of the new streams that each version gets during an epoch, in shareUnits.
type Shares map[units.SoftwareVersion]int

// Record holds the epochs of a service, the current one last. Streams of the earlier ones may still be taken up.
type Record struct {
	Sequence int64    `json:"sequence"` // rises with each change
	Epochs   []Shares `json:"epochs"`
}

// sharesOf returns the shares for the number of engines of each version.
func sharesOf(engines map[units.SoftwareVersion]int) Shares {
	total := 0
	for _, n := range engines {
		total += n
	}
	s := make(Shares, len(engines))
	for version, n := range engines {
		if n > 0 {
			s[version] = max((shareUnits*n+total/2)/total, 1)
		}
	}
	return s
}

// versionOf returns the version of a stream by rendezvous hashing: when a share rises, streams move to that version only.
func (s Shares) versionOf(stream uint64) units.SoftwareVersion {
	var best units.SoftwareVersion
	highest := uint64(0)
	for version, share := range s {
		if len(s) == 1 {
			return version
		}
		for n := range share {
			weight := digest.Combine(stream, digest.Sum64(string(version), "\n", strconv.Itoa(n)))
			if weight > highest || weight == highest && version < best {
				best, highest = version, weight
			}
		}
	}
	return best
}

// current returns the shares of new streams, nil for an empty record.
func (r Record) current() Shares {
	if len(r.Epochs) == 0 {
		return nil
	}
	return r.Epochs[len(r.Epochs)-1]
}

// versionOf returns the version of a stream that began in any of the epochs, and false if they differ.
func (r Record) versionOf(stream uint64) (version units.SoftwareVersion, ok bool) {
	for i, s := range r.Epochs {
		v := s.versionOf(stream)
		if i > 0 && v != version {
			return "", false
		}
		version = v
	}
	return version, len(r.Epochs) > 0
}

// next returns the record with an epoch for the engines that run requests now, and false if the current one fits. Before the
// first record, streams may have begun at the version before, if there was only one.
func (r Record) next(engines map[units.SoftwareVersion]int, before Shares) (Record, bool) {
	wanted, current := sharesOf(engines), r.current()
	if len(wanted) == 0 || !differs(current, wanted, len(r.Epochs) < maxDriftEpochs) {
		return Record{}, false
	}
	epochs := slices.Clone(r.Epochs)
	if len(epochs) == 0 && len(before) == 1 && !maps.Equal(before, wanted) {
		epochs = append(epochs, before)
	}
	return Record{Sequence: r.Sequence + 1, Epochs: append(epochs, wanted)}, true
}

// differs reports whether the versions differ or, if that is asked for, a share is far from the wanted one.
func differs(current, wanted Shares, drift bool) bool {
	for version, share := range wanted {
		known, ok := current[version]
		if !ok || drift && max(known-share, share-known) > maxDrift {
			return true
		}
	}
	return len(current) != len(wanted)
}

// pruned returns the record with the current epoch only.
func (r Record) pruned() Record {
	return Record{Sequence: r.Sequence + 1, Epochs: []Shares{r.current()}}
}

// isMixed reports whether streams of several versions may be taken up.
func (r Record) isMixed() bool {
	var versions Shares
	for _, s := range r.Epochs {
		if versions != nil && !slices.Equal(slices.Sorted(maps.Keys(s)), slices.Sorted(maps.Keys(versions))) {
			return true
		}
		versions = s
	}
	return len(versions) > 1
}
