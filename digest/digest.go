// Package digest hashes names, so that processes that know the same names choose alike without a word to each other.
package digest

import "hash/fnv"

// Of returns a hash of the texts one after another. The last bytes of an FNV hash barely move its upper bits, which
// comparisons need, so that it is mixed.
func Of(texts ...string) uint64 {
	h := fnv.New64a()
	for _, text := range texts {
		_, _ = h.Write([]byte(text)) // never fails
	}
	mixed := h.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	return mixed
}
