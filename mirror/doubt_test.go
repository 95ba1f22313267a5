package mirror

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// TestStateIsDoubtedUntilOthersAreKnown guards against a process that starts with the state of an older copy of the store and takes it
// for the platform's present one, as it has not read yet which other processes there are.
func TestStateIsDoubtedUntilOthersAreKnown(t *testing.T) {
	start := func() (*model, *node) {
		m := newModel()
		older := storeState{m.revision, m.current, m.written}
		m.write()
		assert.NilError(t, m.nodes[0].feed.readSnapshot(t.Context()))
		m.restore(older)
		m.start(3)
		n := m.nodes[3]
		n.unlisted = true
		assert.NilError(t, n.feed.readSnapshot(t.Context()))
		assert.Equal(t, n.used(), m.newest-1)
		return m, n
	}
	t.Run("others are known in time", func(t *testing.T) {
		m, n := start()
		_, ok := n.mirror.Age(modelPrefix)
		assert.Assert(t, !ok)
		n.mirror.searchRound(t.Context(), n.feed)
		_, ok = n.mirror.Age(modelPrefix)
		assert.Assert(t, !ok)
		n.unlisted = false
		n.mirror.searchRound(t.Context(), n.feed)
		_, ok = n.mirror.Age(modelPrefix)
		assert.Assert(t, ok)
		assert.Equal(t, n.used(), m.newest)
	})
	t.Run("no others are known", func(t *testing.T) {
		m, n := start()
		m.pass(doubtTime)
		_, ok := n.mirror.Age(modelPrefix)
		assert.Assert(t, !ok)
		m.pass(time.Millisecond)
		age, ok := n.mirror.Age(modelPrefix)
		assert.Assert(t, ok)
		assert.Equal(t, age, doubtTime+time.Millisecond)
	})
	t.Run("there are no others", func(t *testing.T) {
		m := newModel()
		m.start(3)
		n := m.nodes[3]
		n.mirror.Present = func() []Member { return []Member{n.member} }
		assert.NilError(t, n.feed.readSnapshot(t.Context()))
		_, ok := n.mirror.Age(modelPrefix)
		assert.Assert(t, ok)
	})
}

// TestStateIsDoubtedUntilAProcessThatRunsIsAsked guards against a process that starts with the state of an older copy of the store and takes
// it for the present one, as those that it asked are registered but do not run any more.
func TestStateIsDoubtedUntilAProcessThatRunsIsAsked(t *testing.T) {
	for _, count := range []int{0, 10, 200} {
		t.Run(fmt.Sprint(count, " are gone"), func(t *testing.T) {
			for range 20 {
				m := newModel()
				older := storeState{m.revision, m.current, m.written}
				m.write()
				for _, n := range m.nodes {
					assert.NilError(t, n.feed.readSnapshot(t.Context()))
				}
				m.restore(older)
				m.start(3)
				n := m.nodes[3]
				n.mirror.Present = func() []Member { return append(m.members(), goneMembers(count)...) }
				assert.NilError(t, n.feed.readSnapshot(t.Context()))
				for range 5 {
					if _, ok := n.mirror.Age(modelPrefix); ok {
						assert.Equal(t, n.used(), m.newest)
					}
					n.mirror.searchRound(t.Context(), n.feed)
					m.pass(searchPause)
				}
				_, ok := n.mirror.Age(modelPrefix)
				assert.Assert(t, ok)
			}
		})
	}
}

// TestDoubtEndsIfNoOtherProcessRuns guards against a process that waits for others that are registered but gone.
func TestDoubtEndsIfNoOtherProcessRuns(t *testing.T) {
	m := newModel()
	m.start(3)
	n := m.nodes[3]
	n.mirror.Present = func() []Member { return append(goneMembers(200), n.member) }
	assert.NilError(t, n.feed.readSnapshot(t.Context()))
	_, ok := n.mirror.Age(modelPrefix)
	assert.Assert(t, ok)
}

// goneMembers returns registered processes that do not run.
func goneMembers(count int) []Member {
	var gone []Member
	for i := range count {
		name := fmt.Sprint("gone", i)
		gone = append(gone, Member{Name: units.ProcessName(name), Address: name, Region: "one"})
	}
	return gone
}
