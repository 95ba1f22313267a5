// Package digest hashes names, so that processes with the same names make the same choice without coordination.
package digest

import "hash/fnv"

// Sum64 returns a hash of the concatenated texts. The FNV sum is mixed, since the last bytes of its input hardly change
// its upper bits, which decide comparisons of hashes.
func Sum64(texts ...string) uint64 {
	h := fnv.New64a()
	for _, text := range texts {
		_, _ = h.Write([]byte(text)) // never returns an error
	}
	mixed := h.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	return mixed
}

// Combine returns the hash of two hashes, for rendezvous hashing of many pairs.
func Combine(a, b uint64) uint64 {
	return Mix(a ^ b)
}

// Mix spreads the bits of a number.
func Mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}
