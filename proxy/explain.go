package proxy

import (
	"context"
	"errors"

	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Explanation is the decision that would be made for a request now.
type Explanation struct {
	Version  units.SoftwareVersion // that all engines of the request must have, empty for any
	Bound    bool                  // the request goes to engines of one version
	AllLoads bool                  // the loads of all engines are known without asking
	Options  []pick.Option
	Plan     pick.Plan
	Found    bool
}

// errTakeUp means that an explanation does not say at which version a stream goes on.
var errTakeUp = errors.New("the version of a stream that is taken up is not looked up for an explanation")

// Explain returns the decision that Run would make for the first call of the request, or the error with which Run would refuse
// it. It sends and counts nothing. Loads that Run would ask for are those that were told last.
func (s *Stage) Explain(x *Exchange) (Explanation, error) {
	if _, ok := engineURL("", x.Request.RequestURI); !ok {
		return Explanation{}, fault.Bad("path", "the path cannot be passed on unchanged")
	}
	traits := traitsOf(x)
	if err := s.screen.Check(traits); err != nil {
		return Explanation{}, err
	}
	r := &run{Stage: s, x: x, ctx: context.Background(), request: request{
		Inbound: x.Inbound, method: x.Request.Method, target: x.Request.RequestURI, host: x.Request.Host,
	}, traits: traits}
	explained := Explanation{AllLoads: s.publisher.KnowsAllLoads()}
	if x.Route.Resumable {
		if x.Inbound.EventID != "" || x.Inbound.Resumes != "" {
			return explained, errTakeUp
		}
		service := x.Service.Name
		version, err := s.versions.Preview(service, x.Inbound.ID, s.engines.Table(service).Versions())
		if err != nil {
			return explained, fault.Unavailable(fault.CodeNoUpstream, assignRetryAfter, "service %s has new software versions", service).Wrap(err)
		}
		r.bound, r.version = true, version
		explained.Bound, explained.Version = true, version
	}
	explained.Options, explained.Plan, explained.Found = r.explainChoice()
	if !explained.Found {
		return explained, r.noUpstreamError("service %s has no upstream")
	}
	if explained.Plan.TimeToFirstEvent > r.timeUntilAbandon() {
		return explained, fault.Unavailable(fault.CodeOverloaded, 0, "the estimate is longer than the caller waits")
	}
	state := callState{
		stopped: s.stop.Ended().Err() != nil, stopsSoon: s.stop.IsLate(), stranded: s.isStranded(), repeatable: x.Route.Repeatable(),
	}
	if refused := decideCall(state); refused != nil {
		return explained, refused
	}
	return explained, nil
}

// explainChoice does what choose does, without asking for loads.
func (r *run) explainChoice() ([]pick.Option, pick.Plan, bool) {
	table, criteria := r.table(), r.criteria()
	if !r.publisher.KnowsAllLoads() {
		criteria.HomeOnly, criteria.ShareHomes = true, true
		plan, ok := choosePair(table, criteria)
		if !ok || plan.Busy || float64(plan.TimeToFirstEvent) > maxHomeShare*float64(r.x.Route.Objective) {
			criteria.HomeOnly = false
		}
	}
	options, _, _ := pick.Explain(table, criteria)
	plan, ok := choosePair(table, criteria)
	return options, plan, ok
}
