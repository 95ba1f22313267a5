package limit

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntrack/buckthorntrack/fakes"
)

func TestMain(m *testing.M) {
	os.Exit(fakes.FixedCourses(m, 0))
}

// TestSharesAddUpToTheLimit splits a limit between processes that all hear one another.
func TestSharesAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 12).Draw(rt, "demands")
		limit := rapid.Float64Range(0.1, 10_000).Draw(rt, "limit")
		sum := 0.0
		for i, own := range demands {
			others := append(append([]float64(nil), demands[:i]...), demands[i+1:]...)
			granted := Split(limit, own, others, Reach{Processes: len(demands), Places: 3, AllPlaces: 3})
			assert.Assert(rt, granted >= 0)
			sum += granted
		}
		assert.Assert(rt, sum < limit*1.0001 && sum > limit*0.9999, "%f of %f", sum, limit)
	})
}

// TestCutOffZonesKeepWithinTheLimit splits a limit between zones that do not hear one another.
func TestCutOffZonesKeepWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.Float64Range(1, 1000).Draw(rt, "limit")
		sum := 0.0
		for range 3 {
			own := rapid.Float64Range(0, 1000).Draw(rt, "own")
			sum += Split(limit, own, nil, Reach{Processes: 1, Places: 1, AllPlaces: 3})
		}
		assert.Assert(rt, sum < limit*1.0001, "%f of %f", sum, limit)
	})
}
