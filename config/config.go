package config

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/keys"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Service kinds.
const (
	KindModel = "model"
	KindPlain = "plain"
)

// Names of the tenant and class of requests that specify none.
const (
	DefaultTenant units.TenantName = "default"
	DefaultClass  units.ClassName  = "default"
)

// Service configures a model service or a plain service, which callers address by name.
type Service struct {
	Name             units.ServiceName
	Kind             string        `key:"kind" default:"model" words:"model|plain" help:"model engines or a plain service"`
	FirstTokenTarget time.Duration `key:"firstTokenTarget" default:"690ms" help:"bound on the time to the first token"`
	GapTarget        time.Duration `key:"gapTarget" default:"36ms" help:"bound on the time between tokens"`
	QueueBound       int           `key:"queueBound" default:"512" help:"most requests that wait in one process"`
	RetryBudget      float64       `key:"retryBudget" default:"0.1" help:"retries allowed for each success"`
	RoleChangeWeight float64       `key:"roleChangeWeight" default:"0" help:"cost of one change of role, in good requests"`
	PrefillRate      float64       `key:"prefillTokensPerSecond" default:"24000" help:"prompt tokens a second of an engine that does nothing else"`
	Sequences        int64         `key:"sequences" default:"64" help:"most requests that an engine runs at once within the gap target"`
	FullBatchStep    time.Duration `key:"fullStep" default:"24ms" help:"time of one decode step of a full batch"`
	MeanOccupancy    time.Duration `key:"meanAnswer" default:"4s" help:"usual time that a request holds its place on an engine"`
	PieceTokens      units.Tokens  `key:"pieceTokens" default:"64" help:"tokens in one piece of an engine's memory"`
	MixedFraction    float64       `key:"mixedPart" default:"0.3" help:"part of the prefill rate of an engine that also decodes"`
	Memory           KVCache
	AutoRoles        bool      `key:"autoRoles" default:"false" help:"whether the system changes the roles of engines"`
	Ordering         *Ordering // nil for a service whose engines are not ordered here
}

// KVCache describes the KV cache and the link of each engine of a service.
type KVCache struct {
	Tokens            units.Tokens  // KV cache capacity of one engine, zero for engines without a KV cache
	TokenBytes        int64         // KV cache bytes of one token
	LinkBitsPerSecond float64       // bits per second of an engine's link
	HandleTTL         time.Duration // how long an engine keeps a prompt that it prefilled for another engine
	RoleChangeTime    time.Duration // how long an engine is unavailable while its role changes
	Slots             int           // maximum concurrent requests of one engine
	EventTokens       units.Tokens  // maximum tokens in one event of a stream
}

// Place configures an availability zone.
type Place struct {
	Name   units.PlaceName
	Region units.RegionName `key:"region" required:"true" help:"region of the availability zone"`
	Budget int64            `key:"remoteBytesPerSecond" default:"1000000" help:"bytes a second that may go to other regions"`
}

// Rule sets the class and idempotency of the calls to a service that match its method and path.
type Rule struct {
	Name       string
	Service    units.ServiceName `key:"service" required:"true" help:"service whose calls the rule matches"`
	Method     string            `key:"method" help:"HTTP method to match, empty for any"`
	Path       string            `key:"path" help:"prefix of the path to match, empty for any"`
	Idempotent bool              `key:"idempotent" default:"false" help:"whether a matching call may run more than once"`
	Class      units.ClassName   `key:"class" help:"class of matching requests, unless their tenant sets one"`
}

// Tenant configures a client account.
type Tenant struct {
	Name              units.TenantName
	Token             string          `key:"token" help:"bearer token that identifies the tenant"`
	Class             units.ClassName `key:"class" help:"class of the tenant's requests"`
	RequestsPerSecond float64         `key:"requestsPerSecond" default:"0" help:"limit over all processes, 0 for none"`
	TokensPerSecond   float64         `key:"tokensPerSecond" default:"0" help:"limit over all processes, 0 for none"`
	Share             float64         `key:"share" default:"1" help:"weight against other tenants under overload"`

	Keys        []keys.Digest  // of an account that does not come from a folder
	Priority    units.Priority // takes precedence over that of the route
	HasPriority bool
}

// Class configures the priority and deadline of a class of requests.
type Class struct {
	Name     units.ClassName
	Priority units.Priority `key:"priority" default:"0" help:"requests with a larger number go first"`
	Deadline time.Duration  `key:"deadline" default:"30s" help:"time for the whole answer, unless the caller sets one"`
}

// Engine configures one upstream of a service: a model engine or an instance of a plain service.
type Engine struct {
	Name         units.EngineName
	Service      units.ServiceName `key:"service" required:"true" help:"service that the upstream serves"`
	Place        units.PlaceName   `key:"place" required:"true" help:"availability zone of the upstream"`
	Address      string            `key:"address" required:"true" help:"IP number and port"`
	VM           units.VMName      `key:"vm" help:"name of its VM on the platform's list"`
	Role         engine.Role       `key:"role" default:"mixed" words:"mixed|prefill|decode" help:"role at the start"`
	ChecksFences bool              `key:"checksFences" default:"false" help:"whether it refuses orders with an old fencing number"`
	Drain        bool              `key:"drain" default:"false" help:"true sends no new work to it"`
	Refuses      []int             `key:"refuses" help:"statuses by which it declares that a request did not run"`
}

// Config is one validated configuration. It is immutable.
type Config struct {
	Revision units.Revision
	Services map[units.ServiceName]*Service
	Places   map[units.PlaceName]*Place
	Rules    []*Rule // longest path first, then longest method
	Tenants  map[units.TenantName]*Tenant
	Classes  map[units.ClassName]*Class
	Engines  map[units.EngineName]*Engine
	Routes   []*Route
	Bounds   Bounds

	routesByHost  map[string][]*Route // longest path first
	tenantByKey   keys.Table[*Tenant]
	accounts      int       // number of accounts that do not come from a folder
	listsAccounts bool      // there is a list of such accounts, empty or not
	sortedEngines []*Engine // by name
}

// Empty returns a configuration of revision zero with only the default class and tenant.
func Empty() *Config {
	c := &Config{
		Services: map[units.ServiceName]*Service{},
		Places:   map[units.PlaceName]*Place{},
		Tenants:  map[units.TenantName]*Tenant{},
		Classes:  map[units.ClassName]*Class{},
		Engines:  map[units.EngineName]*Engine{},
	}
	c.index()
	return c
}

// EnginesOf returns the upstreams of the service in the availability zone, sorted by name.
func (c *Config) EnginesOf(service units.ServiceName, place units.PlaceName) []*Engine {
	var engines []*Engine
	for _, e := range c.sortedEngines {
		if e.Service == service && e.Place == place {
			engines = append(engines, e)
		}
	}
	return engines
}

// EnginesIn returns all upstreams in the availability zone, sorted by name.
func (c *Config) EnginesIn(place units.PlaceName) []*Engine {
	return slices.DeleteFunc(slices.Clone(c.sortedEngines), func(e *Engine) bool { return e.Place != place })
}

// RuleFor returns the rule with the longest path prefix that matches the call, or nil.
func (c *Config) RuleFor(service units.ServiceName, method, path string) *Rule {
	for _, r := range c.Rules {
		if r.Service != service || (r.Method != "" && r.Method != method) {
			continue
		}
		if strings.HasPrefix(path, r.Path) {
			return r
		}
	}
	return nil
}

// RegionOf returns the region of the availability zone, or an empty name if the zone is not configured.
func (c *Config) RegionOf(place units.PlaceName) units.RegionName {
	if p, ok := c.Places[place]; ok {
		return p.Region
	}
	return ""
}

// index adds the defaults, builds the look-up tables and sorts the rules by precedence.
func (c *Config) index() {
	c.addDefaults()
	c.indexRoutes()
	c.tenantByKey = keys.Table[*Tenant]{}
	for _, t := range c.Tenants {
		if t.Token != "" {
			c.tenantByKey.Add(keys.Of(t.Token), t)
		}
	}
	c.sortedEngines = make([]*Engine, 0, len(c.Engines))
	for _, e := range c.Engines {
		c.sortedEngines = append(c.sortedEngines, e)
	}
	slices.SortFunc(c.sortedEngines, func(a, b *Engine) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Rules, func(a, b *Rule) int {
		return cmp.Or(cmp.Compare(len(b.Path), len(a.Path)), cmp.Compare(len(b.Method), len(a.Method)),
			cmp.Compare(a.Name, b.Name))
	})
}
