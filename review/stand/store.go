//go:build review

package main

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeLatency is the time that the store takes for an answer.
	storeLatency = 4 * time.Millisecond
	// storePage is the most objects in one answer to a list.
	storePage = 500
)

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	CreateRev  int64    `json:"create_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type storeEvent struct {
	kind     string
	revision int64
	Deleted  bool   `json:"deleted"`
	Object   object `json:"object"`
}

// store is a stand-in for the platform's store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object // by kind and name
	events   []storeEvent
	changed  chan struct{}
	cut      chan struct{}  // closed and replaced when waiting watches are cut off
	waiting  int            // number of waiting watches
	deleted  map[string]int // number of answers to watches that told of a removal, by kind and name
	down     bool
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{}), cut: make(chan struct{}), deleted: map[string]int{}}
}

// put writes an object as the operator and the engines do, and returns when that was confirmed.
func (s *store) put(kind, name string, spec any) time.Time {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err) // specs are built here
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, text, nil)
	return time.Now()
}

// remove removes an object and returns when that was confirmed.
func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.revision++
		delete(s.objects[kind], name)
		s.publish(storeEvent{kind: kind, revision: s.revision, Deleted: true, Object: o})
	}
	return time.Now()
}

// names returns the names of the objects of a kind.
func (s *store) names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.objects[kind]))
}

// write stores an object. The lock must be held.
func (s *store) write(kind, name string, spec json.RawMessage, finalizers []string) object {
	before, exists := s.objects[kind][name]
	if exists && string(before.Spec) == string(spec) {
		return before
	}
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision, CreateRev: s.revision, Finalizers: finalizers}, Spec: spec, Status: json.RawMessage("null")}
	if exists {
		o.Metadata.CreateRev = before.Metadata.CreateRev
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.publish(storeEvent{kind: kind, revision: s.revision, Object: o})
	return o
}

// publish adds an event and wakes the watches. The lock must be held.
func (s *store) publish(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, named := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	time.Sleep(storeLatency)
	if s.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && !named:
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodDelete:
		s.erase(w, r, kind, name)
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.change(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	items, more := []object{}, false
	s.mu.Lock()
	for _, name := range slices.Sorted(maps.Keys(s.objects[kind])) {
		if name <= after {
			continue
		}
		if len(items) == storePage {
			more = true
			break
		}
		items = append(items, s.objects[kind][name])
	}
	revision := s.revision
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": more, "current_rev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []storeEvent{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > from {
				events = append(events, e)
			}
		}
		changed, cut, revision := s.changed, s.cut, s.revision
		if len(events) > 0 {
			for _, e := range events {
				if e.Deleted {
					s.deleted[kind+"/"+e.Object.Metadata.Name]++
				}
			}
		}
		s.waiting++
		s.mu.Unlock()
		if len(events) > 0 {
			s.left()
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-r.Context().Done():
			s.left()
			return
		case <-cut:
			s.left()
			panic(http.ErrAbortHandler)
		case <-timer.C:
			s.left()
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		case <-changed:
			s.left()
		}
	}
}

// left counts a watch that does not wait any more.
func (s *store) left() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
}

// cutWatches cuts the waiting watches off and returns their number.
func (s *store) cutWatches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
	return s.waiting
}

// told returns how many watches were answered with the removal of an object.
func (s *store) told(kind, name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deleted[kind+"/"+name]
}

// setDown makes the store refuse all calls, or ends that. Waiting watches are cut off.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
	if down {
		s.cutWatches()
	}
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *store) erase(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	wanted := r.URL.Query().Get("revision")
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case wanted != "" && wanted != strconv.FormatInt(o.Metadata.Revision, 10):
		writeJSON(w, http.StatusConflict, o)
	default:
		s.remove(kind, name)
		writeJSON(w, http.StatusOK, o)
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent object
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = sent.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[kind][name]
	switch {
	case exists && r.Method == http.MethodPost:
		writeJSON(w, http.StatusConflict, current)
	case !exists && r.Method == http.MethodPut:
		w.WriteHeader(http.StatusNotFound)
	case exists && sent.Metadata.Revision != 0 && sent.Metadata.Revision != current.Metadata.Revision:
		writeJSON(w, http.StatusConflict, current)
	default:
		writeJSON(w, http.StatusOK, s.write(kind, name, sent.Spec, sent.Metadata.Finalizers))
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
