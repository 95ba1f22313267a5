package pace_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntrack/buckthorntrack/pace"
)

// cold is the slowness of an engine that has just started.
const cold = 4

// trial is a scenario with the engines that change and the period that is looked at.
type trial struct {
	name     string
	changed  []int
	from, to time.Duration
	scenario
}

func small(change func(m *model)) scenario {
	return scenario{
		processes: 6, engines: 8, delay: time.Millisecond, load: 0.6, length: 30 * time.Second, change: change,
	}
}

// outcome is the mean over several runs of a trial.
type outcome struct {
	p95, p99        time.Duration
	share           float64 // of the work that the changed engines do, relative to the mean of all engines
	refused, failed int
}

// testSeeds is the number of seeds of each trial in the tests.
const testSeeds = 3

// outcomeOf runs a trial with several seeds.
func outcomeOf(c trial, newPolicy func(*pace.Group) policy, seeds int) (o outcome) {
	for seed := range uint64(seeds) {
		s := c.scenario
		s.seed, s.newPolicy = seed, newPolicy
		m := run(s)
		o.p95 += m.tail(0.95, c.from, c.to) / time.Duration(seeds)
		o.p99 += m.tail(0.99, c.from, c.to) / time.Duration(seeds)
		o.share += m.share(c.changed, c.from, c.to) / float64(seeds)
		o.refused += m.refused
		o.failed += m.failed
	}
	return o
}

// Indexes of scenarios.
const (
	coldEngine = iota
	goodEngine
	release
	upAndDown
	slowEngine
	manyProcesses
	firstStart
)

var scenarios = []trial{
	{
		name: "cold engine, 6 s", changed: []int{0}, from: 10 * time.Second, to: 16 * time.Second,
		scenario: small(func(m *model) {
			m.at(10*time.Second, func() { m.replace(m.engines[0], cold, 6*time.Second) })
		}),
	},
	{
		name: "new engine that answers well, first 2 s", changed: []int{0}, from: 10 * time.Second, to: 12 * time.Second,
		scenario: small(func(m *model) {
			m.at(10*time.Second, func() { m.replace(m.engines[0], 1, 0) })
		}),
	},
	{
		name: "release of half of the engines, 4 s cold", changed: []int{0, 1, 2, 3}, from: 10 * time.Second, to: 18 * time.Second,
		scenario: small(func(m *model) {
			for i := range 4 {
				m.at(time.Duration(10+i)*time.Second, func() { m.replace(m.engines[i], cold, 4*time.Second) })
			}
		}),
	},
	{
		name: "engine up for 3 s and down for 2 s", changed: []int{0}, from: 10 * time.Second, to: 30 * time.Second,
		scenario: small(func(m *model) {
			m.at(10*time.Second, func() {
				m.engines[0].down = func(now time.Time) bool { return now.Sub(epoch)%(5*time.Second) >= 3*time.Second }
				m.engines[0].slowness = func(now time.Time) float64 {
					if now.Sub(epoch)%(5*time.Second) < 1500*time.Millisecond {
						return cold
					}
					return 1
				}
			})
		}),
	},
	{
		name: "engine three times slower than it says", changed: []int{0}, from: 10 * time.Second, to: 30 * time.Second,
		scenario: small(func(m *model) {
			m.at(10*time.Second, func() { m.replace(m.engines[0], 3, time.Hour) })
		}),
	},
	{
		name: "72 processes, 4 cold engines of 40, 6 s", changed: []int{0, 1, 2, 3}, from: 10 * time.Second, to: 16 * time.Second,
		scenario: scenario{
			processes: 72, engines: 40, candidates: 4, delay: 3 * time.Millisecond, load: 0.6, length: 30 * time.Second,
			change: func(m *model) {
				for i := range 4 {
					m.at(10*time.Second, func() { m.replace(m.engines[i], cold, 6*time.Second) })
				}
			},
		},
	},
	{
		name: "first start of all engines, 3 s cold", changed: []int{0}, from: 0, to: 8 * time.Second,
		scenario: small(func(m *model) {
			for _, e := range m.engines {
				m.replace(e, 2, 3*time.Second)
			}
		}),
	},
}

// TestColdEngineDelaysFewRequests guards against an engine that gets a full share of the work while it is cold, also from
// many processes that each send little.
func TestColdEngineDelaysFewRequests(t *testing.T) {
	for _, i := range []int{coldEngine, release, slowEngine, manyProcesses} {
		t.Run(scenarios[i].name, func(t *testing.T) {
			none, with := outcomeOf(scenarios[i], newUnpaced, testSeeds), outcomeOf(scenarios[i], newPaced, testSeeds)
			assert.Assert(t, with.p99 <= none.p99*6/10, "p99 %v, without pace %v", with.p99, none.p99)
			assert.Assert(t, with.p95 <= none.p95*101/100, "p95 %v, without pace %v", with.p95, none.p95)
			assert.Assert(t, with.share >= 0.03, "share of the work is %.2f", with.share)
		})
	}
}

// TestGoodEngineIsNotLeftIdle guards against an engine that is held back for long although it answers well.
func TestGoodEngineIsNotLeftIdle(t *testing.T) {
	c := scenarios[goodEngine]
	for _, load := range []float64{0.1, 0.3, 0.6, 0.9} {
		c.load = load
		with := outcomeOf(c, newPaced, testSeeds)
		assert.Assert(t, with.share >= 0.75, "load %.1f: share of the work in 2 s is %.2f", load, with.share)
		for seed := range uint64(8) {
			s := c.scenario
			s.seed, s.newPolicy, s.length = seed, newPaced, c.to+500*time.Millisecond
			allowance := run(s).engines[0].policy.allowance(epoch.Add(s.length))
			assert.Equal(t, allowance, 0, "load %.1f, seed %d: the engine is still held back", load, seed)
		}
	}
}

// TestEngineThatGoesUpAndDownFailsFewerRequests guards against a full share of the work each time that the engine is up.
func TestEngineThatGoesUpAndDownFailsFewerRequests(t *testing.T) {
	none, with := outcomeOf(scenarios[upAndDown], newUnpaced, testSeeds), outcomeOf(scenarios[upAndDown], newPaced, testSeeds)
	assert.Assert(t, with.failed <= none.failed*3/4, "%d failed, without pace %d", with.failed, none.failed)
	assert.Assert(t, with.share >= 0.08, "share of the work is %.2f", with.share)
}

// TestFirstStartIsNotHeldBack guards against a fleet that holds all its engines back as none has answered yet.
func TestFirstStartIsNotHeldBack(t *testing.T) {
	for _, load := range []float64{0.3, 0.45, 0.6} {
		c := scenarios[firstStart]
		c.load = load
		none, with := outcomeOf(c, newUnpaced, testSeeds), outcomeOf(c, newPaced, testSeeds)
		assert.Assert(t, with.p99 <= none.p99*102/100, "load %.2f: p99 %v, without pace %v", load, with.p99, none.p99)
		assert.Assert(t, with.refused <= none.refused*102/100, "load %.2f: %d refused, without pace %d", load, with.refused, none.refused)
	}
}

// TestNoEngineIsShutOut checks after any sequence of events that an engine may have a request, and that good answers open it
// in bounded time. Otherwise an engine that was found slow once would stay idle for ever.
func TestNoEngineIsShutOut(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var s pace.State
		slots := rapid.IntRange(0, 64).Draw(rt, "slots")
		s.SetSlots(slots)
		now := epoch
		for range rapid.IntRange(0, 80).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 7).Draw(rt, "event") {
			case 0:
				s.Start(rapid.Bool().Draw(rt, "cold"), now)
			case 1:
				s.Come(now)
			case 2:
				s.Reject(rapid.IntRange(0, 80).Draw(rt, "outstanding"), rapid.Bool().Draw(rt, "full"), now)
			case 3:
				s.Report(rapid.IntRange(0, 400).Draw(rt, "requests"), now)
			case 4:
				s.Begin(rapid.Bool().Draw(rt, "compared"), now)
			case 5:
				s.Follow(now)
			default:
				s.Answer(rapid.Float64Range(-4, 4).Draw(rt, "deviation"), now.Add(-200*time.Millisecond), now)
			}
			_, held := s.Held()
			assert.Equal(rt, held, s.Allowance() > 0)
			assert.Assert(rt, s.Allowance() >= 0 && s.Allowance() <= max(slots, 1)+3, "allowance %d of %d", s.Allowance(), slots)
		}
		for range 200 {
			now = now.Add(100 * time.Millisecond)
			s.Answer(0, now.Add(-50*time.Millisecond), now)
		}
		assert.Equal(rt, s.Allowance(), 0, "still held back after 20 s of good answers")
	})
}

// TestSlowEnginesDoNotMoveTheMedian guards against peers that count as slow since a few engines are.
func TestSlowEnginesDoNotMoveTheMedian(t *testing.T) {
	var g pace.Group
	now := epoch
	assert.Assert(t, !g.IsMeasured(now))
	for i := range 400 {
		now = now.Add(10 * time.Millisecond)
		took := 200 * time.Millisecond
		if i%5 == 0 {
			took *= 10
		}
		g.Add(pace.Whole, pace.Ended(took), now)
	}
	d, known := g.Deviation(pace.Whole, pace.Ended(200*time.Millisecond), now)
	assert.Assert(t, known)
	assert.Assert(t, d < 0.2 && d > -0.2, "deviation of the usual duration is %.2f", d)
	_, known = g.Deviation(pace.Prefill, 0, now)
	assert.Assert(t, !known, "kinds are compared with each other")
	assert.Assert(t, !g.IsMeasured(now.Add(6*time.Second)), "old measurements still count")
}

// TestProcessesDoNotTakeTheSamePlace guards against many processes that ask at once and are all told of one free place.
func TestProcessesDoNotTakeTheSamePlace(t *testing.T) {
	var s pace.State
	s.SetSlots(12)
	assert.Equal(t, s.Offered(epoch), 0)
	assert.Equal(t, s.Offered(epoch), 0, "an open engine")
	s.Start(false, epoch)
	for i := range 72 {
		assert.Equal(t, s.Offered(epoch), i)
	}
	assert.Equal(t, s.Offered(epoch.Add(time.Second)), 0, "places that nobody took are kept")
}

// TestFullEngineIsNotHeldBack guards against an open engine that is held back since it refused work while its slots were
// taken, as engines do under load, and against one that refuses work while they are not and gets as much as before.
func TestFullEngineIsNotHeldBack(t *testing.T) {
	var s pace.State
	s.SetSlots(12)
	s.Reject(12, true, epoch)
	assert.Equal(t, s.Allowance(), 0)
	s.Reject(8, false, epoch)
	assert.Equal(t, s.Allowance(), 4)
	held, ok := s.Held()
	assert.Assert(t, ok)
	assert.Equal(t, held.Reason, pace.Rejected)
	s.Report(15, epoch)
	assert.Equal(t, s.Allowance(), 1, "the queue of the engine grows")
}

// TestRefusalsDoNotOpenAnEngine guards against an engine that counts as fast since it refuses work at once.
func TestRefusalsDoNotOpenAnEngine(t *testing.T) {
	var s pace.State
	s.SetSlots(12)
	s.Start(false, epoch)
	now := epoch
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		s.Answer(pace.Ended(5*time.Millisecond)-pace.Ended(800*time.Millisecond), now.Add(-5*time.Millisecond), now)
	}
	assert.Equal(t, s.Allowance(), 3)
}

// TestRelapsesOpenLater guards against an engine that is opened every two seconds although it is slow again each time.
func TestRelapsesOpenLater(t *testing.T) {
	var s pace.State
	s.SetSlots(64)
	now := epoch
	untilOpen := func() time.Duration {
		for s.Allowance() == 0 {
			now = now.Add(100 * time.Millisecond)
			s.Answer(2, now.Add(-50*time.Millisecond), now)
		}
		began := now
		for s.Allowance() > 0 {
			now = now.Add(100 * time.Millisecond)
			s.Answer(0, now.Add(-50*time.Millisecond), now)
		}
		return now.Sub(began).Truncate(time.Second)
	}
	for _, want := range []time.Duration{2, 4, 8, 16, 16} {
		assert.Equal(t, untilOpen(), want*time.Second)
	}
	now = now.Add(time.Hour)
	assert.Equal(t, untilOpen(), 2*time.Second)
}

// TestColdEngineBeginsWithOneRequest guards against an engine that stays held back since it says that it is cold although it
// answers well.
func TestColdEngineBeginsWithOneRequest(t *testing.T) {
	var s pace.State
	s.SetSlots(64)
	s.Start(true, epoch)
	assert.Equal(t, s.Allowance(), 1)
	now := epoch
	for range 22 {
		now = now.Add(100 * time.Millisecond)
		s.Answer(0, now.Add(-50*time.Millisecond), now)
	}
	assert.Equal(t, s.Allowance(), 0)
}
