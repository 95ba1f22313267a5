package serve

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	tenantRate       = 60.0            // requests per second, as published
	rebalanceTime    = 2 * time.Second // for shares of the limit to follow the demand
	rateWindow       = 20 * time.Second
	rateTolerance    = 0.1
	demandPerProcess = 150 // requests per second sent to one process
	demandPeriod     = time.Second / demandPerProcess
)

// sendAtRate sends a process one cheap request after another, with the period between them, and counts the admitted
// ones until the returned function is called.
func (tc *testCluster) sendAtRate(n *node, period time.Duration, admitted *atomic.Int64) func() {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(period):
			}
			if tc.call(n, http.MethodGet, "/services/booking/availability", "", "X-Tenant", "boats").status == http.StatusOK {
				admitted.Add(1)
			}
		}
	}()
	return func() {
		close(stop)
		<-done
	}
}

// TestTenantLimitAcrossProcesses sends more than the tenant's rate to one process, then to a process of another zone.
// The whole limit must follow the demand, and a zone that is cut off must stay within its fixed share.
func TestTenantLimitAcrossProcesses(t *testing.T) {
	runCluster(t, func(tc *testCluster) {
		zones := []string{"za", "zb", "zc"}
		tc.zones(zones...)
		for _, zone := range zones {
			tc.service("booking-"+zone, zone)
		}
		tc.publish("[tenant boats]\nrequestsPerSecond = 60\n")
		nodes := []*node{tc.start("a", "za"), tc.start("b", "zb"), tc.start("c", "zc")}
		tc.await("links are open", func() bool { return len(nodes[0].mesh.Links()) == 2 && len(nodes[1].mesh.Links()) == 2 })
		time.Sleep(5 * time.Second)

		var admitted atomic.Int64
		measureRate := func() float64 {
			before := admitted.Load()
			time.Sleep(rateWindow)
			return float64(admitted.Load()-before) / rateWindow.Seconds()
		}
		stop := tc.sendAtRate(nodes[0], demandPeriod, &admitted)
		time.Sleep(10 * time.Second)
		steady := measureRate()
		assert.Assert(t, steady > tenantRate*(1-rateTolerance) && steady < tenantRate*(1+rateTolerance),
			"%.1f requests per second", steady)

		stop()
		stop = tc.sendAtRate(nodes[1], demandPeriod, &admitted)
		time.Sleep(rebalanceTime)
		moved := measureRate()
		assert.Assert(t, moved > tenantRate*(1-rateTolerance) && moved < tenantRate*(1+rateTolerance),
			"%.1f requests per second after the demand moved", moved)

		for i, a := range nodes {
			for _, b := range nodes[i+1:] {
				tc.network.SetPartition(a.name, b.name, true)
			}
		}
		time.Sleep(20 * time.Second)
		isolated := measureRate()
		stop()
		assert.Assert(t, isolated < tenantRate/3*(1+rateTolerance),
			"%.1f requests per second in a zone that is cut off", isolated)
	})
}
