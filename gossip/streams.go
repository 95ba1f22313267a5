package gossip

import (
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

// StreamSink gets the software versions of streams that other processes pass on.
type StreamSink interface {
	Learn(service units.ServiceName, id units.RequestID, version units.SoftwareVersion)
}

// streamParts is the number of texts that describe a stream in a message: service, id and version.
const streamParts = 3

// OnStreams sets the handler of messages on streams. Call it before Run.
func (g *Gossip) OnStreams(sink StreamSink) {
	g.streams = sink
}

// AnnounceStream tells all live processes the software version of a stream: a small fleet when it begins, as its process may
// be killed, a larger one when it breaks off.
func (g *Gossip) AnnounceStream(service units.ServiceName, id units.RequestID, version units.SoftwareVersion, brokeOff bool) {
	if g.isSmall() == brokeOff {
		return
	}
	g.send(wire.LoadMessage{Kind: kindStream, Parts: []string{string(service), string(id), string(version)}}, g.isLive)
}

func (g *Gossip) handleStream(load *wire.LoadMessage) {
	if g.streams == nil || len(load.Parts) != streamParts {
		return
	}
	g.streams.Learn(units.ServiceName(load.Parts[0]), units.RequestID(load.Parts[1]), units.SoftwareVersion(load.Parts[2]))
}

// HearsAllPlaces reports whether a message of a process in each other availability zone was received within the time.
func (g *Gossip) HearsAllPlaces(within time.Duration) bool {
	since := g.Clock().Add(-within).UnixNano()
	for place, peers := range g.peers.Load().byPlace {
		heard := place == g.Place
		for _, p := range peers {
			heard = heard || p.lastMessageAt.Load() > since
		}
		if !heard {
			return false
		}
	}
	return true
}
