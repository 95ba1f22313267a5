package links_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/links"
	"github.com/buckthorntrack/buckthorntrack/units"
)

func answer(status int, id, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", status, id, len(body), body)
}

// lf returns the text with lines that end with LF only.
func lf(text string) string { return strings.ReplaceAll(text, "\r\n", "\n") }

// TestAnswersToEarlierRequestsAreSkipped guards against requests that lose their answer to an earlier one that the upstream writes again.
func TestAnswersToEarlierRequestsAreSkipped(t *testing.T) {
	own := answer(200, "second", "own body")
	tests := []struct {
		name    string
		first   string // method of the earlier request
		written string
		read    string
		skipped int
	}{
		{name: "own answer", written: own, read: own},
		{name: "refusal", written: answer(503, "first", "") + own, read: own, skipped: 1},
		{name: "answer with a body", written: answer(200, "first", strings.Repeat("x", 9000)) + own, read: own, skipped: 1},
		{name: "two answers", written: answer(503, "first", "") + answer(200, "first", "body") + own, read: own, skipped: 2},
		{name: "own answer before another one", written: own + answer(503, "first", ""), read: own + answer(503, "first", "")},
		{name: "answer to an unknown request", written: answer(200, "other", "") + own, read: answer(200, "other", "") + own},
		{name: "answer without an id", written: answer(200, "", "") + own, read: answer(200, "", "") + own},
		{name: "answer without a length", written: "HTTP/1.1 200 OK\r\nId: first\r\n\r\nbody", read: "HTTP/1.1 200 OK\r\nId: first\r\n\r\nbody"},
		{
			name: "answer that breaks off", written: strings.TrimSuffix(answer(200, "first", "body"), "dy"),
			read: strings.TrimSuffix(answer(200, "first", "body"), "dy"),
		},
		{
			name: "answer that breaks off before the own one", written: answer(200, "first", strings.Repeat("x", 4000))[:200] + own,
			read: answer(200, "first", strings.Repeat("x", 4000))[:200] + own,
		},
		{name: "answer that is too long", written: answer(200, "first", strings.Repeat("x", 16384)), read: answer(200, "first", strings.Repeat("x", 16384))},
		{name: "lines that end with LF", written: lf(answer(503, "first", "") + own), read: lf(own), skipped: 1},
		{name: "answers without end", written: strings.Repeat(answer(503, "first", ""), 6) + own, read: strings.Repeat(answer(503, "first", ""), 2) + own, skipped: 4},
		{name: "own answer whose body names the earlier request", written: answer(200, "second", answer(503, "first", "")), read: answer(200, "second", answer(503, "first", ""))},
		{
			name: "answer with a blank in a name", written: strings.Replace(answer(200, "first", "body"), "Content", "Transfer-Encoding : chunked\r\nContent", 1) + own,
			read: strings.Replace(answer(200, "first", "body"), "Content", "Transfer-Encoding : chunked\r\nContent", 1) + own,
		},
		{name: "head that breaks off", written: own[:20], read: own[:20]},
		{name: "head without end", written: strings.Repeat("a", 40000), read: strings.Repeat("a", 40000)},
		{
			name: "lengths without bodies", first: http.MethodHead, written: "HTTP/1.1 503 Full\r\nId: first\r\nContent-Length: 4\r\n\r\n" + own,
			read: "HTTP/1.1 503 Full\r\nId: first\r\nContent-Length: 4\r\n\r\n" + own,
		},
	}
	for _, tt := range tests {
		for _, piece := range []int{1, 7, 4096, 1 << 20} {
			t.Run(fmt.Sprint(tt.name, " in pieces of ", piece), func(t *testing.T) {
				skipped := 0
				local, remote := net.Pipe()
				c := links.New(local, links.Options{
					Identify: func(head *http.Response) units.RequestID { return units.RequestID(head.Header.Get("Id")) },
					OnStale: func(s links.Stale) {
						skipped++
						assert.Equal(t, s.AnswerTo, units.RequestID("first"))
						assert.Equal(t, s.Request, units.RequestID("second"))
					},
				})
				first := http.MethodPost
				if tt.first != "" {
					first = tt.first
				}
				c.Begin("first", first)
				c.Begin("second", http.MethodPost)
				go func() {
					defer func() { _ = remote.Close() }()
					for rest := tt.written; rest != ""; {
						n := min(piece, len(rest))
						if _, err := io.WriteString(remote, rest[:n]); err != nil {
							return
						}
						rest = rest[n:]
					}
				}()
				read, err := io.ReadAll(bufio.NewReader(c))
				assert.NilError(t, err)
				assert.Equal(t, string(read), tt.read)
				assert.Equal(t, skipped, tt.skipped)
				assert.NilError(t, c.Close())
			})
		}
	}
}

// TestBytesThatAreNoAnswerAreNotHeld guards against requests that wait for their deadline as the upstream writes bytes that are no answer
// and keeps the connection.
func TestBytesThatAreNoAnswerAreNotHeld(t *testing.T) {
	tests := []struct {
		name, written string
	}{
		{name: "no answer", written: "this is no answer\r\n"},
		{name: "no status", written: "HTTP/1.1 xx\r\nId: second\r\n"},
		{name: "no header line", written: "HTTP/1.1 200 OK\r\nno colon\r\n"},
		{name: "own answer with lines that end with LF", written: lf(answer(200, "second", "own"))},
		{name: "answer that breaks off before the own one", written: answer(200, "first", strings.Repeat("x", 4000))[:200] + answer(200, "second", "own")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			local, remote := net.Pipe()
			defer func() { _ = remote.Close() }()
			c := links.New(local, links.Options{
				Identify: func(head *http.Response) units.RequestID { return units.RequestID(head.Header.Get("Id")) },
				OnStale:  func(links.Stale) {},
			})
			c.Begin("first", http.MethodPost)
			c.Begin("second", http.MethodPost)
			go func() { _, _ = io.WriteString(remote, tt.written) }()
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
			read := make([]byte, len(tt.written))
			_, err := io.ReadFull(c, read)
			assert.NilError(t, err)
			assert.Equal(t, string(read), tt.written)
		})
	}
}
