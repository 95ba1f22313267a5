package keys_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntrack/buckthorntrack/keys"
)

// TestFindsTheAccountOfEachKey guards against a key that is taken for that of another account, or for unknown.
func TestFindsTheAccountOfEachKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table keys.Table[int]
		known := map[string]int{}
		for i, key := range rapid.SliceOfN(rapid.StringN(0, 3, -1), 0, 200).Draw(t, "keys") {
			_, repeated := known[key]
			assert.Equal(t, table.Add(keys.Of(key), i), !repeated)
			if !repeated {
				known[key] = i
			}
		}
		for key, account := range known {
			got, ok := table.Find(keys.Of(key))
			assert.Assert(t, ok)
			assert.Equal(t, got, account)
		}
		_, ok := table.Find(keys.Of("longer than any key"))
		assert.Assert(t, !ok)
	})
}

// TestManyKeysShareABucket guards against a look-up that stops at the first key of a bucket.
func TestManyKeysShareABucket(t *testing.T) {
	var table keys.Table[int]
	for i := range 100 {
		var d keys.Digest
		d[31] = byte(i)
		assert.Assert(t, table.Add(d, i))
	}
	for i := range 100 {
		var d keys.Digest
		d[31] = byte(i)
		got, ok := table.Find(d)
		assert.Assert(t, ok)
		assert.Equal(t, got, i)
	}
}

// TestParse guards against texts that are taken for digests, and against errors that repeat a text which may be a key.
func TestParse(t *testing.T) {
	d := keys.Of("secret")
	got, err := keys.Parse(d.Hex())
	assert.NilError(t, err)
	assert.Equal(t, got, d)
	for _, text := range []string{"", "ab", strings.Repeat("z", 64), d.Hex() + "00", d.Hex()[1:]} {
		_, err := keys.Parse(text)
		assert.Assert(t, err != nil, "%q", text)
		assert.Assert(t, text == "" || !strings.Contains(err.Error(), text+" "))
	}
}

func BenchmarkFind(b *testing.B) {
	var table keys.Table[int]
	for i := range 1000 {
		table.Add(keys.Of(fmt.Sprint("key", i)), i)
	}
	b.ReportAllocs()
	for b.Loop() {
		table.Find(keys.Of("key500"))
	}
}
