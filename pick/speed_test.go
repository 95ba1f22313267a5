package pick_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
)

func TestFirstEstimateIsOfUsualSize(t *testing.T) {
	s := pick.NewSpeed()
	cost, latency := s.Estimate("a", 6000, 0)
	assert.Assert(t, cost > 80*time.Millisecond && cost < 200*time.Millisecond, "%v", cost)
	assert.Assert(t, latency < 20*time.Millisecond, "%v", latency)
}

func TestSpeedIsLearned(t *testing.T) {
	tests := []struct {
		name            string
		latency         float64 // ms
		perToken        float64 // ms
		perMillionPairs float64 // ms
		slow            float64 // factor of engine b
	}{
		{name: "little latency", latency: 1, perToken: 1 / 64.2, perMillionPairs: 0.647, slow: 1.3},
		{name: "much latency", latency: 53, perToken: 1 / 140.0, perMillionPairs: 0.295, slow: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := pick.NewSpeed()
			took := func(id units.EngineName, tokens float64) time.Duration {
				busy := tokens*tt.perToken + tokens*tokens/2e6*tt.perMillionPairs
				if id == "b" {
					busy *= tt.slow
				}
				return time.Duration((tt.latency + busy) * float64(time.Millisecond))
			}
			for i := range 300 {
				tokens := float64(300 + (i*7919)%20000)
				for _, id := range []units.EngineName{"a", "b"} {
					s.Measure(id, units.Tokens(tokens), 0, took(id, tokens))
				}
			}
			for _, id := range []units.EngineName{"a", "b"} {
				for _, tokens := range []float64{500, 3000, 12000} {
					cost, latency := s.Estimate(id, units.Tokens(tokens), 0)
					want := took(id, tokens)
					off := (cost + latency - want).Abs()
					assert.Assert(t, off < want/4+4*time.Millisecond, "%s %v tokens: %v, want %v", id, tokens, cost+latency, want)
				}
			}
		})
	}
}
