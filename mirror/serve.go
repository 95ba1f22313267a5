package mirror

import (
	"context"
	"crypto/subtle"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// path is the path at which processes are followed.
	path = "/mirror"
	// keyHeader carries the key that all processes share.
	keyHeader = "Buckthorntrack-Key"
	// beatInterval is the interval between frames without changes.
	beatInterval = 400 * time.Millisecond
	// handshakeTimeout bounds the start of a subscription.
	handshakeTimeout = time.Second
	// writeTimeout bounds the write of a frame, which is shared with those to other followers on the same link.
	writeTimeout = maxFrameTime
	// maxFrameBytes bounds a frame with objects, and the objects in it.
	maxFrameBytes = 16 << 20
	// maxRequestBytes bounds a frame of a process that follows this one.
	maxRequestBytes = 16 << 10
	// maxHeadBytes bounds the heads of requests and answers between processes.
	maxHeadBytes = 16 << 10
)

// handler returns the handler of subscriptions. They end with ctx.
func (m *Mirror) handler(ctx context.Context) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != path && r.URL.Path != askPath && m.Others != nil {
			m.Others.ServeHTTP(w, r)
			return
		}
		if r.URL.Path != path && r.URL.Path != askPath || subtle.ConstantTimeCompare([]byte(r.Header.Get(keyHeader)), []byte(m.Key)) != 1 {
			http.Error(w, "not found, or wrong key", http.StatusForbidden)
			return
		}
		if r.URL.Path == askPath {
			m.answer(w, r)
			return
		}
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			m.Log.Debug().Err(err).Msg("mirror: subscription failed")
			return
		}
		defer func() { _ = conn.CloseNow() }()
		conn.SetReadLimit(maxRequestBytes)
		if err := m.serve(ctx, conn); err != nil {
			m.Log.Debug().Err(err).Msg("mirror: subscription ended")
		}
	})
}

// serve sends the feeds and their changes until the connection fails or ctx ends.
func (m *Mirror) serve(ctx context.Context, conn *websocket.Conn) error {
	readCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	var first wire.Frame
	if err := readFrame(readCtx, conn, &first); err != nil {
		return err
	}
	sent, prefixes := map[string]sentState{}, []string{}
	if first.Subscribe != nil {
		for _, seen := range first.Subscribe.Seen {
			sent[seen.Prefix] = sentState{version: units.Version(seen.Version)}
			prefixes = append(prefixes, seen.Prefix)
		}
		if first.Subscribe.Confirm {
			m.ask()
		}
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	stamps := make(chan *int64, 1)
	go func() {
		defer stop()
		m.receive(ctx, conn, stamps)
	}()
	var stamp *int64
	if first.Subscribe != nil {
		stamp = first.Subscribe.StampMS
	}
	beat := time.NewTicker(beatInterval)
	defer beat.Stop()
	for {
		changed := m.changes()
		ages := m.agesFor(prefixes) // read first, so that they are not those of a later state
		message := m.copiesSince(sent)
		message.AgesMS, message.StampMS = ages, stamp // a stamp that was answered before proves later ages too
		if err := writeFrame(ctx, conn, wire.Frame{Objects: message}); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-beat.C:
		case stamp = <-stamps: // answered at once, in place of the next beat
			beat.Reset(beatInterval)
		}
	}
}

// receive handles the further frames of a subscriber until the connection fails or ctx ends. It passes on the newest stamp.
func (m *Mirror) receive(ctx context.Context, conn *websocket.Conn, stamps chan *int64) {
	for {
		var f wire.Frame
		if err := readFrame(ctx, conn, &f); err != nil {
			return
		}
		if f.Subscribe == nil {
			continue
		}
		if f.Subscribe.Confirm {
			m.ask()
		}
		if f.Subscribe.StampMS != nil {
			select {
			case <-stamps: // not answered yet
			default:
			}
			stamps <- f.Subscribe.StampMS
		}
	}
}

// sentState is what a subscriber was told of a feed.
type sentState struct {
	version units.Version // up to which it has the objects
	current units.Version // of the feed when it was last told
	lost    bool
	told    bool
}

// copiesSince returns the feeds of which the subscriber was not told the current state, with the changes after the sent
// versions. It updates the sent state.
func (m *Mirror) copiesSince(sent map[string]sentState) *wire.Objects {
	message := &wire.Objects{Copies: []wire.ObjectCopy{}}
	for _, f := range m.feeds {
		o, state := f.outageState(), sent[f.Prefix]
		c, full := f.since(state.version)
		if state.told && state.current == c.Version && state.lost == o.Lost {
			continue
		}
		entry := f.entrySince(state.version, c, full, o)
		sent[f.Prefix] = sentState{
			version: max(state.version, c.Version), current: c.Version, lost: o.Lost, told: true,
		}
		message.Copies = append(message.Copies, entry)
	}
	return message
}

// entrySince returns the changes since a version in the format for other processes.
func (f *feed) entrySince(from units.Version, c objapi.Change, full bool, o Outage) wire.ObjectCopy {
	entry := wire.ObjectCopy{
		Prefix: f.Prefix, Version: int64(c.Version), Full: full, Deleted: c.Deleted, Lost: o.Lost, RegainedMS: -1,
	}
	if o.EndedAgo >= 0 {
		entry.RegainedMS = o.EndedAgo.Milliseconds()
	}
	entry.Objects = stored(c.Objects)
	if !isLarge(entry.Objects) {
		return entry
	}
	if full {
		from = 0
	}
	data, err := f.packOnce(from, c.Version, entry.Objects)
	if err != nil {
		f.mirror.Log.Error().Str("feed", f.Name).Err(err).Msg("mirror: objects are sent without compression")
		return entry
	}
	entry.Objects, entry.Packed = nil, data
	return entry
}

func writeFrame(ctx context.Context, conn *websocket.Conn, f wire.Frame) error {
	data, err := cbor.Marshal(f)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return conn.Write(ctx, websocket.MessageBinary, data)
}

func readFrame(ctx context.Context, conn *websocket.Conn, f *wire.Frame) error {
	_, data, err := conn.Read(ctx)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(data, f)
}
