package engine_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// TestMalformedAnswerIsNotBelieved checks that no call takes an answer whose head is malformed for its answer.
func TestMalformedAnswerIsNotBelieved(t *testing.T) {
	head := func(status, fields string) string {
		return "HTTP/1.1 " + status + "\r\n" + engine.HeaderRequestID + ": %s\r\n" + fields + "\r\n"
	}
	tests := []struct {
		name string
		text string // "%s" stands for the id of the call
	}{
		{"status 000", head("000 Unknown", "Content-Length: 2\r\n") + "{}"},
		{"status 000 without a body", head("000 Unknown", "Content-Length: 0\r\n")},
		{"status 099", head("099 Unknown", "Content-Length: 2\r\n") + "{}"},
		{"status 101 without an upgrade", head("101 Switching Protocols", "")},
		{"blank in a name", head("200 OK", "X Note: 1\r\nContent-Length: 2\r\n") + "{}"},
		{"blank after the name of a length", head("200 OK", "Content-Length : 2\r\n") + "{}, and more"},
		{"blank in a name, in a refusal", head("503 Full", "X Note: 1\r\nContent-Length: 0\r\n")},
		{"blank before a name", head("200 OK", "X-Note: 1\r\n Content-Length: 2\r\n") + "{}"},
		{"status 600", head("600 Unknown", "Content-Length: 2\r\n") + "{}"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			u := &upstream{serve: func(r *http.Request, _ int) (string, bool, error) {
				return fmt.Sprintf(tt.text, r.Header.Get(engine.HeaderRequestID)), true, io.EOF
			}}
			withUpstream(t, u, func(t *testing.T, c *engine.Client) {
				for _, streams := range []bool{false, true} {
					id := units.RequestID(fmt.Sprint("id", streams))
					_, err := c.Send(t.Context(), engine.Call{RequestID: id, Method: http.MethodPost, Path: "/", Body: []byte("x"), Streams: streams})
					assert.Assert(t, err != nil)
					assert.Equal(t, fault.From(err).Code, fault.CodeUpstreamFailed)
					assert.Equal(t, fault.VerdictOf(err), fault.MayHaveRun)
					assert.Equal(t, u.ran[id], 1)
				}
				assert.Assert(t, c.RaiseFence(t.Context(), 1) != nil, "the fence counts as raised")
			})
		})
	}
}
