package proxy

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
)

func TestPathEvidence(t *testing.T) {
	const failed, connected, answered = "failed", "connected", "answered"
	type step struct {
		after     time.Duration
		event     string
		engine    string
		announced []units.EngineName
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"nothing failed", []step{{event: connected, engine: "a"}, {event: answered, engine: "a"}}},
		{"one engine crashed, another connects", []step{
			{event: failed, engine: "a"}, {event: connected, engine: "b", announced: []units.EngineName{"a"}},
			{event: connected, engine: "c"}, {event: answered, engine: "b"},
		}},
		{"one engine crashed, another answers", []step{
			{event: failed, engine: "a"}, {event: answered, engine: "b", announced: []units.EngineName{"a"}},
		}},
		{"several engines crashed, another answers", []step{
			{event: failed, engine: "a"}, {event: failed, engine: "b"}, {event: answered, engine: "c"},
			{event: connected, engine: "c", announced: []units.EngineName{"a", "b"}},
		}},
		{"new connections fail and others live on", []step{
			{event: failed, engine: "a"}, {event: answered, engine: "a"}, {event: failed, engine: "b"}, {event: answered, engine: "c"},
		}},
		{"no engine is reached", []step{
			{event: failed, engine: "a"}, {event: failed, engine: "b"}, {after: time.Second, event: failed, engine: "a"},
		}},
		{"path comes back", []step{
			{event: failed, engine: "a"}, {event: failed, engine: "b"},
			{after: unreachableBackoff, event: connected, engine: "a"}, {event: connected, engine: "b"},
		}},
		{"engine is down for long", []step{
			{event: failed, engine: "a"}, {event: connected, engine: "b", announced: []units.EngineName{"a"}},
			{after: unreachableBackoff, event: failed, engine: "a"},
			{event: answered, engine: "b", announced: []units.EngineName{"a"}},
		}},
		{"old failure", []step{
			{event: failed, engine: "a"}, {after: 2 * unreachedMemory, event: failed, engine: "b"},
			{event: answered, engine: "c", announced: []units.EngineName{"b"}},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, now := newPathEvidence(), time.Unix(100, 0)
			for i, s := range tt.steps {
				now = now.Add(s.after)
				e := pick.NewEngine(pick.Entry{ID: units.EngineName(s.engine), StartedAt: 5})
				var announced []unreached
				switch s.event {
				case failed:
					p.failed(e, now, now.Add(unreachableBackoff))
				case connected:
					announced = p.connected(e, now)
				case answered:
					announced = p.answered(e, now)
				}
				var got []units.EngineName
				for _, u := range announced {
					got = append(got, u.engine.ID)
				}
				slices.Sort(got)
				assert.DeepEqual(t, got, s.announced)
				t.Log("step", i, "passed")
			}
		})
	}
}
