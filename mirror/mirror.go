// Package mirror keeps copies of the platform's objects in all processes, while only a few of them read the platform.
package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

const (
	// probeInterval is the mean interval at which a process that reads the platform looks for a process to follow.
	probeInterval = 2 * time.Second
	// maxSearchTime is the time without a process to follow after which the platform is read.
	maxSearchTime = subscribeTimeout
	// suspicionTime is how long a process that failed as a source is not followed. It doubles with each failure. It lasts
	// longer than trials of several others, so that none is tried again before them.
	suspicionTime = 6 * subscribeTimeout
	// maxSuspicionTime bounds suspicionTime.
	maxSuspicionTime = 30 * time.Second
	// lostTime is how long a process that cannot reach the platform is not followed if there are others.
	lostTime = 2 * time.Second
)

// Source is the subset of objapi.Client that a mirror reads from.
type Source interface {
	Snapshot(ctx context.Context, prefix string) (objapi.Change, error)
	WatchFor(ctx context.Context, prefix string, from units.Version, timeout time.Duration) (objapi.Change, error)
}

// Outage is the state of the platform for the process that reads it.
type Outage struct {
	Lost     bool
	EndedAgo time.Duration // since the end of the last outage, negative if there was none
}

// Sink receives the objects under a key prefix. Its methods are called one at a time.
type Sink interface {
	Replace(c objapi.Change) // c holds all objects
	Apply(c objapi.Change)   // c holds the changes since the last call
	SetOutage(o Outage)      // called when an outage begins or has ended, before any Replace or Apply
}

// Observer records metrics.
type Observer interface {
	FeedFailed(feed string)
	FeedSucceeded(feed string)
}

// Feed describes the objects under one key prefix.
type Feed struct {
	Name         string
	Prefix       string
	Sink         Sink
	WatchTimeout time.Duration // how long the platform holds a watch open
	// FirstWatchTimeout replaces WatchTimeout in the first process of the fleet.
	FirstWatchTimeout time.Duration
	// SearchAge is the age from which a newer copy is searched for. With it the age is a proven bound; zero stands for an estimate.
	SearchAge time.Duration
	// Keep reports whether an object that is known from an earlier era of the platform's store stays, rather than what the
	// store has now, which is the zero Object if it has none. Without Keep no object stays. An object that stays has an
	// earlier era than the change in which the sink gets it.
	Keep func(known, current objapi.Object) bool
	// Rewrite returns the value of an object in the form in which it is kept and told to other processes, nil for unchanged.
	Rewrite func(value []byte) []byte
}

// Options holds the dependencies of a Mirror.
type Options struct {
	Name   units.ProcessName
	Place  units.PlaceName
	Region units.RegionName
	// FirstStart says that the whole fleet starts for the first time, so that no other process knows a newer state than the platform.
	FirstStart bool
	Key        string // shared by all processes
	Listener   net.Listener
	Others     http.Handler // serves other paths on the listener, nil for none
	// ConnState is told of the states of connections of the listener, nil for none.
	ConnState func(net.Conn, http.ConnState)
	Dial      func(ctx context.Context, network, address string) (net.Conn, error)
	Platform  Source
	Feeds     []Feed
	// Present returns the registered processes that are not known to be gone.
	Present func() []Member
	// Announce tells other processes that read the platform about a version that this one has read.
	Announce func(prefix string, version int64)
	// ShortestOutage is the time for which the platform must be lost for entries to lapse.
	ShortestOutage time.Duration
	Clock          units.Clock
	BootTime       units.Clock // continues while the VM is suspended; used for ages
	Log            zerolog.Logger
	Observer       Observer
}

// Mirror follows another process of its region, or reads the platform if there is none to follow.
type Mirror struct {
	Options

	feeds      []*feed
	client     *http.Client
	refresh    chan struct{} // signals that the state may be outdated
	asked      chan struct{} // signals that the source is to have its copies confirmed
	nextTry    time.Time     // of a read during an outage; used by Run only
	unverified bool          // the state may be outdated since a start or a suspension; used by Run only
	searching  time.Time     // since when no process is followed and the platform is not read, zero if one is; used by Run only

	suspension suspension
	started    time.Time // on the clock BootTime
	proven     bool      // some feed has a proven age
	search     search

	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each change of a feed
	sources map[units.ProcessName]*sourceState
	reading bool // this process reads the platform
}

// New returns a mirror without objects, and a function that closes its idle connections.
func New(o Options) (*Mirror, func()) {
	transport := &http.Transport{DialContext: o.Dial, MaxResponseHeaderBytes: maxHeadBytes}
	m := &Mirror{
		Options: o, client: &http.Client{Transport: transport}, refresh: make(chan struct{}, 1),
		asked: make(chan struct{}, 1), unverified: true, changed: make(chan struct{}), sources: map[units.ProcessName]*sourceState{},
	}
	for _, f := range o.Feeds {
		m.feeds = append(m.feeds, newFeed(f, m))
		m.proven = m.proven || f.SearchAge > 0
	}
	m.started = o.BootTime()
	closeSearch := m.search.open(o.Dial)
	return m, func() {
		transport.CloseIdleConnections()
		closeSearch()
	}
}

// Run keeps the feeds up to date and serves them to other processes until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	server := &http.Server{
		Handler: m.handler(ctx), ReadHeaderTimeout: handshakeTimeout, IdleTimeout: handshakeTimeout, MaxHeaderBytes: maxHeadBytes,
		ConnState: m.ConnState,
	}
	var running conc.WaitGroup
	defer running.Wait()
	running.Go(func() {
		if err := server.Serve(m.Listener); err != nil && ctx.Err() == nil {
			m.Log.Error().Err(err).Msg("mirror: listener failed, other processes cannot follow this one")
		}
	})
	defer func() { _ = server.Close() }()
	running.Go(func() { m.detectSuspension(ctx) })
	for _, f := range m.feeds {
		if f.SearchAge > 0 {
			running.Go(func() { m.searchNewer(ctx, f) })
		}
	}
	for ctx.Err() == nil {
		m.step(ctx)
	}
}

// step follows a process or reads the platform until something else is better. A search for a process to follow that takes long
// goes on while the platform is read: those that were tried may be gone, and the state must not age with their number.
func (m *Mirror) step(ctx context.Context) {
	c, now := m.choose(), m.Clock()
	if m.searching.IsZero() {
		m.searching = now
	}
	var outdated *subscription
	switch searched := now.Sub(m.searching); {
	case !c.follow, !c.lost && searched >= maxSearchTime:
		if c.follow {
			m.Log.Info().Int64("searchedMs", searched.Milliseconds()).Int64("ageMs", m.oldestAge().Milliseconds()).
				Msg("mirror: no process to follow was found in time, reading the platform")
		}
		m.unverified = false
		m.readPlatform(ctx, false)
	case c.lost:
		for _, f := range m.feeds {
			f.findLost() // as so many others cannot reach it
		}
		if m.mayTry(c.rank) {
			m.readPlatform(ctx, true)
		}
		followCtx, cancel := context.WithTimeout(ctx, lostTime)
		defer cancel()
		outdated = m.followSource(followCtx, c.source)
	default:
		outdated = m.followSource(ctx, c.source)
	}
	if outdated != nil {
		m.verifyHere(ctx, outdated)
	}
}

// mayTry reports whether the process tries to read the platform in an outage that others have found. On average as many
// try at a time as read it without others.
func (m *Mirror) mayTry(rank int) bool {
	now := m.Clock()
	if now.Before(m.nextTry) {
		return false
	}
	m.nextTry = now.Add(lostTime)
	return rand.Float64() < outageReaders/float64(rank+1)
}

// followSource follows a process until it fails, and records the failure. It returns the subscription if this process has no
// verified state and the source could not have its copies confirmed.
func (m *Mirror) followSource(ctx context.Context, source Member) (outdated *subscription) {
	s, err := m.subscribe(ctx, source, m.unverified)
	if err == nil {
		s.verifying = m.unverified
		err = s.follow(ctx)
	}
	m.recordSource(ctx, source, err)
	if errors.Is(err, errOutdated) {
		return s
	}
	return nil
}

// readPlatform reads the platform until there is a process to follow. A short reading ends with the first failure.
func (m *Mirror) readPlatform(ctx context.Context, short bool) {
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.searching = time.Time{}
	m.setReading(true)
	defer m.setReading(false)
	var readers conc.WaitGroup
	for _, f := range m.feeds {
		readers.Go(func() {
			f.read(readCtx, short)
			if short {
				cancel()
			}
		})
	}
	next := m.awaitSource(readCtx)
	cancel()
	readers.Wait()
	if next == nil {
		return
	}
	m.setReading(false)
	m.recordSource(ctx, next.source, next.follow(ctx))
}

// awaitSource waits until a process can be followed, and returns the subscription. It returns nil when ctx ends or the
// state may be outdated.
func (m *Mirror) awaitSource(ctx context.Context) *subscription {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.refresh:
			m.distrust()
			return nil
		case <-time.After(probeInterval/2 + rand.N(probeInterval)):
		}
		c := m.choose()
		if !c.follow || c.lost {
			continue
		}
		s, err := m.subscribe(ctx, c.source, true)
		if err == nil {
			err = s.awaitCurrent(ctx)
		}
		if err == nil {
			return s
		}
		m.recordSource(ctx, c.source, err)
	}
}

// Refresh makes the process look at its sources again, because it was suspended and its state may be outdated.
func (m *Mirror) Refresh() {
	m.client.CloseIdleConnections()
	m.forgetAges()
	signal(m.refresh)
}

// Reading reports whether this process reads the platform.
func (m *Mirror) Reading() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reading
}

func (m *Mirror) setReading(on bool) {
	m.mu.Lock()
	was := m.reading
	m.reading = on
	m.mu.Unlock()
	if was != on {
		m.Log.Info().Bool("reading", on).Msg("mirror: platform is read here, or no longer")
	}
}

// NotifyNewer records a version that another process has read.
func (m *Mirror) NotifyNewer(prefix string, version int64) {
	for _, f := range m.feeds {
		if f.Prefix == prefix {
			f.notifyNewer(version)
		}
	}
}

// choose returns the process to follow now.
func (m *Mirror) choose() choice {
	before := predecessors(Member{Name: m.Name, Region: m.Region}, m.Present())
	now := m.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	return chooseSource(before, func(name units.ProcessName) sourceHealth {
		s, ok := m.sources[name]
		switch {
		case ok && now.Before(s.suspectUntil):
			return sourceSuspect
		case ok && now.Before(s.lostUntil):
			return sourceLost
		default:
			return sourceUsable
		}
	})
}

// changes returns a channel that is closed at the next change of a feed.
func (m *Mirror) changes() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

func (m *Mirror) notifySubscribers() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.changed)
	m.changed = make(chan struct{})
}

// sleep waits for the duration with jitter.
func sleep(ctx context.Context, d time.Duration) bool {
	return wait.Sleep(ctx, d/2+rand.N(d))
}
