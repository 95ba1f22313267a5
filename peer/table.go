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
	// MaxEntries bounds the number of entries in a table.
	MaxEntries = 16 << 10
	// maxEntryBytes bounds the size of an entry's value.
	maxEntryBytes = 64 << 10
	// entriesPerHeartbeat bounds the number of entries in a heartbeat.
	entriesPerHeartbeat = 256
)

// Value is a read-only copy of a table entry.
type Value struct {
	Key       string
	Version   int64
	CreatedAt time.Time // lower bound of the creation time
	Data      []byte    // CBOR
	Expired   bool      // set in the notification of an expired entry
}

// Decode decodes the value's data into target.
func (v Value) Decode(target any) error {
	return decoder.Unmarshal(v.Data, target)
}

// record is a table entry with its replication state.
type record struct {
	Value

	ttl    time.Duration
	global bool   // sent to other availability zones
	stamp  uint64 // Table.changeCount at the latest change of the entry
	source *Link  // link over which the entry was received, nil for entries of this process
}

// observer is called after changes of keys with the prefix.
type observer struct {
	prefix string
	notify func(Value)
}

// Table is the replicated state of the processes. Of two entries with the same key the one with the larger version
// wins.
type Table struct {
	clock       units.Clock
	mu          sync.RWMutex
	records     map[string]*record
	changeCount uint64
	observers   []observer
}

// NewTable returns an empty table.
func NewTable(clock units.Clock) *Table {
	return &Table{clock: clock, records: map[string]*record{}}
}

// Observe registers a function to call after each change under the prefix. It must be called before the table is in
// use.
func (t *Table) Observe(prefix string, notify func(Value)) {
	t.observers = append(t.observers, observer{prefix: prefix, notify: notify})
}

// Put sets an entry of this process. Version zero selects the next version, a timestamp in microseconds or one more
// than the current.
func (t *Table) Put(key string, version int64, ttl time.Duration, global bool, v any) error {
	data, err := encoder.Marshal(v)
	if err != nil {
		return err
	}
	t.mu.Lock()
	now := t.clock()
	if version == 0 {
		version = t.nextVersion(key, now)
	}
	r := &record{Value: Value{Key: key, Version: version, CreatedAt: now, Data: data}, ttl: ttl, global: global}
	stored := t.store(r)
	t.mu.Unlock()
	if stored {
		t.notify(r.Value)
	}
	return nil
}

// Get returns the entry with the key, and whether it exists.
func (t *Table) Get(key string) (Value, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.records[key]
	if !ok {
		return Value{}, false
	}
	return r.Value, true
}

// List returns the entries whose key has the prefix, sorted by key.
func (t *Table) List(prefix string) []Value {
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

// nextVersion returns a version that also exceeds those of earlier runs of the process, unless the clock was set back.
func (t *Table) nextVersion(key string, now time.Time) int64 {
	version := now.UnixMicro()
	if r, ok := t.records[key]; ok {
		version = max(version, r.Version+1)
	}
	return version
}

// merge stores an entry that was received over the link, with createdAt as the lower bound of its creation time.
func (t *Table) merge(source *Link, e wire.Entry, createdAt time.Time) {
	if len(e.Data) > maxEntryBytes || e.LifeMS <= 0 {
		return
	}
	r := &record{
		Value:  Value{Key: e.Key, Version: e.Version, CreatedAt: createdAt, Data: e.Data},
		ttl:    time.Duration(e.LifeMS) * time.Millisecond,
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

// store reports whether it stored the record. It rejects older versions, expired entries and new keys in a full table.
func (t *Table) store(r *record) bool {
	old, ok := t.records[r.Key]
	if ok && old.Version >= r.Version {
		return false
	}
	if !ok && len(t.records) >= MaxEntries {
		return false
	}
	if t.clock().Sub(r.CreatedAt) >= r.ttl {
		return false
	}
	t.changeCount++
	r.stamp = t.changeCount
	t.records[r.Key] = r
	return true
}

// expire removes the entries whose TTL has elapsed, and notifies the observers.
func (t *Table) expire() {
	now := t.clock()
	t.mu.Lock()
	var expired []Value
	for key, r := range t.records {
		if now.Sub(r.CreatedAt) >= r.ttl {
			delete(t.records, key)
			entry := r.Value
			entry.Expired = true
			expired = append(expired, entry)
		}
	}
	t.mu.Unlock()
	for _, v := range expired {
		t.notify(v)
	}
}

// changes returns the entries that were changed after the stamp since and not received over the link, the oldest change
// first, and the stamp to continue from. At most entriesPerHeartbeat entries are returned.
func (t *Table) changes(link *Link, since uint64, samePlace bool) ([]wire.Entry, uint64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.changeCount == since {
		return nil, since
	}
	var changed []*record
	for _, r := range t.records {
		if r.stamp > since && r.source != link && (samePlace || r.global) {
			changed = append(changed, r)
		}
	}
	slices.SortFunc(changed, func(a, b *record) int { return cmp.Compare(a.stamp, b.stamp) })
	upTo := t.changeCount
	if len(changed) > entriesPerHeartbeat {
		changed = changed[:entriesPerHeartbeat]
		upTo = changed[entriesPerHeartbeat-1].stamp
	}
	now := t.clock()
	entries := make([]wire.Entry, 0, len(changed))
	for _, r := range changed {
		entries = append(entries, wire.Entry{
			Key: r.Key, Version: r.Version, AgeMS: ceilMS(now.Sub(r.CreatedAt)), LifeMS: r.ttl.Milliseconds(),
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
