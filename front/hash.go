package front

import (
	"hash/fnv"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// hashFraction maps a request id to a number from 0 to 1, always the same for the same id. The multiplication spreads
// hashes that differ in their low bits only.
func hashFraction(id units.RequestID) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	scrambled := h.Sum32() * 2654435761
	return float64(scrambled) / (1 << 32)
}
