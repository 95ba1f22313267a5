package config

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// Route kinds, which determine whether a request may be repeated.
const (
	RouteSafe   = "safe"
	RouteOnce   = "once"
	RouteStream = "stream"
)

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name         string
	Host         string         `key:"host" required:"true" help:"host of matching requests"`
	Path         string         `key:"path" required:"true" help:"prefix of the path, which begins and ends with a slash; the longest match wins"`
	Services     []string       `key:"services" required:"true" help:"services that share the requests, each as name or name:weight"`
	Kind         string         `key:"kind" default:"once" words:"safe|once|stream" help:"safe may be repeated, once may not, stream is a series of events"`
	Timeout      time.Duration  `key:"timeout" default:"30s" help:"time for the whole answer"`
	Objective    time.Duration  `key:"objective" default:"1s" help:"time to the answer, or to the first event of a stream, that is on time"`
	GapObjective time.Duration  `key:"gap" default:"0s" help:"longest pause between events that is on time, 0s for none"`
	AbandonAfter time.Duration  `key:"patience" default:"0s" help:"time without an event after which callers of a stream leave, 0s for no such time"`
	Priority     units.Priority `key:"priority" default:"0" help:"requests with a larger number go first"`
	Attempts     int            `key:"attempts" default:"1" help:"most upstreams that one request is sent to"`
	Resumable    bool           `key:"resumable" default:"false" help:"whether a stream may go on at another upstream"`
	HasPrompts   bool           `key:"prompts" default:"false" help:"whether requests describe a prompt"`
	Public       bool           `key:"public" default:"false" help:"whether requests need no key where the configuration has accounts"`

	Targets []Target // parsed from Services
}

// Target is a service with its weight in a route.
type Target struct {
	Service units.ServiceName
	Weight  int
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteSafe || (r.Kind == RouteStream && r.Resumable)
}

// SelectService returns one of the route's services, chosen by weight. The fraction, in [0, 1), determines the choice.
func (r *Route) SelectService(fraction float64) units.ServiceName {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := fraction * float64(total)
	for _, t := range r.Targets {
		remaining -= float64(t.Weight)
		if remaining < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Bounds limits the size and the timing of callers' requests.
type Bounds struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration // minimum time for which an idle connection is kept open
}

// RouteFor returns the route of the host with the longest matching path prefix, or nil.
func (c *Config) RouteFor(host, path string) *Route {
	for _, r := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Path) {
			return r
		}
	}
	return nil
}

// NewFromRoutes returns a configuration of services and routes that do not come from a folder.
func NewFromRoutes(revision units.Revision, services []*Service, routes []*Route, bounds Bounds) (*Config, error) {
	c := Empty()
	c.Revision = revision
	c.Bounds = bounds
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		if problem := c.checkRoute(r); problem != "" {
			return nil, fmt.Errorf("route %s: %s", r.Name, problem)
		}
	}
	c.Routes = routes
	c.index()
	return c, nil
}

// checkRoute validates the route and parses its services into targets. It returns a description of the problem, or an
// empty string.
func (c *Config) checkRoute(r *Route) string {
	if !strings.HasPrefix(r.Path, "/") || !strings.HasSuffix(r.Path, "/") {
		return fmt.Sprintf("path %q does not begin and end with a slash", r.Path)
	}
	for _, text := range r.Services {
		target, err := parseTarget(text)
		if err != nil {
			return err.Error()
		}
		if _, ok := c.Services[target.Service]; !ok {
			return fmt.Sprintf("service %q is not configured", target.Service)
		}
		r.Targets = append(r.Targets, target)
	}
	if len(r.Targets) == 0 {
		return "route has no services"
	}
	return ""
}

// parseTarget parses name or name:weight. The default weight is 1.
func parseTarget(text string) (Target, error) {
	name, weight, weighted := strings.Cut(text, ":")
	if !weighted {
		return Target{Service: units.ServiceName(name), Weight: 1}, nil
	}
	n, err := strconv.Atoi(weight)
	if err != nil || n < 0 {
		return Target{}, fmt.Errorf("weight %q is not a non-negative integer", weight)
	}
	return Target{Service: units.ServiceName(name), Weight: n}, nil
}

func (c *Config) indexRoutes() {
	c.routesByHost = map[string][]*Route{}
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		c.routesByHost[host] = append(c.routesByHost[host], r)
	}
	for _, routes := range c.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Path), len(a.Path)) })
	}
}
