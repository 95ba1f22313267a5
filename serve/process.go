// Package serve implements the entry process: it connects the stages of request handling with the control loops.
package serve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/buckthorntrack/buckthorntrack/claim"
	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/conns"
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/head"
	"github.com/buckthorntrack/buckthorntrack/holder"
	"github.com/buckthorntrack/buckthorntrack/ident"
	"github.com/buckthorntrack/buckthorntrack/limit"
	"github.com/buckthorntrack/buckthorntrack/metric"
	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/peer"
	"github.com/buckthorntrack/buckthorntrack/poison"
	"github.com/buckthorntrack/buckthorntrack/relay"
	"github.com/buckthorntrack/buckthorntrack/send"
	"github.com/buckthorntrack/buckthorntrack/socket"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
	"github.com/buckthorntrack/buckthorntrack/zone"
)

const (
	// stopPollInterval is the time between checks of the requests in flight during a planned stop.
	stopPollInterval = 20 * time.Millisecond
	// maxPlatformIdleConns is the maximum number of idle connections to the platform.
	maxPlatformIdleConns = 16
)

// Process is an entry process, which serves callers and peers in one availability zone.
type Process struct {
	settings config.Settings
	clock    units.Clock
	log      zerolog.Logger
	metrics  *metric.Metrics
	store    objapi.Store

	mesh           *peer.Mesh
	follower       *head.Follower
	cluster        *clusterView
	pool           *pool
	cordons        *holder.CordonWatcher
	limits         *limit.Stage
	forwarder      *zone.Forwarder
	callerPipeline flow.Pipeline
	peerPipeline   flow.Pipeline

	guard           *conns.Guard
	callersListener net.Listener
	peersListener   net.Listener
	adminListener   net.Listener
	ready           atomic.Bool
	stopping        atomic.Bool
	inFlight        atomic.Int64
	leases          leaseSet
	wg              conc.WaitGroup
}

// New returns a process with open listeners, and a function that releases its resources.
func New(s config.Settings, n socket.Network, clock units.Clock, log zerolog.Logger) (*Process, func(), error) {
	p := &Process{settings: s, clock: clock, log: log, metrics: metric.New(s.Limits.TenantLabels)}
	p.guard = newGuard(s.Limits, clock, p.metrics)
	if err := p.listen(n); err != nil {
		return nil, nil, err
	}
	platform := &http.Transport{DialContext: n.Dial, MaxIdleConnsPerHost: maxPlatformIdleConns}
	store, closeStore, err := objapi.New(s.Platform.Address, zoneRoundTripper{next: platform, place: s.Process.Place})
	if err != nil {
		p.closeListeners()
		return nil, nil, err
	}
	p.store = store
	ctx, cancel := context.WithCancel(context.Background())
	closeParts := p.buildParts(ctx, n)
	return p, func() {
		cancel()
		closeParts()
		closeStore()
		p.closeListeners()
	}, nil
}

// buildParts creates the parts of the process in the order of their dependencies, and returns a function that closes
// them.
func (p *Process) buildParts(ctx context.Context, n socket.Network) func() {
	s := p.settings
	p.follower = head.NewFollower(p.store, func() bool { return p.cluster.watches() }, p.log)
	mesh, closeMesh := peer.New(peer.Options{
		Name: s.Process.Name, Place: s.Process.Place, Address: s.Peers.Listen, Key: s.Peers.Key, Seeds: s.Peers.Seeds,
		Interval: s.Peers.Interval, Timeout: s.Peers.Timeout, Dial: n.Dial, Clock: p.clock, Log: p.log,
		Config: p.follower, Handler: p.handlePeer, OnLinkLost: func(name units.ProcessName) { p.cluster.reportLost(name) },
		IsGateway: func() bool { return p.cluster.watches() },
	})
	p.mesh = mesh
	p.cluster = newClusterView(s, p.store, mesh, p.clock, p.log)
	upstreams, closeUpstreams := engine.Transport(n.Dial)
	p.pool = newPool(ctx, s.Process.Place, upstreams, p.clock)
	p.cordons = holder.NewCordonWatcher(
		s.Process.Place, s.Process.Name, s.Peers.Listen, mesh, p.pool, s.Authority.Permit, p.clock)
	p.pool.onStart = p.runService
	p.pool.onChange = p.cordons.Apply
	p.forwarder = zone.New(s.Process.Place, mesh, p.clock)
	closeStages := p.buildStages()
	p.follower.OnChange(p.pool.Set)
	return func() {
		p.pool.wg.Wait()
		closeStages()
		closeMesh()
		closeUpstreams()
	}
}

// buildStages creates the stages of request handling, and returns a function that closes them.
func (p *Process) buildStages() func() {
	claims, closeClaims := claim.New(p.store, p.settings.Process.Name, p.cluster.alive, p.clock, p.log)
	suspects, closeSuspects := poison.New(p.mesh.Table(), p.mesh.Flush, p.clock, p.log)
	p.limits = limit.New(p.settings.Process.Name, p.settings.Process.Place, p.mesh.Table(), p.clock)
	all := stages{
		identify: ident.New(p.settings.Limits.BodyBytes, p.follower.IsOutdated, p.clock),
		limit:    p.limits,
		screen:   suspects,
		claim:    claims,
		send:     send.New(p.pool, p.forwarder, suspects, p.metrics, p.clock),
		record:   claim.NewRecorder(claims),
		relay:    relay.New(p.settings.Limits.WriteTimeout, p.metrics, p.clock),
	}
	p.callerPipeline = all.callers()
	p.peerPipeline = all.peers()
	return func() {
		closeSuspects()
		closeClaims()
	}
}

// Run serves until ctx ends, and then stops gracefully. It returns nil after a planned stop, and otherwise the error of
// the server that failed.
func (p *Process) Run(ctx context.Context) error {
	loops, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	callerServer := p.callerServer()
	adminServer := &http.Server{Handler: p.adminHandler(), ReadHeaderTimeout: p.settings.Limits.ReadTimeout}
	peerServer := &http.Server{Handler: p.mesh, ReadHeaderTimeout: p.settings.Limits.ReadTimeout}
	errs := make(chan error, 3)
	p.serve(callerServer, p.callersListener, errs)
	p.serve(adminServer, p.adminListener, errs)
	p.serve(peerServer, p.peersListener, errs)
	p.startLoops(loops)
	p.log.Info().Str("listen", p.settings.Process.Listen).Str("place", string(p.settings.Process.Place)).
		Msg("serve: started")

	var err error
	select {
	case <-ctx.Done():
		p.stop(callerServer)
	case err = <-errs:
	}
	stopLoops()
	p.deregister()
	_ = adminServer.Close()
	_ = peerServer.Close()
	_ = callerServer.Close()
	p.wg.Wait()
	p.log.Info().Msg("serve: stopped")
	return err
}

// stop fails readiness, waits until the load balancer has had time to react, and then waits for the requests in flight.
func (p *Process) stop(server *http.Server) {
	p.log.Info().Msg("serve: planned stop begins")
	p.stopping.Store(true)
	p.ready.Store(false)
	p.cordons.SetState(p.follower.Revision(), true)
	p.cordons.Announce()
	p.mesh.Flush()
	time.Sleep(p.settings.Process.StopDelay)
	ctx := context.Background()
	if p.settings.Process.StopAfter > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.settings.Process.StopAfter)
		defer cancel()
	}
	if err := server.Shutdown(ctx); err != nil {
		p.log.Warn().Err(err).Msg("serve: requests were cut off at the time limit of the stop")
	}
	for p.busy() && wait.Sleep(ctx, stopPollInterval) {
		continue
	}
}

// busy reports whether requests of callers or peers are still running.
func (p *Process) busy() bool {
	serving := 0
	for _, l := range p.mesh.Links() {
		serving += l.Serving()
	}
	return serving > 0 || p.inFlight.Load() > 0
}

// deregister releases the leases and removes the process from the platform.
func (p *Process) deregister() {
	p.leases.stop()
	ctx, cancel := context.WithTimeout(context.Background(), 2*objapi.CallTimeout)
	defer cancel()
	p.cluster.deregister(ctx)
}

// serve runs the server, and sends the error if it ends without being closed.
func (p *Process) serve(server *http.Server, listener net.Listener, errs chan<- error) {
	if guarded, ok := listener.(*conns.Listener); ok {
		server.ConnState = guarded.Track
	}
	p.wg.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			errs <- fmt.Errorf("serve %s: %w", listener.Addr(), err)
		}
	})
}

// listen opens all listeners, or none if one fails.
func (p *Process) listen(n socket.Network) error {
	callers, others := connectionLimits(p.settings.Limits)
	targets := []struct {
		name     string
		address  string
		limit    int
		listener *net.Listener
	}{
		{"callers", p.settings.Process.Listen, callers, &p.callersListener},
		{"peers", p.settings.Peers.Listen, others, &p.peersListener},
		{"admin", p.settings.Admin.Listen, others, &p.adminListener},
	}
	for _, t := range targets {
		l, err := n.Listen(t.address)
		if err != nil {
			p.closeListeners()
			return fmt.Errorf("listen on %s: %w", t.address, err)
		}
		*t.listener = p.guard.Listen(l, t.name, t.limit)
	}
	return nil
}

func (p *Process) closeListeners() {
	for _, l := range []net.Listener{p.callersListener, p.peersListener, p.adminListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// zoneRoundTripper adds a header with the availability zone of this process to requests to the platform.
type zoneRoundTripper struct {
	next  http.RoundTripper
	place units.PlaceName
}

// RoundTrip implements http.RoundTripper.
func (t zoneRoundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(objapi.PlaceHeader, string(t.place))
	return t.next.RoundTrip(r)
}

// CallersAddress returns the address of the listener for callers.
func (p *Process) CallersAddress() string {
	return p.callersListener.Addr().String()
}

// AdminAddress returns the address of the administration listener.
func (p *Process) AdminAddress() string {
	return p.adminListener.Addr().String()
}
