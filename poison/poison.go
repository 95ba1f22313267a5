// Package poison quarantines requests that crash engines.
package poison

import (
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/peer"
	"github.com/buckthorntrack/buckthorntrack/trait"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// SuspectPrefix is the key prefix of the shared records of engines that crashed while they ran a request.
	SuspectPrefix = "suspect/"
	// Quarantine is how long a recorded crash counts, and so how long a request that crashes engines is refused.
	Quarantine = 10 * time.Minute
	// quarantineDeaths is the number of different engines that must have crashed before a request is refused.
	quarantineDeaths = 2
	// certainDeaths is the number from which a request is refused even if other engines crashed at the same time.
	certainDeaths = 3
	// outageWindow is the time within which crashes of several engines count as one outage.
	outageWindow = time.Second
)

// Screen records the requests that were running when engines crashed, and refuses those that crashed several engines. Its
// detector does the same for messages that differing requests share.
type Screen struct {
	*trait.Detector

	table *peer.Table
	flush func()

	mu     sync.RWMutex
	deaths map[string]map[units.EngineName]time.Time // crashed engines by request digest, with the time of the crash
}

// New returns a screen that shares its records with the peers through the table, and a function that ends its background
// work. The function flush sends the records without delay.
func New(table *peer.Table, flush func(), clock units.Clock, log zerolog.Logger) (*Screen, func()) {
	m := &tableMessenger{table: table, flush: flush, log: log}
	detector, closeDetector := trait.New(trait.Options{Messenger: m, Records: m, Clock: clock, Log: log})
	m.observe(detector)
	s := &Screen{
		Detector: detector, table: table, flush: flush, deaths: map[string]map[units.EngineName]time.Time{},
	}
	table.Observe(SuspectPrefix, s.apply)
	return s, closeDetector
}

// String returns the name of the stage.
func (*Screen) String() string {
	return "screen"
}

// Run refuses a request that is in quarantine.
func (s *Screen) Run(x *flow.Exchange) error {
	return s.Check(x.Digest, x.Traits)
}

// Check returns an error if the request with the digest, or one of its traits, is in quarantine.
func (s *Screen) Check(digest string, traits []trait.Trait) error {
	if !s.quarantined(digest) {
		return s.Detector.Check(traits)
	}
	return fault.Unavailable(fault.CodeQuarantined, Quarantine,
		"request is in quarantine because engines crashed while they ran it")
}

// quarantined reports whether crashed engines are evidence against the request. Two are not if as many other engines,
// which did not run it, crashed at about the same time: a request that moved between engines of one outage is innocent.
func (s *Screen) quarantined(digest string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	own := s.deaths[digest]
	if len(own) < quarantineDeaths || len(own) >= certainDeaths {
		return len(own) >= quarantineDeaths
	}
	return s.crashedBeside(own) < len(own)
}

// crashedBeside returns the number of engines that crashed within the outage window of those in own but are not in it.
func (s *Screen) crashedBeside(own map[units.EngineName]time.Time) int {
	others := map[units.EngineName]bool{}
	for _, engines := range s.deaths {
		for engine, at := range engines {
			if _, ok := own[engine]; !ok && withinOutage(at, own) {
				others[engine] = true
			}
		}
	}
	return len(others)
}

func withinOutage(at time.Time, crashes map[units.EngineName]time.Time) bool {
	for _, crash := range crashes {
		if at.Sub(crash).Abs() <= outageWindow {
			return true
		}
	}
	return false
}

// HasCrashedSeveral reports whether as many engines crashed while they ran the request as may put it in quarantine.
func (s *Screen) HasCrashedSeveral(digest string) bool {
	return s.Deaths(digest) >= quarantineDeaths
}

// Deaths returns the number of different engines that crashed while they ran the request.
func (s *Screen) Deaths(digest string) int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.deaths[digest])
}

// RecordCrash records that the engine crashed while it ran the request, and shares the record with the peers.
func (s *Screen) RecordCrash(digest string, engine units.EngineName) {
	key := SuspectPrefix + digest + "/" + string(engine)
	_ = s.table.Put(key, 0, Quarantine, true, wire.CrashSuspect{Digest: digest, Engine: string(engine)})
	s.flush()
}

// apply updates the local records from a changed entry of the shared table.
func (s *Screen) apply(v peer.Value) {
	digest, engine, ok := strings.Cut(strings.TrimPrefix(v.Key, SuspectPrefix), "/")
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.Expired {
		delete(s.deaths[digest], units.EngineName(engine))
		if len(s.deaths[digest]) == 0 {
			delete(s.deaths, digest)
		}
		return
	}
	if s.deaths[digest] == nil {
		s.deaths[digest] = map[units.EngineName]time.Time{}
	}
	s.deaths[digest][units.EngineName(engine)] = v.CreatedAt
	if own := s.deaths[digest]; len(own) == quarantineDeaths && s.crashedBeside(own) < len(own) {
		s.clearOthers(digest)
	}
}

// clearOthers removes the records of other requests that share a crashed engine with a request that is now in
// quarantine, since that request is the likely cause of the crash.
func (s *Screen) clearOthers(quarantined string) {
	for digest, engines := range s.deaths {
		if digest == quarantined || len(engines) >= quarantineDeaths {
			continue
		}
		for engine := range engines {
			if _, shared := s.deaths[quarantined][engine]; shared {
				delete(s.deaths, digest)
			}
		}
	}
}
