package proxy

import (
	"net/http"
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/links"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// unusedPoolTime is how long an engine's connections are remembered after its last request, longer than any of them stays idle.
const unusedPoolTime = time.Minute

// PoolOptions holds the settings and dependencies of a Pool.
type PoolOptions struct {
	Dial dialFunc
	// LongestIdle bounds the time for which connections stay idle.
	LongestIdle time.Duration
	Clock       units.Clock
	// Identify returns the id of the request that the head of an answer names, empty for none. Without it no answer is skipped.
	Identify func(head *http.Response) units.RequestID
	// OnStale is told of the answers to earlier requests that the engine at the address wrote again and that are skipped.
	OnStale func(address string, s links.Stale)
}

// Pool is the HTTP transport to engines. Connections to each engine stay idle for as long as the engine keeps them, which saves
// new ones: an engine that a process uses every few seconds would need one for each request.
type Pool struct {
	PoolOptions
	singleUse *http.Transport // closes each connection after one request

	mu      sync.Mutex
	engines map[string]*enginePool // by address
	sweptAt time.Time
}

// enginePool holds the connections to one engine.
type enginePool struct {
	transport *http.Transport
	options   links.Options
	idle      time.Duration // idle timeout of the transport
	limit     idleLimit
	usedAt    time.Time
}

// NewPool returns a transport, and a function that closes its idle connections.
func NewPool(o PoolOptions) (*Pool, func()) {
	p := &Pool{PoolOptions: o, engines: map[string]*enginePool{}, sweptAt: o.Clock()}
	p.singleUse = newTransport(linked(o.Dial, links.Options{}), defaultIdleTime)
	p.singleUse.DisableKeepAlives = true
	return p, p.CloseIdle
}

// RoundTrip implements http.RoundTripper.
func (p *Pool) RoundTrip(r *http.Request) (*http.Response, error) {
	if needsNewConnection(r.Context()) {
		return p.singleUse.RoundTrip(r)
	}
	return p.transportOf(r.URL.Host).RoundTrip(r)
}

// CloseIdle closes the connections that are not in use.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.engines {
		e.transport.CloseIdleConnections()
	}
}

// SetIdleTimeout records the idle timeout that the engine at the address states, zero for none.
func (p *Pool) SetIdleTimeout(address string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.of(address)
	if e.limit.stated == d {
		return
	}
	e.limit.state(d)
	p.adjust(e)
}

// ConnectionForgotten records that the engine at the address did not know a connection that had been idle for a time.
func (p *Pool) ConnectionForgotten(address string, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.of(address)
	e.limit.forget(idle, p.Clock())
	p.adjust(e)
}

func (p *Pool) transportOf(address string) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock()
	if now.Sub(p.sweptAt) > unusedPoolTime {
		p.sweep(now)
	}
	e := p.of(address)
	e.usedAt = now
	if e.idle != e.limit.at(now, p.LongestIdle) {
		p.adjust(e)
	}
	return e.transport
}

// of returns the connections to the engine at the address. The lock must be held.
func (p *Pool) of(address string) *enginePool {
	e, ok := p.engines[address]
	if !ok {
		e = &enginePool{usedAt: p.Clock(), options: links.Options{
			Identify: p.Identify, OnStale: func(s links.Stale) { p.OnStale(address, s) },
		}}
		p.engines[address] = e
		p.adjust(e)
	}
	return e
}

// adjust gives the engine's connections the idle timeout of its limit. A transport's timeout is fixed, so those in use move to a new
// one only with their next request. The lock must be held.
func (p *Pool) adjust(e *enginePool) {
	idle := e.limit.at(p.Clock(), p.LongestIdle)
	if e.transport != nil && e.idle == idle {
		return
	}
	if e.transport != nil {
		e.transport.CloseIdleConnections() // those in use close when they become idle
	}
	e.idle = idle
	e.transport = newTransport(linked(p.Dial, e.options), idle)
}

// sweep forgets engines that have had no request for long. The lock must be held.
func (p *Pool) sweep(now time.Time) {
	p.sweptAt = now
	for address, e := range p.engines {
		if now.Sub(e.usedAt) > unusedPoolTime {
			e.transport.CloseIdleConnections()
			delete(p.engines, address)
		}
	}
}
