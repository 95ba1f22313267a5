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
	cost, latency := s.Estimate(6000, 0)
	assert.Assert(t, cost > 80*time.Millisecond && cost < 200*time.Millisecond, "%v", cost)
	assert.Assert(t, latency < 20*time.Millisecond, "%v", latency)
}

func TestSpeedIsLearned(t *testing.T) {
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
			s := pick.NewSpeed()
			took := func(tokens float64) time.Duration {
				ms := tt.latency + tokens*tt.perToken + tokens*tokens/2e6*tt.perMillionPairs
				return time.Duration(ms * float64(time.Millisecond))
			}
			for i := range 300 {
				tokens := float64(300 + (i*7919)%20000)
				s.Measure(units.Tokens(tokens), 0, took(tokens)*13/10, 1.3)
			}
			for _, tokens := range []float64{500, 3000, 12000} {
				cost, latency := s.Estimate(units.Tokens(tokens), 0)
				want := took(tokens)
				off := (cost + latency - want).Abs()
				assert.Assert(t, off < want/10+4*time.Millisecond, "%v tokens: %v, want %v", tokens, cost+latency, want)
			}
		})
	}
}

// A prompt that the engine had read for another process comes back within milliseconds, whatever its length.
func TestPromptThatWasReadBeforeIsNoMeasureOfSpeed(t *testing.T) {
	s := pick.NewSpeed()
	took := func(tokens int) time.Duration {
		return 2*time.Millisecond + time.Duration(tokens)*time.Second/40000
	}
	for i := range 300 {
		tokens := 300 + (i*7919)%20000
		s.Measure(units.Tokens(tokens), 0, took(tokens), 1)
	}
	for _, tokens := range []int{17240, 9000, 700} {
		s.Measure(units.Tokens(tokens), 0, 5*time.Millisecond, 1)
	}
	for _, tokens := range []int{500, 3000, 12000} {
		cost, latency := s.Estimate(units.Tokens(tokens), 0)
		off := (cost + latency - took(tokens)).Abs()
		assert.Assert(t, off < took(tokens)/4, "%v tokens: %v, want %v", tokens, cost+latency, took(tokens))
	}
}

func TestSpeedFollowsFasterEngines(t *testing.T) {
	s := pick.NewSpeed()
	for _, rate := range []int{10000, 150000} {
		for i := range 300 {
			tokens := 300 + (i*7919)%20000
			s.Measure(units.Tokens(tokens), 0, time.Duration(tokens)*time.Second/time.Duration(rate), 1)
		}
	}
	cost, latency := s.Estimate(6000, 0)
	assert.Assert(t, cost+latency < 50*time.Millisecond, "%v and %v for 40 ms of work", cost, latency)
}
