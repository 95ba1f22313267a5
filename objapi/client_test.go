package objapi_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/objapi"
)

// newPlatform starts a stand-in platform and returns it together with a client.
func newPlatform(t *testing.T) (*fakes.Platform, *objapi.Client) {
	t.Helper()
	platform := fakes.NewPlatform(fakes.NewStore())
	server := httptest.NewServer(platform)
	t.Cleanup(server.Close)
	client, closeClient, err := objapi.New(server.URL, http.DefaultTransport)
	assert.NilError(t, err)
	t.Cleanup(closeClient)
	return platform, client
}

// TestLostAnswerIsResolved writes to a platform that loses answers after writes took effect, or that has an object of
// another process under the key.
func TestLostAnswerIsResolved(t *testing.T) {
	platform, client := newPlatform(t)
	tests := []struct {
		name  string
		lose  int
		prior bool // another process wrote first
		want  error
	}{
		{name: "answer arrives", lose: 0},
		{name: "answer is lost once", lose: 1},
		{name: "another process wrote first", prior: true, want: objapi.ErrConflict},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			key := string(rune('a' + i))
			if tt.prior {
				o, err := objapi.Encode(key, objapi.Object{}, "theirs")
				assert.NilError(t, err)
				_, err = client.Put(t.Context(), o)
				assert.NilError(t, err)
			}
			platform.SetFaults(fakes.PlatformFaults{LoseAnswers: tt.lose})
			o, err := objapi.Encode(key, objapi.Object{}, "mine")
			assert.NilError(t, err)
			_, err = client.Put(t.Context(), o)
			assert.Assert(t, errors.Is(err, tt.want), "%v", err)
		})
	}
}

// TestWriteToDeadPlatformIsUnresolved guards against reporting a failed write as not done while its outcome is unknown.
func TestWriteToDeadPlatformIsUnresolved(t *testing.T) {
	platform, client := newPlatform(t)
	platform.SetFaults(fakes.PlatformFaults{Down: true})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	o, err := objapi.Encode("k", objapi.Object{}, 1)
	assert.NilError(t, err)
	_, err = client.Put(ctx, o)
	assert.Assert(t, errors.Is(err, objapi.ErrUnresolved), "%v", err)
}
