package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/metric"
)

// discard is a ResponseWriter that accepts all writes without delay.
type discard struct{ header http.Header }

func (d discard) Header() http.Header          { return d.header }
func (discard) Write(data []byte) (int, error) { return len(data), nil }
func (discard) WriteHeader(int)                {}
func (discard) Flush()                         {}
func (discard) SetWriteDeadline(time.Time) error {
	return nil
}

// BenchmarkRelay measures the CPU time to pass one token from the engine's stream to the caller's writer, without
// system calls.
func BenchmarkRelay(b *testing.B) {
	const tokens = 1000
	event := []byte("id: 7\ndata: {\"id\":\"r\",\"object\":\"chat.completion.chunk\",\"model\":\"m\",\"choices\":" +
		"[{\"index\":0,\"delta\":{\"content\":\"tide \"}}]}\n\n")
	stream := append(bytes.Repeat(event, tokens), []byte("data: [DONE]\n\n")...)
	stage := New(time.Minute, metric.New(10), time.Now)
	b.ReportAllocs()
	for b.Loop() {
		events := engine.NewEvents(io.NopCloser(bytes.NewReader(stream)), func() {})
		x := &flow.Exchange{
			Context: context.Background(), Writer: discard{header: http.Header{}}, Streams: true,
			Tenant: &config.Tenant{Name: "t"}, Class: &config.Class{Name: "c"}, Service: &config.Service{Name: "s"},
			Answer: engine.Answer{Status: http.StatusOK, Events: events},
		}
		x.Times.Started = time.Now()
		if err := stage.Run(x); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/token")
}
