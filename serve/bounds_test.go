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

// TestSlowReaderDoesNotBlockOthers opens a stream and never reads from it. Another caller must be served meanwhile, and
// the write timeout must end the stream and free the engine.
func TestSlowReaderDoesNotBlockOthers(t *testing.T) {
	runCluster(t, func(tc *testCluster) {
		tc.settings = "[limits]\nwriteTimeout = 2s\n"
		n := startOneZone(tc, engine.RoleMixed)[0]
		conn, err := tc.network.Host(callerHost).Dial(context.Background(), "tcp", n.settings.Process.Listen)
		assert.NilError(t, err)
		defer conn.Close()
		body := chatBody("slow", 3000)
		_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s",
			len(body), body)
		assert.NilError(t, err)
		time.Sleep(time.Second)
		tc.assertComplete(tc.chat(n, "quick", 50), "quick", 50)
		tc.await("engine is free", func() bool {
			runs := tc.engines["guide-1"].Ledger().Runs
			return len(runs) == 2 && runs[0].Outcome != "running"
		})
		assert.Assert(t, tc.engines["guide-1"].Ledger().Runs[0].Tokens < 3000)
	})
}

// TestOversizedAndMalformedRequestsAreRejected checks the status and the verdict of each rejection.
func TestOversizedAndMalformedRequestsAreRejected(t *testing.T) {
	runCluster(t, func(tc *testCluster) {
		tc.settings = "[limits]\nbodyBytes = 10000\nheaderBytes = 4096\n"
		n := startOneZone(tc, engine.RoleMixed)[0]
		large := tc.call(n, http.MethodPost, "/v1/chat/completions", strings.Repeat("x", 20_000))
		assert.Equal(t, large.status, http.StatusRequestEntityTooLarge)
		assert.Equal(t, large.verdict(), "notRun")
		header := tc.call(n, http.MethodPost, "/v1/chat/completions", "{}", "X-Long", strings.Repeat("x", 20_000))
		assert.Equal(t, header.status, http.StatusRequestHeaderFieldsTooLarge)
		unknownPath := tc.call(n, http.MethodGet, "/nowhere", "")
		assert.Equal(t, unknownPath.status, http.StatusNotFound)
		assert.Equal(t, unknownPath.verdict(), "notRun")
		malformed := tc.call(n, http.MethodPost, "/v1/chat/completions", "{", engine.HeaderRequestID, "r-1")
		assert.Equal(t, malformed.status, http.StatusBadRequest)
		assert.Assert(t, strings.Contains(malformed.body, `"field":"body"`), malformed.body)
		assert.Assert(t, strings.Contains(malformed.body, `"requestId":"r-1"`), malformed.body)
	})
}

func TestStreamsAreBounded(t *testing.T) {
	runCluster(t, func(tc *testCluster) {
		tc.settings = "[limits]\nstreams = 2\n"
		n := startOneZone(tc, engine.RoleMixed)[0]
		wait := background(3, func(i int) reply {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			return tc.chat(n, fmt.Sprint(i), 100)
		})
		replies := wait()
		tc.assertComplete(replies[0], "0", 100)
		tc.assertComplete(replies[1], "1", 100)
		assert.Equal(t, replies[2].status, http.StatusServiceUnavailable)
		assert.Equal(t, replies[2].verdict(), "notRun")
	})
}

// panicStage is a request stage that panics.
type panicStage struct{}

func (panicStage) String() string           { return "panicking" }
func (panicStage) Run(*flow.Exchange) error { panic("test") }

func TestPanicEndsOneRequestOnly(t *testing.T) {
	runCluster(t, func(tc *testCluster) {
		n := startOneZone(tc, engine.RoleMixed)[0]
		stages := n.callerPipeline
		n.callerPipeline = flow.Pipeline{panicStage{}}
		r := tc.call(n, http.MethodPost, "/v1/chat/completions", "{}")
		assert.Equal(t, r.status, http.StatusInternalServerError)
		assert.Equal(t, r.verdict(), "mayHaveRun")
		n.callerPipeline = stages
		tc.assertComplete(tc.chat(n, "after", 20), "after", 20)
	})
}

// TestAdminEndpoints requests each admin path with and without the admin token.
func TestAdminEndpoints(t *testing.T) {
	runCluster(t, func(tc *testCluster) {
		tc.service("booking-1", "za")
		n := startOneZone(tc, engine.RoleMixed)[0]
		tc.assertComplete(tc.chat(n, "tide", 20), "tide", 20)
		assert.Equal(t, tc.book(n, "k", "x").status, http.StatusCreated)
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
			status, body := tc.getAdmin(n, tt.path, "Bearer t")
			assert.Equal(t, status, http.StatusOK, tt.path)
			assert.Assert(t, strings.Contains(body, tt.want), "%s: %s", tt.path, body)
			status, _ = tc.getAdmin(n, tt.path, "")
			assert.Equal(t, status == http.StatusUnauthorized, tt.token, tt.path)
		}
	})
}

func (tc *testCluster) getAdmin(n *node, path, authorization string) (int, string) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet,
		"http://"+n.settings.Admin.Listen+path, http.NoBody)
	assert.NilError(tc.t, err)
	if authorization != "" {
		request.Header.Set("Authorization", authorization)
	}
	response, err := tc.client.Do(request)
	assert.NilError(tc.t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(bufio.NewReader(response.Body))
	assert.NilError(tc.t, err)
	return response.StatusCode, string(body)
}
