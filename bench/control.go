package bench

import (
	"context"
	"time"

	"github.com/buckthorntrack/buckthorntrack/roles"
	"github.com/buckthorntrack/buckthorntrack/route"
)

// controlRoles changes the roles of engines as the lease holder does.
func (r *runner) controlRoles(ctx context.Context) {
	policy := r.setup.RolePolicy(r.setup.Fleet)
	var averages roles.DemandAverages
	lastChange := time.Now().Add(roleChangeDelay)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(roleDecisionInterval):
		}
		now := time.Now()
		averages.Add(r.takeDemand(), now)
		if now.Before(lastChange) {
			continue
		}
		state := roles.State{
			Now: now, Fast: averages.Fast, Slow: averages.Slow, LastChange: lastChange, Engines: r.engineStates(now),
		}
		move, ok := policy.Decide(state)
		if !ok {
			continue
		}
		r.changeRole(ctx, move)
		lastChange = time.Now()
	}
}

// takeDemand returns the demand since the last call and resets it.
func (r *runner) takeDemand() roles.Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.demand
	r.demand = roles.Demand{}
	return taken
}

// engineStates returns the states of the engines for the role policy, as observed by the first entry process.
func (r *runner) engineStates(now time.Time) []roles.Engine {
	views := r.entries[0].views
	engines := make([]roles.Engine, 0, len(views))
	for _, v := range views {
		report, takenAt, ok := v.LatestReport()
		engines = append(engines, roles.Engine{
			Name: v.Engine.Name, Role: v.Role(), Running: report.Running + report.Waiting,
			Fresh:     ok && now.Sub(takenAt) < 2*time.Second,
			Changing:  report.Away || v.Blocked()&route.BlockedCordon != 0,
			Withdrawn: v.Blocked()&route.BlockedDrain != 0,
		})
	}
	return engines
}

// changeRole drains the engine and changes its role. New requests go to it once its next load report has arrived.
func (r *runner) changeRole(ctx context.Context, move roles.Move) {
	for i, v := range r.entries[0].views {
		if v.Engine.Name != move.Engine {
			continue
		}
		r.setBlocked(i, route.BlockedCordon, true)
		for r.inFlight(i) > 0 && ctx.Err() == nil {
			time.Sleep(drainPollInterval)
		}
		if err := r.models[i].ChangeRole(ctx, move.To); err == nil {
			r.mu.Lock()
			r.result.RoleChanges++
			r.mu.Unlock()
		}
		time.Sleep(reportInterval + reportDelay)
		r.setBlocked(i, route.BlockedCordon, false)
	}
}
