package reach

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthorntrack/buckthorntrack/wait"
)

const (
	// tickInterval is the resolution of the times of connections.
	tickInterval = 50 * time.Millisecond
	// sampleSize is the number of engines whose dials must fail before no engine counts as reached.
	sampleSize = 24
	// probeTimeout bounds a probe, a direct dial.
	probeTimeout = 250 * time.Millisecond
	// stallTime is the delay of a timer after which the process is taken to have stood still.
	stallTime = 100 * time.Millisecond
	// probeStagger is the time between the steps of a round of probes.
	probeStagger = 70 * time.Millisecond
	// isolatedInterval is the time between the probes of an isolated process; each time it probes isolatedProbes engines.
	isolatedInterval = 500 * time.Millisecond
	isolatedProbes   = 2
)

// roundSteps are the numbers of engines that the steps of a round probe; the last step probes the rest.
var roundSteps = [...]int{2, 6, sampleSize}

// Run probes engines and processes while the process may be partitioned from the engines. It returns the error of ctx.
func (n *Network) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer func() {
		cancel()
		running.Wait()
	}()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	probed := n.options.Clock()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case engines := <-n.rounds:
			running.Go(func() { n.round(ctx, engines) })
		case <-ticker.C:
			now := n.options.Clock()
			n.tick.Store(max(1, int64(now.Sub(n.start))))
			switch n.load() {
			case reached:
				n.checkSilence(now)
			case suspected:
			case isolated:
				n.sweep()
				if now.Sub(probed) >= isolatedInterval {
					probed = now
					n.probeIsolated(ctx, &running)
				}
			}
		}
	}
}

// round probes the engines of a suspicion, few at first, until one is reached.
func (n *Network) round(ctx context.Context, engines []string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var probes sync.WaitGroup
	defer probes.Wait()
	for i, step := range roundSteps {
		if i > 0 && !wait.Sleep(ctx, probeStagger) || n.load() != suspected {
			return
		}
		step = min(step, len(engines))
		if i == len(roundSteps)-1 {
			step = len(engines)
		}
		for _, engine := range engines[:step] {
			probes.Go(func() { n.probe(ctx, engine) })
		}
		if engines = engines[step:]; len(engines) == 0 {
			return
		}
	}
}

// probe dials an engine directly and records the outcome.
func (n *Network) probe(ctx context.Context, engine string) {
	n.counts.probes.Add(1)
	probe, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	began := n.options.Clock()
	c, err := n.options.Dial(probe, "tcp", engine)
	switch {
	case err == nil:
		_ = c.Close()
		n.succeeded(engine)
	case ctx.Err() != nil:
	case n.options.Clock().Sub(began) >= probeTimeout+stallTime:
		n.abandon()
	default:
		n.failed(engine, probe.Err() != nil)
	}
}

// abandon ends a suspicion without a result, since a process that stood still cannot tell late answers from missing ones.
func (n *Network) abandon() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.belief.abandon()
	n.now.Store(uint32(n.belief.state))
}

// probeIsolated probes engines directly, and one through other processes while none is known to pass connections on.
func (n *Network) probeIsolated(ctx context.Context, running *sync.WaitGroup) {
	n.mu.Lock()
	engines := sample(n.options.Engines(), n.options.Group, isolatedProbes, n.options.Rand)
	n.choice.prune(n.options.Processes())
	n.updateStranded()
	lacking := !n.choice.known(n.options.Clock())
	n.mu.Unlock()
	for _, engine := range engines {
		running.Go(func() { n.probe(ctx, engine) })
	}
	if lacking && len(engines) > 0 {
		running.Go(func() {
			if c, err := n.dialAway(ctx, engines[0]); err == nil {
				_ = c.Close()
			}
		})
	}
}

// checkSilence starts a suspicion if engines with unanswered bytes are silent.
func (n *Network) checkSilence(now time.Time) {
	conns, heard := n.conns.list()
	s := listen(conns, heard, n.tick.Load())
	if !s.telling() {
		return
	}
	n.mu.Lock()
	changed := n.belief.silenceSuspicious(s, now) && n.suspect(true, now)
	n.finish(changed, now)
}

// sweep breaks off silent connections of an isolated process, once in an isolation.
func (n *Network) sweep() {
	n.mu.Lock()
	if n.belief.state != isolated || n.brokenOff {
		n.mu.Unlock()
		return
	}
	isolatedFor := n.options.Clock().Sub(n.belief.isolatedAt)
	conns, heard := n.conns.list()
	conns = hopeless(conns, heard, int64(n.belief.suspectedAt.Sub(n.start)), n.belief.hangs(), isolatedFor)
	n.brokenOff = len(conns) > 0 || isolatedFor >= brokenOffAfter
	n.mu.Unlock()
	for _, c := range conns {
		n.counts.brokenOff.Add(1)
		c.breakOff()
	}
	if len(conns) > 0 {
		n.options.Log.Warn().Int("connections", len(conns)).Msg("reach: silent connections to engines are broken off")
	}
}

// connections holds the open direct connections.
type connections struct {
	mu    sync.Mutex
	open  map[*conn]struct{}
	heard int64 // latest time at which a connection was heard that is closed now
}

func (s *connections) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = struct{}{}
}

func (s *connections) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.open[c]; ok {
		delete(s.open, c)
		s.heard = max(s.heard, c.heard.Load())
	}
}

// list returns the open connections, and the latest time at which a closed one was heard.
func (s *connections) list() ([]*conn, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*conn, 0, len(s.open))
	for c := range s.open {
		list = append(list, c)
	}
	return list, s.heard
}

type counters struct {
	direct, directFailed, away, awayFailed, probes, brokenOff atomic.Uint64
}

// Counts are totals since the start. Probes of engines are not among the direct dials.
type Counts struct {
	Direct, DirectFailed uint64 // direct dials
	Away, AwayFailed     uint64 // dials through other processes
	Probes               uint64
	BrokenOff            uint64 // direct connections broken off with ErrPathLost
}

// Counts returns the totals since the start.
func (n *Network) Counts() Counts {
	c := &n.counts
	return Counts{
		Direct: c.direct.Load(), DirectFailed: c.directFailed.Load(), Away: c.away.Load(), AwayFailed: c.awayFailed.Load(),
		Probes: c.probes.Load(), BrokenOff: c.brokenOff.Load(),
	}
}
