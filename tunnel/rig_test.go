package tunnel_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/tunnel"
)

const (
	processAddress = "10.0.0.1:90"
	engineAddress  = "10.8.0.1:80"
	// promptly bounds how long one end outlives the other.
	promptly = 100 * time.Millisecond
)

// rig is a test fixture: a client and a process that passes connections on, in a network in memory.
type rig struct {
	t       *testing.T
	network *fakes.Network
	client  *tunnel.Client
	server  *tunnel.Server
	// close ends the server.
	close    func()
	isolated atomic.Bool
	dials    atomic.Int64 // of engines by the process
	retired  atomic.Int64 // connections that the process retired
	// dial replaces the dial of the engine if it is set.
	dial func(ctx context.Context) (net.Conn, error)
}

// inRig runs a test in virtual time. At its end it checks that no connection is left.
func inRig(t *testing.T, limit int, test func(t *testing.T, r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &rig{t: t, network: fakes.NewNetwork()}
		r.server, r.close = tunnel.NewServer(tunnel.ServerOptions{
			Key: "test", Dial: r.dialEngine, Allowed: func(address string) bool { return address == engineAddress },
			Ready: func() bool { return !r.isolated.Load() }, Limit: limit, Log: zerolog.Nop(),
		})
		stop, err := r.network.Host("process").Serve(processAddress, r.server)
		assert.NilError(t, err)
		defer stop()
		defer r.close()
		client, closeClient := tunnel.NewClient(tunnel.ClientOptions{
			Key: "test", Dial: r.network.Host("front").Dial, OnRetire: func() { r.retired.Add(1) },
		})
		defer closeClient()
		r.client = client
		test(t, r)
		time.Sleep(promptly)
		assert.Equal(t, r.client.Open(), int64(0))
		assert.Equal(t, r.server.Served(), int64(0))
	})
}

func (r *rig) dialEngine(ctx context.Context, network, address string) (net.Conn, error) {
	r.dials.Add(1)
	if r.dial != nil {
		return r.dial(ctx)
	}
	return r.network.Host("process").Dial(ctx, network, address)
}

// listen returns the engine's connections in the order in which they are opened, and a function that closes them.
func (r *rig) listen() (conns <-chan net.Conn, stop func()) {
	l, err := r.network.Host("engine").Listen(engineAddress)
	assert.NilError(r.t, err)
	accepted := make(chan net.Conn, 16)
	done := make(chan struct{})
	var all []net.Conn
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			all = append(all, c)
			accepted <- c
		}
	}()
	return accepted, func() {
		_ = l.Close()
		<-done
		for _, c := range all {
			_ = c.Close()
		}
	}
}

// connect returns both ends of a connection to the engine.
func (r *rig) connect(engine <-chan net.Conn) (near, far net.Conn) {
	near, err := r.client.Dial(r.t.Context(), processAddress, engineAddress)
	assert.NilError(r.t, err)
	return near, <-engine
}

// serveHTTP serves an engine and returns a client that reaches it through the process.
func (r *rig) serveHTTP(handler http.HandlerFunc) (client *http.Client, stop func()) {
	stopServer, err := r.network.Host("engine").Serve(engineAddress, handler)
	assert.NilError(r.t, err)
	transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return r.client.Dial(ctx, processAddress, address)
	}}
	return &http.Client{Transport: transport}, func() {
		transport.CloseIdleConnections()
		stopServer()
	}
}
