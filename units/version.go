package units

// Era counts how often the platform's store came back from an older copy of itself.
type Era int64

// Version is the version of an object, or of all objects, in the platform's store. It combines the era with the store's
// revision, which a store that came back from a copy gives out again: each version of a later era is greater, whatever its
// revision. Versions are therefore compared as numbers; revisions do not order states of different eras. Zero means absent.
type Version int64

const (
	revisionBits = 40
	maxRevision  = 1<<revisionBits - 1
)

// MaxEra is the greatest era that a version can hold.
const MaxEra Era = 1<<(63-revisionBits) - 1

// Era returns the era of the version.
func (v Version) Era() Era {
	return Era(v >> revisionBits)
}

// Revision returns the store's revision, which identifies the version within its era.
func (v Version) Revision() int64 {
	return int64(v & maxRevision)
}

// In returns the version with the same revision in an era. An absent version stays absent.
func (v Version) In(e Era) Version {
	if v == 0 {
		return 0
	}
	return Version(e)<<revisionBits | v&maxRevision
}
