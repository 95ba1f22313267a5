// Package peer connects processes with one another, to share state and pass on calls.
package peer

import (
	"context"
	"crypto/subtle"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// Path is the HTTP path at which a process accepts links.
	Path = "/peer"
	// MemberPrefix is the key prefix of the table entries by which processes announce themselves.
	MemberPrefix = "member/"
	// LostPrefix is the key prefix of the table entries that report lost links.
	LostPrefix = "lost/"

	keyHeader        = "Authorization"
	handshakeTimeout = 3 * time.Second
	// configRequestTimeout is the time after which an unanswered request may be repeated at another peer.
	configRequestTimeout = 500 * time.Millisecond
	minDialBackoff       = 500 * time.Millisecond
	maxDialBackoff       = 2 * time.Second
)

// ConfigStore holds the configuration that peers exchange.
type ConfigStore interface {
	// Revision returns the configuration revision in force.
	Revision() units.Revision
	// Heard receives the revision that a peer has in force.
	Heard(revision units.Revision)
	// Folder returns the configuration files in force.
	Folder() wire.ConfigFolder
	// Offer receives a configuration from a peer. It may be older than the one in force, or invalid.
	Offer(f wire.ConfigFolder)
}

// Options configures a Mesh.
type Options struct {
	Name       units.ProcessName
	Place      units.PlaceName
	Address    string // at which this process accepts links
	Key        string // shared by all processes
	Seeds      []string
	Interval   time.Duration // between heartbeats
	Timeout    time.Duration // time without heartbeats after which a link is closed
	Dial       func(ctx context.Context, network, address string) (net.Conn, error)
	Clock      units.Clock
	Log        zerolog.Logger
	Config     ConfigStore
	Handler    Handler
	OnLinkLost func(name units.ProcessName) // called when a link is lost, may be nil
	IsGateway  func() bool                  // whether to send global entries to other zones, nil means always
}

// Mesh maintains links to a few peers in each availability zone.
type Mesh struct {
	Traffic Traffic

	name    units.ProcessName
	place   units.PlaceName
	options Options
	clock   units.Clock
	log     zerolog.Logger
	config  ConfigStore
	handler Handler
	table   *Table
	client  *http.Client
	wg      conc.WaitGroup

	mu         sync.Mutex
	links      map[units.ProcessName]*Link
	contacts   map[string]Contact // by address
	dialStates map[string]*dialState
	closed     bool

	requested   units.Revision // revision of the latest configuration request
	requestedAt time.Time

	gateway atomic.Bool // whether global entries are sent to other availability zones
	tick    int
}

// Contact is a process to which a link may be dialed.
type Contact struct {
	Name    units.ProcessName // empty for a seed before its first link
	Place   units.PlaceName
	Address string
}

// New returns a Mesh without links, and a function that closes it.
func New(o Options) (*Mesh, func()) {
	transport := &http.Transport{DialContext: o.Dial}
	m := &Mesh{
		name: o.Name, place: o.Place, options: o, clock: o.Clock, log: o.Log, config: o.Config, handler: o.Handler,
		table: NewTable(o.Clock), client: &http.Client{Transport: transport},
		links: map[units.ProcessName]*Link{}, contacts: map[string]Contact{}, dialStates: map[string]*dialState{},
	}
	for _, seed := range o.Seeds {
		m.contacts[seed] = Contact{Address: seed}
	}
	return m, func() {
		m.closeLinks()
		m.wg.Wait()
		transport.CloseIdleConnections()
	}
}

// Table returns the table that processes share over the mesh.
func (m *Mesh) Table() *Table {
	return m.table
}

// Run dials neighbours, sends heartbeats and closes links that time out, until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	m.maintain(ctx)
	wait.Every(ctx, m.options.Interval, func() { m.maintain(ctx) })
}

// AddContact adds a process to the contacts, or replaces the contact with the same address.
func (m *Mesh) AddContact(c Contact) {
	if c.Address == "" || c.Address == m.options.Address {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.contacts[c.Address] = c
}

// Links returns the open links, sorted by name.
func (m *Mesh) Links() []*Link {
	m.mu.Lock()
	defer m.mu.Unlock()
	links := make([]*Link, 0, len(m.links))
	for _, l := range m.links {
		links = append(links, l)
	}
	slices.SortFunc(links, func(a, b *Link) int { return compareNames(a.Name(), b.Name()) })
	return links
}

// startConfigRequest reports whether to request the revision now, and records the request. It returns false while an
// earlier request for this or a newer revision has not timed out.
func (m *Mesh) startConfigRequest(revision units.Revision) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	if revision <= m.requested && now.Sub(m.requestedAt) < configRequestTimeout {
		return false
	}
	m.requested, m.requestedAt = revision, now
	return true
}

// Flush sends changes on all links without waiting for the next heartbeat.
func (m *Mesh) Flush() {
	m.sendHeartbeats(func(*Link) bool { return false })
}

// ServeHTTP accepts a link from a peer that sends the shared key.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := []byte(r.Header.Get(keyHeader))
	if r.URL.Path != Path || subtle.ConstantTimeCompare(key, []byte(m.options.Key)) != 1 {
		http.Error(w, "not a peer", http.StatusForbidden)
		return
	}
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), handshakeTimeout)
	defer cancel()
	hello, err := m.handshake(ctx, conn)
	if err != nil {
		_ = conn.CloseNow()
		return
	}
	m.addLink(newLink(conn, hello, false, m))
}

// maintain runs once per heartbeat interval.
func (m *Mesh) maintain(ctx context.Context) {
	m.table.expire()
	m.addMemberContacts()
	m.gateway.Store(m.options.IsGateway == nil || m.options.IsGateway())
	for _, c := range m.contactsToDial() {
		m.wg.Go(func() { m.dial(ctx, c) })
	}
	for _, l := range m.Links() {
		if l.sinceHeartbeat() > l.timeout() {
			m.log.Info().Str("peer", l.peer.Name).Msg("peer: link timed out and is closed")
			l.close()
		}
	}
	m.tick++
	m.sendHeartbeats(func(l *Link) bool { return l.heartbeatDue(m.tick) })
}

// sendHeartbeats sends a heartbeat on each link that is due or has changes to send.
func (m *Mesh) sendHeartbeats(due func(l *Link) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.sendHeartbeat(due(l))
	}
}

// addMemberContacts adds the processes that are announced in the table to the contacts.
func (m *Mesh) addMemberContacts() {
	for _, v := range m.table.List(MemberPrefix) {
		var member wire.Member
		if v.Decode(&member) == nil {
			name := units.ProcessName(v.Key[len(MemberPrefix):])
			m.AddContact(Contact{Name: name, Place: units.PlaceName(member.Place), Address: member.Address})
		}
	}
}

// addLink runs a new link, or closes it if the existing link to the same peer is to be kept.
func (m *Mesh) addLink(l *Link) {
	m.mu.Lock()
	old := m.links[l.Name()]
	if m.closed || l.Name() == m.name || (old != nil && m.shouldKeep(old)) {
		m.mu.Unlock()
		_ = l.conn.CloseNow()
		return
	}
	m.links[l.Name()] = l
	m.mu.Unlock()
	if old != nil {
		old.close()
	}
	m.AddContact(Contact{Name: l.Name(), Place: l.Place(), Address: l.peer.Address})
	m.log.Info().Str("peer", l.peer.Name).Str("place", l.peer.Place).Msg("peer: link is open")
	m.wg.Go(func() {
		l.run()
		m.removeLink(l)
	})
	l.sendHeartbeat(true)
}

// shouldKeep reports whether an existing link is kept over a new one to the same peer: it was dialed by the process
// with the smaller name, is open, and has had a recent heartbeat. The rule makes both ends keep the same link.
func (m *Mesh) shouldKeep(l *Link) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	return l.dialed == (m.name < l.Name()) && l.sinceHeartbeat() < l.timeout()/2
}

// removeLink removes a closed link and reports its loss, unless it was replaced or the mesh is closed.
func (m *Mesh) removeLink(l *Link) {
	m.mu.Lock()
	current := m.links[l.Name()] == l
	if current {
		delete(m.links, l.Name())
	}
	closed := m.closed
	m.mu.Unlock()
	if !current || closed {
		return
	}
	m.log.Info().Str("peer", l.peer.Name).Msg("peer: link is lost")
	if m.options.OnLinkLost != nil {
		m.options.OnLinkLost(l.Name())
	}
}

func (m *Mesh) closeLinks() {
	m.mu.Lock()
	m.closed = true
	links := m.links
	m.links = map[units.ProcessName]*Link{}
	m.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}
