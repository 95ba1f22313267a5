// Package place passes requests on to other availability zones.
package place

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/peer"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// Prefix is the prefix of the shared entries that tell how services fare in other availability zones.
	Prefix = "zone/"

	bytesPerToken = 200 // of a streamed answer on a link
	budgetBurst   = 2 * time.Second
)

// Placer chooses a peer of another availability zone and passes requests on to it.
type Placer struct {
	self  units.PlaceName
	mesh  *peer.Mesh
	clock units.Clock

	mu     sync.Mutex
	spent  map[units.PlaceName]float64 // bytes that still count against the budget
	spentT time.Time
}

// New returns a placer of the availability zone.
func New(self units.PlaceName, mesh *peer.Mesh, clock units.Clock) *Placer {
	return &Placer{self: self, mesh: mesh, clock: clock, spent: map[units.PlaceName]float64{}, spentT: clock()}
}

// Send passes the request on to the nearest availability zone that has room. It tries each zone at most once,
// and goes on only after a notRun verdict.
func (p *Placer) Send(ctx context.Context, x *flow.Exchange, from units.Tokens) (engine.Answer, error) {
	var last error = fault.Unavailable(fault.CodeNoUpstream, time.Second, "no other availability zone takes the request")
	for _, link := range p.candidates(x) {
		if !p.pay(x, link.Place()) {
			continue
		}
		answer, err := link.Send(ctx, p.call(x, from))
		if err == nil {
			return answer, nil
		}
		last = err
		if fault.VerdictOf(err) != fault.NotRun {
			return engine.Answer{}, err
		}
	}
	return engine.Answer{}, last
}

// Tell shares how the service fares in the own availability zone.
func (p *Placer) Tell(service units.ServiceName, s wire.Summary, life time.Duration) {
	_ = p.mesh.Table().Put(Prefix+string(p.self)+"/"+string(service), 0, life, true, s)
}

// candidates returns one link for each other availability zone that has upstreams of the service, the best first.
// A zone that has not told how the service fares there is tried too.
func (p *Placer) candidates(x *flow.Exchange) []*peer.Link {
	usable := p.summaries(x.Service.Name)
	chosen := map[units.PlaceName]*peer.Link{}
	for _, l := range p.mesh.Links() {
		s, known := usable[l.Place()]
		if l.Place() == p.self || (known && s.Usable == 0) || len(x.Config.EnginesOf(x.Service.Name, l.Place())) == 0 {
			continue
		}
		if _, taken := chosen[l.Place()]; !taken {
			chosen[l.Place()] = l
		}
	}
	links := make([]*peer.Link, 0, len(chosen))
	for _, l := range chosen {
		links = append(links, l)
	}
	slices.SortFunc(links, func(a, b *peer.Link) int {
		return cmp.Or(
			cmp.Compare(p.distance(x.Config, a.Place()), p.distance(x.Config, b.Place())),
			cmp.Compare(usable[a.Place()].QueuedMS, usable[b.Place()].QueuedMS),
			cmp.Compare(a.Place(), b.Place()),
		)
	})
	return links
}

func (p *Placer) summaries(service units.ServiceName) map[units.PlaceName]wire.Summary {
	found := map[units.PlaceName]wire.Summary{}
	for _, v := range p.mesh.Table().Under(Prefix) {
		zone, name, _ := strings.Cut(strings.TrimPrefix(v.Key, Prefix), "/")
		var s wire.Summary
		if name == string(service) && v.Decode(&s) == nil {
			found[units.PlaceName(zone)] = s
		}
	}
	return found
}

// distance is 0 for an availability zone of the own region and 1 for others.
func (p *Placer) distance(c *config.Config, zone units.PlaceName) int {
	if c.RegionOf(zone) == c.RegionOf(p.self) {
		return 0
	}
	return 1
}

// pay takes the request's estimated bytes from the budget of the own availability zone for other regions.
func (p *Placer) pay(x *flow.Exchange, zone units.PlaceName) bool {
	if p.distance(x.Config, zone) == 0 {
		return true
	}
	budget := float64(0)
	if own, ok := x.Config.Places[p.self]; ok {
		budget = float64(own.Budget)
	}
	cost := float64(len(x.Call.Body)) + float64(x.Job.Output)*bytesPerToken
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	passed := now.Sub(p.spentT).Seconds() * budget
	p.spentT = now
	for z, spent := range p.spent {
		p.spent[z] = max(spent-passed, 0)
	}
	if p.spent[zone]+cost > budget*budgetBurst.Seconds() {
		return false
	}
	p.spent[zone] += cost
	return true
}

func (p *Placer) call(x *flow.Exchange, from units.Tokens) wire.Call {
	c := wire.Call{
		RequestID: string(x.ID), Service: string(x.Service.Name), Method: x.Call.Method, Path: x.Call.Path,
		Body: x.Call.Body, Key: x.Call.Key, Streams: x.Call.Streams, From: int64(from), Idempotent: x.Idempotent,
		Priority: int64(x.Call.Priority), DeadlineMS: x.Deadline.Sub(p.clock()).Milliseconds(),
		Tenant: string(x.Tenant.Name), Class: string(x.Class.Name),
	}
	for name, values := range x.Call.Header {
		for _, v := range values {
			c.Headers = append(c.Headers, wire.Header{Name: name, Value: v})
		}
	}
	return c
}

// Exchange turns a call that a peer passed on into an exchange.
func Exchange(ctx context.Context, c wire.Call, cfg *config.Config, now time.Time) (*flow.Exchange, error) {
	service, ok := cfg.Services[units.ServiceName(c.Service)]
	if !ok {
		return nil, fault.New(fault.NotRun, fault.CodeUnknownService, http.StatusNotFound,
			"service %q does not exist", c.Service)
	}
	header := http.Header{}
	for _, h := range c.Headers {
		header.Add(h.Name, h.Value)
	}
	x := &flow.Exchange{
		Context: ctx, Config: cfg, ID: units.RequestID(c.RequestID), Service: service,
		Tenant:     &config.Tenant{Name: units.TenantName(c.Tenant), Share: 1},
		Class:      &config.Class{Name: units.ClassName(c.Class), Priority: units.Priority(c.Priority)},
		Deadline:   now.Add(time.Duration(c.DeadlineMS) * time.Millisecond),
		Idempotent: c.Idempotent, Forwarded: true,
	}
	if known, ok := cfg.Tenants[x.Tenant.Name]; ok {
		x.Tenant = known
	}
	x.Call = engine.Call{
		RequestID: x.ID, Service: service.Name, Method: c.Method, Path: c.Path, Header: header, Body: c.Body,
		Key: c.Key, Streams: c.Streams, From: units.Tokens(c.From), Priority: x.Class.Priority,
	}
	return x, nil
}
