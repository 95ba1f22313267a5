package fakes

import (
	"io"
	"net"
	"sync"
	"time"
)

// DeliverArrived hands the listener at the address a connection on which all data has arrived when it is accepted, and its end as well:
// the caller has left while the process had no processor time.
func (h Host) DeliverArrived(address string, data []byte) {
	h.network.mu.Lock()
	l := h.network.listeners[address]
	h.network.mu.Unlock()
	c := &arrivedConn{data: data, local: memoryAddr(l.host), remote: memoryAddr(h.name)}
	select {
	case l.incoming <- c:
	case <-l.closed:
	}
}

// arrivedConn is a connection on which all data and the end have arrived.
type arrivedConn struct {
	local, remote net.Addr

	mu   sync.Mutex
	data []byte
}

// Read implements net.Conn.
func (c *arrivedConn) Read(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.data) == 0 {
		return 0, io.EOF
	}
	n := copy(data, c.data)
	c.data = c.data[n:]
	return n, nil
}

// Write implements net.Conn. Nobody reads.
func (c *arrivedConn) Write(data []byte) (int, error) { return len(data), nil }

// Close implements net.Conn.
func (c *arrivedConn) Close() error { return nil }

// LocalAddr implements net.Conn.
func (c *arrivedConn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *arrivedConn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn. No call blocks.
func (c *arrivedConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (c *arrivedConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (c *arrivedConn) SetWriteDeadline(time.Time) error { return nil }
