package gossip

import (
	"net"

	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

// maxGone bounds the processes that a message names as gone, so that it fits a datagram.
const maxGone = 16

// probe asks the processes that are due whether they are there. A probe is a request for the loads of no engines, which processes of
// earlier software answer as well.
func (g *Gossip) probe() {
	next := g.watch.Next(g.Clock())
	if len(next.Probe) > 0 {
		peers, message := g.peers.Load().byName, g.encode(wire.LoadMessage{Kind: kindAsk})
		for _, r := range next.Probe {
			if p, ok := peers[r.Name]; ok {
				g.write(message, p)
			}
		}
	}
	if len(next.Lost) == 0 && !next.Announce {
		return
	}
	load := g.heartbeat()
	for _, name := range next.Lost[:min(len(next.Lost), maxGone)] {
		g.Log.Info().Str("peer", string(name)).Int("live", g.watch.Here()).Msg("gossip: process with duties is gone, others are told")
		load.Gone = append(load.Gone, string(name))
	}
	g.send(load, isLive)
}

func isProbe(load *wire.LoadMessage) bool {
	return load.Kind == kindAsk && len(load.Busy) == 0
}

// answerUnknown answers the probe of a process whose registration was not read yet. It must not take the others for gone.
func (g *Gossip) answerUnknown(address net.Addr) {
	message := g.encode(wire.LoadMessage{Kind: kindTold})
	if message == nil {
		return
	}
	if _, err := g.Conn.WriteTo(message, address); err != nil {
		g.sendFailures.Add(1)
	}
}

// suspect has processes probed that another one has found gone.
func (g *Gossip) suspect(names []string) {
	now := g.Clock()
	for _, name := range names[:min(len(names), maxGone)] {
		g.watch.Suspect(units.ProcessName(name), now)
	}
}
