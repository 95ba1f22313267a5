package front

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthorntrack/buckthorntrack/links"
	"github.com/buckthorntrack/buckthorntrack/proxy"
	"github.com/buckthorntrack/buckthorntrack/reach"
	"github.com/buckthorntrack/buckthorntrack/tunnel"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// maxPassed is the most connections to engines that a process passes on for others at once.
const maxPassed = 1024

// openPaths sets up the ways to engines: the dialer, and both ends of connections through other processes. It returns a function
// that closes them.
func (p *Process) openPaths(n Network, a Adapter) (closePaths func()) {
	client, closeClient := tunnel.NewClient(tunnel.ClientOptions{
		Key: p.settings.Peers.Key, Dial: n.Dial, OnRetire: func() { p.transport.renew() },
	})
	p.tunnels = client
	network, closeNetwork := reach.New(reach.Options{
		Dial: n.Dial, Tunnel: client.Dial, Processes: p.otherProcesses, Region: p.settings.Routed.Region,
		Engines: p.roster.Addresses, Group: p.groupOf, Clock: p.clock, Log: p.log,
	})
	p.reach = network
	server, closeServer := tunnel.NewServer(tunnel.ServerOptions{
		Key: p.settings.Peers.Key, Dial: network.DialDirect, Allowed: p.isEngine, Ready: p.passesOn, Limit: p.maxPassed(), Log: p.log,
	})
	p.passed = server
	p.transport = newRenewedTransport(proxy.PoolOptions{
		Dial: network.Dial, LongestIdle: p.settings.Routed.IdleTime, Clock: p.clock,
		Identify: func(head *http.Response) units.RequestID { return a.Format.Reply(head).ID }, OnStale: p.recordStale,
	})
	network.OnIsolated(p.transport.closeIdle)
	network.OnReached(p.transport.renew)
	direct, _ := proxy.Transport(n.Dial) // orders must not reach an engine from another process
	// Answers to orders bear no id, so one can only be told from a copy of an earlier answer on a connection of its own.
	direct.DisableKeepAlives = true
	p.orders = a.NewOrders(direct)
	p.closeIdle = p.transport.closeIdle
	return func() {
		p.closeIdle()
		closeServer()
		closeNetwork()
		closeClient()
	}
}

// otherProcesses returns the processes that are not known to be gone, without this one.
func (p *Process) otherProcesses() []reach.Process {
	members := p.memberSink.present()
	others := make([]reach.Process, 0, len(members))
	for _, m := range members {
		if m.Name != p.settings.Process.Name {
			others = append(others, reach.Process{Name: m.Name, Address: m.Address, Region: m.Region})
		}
	}
	return others
}

// groupOf returns the service of an engine, whose engines tend to fail together.
func (p *Process) groupOf(engine string) string {
	service, _ := p.roster.ServiceAt(engine)
	return string(service)
}

// recordStale counts and logs an answer to an earlier request of a connection that was skipped.
func (p *Process) recordStale(address string, s links.Stale) {
	service, _ := p.roster.ServiceAt(address)
	p.metrics.AnswerDoubted(service, "skipped")
	p.log.Info().Str("request", string(s.Request)).Str("answerTo", string(s.AnswerTo)).Str("address", address).
		Int64("connection", int64(s.Conn)).Msg("front: answer to an earlier request is skipped")
}

func (p *Process) isEngine(address string) bool {
	_, ok := p.roster.ServiceAt(address)
	return ok
}

// passesOn reports whether the process takes further connections of others.
func (p *Process) passesOn() bool {
	return !p.stopping.Load() && !p.reach.Isolated()
}

func (p *Process) registerPathGauges() {
	p.metrics.Gauge("engines_reached_directly", "Whether this process reaches engines itself, 1 or 0.", func() float64 {
		if p.reach.Isolated() {
			return 0
		}
		return 1
	})
	p.metrics.Gauge("tunnels_open", "Connections to engines through other processes.", func() float64 {
		return float64(p.tunnels.Open())
	})
	p.metrics.Gauge("tunnels_served", "Connections to engines that are passed on for other processes.", func() float64 {
		return float64(p.passed.Served())
	})
}

// renewedTransport is the HTTP transport to engines. Once renewed it makes new connections only, while those in use are closed at
// the end of their requests.
type renewedTransport struct {
	options proxy.PoolOptions
	current atomic.Pointer[proxy.Pool]

	mu       sync.Mutex
	previous *proxy.Pool
}

func newRenewedTransport(o proxy.PoolOptions) *renewedTransport {
	t := &renewedTransport{options: o}
	first, _ := proxy.NewPool(o)
	t.current.Store(first)
	t.previous = first
	return t
}

// RoundTrip implements http.RoundTripper.
func (t *renewedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return t.current.Load().RoundTrip(r)
}

// SetIdleTimeout implements proxy.IdlePolicy.
func (t *renewedTransport) SetIdleTimeout(address string, d time.Duration) {
	t.current.Load().SetIdleTimeout(address, d)
}

// ConnectionForgotten implements proxy.IdlePolicy.
func (t *renewedTransport) ConnectionForgotten(address string, idle time.Duration) {
	t.current.Load().ConnectionForgotten(address, idle)
}

// renew lets requests use no connection that is open now.
func (t *renewedTransport) renew() {
	next, _ := proxy.NewPool(t.options)
	t.mu.Lock()
	t.previous.CloseIdle()
	t.previous = t.current.Swap(next)
	t.previous.CloseIdle() // those in use close when they become idle
	t.mu.Unlock()
}

// closeIdle closes the connections that are not in use.
func (t *renewedTransport) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.previous.CloseIdle()
	t.current.Load().CloseIdle()
}
