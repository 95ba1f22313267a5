package front

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/mirror"
	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/roster"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

// configSink activates the newest configuration. It ignores older revisions.
type configSink struct {
	process *Process
	adapter Adapter
	listed  *listedKeys
	lost    atomic.Bool // the platform cannot be reached
}

// Replace implements mirror.Sink.
func (s *configSink) Replace(c objapi.Change) { s.Apply(c) }

// Apply implements mirror.Sink.
func (s *configSink) Apply(c objapi.Change) {
	for _, o := range c.Objects {
		if o.Key == s.adapter.ConfigKey {
			s.activate(o)
		}
	}
}

// SetOutage implements mirror.Sink. The current configuration stays in force.
func (s *configSink) SetOutage(o mirror.Outage) { s.lost.Store(o.Lost) }

// keep is the feed's Keep. Revisions of the configuration are the operator's own and never go back.
func (s *configSink) keep(known, current objapi.Object) bool {
	if known.Key != s.adapter.ConfigKey {
		return false
	}
	before, err := s.adapter.DecodeConfig(known.Value)
	if err != nil {
		return false
	}
	now, err := s.adapter.DecodeConfig(current.Value)
	return err != nil || before.Revision > now.Revision
}

func (s *configSink) activate(o objapi.Object) {
	p := s.process
	next, err := s.adapter.DecodeConfig(o.Value)
	if err != nil {
		p.log.Error().Int64("version", int64(o.Version)).Err(err).
			Msg("front: configuration is invalid, the current one stays in force")
		if digests, ok := s.adapter.ListKeys(o.Value); ok {
			s.listed.restrict(digests)
		}
		return
	}
	current := p.config.Load()
	if current != nil && current.Revision >= next.Revision {
		return
	}
	p.config.Store(next)
	s.listed.release()
	p.callers.SetLimits(limitsOf(next.Bounds))
	p.log.Info().Int64("configVersion", int64(next.Revision)).Int("routes", len(next.Routes)).
		Int64("version", int64(o.Version)).Msg("front: configuration is in force")
}

// engineSink applies changes of the platform's engine registry to the roster. An engine that is missing from the
// registry after an outage of the platform is kept for returnTime: its entry may have expired only because the engine
// could not reach the platform either.
type engineSink struct {
	roster     *roster.Roster
	adapter    Adapter
	regions    map[units.PlaceName]units.RegionName
	returnTime time.Duration
	holdTime   time.Duration // after a restore, within which the entries of engines that have ended are gone
	clock      units.Clock
	log        zerolog.Logger

	mu          sync.Mutex
	known       map[units.EngineName]pick.Entry
	departed    departures
	missing     map[units.EngineName]time.Time // when they are removed from the roster
	recoveredAt time.Time                      // end of the last outage, zero before the first
	malformed   map[string]units.Version       // malformed entries, by key
	version     units.Version
	unreachable bool
}

// missingPollInterval is the interval between checks of the engines that are missing after an outage.
const missingPollInterval = 200 * time.Millisecond

func newEngineSink(
	r *roster.Roster, a Adapter, regions map[units.PlaceName]units.RegionName, s config.Routed,
	clock units.Clock, log zerolog.Logger,
) *engineSink {
	return &engineSink{
		roster: r, adapter: a, regions: regions, returnTime: s.ReturnTime, holdTime: renewalsToExpiry * s.RenewInterval,
		clock: clock, log: log,
		known: map[units.EngineName]pick.Entry{}, departed: newDepartures(),
		missing: map[units.EngineName]time.Time{}, malformed: map[string]units.Version{},
	}
}

// Replace implements mirror.Sink.
func (s *engineSink) Replace(c objapi.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := s.decode(c.Objects)
	if restored := s.version != 0 && c.Version.Era() > s.version.Era(); restored {
		s.recoveredAt = s.clock()
		s.departed.expect(entries, s.recoveredAt.Add(s.holdTime))
	}
	entries = s.departed.without(entries)
	listed := make(map[units.EngineName]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
	}
	var removed []units.EngineName
	for id := range s.known {
		if !listed[id] {
			removed = append(removed, id)
		}
	}
	s.update(entries, removed, c.Version)
}

// Apply implements mirror.Sink.
func (s *engineSink) Apply(c objapi.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	removed := make([]units.EngineName, 0, len(c.Deleted))
	for _, key := range c.Deleted {
		removed = append(removed, s.engineName(key))
	}
	entries := s.decode(c.Objects)
	s.departed.release(entries, removed)
	s.update(entries, removed, c.Version)
}

// keep is the feed's Keep. What an engine says of itself tells which of two entries of it is the later one.
func (s *engineSink) keep(known, current objapi.Object) bool {
	if current.Key == "" {
		return false // the sink keeps it for the return time
	}
	id := string(s.engineName(known.Key))
	before, err := s.adapter.DecodeEngine(id, known.Value, s.regions)
	if err != nil {
		return false
	}
	now, err := s.adapter.DecodeEngine(id, current.Value, s.regions)
	return err == nil && before.IsNewer(now)
}

// SetOutage implements mirror.Sink.
func (s *engineSink) SetOutage(o mirror.Outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = o.Lost
	if o.EndedAgo >= 0 {
		s.recoveredAt = s.clock().Add(-o.EndedAgo)
	}
}

// run removes engines that are still missing after returnTime, until ctx ends.
func (s *engineSink) run(ctx context.Context) {
	wait.Every(ctx, missingPollInterval, s.expire)
}

// expire removes the engines whose return time has passed, except during an outage, when engines cannot renew their
// entries.
func (s *engineSink) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable {
		return
	}
	now := s.clock()
	var gone []units.EngineName
	for id, at := range s.missing {
		if !now.Before(at) {
			gone = append(gone, id)
			delete(s.missing, id)
			s.forget(id)
		}
	}
	alive := s.departed.due(now)
	for _, e := range alive {
		s.known[e.ID] = e
	}
	if len(gone)+len(alive) > 0 {
		s.roster.Apply(alive, gone, s.version)
	}
}

// forget removes an engine that has left the registry.
func (s *engineSink) forget(id units.EngineName) {
	if e, ok := s.known[id]; ok {
		s.departed.add(e, s.clock())
		delete(s.known, id)
	}
}

// update applies entries and removals to the roster. For returnTime after an outage, a removal only marks the engine
// as missing.
func (s *engineSink) update(entries []pick.Entry, removed []units.EngineName, version units.Version) {
	s.version = version
	for _, e := range entries {
		s.known[e.ID] = e
		s.departed.returned(e.ID)
		delete(s.missing, e.ID)
	}
	now := s.clock()
	gone := removed[:0]
	for _, id := range removed {
		if now.Sub(s.recoveredAt) < s.returnTime && !s.recoveredAt.IsZero() {
			_, known := s.known[id]
			if _, pending := s.missing[id]; !pending && known {
				s.missing[id] = s.recoveredAt.Add(s.returnTime)
				s.log.Info().Str("engine", string(id)).Int64("version", int64(version)).
					Msg("front: engine is missing after an outage, kept until the return time ends")
			}
			continue
		}
		s.forget(id)
		delete(s.missing, id)
		gone = append(gone, id)
	}
	s.roster.Apply(entries, gone, version)
}

// decode skips malformed entries. It logs the first malformed version of an entry only.
func (s *engineSink) decode(objects []objapi.Object) []pick.Entry {
	entries := make([]pick.Entry, 0, len(objects))
	for _, o := range objects {
		e, err := s.adapter.DecodeEngine(string(s.engineName(o.Key)), o.Value, s.regions)
		if err != nil {
			if s.malformed[o.Key] == 0 {
				s.log.Warn().Int64("version", int64(o.Version)).Err(err).Msg("front: registry entry is malformed")
			}
			s.malformed[o.Key] = o.Version
			continue
		}
		delete(s.malformed, o.Key)
		entries = append(entries, e)
	}
	return entries
}

func (s *engineSink) engineName(key string) units.EngineName {
	return units.EngineName(strings.TrimPrefix(key, s.adapter.EnginesPrefix))
}
