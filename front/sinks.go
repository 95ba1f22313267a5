package front

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/plat"
	"github.com/buckthorntrack/buckthorntrack/roster"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

// configSink puts the newest configuration in force. It never goes back to an older one.
type configSink struct {
	process     *Process
	translation Translation
}

// Replace implements sink.
func (s *configSink) Replace(c plat.Change) { s.Apply(c) }

// Apply implements sink.
func (s *configSink) Apply(c plat.Change) {
	for _, o := range c.Objects {
		if o.Key == s.translation.ConfigKey {
			s.put(o)
		}
	}
}

// Lost implements sink. The last configuration stays in force.
func (*configSink) Lost() {}

// Regained implements sink.
func (*configSink) Regained() {}

func (s *configSink) put(o plat.Object) {
	p := s.process
	next, err := s.translation.Config(o.Value)
	if err != nil {
		p.log.Error().Int64("version", int64(o.Version)).Err(err).Msg("front: configuration is refused and the last one stays")
		return
	}
	current := p.config.Load()
	if current != nil && current.Revision >= next.Revision {
		return
	}
	p.config.Store(next)
	p.log.Info().Int64("configVersion", int64(next.Revision)).Int("routes", len(next.Routes)).
		Int64("version", int64(o.Version)).Msg("front: configuration is in force")
}

// registry keeps the roster in line with the platform's registry of engines. An engine that is missing after an outage
// of the platform stays for a while, as it may have lapsed only because it could not reach the platform either.
type registry struct {
	roster      *roster.Roster
	translation Translation
	regions     map[units.PlaceName]units.RegionName
	lapse       time.Duration
	clock       units.Clock
	log         zerolog.Logger

	mu      sync.Mutex
	known   map[units.EngineName]bool
	missing map[units.EngineName]time.Time // when they are taken as gone
	back    time.Time                      // when the platform came back
	bad     map[string]units.Version       // malformed entries that were logged
	version units.Version
	isLost  bool
}

// lapsePoll is the time between two looks at the engines that are missing after an outage.
const lapsePoll = 200 * time.Millisecond

func newRegistry(
	r *roster.Roster, t Translation, regions map[units.PlaceName]units.RegionName, lapse time.Duration,
	clock units.Clock, log zerolog.Logger,
) *registry {
	return &registry{
		roster: r, translation: t, regions: regions, lapse: lapse, clock: clock, log: log,
		known: map[units.EngineName]bool{}, missing: map[units.EngineName]time.Time{}, bad: map[string]units.Version{},
	}
}

// Replace implements sink.
func (r *registry) Replace(c plat.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries := r.decode(c.Objects)
	listed := make(map[units.EngineName]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
	}
	var removed []units.EngineName
	for id := range r.known {
		if !listed[id] {
			removed = append(removed, id)
		}
	}
	r.put(entries, removed, c.Version)
}

// Apply implements sink.
func (r *registry) Apply(c plat.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	removed := make([]units.EngineName, 0, len(c.Deleted))
	for _, key := range c.Deleted {
		removed = append(removed, r.id(key))
	}
	r.put(r.decode(c.Objects), removed, c.Version)
}

// Lost implements sink.
func (r *registry) Lost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isLost = true
}

// Regained implements sink.
func (r *registry) Regained() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isLost = false
	r.back = r.clock()
}

// run takes engines away that are still missing when their time is over.
func (r *registry) run(ctx context.Context) {
	wait.Each(ctx, lapsePoll, r.expire)
}

func (r *registry) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.missing) == 0 || r.isLost {
		return
	}
	now := r.clock()
	var gone []units.EngineName
	for id, at := range r.missing {
		if !now.Before(at) {
			gone = append(gone, id)
			delete(r.missing, id)
			delete(r.known, id)
		}
	}
	if len(gone) > 0 {
		r.roster.Apply(nil, gone, r.version)
	}
}

func (r *registry) put(entries []pick.Entry, removed []units.EngineName, version units.Version) {
	r.version = version
	for _, e := range entries {
		r.known[e.ID] = true
		delete(r.missing, e.ID)
	}
	now := r.clock()
	gone := removed[:0]
	for _, id := range removed {
		if now.Sub(r.back) < r.lapse && !r.back.IsZero() {
			if _, waits := r.missing[id]; !waits && r.known[id] {
				r.missing[id] = r.back.Add(r.lapse)
				r.log.Info().Str("engine", string(id)).Int64("version", int64(version)).Msg("front: engine is missing after an outage and may come back")
			}
			continue
		}
		delete(r.known, id)
		delete(r.missing, id)
		gone = append(gone, id)
	}
	r.roster.Apply(entries, gone, version)
}

// decode leaves malformed entries out; each is logged once.
func (r *registry) decode(objects []plat.Object) []pick.Entry {
	entries := make([]pick.Entry, 0, len(objects))
	for _, o := range objects {
		e, err := r.translation.Entry(string(r.id(o.Key)), o.Value, r.regions)
		if err != nil {
			if r.bad[o.Key] == 0 {
				r.log.Warn().Int64("version", int64(o.Version)).Err(err).Msg("front: registry entry names no engine")
			}
			r.bad[o.Key] = o.Version
			continue
		}
		delete(r.bad, o.Key)
		entries = append(entries, e)
	}
	return entries
}

func (r *registry) id(key string) units.EngineName {
	return units.EngineName(strings.TrimPrefix(key, r.translation.EnginesPrefix))
}
