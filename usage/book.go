package usage

import (
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// Source is one incarnation of a process.
type Source struct {
	Name        units.ProcessName
	Incarnation int64 // start of the process, Unix nanoseconds
}

// Statement is what a source states of a window. It may hold a part of the counts only.
type Statement struct {
	Source Source
	Window Window
	AsOf   time.Time // true time at which the counts were taken
	Total  int64     // sum of all counts
	Counts Counts
}

// entry is what is known of the counts of a source in a window.
type entry struct {
	counts Counts
	asOf   time.Time
	total  int64
}

// isWhole reports whether no part of the counts is missing.
func (e *entry) isWhole() bool {
	return e.counts.total() >= e.total
}

// Book collects the counts of all processes.
type Book struct {
	mu      sync.Mutex
	windows map[Window]map[Source]*entry
	pruned  Window // windows up to this one are not kept
}

// NewBook returns an empty Book.
func NewBook() *Book {
	return &Book{windows: map[Window]map[Source]*entry{}}
}

// maxAhead bounds the windows that are kept to those that a source with a clock that is a little fast may state.
const maxAhead = 2

// Add adds a statement. Statements may be repeated and in any order.
func (b *Book) Add(s Statement, current Window) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.Window <= b.pruned || s.Window > current+maxAhead || s.Window <= current-KeptWindows {
		return
	}
	sources := b.windows[s.Window]
	if sources == nil {
		sources = map[Source]*entry{}
		b.windows[s.Window] = sources
	}
	e := sources[s.Source]
	if e == nil {
		e = &entry{counts: Counts{}}
		sources[s.Source] = e
	}
	e.counts.merge(s.Counts)
	e.total = max(e.total, s.Total)
	if s.AsOf.After(e.asOf) && e.isWhole() {
		e.asOf = s.AsOf
	}
}

// Sum returns the counts of a window over all sources.
func (b *Book) Sum(w Window) Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := Counts{}
	for _, e := range b.windows[w] {
		sum.add(e.counts)
	}
	return sum
}

// Missing returns those of the processes from which no whole counts of the window are known that were taken at the given time or
// later.
func (b *Book) Missing(w Window, since time.Time, processes []units.ProcessName) []units.ProcessName {
	b.mu.Lock()
	defer b.mu.Unlock()
	heard := map[units.ProcessName]bool{}
	for source, e := range b.windows[w] {
		if !e.asOf.Before(since) && e.isWhole() {
			heard[source.Name] = true
		}
	}
	var missing []units.ProcessName
	for _, name := range processes {
		if !heard[name] {
			missing = append(missing, name)
		}
	}
	return missing
}

// Of returns what is known of the processes with the names, or of any if all is among them.
func (b *Book) Of(names []units.ProcessName) []Statement {
	b.mu.Lock()
	defer b.mu.Unlock()
	wanted := map[units.ProcessName]bool{}
	for _, name := range names {
		wanted[name] = true
	}
	var statements []Statement
	for w, sources := range b.windows {
		for source, e := range sources {
			if wanted[source.Name] || wanted[all] {
				statements = append(statements, Statement{
					Source: source, Window: w, AsOf: e.asOf, Total: e.total, Counts: e.counts.Clone(),
				})
			}
		}
	}
	return statements
}

// Earliest returns the earliest window of which counts are known.
func (b *Book) Earliest() (Window, bool) {
	return b.earliest(func(*entry) bool { return true })
}

// EarliestCounted returns the earliest window of which requests are known.
func (b *Book) EarliestCounted() (Window, bool) {
	return b.earliest(func(e *entry) bool { return e.total > 0 })
}

// earliest returns the earliest window with an entry that matches.
func (b *Book) earliest(matches func(e *entry) bool) (Window, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first, ok := Window(0), false
	for w, sources := range b.windows {
		if ok && w >= first {
			continue
		}
		for _, e := range sources {
			if matches(e) {
				first, ok = w, true
				break
			}
		}
	}
	return first, ok
}

// Prune drops the windows up to the given one.
func (b *Book) Prune(w Window) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pruned = max(b.pruned, w)
	for known := range b.windows {
		if known <= b.pruned {
			delete(b.windows, known)
		}
	}
}
