package proxy

import (
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// maxHomeShare is the share of the target for the first event up to which the engines of the home region suffice.
const maxHomeShare = 0.7

// choose selects the engines of the next attempt. It asks for the loads of the engines that it compares, first of those
// in the home region of the prompt, and compares those of other regions if these would be late.
func (r *run) choose() (pick.Plan, bool) {
	table := r.table()
	criteria := r.criteria()
	if r.publisher.KnowsAllLoads() {
		return choosePair(table, criteria)
	}
	criteria.HomeOnly, criteria.ShareHomes = true, true
	plan, ok := r.chooseAsked(table, criteria)
	if ok && !plan.Busy && float64(plan.TimeToFirstEvent) <= maxHomeShare*float64(r.x.Route.Objective) {
		return plan, ok
	}
	criteria.HomeOnly = false
	return r.chooseAsked(table, criteria)
}

// choosePair selects the engines from those of one version, if the table has several: what two versions write does not fit
// together, the KV cache included. Only if neither version has a plan, the engines differ.
func choosePair(table *pick.Table, criteria pick.Request) (pick.Plan, bool) {
	plan, ok := pick.Choose(table, criteria)
	if !ok || plan.Prefill == nil || plan.Prefill.Version == plan.Run.Version {
		return plan, ok
	}
	for _, version := range []units.SoftwareVersion{plan.Run.Version, plan.Prefill.Version} {
		if same, ok := pick.Choose(table.Of(version), criteria); ok {
			return same, true
		}
	}
	return plan, true
}

func (r *run) chooseAsked(table *pick.Table, criteria pick.Request) (pick.Plan, bool) {
	r.publisher.Ask(r.ctx, pick.Considered(table, criteria), criteria.Prompt)
	criteria.Now = r.clock()
	return choosePair(table, criteria)
}
