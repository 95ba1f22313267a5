package trait

import "time"

// maxRecent bounds half of the keys that a recent holds.
const maxRecent = 4096

// sighting is when a key was last put, and how often.
type sighting struct {
	at    time.Time
	count int
}

// recent holds the latest keys. When it is full, it drops about the older half.
type recent[K comparable] struct {
	limit    int
	current  map[K]sighting
	previous map[K]sighting
}

func newRecent[K comparable](limit int) *recent[K] {
	return &recent[K]{limit: limit, current: map[K]sighting{}}
}

func (r *recent[K]) put(key K, at time.Time) {
	seen := r.get(key)
	if len(r.current) >= r.limit {
		r.previous, r.current = r.current, map[K]sighting{}
	}
	r.current[key] = sighting{at: at, count: seen.count + 1}
}

// get returns the zero value for an unknown key.
func (r *recent[K]) get(key K) sighting {
	if s, ok := r.current[key]; ok {
		return s
	}
	return r.previous[key]
}

func (r *recent[K]) has(key K) bool {
	return r.get(key).count > 0
}
