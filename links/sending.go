package links

import (
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/buckthorntrack/buckthorntrack/heads"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// ErrUnusable means that the HTTP library sent the request and then chose a connection that must not carry it again.
var ErrUnusable = errors.New("connection must not carry the request again")

// Sending is a request on its way to an upstream. The HTTP library chooses the connection, and Sending decides whether it may be used.
type Sending struct {
	id     units.RequestID
	method string
	once   bool

	transfer transfer

	mu     sync.Mutex
	sent   bool
	conn   net.Conn // latest connection over which the request was sent
	use    Use
	barred bool // the connection that was chosen last was closed instead
}

// NewSending returns a request that is not sent yet.
func NewSending(id units.RequestID, method string) *Sending {
	return &Sending{id: id, method: method}
}

// Once keeps the HTTP library from sending the request again by itself once it was sent.
func (s *Sending) Once() {
	s.once = true
}

// Begin is called with the connection that the HTTP library has chosen, before anything is written. It closes the connection and returns
// false if the request must not be sent over it.
func (s *Sending) Begin(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	use, ok := Use{}, !s.sent || !s.once
	c, remembers := conn.(*Conn)
	if ok && remembers {
		use, ok = c.Begin(s.id, s.method)
	}
	s.barred = !ok
	if !ok {
		_ = conn.Close() // so that the HTTP library's write fails
		return false
	}
	if remembers {
		c.transfer.Store(&s.transfer)
	} else {
		s.transfer.begin() // its writes are not seen
	}
	s.sent, s.conn, s.use = true, conn, use
	return true
}

// Withdraw ends the sending if no bytes of the request were passed to a connection, and reports whether that is so. None can be passed on
// any more then.
func (s *Sending) Withdraw() bool {
	return s.transfer.end()
}

// Sent reports whether a connection was chosen, over which the upstream may have got bytes of the request.
func (s *Sending) Sent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// Exchange sends the request with kept, which may use an open connection. If that connection must not carry the request, it sends it with
// fresh, which opens a new one. The answer is checked as by Check.
func (s *Sending) Exchange(kept, fresh func() (*http.Response, error)) (*http.Response, error) {
	answer, err := s.Check(kept())
	s.mu.Lock()
	barred, sent := s.barred, s.sent
	s.mu.Unlock()
	if !barred {
		return answer, err
	}
	if answer != nil {
		_ = answer.Body.Close() // one too many: it was read before the connection was closed
	}
	if sent {
		return nil, ErrUnusable
	}
	return s.Check(fresh())
}

// Check returns the result of a round trip of the request. If the answer's head is malformed, it closes the connection and returns an error
// that wraps heads.ErrMalformed.
func (s *Sending) Check(answer *http.Response, err error) (*http.Response, error) {
	answer, err = heads.Checked(answer, err)
	if errors.Is(err, heads.ErrMalformed) {
		s.Close()
	}
	return answer, err
}

// Use returns the use of the connection over which the request was sent last.
func (s *Sending) Use() Use {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.use
}

// Close closes the connection over which the request was sent. Its further answers may belong to other requests than those that wait.
func (s *Sending) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		_ = s.conn.Close()
	}
}
