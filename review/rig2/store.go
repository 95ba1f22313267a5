//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is the time that the store takes for an answer.
const storeLatency = 4 * time.Millisecond

// pageSize is the most objects in one answer to a list.
const pageSize = 500

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

type event struct {
	kind    string
	rev     int64
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
}

// store stands in for the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rev     int64
	objects map[string]map[string]object // by kind and name
	events  []event
	changed chan struct{}
}

func newStore() *store {
	return &store{rev: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put writes an object as the operator or an engine does, and returns the revision.
func (s *store) put(kind, name string, spec any) int64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, data, nil).Metadata.Revision
}

// write must be called with the lock held.
func (s *store) write(kind, name string, spec json.RawMessage, finalizers []string) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, exists := s.objects[kind][name]
	if exists && string(o.Spec) == string(spec) && slices.Equal(o.Metadata.Finalizers, finalizers) {
		return o
	}
	s.rev++
	if !exists {
		o = object{Metadata: metadata{Name: name, CreateRev: s.rev}, Status: json.RawMessage("null")}
	}
	o.Metadata.Revision, o.Metadata.Finalizers, o.Spec = s.rev, finalizers, spec
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	s.objects[kind][name] = o
	s.record(event{kind: kind, rev: s.rev, Object: o})
	return o
}

func (s *store) record(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(kind, name)
}

func (s *store) removeLocked(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.rev++
	delete(s.objects[kind], name)
	o.Metadata.Revision = s.rev
	s.record(event{kind: kind, rev: s.rev, Deleted: true, Object: o})
}

// names returns the names of the objects of a kind.
func (s *store) names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	path, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, named := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && named:
		s.mu.Lock()
		o, found := s.objects[kind][name]
		s.mu.Unlock()
		if !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	case r.Method == http.MethodDelete:
		s.delete(w, r, kind, name)
	default:
		s.change(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > pageSize
	items := []object{}
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, s.objects[kind][name])
	}
	rev := s.rev
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "more": more, "current_rev": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []event{}
		for i := len(s.events) - 1; i >= 0 && s.events[i].rev > from; i-- {
			if s.events[i].kind == kind {
				events = append(events, s.events[i])
			}
		}
		changed, rev := s.changed, s.rev
		s.mu.Unlock()
		slices.Reverse(events)
		over := false
		if len(events) == 0 {
			select {
			case <-r.Context().Done():
				return
			case <-timer.C:
				over = true
			case <-changed:
			}
		}
		if len(events) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": rev})
			return
		}
	}
}

func (s *store) delete(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[kind][name]
	text := r.URL.Query().Get("revision")
	switch {
	case !found:
		w.WriteHeader(http.StatusNotFound)
	case text != "" && text != strconv.FormatInt(o.Metadata.Revision, 10):
		reply(w, http.StatusConflict, o)
	default:
		s.removeLocked(kind, name)
		reply(w, http.StatusOK, o)
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent object
	if json.NewDecoder(r.Body).Decode(&sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && found,
		r.Method == http.MethodPut && found && sent.Metadata.Revision != 0 && sent.Metadata.Revision != o.Metadata.Revision:
		reply(w, http.StatusConflict, o)
	case r.Method == http.MethodPut && !found:
		w.WriteHeader(http.StatusNotFound)
	default:
		reply(w, http.StatusOK, s.write(kind, name, sent.Spec, sent.Metadata.Finalizers))
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
