package peer

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/coder/websocket"

	"github.com/buckthorntrack/buckthorntrack/wire"
)

// dialState is the backoff state of an address.
type dialState struct {
	dialing   bool
	notBefore time.Time // earliest time of the next attempt
	backoff   time.Duration
}

// contactsToDial returns the neighbours that are not linked and whose backoff has ended, and marks them as being
// dialed.
func (m *Mesh) contactsToDial() []Contact {
	m.mu.Lock()
	defer m.mu.Unlock()
	contacts := make([]Contact, 0, len(m.contacts))
	for _, c := range m.contacts {
		contacts = append(contacts, c)
	}
	now := m.clock()
	var due []Contact
	for _, c := range Neighbours(Contact{Name: m.name, Place: m.place}, contacts) {
		if m.isLinked(c) || !m.mayDial(c.Address, now) {
			continue
		}
		m.dialStates[c.Address].dialing = true
		due = append(due, c)
	}
	return due
}

func (m *Mesh) isLinked(c Contact) bool {
	if _, ok := m.links[c.Name]; ok {
		return true
	}
	for _, l := range m.links {
		if l.peer.Address == c.Address {
			return true
		}
	}
	return false
}

func (m *Mesh) mayDial(address string, now time.Time) bool {
	s, ok := m.dialStates[address]
	if !ok {
		m.dialStates[address] = &dialState{backoff: minDialBackoff}
		return true
	}
	return !s.dialing && !now.Before(s.notBefore)
}

// dial connects to a contact and updates its backoff.
func (m *Mesh) dial(ctx context.Context, c Contact) {
	link, err := m.connect(ctx, c)
	m.mu.Lock()
	s := m.dialStates[c.Address]
	s.dialing = false
	s.notBefore = m.clock().Add(s.backoff)
	s.backoff = min(2*s.backoff, maxDialBackoff)
	if err == nil {
		s.backoff = minDialBackoff
	}
	m.mu.Unlock()
	if err != nil {
		m.log.Debug().Str("address", c.Address).Err(err).Msg("peer: dial failed")
		return
	}
	m.addLink(link)
}

func (m *Mesh) connect(ctx context.Context, c Contact) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, response, err := websocket.Dial(ctx, "ws://"+c.Address+Path, &websocket.DialOptions{
		HTTPClient: m.client,
		HTTPHeader: http.Header{keyHeader: {m.options.Key}},
	})
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("dial peer %s: %w", c.Address, err)
	}
	hello, err := m.handshake(ctx, conn)
	if err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	return newLink(conn, hello, true, m), nil
}

// handshake sends the local hello frame and returns the peer's.
func (m *Mesh) handshake(ctx context.Context, conn *websocket.Conn) (wire.Hello, error) {
	own := wire.Frame{Hello: &wire.Hello{Name: string(m.name), Place: string(m.place), Address: m.options.Address}}
	data, err := encoder.Marshal(own)
	if err != nil {
		return wire.Hello{}, fmt.Errorf("encode hello: %w", err)
	}
	if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return wire.Hello{}, fmt.Errorf("send hello: %w", err)
	}
	_, data, err = conn.Read(ctx)
	if err != nil {
		return wire.Hello{}, fmt.Errorf("read hello: %w", err)
	}
	var f wire.Frame
	if err := decoder.Unmarshal(data, &f); err != nil || f.Hello == nil {
		return wire.Hello{}, fmt.Errorf("read hello: frame is malformed")
	}
	return *f.Hello, nil
}
