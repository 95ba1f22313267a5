package mirror

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// silenceTimeout is the time without a frame, or a further part of one, after which a process is not followed any more.
	silenceTimeout = 4 * beatInterval
	// subscribeTimeout bounds the connection to a process of the region. One that stands still is given up after it.
	subscribeTimeout = 500 * time.Millisecond
	// maxFrameTime bounds the time for a whole frame; a large one takes seconds over a slow link.
	maxFrameTime = 10 * time.Second
	// readChunkBytes is the length of the parts in which a frame is read.
	readChunkBytes = 4 << 10
	// behindMargin is how long a followed process may be behind this one, beyond the time of its watch. A process that has
	// read the platform later has a higher version even without a change.
	behindMargin = time.Second
	// lostGrace is how long a process that cannot reach the platform is followed: it may be changing its own source.
	lostGrace = 300 * time.Millisecond
)

var (
	errLost   = errors.New("process cannot reach the platform")
	errBehind = errors.New("process is behind")
)

// isLost reports whether the error says that the process is healthy and only the platform is not.
func isLost(err error) bool {
	return errors.Is(err, errLost)
}

// subscription is a connection to a process that is followed.
type subscription struct {
	mirror      *Mirror
	source      Member
	conn        *websocket.Conn
	stop        func()
	trial       bool      // this process reads the platform itself, and the state of the source is its own matter
	behindSince time.Time // zero if the process is not behind
	lostSince   time.Time // zero if the process reaches the platform
	feeds       map[string]sourceFeed
	missedSince time.Time // zero if no version is missing
}

// sourceFeed is the last state that a followed process told of a feed.
type sourceFeed struct {
	version units.Version
	outage  Outage
}

// subscribe connects to a process.
func (m *Mirror) subscribe(ctx context.Context, source Member) (*subscription, error) {
	dialCtx, cancel := context.WithTimeout(ctx, subscribeTimeout)
	defer cancel()
	conn, response, err := websocket.Dial(dialCtx, "ws://"+source.Address+path, &websocket.DialOptions{
		HTTPClient: m.client, HTTPHeader: http.Header{keyHeader: {m.Key}},
	})
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("dial process %s: %w", source.Name, err)
	}
	conn.SetReadLimit(maxFrameBytes)
	message := &wire.Subscribe{Name: string(m.Name)}
	for _, f := range m.feeds {
		message.Seen = append(message.Seen, wire.SeenVersion{Prefix: f.Prefix, Version: int64(f.currentVersion())})
	}
	s := &subscription{
		mirror: m, source: source, conn: conn, stop: func() { _ = conn.CloseNow() }, feeds: map[string]sourceFeed{},
	}
	if err := writeFrame(dialCtx, conn, wire.Frame{Subscribe: message}); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

// awaitCurrent reads frames until the process is not behind. It closes the connection on failure.
func (s *subscription) awaitCurrent(ctx context.Context) error {
	s.trial = true
	for {
		err := s.readOne(ctx)
		if err == nil && s.behindSince.IsZero() && s.lostSince.IsZero() {
			s.trial = false
			for _, f := range s.mirror.feeds {
				f.setOutage(s.feeds[f.Prefix].outage)
			}
			return nil
		}
		if err != nil {
			s.stop()
			return err
		}
	}
}

// follow applies the frames of the process until it fails, cannot reach the platform or is behind.
func (s *subscription) follow(ctx context.Context) error {
	defer s.stop()
	followCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	refreshed := make(chan struct{})
	go func() {
		select {
		case <-s.mirror.refresh:
			close(refreshed)
			cancel()
		case <-followCtx.Done():
		}
	}()
	s.mirror.Log.Info().Str("source", string(s.source.Name)).Msg("mirror: source is followed")
	for {
		if err := s.readOne(followCtx); err != nil {
			select {
			case <-refreshed:
				return nil
			default:
				return err
			}
		}
	}
}

// readOne reads and applies one frame.
func (s *subscription) readOne(ctx context.Context) error {
	f, err := s.readFrame(ctx)
	if err != nil {
		return fmt.Errorf("read from process %s: %w", s.source.Name, err)
	}
	if f.Objects == nil {
		return nil
	}
	if err := unpackAll(f.Objects); err != nil {
		return fmt.Errorf("read from process %s: %w", s.source.Name, err)
	}
	lost, behind := s.apply(f.Objects)
	now := s.mirror.Clock()
	track(&s.behindSince, behind, now)
	track(&s.lostSince, lost, now)
	track(&s.missedSince, s.mirror.missesVersion(), now)
	switch {
	case exceeds(s.lostSince, now, lostGrace) && !s.mirror.choose().lost:
		return fmt.Errorf("%w: %s", errLost, s.source.Name)
	case exceeds(s.behindSince, now, s.mirror.maxBehind()), exceeds(s.missedSince, now, 2*missedChangeTimeout):
		return fmt.Errorf("%w: %s", errBehind, s.source.Name)
	}
	s.mirror.recordFollowed(s.source)
	return nil
}

// maxBehind returns how long a followed process may be behind this one.
func (m *Mirror) maxBehind() time.Duration {
	var longest time.Duration
	for _, f := range m.feeds {
		longest = max(longest, f.WatchTimeout)
	}
	return longest + behindMargin
}

// track records when a condition began to hold.
func track(since *time.Time, holds bool, now time.Time) {
	switch {
	case !holds:
		*since = time.Time{}
	case since.IsZero():
		*since = now
	}
}

func exceeds(since, now time.Time, limit time.Duration) bool {
	return !since.IsZero() && now.Sub(since) > limit
}

// readFrame reads one frame. It ends with an error after a time without a byte, or if the whole frame takes too long.
func (s *subscription) readFrame(ctx context.Context) (wire.Frame, error) {
	ctx, cancel := context.WithTimeout(ctx, maxFrameTime)
	defer cancel()
	silence := time.AfterFunc(silenceTimeout, cancel)
	defer silence.Stop()
	var f wire.Frame
	_, reader, err := s.conn.Reader(ctx)
	if err != nil {
		return f, err
	}
	var data bytes.Buffer
	for {
		_, err := io.CopyN(&data, reader, readChunkBytes)
		if errors.Is(err, io.EOF) {
			return f, cbor.Unmarshal(data.Bytes(), &f)
		}
		if err != nil {
			return f, err
		}
		silence.Reset(silenceTimeout)
	}
}

// unpackAll decompresses the objects of a frame.
func unpackAll(message *wire.Objects) error {
	for i := range message.Copies {
		entry := &message.Copies[i]
		if len(entry.Packed) == 0 {
			continue
		}
		objects, err := unpack(entry.Packed)
		if err != nil {
			return err
		}
		entry.Objects = objects
	}
	return nil
}

// apply applies the copies that a frame has. It reports whether the followed process has lost the platform, and whether
// one of its copies is older than the own one.
func (s *subscription) apply(message *wire.Objects) (lost, behind bool) {
	for i := range message.Copies {
		entry := &message.Copies[i]
		s.feeds[entry.Prefix] = sourceFeed{version: units.Version(entry.Version), outage: Outage{
			Lost: entry.Lost, EndedAgo: time.Duration(entry.RegainedMS) * time.Millisecond,
		}}
	}
	for _, f := range s.mirror.feeds {
		source := s.feeds[f.Prefix]
		for i := range message.Copies {
			if message.Copies[i].Prefix != f.Prefix {
				continue
			}
			if !s.trial {
				f.setOutage(source.outage)
			}
			f.acceptCopy(&message.Copies[i])
		}
		lost = lost || source.outage.Lost
		behind = behind || source.version < f.currentVersion()
	}
	return lost, behind
}

// acceptCopy applies the copy of a followed process.
func (f *feed) acceptCopy(entry *wire.ObjectCopy) {
	c := objapi.Change{Version: units.Version(entry.Version), Deleted: entry.Deleted}
	for _, o := range entry.Objects {
		c.Objects = append(c.Objects, objapi.Object{Key: o.Key, Version: units.Version(o.Version), Value: o.Value})
	}
	f.accept(c, entry.Full)
}

// currentVersion returns the version that the feed reflects.
func (f *feed) currentVersion() units.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// missesVersion reports whether another process has announced a version that is not known here.
func (m *Mirror) missesVersion() bool {
	for _, f := range m.feeds {
		if f.misses() {
			return true
		}
	}
	return false
}
