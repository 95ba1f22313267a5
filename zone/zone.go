// Package zone forwards requests to other availability zones.
package zone

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
	// SummaryPrefix is the key prefix of the load summaries that availability zones share with each other.
	SummaryPrefix = "zone/"

	bytesPerToken = 200 // estimated size of one streamed token on a link
	budgetBurst   = 2 * time.Second
)

// Forwarder forwards requests to peers of other availability zones.
type Forwarder struct {
	self  units.PlaceName
	mesh  *peer.Mesh
	clock units.Clock

	mu      sync.Mutex
	spent   map[units.PlaceName]float64 // bytes by destination that still count against the budget
	spentAt time.Time
}

// New returns a forwarder for processes of the availability zone self.
func New(self units.PlaceName, mesh *peer.Mesh, clock units.Clock) *Forwarder {
	return &Forwarder{self: self, mesh: mesh, clock: clock, spent: map[units.PlaceName]float64{}, spentAt: clock()}
}

// Send forwards the request to the best availability zone that accepts it. It tries each zone at most once, and the
// next one only after a notRun verdict. The stream of tokens starts at index from.
func (f *Forwarder) Send(ctx context.Context, x *flow.Exchange, from units.Tokens) (engine.Answer, error) {
	var lastErr error = fault.Unavailable(
		fault.CodeNoUpstream, time.Second, "no other availability zone accepts the request")
	for _, link := range f.candidates(x) {
		if !f.chargeBudget(x, link.Place()) {
			continue
		}
		answer, err := link.Send(ctx, f.newCall(x, from))
		if err == nil {
			return answer, nil
		}
		lastErr = err
		if fault.VerdictOf(err) != fault.NotRun {
			return engine.Answer{}, err
		}
	}
	return engine.Answer{}, lastErr
}

// PublishSummary publishes the load summary of the service in the own zone. Peers drop it after the lifetime.
func (f *Forwarder) PublishSummary(service units.ServiceName, s wire.ZoneSummary, lifetime time.Duration) {
	_ = f.mesh.Table().Put(SummaryPrefix+string(f.self)+"/"+string(service), 0, lifetime, true, s)
}

// candidates returns one link to each other availability zone that has upstreams of the service: zones of the own
// region first, then by the shortest queue. It skips zones whose load summary reports no usable engine.
func (f *Forwarder) candidates(x *flow.Exchange) []*peer.Link {
	summaries := f.summaries(x.Service.Name)
	byZone := map[units.PlaceName]*peer.Link{}
	for _, l := range f.mesh.Links() {
		s, known := summaries[l.Place()]
		if l.Place() == f.self || (known && s.Usable == 0) || len(x.Config.EnginesOf(x.Service.Name, l.Place())) == 0 {
			continue
		}
		if _, exists := byZone[l.Place()]; !exists {
			byZone[l.Place()] = l
		}
	}
	links := make([]*peer.Link, 0, len(byZone))
	for _, l := range byZone {
		links = append(links, l)
	}
	slices.SortFunc(links, func(a, b *peer.Link) int {
		return cmp.Or(
			cmp.Compare(f.distance(x.Config, a.Place()), f.distance(x.Config, b.Place())),
			cmp.Compare(summaries[a.Place()].QueuedMS, summaries[b.Place()].QueuedMS),
			cmp.Compare(a.Place(), b.Place()),
		)
	})
	return links
}

func (f *Forwarder) summaries(service units.ServiceName) map[units.PlaceName]wire.ZoneSummary {
	found := map[units.PlaceName]wire.ZoneSummary{}
	for _, v := range f.mesh.Table().List(SummaryPrefix) {
		zone, name, _ := strings.Cut(strings.TrimPrefix(v.Key, SummaryPrefix), "/")
		var s wire.ZoneSummary
		if name == string(service) && v.Decode(&s) == nil {
			found[units.PlaceName(zone)] = s
		}
	}
	return found
}

// distance returns 0 for an availability zone of the own region and 1 for any other.
func (f *Forwarder) distance(c *config.Config, zone units.PlaceName) int {
	if c.RegionOf(zone) == c.RegionOf(f.self) {
		return 0
	}
	return 1
}

// chargeBudget charges the request's estimated bytes to the budget for traffic to other regions, a leaky bucket per
// destination. It returns false if the budget is exhausted. Traffic within the region is free.
func (f *Forwarder) chargeBudget(x *flow.Exchange, zone units.PlaceName) bool {
	if f.distance(x.Config, zone) == 0 {
		return true
	}
	budget := float64(0)
	if own, ok := x.Config.Places[f.self]; ok {
		budget = float64(own.Budget)
	}
	cost := float64(len(x.Call.Body)) + float64(x.Job.Output)*bytesPerToken
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	drained := now.Sub(f.spentAt).Seconds() * budget
	f.spentAt = now
	for z, spent := range f.spent {
		f.spent[z] = max(spent-drained, 0)
	}
	if f.spent[zone]+cost > budget*budgetBurst.Seconds() {
		return false
	}
	f.spent[zone] += cost
	return true
}

func (f *Forwarder) newCall(x *flow.Exchange, from units.Tokens) wire.Call {
	c := wire.Call{
		RequestID: string(x.ID), Service: string(x.Service.Name), Method: x.Call.Method, Path: x.Call.Path,
		Body: x.Call.Body, Key: x.Call.IdempotencyKey, Streams: x.Call.Streams, From: int64(from), Idempotent: x.Idempotent,
		Priority: int64(x.Call.Priority), DeadlineMS: x.Deadline.Sub(f.clock()).Milliseconds(),
		Tenant: string(x.Tenant.Name), Class: string(x.Class.Name),
	}
	for name, values := range x.Call.Header {
		for _, v := range values {
			c.Headers = append(c.Headers, wire.Header{Name: name, Value: v})
		}
	}
	return c
}

// NewExchange converts a call that a peer forwarded into an exchange.
func NewExchange(ctx context.Context, c wire.Call, cfg *config.Config, now time.Time) (*flow.Exchange, error) {
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
		IdempotencyKey: c.Key, Streams: c.Streams, ResumeFrom: units.Tokens(c.From), Priority: x.Class.Priority,
	}
	return x, nil
}
