package front

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/conns"
)

// TestDescriptorsAreDivided checks that all connections together stay within the process's descriptors, with a part left for the platform.
func TestDescriptorsAreDivided(t *testing.T) {
	for _, files := range []int{256, 1024, 3075, 65_536} {
		p := &Process{settings: config.Settings{Limits: config.Limits{Files: files, Connections: 1 << 20, Streams: 1 << 20, Memory: 1 << 20}}}
		p.metrics = NewMetrics()
		p.closings = newClosings(p.metrics)
		p.guard = newGuard(p.settings.Limits, nil, p.closings.add)
		used := int(maxRequests(p.settings.Limits)) + 2*p.maxPassed()
		for i := range p.listeners {
			used += p.guardListener(&net.TCPListener{}, i).(*conns.Listener).Limit()
		}
		assert.Assert(t, used <= files*15/16, "%d of %d descriptors", used, files)
	}
}

// TestManyLinesTakeMoreMemory guards against heads whose copies take more than what a request holds for them.
func TestManyLinesTakeMoreMemory(t *testing.T) {
	h := http.Header{}
	for n := range usualLines {
		h[strings.Repeat("a", n+1)] = []string{""}
	}
	assert.Equal(t, headBytes(h), int64(0))
	for n := range 1000 {
		h[strings.Repeat("b", n+1)] = []string{""}
		h["b"] = append(h["b"], "")
	}
	assert.Equal(t, headBytes(h), int64(2000*lineBytes))
}

// TestClosedConnectionsAreLoggedTogether guards against a log line for each hostile connection.
func TestClosedConnectionsAreLoggedTogether(t *testing.T) {
	var text bytes.Buffer
	c := newClosings(NewMetrics())
	for range 1000 {
		c.add("callers", conns.ReasonHeadTime)
		c.add("peers", conns.ReasonFraming)
		c.add("callers", conns.ReasonIdle)
	}
	c.log(zerolog.New(&text))
	c.log(zerolog.New(&text))
	assert.Equal(t, strings.Count(text.String(), "\n"), 2)
	assert.Assert(t, strings.Contains(text.String(), `"listener":"callers","reason":"headTime","count":1000`), text.String())
}
