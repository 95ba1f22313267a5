package ident

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/units"
)

func testConfig(t testing.TB) *config.Config {
	t.Helper()
	c, _, err := config.Build(1, []config.File{{Name: "10.ini", Text: `[service llm]
kind = model
[service desk]
kind = plain
[tenant open]
[tenant closed]
token = secret
class = gold
[class gold]
priority = 5
deadline = 2s
[rule quote]
service = desk
path = /quotes
idempotent = true
`}})
	assert.NilError(t, err)
	return c
}

// exchange returns an exchange for the request; headers are pairs of name and value.
func exchange(t testing.TB, method, path, body string, headers ...string) *flow.Exchange {
	t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return &flow.Exchange{Context: context.Background(), Writer: httptest.NewRecorder(), Request: r, Config: testConfig(t)}
}

func isCurrent(units.Revision) bool { return false }

const goodChat = `{"model":"llm","messages":[{"role":"user","content":"tide?"}]}`

func TestBadRequestsNameTheField(t *testing.T) {
	tests := []struct {
		name    string
		method  string
		path    string
		body    string
		headers []string
		status  int
		field   string
	}{
		{"malformed JSON", "POST", ChatPath, "{", nil, 400, "body"},
		{"no model", "POST", ChatPath, `{"messages":[{}]}`, nil, 400, "model"},
		{"no messages", "POST", ChatPath, `{"model":"llm"}`, nil, 400, "messages"},
		{"too many tokens", "POST", ChatPath, `{"model":"llm","max_tokens":999999,"messages":[{}]}`, nil, 400, "max_tokens"},
		{"unknown model", "POST", ChatPath, `{"model":"x","messages":[{}]}`, nil, 404, "model"},
		{"plain service as model", "POST", ChatPath, `{"model":"desk","messages":[{}]}`, nil, 404, "model"},
		{"wrong method", "GET", ChatPath, "", nil, 405, "method"},
		{"unknown service", "GET", "/services/x/y", "", nil, 404, "service"},
		{"body too large", "POST", "/services/desk/y", strings.Repeat("x", 2000), nil, 413, "body"},
		{"unknown tenant", "POST", ChatPath, goodChat, []string{"X-Tenant", "nobody"}, 403, "X-Tenant"},
		{"token is missing", "POST", ChatPath, goodChat, []string{"X-Tenant", "closed"}, 401, "Authorization"},
		{"wrong token", "POST", ChatPath, goodChat, []string{"Authorization", "Bearer x"}, 401, "Authorization"},
		{"deadline in the past", "POST", ChatPath, goodChat, []string{"X-Deadline-Ms", "-5"}, 400, "X-Deadline-Ms"},
		{"deadline is no number", "POST", ChatPath, goodChat, []string{"X-Deadline-Ms", "soon"}, 400, "X-Deadline-Ms"},
		{"id too long", "POST", ChatPath, goodChat, []string{"X-Request-Id", strings.Repeat("x", 200)}, 400, "X-Request-Id"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := exchange(t, tt.method, tt.path, tt.body, tt.headers...)
			err := flow.Pipeline{New(1000, isCurrent, time.Now)}.Run(x)
			e := fault.From(err)
			assert.Equal(t, e.Status, tt.status, "%v", err)
			assert.Equal(t, e.Field, tt.field)
			assert.Equal(t, e.Verdict, fault.NotRun)
		})
	}
}

func TestRequestIsIdentified(t *testing.T) {
	x := exchange(t, "POST", ChatPath, goodChat, "Authorization", "Bearer secret", "X-Deadline-Ms", "60000")
	assert.NilError(t, New(1000, isCurrent, time.Now).Run(x))
	assert.Equal(t, string(x.Tenant.Name), "closed")
	assert.Equal(t, string(x.Class.Name), "gold")
	assert.Assert(t, x.Idempotent)
	assert.Assert(t, time.Until(x.Deadline) <= 2*time.Second, "a caller must not extend the deadline of its class")

	tests := []struct {
		method     string
		path       string
		idempotent bool
	}{
		{http.MethodGet, "/services/desk/availability", true},
		{http.MethodPost, "/services/desk/deposits", false},
		{http.MethodPost, "/services/desk/quotes/1", true},
		{http.MethodDelete, "/services/desk/deposits/1", false},
	}
	for _, tt := range tests {
		x := exchange(t, tt.method, tt.path, "")
		assert.NilError(t, New(1000, isCurrent, time.Now).Run(x))
		assert.Equal(t, x.Idempotent, tt.idempotent, "%s %s", tt.method, tt.path)
	}
}

func FuzzChat(f *testing.F) {
	f.Add(goodChat)
	f.Add(`{"model":"llm","max_tokens":1e9,"messages":[{"role":"system","content":[{"text":"x"}]},{}]}`)
	f.Fuzz(func(t *testing.T, body string) {
		x := exchange(t, "POST", ChatPath, body)
		if err := New(1<<20, isCurrent, time.Now).Run(x); err != nil {
			assert.Equal(t, fault.VerdictOf(err), fault.NotRun)
		}
	})
}

// TestOutdatedConfigurationRefusesNothingForGood guards against 401, 403 and 404 for what a newer revision may allow.
func TestOutdatedConfigurationRefusesNothingForGood(t *testing.T) {
	tests := []struct {
		name    string
		path    string
		body    string
		headers []string
		current int // status by the newest configuration
		status  int // status by an outdated one
	}{
		{name: "unknown service", path: ServicesPath + "other/x", current: 404, status: 503},
		{name: "unknown model", path: ChatPath, body: strings.ReplaceAll(goodChat, "llm", "other"), current: 404, status: 503},
		{name: "unknown tenant", path: ChatPath, body: goodChat, headers: []string{HeaderTenant, "other"}, current: 403, status: 503},
		{name: "unknown token", path: ChatPath, body: goodChat, headers: []string{"Authorization", "Bearer other"}, current: 401, status: 503},
		{name: "tenant without its token", path: ChatPath, body: goodChat, headers: []string{HeaderTenant, "closed"}, current: 401, status: 503},
		{name: "malformed body", path: ChatPath, body: "{", current: 400, status: 400},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for outdated, status := range map[bool]int{false: tt.current, true: tt.status} {
				x := exchange(t, http.MethodPost, tt.path, tt.body, tt.headers...)
				err := New(1000, func(r units.Revision) bool { return outdated && r == x.Config.Revision }, time.Now).Run(x)
				e := fault.From(err)
				assert.Equal(t, e.Status, status, "%v", err)
				assert.Equal(t, e.Verdict, fault.NotRun)
				assert.Equal(t, e.RetryAfter > 0, status == http.StatusServiceUnavailable)
			}
		})
	}
}
