package reach

import (
	"slices"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// passedWindow is how long a process that passed a connection on is preferred.
	passedWindow = 5 * time.Second
	// retryInterval and maxRetryInterval bound how long a process that passed nothing on is left alone.
	retryInterval    = time.Second
	maxRetryInterval = 2 * time.Second
	// spread is the number of processes of the own region that share the connections; with fewer, one in exploreOneIn
	// orders begins with a process that is not known yet.
	spread       = 5
	exploreOneIn = 2
	// strandedSample is the number of processes that must have failed, if there are more.
	strandedSample = 16
)

// record is the latest outcome at a process.
type record struct {
	passedAt time.Time
	failures int // since it last passed a connection on
	retryAt  time.Time
}

// choice orders the processes that may pass connections on. It has no input and output.
type choice struct {
	region  units.RegionName
	intn    func(int) int
	records map[units.ProcessName]record
}

func newChoice(region units.RegionName, intn func(int) int) choice {
	return choice{region: region, intn: intn, records: map[units.ProcessName]record{}}
}

// passed records a connection that a process passed on.
func (c *choice) passed(name units.ProcessName, now time.Time) {
	c.records[name] = record{passedAt: now}
}

// willing records a process that would pass connections on, but did not reach the engine.
func (c *choice) willing(name units.ProcessName) {
	c.records[name] = record{passedAt: c.records[name].passedAt}
}

// failed records a process that refused to pass a connection on, or was not reached.
func (c *choice) failed(name units.ProcessName, now time.Time) {
	r := c.records[name]
	delay := min(retryInterval<<min(r.failures, 8), maxRetryInterval)
	c.records[name] = record{failures: r.failures + 1, retryAt: now.Add(delay)}
}

// order returns the processes to try: those that lately passed a connection on, then those that are not known, each with
// the own region first and at random among equals. Processes that are left alone are absent.
func (c *choice) order(processes []Process, now time.Time) []Process {
	type ranked struct {
		Process
		rank int
	}
	const good, unknown = 0, 2
	candidates, near := make([]ranked, 0, len(processes)), 0
	for _, p := range processes {
		r := c.records[p.Name]
		if now.Before(r.retryAt) {
			continue
		}
		rank := unknown
		if !r.passedAt.IsZero() && now.Sub(r.passedAt) < passedWindow {
			rank = good
		}
		switch {
		case p.Region != c.region:
			rank++
		case rank == good:
			near++
		}
		candidates = append(candidates, ranked{Process: p, rank: rank})
	}
	for i := len(candidates) - 1; i > 0; i-- {
		j := c.intn(i + 1)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	if near > 0 && near < spread && c.intn(exploreOneIn) == 0 {
		i := slices.IndexFunc(candidates, func(r ranked) bool { return r.rank == unknown && c.records[r.Name].failures == 0 })
		if i >= 0 {
			candidates[i].rank = good - 1
		}
	}
	slices.SortStableFunc(candidates, func(a, b ranked) int { return a.rank - b.rank })
	result := make([]Process, len(candidates))
	for i, r := range candidates {
		result[i] = r.Process
	}
	return result
}

// stranded reports whether the latest attempts at all processes, or at a sample of many, failed.
func (c *choice) stranded(processes int) bool {
	for _, r := range c.records {
		if r.failures == 0 {
			return false
		}
	}
	return len(c.records) >= min(processes, strandedSample)
}

// prune drops the records of processes that have left.
func (c *choice) prune(processes []Process) {
	records := make(map[units.ProcessName]record, len(c.records))
	for _, p := range processes {
		if r, ok := c.records[p.Name]; ok {
			records[p.Name] = r
		}
	}
	c.records = records
}

// known reports whether a process lately passed a connection on.
func (c *choice) known(now time.Time) bool {
	for _, r := range c.records {
		if !r.passedAt.IsZero() && now.Sub(r.passedAt) < passedWindow {
			return true
		}
	}
	return false
}

// forget drops all records, as those of an earlier partition tell nothing about a new one.
func (c *choice) forget() {
	clear(c.records)
}
