package conns

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/fakes"
)

func TestMain(m *testing.M) {
	os.Exit(fakes.RunWithFixedSeed(m, 0))
}

const address = "10.0.0.1:80"

// serve runs a test with a server at a listener of few connections.
func serve(t *testing.T, limit int, handler http.HandlerFunc, test func(l *Listener, dial func() *client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := fakes.NewNetwork()
		inner, err := network.Host("server").Listen(address)
		assert.NilError(t, err)
		l := New(inner, limit, time.Now)
		server := &http.Server{Handler: handler, ConnState: l.Track}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = server.Serve(l)
		}()
		var clients []*client
		test(l, func() *client {
			conn, err := network.Host("caller").Dial(t.Context(), "tcp", address)
			assert.NilError(t, err)
			clients = append(clients, &client{t: t, Conn: conn, reader: bufio.NewReader(conn)})
			return clients[len(clients)-1]
		})
		for _, c := range clients {
			_ = c.Close()
		}
		_ = server.Close()
		<-done
		time.Sleep(time.Second)
	})
}

// client is a connection of a caller.
type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

const requestText = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func (c *client) send(text string) {
	_, err := io.WriteString(c.Conn, text)
	assert.NilError(c.t, err)
}

// receive returns the status of the next answer, zero if the connection is closed or nothing comes.
func (c *client) receive() int {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func ok(http.ResponseWriter, *http.Request) {}

// TestLongestIdleConnectionMakesRoom guards against new callers that are not accepted while connections are idle.
func TestLongestIdleConnectionMakesRoom(t *testing.T) {
	serve(t, 2, ok, func(l *Listener, dial func() *client) {
		first, second := dial(), dial()
		for _, c := range []*client{first, second} {
			c.send(requestText)
			assert.Equal(t, c.receive(), http.StatusOK)
			time.Sleep(time.Second)
		}
		assert.Assert(t, !l.IsFull())
		third := dial()
		third.send(requestText)
		assert.Equal(t, third.receive(), http.StatusOK)
		assert.Equal(t, first.receive(), 0)
		second.send(requestText)
		assert.Equal(t, second.receive(), http.StatusOK)
		assert.Equal(t, l.Open(), 2)
	})
}

// TestListenerIsFullWhileAllConnectionsAreInUse checks that a process that accepts no connection knows it.
func TestListenerIsFullWhileAllConnectionsAreInUse(t *testing.T) {
	slow := func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) }
	serve(t, 2, slow, func(l *Listener, dial func() *client) {
		first, second := dial(), dial()
		first.send(requestText)
		second.send(requestText)
		synctest.Wait()
		assert.Assert(t, l.IsFull())
		third := dial()
		third.send(requestText)
		assert.Equal(t, third.receive(), http.StatusOK)
		assert.Assert(t, !l.IsFull())
	})
}

// TestIdleConnectionsAreClosed checks that only connections between two requests are closed.
func TestIdleConnectionsAreClosed(t *testing.T) {
	serve(t, 10, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(4 * time.Second)
		}
	}, func(l *Listener, dial func() *client) {
		idle, begun, busy, fresh := dial(), dial(), dial(), dial()
		for _, c := range []*client{idle, begun, busy} {
			c.send(requestText)
			assert.Equal(t, c.receive(), http.StatusOK)
		}
		begun.send(requestText[:5])
		busy.send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
		time.Sleep(3 * time.Second)
		l.CloseIdle(3 * time.Second)
		synctest.Wait()
		assert.Equal(t, l.Open(), 3)
		assert.Equal(t, idle.receive(), 0)
		begun.send(requestText[5:])
		assert.Equal(t, begun.receive(), http.StatusOK)
		assert.Equal(t, busy.receive(), http.StatusOK)
		fresh.send(requestText)
		assert.Equal(t, fresh.receive(), http.StatusOK)
	})
}
