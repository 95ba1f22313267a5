package mirror

import (
	"slices"
	"testing"
	"time"
)

// TestChangesArriveWhileMostRegisteredProcessesAreGone guards against an old configuration that stays in force while a process
// whose source is lost tries processes that are gone, one after the other.
func TestChangesArriveWhileMostRegisteredProcessesAreGone(t *testing.T) {
	for _, lost := range []bool{false, true} {
		name := map[bool]string{false: "source lives", true: "source is lost as well"}[lost]
		t.Run(name, func(t *testing.T) {
			var source Member
			selectGone := func(ordered []Member) []Member {
				source = ordered[20]
				return slices.Concat(ordered[:20], ordered[21:38])
			}
			inClusterOf(t, 1, 40, selectGone, func(c *cluster) {
				time.Sleep(30 * time.Second) // all have found whom to follow
				var except []Member
				if lost {
					c.frozen.Store(source.Address, true)
					c.platform.silence(source)
					except = append(except, source)
				}
				time.Sleep(beatInterval / 2)
				c.platform.set("second", false)
				c.expectWithin(maxDelay, "second", true, except...)
				c.frozen.Delete(source.Address)
			})
		})
	}
}

// TestStartBesideProcessesThatAreGone guards against processes that have no state for as long as they try processes that are gone.
func TestStartBesideProcessesThatAreGone(t *testing.T) {
	inClusterOf(t, 1, 40, func(ordered []Member) []Member { return ordered[:38] }, func(c *cluster) {
		for _, m := range c.live() {
			c.stop(m)
		}
		time.Sleep(time.Second)
		for _, m := range c.live() {
			c.create(m)()
		}
		c.expectWithin(maxStartBesideGone, "first", true)
	})
}

// maxStartBesideGone is the time within which a process that starts has the platform's state, if the platform answers.
const maxStartBesideGone = time.Second
