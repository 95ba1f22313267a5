package serve

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/relay"
)

// TestPoisonKillsAtMostTwoEngines sends a request that crashes each engine that runs it, again and again through
// several processes, beside innocent requests.
func TestPoisonKillsAtMostTwoEngines(t *testing.T) {
	inWorld(t, func(w *world) {
		w.zones("za", "zb")
		for i := range 6 {
			w.engine(fmt.Sprintf("guide-%d", i+1), []string{"za", "zb"}[i%2],
				fakes.EngineSettings{CrashText: "poison", Downtime: 2 * time.Second})
		}
		w.publish()
		nodes := []*node{w.start("a", "za"), w.start("b", "za"), w.start("c", "zb")}
		w.await("links", func() bool { return len(nodes[0].mesh.Links()) == 2 })
		time.Sleep(2 * time.Second)

		const innocents = 30
		wait := background(innocents, func(i int) reply {
			return w.chat(nodes[i%len(nodes)], fmt.Sprintf("innocent %d", i), 200)
		})
		time.Sleep(time.Second)
		var verdicts []string
		for i := range 6 {
			r := w.chat(nodes[i%len(nodes)], "poison", 50)
			verdicts = append(verdicts, r.header.Get(relay.HeaderVerdict))
		}
		for i, r := range wait() {
			w.wantWhole(r, fmt.Sprintf("innocent %d", i), 200)
		}
		deaths := 0
		for _, e := range w.engines {
			deaths += e.Ledger().Deaths
		}
		assert.Assert(t, deaths <= 2, "%d engines died", deaths)
		assert.DeepEqual(t, verdicts[1:], []string{"notRun", "notRun", "notRun", "notRun", "notRun"})
	})
}
