package fakes

import (
	"net"
	"sync"
)

// packetQueue bounds the datagrams that wait at one address; further ones are lost, as on a full link.
const packetQueue = 1000

// PacketNetwork is a network of datagrams in memory, which can lose them.
type PacketNetwork struct {
	mu    sync.Mutex
	conns map[string]*packetConn
	loses func(from, to string) bool
}

// NewPacketNetwork returns a network that loses nothing.
func NewPacketNetwork() *PacketNetwork {
	return &PacketNetwork{conns: map[string]*packetConn{}, loses: func(_, _ string) bool { return false }}
}

// SetLoss sets which datagrams are lost, by their addresses.
func (p *PacketNetwork) SetLoss(loses func(from, to string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loses = loses
}

// Listen opens a connection at the address.
func (p *PacketNetwork) Listen(address string) (net.PacketConn, error) {
	c := &packetConn{network: p, address: address, in: make(chan []byte, packetQueue), closed: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[address] = c
	return c, nil
}

// packetConn is one end of a network of datagrams.
type packetConn struct {
	net.PacketConn // the methods that nobody calls

	network *PacketNetwork
	address string
	in      chan []byte
	once    sync.Once
	closed  chan struct{}
}

// ReadFrom waits for a datagram.
func (c *packetConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case data := <-c.in:
		return copy(buffer, data), nil, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo sends a datagram.
func (c *packetConn) WriteTo(data []byte, to net.Addr) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	peer, ok := c.network.conns[to.String()]
	if !ok || c.network.loses(c.address, to.String()) {
		return len(data), nil
	}
	select {
	case peer.in <- append([]byte(nil), data...):
	default: // lost
	}
	return len(data), nil
}

// Close ends waiting reads.
func (c *packetConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}
