package reach

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// conn is a direct connection to an engine. Its times are those of the latest tick of the network, in nanoseconds.
type conn struct {
	net.Conn
	network *Network
	engine  string
	waiting atomic.Int64 // time of the first write since bytes were read, 0 if none
	heard   atomic.Int64 // time of the last read of bytes, or of the dial
	lost    atomic.Bool
}

// track returns a new direct connection with its times.
func (n *Network) track(inner net.Conn, engine string) net.Conn {
	c := &conn{Conn: inner, network: n, engine: engine}
	c.heard.Store(n.tick.Load())
	n.conns.add(c)
	return c
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		store(&c.heard, c.network.tick.Load())
		store(&c.waiting, 0)
	}
	return n, c.explain(err)
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.waiting.Load() == 0 {
		c.waiting.Store(c.network.tick.Load())
	}
	n, err := c.Conn.Write(b)
	return n, c.explain(err)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.network.conns.remove(c)
	return c.Conn.Close()
}

// explain adds ErrPathLost to the errors of a connection that the network broke off.
func (c *conn) explain(err error) error {
	if err == nil || !c.lost.Load() || errors.Is(err, io.EOF) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrPathLost, err)
}

// breakOff ends the connection. It resets a TCP connection, so that bytes that a partition holds up are not delivered later.
func (c *conn) breakOff() {
	c.lost.Store(true)
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = l.SetLinger(0)
	}
	_ = c.Close()
}

// store avoids writes to a shared cache line that change nothing.
func store(v *atomic.Int64, value int64) {
	if v.Load() != value {
		v.Store(value)
	}
}

// awayConn is a connection through another process.
type awayConn struct {
	net.Conn
	network *Network
	closed  atomic.Bool
}

// Close implements net.Conn.
func (c *awayConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.network.away.Add(-1)
	}
	return c.Conn.Close()
}

// listen returns the silence of engines with unanswered bytes. latest is when a connection was heard that is closed now.
func listen(conns []*conn, latest, now int64) silence {
	earliest := now
	engines := map[string]struct{}{}
	for _, c := range conns {
		latest = max(latest, c.heard.Load())
		if waiting := c.waiting.Load(); waiting != 0 {
			earliest = min(earliest, waiting)
			if time.Duration(now-waiting) >= silenceAge {
				engines[c.engine] = struct{}{}
			}
		}
	}
	return silence{engines: len(engines), age: time.Duration(now - max(latest, earliest))}
}

// brokenOffAfter is how long an isolated process waits before it breaks off silent connections although new ones are
// refused rather than hang: refusals tell nothing about connections that are open.
const brokenOffAfter = time.Second

// hopeless returns the connections that a process breaks off that has been isolated for a time: all if none was heard since
// the suspicion began, and none otherwise, as open connections then survive the partition. latest is when a connection was
// heard that is closed now.
func hopeless(conns []*conn, latest, suspectedAt int64, hangs bool, isolatedFor time.Duration) []*conn {
	for _, c := range conns {
		latest = max(latest, c.heard.Load())
	}
	if latest > suspectedAt || !hangs && isolatedFor < brokenOffAfter {
		return nil
	}
	return conns
}
