package front

import (
	"hash/fnv"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// drawOf returns a number from 0 to 1 that depends on the request's id alone.
func drawOf(id units.RequestID) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	mixed := h.Sum32() * 2654435761
	return float64(mixed) / (1 << 32)
}
