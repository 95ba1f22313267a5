package peer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/sourcegraph/conc"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// MaxFrameBytes bounds one frame.
	MaxFrameBytes = 16 << 20
	// outFrames bounds the frames that wait to be written.
	outFrames = 1024
	// remoteBeatTicks is the number of intervals between heartbeats to other availability zones.
	remoteBeatTicks = 3
	// beatsKept bounds the remembered send times of heartbeats.
	beatsKept = 64
	// writeTimeout bounds one write.
	writeTimeout = 5 * time.Second
)

// ErrLinkClosed means that the link to the peer is gone.
var ErrLinkClosed = errors.New("link is closed")

// Traffic counts the bytes of a process's links, by kind.
type Traffic struct {
	ControlSent     atomic.Int64
	ControlReceived atomic.Int64
	WorkSent        atomic.Int64
	WorkReceived    atomic.Int64
	Dropped         atomic.Int64 // answers without a waiter, and duplicates
}

// Handler runs calls that a peer passes on.
type Handler func(ctx context.Context, c wire.Call) (engine.Answer, error)

// Link is one connection to a peer.
type Link struct {
	conn    *websocket.Conn
	peer    wire.Hello
	dialed  bool
	mesh    *Mesh
	out     chan wire.Frame
	done    chan struct{}
	closing sync.Once
	wg      conc.WaitGroup

	beating sync.Mutex // held while a heartbeat is made
	stamp   uint64     // changes of the table that were sent

	mu      sync.Mutex
	nextID  uint64
	pending map[uint64]*pending
	serving map[uint64]*serving
	beats   [beatsKept]time.Time // send times of own heartbeats by sequence
	sent    int64                // own heartbeats sent
	heard   int64                // latest heartbeat of the peer
	heardAt time.Time
	echoAt  time.Time // send time of the latest own heartbeat that the peer has received
	theirs  units.Revision
	told    units.Revision // own revision in the latest heartbeat
}

func newLink(conn *websocket.Conn, hello wire.Hello, dialed bool, m *Mesh) *Link {
	conn.SetReadLimit(MaxFrameBytes)
	return &Link{
		conn: conn, peer: hello, dialed: dialed, mesh: m,
		out: make(chan wire.Frame, outFrames), done: make(chan struct{}),
		pending: map[uint64]*pending{}, serving: map[uint64]*serving{}, heardAt: m.clock(),
	}
}

// Name returns the name of the peer.
func (l *Link) Name() units.ProcessName {
	return units.ProcessName(l.peer.Name)
}

// Place returns the peer's availability zone.
func (l *Link) Place() units.PlaceName {
	return units.PlaceName(l.peer.Place)
}

// Revision returns the revision in force at the peer.
func (l *Link) Revision() units.Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.theirs
}

// Serving returns the number of calls that run for the peer.
func (l *Link) Serving() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.serving)
}

// run reads and writes frames until the link fails or closes.
func (l *Link) run() {
	l.wg.Go(l.write)
	l.read()
	l.close()
	l.wg.Wait()
}

func (l *Link) close() {
	l.closing.Do(func() {
		close(l.done)
		_ = l.conn.CloseNow()
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, p := range l.pending {
			p.fail(linkFault())
		}
		for _, s := range l.serving {
			s.cancel()
		}
	})
}

// post queues a frame. It fails when the link closes or ctx ends first.
func (l *Link) post(ctx context.Context, f wire.Frame) error {
	select {
	case <-l.done:
		return ErrLinkClosed
	default:
	}
	select {
	case l.out <- f:
		return nil
	case <-l.done:
		return ErrLinkClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tryPost queues a frame unless the queue is full.
func (l *Link) tryPost(f wire.Frame) bool {
	select {
	case l.out <- f:
		return true
	default:
		return false
	}
}

func (l *Link) write() {
	defer l.close()
	for {
		select {
		case <-l.done:
			return
		case f := <-l.out:
			if err := l.writeFrame(f); err != nil {
				return
			}
		}
	}
}

func (l *Link) writeFrame(f wire.Frame) error {
	data, err := encoder.Marshal(f)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	l.count(f, len(data), &l.mesh.Traffic.ControlSent, &l.mesh.Traffic.WorkSent)
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	return l.conn.Write(ctx, websocket.MessageBinary, data)
}

func (l *Link) read() {
	for {
		kind, data, err := l.conn.Read(context.Background())
		if err != nil || kind != websocket.MessageBinary {
			return
		}
		var f wire.Frame
		if err := decoder.Unmarshal(data, &f); err != nil {
			l.mesh.log.Warn().Str("peer", l.peer.Name).Err(err).Msg("peer: frame is malformed")
			return
		}
		l.count(f, len(data), &l.mesh.Traffic.ControlReceived, &l.mesh.Traffic.WorkReceived)
		l.take(f)
	}
}

func (l *Link) count(f wire.Frame, size int, control, work *atomic.Int64) {
	if f.Beat != nil || f.Hello != nil || f.Folder != nil || f.Want != nil {
		control.Add(int64(size))
		return
	}
	work.Add(int64(size))
}

func (l *Link) take(f wire.Frame) {
	switch {
	case f.Beat != nil:
		l.takeBeat(*f.Beat)
	case f.Want != nil:
		l.giveFolder(*f.Want)
	case f.Folder != nil:
		l.mesh.folder.Offer(*f.Folder)
	case f.Call != nil:
		l.serve(f.CallID, *f.Call)
	case f.Cancel != nil:
		l.cancelServing(f.CallID)
	case f.Credit != nil:
		l.creditServing(f.CallID, f.Credit.Chunks)
	case f.Answer != nil, f.Chunk != nil:
		l.deliver(f)
	}
}

// beat sends a heartbeat with what changed since the last one. Unless it is due, it is left out without news.
func (l *Link) beat(due bool) {
	l.beating.Lock()
	defer l.beating.Unlock()
	revision := l.mesh.folder.Revision()
	entries, upTo := l.news()
	l.mu.Lock()
	if !due && len(entries) == 0 && revision == l.told {
		l.mu.Unlock()
		return
	}
	l.told = revision
	l.sent++
	l.beats[l.sent%beatsKept] = l.mesh.clock()
	b := &wire.Beat{Sequence: l.sent, Echo: l.heard, Revision: int64(revision), Entries: entries}
	l.mu.Unlock()
	if l.tryPost(wire.Frame{Beat: b}) {
		l.stamp = upTo
	}
}

// news returns the entries that the peer lacks. Until the peer was heard, a heartbeat has no echo by which it could
// tell how old entries are, and would drop them.
func (l *Link) news() ([]wire.Entry, uint64) {
	l.mu.Lock()
	heard := l.heard > 0
	l.mu.Unlock()
	if !heard || (l.isRemote() && !l.mesh.gateway.Load()) {
		return nil, l.stamp
	}
	return l.mesh.table.changes(l, l.stamp, !l.isRemote())
}

// isRemote reports whether the peer is of another availability zone.
func (l *Link) isRemote() bool {
	return l.peer.Place != string(l.mesh.place)
}

// isDue reports whether a heartbeat is due at the tick even when there is no news.
func (l *Link) isDue(tick int) bool {
	return !l.isRemote() || tick%remoteBeatTicks == 0
}

// timeout returns the silence after which the link is closed.
func (l *Link) timeout() time.Duration {
	if l.isRemote() {
		return l.mesh.options.Timeout * remoteBeatTicks
	}
	return l.mesh.options.Timeout
}

func (l *Link) takeBeat(b wire.Beat) {
	l.mu.Lock()
	first := l.heard == 0
	l.heard = max(l.heard, b.Sequence)
	l.heardAt = l.mesh.clock()
	if b.Echo > 0 && b.Echo <= l.sent && b.Echo > l.sent-beatsKept {
		l.echoAt = l.beats[b.Echo%beatsKept]
	}
	l.theirs = units.Revision(b.Revision)
	sentAfter := l.echoAt
	l.mu.Unlock()
	for _, e := range b.Entries {
		l.mesh.table.merge(l, e, sentAfter.Add(-time.Duration(e.AgeMS)*time.Millisecond))
	}
	if first {
		l.beat(true)
	}
	l.askFolder(units.Revision(b.Revision))
}

// askFolder asks the peer for its configuration when that is newer than the own one and nobody else was asked lately.
func (l *Link) askFolder(theirs units.Revision) {
	own := l.mesh.folder.Revision()
	if theirs <= own || !l.mesh.mayAsk(theirs) {
		return
	}
	l.tryPost(wire.Frame{Want: &wire.Want{Revision: int64(own)}})
}

// giveFolder sends the configuration in force to a peer that asked for it.
func (l *Link) giveFolder(w wire.Want) {
	if folder := l.mesh.folder.Folder(); folder.Revision > w.Revision {
		l.tryPost(wire.Frame{Folder: &folder})
	}
}

// silence returns how long the peer has sent no heartbeat.
func (l *Link) silence() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mesh.clock().Sub(l.heardAt)
}

func linkFault() *fault.Error {
	return fault.New(fault.MayHaveRun, fault.CodeUpstreamDied, http.StatusBadGateway, "link to the peer was lost")
}
