package head

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/objapi"
)

// tenants returns one file for each tenant, without settings.
func tenants(names ...string) []config.File {
	var files []config.File
	for _, name := range names {
		files = append(files, config.File{Name: name + ".ini", Text: "[tenant " + name + "]\n"})
	}
	return files
}

// share returns the file of a tenant with the given share.
func share(name, value string) config.File {
	return config.File{Name: name + ".ini", Text: "[tenant " + name + "]\nshare = " + value + "\n"}
}

// storedFiles returns the texts of the accepted configuration by file name.
func storedFiles(t *testing.T, store objapi.Store) map[string]string {
	t.Helper()
	h, _, err := readHead(t.Context(), store)
	assert.NilError(t, err)
	files, err := fetchFiles(t.Context(), store, h, nil)
	assert.NilError(t, err)
	found := map[string]string{}
	for _, f := range files {
		found[f.Name] = f.Text
	}
	return found
}

// TestRacingOperators publishes from two folders with the same base. Neither may undo the other's changes.
func TestRacingOperators(t *testing.T) {
	tests := []struct {
		name     string
		mine     []config.File
		theirs   []config.File
		conflict []string
		want     map[string]string
	}{
		{
			name: "different files are merged", mine: []config.File{share("a", "2"), tenants("b")[0]},
			theirs: []config.File{tenants("a")[0], share("b", "3")},
			want:   map[string]string{"a.ini": share("a", "2").Text, "b.ini": share("b", "3").Text},
		},
		{
			name: "different changes to the same file conflict", mine: []config.File{share("a", "2"), tenants("b")[0]},
			theirs: []config.File{share("a", "3"), tenants("b")[0]}, conflict: []string{"a.ini"},
			want: map[string]string{"a.ini": share("a", "3").Text, "b.ini": tenants("b")[0].Text},
		},
		{
			name: "one operator adds a file and the other removes one",
			mine: tenants("a", "b", "c"), theirs: tenants("a"),
			want: map[string]string{"a.ini": tenants("a")[0].Text, "c.ini": tenants("c")[0].Text},
		},
		{
			name: "both operators make the same change", mine: []config.File{share("a", "2"), tenants("b")[0]},
			theirs: []config.File{share("a", "2"), tenants("b")[0]},
			want:   map[string]string{"a.ini": share("a", "2").Text, "b.ini": tenants("b")[0].Text},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := fakes.NewStore()
			first, err := Publish(t.Context(), store, tenants("a", "b"), nil, false)
			assert.NilError(t, err)
			_, err = Publish(t.Context(), store, tt.theirs, first.Base, false)
			assert.NilError(t, err)
			_, err = Publish(t.Context(), store, tt.mine, first.Base, false)
			var conflict *ConflictError
			if tt.conflict != nil {
				assert.Assert(t, errors.As(err, &conflict), "%v", err)
				assert.DeepEqual(t, conflict.Files, tt.conflict)
			} else {
				assert.NilError(t, err)
			}
			assert.DeepEqual(t, storedFiles(t, store), tt.want)
		})
	}
}

// racingStore calls publishOther once, right before the first write of the head.
type racingStore struct {
	*fakes.Store

	publishOther func()
}

func (r *racingStore) Put(ctx context.Context, o objapi.Object) (objapi.Object, error) {
	if o.Key == Key && r.publishOther != nil {
		publishOther := r.publishOther
		r.publishOther = nil
		publishOther()
	}
	return r.Store.Put(ctx, o)
}

// TestHeadChangesBetweenReadAndWrite guards against a lost update: another operator's publication takes effect after
// the head is read and before it is written.
func TestHeadChangesBetweenReadAndWrite(t *testing.T) {
	store := fakes.NewStore()
	first, err := Publish(t.Context(), store, tenants("a", "b"), nil, false)
	assert.NilError(t, err)
	r := &racingStore{Store: store, publishOther: func() {
		_, err := Publish(t.Context(), store, []config.File{tenants("a")[0], share("b", "3")}, first.Base, false)
		assert.NilError(t, err)
	}}
	result, err := Publish(t.Context(), r, []config.File{share("a", "2"), tenants("b")[0]}, first.Base, false)
	assert.NilError(t, err)
	assert.Equal(t, int64(result.Revision), int64(3))
	assert.DeepEqual(t, storedFiles(t, store), map[string]string{
		"a.ini": share("a", "2").Text, "b.ini": share("b", "3").Text,
	})
}

// TestLostAnswerOfAcceptedWrite loses the answers to writes of the head that took effect. The publication must succeed
// with a single new revision.
func TestLostAnswerOfAcceptedWrite(t *testing.T) {
	platform := fakes.NewPlatform(fakes.NewStore())
	server := httptest.NewServer(platform)
	defer server.Close()
	client, closeClient, err := objapi.New(server.URL, http.DefaultTransport)
	assert.NilError(t, err)
	defer closeClient()
	platform.SetFaults(fakes.PlatformFaults{LoseAnswers: 2, LoseKeys: Key})
	result, err := Publish(t.Context(), client, tenants("a"), nil, false)
	assert.NilError(t, err)
	assert.Equal(t, int64(result.Revision), int64(1))
	assert.Assert(t, result.Changed)
}
