package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/fakes"
)

// TestIdleLimit guards against requests that are lost on connections which the engine has closed or forgotten.
func TestIdleLimit(t *testing.T) {
	start := time.Unix(1000, 0)
	const longest = 15 * time.Second
	tests := []struct {
		name      string
		stated    time.Duration
		forgotten time.Duration
		after     time.Duration // since the connection was forgotten
		expected  time.Duration
	}{
		{name: "engine states no time", expected: defaultIdleTime},
		{name: "engine keeps connections for long", stated: time.Minute, expected: longest},
		{name: "engine closes before the longest time", stated: 5 * time.Second, expected: 4 * time.Second},
		{name: "engine closes at once", stated: time.Second, expected: minIdleTime},
		{name: "engine forgot a connection", stated: time.Minute, forgotten: 600 * time.Millisecond, expected: 300 * time.Millisecond},
		{name: "engine forgot one long ago", stated: time.Minute, forgotten: 600 * time.Millisecond, after: forgottenTime, expected: longest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l idleLimit
			l.state(tt.stated)
			if tt.forgotten > 0 {
				l.forget(tt.forgotten, start)
			}
			assert.Equal(t, l.at(start.Add(tt.after), longest), tt.expected)
		})
	}
}

// TestPoolKeepsConnectionsAsLongAsEnginesDo guards against a new connection for each request to an engine that a process uses every
// few seconds.
func TestPoolKeepsConnectionsAsLongAsEnginesDo(t *testing.T) {
	tests := []struct {
		name   string
		stated time.Duration
		dials  int64
	}{
		{name: "engine states a long time", stated: 20 * time.Second, dials: 1},
		{name: "engine states no time", dials: 3},
		{name: "engine closes after three seconds", stated: 3 * time.Second, dials: 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const address = "10.8.0.1:80"
				network := fakes.NewNetwork()
				stop, err := network.Host("engine").Serve(address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					_, _ = io.WriteString(w, "answer")
				}))
				assert.NilError(t, err)
				defer stop()
				var dials atomic.Int64
				pool, closeIdle := NewPool(PoolOptions{
					Dial: func(ctx context.Context, kind, address string) (net.Conn, error) {
						dials.Add(1)
						return network.Host("front").Dial(ctx, kind, address)
					},
					LongestIdle: 15 * time.Second, Clock: time.Now,
				})
				defer closeIdle()
				pool.SetIdleTimeout(address, tt.stated)
				for range 3 {
					response, err := (&http.Client{Transport: pool}).Get("http://" + address + "/")
					assert.NilError(t, err)
					_, err = io.Copy(io.Discard, response.Body)
					assert.NilError(t, err)
					_ = response.Body.Close()
					time.Sleep(5 * time.Second)
				}
				assert.Equal(t, dials.Load(), tt.dials)
			})
		})
	}
}
