package cmds_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/cmds"
	"github.com/buckthorntrack/buckthorntrack/front"
)

// TestExplainSendsNoKey guards against a key in the head of a request that leaves the command, and checks its output and exit
// codes.
func TestExplainSendsNoKey(t *testing.T) {
	const key = "sk-head-4410"
	var asked string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		assert.Check(t, err)
		asked = string(body)
		assert.Check(t, json.NewEncoder(w).Encode(front.Explanation{
			Process: "n1", ConfigVersion: 7, ConfigAgeMS: 120, EnginesAgeMS: -1, Admitted: true, Reason: "the request would be sent", Run: "e1",
			Candidates: []front.Candidate{{Engine: "e1", Use: "chosen", HeldBack: "started", Allowance: 3, TransferBytes: 4096}},
		}))
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	write := func(text string) string {
		path := filepath.Join(t.TempDir(), "head")
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	head := "POST /chat/?a=b HTTP/1.1\nHost: shop.example\nauthorization: Bearer " + key + "\nX-Any: s:10\nContent-Length: 12"
	tests := []struct {
		name string
		args []string
		code int
		want []string // in the output
	}{
		{name: "table", args: []string{"--head", write(head)}, want: []string{"version 7, confirmed 120 ms ago", "no known time", "started", "4096"}},
		{name: "JSON", args: []string{"--head", write(head), "--json"}, want: []string{`"heldBack":"started"`}},
		{name: "malformed head", args: []string{"--head", write("Bearer " + key)}, code: 1, want: []string{"not the head of a request"}},
		{name: "no target", args: []string{"--path", "/chat/"}, code: 1, want: []string{"are required"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			asked = ""
			var output bytes.Buffer
			code := cmds.Main(append([]string{"explain", "--metrics", address}, tt.args...), &output, &output)
			assert.Equal(t, code, tt.code, output.String())
			for _, text := range tt.want {
				assert.Assert(t, strings.Contains(output.String(), text), output.String())
			}
			assert.Assert(t, !strings.Contains(output.String()+asked, key))
			if tt.code != 0 {
				assert.Equal(t, asked, "")
				return
			}
			var q front.Question
			assert.NilError(t, json.Unmarshal([]byte(asked), &q))
			assert.Equal(t, q.Host+q.Path, "shop.example/chat/?a=b")
			assert.Equal(t, q.Header.Get("X-Any"), "s:10")
			assert.Equal(t, q.Bytes, int64(12))
		})
	}
}
