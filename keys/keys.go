// Package keys decides which account a caller's key belongs to, and whether it may be used. It holds digests of keys only and does
// no I/O.
package keys

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
)

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// errNoDigest means that a text is not the hexadecimal form of a digest. It does not contain the text, which may be a key.
var errNoDigest = errors.New("text is not a SHA-256 digest in hexadecimal form")

// Of returns the digest of a key.
func Of(key string) Digest {
	return sha256.Sum256([]byte(key))
}

// Parse returns the digest with the hexadecimal form.
func Parse(text string) (Digest, error) {
	var d Digest
	if hex.DecodedLen(len(text)) != len(d) {
		return d, errNoDigest
	}
	if _, err := hex.Decode(d[:], []byte(text)); err != nil {
		return Digest{}, errNoDigest
	}
	return d, nil
}

// Hex returns the hexadecimal form. There is no String method, so that a digest is not logged by accident.
func (d Digest) Hex() string {
	return hex.EncodeToString(d[:])
}

// bucketBytes is the part of a digest by which a table finds the candidates.
const bucketBytes = 2

type bucket [bucketBytes]byte

// Table finds accounts by the digests of their keys. The zero value is empty.
type Table[A any] struct {
	entries map[bucket][]entry[A]
}

type entry[A any] struct {
	digest  Digest
	account A
}

// Add adds a key of an account. It returns false, and changes nothing, if the key is known already.
func (t *Table[A]) Add(d Digest, account A) bool {
	if _, known := t.Find(d); known {
		return false
	}
	if t.entries == nil {
		t.entries = map[bucket][]entry[A]{}
	}
	b := bucket(d[:bucketBytes])
	t.entries[b] = append(t.entries[b], entry[A]{digest: d, account: account})
	return true
}

// Find returns the account that the key belongs to. Its time depends on the bucket of the given digest, and not on how much of that
// digest agrees with a known one.
func (t *Table[A]) Find(d Digest) (account A, known bool) {
	candidates := t.entries[bucket(d[:bucketBytes])]
	for i := range candidates {
		if subtle.ConstantTimeCompare(candidates[i].digest[:], d[:]) == 1 {
			account, known = candidates[i].account, true
		}
	}
	return account, known
}
