package gossip

import (
	"time"

	"github.com/buckthorntrack/buckthorntrack/epoch"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

// StreamSink gets the software versions of streams that other processes pass on.
type StreamSink interface {
	Learn(service units.ServiceName, id units.RequestID, version units.SoftwareVersion)
	LearnStarted(id epoch.StreamID, version units.SoftwareVersion)
	ReceiveDrained(from units.ProcessName, service units.ServiceName, d epoch.Drained)
	AnswerStream(service units.ServiceName, id units.RequestID) (a epoch.Answer, ok bool)
	ReceiveAnswer(from units.ProcessName, question uint64, a epoch.Answer)
}

const (
	// streamParts is the number of texts that describe a stream in a message: service, id and version.
	streamParts = 3
	// askStreamParts is the number of texts that describe a stream whose version is asked for.
	askStreamParts = 2
	// startedStreamParts is the number of texts that describe the stream of started work: its hash and version.
	startedStreamParts = 2
)

// OnStreams sets the handler of messages on streams. Call it before Run.
func (g *Gossip) OnStreams(sink StreamSink) {
	g.streams = sink
}

// AnnounceBrokenStream tells all live processes of a large fleet the software version of a stream that has broken off. Those of a small one
// know it from the start of its work.
func (g *Gossip) AnnounceBrokenStream(service units.ServiceName, id units.RequestID, version units.SoftwareVersion) {
	if g.isSmall() {
		return
	}
	g.send(wire.LoadMessage{Kind: kindStream, Parts: []string{string(service), string(id), string(version)}}, isLive)
}

// AskStream implements epoch.Messenger.
func (g *Gossip) AskStream(question uint64, service units.ServiceName, id units.RequestID, all bool) {
	message := wire.LoadMessage{Kind: kindAskStream, WorkID: question, Parts: []string{string(service), string(id)}}
	if all || g.isSmall() {
		g.send(message, toAny)
		return
	}
	g.sendToCollectors(message)
}

// answerStream answers a message of AskStream.
func (g *Gossip) answerStream(to *peer, load *wire.LoadMessage) {
	if len(load.Parts) != askStreamParts {
		return
	}
	a, ok := g.streams.AnswerStream(units.ServiceName(load.Parts[0]), units.RequestID(load.Parts[1]))
	if !ok {
		return
	}
	message := wire.LoadMessage{Kind: kindStreamAnswer, WorkID: load.WorkID, Born: a.Sequence, Prefilled: a.Remembered}
	if a.Known {
		message.Parts = []string{string(a.Version)}
	}
	g.sendTo(message, to)
}

// ReportDrained implements epoch.Messenger.
func (g *Gossip) ReportDrained(service units.ServiceName, d epoch.Drained) {
	byVersion := map[units.SoftwareVersion][]string{}
	for id, version := range d.Left {
		byVersion[version] = append(byVersion[version], string(id))
	}
	parts := []string{string(service)}
	for version, ids := range byVersion {
		parts = append(append(parts, string(version)), append(ids, "")...)
	}
	g.sendToCollectors(wire.LoadMessage{
		Kind: kindDrained, Parts: parts, WorkID: uint64(d.Epoch), Born: d.Known, Tokens: int64(d.Omitted), Prefilled: d.Active,
		CostUS: microseconds(d.Uptime),
	})
}

// learnStarted passes on the version of the stream that work at an engine writes.
func (g *Gossip) learnStarted(load *wire.LoadMessage) {
	if g.streams != nil && len(load.Stream) == startedStreamParts {
		g.streams.LearnStarted(epoch.StreamID(load.Stream[0]), units.SoftwareVersion(load.Stream[1]))
	}
}

func (g *Gossip) handleStream(from *peer, load *wire.LoadMessage) {
	if g.streams == nil {
		return
	}
	switch load.Kind {
	case kindStream:
		if len(load.Parts) == streamParts {
			g.streams.Learn(units.ServiceName(load.Parts[0]), units.RequestID(load.Parts[1]), units.SoftwareVersion(load.Parts[2]))
		}
	case kindDrained:
		g.receiveDrained(from.name, load)
	case kindAskStream:
		g.answerStream(from, load)
	case kindStreamAnswer:
		a := epoch.Answer{Sequence: load.Born, Remembered: load.Prefilled}
		if len(load.Parts) > 0 {
			a.Known, a.Version = true, units.SoftwareVersion(load.Parts[0])
		}
		a.Remembered = a.Remembered && a.Known
		g.streams.ReceiveAnswer(from.name, load.WorkID, a)
	}
}

func (g *Gossip) receiveDrained(from units.ProcessName, load *wire.LoadMessage) {
	if len(load.Parts) == 0 {
		return
	}
	d := epoch.Drained{
		Epoch: int64(load.WorkID), Known: load.Born, Omitted: int(load.Tokens), Active: load.Prefilled,
		Uptime: time.Duration(load.CostUS) * time.Microsecond,
		Left:   map[epoch.StreamID]units.SoftwareVersion{},
	}
	version, named := units.SoftwareVersion(""), false
	for _, text := range load.Parts[1:] {
		switch {
		case !named:
			version, named = units.SoftwareVersion(text), true
		case text == "":
			named = false // an empty text ends the ids of a version
		default:
			d.Left[epoch.StreamID(text)] = version
		}
	}
	g.streams.ReceiveDrained(from, units.ServiceName(load.Parts[0]), d)
}

// HearsAllPlaces reports whether a message of another process in each availability zone was received within the time.
func (g *Gossip) HearsAllPlaces(within time.Duration) bool {
	since := g.BootTime().Add(-within).UnixNano()
	for _, peers := range g.peers.Load().byPlace {
		others, heard := 0, false
		for _, p := range peers {
			if p.name != g.Name {
				others++
				heard = heard || p.heardAt.Load() > since
			}
		}
		if others > 0 && !heard {
			return false
		}
	}
	return true
}
