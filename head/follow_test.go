package head

import (
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

// TestRevisionIsOutdatedOnceAPeerHasANewerOne checks what counts as outdated after each of a series of events.
func TestRevisionIsOutdatedOnceAPeerHasANewerOne(t *testing.T) {
	folder := func(revision int64, text string) wire.ConfigFolder {
		return wire.ConfigFolder{Revision: revision, Files: []wire.ConfigFile{{Name: "10.ini", Text: text}}}
	}
	f := NewFollower(nil, nil, zerolog.Nop())
	steps := []struct {
		name     string
		event    func()
		outdated []units.Revision
		current  []units.Revision
	}{
		{name: "start", event: func() {}, current: []units.Revision{0}},
		{name: "peer has 3", event: func() { f.Heard(3) }, outdated: []units.Revision{0, 2}, current: []units.Revision{3, 4}},
		{name: "another peer has 2", event: func() { f.Heard(2) }, outdated: []units.Revision{0, 2}, current: []units.Revision{3}},
		{name: "3 is in force", event: func() { f.Offer(folder(3, "[tenant a]\n")) }, outdated: []units.Revision{2}, current: []units.Revision{3}},
		{name: "peer has 4", event: func() { f.Heard(4) }, outdated: []units.Revision{3}, current: []units.Revision{4}},
		{name: "4 does not pass the check", event: func() { f.Offer(folder(4, "[other a]\n")) }, current: []units.Revision{3}},
		{name: "peer has 5", event: func() { f.Heard(5) }, outdated: []units.Revision{3}, current: []units.Revision{5}},
	}
	for _, s := range steps {
		s.event()
		for _, revision := range s.outdated {
			assert.Assert(t, f.IsOutdated(revision), "%s: %d", s.name, revision)
		}
		for _, revision := range s.current {
			assert.Assert(t, !f.IsOutdated(revision), "%s: %d", s.name, revision)
		}
	}
}
