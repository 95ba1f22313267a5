// Package front is the entry process for routes whose configuration and engines stand on the platform.
package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"golang.org/x/net/netutil"

	"github.com/buckthorntrack/buckthorntrack/carry"
	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/gossip"
	"github.com/buckthorntrack/buckthorntrack/links"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/plat"
	"github.com/buckthorntrack/buckthorntrack/roster"
	"github.com/buckthorntrack/buckthorntrack/shift"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

const (
	// speakers is the number of processes of a region whose watches are short, so that one of them may fail.
	speakers = 2
	// speakerWait is how long the platform holds a watch open for these processes. A watch may
	// miss a change when the platform drops its history, so it is asked anew well within the time in which a
	// configuration has to be in force.
	speakerWait = time.Second
	// othersWait is the same for other processes, which learn from those that there is something new.
	othersWait = 10 * time.Second
	// membersWait is the same for processes, on which nothing depends that cannot wait.
	membersWait = 20 * time.Second
	// drainDelay is the time after SIGTERM in which the balancer's two missed questions turn new connections away.
	drainDelay = 3 * time.Second
	// stopMargin is kept between the end of a planned stop and the kill that follows it.
	stopMargin = time.Second
	// stopPoll is the time between two looks at the requests in flight.
	stopPoll = 50 * time.Millisecond
	// headerTimeout bounds the time that a caller takes to send the head of a request.
	headerTimeout = 10 * time.Second
)

// Network makes and accepts connections and datagrams.
type Network struct {
	links.Network
	Packets func(address string) (net.PacketConn, error)
}

// Clocks are the clocks of a process.
type Clocks struct {
	Steady  units.Clock // stands still while the VM is suspended
	Elapsed units.Clock // goes on meanwhile; authority is counted on it
}

// Translation decodes what stands on the platform.
type Translation struct {
	Dialect       plat.Dialect
	Format        carry.Format
	ConfigPrefix  string
	ConfigKey     string
	EnginesPrefix string
	Orders        func(transport http.RoundTripper) shift.Orders
	Config        func(value []byte) (*config.Config, error)
	Entry         func(id string, value []byte, regions map[units.PlaceName]units.RegionName) (pick.Entry, error)
}

// Process is one entry process.
type Process struct {
	settings config.Settings
	clock    units.Clock
	log      zerolog.Logger
	metrics  *Metrics
	config   atomic.Pointer[config.Config]
	roster   *roster.Roster
	engines  *registry
	feeds    []*feed
	store    *plat.Client
	gossip   *gossip.Gossip
	members  *members
	started  time.Time
	orders   shift.Orders
	elapsed  units.Clock // goes on while the VM is suspended
	line     line
	format   carry.Format

	listeners [3]net.Listener // of callers, of the balancer's question, of metrics
	stopping  atomic.Bool
	inFlight  atomic.Int64
	wg        conc.WaitGroup
}

// The indexes of the listeners.
const (
	callers = iota
	balancer
	metrics
)

// New returns a process whose listeners are open, and a function that closes what it holds.
func New(
	s config.Settings, n Network, t Translation, clocks Clocks, log zerolog.Logger,
) (*Process, func(), error) {
	clock := clocks.Steady
	regions, err := parseRegions(s.Routed.Regions)
	if err != nil {
		return nil, nil, err
	}
	p := &Process{settings: s, clock: clock, elapsed: clocks.Elapsed, log: log, metrics: NewMetrics(), format: t.Format, started: clock()}
	if err := p.listen(n); err != nil {
		return nil, nil, err
	}
	datagrams, err := n.Packets(s.Peers.Listen)
	if err != nil {
		p.closeListeners()
		return nil, nil, fmt.Errorf("listen for datagrams on %s: %w", s.Peers.Listen, err)
	}
	store, closeStore, err := plat.NewWith(s.Platform.Address, &http.Transport{DialContext: n.Dial},
		plat.Options{Dialect: t.Dialect, WatchWait: speakerWait})
	if err != nil {
		_ = datagrams.Close()
		p.closeListeners()
		return nil, nil, err
	}
	p.roster = roster.New(log)
	p.engines = newRegistry(p.roster, t, regions, s.Routed.Lapse, clock, log)
	p.store = store
	p.gossip = gossip.New(gossip.Options{
		Name: s.Process.Name, Region: s.Routed.Region, Conn: datagrams, Sink: roster.NewOthers(p.roster, clock), Clock: clock, Log: log,
	})
	p.members = &members{gossip: p.gossip, log: log}
	p.feeds = []*feed{
		p.feed("processes", membersPrefix, p.members, always(membersWait), always(membersGather)),
		p.feed("configuration", t.ConfigPrefix, &configSink{process: p, translation: t}, p.watchWait, p.gather),
		p.feed("engines", t.EnginesPrefix, p.engines, p.watchWait, p.gather),
	}
	p.gossip.OnNewer(p.nudge)
	p.gauges()
	transport, closeTransport := carry.Transport(n.Dial)
	p.orders = t.Orders(transport)
	sender, waitSender := carry.New(carry.Options{
		Place: s.Process.Place, Region: s.Routed.Region, Format: t.Format, Engines: p.roster, Transport: transport,
		Allowance: p.allowance, Observer: p.metrics, Teller: p.gossip, Clock: clock, Log: log,
	})
	p.line = line{&acceptStage{format: t.Format}, &matchStage{clock: clock}, sender}
	return p, func() {
		waitSender()
		closeTransport()
		closeStore()
		p.closeListeners()
	}, nil
}

func (p *Process) feed(name, prefix string, to sink, wait, gather func() time.Duration) *feed {
	return &feed{
		name: name, prefix: prefix, source: p.store, sink: to, wait: wait, gather: gather, log: p.log, metrics: p.metrics,
		saw: func(version int64) { p.gossip.Saw(prefix, version) }, nudges: make(chan struct{}, 1), tried: make(chan struct{}),
	}
}

// watchWait returns how long a watch on what requests depend on is held open.
func (p *Process) watchWait() time.Duration {
	if p.gossip.Rank() < speakers {
		return speakerWait
	}
	return othersWait
}

// gather returns the pause of a feed after a change on which requests depend.
func (p *Process) gather() time.Duration {
	return gatherAmong(p.gossip.Known())
}

func always(d time.Duration) func() time.Duration {
	return func() time.Duration { return d }
}

// nudge has a feed asked anew after another process has seen a newer change.
func (p *Process) nudge(prefix string, version int64) {
	for _, f := range p.feeds {
		if f.prefix == prefix {
			f.nudge(version)
		}
	}
}

// Run serves until ctx ends, and then stops gracefully. It returns nil after a planned stop.
func (p *Process) Run(ctx context.Context) error {
	loops, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	servers := [...]*http.Server{
		callers:  {Handler: http.HandlerFunc(p.handle), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: p.settings.Limits.HeaderBytes},
		balancer: {Handler: http.HandlerFunc(p.handleReady), ReadHeaderTimeout: headerTimeout},
		metrics:  {Handler: p.metrics.Handler(), ReadHeaderTimeout: headerTimeout},
	}
	failed := make(chan error, len(servers))
	for i, server := range servers {
		if p.listeners[i] == nil {
			continue
		}
		p.wg.Go(func() {
			if err := server.Serve(p.listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				failed <- fmt.Errorf("serve %s: %w", p.listeners[i].Addr(), err)
			}
		})
	}
	// The other processes are asked for first: one that is ready knows its part of the repeats.
	p.wg.Go(func() { p.feeds[0].run(loops) })
	for _, f := range p.feeds[1:] {
		p.wg.Go(func() {
			select {
			case <-p.feeds[0].tried:
				f.run(loops)
			case <-loops.Done():
			}
		})
	}
	p.wg.Go(func() { p.engines.run(loops) })
	p.wg.Go(func() { p.gossip.Run(loops) })
	p.wg.Go(func() { p.join(loops) })
	roles, stopRoles := context.WithCancel(loops)
	defer stopRoles()
	p.wg.Go(func() { p.runRoles(roles) })
	p.log.Info().Str("listen", p.settings.Process.Listen).Str("place", string(p.settings.Process.Place)).Msg("front: started")

	var err error
	select {
	case <-ctx.Done():
		stopRoles()
		p.stop(servers[callers])
	case err = <-failed:
	}
	stopLoops()
	for _, server := range servers {
		_ = server.Close() // what is left was cut off by the grace time
	}
	p.wg.Wait()
	p.log.Info().Msg("front: stopped")
	return err
}

// stop lets the balancer turn away, and then waits for the requests in flight within the grace time.
func (p *Process) stop(server *http.Server) {
	p.log.Info().Int64("inFlight", p.inFlight.Load()).Msg("front: planned stop begins")
	p.stopping.Store(true)
	p.wg.Go(p.leave)
	ctx, cancel := context.WithTimeout(context.Background(), max(p.settings.Routed.Grace-stopMargin, stopMargin))
	defer cancel()
	if !wait.Sleep(ctx, drainDelay) {
		return
	}
	if err := server.Shutdown(ctx); err != nil {
		p.log.Warn().Err(err).Int64("inFlight", p.inFlight.Load()).Msg("front: requests were cut off by the grace time")
	}
	for p.inFlight.Load() > 0 && wait.Sleep(ctx, stopPoll) {
		continue
	}
}

// Reload tells that the settings file has changed. Addresses and limits stay until the next start.
func (p *Process) Reload(s config.Settings) {
	p.log.Info().Bool("changed", fmt.Sprint(s) != fmt.Sprint(p.settings)).Msg("front: settings were read again")
}

// allowance returns this process's part of the repeated sends that a service bears.
func (p *Process) allowance() carry.Allowance {
	s := p.settings.Routed
	processes := 0
	if p.members.known.Load() {
		processes = p.gossip.Known()
	}
	whole := carry.Allowance{Ratio: s.Ratio, Slack: s.Slack, Window: s.Window}
	return whole.Share(processes, p.clock().Sub(p.started) < s.Window)
}

// ready reports whether the process can serve.
func (p *Process) ready() bool {
	return !p.stopping.Load() && p.config.Load() != nil && p.roster.Len() > 0
}

func (p *Process) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !p.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (p *Process) listen(n Network) error {
	for i, address := range []string{p.settings.Process.Listen, p.settings.Routed.Ready, p.settings.Routed.Metrics} {
		if address == "" {
			continue
		}
		l, err := n.Listen(address)
		if err != nil {
			p.closeListeners()
			return fmt.Errorf("listen on %s: %w", address, err)
		}
		p.listeners[i] = l
	}
	p.listeners[callers] = netutil.LimitListener(p.listeners[callers], p.settings.Limits.Connections)
	return nil
}

func (p *Process) closeListeners() {
	for _, l := range p.listeners {
		if l != nil {
			_ = l.Close()
		}
	}
}

func (p *Process) configVersion() float64 {
	if cfg := p.config.Load(); cfg != nil {
		return float64(cfg.Revision)
	}
	return 0
}

// gauges registers what is read when metrics are.
func (p *Process) gauges() {
	p.metrics.Gauge("processes_known", "Entry processes that stand on the platform.", func() float64 { return float64(p.gossip.Known()) })
	p.metrics.Gauge("processes_heard", "Entry processes that are heard.", func() float64 { return float64(p.gossip.Live()) })
	p.metrics.Gauge("gossip_lost", "Messages to other processes that could not be sent.", func() float64 { return float64(p.gossip.Lost()) })
	p.metrics.Gauge("engines", "Engines in the registry.", func() float64 { return float64(p.roster.Len()) })
	p.metrics.Gauge("requests_in_flight", "Requests in flight.", func() float64 { return float64(p.inFlight.Load()) })
	p.metrics.Gauge("config_version", "Version of the configuration in force.", p.configVersion)
}

// Gauge adds a gauge to the process's metrics.
func (p *Process) Gauge(name, help string, read func() float64) {
	p.metrics.Gauge(name, help, read)
}

// Address returns the address for callers.
func (p *Process) Address() string {
	return p.listeners[callers].Addr().String()
}

func parseRegions(texts []string) (map[units.PlaceName]units.RegionName, error) {
	regions := make(map[units.PlaceName]units.RegionName, len(texts))
	for _, text := range texts {
		place, region, ok := strings.Cut(text, ":")
		if !ok {
			return nil, fmt.Errorf("setting regions of [routed]: %q is not a zone and its region", text)
		}
		regions[units.PlaceName(place)] = units.RegionName(region)
	}
	return regions, nil
}
