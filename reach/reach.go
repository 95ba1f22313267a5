// Package reach dials engines, through another process while this one reaches no engine.
package reach

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/units"
)

var (
	// ErrPathLost is wrapped by the errors of connections that the network broke off because this process reaches no
	// engine.
	ErrPathLost = errors.New("reach: path to engine lost")
	// ErrEngineUnreachable is wrapped by errors of Options.Tunnel if the process passes connections on, but did not reach
	// the engine.
	ErrEngineUnreachable = errors.New("reach: engine is not reached from the other process")
)

// Process is another process of the fleet, which may pass connections on to engines.
type Process struct {
	Name    units.ProcessName
	Address string
	Region  units.RegionName
}

// Options are the dependencies of a Network. All functions must be safe for concurrent use.
type Options struct {
	// Dial connects to an engine directly.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Tunnel connects to an engine through the process at an address. It returns once that process has connected to the
	// engine. After an error, no byte has reached the engine. ctx bounds the setup, not the connection.
	Tunnel func(ctx context.Context, process, engine string) (net.Conn, error)
	// Processes returns the other processes of the fleet. The result is not modified.
	Processes func() []Process
	// Region is the region of this process.
	Region units.RegionName
	// Engines returns the addresses of the known engines of all services. The result is not modified.
	Engines func() []string
	// Group returns a name that an engine shares with those that tend to be out of reach together, such as its service.
	// Probes are spread over the groups. Nil stands for a single group.
	Group func(engine string) string
	Clock units.Clock
	// Rand returns a number in [0, n). Nil stands for rand.IntN. It is not called concurrently.
	Rand func(n int) int
	Log  zerolog.Logger
}

// Network dials engines.
type Network struct {
	options Options
	ctx     context.Context // ends with the clean-up function
	wg      sync.WaitGroup
	start   time.Time
	tick    atomic.Int64 // nanoseconds since start at the latest tick, at least 1
	now     atomic.Uint32
	alone   atomic.Bool
	away    atomic.Int64 // open connections through other processes
	conns   connections
	counts  counters
	rounds  chan []string // probes of a new suspicion

	mu         sync.Mutex
	belief     belief
	choice     choice
	brokenOff  bool // in this isolation
	closed     bool
	onIsolated []func()
	onReached  []func()
}

// New returns a network, and a function that ends its dials and probes. Connections belong to their callers.
func New(options Options) (*Network, func()) {
	if options.Group == nil {
		options.Group = func(string) string { return "" }
	}
	if options.Rand == nil {
		options.Rand = rand.IntN
	}
	ctx, cancel := context.WithCancel(context.Background())
	now := options.Clock()
	n := &Network{
		options: options, ctx: ctx, start: now, rounds: make(chan []string, 1), belief: newBelief(now),
		choice: newChoice(options.Region, options.Rand), conns: connections{open: map[*conn]struct{}{}},
	}
	n.tick.Store(1)
	return n, func() {
		n.mu.Lock()
		n.closed = true
		n.mu.Unlock()
		cancel()
		n.wg.Wait()
	}
}

// Isolated reports whether this process reaches no engine directly.
func (n *Network) Isolated() bool { return n.load() == isolated }

// Stranded reports whether this process reaches no engine, neither directly nor through another process.
func (n *Network) Stranded() bool { return n.alone.Load() }

// OnIsolated registers a function that is called each time the process becomes isolated, before silent connections are
// broken off. It must not block.
func (n *Network) OnIsolated(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onIsolated = append(n.onIsolated, f)
}

// OnReached registers a function that is called when engines are reached directly again while connections through other
// processes may be open. It must not block.
func (n *Network) OnReached(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onReached = append(n.onReached, f)
}

func (n *Network) load() state { return state(n.now.Load()) }

// spawn runs a function in a goroutine that the clean-up function waits for. It returns false after the clean-up.
func (n *Network) spawn(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.wg.Go(f)
	return true
}

// succeeded records a direct dial that connected.
func (n *Network) succeeded(engine string) {
	n.mu.Lock()
	before := n.belief.state
	now := n.options.Clock()
	changed := n.belief.succeeded(n.options.Group(engine), now)
	var callbacks []func()
	if changed {
		n.now.Store(uint32(reached))
		if before == isolated {
			n.options.Log.Warn().Str("engine", engine).Dur("isolatedFor", now.Sub(n.belief.isolatedAt)).
				Msg("reach: engines are reached directly again")
			n.choice.forget()
		}
		if before == isolated || n.away.Load() > 0 {
			callbacks = slices.Clone(n.onReached)
		}
		n.updateStranded()
	}
	n.mu.Unlock()
	call(callbacks)
}

// failed records a direct dial that failed.
func (n *Network) failed(engine string, timedOut bool) {
	n.mu.Lock()
	now := n.options.Clock()
	changed := n.belief.failed(engine, n.options.Group(engine), timedOut, now)
	if n.belief.suspicious(now) {
		changed = n.suspect(false, now)
	}
	n.finish(changed, now)
}

// slow records a direct dial that has not connected yet.
func (n *Network) slow(engine string) {
	n.mu.Lock()
	now := n.options.Clock()
	n.belief.slow(engine, n.options.Group(engine), now)
	changed := n.belief.suspicious(now) && n.suspect(false, now)
	n.finish(changed, now)
}

// doubts reports whether an engine that is not reached directly may be reached through another process.
func (n *Network) doubts(engine string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.belief.doubts(engine, n.options.Group(engine), n.options.Clock())
}

// suspect starts a suspicion and asks Run for its probes. It returns whether the process became isolated. The caller holds
// the lock.
func (n *Network) suspect(silent bool, now time.Time) bool {
	engines := sample(n.options.Engines(), n.options.Group, sampleSize, n.options.Rand)
	probes, changed := n.belief.suspect(engines, silent, now)
	n.now.Store(uint32(n.belief.state))
	if len(probes) > 0 {
		n.options.Log.Info().Bool("silent", silent).Int("failedEngines", len(n.belief.failures)).
			Dur("lastSuccess", now.Sub(n.belief.succeededAt)).Int("probes", len(probes)).
			Msg("reach: engines are probed as they may be out of reach")
		select {
		case <-n.rounds: // superseded
		default:
		}
		n.rounds <- probes
	}
	return changed
}

// finish unlocks the network and announces that the process became isolated, if so.
func (n *Network) finish(changed bool, now time.Time) {
	var callbacks []func()
	if changed {
		n.now.Store(uint32(isolated))
		n.brokenOff = false
		n.options.Log.Warn().Int("failedEngines", len(n.belief.failures)).Dur("lastSuccess", now.Sub(n.belief.succeededAt)).
			Bool("hangs", n.belief.hangs()).Dur("suspectedFor", now.Sub(n.belief.suspectedAt)).
			Msg("reach: no engine is reached directly")
		n.updateStranded()
		callbacks = slices.Clone(n.onIsolated)
	}
	n.mu.Unlock()
	call(callbacks)
}

func call(callbacks []func()) {
	for _, f := range callbacks {
		f()
	}
}

// updateStranded publishes whether no process passes connections on. The caller holds the lock.
func (n *Network) updateStranded() {
	alone := n.belief.state == isolated && n.choice.stranded(len(n.options.Processes()))
	if n.alone.Swap(alone) == alone {
		return
	}
	if alone {
		n.options.Log.Warn().Msg("reach: no process passes connections on to engines")
	} else {
		n.options.Log.Warn().Msg("reach: engines are reached again, directly or through another process")
	}
}

// order returns the processes to try.
func (n *Network) order() []Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.choice.order(n.options.Processes(), n.options.Clock())
}
