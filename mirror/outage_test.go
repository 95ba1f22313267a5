package mirror

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOutageEndsOnlyWithAnAnswer checks that a process that is told of versions by others does not take the platform for
// reachable while its own calls are not answered.
func TestOutageEndsOnlyWithAnAnswer(t *testing.T) {
	inCluster(t, 1, 1, func(c *cluster) {
		m := c.members[0]
		c.platform.silence(m)
		c.platform.set("second", false) // the waiting watch gets no answer
		time.Sleep(3 * time.Second)
		assert.Assert(c.t, c.sinks[m.Name].isLost())
		for n := range 300 {
			c.mirrors[m.Name].NotifyNewer("test/", int64(10+n))
			time.Sleep(10 * time.Millisecond)
			assert.Assert(c.t, c.sinks[m.Name].isLost(), "after %d versions", n+1)
		}
	})
}
