package gossip

import (
	"time"

	"github.com/buckthorntrack/buckthorntrack/trait"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

// TraitSink handles the messages of other processes on traits of requests that crash engines.
type TraitSink interface {
	// ReceiveBroken returns the traits that are in quarantine here, with the time left.
	ReceiveBroken(traits []trait.Trait, e trait.Engine, lasted time.Duration) map[trait.Trait]time.Duration
	ReceiveCompleted(traits []trait.Trait)
	HasCompleted(t trait.Trait, within time.Duration) bool
	Learn(t trait.Trait, left time.Duration, source string)
}

// traits holds who handles messages on traits, and who collects the evidence in a large fleet.
type traits struct {
	sink       TraitSink
	collectors func() []units.ProcessName
}

// OnTraits sets the handler of messages on traits, and the function that returns the processes to which runs are
// reported in a large fleet. In a small one they are reported to all. Call it before Run.
func (g *Gossip) OnTraits(sink TraitSink, collectors func() []units.ProcessName) {
	g.traits.sink, g.traits.collectors = sink, collectors
}

// ReportBrokenRun implements trait.Messenger.
func (g *Gossip) ReportBrokenRun(traits []trait.Trait, e trait.Engine, lasted time.Duration) {
	g.sendToCollectors(wire.LoadMessage{
		Kind: kindRunBroke, Parts: trait.Names(traits), Engine: string(e.ID), Born: e.Incarnation, CostUS: microseconds(lasted),
	})
}

// ReportCompletion implements trait.Messenger.
func (g *Gossip) ReportCompletion(traits []trait.Trait) {
	g.sendToCollectors(wire.LoadMessage{Kind: kindCompleted, Parts: trait.Names(traits)})
}

// AskCompletions implements trait.Messenger.
func (g *Gossip) AskCompletions(t trait.Trait, within time.Duration) {
	g.send(wire.LoadMessage{Kind: kindAskCompleted, Parts: []string{string(t)}, CostUS: microseconds(within)}, toAny)
}

// AnnounceQuarantine implements trait.Messenger.
func (g *Gossip) AnnounceQuarantine(t trait.Trait, d time.Duration) {
	g.send(wire.LoadMessage{Kind: kindQuarantine, Parts: []string{string(t)}, CostUS: microseconds(d)}, toAny)
}

// toAny includes silent peers as well, which may be cut off one way only.
func toAny(*peer) bool { return true }

func (g *Gossip) sendToCollectors(load wire.LoadMessage) {
	if g.isSmall() || g.traits.collectors == nil {
		g.send(load, isLive)
		return
	}
	message, peers := g.encode(load), g.peers.Load()
	for _, name := range g.traits.collectors() {
		if p, ok := peers.byName[name]; ok {
			g.write(message, p)
		}
	}
}

// handleTraits processes a message on traits.
func (g *Gossip) handleTraits(from *peer, load *wire.LoadMessage) {
	if g.traits.sink == nil {
		return
	}
	parsed := make([]trait.Trait, len(load.Parts))
	for i, text := range load.Parts {
		parsed[i] = trait.Trait(text)
	}
	d := time.Duration(load.CostUS) * time.Microsecond
	switch load.Kind {
	case kindRunBroke:
		e := trait.Engine{ID: units.EngineName(load.Engine), Incarnation: load.Born}
		for t, left := range g.traits.sink.ReceiveBroken(parsed, e, d) {
			g.sendTo(wire.LoadMessage{Kind: kindQuarantine, Parts: []string{string(t)}, CostUS: microseconds(left)}, from)
		}
	case kindCompleted:
		g.traits.sink.ReceiveCompleted(parsed)
	case kindAskCompleted:
		for _, t := range parsed {
			if g.traits.sink.HasCompleted(t, d) {
				g.sendTo(wire.LoadMessage{Kind: kindCompleted, Parts: []string{string(t)}}, from)
			}
		}
	case kindQuarantine:
		for _, t := range parsed {
			g.traits.sink.Learn(t, d, string(from.name))
		}
	}
}

// microseconds returns the duration as a value that a message may hold.
func microseconds(d time.Duration) int64 {
	return min(max(d, 0), maxMessageTime).Microseconds()
}
