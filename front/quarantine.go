package front

import (
	"context"
	"crypto/rand"
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
	// ID differs for each quarantine. The store's revision does not, as a store that came back from a copy gives it out again.
	ID string `json:"id,omitempty"`
}

// knownQuarantine identifies a record that was read.
type knownQuarantine struct {
	version units.Version
	id      string
}

// quarantineRecords writes quarantines to the platform.
type quarantineRecords struct {
	store   *objapi.Client
	isFirst func() bool // this process removes the records of quarantines that have ended

	mu    sync.Mutex
	known map[trait.Trait]knownQuarantine
}

func newQuarantineRecords(store *objapi.Client, isFirst func() bool) *quarantineRecords {
	return &quarantineRecords{store: store, isFirst: isFirst, known: map[trait.Trait]knownQuarantine{}}
}

// Put implements trait.Records. Another process may have put the trait in quarantine at the same time.
func (r *quarantineRecords) Put(ctx context.Context, t trait.Trait) error {
	o, err := objapi.Encode(quarantinePrefix+string(t), objapi.Object{}, quarantineRecord{Trait: t, ID: rand.Text()})
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
	k, ok := r.known[t]
	r.mu.Unlock()
	if !ok || !r.isFirst() {
		return nil
	}
	return r.store.Delete(ctx, quarantinePrefix+string(t), k.version)
}

// learn stores the version of a record. It reports whether the record is new or was written again. A store that comes back from a
// copy has the same records in a later era.
func (r *quarantineRecords) learn(t trait.Trait, o objapi.Object) (changed bool) {
	var record quarantineRecord
	_ = o.Decode(&record) // the key names the trait
	next := knownQuarantine{version: o.Version, id: record.ID}
	r.mu.Lock()
	defer r.mu.Unlock()
	before, ok := r.known[t]
	r.known[t] = next
	return !ok || before.id != next.id || next.id == "" && before.version.Revision() != next.version.Revision()
}

// traits returns the traits with records.
func (r *quarantineRecords) traits() []trait.Trait {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.known))
}

func (r *quarantineRecords) forget(t trait.Trait) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.known, t)
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
	for _, t := range s.records.traits() {
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
		if t := traitOf(o.Key); s.records.learn(t, o) {
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
