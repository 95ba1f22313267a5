package front

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/pace"
	"github.com/buckthorntrack/buckthorntrack/pick"
)

// TestHeldBackEnginesAreLoggedOnce guards against an engine that is held back without a line that says so, and against one
// line for each check.
func TestHeldBackEnginesAreLoggedOnce(t *testing.T) {
	var lines bytes.Buffer
	now := time.Unix(100, 0)
	l := &paceLog{log: zerolog.New(&lines), clock: func() time.Time { return now }}
	e := pick.NewEngine(pick.Entry{ID: "e", StartedAt: 5, Slots: 8})
	e.Compare(&pace.Group{})
	heldBack := func(each func(e *pick.Engine, h pace.Held)) {
		if h, ok := e.HeldBack(); ok {
			each(e, h)
		}
	}
	step := func(change func(), want ...string) {
		t.Helper()
		lines.Reset()
		change()
		l.compare(heldBack)
		l.compare(heldBack)
		got := lines.String()
		assert.Equal(t, strings.Count(got, "\n"), len(want)/2, got)
		for _, text := range want {
			assert.Assert(t, strings.Contains(got, text), got)
		}
	}
	step(func() {})
	step(func() { e.StartPace(false, now) }, `"reason":"started"`, `"allowance":2`)
	step(func() { e.Reject(false, now) }, `"reason":"rejected"`, `"allowance":1`)
	step(func() { e.ExcludeUntil(now.Add(time.Second)) }, `"reason":"cameBack"`, `"allowance":1`)
	step(func() { e.Begin(pick.PrefillTask{}, now) }, "not held back any more", `"born":5`)
}
