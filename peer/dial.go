package peer

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/coder/websocket"

	"github.com/buckthorntrack/buckthorntrack/wire"
)

type redial struct {
	dialing bool
	after   time.Time
	delay   time.Duration
}

// wanted returns the contacts to dial now.
func (m *Mesh) wanted() []Contact {
	m.mu.Lock()
	defer m.mu.Unlock()
	contacts := make([]Contact, 0, len(m.directory))
	for _, c := range m.directory {
		contacts = append(contacts, c)
	}
	now := m.clock()
	var due []Contact
	for _, c := range Neighbours(Contact{Name: m.name, Place: m.place}, contacts) {
		if m.linkedTo(c) || !m.due(c.Address, now) {
			continue
		}
		m.redials[c.Address].dialing = true
		due = append(due, c)
	}
	return due
}

func (m *Mesh) linkedTo(c Contact) bool {
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

func (m *Mesh) due(address string, now time.Time) bool {
	r, ok := m.redials[address]
	if !ok {
		m.redials[address] = &redial{delay: firstRedial}
		return true
	}
	return !r.dialing && !now.Before(r.after)
}

func (m *Mesh) dial(ctx context.Context, c Contact) {
	link, err := m.connect(ctx, c)
	m.mu.Lock()
	r := m.redials[c.Address]
	r.dialing = false
	r.after = m.clock().Add(r.delay)
	r.delay = min(2*r.delay, maxRedial)
	if err == nil {
		r.delay = firstRedial
	}
	m.mu.Unlock()
	if err != nil {
		m.log.Debug().Str("address", c.Address).Err(err).Msg("peer: dial failed")
		return
	}
	m.keep(link)
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
	hello, err := m.greet(ctx, conn)
	if err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	return newLink(conn, hello, true, m), nil
}

// greet exchanges the first frames.
func (m *Mesh) greet(ctx context.Context, conn *websocket.Conn) (wire.Hello, error) {
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
