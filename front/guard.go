package front

import (
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/conns"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// headerTimeout and idleTimeout are the times for a head and for an idle connection while the configuration sets none.
	headerTimeout, idleTimeout = 10 * time.Second, time.Minute
	// sweepInterval is the interval between searches for connections that have exceeded a time.
	sweepInterval = 250 * time.Millisecond
	// maxCallerHeadBytes bounds what net/http reads of a head. The guard bounds heads before by the configuration.
	maxCallerHeadBytes = 1 << 20
	// closingsInterval is the interval between log lines on closed connections.
	closingsInterval = 10 * time.Second
	// headsPart is the part of the process's memory for heads whose requests have no room yet.
	headsPart = 16
	// connBytes is the memory of a connection with its goroutines and buffers, connsPart the part of the process's memory for them.
	connBytes, connsPart = 20 << 10, 6
	// callersFiles, requestsFiles and otherFiles are the parts of the process's descriptors for connections of callers, of requests to
	// engines, and of clients of each other listener, which gets leastOther at least.
	callersFiles, requestsFiles, otherFiles, leastOther = 2, 4, 64, 4
	// defaultFiles is the number of descriptors of a process without a bound, for the listeners other than the callers'.
	defaultFiles = 4096
)

// newGuard returns the guard of all listeners of a process.
func newGuard(l config.Limits, clock units.Clock, closed func(listener string, reason conns.Reason)) *conns.Guard {
	return conns.NewGuard(conns.Options{
		Limits: conns.Limits{
			HeaderBytes: l.HeaderBytes, HeaderTimeout: headerTimeout, BodyTimeout: l.ReadTimeout, IdleTimeout: idleTimeout,
			WriteTimeout: l.WriteTimeout,
		},
		HeadBytes: l.Memory << 20 / headsPart, Clock: clock, Closed: closed,
	})
}

// limitsOf returns the limits of a configuration. Those that it does not set are zero.
func limitsOf(b config.Bounds) conns.Limits {
	return conns.Limits{HeaderBytes: b.HeaderBytes, HeaderTimeout: b.HeaderTimeout, IdleTimeout: b.IdleTimeout}
}

var listenerNames = [...]string{callerListener: "callers", healthListener: "health", metricsListener: "metrics", peerListener: "peers"}

// guardListener bounds the connections of one of the process's listeners.
func (p *Process) guardListener(l net.Listener, index int) net.Listener {
	limits := p.settings.Limits
	files := limits.Files
	if files == 0 {
		files = defaultFiles
	}
	limit := max(files/otherFiles, leastOther)
	if index == callerListener {
		limit = min(limits.Connections, int(limits.Memory<<20/connsPart/connBytes))
		if limits.Files > 0 {
			limit = min(limit, limits.Files/callersFiles)
		}
		p.callers = p.guard.Listen(l, listenerNames[index], limit)
		return p.callers
	}
	if index == peerListener {
		limit *= 2
	}
	guarded := p.guard.Listen(l, listenerNames[index], limit)
	guarded.SetLimits(conns.Limits{HeaderBytes: maxHeadBytes})
	if index == peerListener {
		p.peers = guarded
	}
	return guarded
}

// guardServer has the server tell its listener of the states of connections, and log within the rate of the log.
func (p *Process) guardServer(server *http.Server, l net.Listener) {
	if guarded, ok := l.(*conns.Listener); ok {
		server.ConnState = guarded.Track
	}
	server.ErrorLog = stdlog.New(p.log, "", 0)
}

// maxRequests returns the most requests at once.
func maxRequests(l config.Limits) int64 {
	if l.Files > 0 {
		return min(l.Streams, int64(l.Files/requestsFiles))
	}
	return l.Streams
}

// maxPassed returns the most connections that the process passes on for others, each of which takes two descriptors.
func (p *Process) maxPassed() int {
	if files := p.settings.Limits.Files; files > 0 {
		return min(maxPassed, files/(2*callersFiles*requestsFiles))
	}
	return maxPassed
}

// closings counts the connections of clients that the process closed, since it last logged them.
type closings struct {
	metrics *Metrics

	mu     sync.Mutex
	counts map[closing]int
}

// closing is a kind of them.
type closing struct {
	listener string
	reason   conns.Reason
}

func newClosings(m *Metrics) *closings {
	return &closings{metrics: m, counts: map[closing]int{}}
}

// add counts one. Idle connections are closed as a matter of course and not logged.
func (c *closings) add(listener string, reason conns.Reason) {
	c.metrics.closedConns.WithLabelValues(listener, string(reason)).Inc()
	if reason == conns.ReasonIdle {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[closing{listener, reason}]++
}

// log writes one line for each kind since the last call.
func (c *closings) log(log zerolog.Logger) {
	c.mu.Lock()
	counts := c.counts
	c.counts = map[closing]int{}
	c.mu.Unlock()
	for kind, count := range counts {
		log.Warn().Str("listener", kind.listener).Str("reason", string(kind.reason)).Int("count", count).
			Msg("front: connections of clients were closed")
	}
}
