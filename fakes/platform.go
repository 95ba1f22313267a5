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
	Down        bool          `json:"down"`        // every call fails
	Delay       time.Duration `json:"delay"`       // before each call, in nanoseconds
	LoseAnswers int           `json:"loseAnswers"` // that many writes take effect without an answer
	LoseKeys    string        `json:"loseKeys"`    // only keys with this prefix lose their answer
	VMLag       time.Duration `json:"vmLag"`       // how far the list of VMs lags behind, in nanoseconds
	CutPlaces   []string      `json:"cutPlaces"`   // availability zones whose calls fail
}

// Platform serves a Store over HTTP and injects faults.
type Platform struct {
	*Store
	router  *httprouter.Router
	faults  atomic.Pointer[PlatformFaults]
	vmsLock sync.Mutex
	stale   []objapi.VM
	staleAt time.Time
}

// NewPlatform returns a stand-in platform around the store.
func NewPlatform(store *Store) *Platform {
	p := &Platform{Store: store, router: httprouter.New()}
	p.faults.Store(&PlatformFaults{})
	p.router.GET("/objects/*key", p.faulty(p.get))
	p.router.PUT("/objects/*key", p.faulty(p.put))
	p.router.DELETE("/objects/*key", p.faulty(p.remove))
	p.router.GET("/list", p.faulty(p.list))
	p.router.GET("/watch", p.faulty(p.watch))
	p.router.GET("/vms", p.faulty(p.listVMs))
	p.router.PUT("/control/faults", p.control)
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

func (p *Platform) faulty(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		if !p.admit(w, r) {
			return
		}
		next(w, r, params)
	}
}

func (p *Platform) admit(w http.ResponseWriter, r *http.Request) bool {
	faults := p.faults.Load()
	if !wait.Sleep(r.Context(), faults.Delay) {
		return false
	}
	if faults.Down || p.isCut(r) {
		http.Error(w, "platform is down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (p *Platform) isCut(r *http.Request) bool {
	for _, place := range p.faults.Load().CutPlaces {
		if r.Header.Get(objapi.PlaceHeader) == place {
			return true
		}
	}
	return false
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	o, err := p.Get(r.Context(), objectKey(params))
	answer(w, o, err)
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
	if err == nil && p.losesAnswer(o.Key) {
		panic(http.ErrAbortHandler)
	}
	answer(w, written, err)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	err := p.Delete(r.Context(), objectKey(params), queryVersion(r, "version"))
	answer(w, struct{}{}, err)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	objects, err := p.List(r.Context(), r.URL.Query().Get("prefix"))
	answer(w, objects, err)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	p.countWatch()
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, "bad wait", http.StatusBadRequest)
		return
	}
	change, err := p.watchFor(r.Context(), r.URL.Query().Get("prefix"), queryVersion(r, "from"), wait)
	if !p.admit(w, r) {
		return
	}
	answer(w, change, err)
}

func (p *Platform) listVMs(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	vms, err := p.VMs(r.Context())
	answer(w, p.laggedVMs(vms), err)
}

func (p *Platform) laggedVMs(vms []objapi.VM) []objapi.VM {
	p.vmsLock.Lock()
	defer p.vmsLock.Unlock()
	if time.Since(p.staleAt) >= p.faults.Load().VMLag {
		p.stale = vms
		p.staleAt = time.Now()
	}
	return p.stale
}

func (p *Platform) control(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
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
	answer(w, p.Calls(), nil)
}

func (p *Platform) losesAnswer(key string) bool {
	for {
		faults := p.faults.Load()
		if faults.LoseAnswers <= 0 || !strings.HasPrefix(key, faults.LoseKeys) {
			return false
		}
		fewer := *faults
		fewer.LoseAnswers--
		if p.faults.CompareAndSwap(faults, &fewer) {
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

func queryVersion(r *http.Request, name string) units.Version {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return units.Version(n)
}

func answer(w http.ResponseWriter, v any, err error) {
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
