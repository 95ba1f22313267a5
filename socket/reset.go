package socket

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// DialFunc opens connections. It has the signature of net.Dialer.DialContext.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// ReportResets returns a dial function whose connections return the error of a broken TCP connection from Read, also if a Write got it.
// The system reports that error to one call only: a read after it returns io.EOF, as if the peer had closed the connection. An answer
// that ends with its connection would then look complete although it broke off.
func ReportResets(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		inner, ok := conn.(systemConn)
		if !ok {
			return conn, nil // no connection of the system
		}
		return &reportingConn{systemConn: inner}, nil
	}
}

// systemConn is a TCP connection of the system.
type systemConn interface {
	net.Conn
	syscall.Conn
	SetLinger(seconds int) error
}

type reportingConn struct {
	systemConn

	writing sync.Mutex // held during a write
	broken  error      // error of the connection that a write got, guarded by writing
}

// Read implements net.Conn.
func (c *reportingConn) Read(p []byte) (int, error) {
	n, err := c.systemConn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.endOfStream()
	}
	return n, err
}

// Write implements net.Conn.
func (c *reportingConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.systemConn.Write(p)
	if err != nil && breaksStream(err) {
		c.broken = err
	}
	return n, err
}

// endOfStream returns what a read reports that got io.EOF. A write that has not returned may have got the error of the connection, which
// is closed for writing then, so that the write returns soon.
func (c *reportingConn) endOfStream() error {
	if !c.writing.TryLock() {
		if c.isWritable() {
			return io.EOF
		}
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	if c.broken != nil {
		return c.broken
	}
	return io.EOF
}

// isWritable reports whether at most the peer has closed its side of the connection.
func (c *reportingConn) isWritable() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	writable := false
	err = raw.Control(func(fd uintptr) {
		state := []unix.PollFd{{Fd: int32(fd)}}
		_, pollErr := unix.Poll(state, 0)
		writable = pollErr == nil && state[0].Revents&(unix.POLLHUP|unix.POLLERR) == 0
	})
	return err == nil && writable
}

// breaksStream reports whether the error of a write says that the connection broke before the peer had closed its side. EPIPE says that
// the peer closed it before, or that a read got the error.
func breaksStream(err error) bool {
	return !errors.Is(err, syscall.EPIPE) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded)
}
