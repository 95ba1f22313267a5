package limit

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntrack/buckthorntrack/fakes"
)

func TestMain(m *testing.M) {
	os.Exit(fakes.RunWithFixedSeed(m, 0))
}

// TestSharesAddUpToTheLimit checks that the shares of processes that all see one another sum up to the limit.
func TestSharesAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 12).Draw(rt, "demands")
		limit := rapid.Float64Range(0.1, 10_000).Draw(rt, "limit")
		sum := 0.0
		for i, own := range demands {
			others := append(append([]float64(nil), demands[:i]...), demands[i+1:]...)
			granted := LocalShare(limit, own, others, Visibility{Processes: len(demands), Places: 3, AllPlaces: 3})
			assert.Assert(rt, granted >= 0)
			sum += granted
		}
		assert.Assert(rt, sum < limit*1.0001 && sum > limit*0.9999, "shares sum up to %f of %f", sum, limit)
	})
}

// TestPartitionedZonesKeepTheLimit checks that processes in zones that do not see one another never exceed the limit
// together, whatever their demand.
func TestPartitionedZonesKeepTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.Float64Range(1, 1000).Draw(rt, "limit")
		sum := 0.0
		for range 3 {
			own := rapid.Float64Range(0, 1000).Draw(rt, "own")
			sum += LocalShare(limit, own, nil, Visibility{Processes: 1, Places: 1, AllPlaces: 3})
		}
		assert.Assert(rt, sum < limit*1.0001, "shares sum up to %f of %f", sum, limit)
	})
}
