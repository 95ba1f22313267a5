package pick_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
)

func TestPriorEstimate(t *testing.T) {
	estimator := pick.NewPrefillEstimator()
	cost, latency := estimator.Estimate(6000, 0)
	assert.Assert(t, cost > 80*time.Millisecond && cost < 200*time.Millisecond, "cost is %v", cost)
	assert.Assert(t, latency < 20*time.Millisecond, "latency is %v", latency)
}

func TestEstimatesFitMeasurements(t *testing.T) {
	tests := []struct {
		name            string
		latency         float64 // ms
		perToken        float64 // ms
		perMillionPairs float64 // ms
	}{
		{name: "little latency", latency: 1, perToken: 1 / 64.2, perMillionPairs: 0.647},
		{name: "much latency", latency: 53, perToken: 1 / 140.0, perMillionPairs: 0.295},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			estimator := pick.NewPrefillEstimator()
			took := func(tokens float64) time.Duration {
				ms := tt.latency + tokens*tt.perToken + tokens*tokens/2e6*tt.perMillionPairs
				return time.Duration(ms * float64(time.Millisecond))
			}
			for i := range 300 {
				tokens := float64(300 + (i*7919)%20000)
				estimator.Observe(units.Tokens(tokens), 0, took(tokens)*13/10, 1.3)
			}
			for _, tokens := range []float64{500, 3000, 12000} {
				cost, latency := estimator.Estimate(units.Tokens(tokens), 0)
				want := took(tokens)
				deviation := (cost + latency - want).Abs()
				assert.Assert(t, deviation < want/10+4*time.Millisecond,
					"estimate for %v tokens is %v, want %v", tokens, cost+latency, want)
			}
		})
	}
}

// TestCachedPromptsDoNotSkewEstimates guards against estimates that drop after a few prompts that another process had
// the engine prefill before: such a prompt is answered within milliseconds, whatever its length.
func TestCachedPromptsDoNotSkewEstimates(t *testing.T) {
	estimator := pick.NewPrefillEstimator()
	took := func(tokens int) time.Duration {
		return 2*time.Millisecond + time.Duration(tokens)*time.Second/40000
	}
	for i := range 300 {
		tokens := 300 + (i*7919)%20000
		estimator.Observe(units.Tokens(tokens), 0, took(tokens), 1)
	}
	for _, tokens := range []int{17240, 9000, 700} {
		estimator.Observe(units.Tokens(tokens), 0, 5*time.Millisecond, 1)
	}
	for _, tokens := range []int{500, 3000, 12000} {
		cost, latency := estimator.Estimate(units.Tokens(tokens), 0)
		deviation := (cost + latency - took(tokens)).Abs()
		assert.Assert(t, deviation < took(tokens)/4,
			"estimate for %v tokens is %v, want %v", tokens, cost+latency, took(tokens))
	}
}

func TestEstimatesFollowFasterEngines(t *testing.T) {
	estimator := pick.NewPrefillEstimator()
	for _, rate := range []int{10000, 150000} {
		for i := range 300 {
			tokens := 300 + (i*7919)%20000
			estimator.Observe(units.Tokens(tokens), 0, time.Duration(tokens)*time.Second/time.Duration(rate), 1)
		}
	}
	cost, latency := estimator.Estimate(6000, 0)
	assert.Assert(t, cost+latency < 50*time.Millisecond, "estimate is %v and %v latency for 40 ms of work", cost, latency)
}
