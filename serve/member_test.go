package serve

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestZoneMembership starts all processes of three zones at once. Each must count the live processes of its own zone,
// also after one is lost, and watchersPerPlace processes of each zone must watch the platform.
func TestZoneMembership(t *testing.T) {
	runCluster(t, func(tc *testCluster) {
		tc.zones("z0", "z1", "z2")
		tc.publish()
		var nodes []*node
		for i := range 12 {
			nodes = append(nodes, tc.launch(fmt.Sprintf("p%02d", i), fmt.Sprintf("z%d", i%3)))
		}
		tc.await("configuration is in force", revisionInForce(nodes, 1))
		time.Sleep(10 * time.Second)
		assertZoneSize(t, nodes, 4)

		tc.isolate("p00")
		time.Sleep(10 * time.Second)
		assertZoneSize(t, []*node{nodes[3], nodes[6], nodes[9]}, 3)
	})
}

// assertZoneSize fails the test unless each process counts size live processes in its zone and each zone has
// watchersPerPlace watchers.
func assertZoneSize(t *testing.T, nodes []*node, size int) {
	t.Helper()
	watchers := map[string]int{}
	for _, n := range nodes {
		_, count := n.cluster.rank()
		assert.Equal(t, count, size, "%s", n.name)
		if n.cluster.watches() {
			watchers[n.zone]++
		}
	}
	for zone, count := range watchers {
		assert.Equal(t, count, watchersPerPlace, "%s", zone)
	}
}
