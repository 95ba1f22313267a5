package fakes

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// memoryConn is one end of a connection. It buffers a limited number of writes, like the socket buffer of a kernel.
type memoryConn struct {
	net.Conn

	network *Network
	local   string
	remote  string
	dialed  bool // this end opened the connection
	queue   chan []byte
	closed  chan struct{}
	closing sync.Once
	// closedHere says that this end was closed by its owner.
	closedHere atomic.Bool
	closedEnds *atomic.Int32         // of both ends
	failed     atomic.Pointer[error] // why the connection broke off, nil if it did not
	wg         conc.WaitGroup
}

// RemoteAddr returns the name of the other host.
func (c *memoryConn) RemoteAddr() net.Addr { return memoryAddr(c.remote) }

// Read implements net.Conn.
func (c *memoryConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if err == nil {
		return n, nil
	}
	if failed := c.failed.Load(); failed != nil {
		return n, &net.OpError{Op: "read", Net: "memory", Err: *failed}
	}
	if c.closedHere.Load() {
		return n, net.ErrClosed
	}
	return n, err
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

// Close refuses further reads and writes. The other end learns of it when the queued data is sent or the drain timeout ends.
func (c *memoryConn) Close() error {
	if !c.closedHere.Swap(true) && c.closedEnds.Add(1) == 2 {
		_ = c.SetWriteDeadline(time.Now().Add(drainTimeout)) // nobody reads what either end is still writing
	}
	_ = c.SetReadDeadline(time.Unix(1, 0)) // ends reads before the queued data is sent
	c.endWrites()
	return nil
}

// endWrites refuses further writes.
func (c *memoryConn) endWrites() {
	c.closing.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
}

// timeOut breaks off this end of the connection, as the kernel does when its data is not acknowledged for long.
func (c *memoryConn) timeOut() {
	c.failed.Store(&errTimedOut)
	_ = c.Close()
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
			c.network.awaitDelivery(hostPair(c.local, c.remote))
			if c.failed.Load() != nil {
				return
			}
			if _, err := c.Conn.Write(data); err != nil {
				c.endWrites()
				return
			}
		case <-c.closed:
			c.network.awaitDelivery(hostPair(c.local, c.remote))
			if c.failed.Load() == nil {
				c.drain()
			}
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
