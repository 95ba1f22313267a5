package front

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/buckthorntrack/buckthorntrack/mirror"
	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/trait"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// quarantinePrefix is the key prefix of the objects that hold the traits in quarantine on the platform.
const quarantinePrefix = "quarantine/"

// quarantineRecord is the value of such an object.
type quarantineRecord struct {
	Trait trait.Trait `json:"trait"`
}

// quarantineRecords writes quarantines to the platform.
type quarantineRecords struct {
	store   *objapi.Client
	isFirst func() bool // this process removes the records of quarantines that have ended

	mu       sync.Mutex
	versions map[trait.Trait]units.Version // of the known records
}

// Put implements trait.Records. Another process may have put the trait in quarantine at the same time.
func (r *quarantineRecords) Put(ctx context.Context, t trait.Trait) error {
	o, err := objapi.Encode(quarantinePrefix+string(t), objapi.Object{}, quarantineRecord{Trait: t})
	if err != nil {
		return err
	}
	if _, err = r.store.Put(ctx, o); errors.Is(err, objapi.ErrConflict) {
		return nil
	}
	return err
}

// Expire implements trait.Records.
func (r *quarantineRecords) Expire(ctx context.Context, t trait.Trait) error {
	r.mu.Lock()
	version, ok := r.versions[t]
	r.mu.Unlock()
	if !ok || !r.isFirst() {
		return nil
	}
	return r.store.Delete(ctx, quarantinePrefix+string(t), version)
}

// setVersion stores the version of a record. It reports whether the record is new or was written again. A store that comes
// back from a copy has the same records in a later era.
func (r *quarantineRecords) setVersion(t trait.Trait, v units.Version) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.versions[t]
	changed = !ok || known.Revision() != v.Revision()
	r.versions[t] = v
	return changed
}

// known returns the traits with records.
func (r *quarantineRecords) known() []trait.Trait {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.versions))
}

func (r *quarantineRecords) forget(t trait.Trait) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.versions, t)
}

// quarantineSink applies the quarantines on the platform to the detector. A quarantine that ended here earlier is not
// begun again by its record.
type quarantineSink struct {
	detector *trait.Detector
	records  *quarantineRecords
}

// Replace implements mirror.Sink. Quarantines that this process has found and not recorded yet stay.
func (s *quarantineSink) Replace(c objapi.Change) {
	listed := map[trait.Trait]bool{}
	for _, o := range c.Objects {
		listed[traitOf(o.Key)] = true
	}
	for _, t := range s.records.known() {
		if !listed[t] {
			c.Deleted = append(c.Deleted, quarantinePrefix+string(t))
		}
	}
	s.Apply(c)
}

// Apply implements mirror.Sink.
func (s *quarantineSink) Apply(c objapi.Change) {
	for _, key := range c.Deleted {
		s.records.forget(traitOf(key))
		s.detector.Release(traitOf(key))
	}
	for _, o := range c.Objects {
		if t := traitOf(o.Key); s.records.setVersion(t, o.Version) {
			s.detector.Learn(t, trait.Quarantine, "platform")
		}
		if o.Version.Era() < c.Version.Era() && s.records.isFirst() {
			s.detector.Record(traitOf(o.Key))
		}
	}
}

// keep is the feed's Keep. A quarantine that a copy of the store lacks stays, and is recorded again.
func (*quarantineSink) keep(_, current objapi.Object) bool {
	return current.Key == ""
}

// SetOutage implements mirror.Sink. The known quarantines stay.
func (*quarantineSink) SetOutage(mirror.Outage) {}

func traitOf(key string) trait.Trait {
	return trait.Trait(strings.TrimPrefix(key, quarantinePrefix))
}
