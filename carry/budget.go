package carry

import (
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// Allowance is how many repeated sends a service bears.
type Allowance struct {
	Ratio  float64       // repeats for each request
	Slack  float64       // repeats beside
	Window time.Duration // over which both are counted
}

const (
	// usedPart is the part of what a service bears that processes use. The rest is for processes that start anew and do not
	// know what was sent before.
	usedPart = 0.68
	// freshPart is the part of the slack that a process uses in its first window: all processes may start twice in a window
	// without more than the rest that usedPart leaves.
	freshPart = 0.16
	// fewestProcesses is the number of processes that are assumed to share the slack until more are known.
	fewestProcesses = 8
)

// Share returns one process's part of the allowance of a service. Processes that stand on the platform share the slack,
// whether they are heard or not. A process that does not know them has none of it, and a fresh one, that has not run for a
// whole window, has little.
func (a Allowance) Share(processes int, fresh bool) Allowance {
	part := usedPart
	if fresh {
		part = freshPart
	}
	slack := part * a.Slack / float64(max(processes, fewestProcesses))
	if processes == 0 {
		slack = 0
	}
	return Allowance{Ratio: usedPart * a.Ratio, Slack: slack, Window: a.Window}
}

// budget bounds the repeated sends of one process to one service in a sliding window.
type budget struct {
	mu       sync.Mutex
	requests []time.Time
	repeats  []time.Time
}

// request counts a request of a caller.
func (b *budget) request(a Allowance, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(since(b.requests, now.Add(-a.Window)), now)
}

// take counts a repeated send and reports whether the allowance has room for it.
func (b *budget) take(a Allowance, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = since(b.requests, now.Add(-a.Window))
	b.repeats = since(b.repeats, now.Add(-a.Window))
	if float64(len(b.repeats)+1) > a.Ratio*float64(len(b.requests))+a.Slack {
		return false
	}
	b.repeats = append(b.repeats, now)
	return true
}

// refund takes the latest repeated send back.
func (b *budget) refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.repeats) > 0 {
		b.repeats = b.repeats[:len(b.repeats)-1]
	}
}

// since drops the times before the start.
func since(times []time.Time, start time.Time) []time.Time {
	for len(times) > 0 && times[0].Before(start) {
		times = times[1:]
	}
	return times
}

// budgets are the budgets of all services.
type budgets struct {
	mu        sync.Mutex
	byService map[units.ServiceName]*budget
}

func (b *budgets) of(service units.ServiceName) *budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	found, ok := b.byService[service]
	if !ok {
		found = &budget{}
		b.byService[service] = found
	}
	return found
}
