package fakes

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthorntrack/buckthorntrack/wait"

	"github.com/julienschmidt/httprouter"

	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// PlatformFaults are the faults that the stand-in platform injects.
type PlatformFaults struct {
	Down        bool          `json:"down"`        // all calls fail
	Delay       time.Duration `json:"delay"`       // before each call, in nanoseconds
	LoseAnswers int           `json:"loseAnswers"` // number of writes that take effect without an answer
	LoseKeys    string        `json:"loseKeys"`    // prefix of the keys that LoseAnswers applies to
	VMLag       time.Duration `json:"vmLag"`       // maximum staleness of the list of VMs, in nanoseconds
	CutPlaces   []string      `json:"cutPlaces"`   // availability zones whose calls fail
}

// Platform serves a Store over HTTP and injects faults.
type Platform struct {
	*Store
	router     *httprouter.Router
	faults     atomic.Pointer[PlatformFaults]
	vmsMu      sync.Mutex
	staleVMs   []objapi.VM
	staleVMsAt time.Time
}

// NewPlatform returns a stand-in platform that serves the store.
func NewPlatform(store *Store) *Platform {
	p := &Platform{Store: store, router: httprouter.New()}
	p.faults.Store(&PlatformFaults{})
	p.router.GET("/objects/*key", p.withFaults(p.get))
	p.router.PUT("/objects/*key", p.withFaults(p.put))
	p.router.DELETE("/objects/*key", p.withFaults(p.remove))
	p.router.GET("/list", p.withFaults(p.list))
	p.router.GET("/watch", p.withFaults(p.watch))
	p.router.GET("/vms", p.withFaults(p.listVMs))
	p.router.PUT("/control/faults", p.controlFaults)
	p.router.PUT("/control/vms", p.controlVMs)
	p.router.GET("/ledger", p.ledger)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.router.ServeHTTP(w, r)
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.faults.Store(&f)
}

// withFaults applies the injected faults before the handler.
func (p *Platform) withFaults(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		if !p.applyFaults(w, r) {
			return
		}
		next(w, r, params)
	}
}

// applyFaults delays the call and reports whether it may proceed; otherwise it answers with the error.
func (p *Platform) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	faults := p.faults.Load()
	if !wait.Sleep(r.Context(), faults.Delay) {
		return false
	}
	if faults.Down || p.isPartitioned(r) {
		http.Error(w, "platform is down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// isPartitioned reports whether the caller is in an availability zone whose calls fail.
func (p *Platform) isPartitioned(r *http.Request) bool {
	for _, place := range p.faults.Load().CutPlaces {
		if r.Header.Get(objapi.PlaceHeader) == place {
			return true
		}
	}
	return false
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	o, err := p.Get(r.Context(), objectKey(params))
	writeResponse(w, o, err)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	var o objapi.Object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o.Key = objectKey(params)
	o.Version = queryVersion(r, "version")
	written, err := p.Put(r.Context(), o)
	if err == nil && p.takeLostAnswer(o.Key) {
		panic(http.ErrAbortHandler)
	}
	writeResponse(w, written, err)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	err := p.Delete(r.Context(), objectKey(params), queryVersion(r, "version"))
	writeResponse(w, struct{}{}, err)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	objects, err := p.List(r.Context(), r.URL.Query().Get("prefix"))
	writeResponse(w, objects, err)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	p.countWatch()
	timeout, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, "parameter wait is not a duration", http.StatusBadRequest)
		return
	}
	change, err := p.watchFor(r.Context(), r.URL.Query().Get("prefix"), queryVersion(r, "from"), timeout)
	if !p.applyFaults(w, r) {
		return
	}
	writeResponse(w, change, err)
}

func (p *Platform) listVMs(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	vms, err := p.VMs(r.Context())
	writeResponse(w, p.delayedVMs(vms), err)
}

// delayedVMs returns the given list, or the previous one as long as that is younger than the injected lag.
func (p *Platform) delayedVMs(vms []objapi.VM) []objapi.VM {
	p.vmsMu.Lock()
	defer p.vmsMu.Unlock()
	if time.Since(p.staleVMsAt) >= p.faults.Load().VMLag {
		p.staleVMs = vms
		p.staleVMsAt = time.Now()
	}
	return p.staleVMs
}

func (p *Platform) controlFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var faults PlatformFaults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) controlVMs(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var vms []objapi.VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, vm := range vms {
		p.SetVM(vm)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) ledger(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeResponse(w, p.Calls(), nil)
}

// takeLostAnswer reports whether to lose the answer to a write of the key, and if so decrements LoseAnswers.
func (p *Platform) takeLostAnswer(key string) bool {
	for {
		faults := p.faults.Load()
		if faults.LoseAnswers <= 0 || !strings.HasPrefix(key, faults.LoseKeys) {
			return false
		}
		updated := *faults
		updated.LoseAnswers--
		if p.faults.CompareAndSwap(faults, &updated) {
			return true
		}
	}
}

func (s *Store) countWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Watches++
}

func objectKey(params httprouter.Params) string {
	return strings.TrimPrefix(params.ByName("key"), "/")
}

// queryVersion returns the version in a query parameter, or zero if it is missing or not a number.
func queryVersion(r *http.Request, name string) units.Version {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return units.Version(n)
}

// writeResponse writes the value as JSON, or the status for the error. It writes nothing after a canceled request.
func writeResponse(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	case errors.Is(err, objapi.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, objapi.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, context.Canceled):
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
