package trait_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/trait"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// TestTraitIsOfWhatEnginesGet guards against evidence and quarantines that count for other requests, as their service, host, account,
// method, target or body is left out.
func TestTraitIsOfWhatEnginesGet(t *testing.T) {
	base := trait.Request{Service: "desk", Host: "shop.example", Account: "north", Method: "GET", Target: "/x/1", Body: []byte("a")}
	tests := []struct {
		name   string
		change func(r *trait.Request)
		same   bool
	}{
		{name: "the same again", change: func(r *trait.Request) { r.Body = []byte("a") }, same: true},
		{name: "another service", change: func(r *trait.Request) { r.Service = "other" }},
		{name: "another host", change: func(r *trait.Request) { r.Host = "other.example" }},
		{name: "another account", change: func(r *trait.Request) { r.Account = "south" }},
		{name: "no account", change: func(r *trait.Request) { r.Account = "" }},
		{name: "another method", change: func(r *trait.Request) { r.Method = "POST" }},
		{name: "another target", change: func(r *trait.Request) { r.Target = "/x/2" }},
		{name: "another body", change: func(r *trait.Request) { r.Body = []byte("b") }},
		{name: "text moves between fields", change: func(r *trait.Request) { r.Target, r.Body = "/x/", []byte("1a") }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			changed := base
			tt.change(&changed)
			assert.Equal(t, trait.OfRequest(changed) == trait.OfRequest(base), tt.same)
		})
	}
	parts := map[trait.Trait]bool{}
	for _, service := range []units.ServiceName{"llm", "llm2"} {
		for _, id := range []string{"5c1e07a2", "hash", "a/b", "a part whose identifier is too long for a key of the platform"} {
			parts[trait.OfPart(service, id)] = true
			assert.Equal(t, trait.OfPart(service, id), trait.OfPart(service, id))
		}
	}
	assert.Equal(t, len(parts), 8)
}
