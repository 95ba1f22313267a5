package peer

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// MaxEntries bounds the entries of a table.
	MaxEntries = 16 << 10
	// maxEntryBytes bounds the value of one entry.
	maxEntryBytes = 64 << 10
	// beatEntries bounds the entries of one heartbeat.
	beatEntries = 256
)

// Value is one entry as readers see it. It must not be changed.
type Value struct {
	Key     string
	Version int64
	Born    time.Time // earliest time at which the entry can have been made
	Data    []byte
	Gone    bool // the entry was dropped
}

// Decode reads the value's CBOR into v.
func (v Value) Decode(target any) error {
	return decoder.Unmarshal(v.Data, target)
}

// record is one entry of a table.
type record struct {
	Value

	life   time.Duration
	global bool
	stamp  uint64 // local count of changes
	source *Link  // link that the entry came from, nil for own entries
}

// observer is told of changes under a prefix.
type observer struct {
	prefix string
	notify func(Value)
}

// Table is the state that processes share: a set of entries of which the larger version wins.
type Table struct {
	clock     units.Clock
	mu        sync.RWMutex
	records   map[string]*record
	stamp     uint64
	observers []observer
}

// NewTable returns an empty table.
func NewTable(clock units.Clock) *Table {
	return &Table{clock: clock, records: map[string]*record{}}
}

// Observe calls notify after each change under the prefix. It must be called before the table is shared.
func (t *Table) Observe(prefix string, notify func(Value)) {
	t.observers = append(t.observers, observer{prefix: prefix, notify: notify})
}

// Put sets an own entry. Version zero means one more than the present version.
func (t *Table) Put(key string, version int64, life time.Duration, global bool, v any) error {
	data, err := encoder.Marshal(v)
	if err != nil {
		return err
	}
	t.mu.Lock()
	now := t.clock()
	if version == 0 {
		version = t.nextVersion(key, now)
	}
	r := &record{Value: Value{Key: key, Version: version, Born: now, Data: data}, life: life, global: global}
	stored := t.store(r)
	t.mu.Unlock()
	if stored {
		t.notify(r.Value)
	}
	return nil
}

// Get returns one entry.
func (t *Table) Get(key string) (Value, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.records[key]
	if !ok {
		return Value{}, false
	}
	return r.Value, true
}

// Under returns the entries whose key has the prefix, in the order of keys.
func (t *Table) Under(prefix string) []Value {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var values []Value
	for key, r := range t.records {
		if strings.HasPrefix(key, prefix) {
			values = append(values, r.Value)
		}
	}
	slices.SortFunc(values, func(a, b Value) int { return cmp.Compare(a.Key, b.Key) })
	return values
}

// Len returns the number of entries.
func (t *Table) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.records)
}

// nextVersion grows over restarts of the process as long as its clock does not go back.
func (t *Table) nextVersion(key string, now time.Time) int64 {
	version := now.UnixMicro()
	if r, ok := t.records[key]; ok {
		version = max(version, r.Version+1)
	}
	return version
}

// merge takes an entry that came over the link. The entry cannot be older than born.
func (t *Table) merge(source *Link, e wire.Entry, born time.Time) {
	if len(e.Data) > maxEntryBytes || e.LifeMS <= 0 {
		return
	}
	r := &record{
		Value:  Value{Key: e.Key, Version: e.Version, Born: born, Data: e.Data},
		life:   time.Duration(e.LifeMS) * time.Millisecond,
		global: e.Global,
		source: source,
	}
	t.mu.Lock()
	stored := t.store(r)
	t.mu.Unlock()
	if stored {
		t.notify(r.Value)
	}
}

func (t *Table) store(r *record) bool {
	old, ok := t.records[r.Key]
	if ok && old.Version >= r.Version {
		return false
	}
	if !ok && len(t.records) >= MaxEntries {
		return false
	}
	if t.clock().Sub(r.Born) >= r.life {
		return false
	}
	t.stamp++
	r.stamp = t.stamp
	t.records[r.Key] = r
	return true
}

// expire drops entries that have reached their age.
func (t *Table) expire() {
	now := t.clock()
	t.mu.Lock()
	var gone []Value
	for key, r := range t.records {
		if now.Sub(r.Born) >= r.life {
			delete(t.records, key)
			dropped := r.Value
			dropped.Gone = true
			gone = append(gone, dropped)
		}
	}
	t.mu.Unlock()
	for _, v := range gone {
		t.notify(v)
	}
}

// changes returns the entries that the link has not been sent, the oldest change first,
// and the stamp up to which it will have been sent them.
func (t *Table) changes(link *Link, after uint64, samePlace bool) ([]wire.Entry, uint64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.stamp == after {
		return nil, after
	}
	var changed []*record
	for _, r := range t.records {
		if r.stamp > after && r.source != link && (samePlace || r.global) {
			changed = append(changed, r)
		}
	}
	slices.SortFunc(changed, func(a, b *record) int { return cmp.Compare(a.stamp, b.stamp) })
	upTo := t.stamp
	if len(changed) > beatEntries {
		changed = changed[:beatEntries]
		upTo = changed[beatEntries-1].stamp
	}
	now := t.clock()
	entries := make([]wire.Entry, 0, len(changed))
	for _, r := range changed {
		entries = append(entries, wire.Entry{
			Key: r.Key, Version: r.Version, AgeMS: ceilMS(now.Sub(r.Born)), LifeMS: r.life.Milliseconds(),
			Global: r.global, Data: r.Data,
		})
	}
	return entries, upTo
}

func (t *Table) notify(v Value) {
	for _, o := range t.observers {
		if strings.HasPrefix(v.Key, o.prefix) {
			o.notify(v)
		}
	}
}

func ceilMS(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	options := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  8,
		MaxArrayElements: 64 << 10,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
