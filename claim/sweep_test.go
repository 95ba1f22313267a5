package claim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/objapi"
)

func TestSweepRemovesOldClaimsOnly(t *testing.T) {
	store := fakes.NewStore()
	now := time.Now()
	for i := range 100 {
		age := time.Duration(i%2) * (Retention + time.Minute)
		key := ObjectKey("tenant", "service", fmt.Sprint(i))
		o, err := objapi.Encode(key, objapi.Object{}, Claim{Key: fmt.Sprint(i), CreatedAt: now.Add(-age), State: StateDone})
		assert.NilError(t, err)
		_, err = store.Put(t.Context(), o)
		assert.NilError(t, err)
	}
	removed := 0
	for shard := range Shards {
		n, err := Sweep(t.Context(), store, shard, now)
		assert.NilError(t, err)
		removed += n
	}
	assert.Equal(t, removed, 50)
	left, err := store.List(t.Context(), Prefix)
	assert.NilError(t, err)
	assert.Equal(t, len(left), 50)
}
