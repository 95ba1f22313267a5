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
	leaveTime   = 3 * time.Second
	loadStreams = 12
	loadTokens  = 150
)

// load keeps streams running through the ready processes, as a balancer would spread them.
type load struct {
	w       *world
	mu      sync.Mutex
	nodes   []*node
	replies []reply
	prompts []string
	stop    chan struct{}
	done    sync.WaitGroup
}

func startLoad(w *world, nodes []*node) *load {
	l := &load{w: w, nodes: nodes, stop: make(chan struct{})}
	for i := range loadStreams {
		l.done.Go(func() { l.run(i) })
	}
	return l
}

func (l *load) run(stream int) {
	for round := 0; ; round++ {
		select {
		case <-l.stop:
			return
		default:
		}
		n := l.pick(stream + round)
		prompt := fmt.Sprintf("stream %d round %d", stream, round)
		r := l.w.chat(n, prompt, loadTokens)
		l.mu.Lock()
		l.replies = append(l.replies, r)
		l.prompts = append(l.prompts, prompt)
		l.mu.Unlock()
	}
}

// pick returns a process whose readiness has not failed.
func (l *load) pick(i int) *node {
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

func (l *load) add(n *node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes = append(l.nodes, n)
}

// finish ends the load and fails the test unless every stream was answered whole.
func (l *load) finish() {
	close(l.stop)
	l.done.Wait()
	for i, r := range l.replies {
		l.w.wantWhole(r, l.prompts[i], loadTokens)
	}
	assert.Assert(l.w.t, len(l.replies) > 2*loadStreams, "too little load: %d streams", len(l.replies))
}

// lastStart returns when the engine was last given work.
func lastStart(e *fakes.Engine) time.Time {
	last := time.Time{}
	for _, r := range e.Ledger().Runs {
		if r.Started.After(last) {
			last = r.Started
		}
	}
	return last
}

// wantUncut fails the test when an engine cut a request off.
func wantUncut(w *world) {
	w.t.Helper()
	for name, e := range w.engines {
		for _, r := range e.Ledger().Runs {
			assert.Assert(w.t, r.Outcome == "done", "%s: run of %s: %s", name, r.RequestID, r.Outcome)
		}
	}
}

func TestPlannedChangesCutNoStream(t *testing.T) {
	tests := []struct {
		name   string
		change func(w *world, l *load, nodes []*node)
	}{
		{"drain by configuration", func(w *world, _ *load, _ []*node) {
			w.publish("[engine guide-1]\ndrain = true\n")
			wantLeft(w, "guide-1")
		}},
		{"a process starts while an engine is drained", func(w *world, l *load, _ []*node) {
			w.publish("[engine guide-1]\ndrain = true\n")
			time.Sleep(5 * time.Second)
			l.add(w.start("late", "za"))
			wantLeft(w, "guide-1")
		}},
		{"a VM is leaving", func(w *world, _ *load, _ []*node) {
			w.store.SetVM(objapi.VM{Name: "vm-guide-1", Place: "za", State: objapi.VMLeaving})
			wantLeft(w, "guide-1")
		}},
		{"a VM is leaving and one process is cut off from the platform", func(w *world, _ *load, nodes []*node) {
			w.network.SetPartition(nodes[0].name, platformHost, true)
			time.Sleep(time.Second)
			w.store.SetVM(objapi.VM{Name: "vm-guide-1", Place: "za", State: objapi.VMLeaving})
			wantLeft(w, "guide-1")
		}},
		{"an engine is replaced", func(w *world, _ *load, _ []*node) {
			w.engine("guide-9", "za", fakes.EngineSettings{})
			w.publish("[engine guide-1]\nremoved = true\n")
			wantLeft(w, "guide-1")
			w.await("the new engine has work", func() bool { return !lastStart(w.engines["guide-9"]).IsZero() })
		}},
		{"two changes of role by configuration", func(w *world, _ *load, _ []*node) {
			w.publish("[engine guide-1]\nrole = prefill\n[engine guide-2]\nrole = decode\n")
			w.await("guide-1 prefills", hasRole(w, "guide-1", engine.RolePrefill))
			w.await("guide-2 decodes", hasRole(w, "guide-2", engine.RoleDecode))
			time.Sleep(2 * time.Second)
		}},
		{"a change of role while one process is cut off from the others", func(w *world, _ *load, nodes []*node) {
			w.publish("[engine guide-1]\nrole = prefill\n")
			time.Sleep(time.Second)
			w.network.SetPartition(nodes[2].name, nodes[0].name, true)
			w.network.SetPartition(nodes[2].name, nodes[1].name, true)
			time.Sleep(60 * time.Second)
		}},
		{"a change of role after a process that knew of it is cut off from the others", func(w *world, _ *load, nodes []*node) {
			w.publish("[engine guide-1]\nrole = prefill\n")
			c := nodes[2]
			w.await("the process has acknowledged the nomination", func() bool {
				v, ok := c.mesh.Table().Get(peer.MemberPrefix + c.name)
				var m wire.Member
				return ok && v.Decode(&m) == nil && len(m.Candidates) > 0
			})
			c.mesh.Flush()
			time.Sleep(5 * time.Millisecond)
			w.network.SetPartition(c.name, nodes[0].name, true)
			w.network.SetPartition(c.name, nodes[1].name, true)
			w.await("guide-1 prefills", hasRole(w, "guide-1", engine.RolePrefill))
			time.Sleep(5 * time.Second)
		}},
		{"the holder is stopped in the middle of a change of role", func(w *world, _ *load, nodes []*node) {
			w.publish("[engine guide-1]\nrole = prefill\n")
			holder := w.awaitOpenIntent(nodes)
			holder.cancel()
			w.await("guide-1 prefills", hasRole(w, "guide-1", engine.RolePrefill))
		}},
		{"all entry processes are replaced one by one", func(w *world, l *load, nodes []*node) {
			for i, n := range nodes {
				l.add(w.start(fmt.Sprintf("new-%d", i), n.zone))
				time.Sleep(3 * time.Second)
				n.cancel()
				assert.NilError(w.t, <-n.done)
				n.done <- nil
				w.store.RemoveVM(n.settings.Process.VM)
			}
			time.Sleep(3 * time.Second)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				w.zones("za")
				for i := range 4 {
					w.engine(fmt.Sprintf("guide-%d", i+1), "za", fakes.EngineSettings{ChecksFences: i%2 == 0})
				}
				w.publish()
				nodes := []*node{w.start("a", "za"), w.start("b", "za"), w.start("c", "za")}
				w.await("links", func() bool { return len(nodes[0].mesh.Links()) == 2 && len(nodes[1].mesh.Links()) == 2 })
				w.awaitReports(nodes[0], 4)
				l := startLoad(w, nodes)
				time.Sleep(3 * time.Second)
				tt.change(w, l, nodes)
				l.finish()
				wantUncut(w)
			})
		})
	}
}

// wantLeft fails the test when the engine still gets new work after the time to leave.
func wantLeft(w *world, name string) {
	w.t.Helper()
	began := time.Now()
	time.Sleep(20 * time.Second)
	after := lastStart(w.engines[name]).Sub(began)
	assert.Assert(w.t, after < leaveTime, "%s got new work after %s", name, after)
}

func hasRole(w *world, name string, role engine.Role) func() bool {
	return func() bool {
		for _, o := range w.engines[name].Ledger().Orders {
			if o.Argument == string(role) && o.Outcome == "done" {
				return true
			}
		}
		return false
	}
}

// awaitOpenIntent waits until an intent is open and returns the process that opened it.
func (w *world) awaitOpenIntent(nodes []*node) *node {
	var holder *node
	w.await("an intent is open", func() bool {
		records, err := order.List(w.t.Context(), w.store, order.Prefix)
		assert.NilError(w.t, err)
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

// TestAutoRolesCutNoStream lets the policy find that too few engines prefill. The change of role goes through the
// lease, the journal and the cordon, and cuts no stream; cut off from the platform, all engines go on serving.
func TestAutoRolesCutNoStream(t *testing.T) {
	inWorld(t, func(w *world) {
		w.zones("za")
		for i, role := range []engine.Role{engine.RolePrefill, engine.RoleDecode, engine.RoleDecode, engine.RoleDecode} {
			w.engine(fmt.Sprintf("guide-%d", i+1), "za", fakes.EngineSettings{Role: role, ChecksFences: i%2 == 0},
				"role = "+string(role))
		}
		w.publish("[service guide-llm]\nautoRoles = true\nprefillTokensPerSecond = 25\nfirstTokenTarget = 60s\n")
		nodes := []*node{w.start("a", "za"), w.start("b", "za")}
		w.await("links", func() bool { return len(nodes[0].mesh.Links()) == 1 })
		w.awaitReports(nodes[0], 4)
		// Both processes lose the platform while the change waits for streams to end.
		var opened atomic.Bool
		w.store.OnPut(func(o objapi.Object) {
			var r order.Record
			if strings.HasPrefix(o.Key, order.Prefix) && o.Decode(&r) == nil && r.Open != nil {
				opened.Store(true)
			}
		})
		l := startLoad(w, nodes)
		w.await("an intent is open", opened.Load)
		w.network.SetPartition("a", platformHost, true)
		w.network.SetPartition("b", platformHost, true)
		time.Sleep(30 * time.Second)
		before := map[string]int{}
		for name, e := range w.engines {
			before[name] = len(e.Ledger().Runs)
		}
		time.Sleep(20 * time.Second)
		for name, e := range w.engines {
			assert.Assert(t, len(e.Ledger().Runs) > before[name], "%s stands idle without a holder", name)
		}

		w.network.SetPartition("a", platformHost, false)
		w.network.SetPartition("b", platformHost, false)
		w.await("a role has changed", func() bool {
			for _, e := range w.engines {
				for _, o := range e.Ledger().Orders {
					if o.Outcome == "done" {
						return true
					}
				}
			}
			return false
		})
		l.finish()
		wantUncut(w)
	})
}
