package serve

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestProcessesKnowTheirZone starts all processes of three zones at once. Each must come to know the others of its
// own zone, and two of each zone watch the platform.
func TestProcessesKnowTheirZone(t *testing.T) {
	inWorld(t, func(w *world) {
		w.zones("z0", "z1", "z2")
		w.publish()
		var nodes []*node
		for i := range 12 {
			nodes = append(nodes, w.launch(fmt.Sprintf("p%02d", i), fmt.Sprintf("z%d", i%3)))
		}
		w.await("configuration is in force", inForce(nodes, 1))
		time.Sleep(10 * time.Second)
		wantZoneOf(t, nodes, 4)

		w.isolate("p00")
		time.Sleep(10 * time.Second)
		wantZoneOf(t, []*node{nodes[3], nodes[6], nodes[9]}, 3)
	})
}

// wantZoneOf fails the test unless each process knows that many live processes of its zone.
func wantZoneOf(t *testing.T, nodes []*node, size int) {
	t.Helper()
	watchers := map[string]int{}
	for _, n := range nodes {
		_, count := n.fleet.rank()
		assert.Equal(t, count, size, "%s", n.name)
		if n.fleet.watches() {
			watchers[n.zone]++
		}
	}
	for zone, count := range watchers {
		assert.Equal(t, count, watchersPerPlace, "%s", zone)
	}
}
