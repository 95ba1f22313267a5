package front

import (
	"context"
	"net/http"
	"time"

	"github.com/buckthorntrack/buckthorntrack/duty"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/usage"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

// DutyAPI makes calls to the platform's duty API. Its errors are those of duty.Call.
type DutyAPI interface {
	// ReportUsage reports the number of requests of each account that engines began to run in a window.
	ReportUsage(ctx context.Context, c duty.Credentials, window int64, counts map[units.TenantName]int64) error
	// OrderEngines states how many engines of a service in an availability zone are wanted, of the reclaimable ones or of the others.
	OrderEngines(
		ctx context.Context, c duty.Credentials, service units.ServiceName, place units.PlaceName, reclaimable bool, count int,
	) error
}

// fleetDuties holds what a process needs for the duties of the fleet.
type fleetDuties struct {
	duties *duty.Runner // nil without a duty API
	usage  *usage.Node  // nil where no usage is reported
}

// dutyHeadTimeout bounds the head of an answer of the duty API. Handle.Call bounds the whole call by less.
const dutyHeadTimeout = 5 * time.Second

// openDuties sets up the runner of the duties where there is a duty API.
func (p *Process) openDuties(n Network, a Adapter, clocks Clocks) {
	p.openDemands()
	if p.settings.Duties.Address == "" {
		return
	}
	// Each call opens a connection of its own, so a call that finds the duty API unreachable has certainly not been sent.
	transport := &http.Transport{
		DialContext: n.Dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes, ResponseHeaderTimeout: dutyHeadTimeout,
	}
	api := a.NewDutyAPI(transport, p.settings.Duties.Address)
	p.duties = duty.New(duty.Options{
		Name: p.settings.Process.Name, Tasks: p.dutyTasks(api, clocks),
		TurnTime: p.settings.Duties.TurnTime, Fenced: p.settings.Duties.Fenced, Rate: p.settings.Duties.Rate,
		Eligible: p.isEligible, Probe: func(ctx context.Context) error { return probe(ctx, n, p.settings.Duties.Address) },
		Store: staleReads{p.store}, Era: p.store.Era, FirstStart: p.settings.Routed.FirstStart,
		Clock: p.bootClock, Observer: p.metrics, Log: p.log,
	})
	p.metrics.Gauge("duties_token", "Fencing token of the lease of the duties, 0 if this process does not hold it.",
		func() float64 { return float64(p.duties.Token()) })
}

// probe opens a connection to an address and closes it.
func probe(ctx context.Context, n Network, address string) error {
	c, err := n.Dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return c.Close()
}

// isEligible reports whether this process may hold the duties. One process of each region reads the platform, and the next in order
// would do so when that one is gone; it is eligible as well, so that a fleet of one region has a successor at once.
func (p *Process) isEligible() bool {
	return p.ready() && (p.mirror.Reading() || p.isReader())
}

// dutyTasks returns the duties of the fleet.
func (p *Process) dutyTasks(api DutyAPI, clocks Clocks) []duty.Task {
	tasks := []duty.Task{&scaleTask{process: p, api: api}}
	if t := p.openUsage(api, clocks); t != nil {
		tasks = append(tasks, t)
	}
	return tasks
}

// startDuties counts what the duties are based on until ctx ends, and carries the duties out whenever this process holds their lease,
// until roleCtx ends.
func (p *Process) startDuties(ctx, roleCtx context.Context) {
	p.wg.Go(func() { p.runDemands(ctx) })
	if p.duties == nil {
		return
	}
	p.wg.Go(func() { p.duties.Run(roleCtx) })
	if p.usage != nil {
		p.wg.Go(func() { wait.Every(ctx, usage.LookInterval, p.usage.Look) })
	}
}
