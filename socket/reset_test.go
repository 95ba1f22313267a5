package socket_test

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/socket"
)

// connect returns both ends of a TCP connection.
func connect(t *testing.T, dial func(ctx context.Context, network, address string) (net.Conn, error)) (near net.Conn, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	near, err = dial(t.Context(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = near.Close() })
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return near, accepted.(*net.TCPConn)
}

// upload writes until a write fails, and returns its error.
func upload(conn net.Conn) <-chan error {
	failed := make(chan error, 1)
	go func() {
		part := make([]byte, 1<<20)
		for {
			if _, err := conn.Write(part); err != nil {
				failed <- err
				return
			}
		}
	}()
	return failed
}

// reset resets the connection.
func reset(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	assert.NilError(t, conn.SetLinger(0))
	assert.NilError(t, conn.Close())
}

// TestResetThatAWriteMetIsReportedToTheReader checks that a connection which is reset does not read as one that its peer has closed.
func TestResetThatAWriteMetIsReportedToTheReader(t *testing.T) {
	near, far := connect(t, socket.System().Dial)
	failed := upload(near)
	_, err := far.Write([]byte("part"))
	assert.NilError(t, err)
	data := make([]byte, 4)
	_, err = io.ReadFull(near, data)
	assert.NilError(t, err)
	reset(t, far)
	assert.ErrorIs(t, <-failed, syscall.ECONNRESET)
	_, err = near.Read(data)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}

// TestEndOfAPeerThatReadsOnIsAnEnd checks that the end of what the peer sends is reported at once, also while a write waits for the peer to
// read, and that the write goes on.
func TestEndOfAPeerThatReadsOnIsAnEnd(t *testing.T) {
	near, far := connect(t, socket.System().Dial)
	const size = 32 << 20 // more than the buffers of both ends hold
	written := make(chan error, 1)
	go func() {
		_, err := near.Write(make([]byte, size))
		written <- err
	}()
	_, err := io.ReadFull(far, make([]byte, 1)) // the write has begun
	assert.NilError(t, err)
	_, err = far.Write([]byte("whole"))
	assert.NilError(t, err)
	assert.NilError(t, far.CloseWrite())
	data, err := io.ReadAll(near)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "whole")
	_, err = io.CopyN(io.Discard, far, size-1)
	assert.NilError(t, err)
	assert.NilError(t, <-written)
}

// TestEndBeforeAResetIsAnEnd checks that a peer which has closed its side and then resets the connection has ended what it sends.
func TestEndBeforeAResetIsAnEnd(t *testing.T) {
	near, far := connect(t, socket.System().Dial)
	_, err := far.Write([]byte("whole"))
	assert.NilError(t, err)
	assert.NilError(t, far.Close()) // what arrives from now on is answered with a reset
	assert.ErrorIs(t, <-upload(near), syscall.EPIPE)
	data, err := io.ReadAll(near)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "whole")
}

// lateConn is a connection whose failed write returns late.
type lateConn struct {
	*net.TCPConn
	failed  chan error    // gets the error of the write when it happens
	ended   chan error    // gets the error of a read
	proceed chan struct{} // lets the write return
}

func (c *lateConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err != nil {
		c.ended <- err
	}
	return n, err
}

func (c *lateConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		c.failed <- err
		<-c.proceed
	}
	return n, err
}

// TestReaderWaitsForTheWriteThatMetTheReset checks that a reader which finds the end of the stream before the failed write has returned is
// told of the reset.
func TestReaderWaitsForTheWriteThatMetTheReset(t *testing.T) {
	late := &lateConn{failed: make(chan error, 1), ended: make(chan error, 1), proceed: make(chan struct{})}
	dial := socket.ReportResets(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		late.TCPConn = conn.(*net.TCPConn)
		return late, nil
	})
	near, far := connect(t, dial)
	failed := upload(near)
	_, err := io.ReadFull(far, make([]byte, 1)) // the write has begun
	assert.NilError(t, err)
	reset(t, far)
	assert.ErrorIs(t, <-late.failed, syscall.ECONNRESET)
	read := make(chan error, 1)
	go func() {
		_, err := near.Read(make([]byte, 1))
		read <- err
	}()
	assert.ErrorIs(t, <-late.ended, io.EOF) // as the system reports the reset once
	close(late.proceed)
	assert.ErrorIs(t, <-read, syscall.ECONNRESET)
	assert.ErrorIs(t, <-failed, syscall.ECONNRESET)
}
