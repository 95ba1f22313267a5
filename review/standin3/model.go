//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	modelService = "guide-llm"
	modelSlots   = 64
	switchTime   = 3 * time.Second
	prefillTime  = 30 * time.Millisecond
	// eventTime is the time between two events of a stream, below the gap aim of the route, and streamEvents the events of one.
	eventTime    = 100 * time.Millisecond
	streamEvents = 36
	// drainTime is the site's drain_ms, lingerTime what an engine serves longer.
	drainTime, lingerTime = 2500 * time.Millisecond, 1500 * time.Millisecond
)

// model is a stand-in of a model engine that writes streams. It states its software version and its stage.
type model struct {
	rig      *rig
	id, zone string
	version  string
	address  string
	born     int64
	server   *http.Server
	listener net.Listener
	ended    chan struct{}
	once     sync.Once
	events   int // of a stream
	// crashes, if set, reports whether the engine crashes as it begins to run a request with the body.
	crashes func(id, body string) bool

	mu       sync.Mutex
	stage    string
	state    string
	orders   int
	busy     bool
	sequence int
}

func (r *rig) newModel(id, zone, stage, version string) (*model, error) {
	l, err := net.Listen("tcp", r.ip()+":0")
	if err != nil {
		return nil, err
	}
	m := &model{
		rig: r, id: id, zone: zone, version: version, address: l.Addr().String(), born: time.Now().UnixMilli(), listener: l,
		ended: make(chan struct{}), stage: stage, state: "ready", events: streamEvents,
	}
	m.server = &http.Server{Handler: m}
	r.addCleanup(m.end)
	return m, nil
}

// start serves and registers the engine.
func (m *model) start() {
	go func() { _ = m.server.Serve(m.listener) }()
	m.beat()
	m.rig.record.log("engine %s of version %s starts, %s", m.id, m.version, m.stage)
	go func() {
		ticker := time.NewTicker(beatTime)
		defer ticker.Stop()
		for {
			select {
			case <-m.ended:
				return
			case <-ticker.C:
				m.beat()
			}
		}
	}()
}

func (m *model) beat() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	m.rig.store.put("servers", m.id, map[string]any{
		"service": modelService, "address": m.address, "zone": m.zone, "version": m.version, "slots": modelSlots, "state": m.state,
		"cold_remaining_ms": 0, "stage": m.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		"sequence": m.sequence, "born": m.born,
	})
}

func (m *model) end() {
	m.once.Do(func() {
		close(m.ended)
		_ = m.server.Close()
	})
}

// drain reports that the engine leaves, serves on for its time, and exits.
func (m *model) drain() {
	m.mu.Lock()
	m.state = "draining"
	m.mu.Unlock()
	m.beat()
	m.rig.record.log("engine %s of version %s drains", m.id, m.version)
	time.AfterFunc(drainTime+lingerTime, func() {
		m.end()
		m.rig.store.remove("servers", m.id)
	})
}

func (m *model) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", m.id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.mu.Lock()
	stage, busy, orders := m.stage, m.busy, m.orders
	m.mu.Unlock()
	switch {
	case r.URL.Path == "/v1/report":
		answerJSON(w, http.StatusOK, map[string]any{
			"stage": stage, "models": []any{map[string]any{"name": "m", "version": 1}}, "busy": busy, "sequence": orders, "waiting": 0,
			"running": 0, "kv_used": 0, "kv_total": 469027, "handles": 0,
		})
		return
	case r.URL.Path == "/v1/order":
		m.order(w, r)
		return
	case r.Method == http.MethodDelete:
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	body, _ := io.ReadAll(r.Body)
	switch prefill := r.Header.Get("X-Serving-Stage") == "prefill"; {
	case prefill && stage == "prefill":
		time.Sleep(prefillTime)
		answerJSON(w, http.StatusOK, map[string]any{"handle": newID(), "tokens": 900, "version": 1})
		return
	case prefill || stage != "decode":
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if m.crashes != nil && m.crashes(id, string(body)) {
		m.rig.record.log("engine %s: crashes as it begins to run request %s", m.id, id)
		m.end()
		time.AfterFunc(3*beatTime, func() { m.rig.store.remove("servers", m.id) })
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	m.rig.record.log("engine %s of version %s: runs request %s after event %d", m.id, m.version, id, after)
	w.Header().Set("X-Engine-Signature", "s."+m.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for i := after + 1; i <= m.events; i++ {
		select {
		case <-time.After(eventTime):
		case <-m.ended:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, m.version)
		if flusher.Flush() != nil {
			return
		}
	}
}

// order changes the engine's stage.
func (m *model) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Stage, Holder string
		Expected          *int
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Op != "stage" || o.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.busy, o.Expected != nil && *o.Expected != m.orders:
		w.WriteHeader(http.StatusConflict)
	case o.Stage == m.stage:
		w.WriteHeader(http.StatusOK)
	default:
		m.orders++
		m.busy = true
		time.AfterFunc(switchTime, func() {
			m.mu.Lock()
			m.stage, m.busy = o.Stage, false
			m.mu.Unlock()
			m.beat()
		})
		w.WriteHeader(http.StatusAccepted)
	}
}
