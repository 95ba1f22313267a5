package serve

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/relay"
)

// TestPoisonRequestCrashesAtMostTwoEngines repeatedly sends a request that crashes any engine that runs it, through
// several processes and alongside harmless requests. Quarantine must stop it after two crashes.
func TestPoisonRequestCrashesAtMostTwoEngines(t *testing.T) {
	runCluster(t, func(tc *testCluster) {
		tc.zones("za", "zb")
		for i := range 6 {
			tc.engine(fmt.Sprintf("guide-%d", i+1), []string{"za", "zb"}[i%2],
				fakes.EngineSettings{CrashText: "poison", Downtime: 2 * time.Second})
		}
		tc.publish()
		nodes := []*node{tc.start("a", "za"), tc.start("b", "za"), tc.start("c", "zb")}
		tc.await("links are open", func() bool { return len(nodes[0].mesh.Links()) == 2 })
		time.Sleep(2 * time.Second)

		const harmlessRequests = 30
		wait := background(harmlessRequests, func(i int) reply {
			return tc.chat(nodes[i%len(nodes)], fmt.Sprintf("harmless %d", i), 200)
		})
		time.Sleep(time.Second)
		var verdicts []string
		for i := range 6 {
			r := tc.chat(nodes[i%len(nodes)], "poison", 50)
			verdicts = append(verdicts, r.header.Get(relay.HeaderVerdict))
		}
		for i, r := range wait() {
			tc.assertComplete(r, fmt.Sprintf("harmless %d", i), 200)
		}
		crashes := 0
		for _, e := range tc.engines {
			crashes += e.Ledger().Crashes
		}
		assert.Assert(t, crashes <= 2, "%d engine crashes", crashes)
		assert.DeepEqual(t, verdicts[1:], []string{"notRun", "notRun", "notRun", "notRun", "notRun"})
	})
}
