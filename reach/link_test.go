package reach

import (
	"net"
	"sync"
	"time"
)

// link is a connection from a process to an engine that answers each request after a delay.
type link struct {
	net.Conn
	node   *node // that dialed
	engine string
	peer   net.Conn
	mu     sync.Mutex
	err    error
	closed chan struct{}
}

func newLink(p *node, engine string) *link {
	near, far := net.Pipe()
	l := &link{Conn: near, node: p, engine: engine, peer: far, closed: make(chan struct{})}
	p.fleet.mu.Lock()
	p.links[l] = struct{}{}
	p.fleet.mu.Unlock()
	go l.answer()
	return l
}

// passes waits until the connection passes bytes. It returns false if the connection closes first.
func (l *link) passes() bool {
	for {
		f := l.node.fleet
		f.mu.Lock()
		c := l.node.cutFrom(l.engine)
		ok := (c == whole || c == keptLive) && f.down[l.engine] != gone
		f.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-l.closed:
			return false
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (l *link) answer() {
	defer func() { _ = l.peer.Close() }()
	question := make([]byte, 1)
	for {
		if _, err := l.peer.Read(question); err != nil || !l.passes() {
			return
		}
		select {
		case <-l.closed:
			return
		case <-time.After(l.node.fleet.delay()):
		}
		if !l.passes() {
			return
		}
		if _, err := l.peer.Write([]byte("a")); err != nil {
			return
		}
	}
}

func (l *link) Read(b []byte) (int, error) {
	n, err := l.Conn.Read(b)
	if err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.err != nil {
			return n, l.err
		}
	}
	return n, err
}

func (l *link) abort(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
		return
	default:
	}
	l.err = err
	close(l.closed)
	_ = l.Conn.Close()
}

func (l *link) Close() error {
	l.abort(net.ErrClosed)
	l.node.fleet.mu.Lock()
	defer l.node.fleet.mu.Unlock()
	delete(l.node.links, l)
	return nil
}
