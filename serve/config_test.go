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

// maxRolloutTime bounds the time until an accepted revision is in force in every process of the current fleet.
const maxRolloutTime = 3 * time.Second

// startThreeZones starts two processes in each of three zones.
func startThreeZones(tc *testCluster) []*node {
	tc.zones("za", "zb", "zc")
	tc.engine("guide-1", "za", fakes.EngineSettings{})
	tc.publish()
	var nodes []*node
	for _, zone := range []string{"za", "zb", "zc"} {
		nodes = append(nodes, tc.start(zone+"-1", zone), tc.start(zone+"-2", zone))
	}
	tc.await("links are open", func() bool {
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

// revisionInForce returns a condition that holds while all processes run with the revision.
func revisionInForce(nodes []*node, revision units.Revision) func() bool {
	return func() bool {
		for _, n := range nodes {
			if n.follower.Revision() != revision {
				return false
			}
		}
		return true
	}
}

// checkRevisionsMonotonic fails the test if the revision of a process ever decreases. The returned function stops the
// check.
func checkRevisionsMonotonic(tc *testCluster, nodes []*node) func() {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		last := map[string]units.Revision{}
		for {
			for _, n := range nodes {
				now := n.follower.Revision()
				if now < last[n.name] {
					tc.t.Errorf("%s reverted from revision %d to %d", n.name, last[n.name], now)
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
	cutFromPlatform := func(tc *testCluster, nodes []*node, cut bool) {
		for _, n := range nodes {
			tc.network.SetPartition(n.name, platformHost, cut)
		}
	}
	tests := []struct {
		name string
		run  func(tc *testCluster, nodes []*node)
	}{
		{"no fault", func(tc *testCluster, nodes []*node) {
			revision := tc.publish("[tenant t1]")
			assert.Assert(tc.t, tc.await("revision is in force", revisionInForce(nodes, revision)) < maxRolloutTime)
		}},
		{"two zones are cut off from the platform", func(tc *testCluster, nodes []*node) {
			cutFromPlatform(tc, nodes[2:], true)
			revision := tc.publish("[tenant t1]")
			assert.Assert(tc.t, tc.await("revision is in force", revisionInForce(nodes, revision)) < maxRolloutTime)
		}},
		{"two zones are cut off from the platform and first zone, then reconnected", func(tc *testCluster, nodes []*node) {
			cutFromPlatform(tc, nodes[2:], true)
			for _, a := range nodes[:2] {
				for _, b := range nodes[2:] {
					tc.network.SetPartition(a.name, b.name, true)
				}
			}
			revision := tc.publish("[tenant t1]")
			assert.Assert(tc.t,
				tc.await("revision is in force in the first zone", revisionInForce(nodes[:2], revision)) < maxRolloutTime)
			time.Sleep(20 * time.Second)
			assert.Assert(tc.t, revisionInForce(nodes[2:], revision-1)(), "zones that are cut off keep their revision")
			for _, a := range nodes[:2] {
				for _, b := range nodes[2:] {
					tc.network.SetPartition(a.name, b.name, false)
				}
			}
			assert.Assert(tc.t, tc.await("revision is in force", revisionInForce(nodes, revision)) < maxRolloutTime)
		}},
		{"a process starts while the platform is down", func(tc *testCluster, nodes []*node) {
			revision := tc.publish("[tenant t1]")
			tc.await("revision is in force", revisionInForce(nodes, revision))
			tc.platform.SetFaults(fakes.PlatformFaults{Down: true})
			tc.settings = "seeds = 10.2.0.1:82\n"
			late := tc.launch("late", "zb")
			assert.Assert(tc.t, tc.await("revision is in force", revisionInForce([]*node{late}, revision)) < maxRolloutTime)
		}},
		{"the platform is restored from an older backup", func(tc *testCluster, nodes []*node) {
			backup := tc.store.Backup()
			revision := tc.publish("[tenant t1]")
			tc.await("revision is in force", revisionInForce(nodes, revision))
			tc.store.Restore(backup)
			time.Sleep(40 * time.Second)
			assert.Assert(tc.t, revisionInForce(nodes, revision)())
			object, err := tc.store.Get(tc.t.Context(), head.Key)
			assert.NilError(tc.t, err)
			var accepted head.Head
			assert.NilError(tc.t, object.Decode(&accepted))
			assert.Equal(tc.t, accepted.Revision, revision, "the platform must have the newest revision again")
			fresh := tc.launch("fresh", "zc")
			tc.await("a new process has the newest revision", revisionInForce([]*node{fresh}, revision))
		}},
		{"a stale peer offers an older revision", func(tc *testCluster, nodes []*node) {
			old := nodes[0].follower.Folder()
			revision := tc.publish("[tenant t1]")
			tc.await("revision is in force", revisionInForce(nodes, revision))
			for _, n := range nodes {
				n.follower.Offer(old)
			}
			assert.Assert(tc.t, revisionInForce(nodes, revision)())
		}},
		{"an invalid folder is refused as a whole", func(tc *testCluster, nodes []*node) {
			before := nodes[0].follower.Revision()
			bad := nodes[0].follower.Folder()
			bad.Revision++
			bad.Files[0].Text += "\n[engine guide-1]\nplace = nowhere\n"
			nodes[0].follower.Offer(bad)
			time.Sleep(5 * time.Second)
			assert.Assert(tc.t, revisionInForce(nodes, before)())
			assert.Equal(tc.t, nodes[0].follower.Refused(), int64(1))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runCluster(t, func(tc *testCluster) {
				nodes := startThreeZones(tc)
				stop := checkRevisionsMonotonic(tc, nodes)
				defer stop()
				tt.run(tc, nodes)
			})
		})
	}
}

// TestRequestKeepsItsRevision removes the only engine from the configuration while it serves a stream. The stream must
// still be answered completely.
func TestRequestKeepsItsRevision(t *testing.T) {
	runCluster(t, func(tc *testCluster) {
		n := startOneZone(tc, engine.RoleMixed)[0]
		wait := background(1, func(int) reply { return tc.chat(n, "long", 300) })
		time.Sleep(500 * time.Millisecond)
		revision := tc.publish("[engine guide-1]\nremoved = true\n")
		tc.await("revision is in force", revisionInForce([]*node{n}, revision))
		tc.assertComplete(wait()[0], "long", 300)
	})
}

// TestIsolatedZoneKeepsServing cuts each zone off from the platform and from the other zone. Idempotent requests must
// be served without delay, and bookings must be refused as not run.
func TestIsolatedZoneKeepsServing(t *testing.T) {
	runCluster(t, func(tc *testCluster) {
		tc.zones("za", "zb")
		var services []*fakes.Service
		for _, zone := range []string{"za", "zb"} {
			tc.engine("guide-"+zone, zone, fakes.EngineSettings{})
			services = append(services, tc.service("booking-"+zone, zone))
		}
		tc.publish("[tenant boats]\nrequestsPerSecond = 20\n")
		nodes := []*node{tc.start("a", "za"), tc.start("b", "zb")}
		tc.await("links are open", func() bool { return len(nodes[0].mesh.Links()) == 1 })
		tc.awaitReports(nodes[0], 2)
		time.Sleep(2 * time.Second)

		tc.network.SetPartition("a", "b", true)
		tc.network.SetPartition("a", platformHost, true)
		tc.network.SetPartition("b", platformHost, true)
		time.Sleep(10 * time.Second)
		for i, n := range nodes {
			began := time.Now()
			tc.assertComplete(tc.chat(n, "tide", 50), "tide", 50)
			assert.Assert(t, time.Since(began) < time.Second, "idempotent requests must not be delayed")
			assert.Equal(t, tc.call(n, "GET", "/services/booking/availability", "").status, 200)
			r := tc.book(n, "k", "x")
			assert.Equal(t, r.verdict(), "notRun")
			assert.Equal(t, len(services[i].Bookings()), 0)
		}

		tc.network.SetPartition("a", "b", false)
		tc.network.SetPartition("a", platformHost, false)
		tc.network.SetPartition("b", platformHost, false)
		revision := tc.publish("[tenant boats]\nrequestsPerSecond = 30\n")
		tc.await("revision is in force", revisionInForce(nodes, revision))
		assert.Equal(t, tc.book(nodes[0], "k", "x").status, 201)
	})
}

func TestInvalidFolderIsNotPublished(t *testing.T) {
	runCluster(t, func(tc *testCluster) {
		tc.zones("za")
		tc.publish()
		_, err := tryPublish(tc, "[engine guide-1]\nplace = nowhere\n")
		problems, ok := config.AsProblems(err)
		assert.Assert(t, ok, "%v", err)
		assert.Assert(t, strings.Contains(problems.Error(), "nowhere"))
	})
}

// tryPublish publishes the folder, with the extra text in a later file, and returns the error of an invalid folder.
func tryPublish(tc *testCluster, extra string) (head.Result, error) {
	files := []config.File{{Name: "10-base.ini", Text: tc.folder.String()}, {Name: "90-later.ini", Text: extra}}
	return head.Publish(tc.t.Context(), tc.store, files, tc.base, false)
}

// TestOutdatedRevisionRefusesNothingForGood guards against 404 and 403 for what a revision may allow that a peer has and that is not in
// force here yet.
func TestOutdatedRevisionRefusesNothingForGood(t *testing.T) {
	runCluster(t, func(tc *testCluster) {
		tc.zones("za")
		tc.engine("guide-1", "za", fakes.EngineSettings{})
		revision := tc.publish()
		n := tc.start("a", "za")
		refused := []struct {
			path    string
			headers []string
			status  int
		}{
			{path: "/services/other/x", status: 404},
			{path: "/services/booking/x", headers: []string{"X-Tenant", "other"}, status: 403},
		}
		for _, r := range refused {
			assert.Equal(t, tc.call(n, "GET", r.path, "", r.headers...).status, r.status)
		}
		n.follower.Heard(revision + 1)
		for _, r := range refused {
			got := tc.call(n, "GET", r.path, "", r.headers...)
			assert.Equal(t, got.status, 503)
			assert.Equal(t, got.verdict(), "notRun")
			assert.Assert(t, got.header.Get("Retry-After") != "")
		}
		tc.assertComplete(tc.chat(n, "tide", 50), "tide", 50)
		assert.Equal(t, tc.publish("[tenant boats]\n"), revision+1)
		tc.await("revision is in force", revisionInForce([]*node{n}, revision+1))
		for _, r := range refused {
			assert.Equal(t, tc.call(n, "GET", r.path, "", r.headers...).status, r.status)
		}
	})
}
