package mirror

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// confirmTimeout is how long a process without a verified state waits for its source to have its copies confirmed.
	confirmTimeout = 300 * time.Millisecond
	// probeTimeout bounds the first call to the platform after it.
	probeTimeout = 700 * time.Millisecond
	// verifyTimeout bounds the read of all feeds from a platform that has answered; a large registry takes a while over a slow link.
	verifyTimeout = 2 * time.Second
)

// errOutdated means that the platform has not confirmed the copies of a followed process.
var errOutdated = errors.New("copies are not confirmed by the platform")

// isHeld reports whether a copy is held back, as this process has no state yet and the copy may be outdated.
func (s *subscription) isHeld(f *feed, entry *wire.ObjectCopy) bool {
	return s.verifying && entry.Version > 0 && f.currentVersion() == 0
}

// release applies the copies of a feed that are held back.
func (s *subscription) release(f *feed, outage Outage) {
	held := s.held[f.Prefix]
	if len(held) == 0 {
		return
	}
	delete(s.held, f.Prefix)
	f.setToldOutage(outage)
	for _, entry := range held {
		f.acceptCopy(entry, s.feeds[f.Prefix].confirmedAt, s.source.Name)
	}
}

// verify checks whether all copies were confirmed. It returns errOutdated if they were not in time, or if the followed process
// does not reach the platform.
func (s *subscription) verify(now time.Time) error {
	all, old, lost := true, false, false
	for _, f := range s.mirror.feeds {
		source := s.feeds[f.Prefix]
		all = all && source.recent
		old = old || source.version > 0 && !source.recent
		lost = lost || source.outage.Lost
	}
	if all {
		s.verifying, s.mirror.unverified = false, false
		return nil
	}
	track(&s.unconfirmedSince, old, now)
	if lost || exceeds(s.unconfirmedSince, now, confirmTimeout) {
		return errOutdated
	}
	return nil
}

// limit returns a context that ends when errOutdated is due.
func (s *subscription) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	if !s.verifying || s.unconfirmedSince.IsZero() {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, confirmTimeout-s.mirror.Clock().Sub(s.unconfirmedSince))
}

// oldestAge returns the highest age that the followed process has told, unknownAge if it has not told all.
func (s *subscription) oldestAge() time.Duration {
	var oldest time.Duration
	for _, f := range s.mirror.feeds {
		source, ok := s.feeds[f.Prefix]
		if !ok || source.age < 0 {
			return unknownAge
		}
		oldest = max(oldest, source.age)
	}
	return oldest
}

// verifyHere reads the platform, as a source could not have its copies confirmed. If that fails, the copies are used.
func (m *Mirror) verifyHere(ctx context.Context, s *subscription) {
	m.unverified = false
	m.Log.Warn().Str("source", string(s.source.Name)).Int64("ageMs", s.oldestAge().Milliseconds()).
		Msg("mirror: copies of the source are not confirmed, reading the platform")
	if m.readOnce(ctx) {
		m.readPlatform(ctx, false)
		return
	}
	if ctx.Err() != nil {
		return
	}
	m.Log.Warn().Str("source", string(s.source.Name)).Int64("ageMs", s.oldestAge().Milliseconds()).
		Msg("mirror: platform cannot be read, copies of the source are used")
	for _, f := range m.feeds {
		s.release(f, Outage{Lost: true, EndedAgo: s.feeds[f.Prefix].outage.EndedAgo})
	}
}

// readOnce reads all feeds from the platform and reports whether that succeeded. A platform that does not answer the first call
// gets no others.
func (m *Mirror) readOnce(ctx context.Context) bool {
	if !m.readFeeds(ctx, probeTimeout, m.feeds[:1]) {
		return false
	}
	return m.readFeeds(ctx, verifyTimeout, m.feeds[1:])
}

// readFeeds reads feeds from the platform within the time and reports whether that succeeded.
func (m *Mirror) readFeeds(ctx context.Context, limit time.Duration, feeds []*feed) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var failed atomic.Bool
	var readers conc.WaitGroup
	for _, f := range feeds {
		readers.Go(func() {
			if err := f.readSnapshot(ctx); err != nil {
				f.recordFailure(err)
				failed.Store(true)
			}
		})
	}
	readers.Wait()
	return !failed.Load()
}
