// Package front is the entry process for routes whose configuration and engines are registered on the platform.
package front

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

	"github.com/buckthorntrack/buckthorntrack/assign"
	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/conns"
	"github.com/buckthorntrack/buckthorntrack/epoch"
	"github.com/buckthorntrack/buckthorntrack/gossip"
	"github.com/buckthorntrack/buckthorntrack/keys"
	"github.com/buckthorntrack/buckthorntrack/memory"
	"github.com/buckthorntrack/buckthorntrack/mirror"
	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/proxy"
	"github.com/buckthorntrack/buckthorntrack/reach"
	"github.com/buckthorntrack/buckthorntrack/roster"
	"github.com/buckthorntrack/buckthorntrack/socket"
	"github.com/buckthorntrack/buckthorntrack/trait"
	"github.com/buckthorntrack/buckthorntrack/tunnel"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

const (
	// watchTimeout is how long the platform holds a watch of the configuration or the engines open. The first process of
	// the fleet has shorter watches and tells the others of new versions.
	watchTimeout = 6 * time.Second
	// membersWatchTimeout is the same for the list of processes, which is not time-critical.
	membersWatchTimeout = 20 * time.Second
	// quarantinesWatchTimeout is the same for the quarantines, which processes also tell each other.
	quarantinesWatchTimeout = 25 * time.Second
	// maxHeadBytes bounds the heads of answers of the platform, and of requests for health and metrics.
	maxHeadBytes = 16 << 10
)

// Network opens connections, listeners and datagram sockets.
type Network struct {
	socket.Network
	ListenPacket func(address string) (net.PacketConn, error)
}

// Clocks holds the two clocks of a process.
type Clocks struct {
	Monotonic units.Clock // stops while the VM is suspended
	BootTime  units.Clock // continues while the VM is suspended; used for leases
	Wall      units.Clock // time of day, which may step; nil for that of Monotonic
}

// Adapter holds the key prefixes, message formats and decoders of a platform.
type Adapter struct {
	Dialect       objapi.Dialect
	Format        proxy.Format
	ConfigPrefix  string
	ConfigKey     string
	EnginesPrefix string
	NewOrders     func(transport http.RoundTripper) assign.Orders
	NewDutyAPI    func(transport http.RoundTripper, address string) DutyAPI
	DecodeConfig  func(value []byte) (*config.Config, error)
	DigestKeys    func(value []byte) []byte // replaces the keys in a configuration by their digests
	ListKeys      func(value []byte) ([]keys.Digest, bool)
	DecodeEngine  func(id string, value []byte, regions map[units.PlaceName]units.RegionName) (pick.Entry, error)
}

// Process receives requests and sends them to engines.
type Process struct {
	settings    config.Settings
	clock       units.Clock
	log         zerolog.Logger
	metrics     *Metrics
	config      atomic.Pointer[config.Config]
	roster      *roster.Roster
	engineSink  *engineSink
	mirror      *mirror.Mirror
	store       *objapi.Client
	gossip      *gossip.Gossip
	memberSink  *memberSink
	retirer     *retirer
	traits      *trait.Detector
	epochs      *epoch.Book
	versionSink *versionSink
	// registration is the object by which the process is registered, nil before.
	registration atomic.Pointer[objapi.Object]
	registering  atomic.Bool // the registration is lost and being written again
	started      time.Time
	orders       assign.Orders
	bootClock    units.Clock // continues while the VM is suspended
	pipeline     pipeline
	known        *knowledge // of the configuration
	accounts     *accountStage
	sender       *proxy.Stage   // last stage of the pipeline
	memory       *memory.Budget // that requests share
	format       proxy.Format
	reach        *reach.Network
	tunnels      *tunnel.Client // connections to engines through other processes
	passed       *tunnel.Server // connections to engines for other processes
	transport    *renewedTransport
	closeIdle    func() // closes idle connections to engines
	fleetDuties
	demands demands

	guard     *conns.Guard
	closings  *closings
	peers     *conns.Listener
	listeners [4]net.Listener
	callers   *conns.Listener
	stopping  atomic.Bool
	refusing  atomic.Bool     // new requests are refused, as they might outlast the grace period
	ended     context.Context // done when the requests that are left in a stop must be answered
	end       func()
	inFlight  atomic.Int64
	// lastRequestAt is the uptime in nanoseconds when the last request came.
	lastRequestAt atomic.Int64
	wg            conc.WaitGroup
}

// Indexes of Process.listeners.
const (
	callerListener = iota
	healthListener
	metricsListener
	peerListener
)

// New returns a process with open listeners, and a function that closes its listeners and connections.
func New(
	s config.Settings, n Network, a Adapter, clocks Clocks, log zerolog.Logger,
) (*Process, func(), error) {
	clock := clocks.Monotonic
	regions, err := parseRegions(s.Routed.Regions)
	if err != nil {
		return nil, nil, err
	}
	p := &Process{
		settings: s, clock: clock, bootClock: clocks.BootTime, log: log, metrics: NewMetrics(), format: a.Format,
		started: clock(), memory: newMemory(s.Limits.Memory),
	}
	p.closings = newClosings(p.metrics)
	p.guard = newGuard(s.Limits, clock, p.closings.add)
	p.ended, p.end = context.WithCancel(context.Background())
	if err := p.listen(n); err != nil {
		return nil, nil, err
	}
	datagrams, err := n.ListenPacket(s.Peers.Listen)
	if err != nil {
		p.closeListeners()
		return nil, nil, fmt.Errorf("listen for UDP datagrams on %s: %w", s.Peers.Listen, err)
	}
	store, closeStore, err := objapi.NewWith(s.Platform.Address, &http.Transport{DialContext: n.Dial, MaxResponseHeaderBytes: maxHeadBytes},
		objapi.Options{Dialect: a.Dialect, WatchWait: watchTimeout})
	if err != nil {
		_ = datagrams.Close()
		p.closeListeners()
		return nil, nil, err
	}
	p.roster = roster.New(log)
	if s.Routed.Pace {
		p.roster.EnablePace(clock)
	}
	p.engineSink = newEngineSink(p.roster, a, regions, s.Routed, clock, log)
	p.store = store
	p.gossip = gossip.New(gossip.Options{
		Name: s.Process.Name, Place: s.Process.Place, Region: s.Routed.Region, Key: s.Peers.Key,
		SmallFleet: gossip.SmallFleet, Leaders: mirror.RegionReaders, Fanout: mirror.Fanout, Conn: datagrams,
		Sink: roster.NewRemoteWork(p.roster, clock), Clock: clock, BootTime: clocks.BootTime, Log: log,
	})
	p.memberSink = newMemberSink(p.gossip, log, p.checkRegistration)
	p.retirer = newRetirer()
	p.gossip.OnUnknown(p.restoreMember)
	records := newQuarantineRecords(store, p.isFirstOfFleet)
	var closeTraits func()
	p.traits, closeTraits = trait.New(trait.Options{Messenger: p.gossip, Records: records, Clock: clock, Log: log})
	p.gossip.OnTraits(p.traits, p.readers)
	p.versionSink = &versionSink{store: store, log: log}
	var closeEpochs func()
	p.epochs, closeEpochs = epoch.New(epoch.Options{
		Records: p.versionSink, Engines: p.roster.ModelRunners, IsFirst: p.isFirstOfFleet, IsSubstitute: p.isReader,
		IsLost: p.versionSink.lost.Load, IsIsolated: p.isIsolated, Processes: p.registeredNames, Name: s.Process.Name,
		Messenger: p.gossip, Clock: clock, Log: log,
	})
	p.versionSink.book = p.epochs
	p.gossip.OnStreams(p.epochs)
	closePaths := p.openPaths(n, a)
	configs := &configSink{process: p, adapter: a, listed: &listedKeys{}}
	feed := p.configFeed(a, configs)
	p.known = p.newKnowledge(configs, feed)
	p.accounts = p.newAccountStage(a, configs)
	quarantines := &quarantineSink{detector: p.traits, records: records}
	var closeMirror func()
	p.mirror, closeMirror = mirror.New(mirror.Options{
		Name: s.Process.Name, Place: s.Process.Place, Region: s.Routed.Region, FirstStart: s.Routed.FirstStart,
		Key: s.Peers.Key, Listener: p.listeners[peerListener],
		ConnState: p.peers.Track, Others: p.passed, Dial: n.Dial, Platform: store, Present: p.memberSink.present, Announce: p.announceVersion, Clock: clock,
		ShortestOutage: s.Routed.RenewInterval / 2,
		BootTime:       clocks.BootTime, Log: log, Observer: p.metrics,
		Feeds: []mirror.Feed{
			{
				Name: "processes", Prefix: membersPrefix, Sink: p.memberSink, Keep: p.memberSink.keep,
				WatchTimeout: membersWatchTimeout, FirstWatchTimeout: membersWatchTimeout,
			},
			feed,
			{
				Name: "engines", Prefix: a.EnginesPrefix, Sink: p.engineSink, Keep: p.engineSink.keep,
				WatchTimeout: watchTimeout, FirstWatchTimeout: firstWatchTimeout(s.Routed),
			},
			{
				Name: "quarantines", Prefix: quarantinePrefix, Sink: quarantines, Keep: quarantines.keep,
				WatchTimeout: quarantinesWatchTimeout, FirstWatchTimeout: quarantinesWatchTimeout,
			},
			{
				Name: "versions", Prefix: versionsPrefix, Sink: p.versionSink, Keep: p.versionSink.keep,
				WatchTimeout: watchTimeout, FirstWatchTimeout: watchTimeout,
			},
		},
	})
	p.gossip.OnNewerVersion(p.mirror.NotifyNewer)
	p.openDuties(n, a, clocks)
	p.registerGauges()
	sender, waitSender := proxy.New(proxy.Options{
		Place: s.Process.Place, Region: s.Routed.Region, Format: a.Format, Engines: p.roster, Transport: p.transport, Idle: p.transport,
		RetryBudget: p.retryBudget, Observer: p.metrics, LoadPublisher: p.gossip, Screen: p.traits, Versions: p.epochs, Stop: p, Reach: p.reach, CopyShared: p.settings.Routed.CopyShared, Usage: p.countedUsage(), Demand: p.demands.meter,
		Accounts: p.accounts, Clock: clock, Log: log,
	})
	p.sender = sender
	p.pipeline = pipeline{
		&parseStage{format: a.Format}, &matchStage{knowledge: p.known, clock: clock}, p.accounts, newAcceptStage(p.known, p.memory, p.guard, s.Limits), sender,
	}
	return p, func() {
		waitSender()
		closeEpochs()
		closeTraits()
		closePaths()
		closeMirror()
		closeStore()
		p.closeListeners()
	}, nil
}

// firstWatchTimeout returns how long the platform holds a watch of the first process of the fleet open. It bounds the
// time for which a watch that misses a change goes unnoticed.
func firstWatchTimeout(s config.Routed) time.Duration {
	return min(s.ApplyTime, s.DrainTime, 2*watchTimeout) / 2
}

// Run serves until ctx ends and then shuts down gracefully, or until a listener fails. It returns nil in the first
// case.
func (p *Process) Run(ctx context.Context) error {
	loopCtx, cancelLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelLoops()
	servers := [...]*http.Server{
		callerListener: {
			Handler: http.HandlerFunc(p.handle), MaxHeaderBytes: maxCallerHeadBytes, ConnContext: p.callers.ConnContext,
		},
		healthListener:  {Handler: http.HandlerFunc(p.handleReady), MaxHeaderBytes: maxHeadBytes},
		metricsListener: {Handler: p.metricsHandler(), MaxHeaderBytes: maxHeadBytes},
	}
	failed := make(chan error, len(servers))
	for i, server := range servers {
		if p.listeners[i] == nil {
			continue
		}
		p.guardServer(server, p.listeners[i])
		p.wg.Go(func() {
			if err := server.Serve(p.listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				failed <- fmt.Errorf("serve %s: %w", p.listeners[i].Addr(), err)
			}
		})
	}
	p.wg.Go(func() {
		p.join(loopCtx)
		p.mirror.Run(loopCtx)
	})
	p.wg.Go(func() { p.engineSink.run(loopCtx) })
	p.wg.Go(func() { p.gossip.Run(loopCtx) })
	p.wg.Go(func() { p.traits.Run(loopCtx) })
	p.wg.Go(func() { p.epochs.Run(loopCtx) })
	p.wg.Go(func() { p.detectSuspension(loopCtx) })
	p.wg.Go(func() { wait.Every(loopCtx, sweepInterval, p.guard.Sweep) })
	p.wg.Go(func() { wait.Every(loopCtx, closingsInterval, func() { p.closings.log(p.log) }) })
	p.wg.Go(func() { wait.Every(loopCtx, retireInterval, func() { p.retire(loopCtx) }) })
	p.runPace(loopCtx)
	p.wg.Go(func() { _ = p.reach.Run(loopCtx) }) // only the error of the context
	roleCtx, cancelRoles := context.WithCancel(loopCtx)
	defer cancelRoles()
	p.wg.Go(func() { p.runRoleControllers(roleCtx) })
	p.startDuties(loopCtx, roleCtx)
	p.log.Info().Str("listen", p.settings.Process.Listen).Str("place", string(p.settings.Process.Place)).
		Msg("front: started")

	var err error
	select {
	case <-ctx.Done():
		cancelRoles()
		p.shutDown(servers[callerListener])
		p.sendLastUsage()
	case err = <-failed:
	}
	cancelLoops()
	for _, server := range servers {
		_ = server.Close() // any request left has exceeded the grace period
	}
	p.wg.Wait()
	p.log.Info().Msg("front: stopped")
	return err
}

// uptime returns the time since the start of the process.
func (p *Process) uptime() time.Duration {
	return p.clock().Sub(p.started)
}

// Reload logs whether the settings file has changed. New settings apply after a restart.
func (p *Process) Reload(s config.Settings) {
	p.log.Info().Bool("changed", fmt.Sprint(s) != fmt.Sprint(p.settings)).
		Msg("front: settings were read again, changes apply after a restart")
}

// retryBudget returns this process's share of the retry budget of a service.
func (p *Process) retryBudget() proxy.RetryBudget {
	s := p.settings.Routed
	processes := 0
	if p.memberSink.loaded.Load() {
		processes = p.gossip.RegisteredProcesses()
	}
	total := proxy.RetryBudget{Ratio: s.RepeatRatio, Slack: s.RepeatSlack, Window: s.RepeatWindow}
	return total.Share(processes, p.uptime() < s.RepeatWindow)
}

// ready reports whether the process has a configuration and engines, reaches engines, accepts connections and is not stopping. It needs
// the number of processes as well, which determines its share of the retry budget, and once the age by which keys are checked.
func (p *Process) ready() bool {
	return !p.stopping.Load() && !p.callers.IsFull() && !p.reach.Stranded() && p.memberSink.loaded.Load() && p.config.Load() != nil && p.roster.Len() > 0 &&
		(p.accounts.canCheck() || p.uptime() > proofTime)
}

func (p *Process) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !p.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (p *Process) listen(n Network) error {
	for i, address := range []string{
		callerListener: p.settings.Process.Listen, healthListener: p.settings.Routed.Ready,
		metricsListener: p.settings.Routed.Metrics, peerListener: p.settings.Peers.Listen,
	} {
		if address == "" {
			continue
		}
		l, err := n.Listen(address)
		if err != nil {
			p.closeListeners()
			return fmt.Errorf("listen on %s: %w", address, err)
		}
		p.listeners[i] = p.guardListener(l, i)
	}
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

// Address returns the address at which the process accepts requests.
func (p *Process) Address() string {
	return p.listeners[callerListener].Addr().String()
}
