package serve

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"slices"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/buckthorntrack/buckthorntrack/admin"
	"github.com/buckthorntrack/buckthorntrack/claim"
	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/order"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const adminReadTimeout = 5 * time.Second

// adminHandler returns the handler of the administration listener.
func (p *Process) adminHandler() http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodGet, "/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	router.HandlerFunc(http.MethodGet, "/readyz", p.handleReady)
	router.Handler(http.MethodGet, "/metrics", p.requireToken(p.metrics.Handler()))
	router.Handler(http.MethodGet, "/debug/pprof/profile", p.requireToken(http.HandlerFunc(pprof.Profile)))
	router.Handler(http.MethodGet, "/debug/pprof/heap", p.requireToken(pprof.Handler("heap")))
	router.Handler(http.MethodGet, "/admin/v1/status", p.requireToken(serveJSON(p.status)))
	router.Handler(http.MethodGet, "/admin/v1/config", p.requireToken(serveJSON(p.activeConfig)))
	router.Handler(http.MethodGet, "/admin/v1/engines", p.requireToken(serveJSON(p.engines)))
	router.Handler(http.MethodGet, "/admin/v1/orders", p.requireToken(serveJSON(p.orders)))
	router.Handler(http.MethodGet, "/admin/v1/claims", p.requireToken(serveJSON(p.openClaims)))
	p.metrics.Gauge("config_revision", "Revision in force.", func() float64 { return float64(p.follower.Revision()) })
	p.metrics.Gauge("config_refused", "Revisions that were refused.", func() float64 {
		return float64(p.follower.Refused())
	})
	p.metrics.Gauge("peer_links", "Open links to peers.", func() float64 { return float64(len(p.mesh.Links())) })
	p.metrics.Gauge("peer_control_sent_bytes", "Control bytes sent to peers.", func() float64 {
		return float64(p.mesh.Traffic.ControlSent.Load())
	})
	p.metrics.Gauge("peer_control_received_bytes", "Control bytes received from peers.", func() float64 {
		return float64(p.mesh.Traffic.ControlReceived.Load())
	})
	p.metrics.Gauge("peer_dropped_frames", "Late or duplicate frames that were dropped.", func() float64 {
		return float64(p.mesh.Traffic.Dropped.Load())
	})
	return router
}

// requireToken rejects requests without the bearer token, if one is configured.
func (p *Process) requireToken(next http.Handler) http.Handler {
	expected := []byte("Bearer " + p.settings.Admin.Token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := []byte(r.Header.Get("Authorization"))
		if p.settings.Admin.Token != "" && subtle.ConstantTimeCompare(given, expected) != 1 {
			http.Error(w, "bearer token is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// serveJSON responds with the result of read as JSON.
func serveJSON[T any](read func(ctx context.Context) (T, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), adminReadTimeout)
		defer cancel()
		v, err := read(ctx)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	})
}

func (p *Process) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !p.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (p *Process) status(context.Context) (admin.Status, error) {
	rank, count := p.cluster.rank()
	s := admin.Status{
		Process: p.settings.Process.Name, Place: p.settings.Process.Place, Revision: p.follower.Revision(),
		Refused: p.follower.Refused(), Ready: p.ready.Load(), Stopping: p.stopping.Load(), InFlight: p.inFlight.Load(),
		Rank: rank, Members: count, Holds: p.leases.all(), Links: []admin.Link{},
	}
	for _, l := range p.mesh.Links() {
		s.Links = append(s.Links, admin.Link{Process: l.Name(), Place: l.Place(), Revision: l.Revision()})
	}
	return s, nil
}

func (p *Process) activeConfig(context.Context) (admin.Config, error) {
	folder := p.follower.Folder()
	c := admin.Config{Revision: units.Revision(folder.Revision), Files: []admin.File{}}
	for _, f := range folder.Files {
		c.Files = append(c.Files, admin.File{Name: f.Name, Text: f.Text})
	}
	return c, nil
}

func (p *Process) engines(context.Context) ([]admin.Engine, error) {
	engines := []admin.Engine{}
	for _, v := range p.pool.all() {
		report, reportedAt, ok := v.LatestReport()
		e := admin.Engine{
			Name: v.Engine.Name, Service: v.Engine.Service, Address: v.Engine.Address, Role: v.Role(),
			InFlight: v.InFlight(), Blocked: v.Blocked().String(), Reported: ok, Report: report,
		}
		if ok {
			e.ReportAge = p.clock().Sub(reportedAt).Round(time.Millisecond).String()
		}
		engines = append(engines, e)
	}
	slices.SortFunc(engines, func(a, b admin.Engine) int { return compareNames(a.Name, b.Name) })
	return engines, nil
}

func (p *Process) orders(ctx context.Context) ([]order.Record, error) {
	return order.List(ctx, p.store, order.Prefix)
}

// openClaims lists the claims without an outcome.
func (p *Process) openClaims(ctx context.Context) ([]claim.Claim, error) {
	return claim.ListOpen(ctx, p.store)
}

func compareNames(a, b units.EngineName) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

var _ objapi.Store = (*objapi.Client)(nil)
