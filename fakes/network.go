package fakes

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxQueuedWrites = 64 // per end of a connection
	drainTimeout    = time.Second
)

var (
	errPartitioned = errors.New("network partition between the hosts")
	errReset       = errors.New("connection reset by peer")
	errTimedOut    = errors.New("connection timed out")
	errRefused     = errors.New("connection refused")
)

// Network is an in-memory network between named hosts that simulates network partitions.
type Network struct {
	mu         sync.Mutex
	listeners  map[string]*memoryListener
	conns      map[*memoryConn]struct{}
	partitions map[[2]string]*partition
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{
		listeners: map[string]*memoryListener{}, conns: map[*memoryConn]struct{}{}, partitions: map[[2]string]*partition{},
	}
}

// Host listens and dials on a network under the name of a host.
type Host struct {
	network *Network
	name    string
}

// Host returns the host with the given name.
func (n *Network) Host(name string) Host {
	return Host{network: n, name: name}
}

// Serve serves HTTP at the address until the returned function is called.
func (h Host) Serve(address string, handler http.Handler) (stop func(), err error) {
	listener, err := h.Listen(address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler} // needs no header timeout for in-memory clients
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener) // always ErrServerClosed
	}()
	return func() {
		_ = server.Close()
		<-done
	}, nil
}

// Listen returns a listener of the host at the address.
func (h Host) Listen(address string) (net.Listener, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if _, exists := h.network.listeners[address]; exists {
		return nil, fmt.Errorf("listen on %s: address already in use", address)
	}
	l := &memoryListener{
		network: h.network, host: h.name, address: address,
		incoming: make(chan net.Conn), closed: make(chan struct{}),
	}
	h.network.listeners[address] = l
	return l, nil
}

// Dial connects to the listener at the address, unless a network partition separates the hosts.
func (h Host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n := h.network
	n.mu.Lock()
	l, ok := n.listeners[address]
	n.mu.Unlock()
	if !ok {
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: errRefused}
	}
	if err := n.awaitDial(ctx, hostPair(h.name, l.host)); err != nil {
		return nil, err
	}
	dialed, accepted := net.Pipe()
	closedEnds := &atomic.Int32{}
	client := n.addConn(&memoryConn{Conn: dialed, network: n, local: h.name, remote: l.host, dialed: true, closedEnds: closedEnds})
	server := n.addConn(&memoryConn{Conn: accepted, network: n, local: l.host, remote: h.name, closedEnds: closedEnds})
	select {
	case l.incoming <- server:
		return client, nil
	case <-l.closed:
		client.abort()
		server.abort()
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: errRefused}
	case <-ctx.Done():
		client.abort()
		server.abort()
		return nil, ctx.Err()
	}
}

// addConn registers the connection and starts its writer.
func (n *Network) addConn(c *memoryConn) *memoryConn {
	c.queue = make(chan []byte, maxQueuedWrites)
	c.closed = make(chan struct{})
	n.mu.Lock()
	n.conns[c] = struct{}{}
	n.mu.Unlock()
	c.wg.Go(c.writeLoop)
	return c
}

// hostPair returns the same key for both orders of two hosts.
func hostPair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// memoryListener accepts connections at one address of a host.
type memoryListener struct {
	network  *Network
	host     string
	address  string
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept waits for a connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close refuses further connections and frees the address.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
	})
	return nil
}

// Addr returns the address of the listener.
func (l *memoryListener) Addr() net.Addr {
	return memoryAddr(l.address)
}

type memoryAddr string

// Network implements net.Addr.
func (memoryAddr) Network() string { return "memory" }

// String implements net.Addr.
func (a memoryAddr) String() string { return string(a) }
