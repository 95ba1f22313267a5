package poison

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/peer"
	"github.com/buckthorntrack/buckthorntrack/trait"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	brokenPrefix     = "broken/"
	completedPrefix  = "completed/"
	queryPrefix      = "completedQuery/"
	quarantinePrefix = "quarantine/"
	// evidenceLifetime is how long the table keeps evidence, which each process counts when it arrives.
	evidenceLifetime = 30 * time.Second
)

// tableMessenger shares evidence and quarantines through the table of the peers.
type tableMessenger struct {
	table *peer.Table
	flush func()
	log   zerolog.Logger
}

// observe passes the entries of all processes to the detector.
func (m *tableMessenger) observe(d *trait.Detector) {
	m.table.Observe(brokenPrefix, func(v peer.Value) {
		var run wire.BrokenRun
		if !m.decode(v, &run) {
			return
		}
		e := trait.Engine{ID: units.EngineName(run.Engine), Incarnation: run.Incarnation}
		d.ReceiveBroken(traitsOf(run.Traits), e, time.Duration(run.LastedMS)*time.Millisecond)
	})
	m.table.Observe(completedPrefix, func(v peer.Value) {
		if !v.Expired {
			d.ReceiveCompleted([]trait.Trait{traitOf(v, completedPrefix)})
		}
	})
	m.table.Observe(queryPrefix, func(v peer.Value) {
		var q wire.CompletionQuery
		if !m.decode(v, &q) {
			return
		}
		if t := traitOf(v, queryPrefix); d.HasCompleted(t, time.Duration(q.WithinMS)*time.Millisecond) {
			m.ReportCompletion([]trait.Trait{t})
		}
	})
	m.table.Observe(quarantinePrefix, func(v peer.Value) {
		t := traitOf(v, quarantinePrefix)
		if v.Expired {
			d.Release(t)
			return
		}
		d.Learn(t, trait.Quarantine, "peers")
	})
}

// decode decodes an entry into target. It returns false for an entry that has expired or is malformed.
func (m *tableMessenger) decode(v peer.Value, target any) bool {
	if v.Expired {
		return false
	}
	if err := v.Decode(target); err != nil {
		m.log.Warn().Str("key", v.Key).Err(err).Msg("poison: entry is malformed and ignored")
		return false
	}
	return true
}

// ReportBrokenRun implements trait.Messenger.
func (m *tableMessenger) ReportBrokenRun(traits []trait.Trait, e trait.Engine, lasted time.Duration) {
	run := wire.BrokenRun{Engine: string(e.ID), Incarnation: e.Incarnation, LastedMS: lasted.Milliseconds()}
	for _, t := range traits {
		run.Traits = append(run.Traits, string(t))
	}
	key := brokenPrefix + run.Engine + "/" + strconv.FormatInt(e.Incarnation, 10) + "/" + run.Traits[len(run.Traits)-1]
	m.put(key, evidenceLifetime, run)
}

// ReportCompletion implements trait.Messenger.
func (m *tableMessenger) ReportCompletion(traits []trait.Trait) {
	for _, t := range traits {
		m.put(completedPrefix+string(t), evidenceLifetime, true)
	}
}

// AskCompletions implements trait.Messenger.
func (m *tableMessenger) AskCompletions(t trait.Trait, within time.Duration) {
	m.put(queryPrefix+string(t), evidenceLifetime, wire.CompletionQuery{WithinMS: within.Milliseconds()})
}

// AnnounceQuarantine implements trait.Messenger. The record of the quarantine announces it.
func (*tableMessenger) AnnounceQuarantine(trait.Trait, time.Duration) {}

// Put implements trait.Records.
func (m *tableMessenger) Put(_ context.Context, t trait.Trait) error {
	m.put(quarantinePrefix+string(t), trait.Quarantine, true)
	return nil
}

// Expire implements trait.Records. The table removes the entry by itself.
func (*tableMessenger) Expire(context.Context, trait.Trait) error { return nil }

func (m *tableMessenger) put(key string, ttl time.Duration, value any) {
	if err := m.table.Put(key, 0, ttl, true, value); err != nil {
		m.log.Error().Str("key", key).Err(err).Msg("poison: entry cannot be shared")
		return
	}
	m.flush()
}

func traitOf(v peer.Value, prefix string) trait.Trait {
	return trait.Trait(strings.TrimPrefix(v.Key, prefix))
}

func traitsOf(texts []string) []trait.Trait {
	traits := make([]trait.Trait, len(texts))
	for i, text := range texts {
		traits[i] = trait.Trait(text)
	}
	return traits
}
