package front

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
	"github.com/buckthorntrack/buckthorntrack/proxy"
)

func TestRenewedTransportUsesNoEarlierConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const address = "10.8.0.1:80"
		network := fakes.NewNetwork()
		release := make(chan struct{})
		var open atomic.Int64
		stop, err := network.Host("engine").Serve(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "begun")
			_ = http.NewResponseController(w).Flush()
			if r.URL.Path == "/long" {
				<-release
			}
		}))
		assert.NilError(t, err)
		defer stop()
		var dials atomic.Int64
		dial := func(ctx context.Context, kind, address string) (net.Conn, error) {
			dials.Add(1)
			open.Add(1)
			c, err := network.Host("front").Dial(ctx, kind, address)
			return &countedConn{Conn: c, open: &open}, err
		}
		transport := newRenewedTransport(proxy.PoolOptions{Dial: dial, LongestIdle: 2 * time.Second, Clock: time.Now})
		client := &http.Client{Transport: transport}
		call := func(path string) *http.Response {
			response, err := client.Get("http://" + address + path)
			assert.NilError(t, err)
			return response
		}
		finish := func(response *http.Response) {
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "begun")
			_ = response.Body.Close()
			synctest.Wait()
		}
		long := call("/long")
		finish(call("/"))
		finish(call("/"))
		assert.Equal(t, dials.Load(), int64(2), "a connection is used again")
		transport.renew()
		synctest.Wait()
		assert.Equal(t, open.Load(), int64(1), "an idle connection closes at once")
		finish(call("/"))
		assert.Equal(t, dials.Load(), int64(3))
		close(release)
		finish(long)
		finish(call("/"))
		assert.Equal(t, dials.Load(), int64(3))
		assert.Equal(t, open.Load(), int64(1), "a connection in use closes after its request")
		transport.closeIdle()
		time.Sleep(time.Second)
		assert.Equal(t, open.Load(), int64(0))
	})
}

// countedConn is counted while it is open.
type countedConn struct {
	net.Conn

	open   *atomic.Int64
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}
