package links

import (
	"net"
	"sync"
)

// transfer tells whether bytes of a request were passed to connections.
type transfer struct {
	mu     sync.Mutex
	writes int // that passed on bytes, or whose outcome is not known yet
	ended  bool
}

// begin announces a write. It returns false after the end.
func (t *transfer) begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return false
	}
	t.writes++
	return true
}

// undo takes an announced write back that has passed on nothing.
func (t *transfer) undo() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes--
}

// end refuses all writes from now on. It returns false, and refuses none, if bytes may have been passed on.
func (t *transfer) end() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = t.ended || t.writes == 0
	return t.ended
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	t := c.transfer.Load()
	if t == nil {
		return c.Conn.Write(p)
	}
	if !t.begin() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil && c.ExactWrites {
		t.undo()
	}
	return n, err
}
