package digest_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/digest"
)

// TestSum64SpreadsNamesThatDifferAtTheEnd guards against an FNV sum without mixing: names with a common prefix would
// fall into few buckets.
func TestSum64SpreadsNamesThatDifferAtTheEnd(t *testing.T) {
	const names, buckets = 4000, 8
	counts := [buckets]int{}
	for n := range names {
		counts[digest.Sum64("engine-", fmt.Sprint(n))>>61]++
	}
	for bucket, count := range counts {
		assert.Assert(t, count > names/buckets*8/10 && count < names/buckets*12/10, "bucket %d has %d names", bucket, count)
	}
	assert.Equal(t, digest.Sum64("ab", "c"), digest.Sum64("abc"))
}
