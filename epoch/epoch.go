// Package epoch says which software version of a service a stream belongs to, by the id of the request that began it, so
// that all processes say the same without having seen the stream.
package epoch

import (
	"encoding/base64"
	"encoding/binary"
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
	// hashBytes is the length of the hash of a stream.
	hashBytes = 8
)

// Shares holds the share of the new streams that each version gets during an epoch, in shareUnits.
type Shares map[units.SoftwareVersion]int

// Epoch is a time during which the shares were in force.
type Epoch struct {
	Since  int64  `json:"since"` // sequence of the record in which it began
	Shares Shares `json:"shares"`
}

// Record holds the epochs of a service, the current one last. Streams of the earlier ones may still be taken up.
type Record struct {
	Sequence int64   `json:"sequence"` // rises with each change
	Epochs   []Epoch `json:"epochs"`
	// Left holds the versions of streams of earlier epochs that are no longer listed, by StreamID.
	Left map[StreamID]units.SoftwareVersion `json:"left,omitempty"`
}

// StreamID is the hash of a service and of the id of the request that began a stream, in base 64.
type StreamID string

// isAt reports whether the shares map the stream to the version.
func (id StreamID) isAt(version units.SoftwareVersion, shares Shares) bool {
	stream, ok := id.hash()
	return ok && shares.versionOf(stream) == version
}

// IDOf returns the StreamID of the stream that a request began.
func IDOf(service units.ServiceName, id units.RequestID) StreamID {
	return idOf(streamOf(service, id))
}

// hash returns the hash that the identifier stands for, and false if it is malformed.
func (id StreamID) hash() (uint64, bool) {
	hash, err := base64.RawURLEncoding.DecodeString(string(id))
	if err != nil || len(hash) != hashBytes {
		return 0, false
	}
	return binary.BigEndian.Uint64(hash), true
}

func idOf(stream uint64) StreamID {
	return StreamID(base64.RawURLEncoding.EncodeToString(binary.BigEndian.AppendUint64(nil, stream)))
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
	return r.Epochs[len(r.Epochs)-1].Shares
}

// currentSince returns the sequence of the record in which the current epoch began, zero for an empty record.
func (r Record) currentSince() int64 {
	if len(r.Epochs) == 0 {
		return 0
	}
	return r.Epochs[len(r.Epochs)-1].Since
}

// versionOf returns the version of a stream that is listed or began in any of the epochs, and false if they differ.
func (r Record) versionOf(stream uint64) (version units.SoftwareVersion, ok bool) {
	if version, ok = r.Left[idOf(stream)]; ok {
		return version, true
	}
	for i, e := range r.Epochs {
		v := e.Shares.versionOf(stream)
		if i > 0 && v != version {
			return "", false
		}
		version = v
	}
	return version, len(r.Epochs) > 0
}

// equal reports whether the records are the same.
func (r Record) equal(other Record) bool {
	sameEpoch := func(a, b Epoch) bool { return a.Since == b.Since && maps.Equal(a.Shares, b.Shares) }
	return r.Sequence == other.Sequence && slices.EqualFunc(r.Epochs, other.Epochs, sameEpoch) && maps.Equal(r.Left, other.Left)
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
		epochs = append(epochs, Epoch{Shares: before})
	}
	sequence := r.Sequence + 1
	return Record{Sequence: sequence, Epochs: append(epochs, Epoch{Since: sequence, Shares: wanted}), Left: r.Left}, true
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

// pruned returns the record without the leading epochs of which no stream can be taken up any more, and false if there are
// none. Over reports that of the epoch that ended with the sequence.
func (r Record) pruned(over func(ended int64) bool) (Record, bool) {
	n := 0
	for n < len(r.Epochs)-1 && over(r.Epochs[n+1].Since) {
		n++
	}
	return Record{Sequence: r.Sequence + 1, Epochs: slices.Clone(r.Epochs[n:]), Left: r.Left}, n > 0
}

// isMixed reports whether streams of several versions may be taken up.
func (r Record) isMixed() bool {
	var versions Shares
	for _, e := range r.Epochs {
		s := e.Shares
		if versions != nil && !slices.Equal(slices.Sorted(maps.Keys(s)), slices.Sorted(maps.Keys(versions))) {
			return true
		}
		versions = s
	}
	return len(versions) > 1
}
