// Package screen keeps requests away from engines when engines died of them.
package screen

import (
	"strings"
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/peer"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// Prefix is the prefix of the shared entries that tell which engine died of which request.
	Prefix = "suspect/"
	// Quarantine is how long a request is refused after it killed engines.
	Quarantine = 10 * time.Minute
	// deathsToRefuse is the number of different engines that must have died.
	deathsToRefuse = 2
)

// Screen knows the requests that engines died of.
type Screen struct {
	table *peer.Table
	flush func()

	mu     sync.RWMutex
	deaths map[string]map[units.EngineName]bool // by digest
}

// New returns a screen that shares what it learns through the table. Flush sends changes to the peers at once.
func New(table *peer.Table, flush func()) *Screen {
	s := &Screen{table: table, flush: flush, deaths: map[string]map[units.EngineName]bool{}}
	table.Observe(Prefix, s.learn)
	return s
}

// String names the stage.
func (*Screen) String() string {
	return "screen"
}

// Run refuses a request that killed two engines.
func (s *Screen) Run(x *flow.Exchange) error {
	return s.Check(x.Digest)
}

// Check refuses the request with the digest when it killed two engines.
func (s *Screen) Check(digest string) error {
	if s.Deaths(digest) < deathsToRefuse {
		return nil
	}
	return fault.Unavailable(fault.CodeQuarantined, Quarantine,
		"request is in quarantine since engines died while they ran it")
}

// Deaths returns the number of different engines that died while they ran the request.
func (s *Screen) Deaths(digest string) int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.deaths[digest])
}

// Died records that the engine died while it ran the request, and tells the peers.
func (s *Screen) Died(digest string, engine units.EngineName) {
	key := Prefix + digest + "/" + string(engine)
	_ = s.table.Put(key, 0, Quarantine, true, wire.Suspect{Digest: digest, Engine: string(engine)})
	s.flush()
}

func (s *Screen) learn(v peer.Value) {
	digest, engine, ok := strings.Cut(strings.TrimPrefix(v.Key, Prefix), "/")
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.Gone {
		delete(s.deaths[digest], units.EngineName(engine))
		if len(s.deaths[digest]) == 0 {
			delete(s.deaths, digest)
		}
		return
	}
	if s.deaths[digest] == nil {
		s.deaths[digest] = map[units.EngineName]bool{}
	}
	s.deaths[digest][units.EngineName(engine)] = true
	if len(s.deaths[digest]) == deathsToRefuse {
		s.clearOthers(digest)
	}
}

// clearOthers drops the suspicion of requests that ran beside the one that is now known to kill engines.
func (s *Screen) clearOthers(guilty string) {
	for digest, engines := range s.deaths {
		if digest == guilty || len(engines) >= deathsToRefuse {
			continue
		}
		for engine := range engines {
			if s.deaths[guilty][engine] {
				delete(s.deaths, digest)
			}
		}
	}
}
