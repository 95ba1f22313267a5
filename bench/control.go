package bench

import (
	"context"
	"time"

	"github.com/buckthorntrack/buckthorntrack/roles"
	"github.com/buckthorntrack/buckthorntrack/route"
)

// control changes roles as the holder of the lease does.
func (r *rig) control(ctx context.Context) {
	policy := r.setup.Roles(r.setup.Fleet)
	var mix roles.DemandAverages
	lastChange := time.Now().Add(settle)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(decideEvery):
		}
		now := time.Now()
		mix.Add(r.takeDemand(), now)
		if now.Before(lastChange) {
			continue
		}
		state := roles.State{
			Now: now, Fast: mix.Fast, Slow: mix.Slow, LastChange: lastChange, Engines: r.engines(now),
		}
		move, ok := policy.Decide(state)
		if !ok {
			continue
		}
		r.change(ctx, move)
		lastChange = time.Now()
	}
}

func (r *rig) takeDemand() roles.Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.demand
	r.demand = roles.Demand{}
	return taken
}

func (r *rig) engines(now time.Time) []roles.Engine {
	views := r.entries[0].views
	engines := make([]roles.Engine, 0, len(views))
	for _, v := range views {
		report, taken, ok := v.LatestReport()
		engines = append(engines, roles.Engine{
			Name: v.Engine.Name, Role: v.Role(), Running: report.Running + report.Waiting,
			Fresh:     ok && now.Sub(taken) < 2*time.Second,
			Changing:  report.Away || v.Blocked()&route.BlockedCordon != 0,
			Withdrawn: v.Blocked()&route.BlockedDrain != 0,
		})
	}
	return engines
}

// change takes the engine away without cutting a stream, and changes its role.
func (r *rig) change(ctx context.Context, move roles.Move) {
	for i, v := range r.entries[0].views {
		if v.Engine.Name != move.Engine {
			continue
		}
		r.block(i, route.BlockedCordon, true)
		for r.inFlight(i) > 0 && ctx.Err() == nil {
			time.Sleep(drainPoll)
		}
		if err := r.models[i].ChangeRole(ctx, move.To); err == nil {
			r.mu.Lock()
			r.result.Changes++
			r.mu.Unlock()
		}
		time.Sleep(reportEvery + reportLag)
		r.block(i, route.BlockedCordon, false)
	}
}
