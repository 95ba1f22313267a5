package serve

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/head"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// inForceTime is the time in which an accepted revision must be in force everywhere at today's size.
const inForceTime = 3 * time.Second

// threeZones starts two processes in each of three zones.
func threeZones(w *world) []*node {
	w.zones("za", "zb", "zc")
	w.engine("guide-1", "za", fakes.EngineSettings{})
	w.publish()
	var nodes []*node
	for _, zone := range []string{"za", "zb", "zc"} {
		nodes = append(nodes, w.start(zone+"-1", zone), w.start(zone+"-2", zone))
	}
	w.await("links", func() bool {
		for _, n := range nodes {
			if len(n.mesh.Links()) < 3 {
				return false
			}
		}
		return true
	})
	time.Sleep(2 * time.Second)
	return nodes
}

// inForce reports whether all processes have the revision.
func inForce(nodes []*node, revision units.Revision) func() bool {
	return func() bool {
		for _, n := range nodes {
			if n.follower.Revision() != revision {
				return false
			}
		}
		return true
	}
}

// guardRevisions fails the test when the revision of a process ever goes back. The function ends the watch.
func guardRevisions(w *world, nodes []*node) func() {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		last := map[string]units.Revision{}
		for {
			for _, n := range nodes {
				now := n.follower.Revision()
				if now < last[n.name] {
					w.t.Errorf("%s went back from revision %d to %d", n.name, last[n.name], now)
				}
				last[n.name] = now
			}
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return func() {
		close(stop)
		<-done
	}
}

func TestAcceptedConfigurationIsInForceAndStays(t *testing.T) {
	cut := func(w *world, nodes []*node, on bool) {
		for _, n := range nodes {
			w.network.SetPartition(n.name, platformHost, on)
		}
	}
	tests := []struct {
		name string
		run  func(w *world, nodes []*node)
	}{
		{"by watch", func(w *world, nodes []*node) {
			revision := w.publish("[tenant t1]")
			assert.Assert(w.t, w.await("in force", inForce(nodes, revision)) < inForceTime)
		}},
		{"two zones are cut off from the platform", func(w *world, nodes []*node) {
			cut(w, nodes[2:], true)
			revision := w.publish("[tenant t1]")
			assert.Assert(w.t, w.await("in force", inForce(nodes, revision)) < inForceTime)
		}},
		{"zones are cut off from the platform and from each other, then healed", func(w *world, nodes []*node) {
			cut(w, nodes[2:], true)
			for _, a := range nodes[:2] {
				for _, b := range nodes[2:] {
					w.network.SetPartition(a.name, b.name, true)
				}
			}
			revision := w.publish("[tenant t1]")
			assert.Assert(w.t, w.await("in force in the first zone", inForce(nodes[:2], revision)) < inForceTime)
			time.Sleep(20 * time.Second)
			assert.Assert(w.t, inForce(nodes[2:], revision-1)(), "cut off zones keep what they have")
			for _, a := range nodes[:2] {
				for _, b := range nodes[2:] {
					w.network.SetPartition(a.name, b.name, false)
				}
			}
			assert.Assert(w.t, w.await("in force", inForce(nodes, revision)) < inForceTime)
		}},
		{"a process starts while the platform is out", func(w *world, nodes []*node) {
			revision := w.publish("[tenant t1]")
			w.await("in force", inForce(nodes, revision))
			w.platform.SetFaults(fakes.PlatformFaults{Down: true})
			w.settings = "seeds = 10.2.0.1:82\n"
			late := w.launch("late", "zb")
			assert.Assert(w.t, w.await("in force", inForce([]*node{late}, revision)) < inForceTime)
		}},
		{"the platform is restored to an older store", func(w *world, nodes []*node) {
			backup := w.store.Backup()
			revision := w.publish("[tenant t1]")
			w.await("in force", inForce(nodes, revision))
			w.store.Restore(backup)
			time.Sleep(40 * time.Second)
			assert.Assert(w.t, inForce(nodes, revision)())
			object, err := w.store.Get(w.t.Context(), head.Key)
			assert.NilError(w.t, err)
			var accepted head.Head
			assert.NilError(w.t, object.Decode(&accepted))
			assert.Equal(w.t, accepted.Revision, revision, "the platform has the newest revision again")
			fresh := w.launch("fresh", "zc")
			w.await("a new process gets the newest", inForce([]*node{fresh}, revision))
		}},
		{"a stale peer offers an older revision", func(w *world, nodes []*node) {
			old := nodes[0].follower.Folder()
			revision := w.publish("[tenant t1]")
			w.await("in force", inForce(nodes, revision))
			for _, n := range nodes {
				n.follower.Offer(old)
			}
			assert.Assert(w.t, inForce(nodes, revision)())
		}},
		{"a bad folder is refused whole", func(w *world, nodes []*node) {
			before := nodes[0].follower.Revision()
			bad := nodes[0].follower.Folder()
			bad.Revision++
			bad.Files[0].Text += "\n[engine guide-1]\nplace = nowhere\n"
			nodes[0].follower.Offer(bad)
			time.Sleep(5 * time.Second)
			assert.Assert(w.t, inForce(nodes, before)())
			assert.Equal(w.t, nodes[0].follower.Refused(), int64(1))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				nodes := threeZones(w)
				stop := guardRevisions(w, nodes)
				defer stop()
				tt.run(w, nodes)
			})
		})
	}
}

// TestRequestKeepsItsRevision drains the only engine while a stream runs on it.
func TestRequestKeepsItsRevision(t *testing.T) {
	inWorld(t, func(w *world) {
		n := oneZone(w, engine.RoleMixed)[0]
		wait := background(1, func(int) reply { return w.chat(n, "long", 300) })
		time.Sleep(500 * time.Millisecond)
		revision := w.publish("[engine guide-1]\nremoved = true\n")
		w.await("in force", inForce([]*node{n}, revision))
		w.wantWhole(wait()[0], "long", 300)
	})
}

// TestCutOffZoneGoesOn cuts each zone off from the platform and from the others.
func TestCutOffZoneGoesOn(t *testing.T) {
	inWorld(t, func(w *world) {
		w.zones("za", "zb")
		var services []*fakes.Service
		for _, zone := range []string{"za", "zb"} {
			w.engine("guide-"+zone, zone, fakes.EngineSettings{})
			services = append(services, w.service("booking-"+zone, zone))
		}
		w.publish("[tenant boats]\nrequestsPerSecond = 20\n")
		nodes := []*node{w.start("a", "za"), w.start("b", "zb")}
		w.await("links", func() bool { return len(nodes[0].mesh.Links()) == 1 })
		w.awaitReports(nodes[0], 2)
		time.Sleep(2 * time.Second)

		w.network.SetPartition("a", "b", true)
		w.network.SetPartition("a", platformHost, true)
		w.network.SetPartition("b", platformHost, true)
		time.Sleep(10 * time.Second)
		for i, n := range nodes {
			began := time.Now()
			w.wantWhole(w.chat(n, "tide", 50), "tide", 50)
			assert.Assert(t, time.Since(began) < time.Second, "idempotent work is not slowed")
			assert.Equal(t, w.call(n, "GET", "/services/booking/availability", "").status, 200)
			r := w.book(n, "k", "x")
			assert.Equal(t, r.verdict(), "notRun")
			assert.Equal(t, len(services[i].Bookings()), 0)
		}

		w.network.SetPartition("a", "b", false)
		w.network.SetPartition("a", platformHost, false)
		w.network.SetPartition("b", platformHost, false)
		revision := w.publish("[tenant boats]\nrequestsPerSecond = 30\n")
		w.await("converged", inForce(nodes, revision))
		assert.Equal(t, w.book(nodes[0], "k", "x").status, 201)
	})
}

func TestBadFolderIsNeverPublished(t *testing.T) {
	inWorld(t, func(w *world) {
		w.zones("za")
		w.publish()
		_, err := tryPublish(w, "[engine guide-1]\nplace = nowhere\n")
		problems, ok := config.AsProblems(err)
		assert.Assert(t, ok, "%v", err)
		assert.Assert(t, strings.Contains(problems.Error(), "nowhere"))
	})
}

// tryPublish publishes the folder with the extra text in a later file.
func tryPublish(w *world, extra string) (head.Result, error) {
	files := []config.File{{Name: "10-base.ini", Text: w.folder.String()}, {Name: "90-later.ini", Text: extra}}
	return head.Publish(w.t.Context(), w.store, files, w.base, false)
}
