package serve

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/flow"
)

// TestSlowReaderHoldsNobodyUp opens a stream and never reads it. The caller loses it, the engine is freed, and
// another caller is served meanwhile.
func TestSlowReaderHoldsNobodyUp(t *testing.T) {
	inWorld(t, func(w *world) {
		w.settings = "[limits]\nwriteTimeout = 2s\n"
		n := oneZone(w, engine.RoleMixed)[0]
		conn, err := w.network.Host(callerHost).Dial(context.Background(), "tcp", n.settings.Process.Listen)
		assert.NilError(t, err)
		defer conn.Close()
		body := chatBody("slow", 3000)
		_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		assert.NilError(t, err)
		time.Sleep(time.Second)
		w.wantWhole(w.chat(n, "quick", 50), "quick", 50)
		w.await("engine is free", func() bool {
			runs := w.engines["guide-1"].Ledger().Runs
			return len(runs) == 2 && runs[0].Outcome != "running"
		})
		assert.Assert(t, w.engines["guide-1"].Ledger().Runs[0].Tokens < 3000)
	})
}

// TestBoundsOfCallers sends what is too large or malformed.
func TestBoundsOfCallers(t *testing.T) {
	inWorld(t, func(w *world) {
		w.settings = "[limits]\nbodyBytes = 10000\nheaderBytes = 4096\n"
		n := oneZone(w, engine.RoleMixed)[0]
		large := w.call(n, http.MethodPost, "/v1/chat/completions", strings.Repeat("x", 20_000))
		assert.Equal(t, large.status, http.StatusRequestEntityTooLarge)
		assert.Equal(t, large.verdict(), "notRun")
		header := w.call(n, http.MethodPost, "/v1/chat/completions", "{}", "X-Long", strings.Repeat("x", 20_000))
		assert.Equal(t, header.status, http.StatusRequestHeaderFieldsTooLarge)
		nowhere := w.call(n, http.MethodGet, "/nowhere", "")
		assert.Equal(t, nowhere.status, http.StatusNotFound)
		assert.Equal(t, nowhere.verdict(), "notRun")
		malformed := w.call(n, http.MethodPost, "/v1/chat/completions", "{", engine.HeaderRequestID, "r-1")
		assert.Equal(t, malformed.status, http.StatusBadRequest)
		assert.Assert(t, strings.Contains(malformed.body, `"field":"body"`), malformed.body)
		assert.Assert(t, strings.Contains(malformed.body, `"requestId":"r-1"`), malformed.body)
	})
}

func TestStreamsAreBounded(t *testing.T) {
	inWorld(t, func(w *world) {
		w.settings = "[limits]\nstreams = 2\n"
		n := oneZone(w, engine.RoleMixed)[0]
		wait := background(3, func(i int) reply {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			return w.chat(n, fmt.Sprint(i), 100)
		})
		replies := wait()
		w.wantWhole(replies[0], "0", 100)
		w.wantWhole(replies[1], "1", 100)
		assert.Equal(t, replies[2].status, http.StatusServiceUnavailable)
		assert.Equal(t, replies[2].verdict(), "notRun")
	})
}

// panicking is a stage that fails badly.
type panicking struct{}

func (panicking) String() string           { return "panicking" }
func (panicking) Run(*flow.Exchange) error { panic("test") }

func TestPanicEndsOneRequestOnly(t *testing.T) {
	inWorld(t, func(w *world) {
		n := oneZone(w, engine.RoleMixed)[0]
		good := n.callers
		n.callers = flow.Pipeline{panicking{}}
		r := w.call(n, http.MethodPost, "/v1/chat/completions", "{}")
		assert.Equal(t, r.status, http.StatusInternalServerError)
		assert.Equal(t, r.verdict(), "mayHaveRun")
		n.callers = good
		w.wantWhole(w.chat(n, "after", 20), "after", 20)
	})
}

// TestAdministration asks each path of the administration, with and without its token.
func TestAdministration(t *testing.T) {
	inWorld(t, func(w *world) {
		w.service("booking-1", "za")
		n := oneZone(w, engine.RoleMixed)[0]
		w.wantWhole(w.chat(n, "tide", 20), "tide", 20)
		assert.Equal(t, w.book(n, "k", "x").status, http.StatusCreated)
		tests := []struct {
			path  string
			want  string
			token bool
		}{
			{"/healthz", "ok", false},
			{"/readyz", "ready", false},
			{"/metrics", `buckthorntrack_class_first_token_seconds_count{class="default"} 1`, true},
			{"/metrics", `buckthorntrack_tenant_token_gap_seconds_count{tenant="default"} 19`, true},
			{"/metrics", `buckthorntrack_answers_total{code="",service="booking",verdict="ran"} 1`, true},
			{"/admin/v1/status", `"revision":1`, true},
			{"/admin/v1/config", `[service guide-llm]`, true},
			{"/admin/v1/engines", `"name":"guide-1"`, true},
			{"/admin/v1/orders", `[`, true},
			{"/admin/v1/claims", `[]`, true},
		}
		for _, tt := range tests {
			status, body := w.admin(n, tt.path, "Bearer t")
			assert.Equal(t, status, http.StatusOK, tt.path)
			assert.Assert(t, strings.Contains(body, tt.want), "%s: %s", tt.path, body)
			status, _ = w.admin(n, tt.path, "")
			assert.Equal(t, status == http.StatusUnauthorized, tt.token, tt.path)
		}
	})
}

func (w *world) admin(n *node, path, authorization string) (int, string) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet,
		"http://"+n.settings.Admin.Listen+path, http.NoBody)
	assert.NilError(w.t, err)
	if authorization != "" {
		request.Header.Set("Authorization", authorization)
	}
	response, err := w.client.Do(request)
	assert.NilError(w.t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(bufio.NewReader(response.Body))
	assert.NilError(w.t, err)
	return response.StatusCode, string(body)
}
