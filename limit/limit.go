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
	// Prefix is the prefix of the shared entries that tell demand.
	Prefix = "demand/"
	// Period is the time between two accounts of demand.
	Period = 500 * time.Millisecond

	demandLife  = 12 * time.Second
	demandFade  = 0.5 // weight of the newest period in the average
	maxReported = 64  // tenants in one process's account
	leastDemand = 0.01
	newsPart    = 0.05 // change of demand that is worth telling
	minRetry    = 50 * time.Millisecond
)

// account is the state of one tenant in this process.
type account struct {
	requests bucket
	tokens   bucket
	asked    atomic.Int64 // requests since the last period
	weighed  atomic.Int64 // tokens since the last period
	demand   wire.TenantDemand
}

// Stage refuses requests of tenants over their rates.
type Stage struct {
	name  units.ProcessName
	place units.PlaceName
	table *peer.Table
	clock units.Clock
	heard atomic.Pointer[hearing]

	mu       sync.Mutex
	accounts map[units.TenantName]*account
	told     []wire.TenantDemand // demand that was shared last
	toldAt   time.Time
}

// New returns the stage. It shares demand with other processes through the table.
func New(name units.ProcessName, place units.PlaceName, table *peer.Table, clock units.Clock) *Stage {
	return &Stage{name: name, place: place, table: table, clock: clock, accounts: map[units.TenantName]*account{}}
}

// String names the stage.
func (*Stage) String() string {
	return "limit"
}

// Run takes the request's cost from the tenant's rates, or refuses it.
func (s *Stage) Run(x *flow.Exchange) error {
	if !limited(x.Tenant) {
		return nil
	}
	a := s.account(x.Tenant, len(x.Config.Places))
	cost := float64(x.Job.Input + x.Job.Output)
	a.asked.Add(1)
	a.weighed.Add(int64(cost))
	now := s.clock()
	if wait, ok := a.requests.take(1, now); !ok {
		return refuse(x.Tenant, "requests", wait)
	}
	if wait, ok := a.tokens.take(cost, now); !ok {
		return refuse(x.Tenant, "tokens", wait)
	}
	return nil
}

// Account closes a period: it tells the demand to the other processes and sets the rates anew.
func (s *Stage) Account(c *config.Config) {
	own := wire.Demand{Place: string(s.place), Tenants: []wire.TenantDemand{}}
	s.mu.Lock()
	for name, a := range s.accounts {
		a.close(name)
		if len(own.Tenants) < maxReported && a.demand.Requests > leastDemand {
			own.Tenants = append(own.Tenants, a.demand)
		}
	}
	s.mu.Unlock()
	if anyLimited(c) && s.isNews(own) {
		_ = s.table.Put(Prefix+string(s.name), 0, demandLife, true, own)
	}
	s.rebalance(c)
}

func (s *Stage) rebalance(c *config.Config) {
	heard := s.listen(c)
	s.heard.Store(&heard)
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, a := range s.accounts {
		tenant, ok := c.Tenants[name]
		if !ok {
			delete(s.accounts, name)
			continue
		}
		a.setRates(tenant, heard, now)
	}
}

// isNews reports whether the demand must be told: it changed by much, or the last word grows old.
func (s *Stage) isNews(own wire.Demand) bool {
	now := s.clock()
	if now.Sub(s.toldAt) < demandLife/3 && !differs(own.Tenants, s.told) {
		return false
	}
	s.told, s.toldAt = own.Tenants, now
	return true
}

// differs reports whether the demand of some tenant has changed by more than a part of it.
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
		return !ok || math.Abs(t.Requests-old.Requests) > newsPart*old.Requests ||
			math.Abs(t.Tokens-old.Tokens) > newsPart*old.Tokens
	})
}

// hearing is what a process knows of the others.
type hearing struct {
	reach    Reach
	requests map[units.TenantName][]float64
	tokens   map[units.TenantName][]float64
}

// listen reads the other processes' accounts.
func (s *Stage) listen(c *config.Config) hearing {
	h := hearing{
		reach:    Reach{Processes: 1, AllPlaces: len(c.Places)},
		requests: map[units.TenantName][]float64{},
		tokens:   map[units.TenantName][]float64{},
	}
	places := map[units.PlaceName]bool{s.place: true}
	for _, v := range s.table.Under(Prefix) {
		var d wire.Demand
		if v.Key == Prefix+string(s.name) || v.Decode(&d) != nil {
			continue
		}
		h.reach.Processes++
		places[units.PlaceName(d.Place)] = true
		for _, t := range d.Tenants {
			name := units.TenantName(t.Tenant)
			h.requests[name] = append(h.requests[name], t.Requests)
			h.tokens[name] = append(h.tokens[name], t.Tokens)
		}
	}
	h.reach.Places = len(places)
	return h
}

func (s *Stage) account(t *config.Tenant, places int) *account {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.accounts[t.Name]
	if !ok {
		a = &account{}
		a.setRates(t, s.hearing(places), s.clock())
		s.accounts[t.Name] = a
	}
	return a
}

// hearing returns the latest account of the others. Before the first one, only the fixed share is granted.
func (s *Stage) hearing(places int) hearing {
	if h := s.heard.Load(); h != nil {
		return *h
	}
	return hearing{reach: Reach{Processes: 1, Places: 1, AllPlaces: places}}
}

// close turns what was counted in the period into an average demand.
func (a *account) close(name units.TenantName) {
	seconds := Period.Seconds()
	a.demand.Tenant = string(name)
	a.demand.Requests += demandFade * (float64(a.asked.Swap(0))/seconds - a.demand.Requests)
	a.demand.Tokens += demandFade * (float64(a.weighed.Swap(0))/seconds - a.demand.Tokens)
}

func (a *account) setRates(t *config.Tenant, h hearing, now time.Time) {
	a.requests.setRate(share(t.RequestsPerSecond, a.demand.Requests, h.requests[t.Name], h.reach), now)
	a.tokens.setRate(share(t.TokensPerSecond, a.demand.Tokens, h.tokens[t.Name], h.reach), now)
}

// share is Split for a limit of which zero means none.
func share(limit, own float64, others []float64, r Reach) float64 {
	if limit <= 0 {
		return 0
	}
	return Split(limit, own, others, r)
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

func refuse(t *config.Tenant, what string, wait time.Duration) error {
	e := fault.New(fault.NotRun, fault.CodeRateLimited, http.StatusTooManyRequests,
		"tenant %q is over its rate of %s", t.Name, what)
	e.RetryAfter = max(wait, minRetry)
	return e
}
