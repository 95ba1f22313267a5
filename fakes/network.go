package fakes

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	maxQueuedWrites = 64 // per end of a connection
	drainTimeout    = time.Second
)

var (
	errPartitioned = errors.New("network partition between the hosts")
	errRefused     = errors.New("connection refused")
)

// Network is an in-memory network between named hosts that simulates network partitions.
type Network struct {
	mu         sync.Mutex
	listeners  map[string]*memoryListener
	conns      map[*memoryConn]struct{}
	partitions map[[2]string]bool
	silences   map[[2]string]chan struct{} // closed when the silence ends
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{
		listeners: map[string]*memoryListener{}, conns: map[*memoryConn]struct{}{}, partitions: map[[2]string]bool{},
		silences: map[[2]string]chan struct{}{},
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

// SetPartition starts or ends a network partition between two hosts. Starting one closes the open connections between
// them.
func (n *Network) SetPartition(a, b string, on bool) {
	n.mu.Lock()
	n.partitions[hostPair(a, b)] = on
	var affected []*memoryConn
	for c := range n.conns {
		if on && hostPair(c.local, c.remote) == hostPair(a, b) {
			affected = append(affected, c)
		}
	}
	n.mu.Unlock()
	for _, c := range affected {
		c.abort()
	}
}

// SetSilence starts or ends a partition between two hosts that no error shows: connections stay open and deliver nothing, and
// new ones are not established. When it ends, the data that was sent meanwhile arrives.
func (n *Network) SetSilence(a, b string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	ended, silent := n.silences[hostPair(a, b)]
	switch {
	case on && !silent:
		n.silences[hostPair(a, b)] = make(chan struct{})
	case !on && silent:
		close(ended)
		delete(n.silences, hostPair(a, b))
	}
}

// silence returns a channel that is closed when the silence between two hosts ends, nil if there is none.
func (n *Network) silence(a, b string) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silences[hostPair(a, b)]
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
	partitioned := ok && n.partitions[hostPair(h.name, l.host)]
	n.mu.Unlock()
	switch {
	case !ok:
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: errRefused}
	case partitioned:
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: errPartitioned}
	}
	if ended := n.silence(h.name, l.host); ended != nil {
		select {
		case <-ended:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	dialed, accepted := net.Pipe()
	client := n.addConn(&memoryConn{Conn: dialed, network: n, local: h.name, remote: l.host})
	server := n.addConn(&memoryConn{Conn: accepted, network: n, local: l.host, remote: h.name})
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

// memoryConn is one end of a connection. It buffers a limited number of writes, like the socket buffer of a kernel.
type memoryConn struct {
	net.Conn

	network *Network
	local   string
	remote  string
	queue   chan []byte
	closed  chan struct{}
	closing sync.Once
	wg      conc.WaitGroup
}

// Write queues a copy of the data, and blocks while the queue is full.
func (c *memoryConn) Write(data []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	select {
	case c.queue <- bytes.Clone(data):
		return len(data), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Close refuses further writes. The connection closes when the queued data is sent or the drain timeout ends.
func (c *memoryConn) Close() error {
	c.closing.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return nil
}

// abort closes the connection without sending the queued data.
func (c *memoryConn) abort() {
	_ = c.Close()
	_ = c.Conn.Close()
}

// writeLoop sends the queued data to the other end until the connection is closed.
func (c *memoryConn) writeLoop() {
	defer func() { _ = c.Conn.Close() }()
	for {
		select {
		case data := <-c.queue:
			if ended := c.network.silence(c.local, c.remote); ended != nil {
				select {
				case <-ended:
				case <-c.closed:
					return
				}
			}
			if _, err := c.Conn.Write(data); err != nil {
				_ = c.Close()
				return
			}
		case <-c.closed:
			c.drain()
			return
		}
	}
}

// drain sends the data that was queued when the connection was closed.
func (c *memoryConn) drain() {
	_ = c.SetWriteDeadline(time.Now().Add(drainTimeout))
	for {
		select {
		case data := <-c.queue:
			if _, err := c.Conn.Write(data); err != nil {
				return
			}
		default:
			return
		}
	}
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
