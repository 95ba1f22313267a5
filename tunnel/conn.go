package tunnel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/coder/websocket"

	"github.com/buckthorntrack/buckthorntrack/reach"
)

// conn is a connection to an engine through another process. Like any net.Conn it can be read on after a read deadline; a write
// deadline that passes during a write breaks the connection.
type conn struct {
	ws      *websocket.Conn
	process string
	engine  string

	closed  chan struct{}
	closing sync.Once
	onClose func()
	// onRetire is called when the process asks that the connection be used for no further request.
	onRetire func()

	chunks  chan []byte // closed after endErr is set
	endErr  error
	readMu  sync.Mutex
	rest    []byte // of the last chunk
	writeMu sync.Mutex

	readDeadline  deadline
	writeDeadline deadline
}

func newConn(ws *websocket.Conn, process, engine string, onRetire, onClose func()) *conn {
	c := &conn{
		ws: ws, process: process, engine: engine, closed: make(chan struct{}), onClose: onClose, onRetire: onRetire,
		chunks: make(chan []byte), readDeadline: newDeadline(), writeDeadline: newDeadline(),
	}
	go c.receive()
	return c
}

// receive passes the bytes from the process to Read until the tunnel ends.
func (c *conn) receive() {
	defer close(c.chunks)
	// While a reader uses one buffer, the other is filled. A chunk is only taken once the one before is used up.
	var buffers [2][chunkBytes]byte
	for i := 0; ; {
		kind, message, err := c.ws.Reader(context.Background())
		if err != nil {
			c.endErr = c.endError(err)
			return
		}
		if kind == websocket.MessageText {
			c.onRetire()
		}
		for err == nil {
			var n int
			n, err = message.Read(buffers[i][:])
			if n == 0 {
				continue
			}
			select {
			case c.chunks <- buffers[i][:n]:
				i = 1 - i
			case <-c.closed:
				c.endErr = net.ErrClosed
				return
			}
		}
		if !errors.Is(err, io.EOF) {
			c.endErr = c.endError(err)
			return
		}
	}
}

// endError returns the error of reads after the end of the tunnel. It hides the cause from errors.Is, as an end of the tunnel's
// own stream must not count as an end of the engine's.
func (c *conn) endError(err error) error {
	switch websocket.CloseStatus(err) {
	case websocket.StatusNormalClosure:
		return io.EOF
	case statusEngineFailed:
		return fmt.Errorf("tunnel: engine %s failed: %w", c.engine, syscall.ECONNRESET)
	case statusPathLost:
		return fmt.Errorf("%w: process %s no longer reaches engine %s", reach.ErrPathLost, c.process, c.engine)
	default:
		return fmt.Errorf("%w: connection to process %s failed: %s", reach.ErrPathLost, c.process, err.Error())
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	passed := c.readDeadline.wait()
	switch {
	case isDone(c.closed):
		return 0, net.ErrClosed
	case isDone(passed):
		return 0, os.ErrDeadlineExceeded
	case len(p) == 0:
		return 0, nil
	}
	if len(c.rest) == 0 {
		select {
		case chunk, ok := <-c.chunks:
			if !ok {
				if isDone(c.closed) {
					return 0, net.ErrClosed
				}
				return 0, c.endErr
			}
			c.rest = chunk
		case <-passed:
			return 0, os.ErrDeadlineExceeded
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	written := 0
	for written < len(p) {
		chunk := p[written:min(written+chunkBytes, len(p))]
		if err := c.writeChunk(chunk); err != nil {
			return written, err
		}
		written += len(chunk)
	}
	return written, nil
}

func (c *conn) writeChunk(chunk []byte) error {
	if isDone(c.closed) {
		return net.ErrClosed
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	if !c.writeDeadline.bind(cancel) {
		return os.ErrDeadlineExceeded
	}
	err := c.ws.Write(ctx, websocket.MessageBinary, chunk)
	passed := c.writeDeadline.unbind()
	switch {
	case err == nil:
		return nil
	case isDone(c.closed):
		return net.ErrClosed
	case passed:
		return os.ErrDeadlineExceeded
	default:
		return fmt.Errorf("%w: connection to process %s failed: %s", reach.ErrPathLost, c.process, err.Error())
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := net.ErrClosed
	c.closing.Do(func() {
		close(c.closed)
		_ = c.ws.CloseNow()
		c.readDeadline.set(time.Time{})
		c.writeDeadline.set(time.Time{})
		c.onClose()
		err = nil
	})
	return err
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return address(c.process) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return address(c.engine) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error { return c.setDeadline(&c.readDeadline, t) }

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error { return c.setDeadline(&c.writeDeadline, t) }

func (c *conn) setDeadline(d *deadline, t time.Time) error {
	if isDone(c.closed) {
		return net.ErrClosed
	}
	d.set(t)
	return nil
}

// address is one end of a tunnel.
type address string

// Network implements net.Addr.
func (address) Network() string { return "tunnel" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

func isDone(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
