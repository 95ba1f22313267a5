package serve

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/fakes"
)

// TestOverloadGoesElsewhereWithinBudget sends more than its one engine bears to a zone, beside an idle zone of
// another region. What cannot be answered in time here is passed on, as far as the budget of bytes allows.
func TestOverloadGoesElsewhereWithinBudget(t *testing.T) {
	tests := []struct {
		name   string
		budget int
		least  int // requests that the other zone runs
		most   int
	}{
		{"large budget", 10_000_000, 50, 400},
		{"small budget", 20_000, 1, 40}, // 50 output tokens of 200 bytes, and the body, for each request
		{"no budget", 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				fmt.Fprintf(&w.folder, "[place za]\nregion = ra\nremoteBytesPerSecond = %d\n[place zb]\nregion = rb\n", tt.budget)
				small := fakes.DefaultRates()
				small.Batch, small.PrefillPerSecond = 8, 4000
				w.engine("guide-1", "za", fakes.EngineSettings{Rates: small})
				w.engine("guide-2", "zb", fakes.EngineSettings{})
				w.publish("[service guide-llm]\nsequences = 8\nprefillTokensPerSecond = 4000\nmeanAnswer = 500ms\n")
				a, b := w.start("a", "za"), w.start("b", "zb")
				w.await("link", func() bool { return len(a.mesh.Links()) == 1 && len(b.mesh.Links()) == 1 })
				w.awaitReports(a, 1)
				w.awaitReports(b, 1)
				time.Sleep(5 * time.Second)

				replies := background(400, func(i int) reply {
					time.Sleep(time.Duration(i) * 10 * time.Millisecond)
					return w.chat(a, fmt.Sprintf("prompt %d", i), 50)
				})()
				good, shed := 0, 0
				for i, r := range replies {
					if r.status == http.StatusOK {
						w.wantWhole(r, fmt.Sprintf("prompt %d", i), 50)
						good++
						continue
					}
					assert.Equal(t, r.verdict(), "notRun")
					shed++
				}
				elsewhere := len(w.engines["guide-2"].Ledger().Runs)
				assert.Assert(t, elsewhere >= tt.least && elsewhere <= tt.most, "%d requests ran elsewhere", elsewhere)
				t.Logf("good %d, shed %d, elsewhere %d", good, shed, elsewhere)
			})
		})
	}
}
