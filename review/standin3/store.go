//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeTime is how long the store takes for an answer, and pageItems the objects of a page.
const (
	storeTime = 4 * time.Millisecond
	pageItems = 500
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

type event struct {
	kind     string
	revision int64
	deleted  bool
	object   object
}

// store is a stand-in of the platform's metadata store.
type store struct {
	record *record
	// trouble, if set, may answer a call in place of the store. It returns true if it has.
	trouble func(w http.ResponseWriter, r *http.Request) bool

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
}

func newStore(record *record) *store {
	return &store{record: record, revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put writes an object as its owner does, without a condition.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if ok && bytes.Equal(o.Spec, text) {
		return
	}
	o.Metadata.Name, o.Spec = name, text
	s.write(kind, o)
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.delete(kind, o)
	}
}

func (s *store) write(kind string, o object) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.CreateRev == 0 {
		o.Metadata.CreateRev = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.append(event{kind: kind, revision: s.revision, object: o})
	return o
}

func (s *store) delete(kind string, o object) {
	s.revision++
	delete(s.objects[kind], o.Metadata.Name)
	s.append(event{kind: kind, revision: s.revision, deleted: true, object: o})
}

func (s *store) append(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func answerJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeTime)
	if s.trouble != nil && s.trouble(w, r) {
		return
	}
	kind, name, named := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && !named:
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answerJSON(w, http.StatusOK, o)
	default:
		s.change(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageItems
	items := []object{}
	for _, name := range names[:min(len(names), pageItems)] {
		items = append(items, s.objects[kind][name])
	}
	current := s.revision
	s.mu.Unlock()
	answerJSON(w, http.StatusOK, map[string]any{"items": items, "more": more, "current_rev": current})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > from {
				events = append(events, map[string]any{"deleted": e.deleted, "object": e.object})
			}
		}
		changed, current := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 {
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "current_rev": current})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "current_rev": current})
			return
		case <-changed:
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent object
	if r.Method != http.MethodDelete {
		if json.NewDecoder(r.Body).Decode(&sent) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	status := strings.HasSuffix(name, "/status")
	name = strings.TrimSuffix(name, "/status")
	expected := sent.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseInt(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		if o, ok := s.objects[kind][sent.Metadata.Name]; ok {
			answerJSON(w, http.StatusConflict, o)
			return
		}
		sent.Metadata.Revision, sent.Metadata.CreateRev = 0, 0
		answerJSON(w, http.StatusOK, s.write(kind, sent))
		return
	}
	o, ok := s.objects[kind][name]
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case expected != 0 && expected != o.Metadata.Revision:
		answerJSON(w, http.StatusConflict, o)
	case r.Method == http.MethodDelete:
		s.delete(kind, o)
		answerJSON(w, http.StatusOK, o)
	case status:
		o.Status = sent.Status
		answerJSON(w, http.StatusOK, s.write(kind, o))
	case bytes.Equal(o.Spec, sent.Spec):
		answerJSON(w, http.StatusOK, o)
	default:
		o.Spec, o.Metadata.Finalizers = sent.Spec, sent.Metadata.Finalizers
		answerJSON(w, http.StatusOK, s.write(kind, o))
	}
}
