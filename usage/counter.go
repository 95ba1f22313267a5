package usage

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// KeptWindows is the number of windows for which counts are kept while nobody settles them.
const KeptWindows = 24

// Counter counts the requests of this process.
type Counter struct {
	length Length
	counts sync.Map // *atomic.Int64 by counterKey
	missed atomic.Int64
	// settled is the last window that was settled, as far as this process knows.
	settled atomic.Int64
}

type counterKey struct {
	window  Window
	account units.TenantName
}

// NewCounter returns a counter for windows of the given length.
func NewCounter(length Length) *Counter {
	return &Counter{length: length}
}

// Add counts a request of an account that an engine began to run at a point in true time. One of a window that was settled already is
// missing from its report.
func (c *Counter) Add(account units.TenantName, at time.Time) {
	key := counterKey{window: c.length.At(at), account: account}
	if int64(key.window) <= c.settled.Load() {
		c.missed.Add(1)
	}
	n, ok := c.counts.Load(key)
	if !ok {
		n, _ = c.counts.LoadOrStore(key, &atomic.Int64{})
	}
	n.(*atomic.Int64).Add(1)
}

// Missed returns the number of requests that were counted after their window was settled.
func (c *Counter) Missed() int64 {
	return c.missed.Load()
}

// SetSettled records that a window and those before it are settled.
func (c *Counter) SetSettled(w Window) {
	for {
		known := c.settled.Load()
		if int64(w) <= known || c.settled.CompareAndSwap(known, int64(w)) {
			return
		}
	}
}

// Windows returns the counts of a window and those before it that are kept, and drops earlier ones.
func (c *Counter) Windows(last Window) map[Window]Counts {
	windows := map[Window]Counts{}
	c.counts.Range(func(k, n any) bool {
		key := k.(counterKey)
		switch {
		case key.window <= last-KeptWindows:
			c.counts.Delete(key)
		case key.window <= last:
			if windows[key.window] == nil {
				windows[key.window] = Counts{}
			}
			windows[key.window][key.account] = n.(*atomic.Int64).Load()
		}
		return true
	})
	return windows
}
