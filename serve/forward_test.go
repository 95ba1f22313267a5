package serve

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/fakes"
)

// TestOverloadIsForwardedWithinBudget sends a zone more requests than its only engine can serve, while a zone of
// another region is idle. Requests that cannot be answered in time locally must be forwarded within the byte budget.
func TestOverloadIsForwardedWithinBudget(t *testing.T) {
	tests := []struct {
		name      string
		budget    int
		minRemote int // bounds of the requests that run in the other zone
		maxRemote int
	}{
		{"large budget", 10_000_000, 50, 400},
		{"small budget", 20_000, 1, 40}, // 50 output tokens of 200 bytes, and the body, for each request
		{"no budget", 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runCluster(t, func(tc *testCluster) {
				fmt.Fprintf(&tc.folder, "[place za]\nregion = ra\nremoteBytesPerSecond = %d\n[place zb]\nregion = rb\n", tt.budget)
				slow := fakes.DefaultRates()
				slow.Batch, slow.PrefillPerSecond = 8, 4000
				tc.engine("guide-1", "za", fakes.EngineSettings{Rates: slow})
				tc.engine("guide-2", "zb", fakes.EngineSettings{})
				tc.publish("[service guide-llm]\nsequences = 8\nprefillTokensPerSecond = 4000\nmeanAnswer = 500ms\n")
				a, b := tc.start("a", "za"), tc.start("b", "zb")
				tc.await("link is open", func() bool { return len(a.mesh.Links()) == 1 && len(b.mesh.Links()) == 1 })
				tc.awaitReports(a, 1)
				tc.awaitReports(b, 1)
				time.Sleep(5 * time.Second)

				replies := background(400, func(i int) reply {
					time.Sleep(time.Duration(i) * 10 * time.Millisecond)
					return tc.chat(a, fmt.Sprintf("prompt %d", i), 50)
				})()
				answered, shed := 0, 0
				for i, r := range replies {
					if r.status == http.StatusOK {
						tc.assertComplete(r, fmt.Sprintf("prompt %d", i), 50)
						answered++
						continue
					}
					assert.Equal(t, r.verdict(), "notRun")
					shed++
				}
				remote := len(tc.engines["guide-2"].Ledger().Runs)
				assert.Assert(t, remote >= tt.minRemote && remote <= tt.maxRemote, "%d requests ran in the other zone", remote)
				t.Logf("answered %d, shed %d, ran in the other zone %d", answered, shed, remote)
			})
		})
	}
}
