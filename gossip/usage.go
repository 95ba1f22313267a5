package gossip

import (
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

// UsageSink handles messages of other processes on the requests of accounts.
type UsageSink interface {
	// ReceiveUsage returns the messages with which to answer. A process that has deregistered gets none.
	ReceiveUsage(from units.ProcessName, incarnation int64, m *wire.UsageMessage) []wire.UsageMessage
}

// OnUsage sets the handler of messages on the requests of accounts. Call it before Run.
func (g *Gossip) OnUsage(sink UsageSink) {
	g.usage = sink
}

// SendUsage sends a message on the requests of accounts to the processes that are registered.
func (g *Gossip) SendUsage(m wire.UsageMessage, to []units.ProcessName) {
	message, peers := g.encode(wire.LoadMessage{Kind: kindUsage, Usage: &m}), g.peers.Load()
	for _, name := range to {
		if p, ok := peers.byName[name]; ok {
			g.write(message, p)
		}
	}
}

// Incarnation returns the incarnation of this process in its messages.
func (g *Gossip) Incarnation() int64 {
	return g.incarnation
}

// handleUsage processes a message on the requests of accounts. A process that stops deregisters before its last requests have begun at
// engines, so its messages are accepted when it is no longer registered, and p is nil.
func (g *Gossip) handleUsage(from units.ProcessName, p *peer, load *wire.LoadMessage) {
	if g.usage == nil || load.Usage == nil {
		return
	}
	answers := g.usage.ReceiveUsage(from, load.Incarnation, load.Usage)
	if p == nil {
		return
	}
	for i := range answers {
		g.sendTo(wire.LoadMessage{Kind: kindUsage, Usage: &answers[i]}, p)
	}
}

// isUsage reports whether all values of a message on the requests of accounts are possible.
func isUsage(m *wire.UsageMessage) bool {
	if m == nil {
		return true
	}
	for i := range m.Windows {
		w := &m.Windows[i]
		if len(w.Accounts) != len(w.Counts) || w.Window < 0 || !isTokens(w.Total) {
			return false
		}
		for _, n := range w.Counts {
			if !isTokens(n) {
				return false
			}
		}
	}
	return m.Reported >= 0 && m.Token >= 0
}
