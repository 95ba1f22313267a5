package roster_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/roster"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

// TestLoadsOfUnknownEnginesAreIgnored checks that loads of engines that are not in the registry, or of another
// incarnation, neither add an engine nor change the load of one.
func TestLoadsOfUnknownEnginesAreIgnored(t *testing.T) {
	now := time.Unix(100, 0)
	r := roster.New(zerolog.Nop())
	r.Replace([]pick.Entry{{ID: "e", StartedAt: 5, Service: "llm", Role: engine.RolePrefill}}, 1)
	rw := roster.NewRemoteWork(r, func() time.Time { return now })
	rw.SetLoads([]wire.EngineLoad{
		{Engine: "unknown", Born: 5, Running: 9}, {Engine: "e", Born: 4, Running: 9, ExcludedUS: 1e6},
	}, nil)
	assert.Equal(t, r.Len(), 1)
	assert.Equal(t, r.Of("llm")[0].Load(now).Running, 0)
	assert.Assert(t, !r.Of("llm")[0].Load(now).Excluded)
	assert.Equal(t, len(rw.Loads([]wire.EngineLoad{{Engine: "unknown"}, {Engine: "e", Born: 4}}, nil)), 0)
	rw.WorkStarted("p", 1, &wire.LoadMessage{Engine: "unknown", Born: 5})
	rw.WorkEnded("p", 1, 77, 0)
	assert.Equal(t, r.Of("llm")[0].LocalLoad(now).Running, 0)
}

// TestAnswerCarriesTheKeptState checks that what a process keeps of an engine reaches the one that asks.
func TestAnswerCarriesTheKeptState(t *testing.T) {
	now := time.Unix(100, 0)
	clock := func() time.Time { return now }
	entries := []pick.Entry{{ID: "e", StartedAt: 5, Service: "llm", Role: engine.RolePrefill}}
	keeping, asking := roster.New(zerolog.Nop()), roster.New(zerolog.Nop())
	keeping.Replace(entries, 1)
	asking.Replace(entries, 1)
	keeper, asker := roster.NewRemoteWork(keeping, clock), roster.NewRemoteWork(asking, clock)
	keeper.WorkStarted("p", 1, &wire.LoadMessage{
		WorkID: 1, Engine: "e", Born: 5, Tokens: 9000, CostUS: 200000, Parts: []string{"a", "b"},
	})
	keeper.WorkPrefilled("p", 1, 1)
	keeper.WorkStarted("p", 1, &wire.LoadMessage{
		WorkID: 2, Engine: "e", Born: 5, Tokens: 9000, CostUS: 200000, Urgency: 5, Parts: []string{"x"},
	})
	keeper.EngineUnavailable("e", 5, time.Second)
	prompt := []pick.Part{{ID: "a", Tokens: 10}, {ID: "b", Tokens: 20}, {ID: "c", Tokens: 30}, {ID: "own", Tokens: 1}}
	asker.SetLoads(keeper.Loads([]wire.EngineLoad{{Engine: "e", Born: 5}}, []string{"a", "b", "c"}), prompt)
	e := asking.Of("llm")[0]
	assert.Equal(t, e.Load(now).Running, 2)
	assert.Equal(t, e.Load(now).Wait[4], time.Duration(0), "a more urgent prompt waits")
	assert.Equal(t, e.Load(now).Wait[5], 200*time.Millisecond)
	assert.Equal(t, e.Load(now).Wait[9], 200*time.Millisecond)
	assert.Assert(t, e.Load(now).Excluded)
	assert.Equal(t, int(e.CachedTokens(prompt, now)), 30)
	now = now.Add(2 * time.Second)
	assert.Equal(t, e.Load(now).Running, 0, "an old answer still counts")
}

// TestEngineThatAnswersHereIsNotLeftOut checks that the finding of another process that does not reach an engine counts only
// if the engine has not answered this process lately, and is not handed on by the process that keeps the load.
func TestEngineThatAnswersHereIsNotLeftOut(t *testing.T) {
	start := time.Unix(100, 0)
	tests := []struct {
		name     string
		before   func(e *pick.Engine)
		excluded bool
	}{
		{name: "no answer", before: func(*pick.Engine) {}, excluded: true},
		{name: "answered lately", before: func(e *pick.Engine) { e.RecordAnswer(start.Add(-500 * time.Millisecond)) }},
		{name: "answered long ago", before: func(e *pick.Engine) { e.RecordAnswer(start.Add(-5 * time.Second)) }, excluded: true},
		{name: "failed since", before: func(e *pick.Engine) {
			e.RecordAnswer(start.Add(-500 * time.Millisecond))
			e.Begin(pick.PrefillTask{}, start).End(true, start)
		}, excluded: true},
		{name: "not reached since", before: func(e *pick.Engine) {
			e.RecordAnswer(start.Add(-500 * time.Millisecond))
			e.Begin(pick.PrefillTask{}, start).EndUnreached(start)
		}, excluded: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := roster.New(zerolog.Nop())
			r.Replace([]pick.Entry{{ID: "e", StartedAt: 5, Service: "llm"}}, 1)
			e := r.Of("llm")[0]
			rw := roster.NewRemoteWork(r, func() time.Time { return start })
			tt.before(e)
			rw.EngineUnreached("p", "e", 4, time.Second)
			assert.Equal(t, e.Load(start).Excluded, false)
			rw.EngineUnreached("p", "e", 5, time.Second)
			assert.Equal(t, e.Load(start).Excluded, tt.excluded)
		})
	}

	r := roster.New(zerolog.Nop())
	r.Replace([]pick.Entry{{ID: "e", StartedAt: 5, Service: "llm"}}, 1)
	e := r.Of("llm")[0]
	for range 5 {
		e.Begin(pick.PrefillTask{}, start).EndUnreached(start)
	}
	e.AvoidUntil(start.Add(time.Second))
	assert.Assert(t, e.Load(start).Excluded)
	loads := roster.NewRemoteWork(r, func() time.Time { return start }).Loads([]wire.EngineLoad{{Engine: "e", Born: 5}}, nil)
	assert.Equal(t, loads[0].ExcludedUS, int64(0))
}
