package claim

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// FuzzClaimObject guards against calls that run twice because a stored claim is malformed: unless the stored value
// states that the call did not run, the call must not pass to an upstream.
func FuzzClaimObject(f *testing.F) {
	for _, c := range []Claim{
		{State: StateOpen, Process: "gone", Digest: "d"},
		{State: StateDone, Digest: "d", Status: http.StatusCreated, ContentType: "text/plain", Body: []byte("x")},
		{State: StateNotRun, Digest: "d"},
		{State: StateDone, Digest: "other"},
	} {
		value, err := json.Marshal(c)
		assert.NilError(f, err)
		f.Add(value)
	}
	f.Add([]byte(`{"state":7}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		store := fakes.NewStore()
		key := ObjectKey("t", "s", "k")
		_, err := store.Put(t.Context(), objapi.Object{Key: key, Value: value})
		assert.NilError(t, err)
		noneAlive := func(units.ProcessName) bool { return false }
		stage, waitWrites := New(store, "p", noneAlive, time.Now, zerolog.Nop())
		defer waitWrites()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		x := &flow.Exchange{
			Context: ctx, ID: "r", Tenant: &config.Tenant{Name: "t"}, Service: &config.Service{Name: "s"}, Digest: "d",
			Call: engine.Call{IdempotencyKey: "k"},
		}
		var c Claim
		mayRun := json.Unmarshal(value, &c) == nil && c.State == StateNotRun && c.Digest == "d"
		if stage.Run(x) == nil && !x.Replayed {
			assert.Assert(t, mayRun, "call passed despite claim %s", value)
		}
	})
}
