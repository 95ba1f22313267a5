package roster_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/pace"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/roster"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

// newPaced returns a roster that holds engines back, with three engines in its first list.
func newPaced(clock units.Clock) (*roster.Roster, []pick.Entry) {
	r := roster.New(zerolog.Nop())
	r.EnablePace(clock)
	entries := []pick.Entry{
		{ID: "a", StartedAt: 5, Service: "llm", Address: "one", Role: engine.RoleDecode, Slots: 12},
		{ID: "b", StartedAt: 5, Service: "llm", Address: "two", Role: engine.RoleDecode, Slots: 12},
		{ID: "c", StartedAt: 5, Service: "llm", Address: "three", Role: engine.RolePrefill, Slots: 12},
	}
	r.Replace(entries, 1)
	return r, entries
}

func heldBack(r *roster.Roster) map[units.EngineName]pace.Reason {
	held := map[units.EngineName]pace.Reason{}
	r.HeldBack(func(e *pick.Engine, h pace.Held) { held[e.ID] = h.Reason })
	return held
}

// TestReplacedEngineCountsAsNew guards against an engine that takes over the pace of the one before it at the same address,
// and against engines that are held back since this process has just started.
func TestReplacedEngineCountsAsNew(t *testing.T) {
	now := time.Unix(100, 0)
	r, entries := newPaced(func() time.Time { return now })
	assert.Equal(t, len(heldBack(r)), 0, "engines of the first list are held back")
	replaced := entries[0]
	replaced.StartedAt = 9
	changed := entries[1]
	changed.Sequence = 2
	role := entries[2]
	role.Role = engine.RoleDecode
	added := pick.Entry{ID: "d", StartedAt: 9, Service: "llm", Address: "four", Role: engine.RoleDecode, Slots: 12}
	r.Apply([]pick.Entry{replaced, changed, role, added}, nil, 2)
	assert.DeepEqual(t, heldBack(r), map[units.EngineName]pace.Reason{"a": pace.Started, "c": pace.Started, "d": pace.Started})
	for _, e := range r.Of("llm") {
		e.Begin(pick.PrefillTask{}, now)
	}
	assert.Equal(t, len(heldBack(r)), 0, "engines are held back though no peer has answered")
}

// TestOldWorkIsNotMeasured guards against an engine that counts as slow since messages that end its work are lost.
func TestOldWorkIsNotMeasured(t *testing.T) {
	now := time.Unix(100, 0)
	r, _ := newPaced(func() time.Time { return now })
	rw := roster.NewRemoteWork(r, func() time.Time { return now })
	id := uint64(0)
	send := func(engine string) {
		id++
		rw.WorkStarted("p", 1, &wire.LoadMessage{WorkID: id, Engine: engine, Born: 5})
	}
	for range 100 {
		send("a") // its end is lost
		send("b")
		now = now.Add(100 * time.Millisecond)
		rw.WorkEnded("p", 1, id, 0)
	}
	assert.Equal(t, len(heldBack(r)), 0)
}

// TestKeeperTellsTheAllowance checks that the allowance reaches the process that asks, that processes which ask at once are
// not all told of the same place, and that nothing is told where the setting is off.
func TestKeeperTellsTheAllowance(t *testing.T) {
	now := time.Unix(100, 0)
	clock := func() time.Time { return now }
	keeping, entries := newPaced(clock)
	asking, _ := newPaced(clock)
	keeper, asker := roster.NewRemoteWork(keeping, clock), roster.NewRemoteWork(asking, clock)
	ask := func() wire.EngineLoad {
		loads := keeper.Loads([]wire.EngineLoad{{Engine: "a", Born: 9}}, nil)
		assert.Equal(t, len(loads), 1)
		asker.SetLoads(loads, nil)
		return loads[0]
	}
	entries[0].StartedAt = 9
	keeping.Replace(entries, 2)
	asking.Replace(entries, 2)
	e := asking.Of("llm")[0]
	assert.Equal(t, ask().Allowance, int64(3))
	assert.Equal(t, ask().Running, int64(1))
	assert.Equal(t, ask().Running, int64(2))
	assert.Equal(t, e.Load(now).Allowance, 3)
	assert.Equal(t, e.Load(now).Running, 2)
	keeper.WorkStarted("p", 1, &wire.LoadMessage{WorkID: 1, Engine: "a", Born: 9}) // no peer has answered
	assert.Equal(t, ask().Allowance, int64(pick.OpenAllowance))
	assert.Equal(t, e.Load(now).Allowance, 0)

	off := roster.New(zerolog.Nop())
	off.Replace(entries, 1)
	off.Replace(entries[:2], 2)
	off.Replace(entries, 3)
	loads := roster.NewRemoteWork(off, clock).Loads([]wire.EngineLoad{{Engine: "c", Born: 5}}, nil)
	assert.Equal(t, loads[0].Allowance, int64(0))
}

// TestColdTimeIsAHint checks that engines which say that they are cold begin with one request, in the first list of a process as
// well, and that a later statement changes nothing.
func TestColdTimeIsAHint(t *testing.T) {
	now := time.Unix(100, 0)
	r := roster.New(zerolog.Nop())
	r.EnablePace(func() time.Time { return now })
	entry := pick.Entry{ID: "a", StartedAt: 5, Service: "llm", Role: engine.RoleDecode, Slots: 12, ColdFor: 3 * time.Second}
	r.Replace([]pick.Entry{entry}, 1)
	e := r.Of("llm")[0]
	assert.Equal(t, e.Load(now).Allowance, 1)
	entry.ColdFor = 2 * time.Second
	r.Replace([]pick.Entry{entry}, 2)
	assert.Equal(t, r.Of("llm")[0], e, "the entry counts as changed")
	e.Begin(pick.PrefillTask{}, now)
	entry.ColdFor, entry.Sequence = time.Second, 1
	r.Replace([]pick.Entry{entry}, 3)
	assert.Equal(t, len(heldBack(r)), 0, "the statement holds an open engine back")
}
