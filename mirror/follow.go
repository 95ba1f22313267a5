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
	return errors.Is(err, errLost) || errors.Is(err, errOutdated)
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

	tellsAges        bool                          // the frames hold ages
	verifying        bool                          // the copies are used only once the platform has confirmed them
	held             map[string][]*wire.ObjectCopy // that are held back meanwhile, by prefix
	unconfirmedSince time.Time                     // zero if no copy waits for a confirmation
}

// sourceFeed is the last state that a followed process told of a feed.
type sourceFeed struct {
	version units.Version
	outage  Outage
	age     time.Duration // as the source told it, negative if that is not known
	// confirmedAt is when it was the platform's, on the own clock BootTime; zero if that is not known.
	confirmedAt time.Time
	recent      bool // the platform has confirmed it about since the subscription began
}

// subscribe connects to a process. With confirm, that process has its copies confirmed.
func (m *Mirror) subscribe(ctx context.Context, source Member, confirm bool) (*subscription, error) {
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
	message := &wire.Subscribe{Name: string(m.Name), Confirm: confirm, StampMS: m.stamp()}
	for _, f := range m.feeds {
		message.Seen = append(message.Seen, wire.SeenVersion{Prefix: f.Prefix, Version: int64(f.currentVersion())})
	}
	s := &subscription{
		mirror: m, source: source, conn: conn, stop: func() { _ = conn.CloseNow() }, feeds: map[string]sourceFeed{},
		held: map[string][]*wire.ObjectCopy{},
	}
	if err := writeFrame(dialCtx, conn, wire.Frame{Subscribe: message}); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

// awaitCurrent reads frames until the process is not behind and its copies are confirmed. It closes the connection on failure.
func (s *subscription) awaitCurrent(ctx context.Context) error {
	s.trial = true
	for {
		err := s.readOne(ctx)
		if err == nil && s.behindSince.IsZero() && s.lostSince.IsZero() && s.isConfirmed() {
			s.trial = false
			for _, f := range s.mirror.feeds {
				f.setToldOutage(s.feeds[f.Prefix].outage)
			}
			return nil
		}
		if err != nil {
			s.stop()
			return err
		}
	}
}

// isConfirmed reports whether the copies are confirmed. Processes of earlier software do not tell that.
func (s *subscription) isConfirmed() bool {
	if !s.tellsAges {
		return true
	}
	for _, f := range s.mirror.feeds {
		if !s.feeds[f.Prefix].recent {
			return false
		}
	}
	return true
}

// follow applies the frames of the process until it fails, cannot reach the platform or is behind.
func (s *subscription) follow(ctx context.Context) error {
	defer s.stop()
	followCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	refreshed := make(chan struct{})
	stamps, stopStamps := s.mirror.stampTicks()
	defer stopStamps()
	go func() {
		if s.mirror.proven {
			s.sendStamp(followCtx) // the first one may be from the start of a trial
		}
		for {
			select {
			case <-s.mirror.refresh:
				close(refreshed)
				cancel()
				return
			case <-s.mirror.asked:
				message := &wire.Subscribe{Name: string(s.mirror.Name), Seen: []wire.SeenVersion{}, Confirm: true}
				_ = writeFrame(followCtx, s.conn, wire.Frame{Subscribe: message}) // a failed connection fails the read as well
			case <-stamps:
				s.sendStamp(followCtx)
			case <-followCtx.Done():
				return
			}
		}
	}()
	for logged := false; ; {
		if err := s.readOne(followCtx); err != nil {
			select {
			case <-refreshed:
				s.mirror.distrust()
				return nil
			default:
				return err
			}
		}
		if !logged {
			logged = true
			s.mirror.Log.Info().Str("source", string(s.source.Name)).Int64("ageMs", s.oldestAge().Milliseconds()).
				Msg("mirror: source is followed")
		}
	}
}

// sendStamp sends a stamp, which the source answers with its ages. A failed connection fails the read as well.
func (s *subscription) sendStamp(ctx context.Context) {
	message := &wire.Subscribe{Seen: []wire.SeenVersion{}, StampMS: s.mirror.stamp()}
	_ = writeFrame(ctx, s.conn, wire.Frame{Subscribe: message})
}

// readOne reads and applies one frame.
func (s *subscription) readOne(ctx context.Context) error {
	limited, cancel := s.limit(ctx)
	defer cancel()
	f, err := s.readFrame(limited)
	switch {
	case err != nil && limited.Err() != nil && ctx.Err() == nil:
		return errOutdated
	case err != nil:
		return fmt.Errorf("read from process %s: %w", s.source.Name, err)
	}
	if f.Objects == nil {
		return nil
	}
	if err := unpackAll(f.Objects); err != nil {
		return fmt.Errorf("read from process %s: %w", s.source.Name, err)
	}
	if !s.trial {
		s.mirror.searching = time.Time{}
	}
	lost, behind := s.apply(f.Objects)
	now := s.mirror.Clock()
	track(&s.behindSince, behind, now)
	track(&s.lostSince, lost, now)
	track(&s.missedSince, s.mirror.missesVersion(), now)
	if s.verifying {
		if err := s.verify(now); err != nil {
			return fmt.Errorf("%w: %s", err, s.source.Name)
		}
	}
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

// unpackAll decompresses the objects of a frame, which are bounded together.
func unpackAll(message *wire.Objects) error {
	room := maxFrameBytes
	for i := range message.Copies {
		entry := &message.Copies[i]
		if len(entry.Packed) == 0 {
			continue
		}
		objects, length, err := unpack(entry.Packed, room)
		if err != nil {
			return err
		}
		room -= length
		entry.Objects, entry.Packed = objects, nil
	}
	return nil
}

// apply applies the copies that a frame has. It reports whether the followed process has lost the platform, and whether
// one of its copies is older than the own one.
func (s *subscription) apply(message *wire.Objects) (lost, behind bool) {
	for i := range message.Copies {
		entry := &message.Copies[i]
		source := s.feeds[entry.Prefix]
		source.version = units.Version(entry.Version)
		source.outage = Outage{Lost: entry.Lost, EndedAgo: time.Duration(entry.RegainedMS) * time.Millisecond}
		s.feeds[entry.Prefix] = source
	}
	s.tellsAges = len(message.AgesMS) > 0
	for i, f := range s.mirror.feeds {
		source := s.feeds[f.Prefix]
		source.age = unknownAge
		if i < len(message.AgesMS) {
			source.age = time.Duration(message.AgesMS[i]) * time.Millisecond
		}
		source.confirmedAt = f.confirmedBy(source, message.StampMS)
		source.recent = source.recent || !source.outage.Lost && isRecent(source.age)
		s.feeds[f.Prefix] = source
		s.applyTo(f, message.Copies)
		lost = lost || source.outage.Lost
		behind = behind || source.version < f.currentVersion()
	}
	return lost, behind
}

// applyTo applies the copies that a frame has of a feed, or holds them back.
func (s *subscription) applyTo(f *feed, copies []wire.ObjectCopy) {
	source := s.feeds[f.Prefix]
	for i := range copies {
		entry := &copies[i]
		switch {
		case entry.Prefix != f.Prefix:
		case s.isHeld(f, entry):
			s.held[f.Prefix] = append(s.held[f.Prefix], entry)
		default:
			if !s.trial {
				f.setToldOutage(source.outage)
			}
			f.acceptCopy(entry, source.confirmedAt, s.source.Name)
		}
	}
	if source.recent {
		s.release(f, source.outage)
	}
	f.confirmVersion(source)
}

// acceptCopy applies the copy of a followed process.
func (f *feed) acceptCopy(entry *wire.ObjectCopy, confirmedAt time.Time, from units.ProcessName) {
	f.accept(copyOf(entry, confirmedAt, from))
}

func copyOf(entry *wire.ObjectCopy, confirmedAt time.Time, from units.ProcessName) copied {
	c := copied{full: entry.Full, confirmedAt: confirmedAt, from: string(from)}
	c.Version, c.Deleted = units.Version(entry.Version), entry.Deleted
	for _, o := range entry.Objects {
		c.Objects = append(c.Objects, objapi.Object{Key: o.Key, Version: units.Version(o.Version), Value: o.Value})
	}
	return c
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
