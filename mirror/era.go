package mirror

import (
	"github.com/buckthorntrack/buckthorntrack/objapi"
)

// keepKnown returns the change with the objects that stay from earlier eras of the platform's store. The store may have come
// back from a copy that lacks what was written to them later. The lock must be held.
func (f *feed) keepKnown(c objapi.Change, full bool) objapi.Change {
	if f.Keep == nil {
		return c
	}
	kept := objapi.Change{Version: c.Version, Newest: c.Newest, Deleted: c.Deleted}
	listed := make(map[string]bool, len(c.Objects))
	for _, o := range c.Objects {
		listed[o.Key] = true
		if known, ok := f.objects[o.Key]; ok && known.Version.Era() < c.Version.Era() && f.outlives(known, o) {
			if !full {
				continue // the sink has it
			}
			o = known
		}
		kept.Objects = append(kept.Objects, o)
	}
	if !full {
		return kept
	}
	for key, known := range f.objects {
		if !listed[key] && known.Version.Era() < c.Version.Era() && f.Keep(known, objapi.Object{}) {
			kept.Objects = append(kept.Objects, known)
		}
	}
	return kept
}

// outlives reports whether an object that is known from an earlier era stays. Another process may have kept a state of the
// same era, and then the versions decide.
func (f *feed) outlives(known, current objapi.Object) bool {
	if known.Version.Era() == current.Version.Era() {
		return known.Version > current.Version
	}
	return f.Keep(known, current)
}
