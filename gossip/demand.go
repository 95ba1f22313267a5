package gossip

import (
	"maps"
	"slices"
	"time"

	"github.com/buckthorntrack/buckthorntrack/demand"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// demandPerMessage is the number of services whose demand fits one message beside long names.
	demandPerMessage = 8
	// maxDemandName bounds the name of a service in a message on demand.
	maxDemandName = 64
	// maxDemand bounds the sums in a message.
	maxDemand = 1 << 53
	// maxDemandTime bounds the times in a message on demand, in milliseconds, so that a time.Duration holds them.
	maxDemandTime = 1 << 43
)

// OnDemand sets the handler of the demand that other processes report. Call it before Run.
func (g *Gossip) OnDemand(receive func(r demand.Report)) {
	g.demand = receive
}

// ReportDemand sends the demand of this process, as measured at a time after its start, to the processes that read the
// platform, to all in a small fleet. Services with long names are left out.
func (g *Gossip) ReportDemand(uptime time.Duration, services map[units.ServiceName]demand.Totals) {
	var list []wire.DemandTotals
	for _, name := range slices.Sorted(maps.Keys(services)) {
		if t := services[name]; len(name) <= maxDemandName {
			list = append(list, totalsOf(name, t))
		}
	}
	for part := range slices.Chunk(list, demandPerMessage) {
		g.sendToCollectors(wire.LoadMessage{Kind: kindDemand, WorkID: uint64(uptime.Milliseconds()), Demand: part})
	}
}

func totalsOf(service units.ServiceName, t demand.Totals) wire.DemandTotals {
	return wire.DemandTotals{
		Service: string(service), PrefillMS: t.Prefill.Milliseconds(), OccupiedMS: t.Occupied.Milliseconds(),
		KVTokenMS: t.KV, Requests: t.Requests, Late: t.Late,
	}
}

func (g *Gossip) receiveDemand(from *peer, load *wire.LoadMessage) {
	if g.demand == nil || load.WorkID > maxDemandTime {
		return
	}
	for _, d := range load.Demand {
		g.demand(demand.Report{
			Process: from.name, Place: from.place, Incarnation: load.Incarnation,
			Uptime: time.Duration(load.WorkID) * time.Millisecond, Service: units.ServiceName(d.Service),
			Totals: demand.Totals{
				Prefill: time.Duration(d.PrefillMS) * time.Millisecond, Occupied: time.Duration(d.OccupiedMS) * time.Millisecond,
				KV: d.KVTokenMS, Requests: d.Requests, Late: d.Late,
			},
		})
	}
}

// isDemand reports whether all values are possible.
func isDemand(d wire.DemandTotals) bool {
	for _, sum := range []int64{d.PrefillMS, d.OccupiedMS} {
		if sum < 0 || sum > maxDemandTime {
			return false
		}
	}
	for _, sum := range []int64{d.KVTokenMS, d.Requests, d.Late} {
		if sum < 0 || sum > maxDemand {
			return false
		}
	}
	return len(d.Service) <= maxDemandName
}
