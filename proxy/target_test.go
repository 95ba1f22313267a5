package proxy

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// sentTarget returns the target that an engine reads, and false if none is sent.
func sentTarget(target string) (string, bool) {
	u, ok := engineURL("10.0.0.1:80", target)
	if !ok {
		return "", false
	}
	var sent strings.Builder
	if err := (&http.Request{Method: http.MethodGet, URL: u, Host: "shop.example", Header: http.Header{}}).Write(&sent); err != nil {
		return "", false
	}
	line, _, _ := strings.Cut(sent.String(), "\r\n")
	return strings.TrimSuffix(strings.TrimPrefix(line, "GET "), " HTTP/1.1"), true
}

// TestTargetsPassUnchanged guards against engines that run a request with another path than its caller's.
func TestTargetsPassUnchanged(t *testing.T) {
	for _, target := range []string{
		"/", "/deposit/1?boat=7", "//deposit/1?boat=7", "///a", "//a?", "/a?", "/a??", "//", "//?x", "/a//b", "/a/../b", "//a/../b", "/./",
		"/a%2Fb", "//a%2Fb", "//a%2fb", "/%7Ea", "//%7Ea", "/a;b=1", "//a;b=1", "//user@host:80/a", "//[::1]/a", "/a?b=%zz", "//a?b=%zz", "/a+b",
		"//a+b", "/a:b", "//a!$&'()*+,;=:@", "*",
	} {
		sent, ok := sentTarget(target)
		assert.Assert(t, ok, "%s is not sent", target)
		assert.Equal(t, sent, target)
	}
}

// TestTargetsPassUnchangedOrNotAtAll checks the same for any target, which may be rejected.
func TestTargetsPassUnchangedOrNotAtAll(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		target := "/" + rapid.StringMatching(`[/a%2Ff.?;:@!*~\[\]\\"<>^|{} é#]{0,12}`).Draw(rt, "target")
		if sent, ok := sentTarget(target); ok && sent != target {
			rt.Fatalf("%q is sent as %q", target, sent)
		}
	})
}

// FuzzTarget does the same for what a server has read.
func FuzzTarget(f *testing.F) {
	f.Add("//deposit/1?boat=7")
	f.Add("//a%2fb?")
	f.Fuzz(func(t *testing.T, target string) {
		read, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n")))
		if err != nil {
			return
		}
		if sent, ok := sentTarget(read.RequestURI); ok && sent != read.RequestURI {
			t.Fatalf("%q is sent as %q", read.RequestURI, sent)
		}
	})
}
