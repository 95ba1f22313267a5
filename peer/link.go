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
	// MaxFrameBytes bounds the size of a frame.
	MaxFrameBytes = 16 << 20
	// sendQueueLength is the number of frames that the send queue of a link holds.
	sendQueueLength = 1024
	// remoteHeartbeatTicks is the number of ticks between heartbeats to other availability zones.
	remoteHeartbeatTicks = 3
	// heartbeatsKept is the number of sent heartbeats whose send times are kept.
	heartbeatsKept = 64
	// writeTimeout bounds the write of a frame.
	writeTimeout = 5 * time.Second
)

// ErrLinkClosed is returned when a frame is sent on a closed link.
var ErrLinkClosed = errors.New("link is closed")

// Traffic counts bytes and dropped frames over all links of a process.
type Traffic struct {
	ControlSent     atomic.Int64 // bytes of hello, heartbeat and configuration frames
	ControlReceived atomic.Int64
	CallSent        atomic.Int64 // bytes of all other frames
	CallReceived    atomic.Int64
	Dropped         atomic.Int64 // replies without a pending call, duplicates and chunks beyond the stream window
}

// Handler runs a call of a peer.
type Handler func(ctx context.Context, c wire.Call) (engine.Answer, error)

// Link is a connection to a peer.
type Link struct {
	conn      *websocket.Conn
	peer      wire.Hello
	dialed    bool
	mesh      *Mesh
	sendQueue chan wire.Frame
	done      chan struct{}
	closeOnce sync.Once
	wg        conc.WaitGroup

	heartbeatMutex sync.Mutex // serializes sendHeartbeat
	sentStamp      uint64     // stamp up to which changes of the table were sent

	mu             sync.Mutex
	nextID         uint64
	pending        map[uint64]*pendingCall
	served         map[uint64]*servedCall
	heartbeatTimes [heartbeatsKept]time.Time // send times of local heartbeats, by sequence number modulo the length
	lastSent       int64                     // sequence number of the latest local heartbeat
	lastReceived   int64                     // sequence number of the latest heartbeat of the peer, zero before the first
	lastReceivedAt time.Time
	echoedSentAt   time.Time // send time of the latest local heartbeat that the peer has echoed
	peerRevision   units.Revision
	sentRevision   units.Revision // local revision in the latest local heartbeat
}

func newLink(conn *websocket.Conn, hello wire.Hello, dialed bool, m *Mesh) *Link {
	conn.SetReadLimit(MaxFrameBytes)
	return &Link{
		conn: conn, peer: hello, dialed: dialed, mesh: m,
		sendQueue: make(chan wire.Frame, sendQueueLength), done: make(chan struct{}),
		pending: map[uint64]*pendingCall{}, served: map[uint64]*servedCall{}, lastReceivedAt: m.clock(),
	}
}

// Name returns the peer's process name.
func (l *Link) Name() units.ProcessName {
	return units.ProcessName(l.peer.Name)
}

// Place returns the peer's availability zone.
func (l *Link) Place() units.PlaceName {
	return units.PlaceName(l.peer.Place)
}

// Revision returns the configuration revision in force at the peer, as of its latest heartbeat.
func (l *Link) Revision() units.Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peerRevision
}

// Serving returns the number of calls of the peer that run here.
func (l *Link) Serving() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.served)
}

// run reads and writes frames until the link fails or is closed.
func (l *Link) run() {
	l.wg.Go(l.writeLoop)
	l.readLoop()
	l.close()
	l.wg.Wait()
}

// close closes the connection, fails the pending calls and cancels the calls of the peer.
func (l *Link) close() {
	l.closeOnce.Do(func() {
		close(l.done)
		_ = l.conn.CloseNow()
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, p := range l.pending {
			p.fail(newLinkLostError())
		}
		for _, s := range l.served {
			s.cancel()
		}
	})
}

// send queues a frame. It fails when the link closes or ctx ends first.
func (l *Link) send(ctx context.Context, f wire.Frame) error {
	select {
	case <-l.done:
		return ErrLinkClosed
	default:
	}
	select {
	case l.sendQueue <- f:
		return nil
	case <-l.done:
		return ErrLinkClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// trySend queues a frame unless the queue is full.
func (l *Link) trySend(f wire.Frame) bool {
	select {
	case l.sendQueue <- f:
		return true
	default:
		return false
	}
}

func (l *Link) writeLoop() {
	defer l.close()
	for {
		select {
		case <-l.done:
			return
		case f := <-l.sendQueue:
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
	l.countBytes(f, len(data), &l.mesh.Traffic.ControlSent, &l.mesh.Traffic.CallSent)
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	return l.conn.Write(ctx, websocket.MessageBinary, data)
}

func (l *Link) readLoop() {
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
		l.countBytes(f, len(data), &l.mesh.Traffic.ControlReceived, &l.mesh.Traffic.CallReceived)
		l.handleFrame(f)
	}
}

func (l *Link) countBytes(f wire.Frame, size int, controlBytes, callBytes *atomic.Int64) {
	if f.Heartbeat != nil || f.Hello != nil || f.ConfigFolder != nil || f.ConfigRequest != nil {
		controlBytes.Add(int64(size))
		return
	}
	callBytes.Add(int64(size))
}

func (l *Link) handleFrame(f wire.Frame) {
	switch {
	case f.Heartbeat != nil:
		l.handleHeartbeat(*f.Heartbeat)
	case f.ConfigRequest != nil:
		l.sendConfig(*f.ConfigRequest)
	case f.ConfigFolder != nil:
		l.mesh.config.Offer(*f.ConfigFolder)
	case f.Call != nil:
		l.serve(f.CallID, *f.Call)
	case f.Cancel != nil:
		l.cancelServedCall(f.CallID)
	case f.Credit != nil:
		l.addCredit(f.CallID, f.Credit.Chunks)
	case f.Answer != nil, f.Chunk != nil:
		l.deliverReply(f)
	}
}

// sendHeartbeat sends a heartbeat with the changes since the last one. A heartbeat that is not due is sent only if
// entries or the revision have changed.
func (l *Link) sendHeartbeat(due bool) {
	l.heartbeatMutex.Lock()
	defer l.heartbeatMutex.Unlock()
	revision := l.mesh.config.Revision()
	entries, stamp := l.unsentEntries()
	l.mu.Lock()
	if !due && len(entries) == 0 && revision == l.sentRevision {
		l.mu.Unlock()
		return
	}
	l.sentRevision = revision
	l.lastSent++
	l.heartbeatTimes[l.lastSent%heartbeatsKept] = l.mesh.clock()
	h := &wire.Heartbeat{Sequence: l.lastSent, Echo: l.lastReceived, Revision: int64(revision), Entries: entries}
	l.mu.Unlock()
	if l.trySend(wire.Frame{Heartbeat: h}) {
		l.sentStamp = stamp
	}
}

// unsentEntries returns the entries to send to the peer, and the stamp of the last one. It returns none before the
// first heartbeat of the peer: without an echo the peer cannot bound the age of entries, and would drop them.
func (l *Link) unsentEntries() ([]wire.Entry, uint64) {
	l.mu.Lock()
	received := l.lastReceived > 0
	l.mu.Unlock()
	if !received || (l.isRemote() && !l.mesh.gateway.Load()) {
		return nil, l.sentStamp
	}
	return l.mesh.table.changes(l, l.sentStamp, !l.isRemote())
}

// isRemote reports whether the peer is in another availability zone.
func (l *Link) isRemote() bool {
	return l.peer.Place != string(l.mesh.place)
}

// heartbeatDue reports whether a heartbeat is due at the tick even without changes.
func (l *Link) heartbeatDue(tick int) bool {
	return !l.isRemote() || tick%remoteHeartbeatTicks == 0
}

// timeout returns the time without heartbeats after which the link is closed.
func (l *Link) timeout() time.Duration {
	if l.isRemote() {
		return l.mesh.options.Timeout * remoteHeartbeatTicks
	}
	return l.mesh.options.Timeout
}

// handleHeartbeat merges the entries of a heartbeat. The peer sent it after the local heartbeat that it echoes, so the
// send time of that one, less the entry's age at the peer, is a lower bound for the creation of an entry.
func (l *Link) handleHeartbeat(h wire.Heartbeat) {
	l.mu.Lock()
	first := l.lastReceived == 0
	l.lastReceived = max(l.lastReceived, h.Sequence)
	l.lastReceivedAt = l.mesh.clock()
	if h.Echo > 0 && h.Echo <= l.lastSent && h.Echo > l.lastSent-heartbeatsKept {
		l.echoedSentAt = l.heartbeatTimes[h.Echo%heartbeatsKept]
	}
	l.peerRevision = units.Revision(h.Revision)
	sentAfter := l.echoedSentAt
	l.mu.Unlock()
	for _, e := range h.Entries {
		l.mesh.table.merge(l, e, sentAfter.Add(-time.Duration(e.AgeMS)*time.Millisecond))
	}
	if first {
		l.sendHeartbeat(true)
	}
	l.mesh.config.Heard(units.Revision(h.Revision))
	l.requestConfig(units.Revision(h.Revision))
}

// requestConfig requests the peer's configuration if it is newer than the local one and no other request is in
// progress.
func (l *Link) requestConfig(revision units.Revision) {
	own := l.mesh.config.Revision()
	if revision <= own || !l.mesh.startConfigRequest(revision) {
		return
	}
	l.trySend(wire.Frame{ConfigRequest: &wire.ConfigRequest{Revision: int64(own)}})
}

// sendConfig answers a request with the configuration in force, if it is newer than the requester's.
func (l *Link) sendConfig(r wire.ConfigRequest) {
	if folder := l.mesh.config.Folder(); folder.Revision > r.Revision {
		l.trySend(wire.Frame{ConfigFolder: &folder})
	}
}

// sinceHeartbeat returns the time since the latest heartbeat of the peer.
func (l *Link) sinceHeartbeat() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mesh.clock().Sub(l.lastReceivedAt)
}

func newLinkLostError() *fault.Error {
	return fault.New(fault.MayHaveRun, fault.CodeUpstreamDied, http.StatusBadGateway, "link to the peer was lost")
}
