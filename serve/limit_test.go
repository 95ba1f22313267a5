package serve

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	tenantRate   = 60.0 // requests a second, by the folder
	followTime   = 2 * time.Second
	steadyTime   = 20 * time.Second
	rateSlack    = 0.1
	demandOfOne  = 150 // requests a second that one process is asked for
	demandPeriod = time.Second / demandOfOne
)

// askAt asks a process for cheap work at a steady rate until the function that it returns is called.
func (w *world) askAt(n *node, period time.Duration, passed *atomic.Int64) func() {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(period):
			}
			if w.call(n, http.MethodGet, "/services/booking/availability", "", "X-Tenant", "boats").status == http.StatusOK {
				passed.Add(1)
			}
		}
	}()
	return func() {
		close(stop)
		<-done
	}
}

// TestTenantLimitAcrossProcesses asks one process and then another in another zone for more than the tenant's rate.
// The sum follows the demand, and zones that are cut off keep to their fixed shares.
func TestTenantLimitAcrossProcesses(t *testing.T) {
	inWorld(t, func(w *world) {
		zones := []string{"za", "zb", "zc"}
		w.zones(zones...)
		for _, zone := range zones {
			w.service("booking-"+zone, zone)
		}
		w.publish("[tenant boats]\nrequestsPerSecond = 60\n")
		nodes := []*node{w.start("a", "za"), w.start("b", "zb"), w.start("c", "zc")}
		w.await("links", func() bool { return len(nodes[0].mesh.Links()) == 2 && len(nodes[1].mesh.Links()) == 2 })
		time.Sleep(5 * time.Second)

		var passed atomic.Int64
		rate := func() float64 {
			before := passed.Load()
			time.Sleep(steadyTime)
			return float64(passed.Load()-before) / steadyTime.Seconds()
		}
		stop := w.askAt(nodes[0], demandPeriod, &passed)
		time.Sleep(10 * time.Second)
		steady := rate()
		assert.Assert(t, steady > tenantRate*(1-rateSlack) && steady < tenantRate*(1+rateSlack), "%.1f a second", steady)

		stop()
		stop = w.askAt(nodes[1], demandPeriod, &passed)
		time.Sleep(followTime)
		jumped := rate()
		assert.Assert(t, jumped > tenantRate*(1-rateSlack) && jumped < tenantRate*(1+rateSlack), "%.1f after a jump", jumped)

		for i, a := range nodes {
			for _, b := range nodes[i+1:] {
				w.network.SetPartition(a.name, b.name, true)
			}
		}
		time.Sleep(20 * time.Second)
		alone := rate()
		stop()
		assert.Assert(t, alone < tenantRate/3*(1+rateSlack), "%.1f a second in a zone that is cut off", alone)
	})
}
