//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a stand-in for an engine of a plain service.
type engine struct {
	id, service, zone, address string
	work                       time.Duration
	slots                      int
	server                     *http.Server
	record                     *record
	running                    atomic.Int64

	store  *store // where it writes of itself after a crash
	deadly string // body of the requests that crash it, empty for none

	mu      sync.Mutex
	runs    []run
	crashes []time.Time
	born    int64
}

// run is a request that an engine began to work on.
type run struct {
	request string // X-Request-Id
	line    string // method and request target as they came
	at      time.Time
}

func newEngine(r *record, id, service, zone, address string, slots int, work time.Duration) (*engine, error) {
	e := &engine{id: id, service: service, zone: zone, address: address, slots: slots, work: work, record: r}
	return e, e.listen()
}

// listen starts a lifetime of the engine.
func (e *engine) listen() error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: e}
	e.mu.Lock()
	e.server, e.born = server, time.Now().UnixMilli()
	e.mu.Unlock()
	e.running.Store(0)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// crash breaks all channels off, and starts the next lifetime some time later.
func (e *engine) crash() {
	e.mu.Lock()
	e.crashes = append(e.crashes, time.Now())
	server := e.server
	e.mu.Unlock()
	e.record.printf("engine %s crashes", e.id)
	_ = server.Close()
	time.AfterFunc(deadlyDown, func() {
		if err := e.listen(); err != nil {
			e.record.say("engine %s does not start: %v", e.id, err)
			return
		}
		e.store.put("servers", e.id, e.entry("ready"))
	})
}

// entry returns what the engine writes into the store of itself.
func (e *engine) entry(state string) map[string]any {
	return map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": 0, "born": e.born,
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Engine-Load", fmt.Sprintf("%d,0,%d", e.running.Load(), e.slots))
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", e.id)
		return
	}
	h.Set("X-Request-Id", id)
	switch target := r.Header.Get("X-Target-Instance"); {
	case target != "" && target != e.id:
		h.Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case e.running.Add(1) > int64(e.slots):
		e.running.Add(-1)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.running.Add(-1)
	line := r.Method + " " + r.RequestURI
	e.mu.Lock()
	e.runs = append(e.runs, run{request: id, line: line, at: time.Now()})
	e.mu.Unlock()
	e.record.printf("engine %s (%s) runs %s: %s", e.id, e.service, id, line)
	sent, _ := io.ReadAll(r.Body)
	if e.deadly != "" && string(sent) == e.deadly {
		e.crash()
		return
	}
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
		return
	}
	body := "ran " + id + " at " + e.id
	h.Set("X-Engine-Signature", e.id+"."+id)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// all returns the runs so far.
func (e *engine) all() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]run(nil), e.runs...)
}
