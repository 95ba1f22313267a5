// Package peer links the processes of the system with one another.
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
	// Path is the path of the peer listener.
	Path = "/peer"
	// MemberPrefix is the prefix of the entries by which processes announce themselves.
	MemberPrefix = "member/"
	// LostPrefix is the prefix of the entries that tell of lost links.
	LostPrefix = "lost/"

	keyHeader        = "Authorization"
	handshakeTimeout = 3 * time.Second
	// askAgain is how long an asked peer has to send its configuration.
	askAgain    = 500 * time.Millisecond
	firstRedial = 500 * time.Millisecond
	maxRedial   = 2 * time.Second
)

// Folder is the configuration that peers pass on to one another.
type Folder interface {
	// Revision returns the revision in force.
	Revision() units.Revision
	// Folder returns the files in force.
	Folder() wire.Folder
	// Offer takes a configuration from a peer, which may be older or broken.
	Offer(f wire.Folder)
}

// Options are the settings and dependencies of a mesh.
type Options struct {
	Name     units.ProcessName
	Place    units.PlaceName
	Address  string // at which peers reach this process
	Key      string // shared by all processes
	Seeds    []string
	Interval time.Duration // between heartbeats
	Timeout  time.Duration // silence after which a link is closed
	Dial     func(ctx context.Context, network, address string) (net.Conn, error)
	Clock    units.Clock
	Log      zerolog.Logger
	Folder   Folder
	Handler  Handler
	Lost     func(name units.ProcessName) // called when the link to a process is lost, may be nil
	Gateway  func() bool                  // whether this process passes shared entries to other zones, nil for always
}

// Mesh keeps links to a few peers of the own availability zone and of each other one.
type Mesh struct {
	Traffic Traffic

	name    units.ProcessName
	place   units.PlaceName
	options Options
	clock   units.Clock
	log     zerolog.Logger
	folder  Folder
	handler Handler
	table   *Table
	client  *http.Client
	wg      conc.WaitGroup

	mu        sync.Mutex
	links     map[units.ProcessName]*Link
	directory map[string]Contact // by address
	redials   map[string]*redial
	closed    bool

	asked   units.Revision // revision that was asked for last
	askedAt time.Time

	gateway atomic.Bool // whether shared entries go to other availability zones over this process's links
	tick    int
}

// Contact is a process that a link may be dialed to.
type Contact struct {
	Name    units.ProcessName // empty for a seed whose name is not known yet
	Place   units.PlaceName
	Address string
}

// New returns a mesh, and a function that closes its links.
func New(o Options) (*Mesh, func()) {
	transport := &http.Transport{DialContext: o.Dial}
	m := &Mesh{
		name: o.Name, place: o.Place, options: o, clock: o.Clock, log: o.Log, folder: o.Folder, handler: o.Handler,
		table: NewTable(o.Clock), client: &http.Client{Transport: transport},
		links: map[units.ProcessName]*Link{}, directory: map[string]Contact{}, redials: map[string]*redial{},
	}
	for _, seed := range o.Seeds {
		m.directory[seed] = Contact{Address: seed}
	}
	return m, func() {
		m.closeLinks()
		m.wg.Wait()
		transport.CloseIdleConnections()
	}
}

// Table returns the state that the mesh shares.
func (m *Mesh) Table() *Table {
	return m.table
}

// Run sends heartbeats and keeps links until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	m.step(ctx)
	wait.Each(ctx, m.options.Interval, func() { m.step(ctx) })
}

// Learn adds a process to those that links may be dialed to.
func (m *Mesh) Learn(c Contact) {
	if c.Address == "" || c.Address == m.options.Address {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.directory[c.Address] = c
}

// Links returns the open links, by name.
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

// mayAsk reports whether a peer may be asked for the revision now, and notes that it is. When no answer comes in time,
// another peer is asked.
func (m *Mesh) mayAsk(revision units.Revision) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	if revision <= m.asked && now.Sub(m.askedAt) < askAgain {
		return false
	}
	m.asked, m.askedAt = revision, now
	return true
}

// Flush sends what is new on every link at once.
func (m *Mesh) Flush() {
	m.beat(func(*Link) bool { return false })
}

// ServeHTTP accepts a link from a peer.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	given := []byte(r.Header.Get(keyHeader))
	if r.URL.Path != Path || subtle.ConstantTimeCompare(given, []byte(m.options.Key)) != 1 {
		http.Error(w, "not a peer", http.StatusForbidden)
		return
	}
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), handshakeTimeout)
	defer cancel()
	hello, err := m.greet(ctx, conn)
	if err != nil {
		_ = conn.CloseNow()
		return
	}
	m.keep(newLink(conn, hello, false, m))
}

func (m *Mesh) step(ctx context.Context) {
	m.table.expire()
	m.learnMembers()
	m.gateway.Store(m.options.Gateway == nil || m.options.Gateway())
	for _, c := range m.wanted() {
		m.wg.Go(func() { m.dial(ctx, c) })
	}
	for _, l := range m.Links() {
		if l.silence() > l.timeout() {
			m.log.Info().Str("peer", l.peer.Name).Msg("peer: link is silent and gets closed")
			l.close()
		}
	}
	m.tick++
	m.beat(func(l *Link) bool { return l.isDue(m.tick) })
}

// beat sends a heartbeat on each link that is due or has news.
func (m *Mesh) beat(due func(l *Link) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.beat(due(l))
	}
}

func (m *Mesh) learnMembers() {
	for _, v := range m.table.Under(MemberPrefix) {
		var member wire.Member
		if v.Decode(&member) == nil {
			name := units.ProcessName(v.Key[len(MemberPrefix):])
			m.Learn(Contact{Name: name, Place: units.PlaceName(member.Place), Address: member.Address})
		}
	}
}

// keep runs a new link unless a better one to the same peer is open.
func (m *Mesh) keep(l *Link) {
	m.mu.Lock()
	old := m.links[l.Name()]
	if m.closed || l.Name() == m.name || (old != nil && m.prefers(old)) {
		m.mu.Unlock()
		_ = l.conn.CloseNow()
		return
	}
	m.links[l.Name()] = l
	m.mu.Unlock()
	if old != nil {
		old.close()
	}
	m.Learn(Contact{Name: l.Name(), Place: l.Place(), Address: l.peer.Address})
	m.log.Info().Str("peer", l.peer.Name).Str("place", l.peer.Place).Msg("peer: link is open")
	m.wg.Go(func() {
		l.run()
		m.drop(l)
	})
	l.beat(true)
}

// prefers reports whether the link was dialed by the process with the smaller name and still works.
func (m *Mesh) prefers(l *Link) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	return l.dialed == (m.name < l.Name()) && l.silence() < l.timeout()/2
}

func (m *Mesh) drop(l *Link) {
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
	if m.options.Lost != nil {
		m.options.Lost(l.Name())
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
