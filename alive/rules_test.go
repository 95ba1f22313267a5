package alive

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// returnTime is the time within which a process that was away is counted again.
const returnTime = time.Second

// TestFleetOfLeftOverRegistrationsIsSmall guards against a size of the fleet that counts processes that are gone.
func TestFleetOfLeftOverRegistrationsIsSmall(t *testing.T) {
	s := simulate(60, func(i int) bool { return i%6 == 5 })
	s.run(8 * time.Second)
	for _, name := range s.live() {
		assert.Equal(t, s.watches[name].Here(), 10)
		assert.Assert(t, s.watches[name].IsSmall())
	}
}

// TestProcessThatWasAwayIsCountedAgain guards against a process that stays gone though it is back.
func TestProcessThatWasAwayIsCountedAgain(t *testing.T) {
	tests := []struct {
		name     string
		live     int
		leftOver int
		away     time.Duration
	}{
		{name: "small fleet, some seconds", live: 8, away: 5 * time.Second},
		{name: "small fleet, a minute", live: 8, away: time.Minute},
		{name: "small fleet with some left over, a minute", live: 8, leftOver: 3, away: time.Minute},
		{name: "large fleet, a minute", live: 66, away: time.Minute},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := simulate(tt.live+tt.leftOver, func(i int) bool { return i >= tt.leftOver })
			s.run(5 * time.Second)
			away := s.live()[0]
			s.lost = func(from, to units.ProcessName) bool { return from == away || to == away }
			s.run(tt.away)
			for _, name := range s.live()[1:] {
				assert.Assert(t, s.watches[name].IsGone(away), "%s counts a process that is away", name)
			}
			s.lost = func(_, _ units.ProcessName) bool { return false }
			s.run(returnTime)
			assert.Assert(t, s.agree(), "processes do not agree on those with duties")
		})
	}
}

// TestProcessThatAnswersOnlyKnownOnesIsNotGone guards against processes of earlier software that are taken for gone: they answer a
// process only once they have read its registration.
func TestProcessThatAnswersOnlyKnownOnesIsNotGone(t *testing.T) {
	s := simulate(8, func(int) bool { return true })
	newcomer := s.ordered[7].Name
	s.lost = func(from, to units.ProcessName) bool { return from == newcomer || to == newcomer }
	s.run(settleTime - answerTime)
	for _, p := range s.ordered[:7] {
		assert.Assert(t, !s.watches[newcomer].IsGone(p.Name), "%s is gone", p.Name)
	}
}

// TestRulesOfMembership checks for any series of losses, returns, cuts and registrations that the processes agree on those with
// duties once it is over, and that none that lives is gone.
func TestRulesOfMembership(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := simulate(rapid.IntRange(3, 30).Draw(rt, "registered"), func(i int) bool { return i%3 != 1 })
		cut := map[units.ProcessName]bool{}
		s.lost = func(from, to units.ProcessName) bool { return cut[from] != cut[to] }
		pick := func(rt *rapid.T) Process { return rapid.SampledFrom(s.ordered).Draw(rt, "process") }
		rt.Repeat(map[string]func(*rapid.T){
			"lose": func(rt *rapid.T) {
				if len(s.live()) > 1 {
					s.dead[pick(rt).Name] = true
				}
			},
			"start": func(rt *rapid.T) {
				if p := pick(rt); s.dead[p.Name] {
					s.start(p)
				}
			},
			"cut":  func(rt *rapid.T) { cut[pick(rt).Name] = true },
			"heal": func(rt *rapid.T) { delete(cut, pick(rt).Name) },
			"remove": func(rt *rapid.T) {
				p := pick(rt)
				if !s.dead[p.Name] || len(s.ordered) < 3 {
					return
				}
				s.ordered = slices.DeleteFunc(slices.Clone(s.ordered), func(o Process) bool { return o == p })
				for _, name := range s.live() {
					s.watches[name].Update(nil, []units.ProcessName{p.Name}, s.now)
				}
			},
			"wait": func(rt *rapid.T) {
				s.run(time.Duration(rapid.IntRange(1, 40).Draw(rt, "tenths")) * Interval)
			},
			"": func(*rapid.T) {},
		})
		clear(cut)
		s.run(2 * handOver)
		if !s.agree() {
			rt.Fatalf("processes do not agree on those with duties: %v", s.actualLeaders())
		}
		for _, name := range s.live() {
			for _, other := range s.live() {
				if s.watches[name].IsGone(other) {
					rt.Fatalf("%s is gone for %s", other, name)
				}
			}
		}
	})
}
