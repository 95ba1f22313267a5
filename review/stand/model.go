//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// modelEvents is the number of events of each stream, modelPause the time between two of them.
	modelEvents = 5
	modelPause  = 20 * time.Millisecond
	// modelSwitch is role_switch_s, for which an engine takes nothing after an order.
	modelSwitch = 3 * time.Second
)

// model is a stand-in for a model engine.
type model struct {
	id, service, zone, address, version string
	store                               *store
	record                              *record
	server                              *http.Server

	mu       sync.Mutex
	stage    string
	state    string
	busy     bool
	sequence int64
	fence    int64
	handles  int
	taken    map[string]bool
	began    int // streams
}

func newModel(r *rig, id, service, zone, version, stage string) (*model, error) {
	m := &model{
		id: id, service: service, zone: zone, address: r.network.address() + ":8080", version: version, store: r.store,
		record: r.record, stage: stage, state: "ready", taken: map[string]bool{},
	}
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		return nil, err
	}
	m.server = &http.Server{Handler: m}
	go func() { _ = m.server.Serve(listener) }()
	m.register("ready")
	return m, nil
}

// register writes what the engine says of itself into the store.
func (m *model) register(state string) {
	m.mu.Lock()
	m.state = state
	entry := map[string]any{
		"service": m.service, "address": m.address, "zone": m.zone, "version": m.version, "slots": 48, "state": m.state,
		"cold_remaining_ms": 0, "stage": m.stage, "models": m.models(), "sequence": m.sequence,
	}
	m.mu.Unlock()
	m.store.put("servers", m.id, entry)
}

func (m *model) models() []map[string]any {
	return []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
}

// ServeHTTP implements http.Handler.
func (m *model) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != m.id {
		h.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/health":
		h.Set("X-Instance-Id", m.id)
	case r.URL.Path == "/v1/report":
		m.mu.Lock()
		defer m.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{
			"stage": m.stage, "models": m.models(), "busy": m.busy, "sequence": m.sequence, "waiting": 0, "running": 0,
			"kv_used": 0, "kv_total": 444000, "handles": m.handles,
		})
	case r.URL.Path == "/v1/order":
		m.order(w, r)
	case r.Method == http.MethodDelete:
		w.WriteHeader(http.StatusOK)
	default:
		m.request(w, r)
	}
}

func (m *model) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Stage, Holder string
		Fence             int64  `json:"fencing_token"`
		Expected          *int64 `json:"expected"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Op != "stage" || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case o.Fence < m.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case m.busy || o.Expected != nil && *o.Expected != m.sequence:
		w.WriteHeader(http.StatusConflict)
	case o.Stage == m.stage:
		m.fence = o.Fence
		w.WriteHeader(http.StatusOK)
	default:
		m.fence, m.busy = o.Fence, true
		m.sequence++
		m.record.printf("engine %s takes the order of %s (fence %d): %s", m.id, o.Holder, o.Fence, o.Stage)
		time.AfterFunc(modelSwitch, func() {
			m.mu.Lock()
			m.stage, m.busy = o.Stage, false
			state := m.state
			m.mu.Unlock()
			if state != "gone" {
				m.register(state)
			}
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

func (m *model) request(w http.ResponseWriter, r *http.Request) {
	h, id := w.Header(), r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	m.mu.Lock()
	prefill := r.Header.Get("X-Serving-Stage") == "prefill"
	_, handle, _ := cutLast(r.Header.Get("X-Kv-Source"))
	switch {
	case m.busy:
		m.mu.Unlock()
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case prefill != (m.stage == "prefill"):
		m.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case prefill:
		m.handles++
		name := fmt.Sprintf("%s-%d", m.id, m.handles)
		m.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{"handle": name, "tokens": 1460, "version": 1})
		return
	}
	m.began++
	m.mu.Unlock()
	m.record.printf("engine %s (%s %s) runs %s %s", m.id, m.service, m.version, id, handle)
	h.Set("X-Engine-Signature", m.id+"."+id)
	h.Set("X-Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := first + 1; n <= modelEvents; n++ {
		select {
		case <-time.After(modelPause):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
	}
}

// cutLast cuts at the last slash.
func cutLast(text string) (before, after string, found bool) {
	for i := len(text) - 1; i >= 0; i-- {
		if text[i] == '/' {
			return text[:i], text[i+1:], true
		}
	}
	return text, "", false
}

// leave drains the engine and takes it away.
func (m *model) leave(drain time.Duration) {
	m.register("draining")
	time.AfterFunc(drain+500*time.Millisecond, func() {
		m.mu.Lock()
		m.state = "gone"
		m.mu.Unlock()
		m.store.remove("servers", m.id)
		_ = m.server.Close()
	})
}
