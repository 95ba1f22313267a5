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
	connBuffer = 64 // writes
	drainTime  = time.Second
)

var (
	errCut     = errors.New("hosts are cut off from each other")
	errRefused = errors.New("connection refused")
)

// Network is a network in memory between named hosts, which can be cut off from each other.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	conns     map[*memoryConn]struct{}
	cuts      map[[2]string]bool
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{
		listeners: map[string]*memoryListener{}, conns: map[*memoryConn]struct{}{}, cuts: map[[2]string]bool{},
	}
}

// Host is one host's view of a network.
type Host struct {
	network *Network
	name    string
}

// Host returns the view of the host with the name.
func (n *Network) Host(name string) Host {
	return Host{network: n, name: name}
}

// Serve serves at the host's address until the function that it returns is called.
func (h Host) Serve(address string, handler http.Handler) (stop func(), err error) {
	listener, err := h.Listen(address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler} // in memory, where no caller is slow with its header
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener) // ends with ErrServerClosed
	}()
	return func() {
		_ = server.Close()
		<-done
	}, nil
}

// SetPartition cuts two hosts off from each other, or heals the cut. Open connections between them are closed.
func (n *Network) SetPartition(a, b string, on bool) {
	n.mu.Lock()
	n.cuts[pair(a, b)] = on
	var closed []*memoryConn
	for c := range n.conns {
		if on && pair(c.local, c.remote) == pair(a, b) {
			closed = append(closed, c)
		}
	}
	n.mu.Unlock()
	for _, c := range closed {
		c.cut()
	}
}

// Listen opens a listener of the host.
func (h Host) Listen(address string) (net.Listener, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if _, taken := h.network.listeners[address]; taken {
		return nil, fmt.Errorf("listen on %s: address already in use", address)
	}
	l := &memoryListener{
		network: h.network, host: h.name, address: address,
		incoming: make(chan net.Conn), closed: make(chan struct{}),
	}
	h.network.listeners[address] = l
	return l, nil
}

// Dial connects to a listener unless the hosts are cut off from each other.
func (h Host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n := h.network
	n.mu.Lock()
	l, ok := n.listeners[address]
	cut := ok && n.cuts[pair(h.name, l.host)]
	n.mu.Unlock()
	switch {
	case !ok:
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: errRefused}
	case cut:
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: errCut}
	}
	near, far := net.Pipe()
	ours := n.track(&memoryConn{Conn: near, network: n, local: h.name, remote: l.host})
	theirs := n.track(&memoryConn{Conn: far, network: n, local: l.host, remote: h.name})
	select {
	case l.incoming <- theirs:
		return ours, nil
	case <-l.closed:
		_ = ours.Close()
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: errRefused}
	case <-ctx.Done():
		_ = ours.Close()
		return nil, ctx.Err()
	}
}

func (n *Network) track(c *memoryConn) *memoryConn {
	c.queue = make(chan []byte, connBuffer)
	c.closed = make(chan struct{})
	n.mu.Lock()
	n.conns[c] = struct{}{}
	n.mu.Unlock()
	c.wg.Go(c.pump)
	return c
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// memoryConn is one end of a connection. A few writes are buffered, as the kernel does.
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

// Write queues the data.
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

// Close sends what is queued and closes the connection.
func (c *memoryConn) Close() error {
	c.closing.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return nil
}

// cut closes the connection at once.
func (c *memoryConn) cut() {
	_ = c.Close()
	_ = c.Conn.Close()
}

// pump hands queued data to the other end.
func (c *memoryConn) pump() {
	defer func() { _ = c.Conn.Close() }()
	for {
		select {
		case data := <-c.queue:
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

// drain sends what was queued before the connection was closed.
func (c *memoryConn) drain() {
	_ = c.SetWriteDeadline(time.Now().Add(drainTime))
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

// memoryListener accepts connections of a host.
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

// Close refuses further connections.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
	})
	return nil
}

// Addr returns the address.
func (l *memoryListener) Addr() net.Addr {
	return memoryAddr(l.address)
}

type memoryAddr string

// Network returns the kind of network.
func (memoryAddr) Network() string { return "memory" }

// String returns the address.
func (a memoryAddr) String() string { return string(a) }
