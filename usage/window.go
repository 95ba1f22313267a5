// Package usage counts the requests of accounts by window of true time, and settles what is reported of all processes together.
package usage

import (
	"maps"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// Window numbers the windows of true time. Window k begins at k times the length of a window after the Unix epoch.
type Window int64

// Counts holds numbers of requests by account.
type Counts map[units.TenantName]int64

// Length is the length of the windows.
type Length time.Duration

// At returns the window of a point in true time.
func (l Length) At(at time.Time) Window {
	return Window(at.UnixNano() / int64(l))
}

// End returns the end of the window in true time.
func (l Length) End(w Window) time.Time {
	return time.Unix(0, int64(w+1)*int64(l))
}

// total returns the number of requests of all accounts.
func (c Counts) total() int64 {
	var sum int64
	for _, n := range c {
		sum += n
	}
	return sum
}

// merge raises the counts to those of another state of the same counter. Counters only grow, so the order of states does not matter.
func (c Counts) merge(other Counts) {
	for account, n := range other {
		c[account] = max(c[account], n)
	}
}

// add adds the counts of another counter.
func (c Counts) add(other Counts) {
	for account, n := range other {
		c[account] += n
	}
}

// Clone returns a copy.
func (c Counts) Clone() Counts {
	return maps.Clone(c)
}
