package serve

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fakes"
)

func TestEachCallerGetsItsWholeAnswer(t *testing.T) {
	const (
		callers = 24
		tokens  = 100
	)
	tests := []struct {
		name  string
		build func(tc *testCluster) []*node
		fault func(tc *testCluster)
	}{
		{
			name:  "no fault",
			build: func(tc *testCluster) []*node { return startOneZone(tc, engine.RoleMixed, engine.RoleMixed) },
			fault: func(*testCluster) {},
		},
		{
			name: "an engine crashes during a stream",
			build: func(tc *testCluster) []*node {
				return startOneZone(tc, engine.RoleMixed, engine.RoleMixed, engine.RoleMixed)
			},
			fault: func(tc *testCluster) { tc.engines["guide-1"].Crash() },
		},
		{
			name: "prefill and decode are split",
			build: func(tc *testCluster) []*node {
				return startOneZone(tc, engine.RolePrefill, engine.RoleDecode, engine.RoleDecode)
			},
			fault: func(*testCluster) {},
		},
		{
			name: "a decoding engine crashes",
			build: func(tc *testCluster) []*node {
				return startOneZone(tc, engine.RolePrefill, engine.RoleDecode, engine.RoleDecode)
			},
			fault: func(tc *testCluster) { tc.engines["guide-2"].Crash() },
		},
		{
			name: "the only prefilling engine crashes and restarts",
			build: func(tc *testCluster) []*node {
				return startOneZone(tc, engine.RolePrefill, engine.RoleDecode, engine.RoleDecode)
			},
			fault: func(tc *testCluster) { tc.engines["guide-1"].Crash() },
		},
		{
			name: "an engine is cut off",
			build: func(tc *testCluster) []*node {
				return startOneZone(tc, engine.RoleMixed, engine.RoleMixed, engine.RoleMixed)
			},
			fault: func(tc *testCluster) { tc.network.SetPartition("a", "guide-1", true) },
		},
		{
			name:  "through a peer",
			build: startWithRemoteEngines,
			fault: func(*testCluster) {},
		},
		{
			name:  "through a peer whose link is lost",
			build: startWithRemoteEngines,
			fault: func(tc *testCluster) { tc.network.SetPartition("a", "b", true) },
		},
		{
			name:  "through a peer whose engine crashes",
			build: startWithRemoteEngines,
			fault: func(tc *testCluster) { tc.engines["guide-1"].Crash() },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runCluster(t, func(tc *testCluster) {
				nodes := tt.build(tc)
				wait := background(callers, func(i int) reply {
					return tc.chat(nodes[i%len(nodes)], fmt.Sprintf("prompt %d", i), tokens)
				})
				time.Sleep(500 * time.Millisecond)
				tt.fault(tc)
				for i, r := range wait() {
					tc.assertComplete(r, fmt.Sprintf("prompt %d", i), tokens)
				}
			})
		})
	}
}

// startOneZone starts engines with the given roles and one process in the same zone.
func startOneZone(tc *testCluster, roles ...engine.Role) []*node {
	tc.zones("za")
	for i, role := range roles {
		tc.engine(fmt.Sprintf("guide-%d", i+1), "za", fakes.EngineSettings{Role: role}, "role = "+string(role))
	}
	tc.publish()
	n := tc.start("a", "za")
	tc.awaitReports(n, len(roles))
	return []*node{n}
}

// startWithRemoteEngines starts three zones and returns the process of the zone that has no engines.
func startWithRemoteEngines(tc *testCluster) []*node {
	tc.zones("za", "zb", "zc")
	tc.engine("guide-1", "zb", fakes.EngineSettings{})
	tc.engine("guide-2", "zb", fakes.EngineSettings{})
	tc.engine("guide-3", "zc", fakes.EngineSettings{})
	tc.publish()
	a := tc.start("a", "za")
	b := tc.start("b", "zb")
	c := tc.start("c", "zc")
	tc.await("links are open", func() bool { return len(a.mesh.Links()) == 2 })
	tc.awaitReports(b, 2)
	tc.awaitReports(c, 1)
	time.Sleep(2 * time.Second)
	return []*node{a}
}

// awaitReports waits until the process has load reports from count engines.
func (tc *testCluster) awaitReports(n *node, count int) {
	tc.await(n.name+" has load reports", func() bool {
		reported := 0
		for _, v := range n.pool.all() {
			if _, _, ok := v.LatestReport(); ok {
				reported++
			}
		}
		return reported >= count
	})
}

func TestCanceledCallReachesTheEngine(t *testing.T) {
	runCluster(t, func(tc *testCluster) {
		n := startOneZone(tc, engine.RoleMixed)[0]
		r := tc.chat(n, "long", 2000, "X-Deadline-Ms", "1000")
		assert.Assert(t, !r.complete)
		tc.await("engine has ended the run", func() bool {
			runs := tc.engines["guide-1"].Ledger().Runs
			return len(runs) == 1 && runs[0].Outcome != "running"
		})
		assert.Assert(t, tc.engines["guide-1"].Ledger().Runs[0].Tokens < 2000)
	})
}
