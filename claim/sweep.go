package claim

import (
	"context"
	"fmt"
	"time"

	"github.com/buckthorntrack/buckthorntrack/objapi"
)

// Shards is the number of key prefixes over which claims are distributed.
const Shards = 256

// Sweep removes the claims of one shard that are older than Retention, and returns their number.
func Sweep(ctx context.Context, store objapi.Store, shard int, now time.Time) (int, error) {
	objects, err := store.List(ctx, fmt.Sprintf("%s%02x/", Prefix, shard%Shards))
	if err != nil {
		return 0, fmt.Errorf("list claims: %w", err)
	}
	removed := 0
	for _, o := range objects {
		var c Claim
		if o.Decode(&c) != nil || now.Sub(c.CreatedAt) < Retention {
			continue
		}
		if err := store.Delete(ctx, o.Key, o.Version); err != nil {
			return removed, fmt.Errorf("remove claim %s: %w", o.Key, err)
		}
		removed++
	}
	return removed, nil
}
