package mirror

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/digest"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

// maxStartDelay is the time within which a process that starts has a state, also if the platform does not answer.
const maxStartDelay = 1200 * time.Millisecond

// restart ends a process and starts it without state.
func (c *cluster) restart(m Member) {
	c.stop(m)
	c.create(m)()
}

// inOrder returns the processes in the order in which they precede one another.
func (c *cluster) inOrder() []Member {
	sorted := slices.Clone(c.members)
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Compare(digest.Sum64(string(a.Name)), digest.Sum64(string(b.Name)))
	})
	return sorted
}

// everHad reports whether the sink ever got the object.
func (s *recordingSink) everHad(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.newest[key]
	return ok
}

// TestStartedProcessTakesNoOutdatedCopy checks that a process that starts beside processes that do not reach the platform takes
// the platform's present state, and never theirs.
func TestStartedProcessTakesNoOutdatedCopy(t *testing.T) {
	tests := []struct {
		name      string
		processes int
		cut       int // number of processes in their order that are cut off
		fail      func(c *cluster, m Member)
		after     time.Duration // from the cut to the start
	}{
		{name: "platform does not answer the source", processes: 3, cut: 2, fail: silenceOne, after: time.Second},
		{name: "platform does not answer any other process", processes: 8, cut: 7, fail: silenceOne, after: time.Second},
		{name: "platform does not answer, later", processes: 8, cut: 7, fail: silenceOne, after: 4 * time.Second},
		{name: "platform refuses the source", processes: 3, cut: 2, fail: refuseOne, after: time.Second},
		{name: "platform refuses all other processes", processes: 8, cut: 7, fail: refuseOne, after: 4 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inCluster(t, 1, tt.processes, func(c *cluster) {
				order := c.inOrder()
				for _, m := range order[:tt.cut] {
					tt.fail(c, m)
				}
				c.platform.set("second", false)
				c.platform.set("first", true)
				time.Sleep(tt.after)
				last := order[len(order)-1]
				c.restart(last)
				time.Sleep(maxStartDelay)
				assert.Assert(c.t, c.sinks[last.Name].has("second"))
				assert.Assert(c.t, !c.sinks[last.Name].everHad("first"))
			})
		})
	}
}

func silenceOne(c *cluster, m Member) { c.platform.silence(m) }
func refuseOne(c *cluster, m Member)  { c.platform.refuse(m) }

// TestProcessThatStoodStillReadsThePresentState checks that a process that was suspended does not rely on a source that does not
// reach the platform.
func TestProcessThatStoodStillReadsThePresentState(t *testing.T) {
	inCluster(t, 1, 3, func(c *cluster) {
		order := c.inOrder()
		for _, m := range order[:2] {
			c.platform.silence(m)
		}
		c.platform.set("second", false)
		last := order[2]
		c.mirrors[last.Name].Refresh()
		time.Sleep(maxStartDelay)
		assert.Assert(c.t, c.sinks[last.Name].has("second"))
	})
}

// TestStartedProcessServesInAnOutage checks that a process that starts while no process reaches the platform takes the state of
// another process soon.
func TestStartedProcessServesInAnOutage(t *testing.T) {
	tests := []struct {
		name      string
		processes int
		restarted int // number of processes that start, the last in their order
		fail      func(c *cluster, m Member)
		after     time.Duration
	}{
		{name: "platform does not answer", processes: 8, restarted: 4, fail: silenceOne},
		{name: "platform does not answer, later", processes: 8, restarted: 4, fail: silenceOne, after: 9 * time.Second},
		{name: "platform refuses", processes: 8, restarted: 4, fail: refuseOne},
		{name: "platform refuses, later", processes: 8, restarted: 4, fail: refuseOne, after: 9 * time.Second},
		{name: "platform does not answer, one other process", processes: 2, restarted: 1, fail: silenceOne},
		{name: "platform refuses, one other process", processes: 2, restarted: 1, fail: refuseOne, after: 9 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inCluster(t, 1, tt.processes, func(c *cluster) {
				for _, m := range c.members {
					tt.fail(c, m)
				}
				time.Sleep(tt.after)
				order := c.inOrder()
				started := order[len(order)-tt.restarted:]
				for _, m := range started {
					c.restart(m)
				}
				time.Sleep(maxStartDelay)
				for _, m := range started {
					assert.Assert(c.t, c.sinks[m.Name].has("first"), "%s", m.Name)
				}
			})
		})
	}
}

// TestStartedProcessTakesTheNewestCopyInAnOutage checks that a process that starts in an outage has the newest state that another
// process has, though its source has an older one.
func TestStartedProcessTakesTheNewestCopyInAnOutage(t *testing.T) {
	inCluster(t, 1, 3, func(c *cluster) {
		order := c.inOrder()
		c.platform.silence(order[0])
		c.platform.set("second", false)
		time.Sleep(6 * time.Second)
		assert.Assert(c.t, c.sinks[order[1].Name].has("second"))
		assert.Assert(c.t, !c.sinks[order[0].Name].has("second"))
		for _, m := range order {
			c.platform.silence(m)
		}
		c.restart(order[2])
		time.Sleep(maxStartDelay)
		assert.Assert(c.t, c.sinks[order[2].Name].has("second"))
	})
}

// TestCallsOfStartsDoNotGrowWithTheProcesses checks that processes which start at once or one after the other cause calls to the
// platform by the time that this takes and not by their number.
func TestCallsOfStartsDoNotGrowWithTheProcesses(t *testing.T) {
	for _, perRegion := range []int{20, 100} {
		for _, span := range []time.Duration{0, 5 * time.Second} {
			t.Run(fmt.Sprint(perRegion, " processes within ", span), func(t *testing.T) {
				inCluster(t, 1, perRegion, func(c *cluster) {
					c.awaitReaders(1)
					before := c.platform.callCount()
					order := c.inOrder()
					for _, m := range order[1:] {
						time.Sleep(span / time.Duration(perRegion))
						c.restart(m)
					}
					time.Sleep(time.Second)
					calls := c.platform.callCount() - before
					c.t.Logf("%d calls", calls)
					assert.Assert(c.t, calls <= 24, "%d calls", calls)
				})
			})
		}
	}
}

// TestAgeIsThatOfThePlatformsAnswer checks that the age of a state counts from the last answer of the platform to the process that
// reads it, at that process and at those that follow it, and that it is not known after a suspension.
func TestAgeIsThatOfThePlatformsAnswer(t *testing.T) {
	inCluster(t, 1, 20, func(c *cluster) { // the last ones follow a process that follows another one
		c.awaitReaders(1)
		for range 20 {
			time.Sleep(300 * time.Millisecond)
			for _, m := range c.members {
				age, ok := c.mirrors[m.Name].Age("test/")
				assert.Assert(c.t, ok && age < time.Second+4*beatInterval, "%s: %v", m.Name, age)
			}
		}
		for _, m := range c.members {
			c.platform.silence(m)
		}
		const span = 4 * time.Second
		time.Sleep(span)
		for _, m := range c.members {
			age, ok := c.mirrors[m.Name].Age("test/")
			assert.Assert(c.t, ok && age > span-time.Second && age < span+time.Second, "%s: %v", m.Name, age)
			c.frozen.Store(m.Address, true)
		}
		expectUnknown := func() {
			time.Sleep(answerTime)
			for _, m := range c.members {
				_, ok := c.mirrors[m.Name].Age("test/")
				assert.Assert(c.t, !ok, "%s", m.Name)
			}
		}
		// None hears from another one that was not suspended yet, which still knows its age.
		for _, m := range c.members {
			c.mirrors[m.Name].Refresh()
		}
		expectUnknown()
		for _, m := range c.members {
			c.frozen.Delete(m.Address)
		}
		expectUnknown()
		time.Sleep(beatInterval)
		expectUnknown()
	})
}

// TestAnswerFromBeforeASuspensionConfirmsNoState checks that an answer of the platform that a process reads after it was suspended does
// not count as the platform's present state, neither at this process nor at those that follow it.
func TestAnswerFromBeforeASuspensionConfirmsNoState(t *testing.T) {
	const suspended = 10 * time.Second
	inCluster(t, 1, 3, func(c *cluster) {
		c.awaitReaders(1)
		c.platform.set("second", false)
		c.suspended.Add(int64(suspended))
		time.Sleep(50 * time.Millisecond)
		for _, m := range c.members {
			assert.Assert(c.t, c.sinks[m.Name].has("second"))
			age, ok := c.mirrors[m.Name].Age("test/")
			assert.Assert(c.t, !ok || age >= suspended, "%s: %v", m.Name, age)
		}
	})
}

// TestEstimatedAgeIsUnknownAsASuspensionEnds guards against an age that is taken for known until the suspension is noticed.
func TestEstimatedAgeIsUnknownAsASuspensionEnds(t *testing.T) {
	inCluster(t, 1, 3, func(c *cluster) {
		c.awaitReaders(1)
		time.Sleep(beatInterval)
		for _, m := range c.members {
			_, ok := c.mirrors[m.Name].Age("test/")
			assert.Assert(c.t, ok, "%s", m.Name)
		}
		c.suspended.Add(int64(2 * suspensionThreshold))
		for _, m := range c.members {
			_, ok := c.mirrors[m.Name].Age("test/")
			assert.Assert(c.t, !ok, "%s", m.Name)
		}
	})
}

// TestBeatsAreShort checks the length of a frame without changes.
func TestBeatsAreShort(t *testing.T) {
	data, err := cbor.Marshal(wire.Frame{Objects: &wire.Objects{
		Copies: []wire.ObjectCopy{}, AgesMS: []int64{20000, 1000, 1000, 25000, 6000},
	}})
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= 32, "%d bytes", len(data))
	t.Logf("%d bytes", len(data))
}
