package conns

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// BenchmarkRequest measures one request over loopback with the usual number of header lines, with and without the guard.
func BenchmarkRequest(b *testing.B) {
	var head strings.Builder
	head.WriteString("POST /chat/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 1000\r\n")
	for n := range 16 {
		_, _ = fmt.Fprintf(&head, "X-Header-%d: some value of usual length\r\n", n)
	}
	text := head.String() + "\r\n" + strings.Repeat("b", 1000)
	for _, kind := range []string{"plain", "guarded"} {
		b.Run(kind, func(b *testing.B) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			l, server := inner, &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				Admitted(r.Context())
				_, _ = io.Copy(io.Discard, r.Body)
			})}
			if kind == "guarded" {
				guarded := NewGuard(Options{Limits: testLimits, Clock: time.Now}).Listen(inner, "callers", 100)
				server.ConnState, server.ConnContext, server.ReadHeaderTimeout = guarded.Track, guarded.ConnContext, 0
				l = guarded
			}
			go func() { _ = server.Serve(l) }()
			defer func() { _ = server.Close() }()
			c, err := net.Dial("tcp", inner.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			reader := bufio.NewReader(c)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(c, text); err != nil {
					b.Fatal(err)
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
			}
		})
	}
}
