package serve

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/order"
	"github.com/buckthorntrack/buckthorntrack/peer"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	maxDrainTime = 3 * time.Second // from a planned change until the engine gets no new requests
	loadStreams  = 12
	loadTokens   = 150
)

// loadGenerator keeps a fixed number of streams open and distributes them over the ready processes, as a load balancer
// does.
type loadGenerator struct {
	tc      *testCluster
	mu      sync.Mutex
	nodes   []*node
	replies []reply
	prompts []string
	stop    chan struct{}
	done    sync.WaitGroup
}

func startLoadGenerator(tc *testCluster, nodes []*node) *loadGenerator {
	l := &loadGenerator{tc: tc, nodes: nodes, stop: make(chan struct{})}
	for i := range loadStreams {
		l.done.Go(func() { l.run(i) })
	}
	return l
}

func (l *loadGenerator) run(stream int) {
	for round := 0; ; round++ {
		select {
		case <-l.stop:
			return
		default:
		}
		n := l.readyNode(stream + round)
		prompt := fmt.Sprintf("stream %d round %d", stream, round)
		r := l.tc.chat(n, prompt, loadTokens)
		l.mu.Lock()
		l.replies = append(l.replies, r)
		l.prompts = append(l.prompts, prompt)
		l.mu.Unlock()
	}
}

// readyNode waits until a process is ready and returns one of the ready processes, selected by i.
func (l *loadGenerator) readyNode(i int) *node {
	for {
		l.mu.Lock()
		var ready []*node
		for _, n := range l.nodes {
			if n.ready.Load() {
				ready = append(ready, n)
			}
		}
		l.mu.Unlock()
		if len(ready) > 0 {
			return ready[i%len(ready)]
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (l *loadGenerator) add(n *node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes = append(l.nodes, n)
}

// finish stops the load and fails the test unless every stream was answered completely.
func (l *loadGenerator) finish() {
	close(l.stop)
	l.done.Wait()
	for i, r := range l.replies {
		l.tc.assertComplete(r, l.prompts[i], loadTokens)
	}
	assert.Assert(l.tc.t, len(l.replies) > 2*loadStreams, "only %d streams were sent, too few", len(l.replies))
}

// lastRunStart returns the start time of the engine's latest run.
func lastRunStart(e *fakes.Engine) time.Time {
	last := time.Time{}
	for _, r := range e.Ledger().Runs {
		if r.Started.After(last) {
			last = r.Started
		}
	}
	return last
}

// assertNoAbortedRuns fails the test unless all runs of all engines completed.
func assertNoAbortedRuns(tc *testCluster) {
	tc.t.Helper()
	for name, e := range tc.engines {
		for _, r := range e.Ledger().Runs {
			assert.Assert(tc.t, r.Outcome == "done", "%s: run of request %s ended with outcome %s", name, r.RequestID, r.Outcome)
		}
	}
}

func TestPlannedChangesCutNoStream(t *testing.T) {
	tests := []struct {
		name   string
		change func(tc *testCluster, l *loadGenerator, nodes []*node)
	}{
		{"drain by configuration", func(tc *testCluster, _ *loadGenerator, _ []*node) {
			tc.publish("[engine guide-1]\ndrain = true\n")
			assertDrained(tc, "guide-1")
		}},
		{"a process starts while an engine is drained", func(tc *testCluster, l *loadGenerator, _ []*node) {
			tc.publish("[engine guide-1]\ndrain = true\n")
			time.Sleep(5 * time.Second)
			l.add(tc.start("late", "za"))
			assertDrained(tc, "guide-1")
		}},
		{"a VM leaves", func(tc *testCluster, _ *loadGenerator, _ []*node) {
			tc.store.SetVM(objapi.VM{Name: "vm-guide-1", Place: "za", State: objapi.VMLeaving})
			assertDrained(tc, "guide-1")
		}},
		{"a VM leaves and one process is cut off from the platform", func(tc *testCluster, _ *loadGenerator, nodes []*node) {
			tc.network.SetPartition(nodes[0].name, platformHost, true)
			time.Sleep(time.Second)
			tc.store.SetVM(objapi.VM{Name: "vm-guide-1", Place: "za", State: objapi.VMLeaving})
			assertDrained(tc, "guide-1")
		}},
		{"an engine is replaced", func(tc *testCluster, _ *loadGenerator, _ []*node) {
			tc.engine("guide-9", "za", fakes.EngineSettings{})
			tc.publish("[engine guide-1]\nremoved = true\n")
			assertDrained(tc, "guide-1")
			tc.await("the new engine gets requests", func() bool { return !lastRunStart(tc.engines["guide-9"]).IsZero() })
		}},
		{"two role changes by configuration", func(tc *testCluster, _ *loadGenerator, _ []*node) {
			tc.publish("[engine guide-1]\nrole = prefill\n[engine guide-2]\nrole = decode\n")
			tc.await("guide-1 prefills", roleOrderDone(tc, "guide-1", engine.RolePrefill))
			tc.await("guide-2 decodes", roleOrderDone(tc, "guide-2", engine.RoleDecode))
			time.Sleep(2 * time.Second)
		}},
		{"a role change while a process is cut off from the others", func(tc *testCluster, _ *loadGenerator, nodes []*node) {
			tc.publish("[engine guide-1]\nrole = prefill\n")
			time.Sleep(time.Second)
			tc.network.SetPartition(nodes[2].name, nodes[0].name, true)
			tc.network.SetPartition(nodes[2].name, nodes[1].name, true)
			time.Sleep(60 * time.Second)
		}},
		{"a process acknowledges the nomination and is cut off", func(tc *testCluster, _ *loadGenerator, nodes []*node) {
			tc.publish("[engine guide-1]\nrole = prefill\n")
			c := nodes[2]
			tc.await("the process has acknowledged the nomination", func() bool {
				v, ok := c.mesh.Table().Get(peer.MemberPrefix + c.name)
				var m wire.Member
				return ok && v.Decode(&m) == nil && len(m.Candidates) > 0
			})
			c.mesh.Flush()
			time.Sleep(5 * time.Millisecond)
			tc.network.SetPartition(c.name, nodes[0].name, true)
			tc.network.SetPartition(c.name, nodes[1].name, true)
			tc.await("guide-1 prefills", roleOrderDone(tc, "guide-1", engine.RolePrefill))
			time.Sleep(5 * time.Second)
		}},
		{"the lease holder is stopped during a role change", func(tc *testCluster, _ *loadGenerator, nodes []*node) {
			tc.publish("[engine guide-1]\nrole = prefill\n")
			holder := tc.awaitOpenIntent(nodes)
			holder.cancel()
			tc.await("guide-1 prefills", roleOrderDone(tc, "guide-1", engine.RolePrefill))
		}},
		{"all entry processes are replaced one by one", func(tc *testCluster, l *loadGenerator, nodes []*node) {
			for i, n := range nodes {
				l.add(tc.start(fmt.Sprintf("new-%d", i), n.zone))
				time.Sleep(3 * time.Second)
				n.cancel()
				assert.NilError(tc.t, <-n.done)
				n.done <- nil
				tc.store.RemoveVM(n.settings.Process.VM)
			}
			time.Sleep(3 * time.Second)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runCluster(t, func(tc *testCluster) {
				tc.zones("za")
				for i := range 4 {
					tc.engine(fmt.Sprintf("guide-%d", i+1), "za", fakes.EngineSettings{ChecksFences: i%2 == 0})
				}
				tc.publish()
				nodes := []*node{tc.start("a", "za"), tc.start("b", "za"), tc.start("c", "za")}
				tc.await("links are open", func() bool {
					return len(nodes[0].mesh.Links()) == 2 && len(nodes[1].mesh.Links()) == 2
				})
				tc.awaitReports(nodes[0], 4)
				l := startLoadGenerator(tc, nodes)
				time.Sleep(3 * time.Second)
				tt.change(tc, l, nodes)
				l.finish()
				assertNoAbortedRuns(tc)
			})
		})
	}
}

// assertDrained fails the test if the engine gets a new request more than maxDrainTime after the call.
func assertDrained(tc *testCluster, name string) {
	tc.t.Helper()
	began := time.Now()
	time.Sleep(20 * time.Second)
	after := lastRunStart(tc.engines[name]).Sub(began)
	assert.Assert(tc.t, after < maxDrainTime, "%s got a new request after %s", name, after)
}

// roleOrderDone returns a condition that holds once the engine has completed an order for the role.
func roleOrderDone(tc *testCluster, name string, role engine.Role) func() bool {
	return func() bool {
		for _, o := range tc.engines[name].Ledger().Orders {
			if o.Argument == string(role) && o.Outcome == "done" {
				return true
			}
		}
		return false
	}
}

// awaitOpenIntent waits until an intent is open and returns the process that opened it.
func (tc *testCluster) awaitOpenIntent(nodes []*node) *node {
	var holder *node
	tc.await("an intent is open", func() bool {
		records, err := order.List(tc.t.Context(), tc.store, order.Prefix)
		assert.NilError(tc.t, err)
		for _, r := range records {
			for _, n := range nodes {
				if r.Open != nil && r.Open.Holder == n.settings.Process.Name {
					holder = n
				}
			}
		}
		return holder != nil
	})
	return holder
}

// TestAutoRolesCutNoStream starts with too few prefill engines, so that the role policy orders a role change, which
// takes a lease, a journal entry and a cordon. No stream may be interrupted, and all engines must keep serving while the
// processes are cut off from the platform.
func TestAutoRolesCutNoStream(t *testing.T) {
	runCluster(t, func(tc *testCluster) {
		tc.zones("za")
		for i, role := range []engine.Role{engine.RolePrefill, engine.RoleDecode, engine.RoleDecode, engine.RoleDecode} {
			tc.engine(fmt.Sprintf("guide-%d", i+1), "za", fakes.EngineSettings{Role: role, ChecksFences: i%2 == 0},
				"role = "+string(role))
		}
		tc.publish("[service guide-llm]\nautoRoles = true\nprefillTokensPerSecond = 25\nfirstTokenTarget = 60s\n")
		nodes := []*node{tc.start("a", "za"), tc.start("b", "za")}
		tc.await("links are open", func() bool { return len(nodes[0].mesh.Links()) == 1 })
		tc.awaitReports(nodes[0], 4)
		// Both processes lose the platform while the role change waits for open streams to end.
		var opened atomic.Bool
		tc.store.OnPut(func(o objapi.Object) {
			var r order.Record
			if strings.HasPrefix(o.Key, order.Prefix) && o.Decode(&r) == nil && r.Open != nil {
				opened.Store(true)
			}
		})
		l := startLoadGenerator(tc, nodes)
		tc.await("an intent is open", opened.Load)
		tc.network.SetPartition("a", platformHost, true)
		tc.network.SetPartition("b", platformHost, true)
		time.Sleep(30 * time.Second)
		before := map[string]int{}
		for name, e := range tc.engines {
			before[name] = len(e.Ledger().Runs)
		}
		time.Sleep(20 * time.Second)
		for name, e := range tc.engines {
			assert.Assert(t, len(e.Ledger().Runs) > before[name], "%s gets no requests while there is no lease holder", name)
		}

		tc.network.SetPartition("a", platformHost, false)
		tc.network.SetPartition("b", platformHost, false)
		tc.await("a role has changed", func() bool {
			for _, e := range tc.engines {
				for _, o := range e.Ledger().Orders {
					if o.Outcome == "done" {
						return true
					}
				}
			}
			return false
		})
		l.finish()
		assertNoAbortedRuns(tc)
	})
}
