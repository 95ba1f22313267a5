package serve

import (
	"time"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/conns"
	"github.com/buckthorntrack/buckthorntrack/metric"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// connsInterval is the interval between searches for connections that have exceeded a time.
	connsInterval = 250 * time.Millisecond
	// headsPart is the part of the process's memory for heads that are incomplete or parsed.
	headsPart = 16
	// otherConns is the most connections of peers before their handshake, and of administration.
	otherConns = 128
	// callersFiles and otherFiles are the parts of the process's descriptors for connections of callers and of each other listener.
	callersFiles, otherFiles = 2, 16
)

// newGuard returns the guard of all listeners. The times that the servers bound themselves are not bounded twice.
func newGuard(l config.Limits, clock units.Clock, m *metric.Metrics) *conns.Guard {
	return conns.NewGuard(conns.Options{
		Limits:    conns.Limits{HeaderBytes: l.HeaderBytes, HeaderTimeout: l.ReadTimeout, BodyTimeout: l.ReadTimeout},
		HeadBytes: l.Memory << 20 / headsPart, Clock: clock, Closed: m.ConnectionClosed,
	})
}

// connectionLimits returns the most connections of callers, and of each other listener.
func connectionLimits(l config.Limits) (callers, others int) {
	if l.Files > 0 {
		return min(l.Connections, l.Files/callersFiles), min(otherConns, max(l.Files/otherFiles, 1))
	}
	return l.Connections, otherConns
}
