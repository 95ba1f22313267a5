package fakes

import (
	"net"
	"slices"
	"sync"
	"time"
)

// maxQueuedPackets limits the unread datagrams at one address. Further ones are lost, as with a full socket buffer.
const maxQueuedPackets = 1000

// PacketNetwork is an in-memory datagram network that simulates packet loss.
type PacketNetwork struct {
	mu    sync.Mutex
	conns map[string]*packetConn
	loses func(from, to string) bool
	delay time.Duration // of each datagram
}

// NewPacketNetwork returns a network without packet loss.
func NewPacketNetwork() *PacketNetwork {
	return &PacketNetwork{conns: map[string]*packetConn{}, loses: func(_, _ string) bool { return false }}
}

// SetLoss sets the function that decides by sender and receiver address whether a datagram is lost.
func (p *PacketNetwork) SetLoss(loses func(from, to string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loses = loses
}

// SetDelay sets the time from the sending of a datagram to its arrival.
func (p *PacketNetwork) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Listen opens a connection at the address, and replaces an earlier one there.
func (p *PacketNetwork) Listen(address string) (net.PacketConn, error) {
	c := &packetConn{
		network: p, address: address, incoming: make(chan packet, maxQueuedPackets), closed: make(chan struct{}),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[address] = c
	return c, nil
}

// packet is a datagram with the address of its sender.
type packet struct {
	data []byte
	from net.Addr
}

// packetConn is the socket at one address.
type packetConn struct {
	net.PacketConn // nil; provides the methods of the interface that are never called

	network  *PacketNetwork
	address  string
	incoming chan packet
	once     sync.Once
	closed   chan struct{}
}

// ReadFrom waits for a datagram.
func (c *packetConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case p := <-c.incoming:
		return copy(buffer, p.data), p.from, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo sends a datagram. Like UDP, it does not report a loss.
func (c *packetConn) WriteTo(data []byte, to net.Addr) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	peer, ok := c.network.conns[to.String()]
	if !ok || c.network.loses(c.address, to.String()) {
		return len(data), nil
	}
	from, err := net.ResolveUDPAddr("udp4", c.address)
	if err != nil {
		return 0, err
	}
	datagram := packet{data: slices.Clone(data), from: from}
	if c.network.delay == 0 {
		peer.receive(datagram)
	} else {
		time.AfterFunc(c.network.delay, func() { peer.receive(datagram) })
	}
	return len(data), nil
}

// receive queues a datagram. It is lost if the queue is full.
func (c *packetConn) receive(datagram packet) {
	select {
	case c.incoming <- datagram:
	default:
	}
}

// Close ends pending reads with net.ErrClosed.
func (c *packetConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}
