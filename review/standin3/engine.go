//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	beatTime   = 1200 * time.Millisecond
	deskSlots  = 6
	deskQueue  = 24
	deskWork   = 30 * time.Millisecond
	answerSize = 800
)

// runOf is a run of a request at an engine.
type runOf struct {
	at           time.Time
	engine       string
	id           string
	method       string
	target, body string
}

// desk is a stand-in of an engine of a plain service.
type desk struct {
	rig      *rig
	id, zone string
	service  string
	address  string
	born     int64
	server   *http.Server
	listener net.Listener
	places   chan struct{} // running and waiting requests
	slots    chan struct{}
	work     time.Duration

	// crashes, if set, reports whether a run crashes the engine as it begins.
	crashes func(run runOf) bool
	// goesDark says that a crash takes the engine's machine with it: open channels get no answer and no reset.
	goesDark bool

	mu    sync.Mutex
	runs  []runOf
	ended chan struct{} // closed when the engine has crashed or the case ends
	dark  atomic.Bool   // the engine's machine answers nothing
	once  sync.Once
}

// newDesk returns an engine with an open listener.
func (r *rig) newDesk(id, service, zone string, crashes func(run runOf) bool) (*desk, error) {
	l, err := net.Listen("tcp", r.ip()+":0")
	if err != nil {
		return nil, err
	}
	d := &desk{
		rig: r, id: id, zone: zone, service: service, address: l.Addr().String(), born: time.Now().UnixMilli(),
		places: make(chan struct{}, deskSlots+deskQueue), slots: make(chan struct{}, deskSlots), work: deskWork,
		ended: make(chan struct{}), crashes: crashes,
	}
	d.server, d.listener = &http.Server{Handler: d}, l
	r.addCleanup(d.end)
	return d, nil
}

// start serves and registers the engine.
func (d *desk) start() {
	go func() { _ = d.server.Serve(d.listener) }()
	d.beat(1)
	go func() {
		ticker := time.NewTicker(beatTime)
		defer ticker.Stop()
		for sequence := 2; ; sequence++ {
			select {
			case <-d.ended:
				return
			case <-ticker.C:
				if !d.dark.Load() {
					d.beat(sequence)
				}
			}
		}
	}()
}

// end ends the engine: its connections break off, and it writes nothing any more.
func (d *desk) end() {
	d.once.Do(func() {
		close(d.ended)
		_ = d.server.Close()
	})
}

// expire removes the entry of an engine that has crashed, after three check-ins that it has missed.
func (d *desk) expire() {
	time.AfterFunc(3*beatTime, func() { d.rig.store.remove("servers", d.id) })
}

func (d *desk) beat(sequence int) {
	d.rig.store.put("servers", d.id, map[string]any{
		"service": d.service, "address": d.address, "zone": d.zone, "version": "v1", "slots": deskSlots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": sequence, "born": d.born,
	})
}

func (d *desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.dark.Load() {
		<-d.ended
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Instance-Id", d.id)
	w.Header().Set("X-Engine-Load", fmt.Sprintf("%d,%d,%d", len(d.slots), max(0, len(d.places)-len(d.slots)), deskSlots))
	if r.URL.Path == "/health" {
		return
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != d.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("X-Request-Id", id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		d.rig.record.log("engine %s: body of request %s is not whole, not run", d.id, id)
		return
	}
	select {
	case d.places <- struct{}{}:
		defer func() { <-d.places }()
	default:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case d.slots <- struct{}{}:
		defer func() { <-d.slots }()
	case <-r.Context().Done():
		return
	}
	run := runOf{at: time.Now(), engine: d.id, id: id, method: r.Method, target: r.RequestURI, body: string(body)}
	d.mu.Lock()
	d.runs = append(d.runs, run)
	d.mu.Unlock()
	d.rig.record.log("engine %s: runs request %s, %s %s with a body of %d bytes", d.id, id, r.Method, r.RequestURI, len(body))
	if d.crashes != nil && d.crashes(run) {
		d.rig.record.log("engine %s: crashes as it begins to run request %s", d.id, id)
		d.expire()
		if d.goesDark {
			d.dark.Store(true)
			<-d.ended
		}
		d.end()
		return
	}
	select {
	case <-time.After(d.work):
	case <-d.ended:
		return
	case <-r.Context().Done():
		return
	}
	if d.dark.Load() {
		<-d.ended
		return
	}
	w.Header().Set("X-Engine-Signature", "s."+d.id+"."+id)
	_, _ = w.Write(make([]byte, answerSize))
}

// runsOf returns the runs at the engines.
func runsOf(desks []*desk) []runOf {
	var all []runOf
	for _, d := range desks {
		d.mu.Lock()
		all = append(all, d.runs...)
		d.mu.Unlock()
	}
	return all
}
