package head

import (
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/objapi"
)

// FuzzHeadObject stores arbitrary values under the head's key. The revision in force must not decrease.
func FuzzHeadObject(f *testing.F) {
	f.Add([]byte(`{"revision":9,"files":[{"name":"a.ini","hash":"x"}]}`))
	f.Add([]byte(`{"revision":-1}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, value []byte) {
		store := fakes.NewStore()
		_, err := Publish(t.Context(), store, tenants("a"), nil, false)
		assert.NilError(t, err)
		follower := NewFollower(store, func() bool { return true }, zerolog.Nop())
		_, err = follower.step(t.Context(), 0)
		assert.NilError(t, err)
		object, err := store.Get(t.Context(), Key)
		assert.NilError(t, err)
		_, err = store.Put(t.Context(), objapi.Object{Key: Key, Version: object.Version, Value: value})
		assert.NilError(t, err)
		_, _ = follower.step(t.Context(), 0)
		assert.Assert(t, follower.Revision() >= 1)
	})
}
