package limit

import (
	"math"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/peer"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// DemandPrefix is the key prefix of the shared entries with the demand of each process.
	DemandPrefix = "demand/"
	// Period is the interval at which demand is measured and rates are adjusted.
	Period = 500 * time.Millisecond

	demandLifetime   = 12 * time.Second
	demandWeight     = 0.5  // weight of the latest period in the moving average
	maxSharedTenants = 64   // largest number of tenants in a process's entry
	minDemand        = 0.01 // requests per second below which a tenant is not shared
	changeThreshold  = 0.05 // relative change of demand that is shared at once
	minRetryAfter    = 50 * time.Millisecond
)

// tenantState holds the token buckets and the demand of one tenant in this process.
type tenantState struct {
	requests       bucket
	tokens         bucket
	periodRequests atomic.Int64      // in the current period
	periodTokens   atomic.Int64      // in the current period
	demand         wire.TenantDemand // moving average per second
}

// Stage refuses requests of tenants that exceed their rate limits.
type Stage struct {
	name  units.ProcessName
	place units.PlaceName
	table *peer.Table
	clock units.Clock
	peers atomic.Pointer[peerDemand] // nil before the end of the first period

	mu       sync.Mutex
	tenants  map[units.TenantName]*tenantState
	shared   []wire.TenantDemand // demand shared last
	sharedAt time.Time
}

// New returns a stage that shares demand with other processes through the table.
func New(name units.ProcessName, place units.PlaceName, table *peer.Table, clock units.Clock) *Stage {
	return &Stage{name: name, place: place, table: table, clock: clock, tenants: map[units.TenantName]*tenantState{}}
}

// String returns the name of the stage.
func (*Stage) String() string {
	return "limit"
}

// Run takes the request and its tokens from the tenant's token buckets, or refuses the request.
func (s *Stage) Run(x *flow.Exchange) error {
	if !limited(x.Tenant) {
		return nil
	}
	ts := s.tenant(x.Tenant, len(x.Config.Places))
	cost := float64(x.Job.Input + x.Job.Output)
	ts.periodRequests.Add(1)
	ts.periodTokens.Add(int64(cost))
	now := s.clock()
	if wait, ok := ts.requests.take(1, now); !ok {
		return refuse(x.Tenant, "requests", wait)
	}
	if wait, ok := ts.tokens.take(cost, now); !ok {
		return refuse(x.Tenant, "tokens", wait)
	}
	return nil
}

// EndPeriod ends a period: it shares the demand with the other processes and adjusts the rates of the tenants.
func (s *Stage) EndPeriod(c *config.Config) {
	own := wire.Demand{Place: string(s.place), Tenants: []wire.TenantDemand{}}
	s.mu.Lock()
	for name, ts := range s.tenants {
		ts.endPeriod(name)
		if len(own.Tenants) < maxSharedTenants && ts.demand.Requests > minDemand {
			own.Tenants = append(own.Tenants, ts.demand)
		}
	}
	s.mu.Unlock()
	if anyLimited(c) && s.shouldShare(own) {
		_ = s.table.Put(DemandPrefix+string(s.name), 0, demandLifetime, true, own)
	}
	s.rebalance(c)
}

// rebalance sets the local rates by the demand in all processes, and removes tenants that are no longer configured.
func (s *Stage) rebalance(c *config.Config) {
	others := s.readPeerDemand(c)
	s.peers.Store(&others)
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, ts := range s.tenants {
		tenant, ok := c.Tenants[name]
		if !ok {
			delete(s.tenants, name)
			continue
		}
		ts.setRates(tenant, others, now)
	}
}

// shouldShare reports whether the demand changed markedly or a third of the shared entry's lifetime has passed. If so,
// it records the demand as shared.
func (s *Stage) shouldShare(own wire.Demand) bool {
	now := s.clock()
	if now.Sub(s.sharedAt) < demandLifetime/3 && !differs(own.Tenants, s.shared) {
		return false
	}
	s.shared, s.sharedAt = own.Tenants, now
	return true
}

// differs reports whether the tenants differ or the demand of one has changed by more than changeThreshold.
func differs(a, b []wire.TenantDemand) bool {
	if len(a) != len(b) {
		return true
	}
	byName := map[string]wire.TenantDemand{}
	for _, t := range b {
		byName[t.Tenant] = t
	}
	return slices.ContainsFunc(a, func(t wire.TenantDemand) bool {
		old, ok := byName[t.Tenant]
		return !ok || math.Abs(t.Requests-old.Requests) > changeThreshold*old.Requests ||
			math.Abs(t.Tokens-old.Tokens) > changeThreshold*old.Tokens
	})
}

// peerDemand is the demand that the other processes share, with one value per process and tenant.
type peerDemand struct {
	visible  Visibility
	requests map[units.TenantName][]float64
	tokens   map[units.TenantName][]float64
}

// readPeerDemand reads the entries of the other processes.
func (s *Stage) readPeerDemand(c *config.Config) peerDemand {
	others := peerDemand{
		visible:  Visibility{Processes: 1, AllPlaces: len(c.Places)},
		requests: map[units.TenantName][]float64{},
		tokens:   map[units.TenantName][]float64{},
	}
	places := map[units.PlaceName]bool{s.place: true}
	for _, v := range s.table.List(DemandPrefix) {
		var d wire.Demand
		if v.Key == DemandPrefix+string(s.name) || v.Decode(&d) != nil {
			continue
		}
		others.visible.Processes++
		places[units.PlaceName(d.Place)] = true
		for _, t := range d.Tenants {
			name := units.TenantName(t.Tenant)
			others.requests[name] = append(others.requests[name], t.Requests)
			others.tokens[name] = append(others.tokens[name], t.Tokens)
		}
	}
	others.visible.Places = len(places)
	return others
}

// tenant returns the state of a tenant, which it creates at the first request.
func (s *Stage) tenant(t *config.Tenant, places int) *tenantState {
	s.mu.Lock()
	defer s.mu.Unlock()
	ts, ok := s.tenants[t.Name]
	if !ok {
		ts = &tenantState{}
		ts.setRates(t, s.latestPeerDemand(places), s.clock())
		s.tenants[t.Name] = ts
	}
	return ts
}

// latestPeerDemand returns the demand of the other processes as of the last period. Before the first period ends, it
// returns none, which limits this process to the share of its availability zone.
func (s *Stage) latestPeerDemand(places int) peerDemand {
	if others := s.peers.Load(); others != nil {
		return *others
	}
	return peerDemand{visible: Visibility{Processes: 1, Places: 1, AllPlaces: places}}
}

// endPeriod adds the counts of the period to the moving averages and resets them.
func (ts *tenantState) endPeriod(name units.TenantName) {
	seconds := Period.Seconds()
	ts.demand.Tenant = string(name)
	ts.demand.Requests += demandWeight * (float64(ts.periodRequests.Swap(0))/seconds - ts.demand.Requests)
	ts.demand.Tokens += demandWeight * (float64(ts.periodTokens.Swap(0))/seconds - ts.demand.Tokens)
}

func (ts *tenantState) setRates(t *config.Tenant, others peerDemand, now time.Time) {
	ts.requests.setRate(localRate(t.RequestsPerSecond, ts.demand.Requests, others.requests[t.Name], others.visible), now)
	ts.tokens.setRate(localRate(t.TokensPerSecond, ts.demand.Tokens, others.tokens[t.Name], others.visible), now)
}

// localRate returns LocalShare, or zero, which means no limit, if the limit is zero.
func localRate(limit, own float64, others []float64, v Visibility) float64 {
	if limit <= 0 {
		return 0
	}
	return LocalShare(limit, own, others, v)
}

func limited(t *config.Tenant) bool {
	return t.RequestsPerSecond > 0 || t.TokensPerSecond > 0
}

func anyLimited(c *config.Config) bool {
	for _, t := range c.Tenants {
		if limited(t) {
			return true
		}
	}
	return false
}

// refuse returns the error for a request that exceeds a rate, with the time after which it may succeed.
func refuse(t *config.Tenant, resource string, wait time.Duration) error {
	e := fault.New(fault.NotRun, fault.CodeRateLimited, http.StatusTooManyRequests,
		"tenant %q is over its rate of %s", t.Name, resource)
	e.RetryAfter = max(wait, minRetryAfter)
	return e
}
