package proxy

import (
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// RetryBudget allows, within a sliding window, at most Ratio retries per request plus Slack retries.
type RetryBudget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// usedRatio is the fraction of the budget that running processes use. The rest is reserved for restarted processes,
	// which have lost their count of earlier retries.
	usedRatio = 0.68
	// freshRatio is the fraction of the slack that a process uses in its first window. All processes may restart twice
	// per window before they exceed the reserve that usedRatio leaves: 2 * 0.16 = 1 - 0.68.
	freshRatio = 0.16
	// minProcesses is the smallest number of processes among which the slack is divided.
	minProcesses = 8
)

// Share returns one process's share of a service's retry budget. The slack is divided among all processes that are
// registered on the platform, reachable or not. A process that has not read their number yet gets no slack, and a fresh
// one, which has run for less than a window, a reduced part.
func (r RetryBudget) Share(processes int, fresh bool) RetryBudget {
	ratio := usedRatio
	if fresh {
		ratio = freshRatio
	}
	slack := ratio * r.Slack / float64(max(processes, minProcesses))
	if processes == 0 {
		slack = 0
	}
	return RetryBudget{Ratio: usedRatio * r.Ratio, Slack: slack, Window: r.Window}
}

// budget enforces the retry budget of one service in this process, over a sliding window.
type budget struct {
	mu       sync.Mutex
	requests []time.Time
	retries  []time.Time
}

// addRequest counts a request from a caller. Requests increase the budget.
func (b *budget) addRequest(share RetryBudget, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(dropBefore(b.requests, now.Add(-share.Window)), now)
}

// take counts a retry, or returns false if the budget is exhausted.
func (b *budget) take(share RetryBudget, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = dropBefore(b.requests, now.Add(-share.Window))
	b.retries = dropBefore(b.retries, now.Add(-share.Window))
	if float64(len(b.retries)+1) > share.Ratio*float64(len(b.requests))+share.Slack {
		return false
	}
	b.retries = append(b.retries, now)
	return true
}

// hasRoom reports whether a number of retries is within the budget now.
func (b *budget) hasRoom(share RetryBudget, now time.Time, retries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = dropBefore(b.requests, now.Add(-share.Window))
	b.retries = dropBefore(b.retries, now.Add(-share.Window))
	return float64(len(b.retries)+retries) <= share.Ratio*float64(len(b.requests))+share.Slack
}

// refund returns the latest retry to the budget.
func (b *budget) refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.retries) > 0 {
		b.retries = b.retries[:len(b.retries)-1]
	}
}

// dropBefore removes the times before start from the sorted list.
func dropBefore(times []time.Time, start time.Time) []time.Time {
	for len(times) > 0 && times[0].Before(start) {
		times = times[1:]
	}
	return times
}

// budgets holds the budget of each service.
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
