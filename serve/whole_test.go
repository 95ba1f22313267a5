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
		build func(w *world) []*node
		fault func(w *world)
	}{
		{
			name:  "no fault",
			build: func(w *world) []*node { return oneZone(w, engine.RoleMixed, engine.RoleMixed) },
			fault: func(*world) {},
		},
		{
			name:  "an engine dies in mid-stream",
			build: func(w *world) []*node { return oneZone(w, engine.RoleMixed, engine.RoleMixed, engine.RoleMixed) },
			fault: func(w *world) { w.engines["guide-1"].Crash() },
		},
		{
			name: "prefill and decode are split",
			build: func(w *world) []*node {
				return oneZone(w, engine.RolePrefill, engine.RoleDecode, engine.RoleDecode)
			},
			fault: func(*world) {},
		},
		{
			name: "a decoding engine dies",
			build: func(w *world) []*node {
				return oneZone(w, engine.RolePrefill, engine.RoleDecode, engine.RoleDecode)
			},
			fault: func(w *world) { w.engines["guide-2"].Crash() },
		},
		{
			name: "the only prefilling engine dies and comes back",
			build: func(w *world) []*node {
				return oneZone(w, engine.RolePrefill, engine.RoleDecode, engine.RoleDecode)
			},
			fault: func(w *world) { w.engines["guide-1"].Crash() },
		},
		{
			name:  "an engine is cut off",
			build: func(w *world) []*node { return oneZone(w, engine.RoleMixed, engine.RoleMixed, engine.RoleMixed) },
			fault: func(w *world) { w.network.SetPartition("a", "guide-1", true) },
		},
		{
			name:  "through a peer",
			build: throughPeer,
			fault: func(*world) {},
		},
		{
			name:  "through a peer that is lost",
			build: throughPeer,
			fault: func(w *world) { w.network.SetPartition("a", "b", true) },
		},
		{
			name:  "through a peer whose engine dies",
			build: throughPeer,
			fault: func(w *world) { w.engines["guide-1"].Crash() },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				nodes := tt.build(w)
				wait := background(callers, func(i int) reply {
					return w.chat(nodes[i%len(nodes)], fmt.Sprintf("prompt %d", i), tokens)
				})
				time.Sleep(500 * time.Millisecond)
				tt.fault(w)
				for i, r := range wait() {
					w.wantWhole(r, fmt.Sprintf("prompt %d", i), tokens)
				}
			})
		})
	}
}

// oneZone starts one process before engines of the given roles.
func oneZone(w *world, roles ...engine.Role) []*node {
	w.zones("za")
	for i, role := range roles {
		w.engine(fmt.Sprintf("guide-%d", i+1), "za", fakes.EngineSettings{Role: role}, "role = "+string(role))
	}
	w.publish()
	n := w.start("a", "za")
	w.awaitReports(n, len(roles))
	return []*node{n}
}

// throughPeer starts a process without engines; two zones beside it have them.
func throughPeer(w *world) []*node {
	w.zones("za", "zb", "zc")
	w.engine("guide-1", "zb", fakes.EngineSettings{})
	w.engine("guide-2", "zb", fakes.EngineSettings{})
	w.engine("guide-3", "zc", fakes.EngineSettings{})
	w.publish()
	a := w.start("a", "za")
	b := w.start("b", "zb")
	c := w.start("c", "zc")
	w.await("links", func() bool { return len(a.mesh.Links()) == 2 })
	w.awaitReports(b, 2)
	w.awaitReports(c, 1)
	time.Sleep(2 * time.Second)
	return []*node{a}
}

// awaitReports waits until the process has load reports of that many engines.
func (w *world) awaitReports(n *node, count int) {
	w.await(n.name+" has reports", func() bool {
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
	inWorld(t, func(w *world) {
		n := oneZone(w, engine.RoleMixed)[0]
		r := w.chat(n, "long", 2000, "X-Deadline-Ms", "1000")
		assert.Assert(t, !r.complete)
		w.await("engine stops", func() bool {
			runs := w.engines["guide-1"].Ledger().Runs
			return len(runs) == 1 && runs[0].Outcome != "running"
		})
		assert.Assert(t, w.engines["guide-1"].Ledger().Runs[0].Tokens < 2000)
	})
}
