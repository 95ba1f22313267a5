package gossip_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/gossip"
	"github.com/buckthorntrack/buckthorntrack/trait"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// traitLog records the messages on traits that a process receives.
type traitLog struct {
	broken    int
	completed int
	learned   []trait.Trait
	knows     map[trait.Trait]time.Duration // traits in quarantine
	has       bool                          // it has completed a run with each trait
}

// ReceiveBroken implements gossip.TraitSink.
func (l *traitLog) ReceiveBroken([]trait.Trait, trait.Engine, time.Duration) map[trait.Trait]time.Duration {
	l.broken++
	return l.knows
}

// ReceiveCompleted implements gossip.TraitSink.
func (l *traitLog) ReceiveCompleted(traits []trait.Trait) { l.completed += len(traits) }

// HasCompleted implements gossip.TraitSink.
func (l *traitLog) HasCompleted(trait.Trait, time.Duration) bool { return l.has }

// Learn implements gossip.TraitSink.
func (l *traitLog) Learn(t trait.Trait, _ time.Duration, _ string) { l.learned = append(l.learned, t) }

// TestEvidenceGoesToCollectors checks that a run is reported to all processes of a small fleet and only to those that
// collect evidence in a large one, that all are asked and told of a quarantine, and that a process that reports a run
// with a trait in quarantine is told so.
func TestEvidenceGoesToCollectors(t *testing.T) {
	tests := []struct {
		name       string
		smallFleet int
		reported   [3]int // reports that each process receives
	}{
		{name: "small fleet", smallFleet: gossip.SmallFleet, reported: [3]int{0, 1, 1}},
		{name: "large fleet", smallFleet: 1, reported: [3]int{0, 1, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runProcesses(t, tt.smallFleet, func(_ *fakes.PacketNetwork, all []*process) {
				logs := make([]*traitLog, len(all))
				for i, p := range all {
					logs[i] = &traitLog{}
					p.OnTraits(logs[i], func() []units.ProcessName { return []units.ProcessName{"b"} })
				}
				logs[1].knows = map[trait.Trait]time.Duration{"known": time.Minute}
				logs[2].has = true
				all[0].ReportBrokenRun([]trait.Trait{"known", "x"}, trait.Engine{ID: "e", Incarnation: 5}, time.Second)
				all[0].ReportCompletion([]trait.Trait{"x"})
				synctest.Wait()
				for i, reports := range tt.reported {
					assert.Equal(t, logs[i].broken, reports)
					assert.Equal(t, logs[i].completed, reports)
				}
				assert.DeepEqual(t, logs[0].learned, []trait.Trait{"known"})

				all[0].AskCompletions("x", time.Second)
				all[0].AnnounceQuarantine("x", time.Minute)
				synctest.Wait()
				assert.Equal(t, logs[0].completed, 1, "the process that completed such a run answers")
				assert.DeepEqual(t, logs[1].learned, []trait.Trait{"x"})
				assert.DeepEqual(t, logs[2].learned, []trait.Trait{"x"})
			})
		})
	}
}
