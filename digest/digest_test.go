package digest_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/digest"
)

func TestNamesThatDifferAtTheirEndsAreSpread(t *testing.T) {
	const names, groups = 4000, 8
	counts := [groups]int{}
	for n := range names {
		counts[digest.Of("engine-", fmt.Sprint(n))>>61]++
	}
	for group, count := range counts {
		assert.Assert(t, count > names/groups*8/10 && count < names/groups*12/10, "group %d has %d", group, count)
	}
	assert.Equal(t, digest.Of("ab", "c"), digest.Of("abc"))
}
