package proxy

import (
	"context"
	"time"

	"github.com/buckthorntrack/buckthorntrack/demand"
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/epoch"
	"github.com/buckthorntrack/buckthorntrack/gossip"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

// LoadPublisher publishes the work that this process sends to engines, so that other processes count it as well, and
// asks for the loads that others count.
type LoadPublisher interface {
	// AnnounceStart publishes new work at the engine.
	AnnounceStart(load wire.LoadMessage, e *pick.Engine) gossip.Ticket
	// AnnouncePrefilled publishes that the prompt of the work is prefilled.
	AnnouncePrefilled(t gossip.Ticket)
	// AnnounceEnd publishes that the work has ended, whether its prompt was prefilled without an announcement, and the mean time between
	// the events of its stream, zero for none.
	AnnounceEnd(t gossip.Ticket, prefilled bool, eventTime time.Duration)
	// AnnounceUnavailable publishes that an engine accepts no work for the duration.
	AnnounceUnavailable(e *pick.Engine, d time.Duration)
	// AnnounceUnreached publishes that this process does not reach an engine, though it reaches others.
	AnnounceUnreached(e *pick.Engine, d time.Duration)
	// AnnounceLimit publishes the limit that an engine names for all processes together, zero for none.
	AnnounceLimit(e *pick.Engine, limit units.PerSecond)
	// AnnounceBrokenStream publishes the software version of a stream that has broken off and may be taken up at another process.
	AnnounceBrokenStream(service units.ServiceName, id units.RequestID, version units.SoftwareVersion)
	// KnowsAllLoads reports whether the loads of all engines are known without asking.
	KnowsAllLoads() bool
	// Ask brings the loads of the engines up to date for a prompt.
	Ask(ctx context.Context, engines []*pick.Engine, prompt []pick.Part)
}

// work is one request on an engine, counted locally, and published to other processes once a connection to the engine is
// established.
type work struct {
	*pick.Work
	publisher LoadPublisher
	engine    *pick.Engine
	load      wire.LoadMessage
	announced bool
	// connectedAt is when the connection to the engine was established, zero before.
	connectedAt time.Time
	whole       bool // the engine answers without a stream of events
	// onConnected is called once with the time of the connection, if it is set.
	onConnected func(at time.Time)
	ticket      gossip.Ticket
	prefilled   bool // and published as such
	events      events
	meter       *demand.Meter
	metered     demand.Ticket
}

// events measures the time between the events of a stream.
type events struct {
	first, last time.Time
	count       int
}

// minMeasuredEvents is the number of events from which the time between them is known. Short answers end soon, so that a slow engine
// is known before its long ones end.
const minMeasuredEvents = 2

func (e *events) add(now time.Time) {
	if e.count == 0 {
		e.first = now
	}
	e.last = now
	e.count++
}

// mean returns the mean time between two events, zero for too few.
func (e *events) mean() time.Duration {
	if e.count < minMeasuredEvents {
		return 0
	}
	return e.last.Sub(e.first) / time.Duration(e.count-1)
}

// begin counts a request that is about to be sent to the engine.
func (r *run) begin(e *pick.Engine, task pick.PrefillTask) *work {
	w := &work{Work: e.Begin(task, r.clock()), publisher: r.publisher, engine: e, prefilled: len(task.Prompt) == 0}
	w.load = wire.LoadMessage{
		Engine: string(e.ID), Born: e.StartedAt, Tokens: int64(task.Uncached), CostUS: task.Cost.Microseconds(),
		Urgency: int64(task.Urgency), KVTokens: int64(task.KVTokens),
	}
	if r.bound && e.Role != engine.RolePrefill {
		w.load.Stream = []string{string(epoch.IDOf(r.x.Service.Name, r.streamID())), string(r.version)}
	}
	w.meter, w.metered = r.demand, r.demand.Begin(r.x.Service.Name, demandOf(e, task))
	for _, part := range pick.Shared(task.Prompt) {
		w.load.Parts = append(w.load.Parts, string(part.ID))
	}
	return w
}

// demandOf returns what a call needs. A prompt that an engine prefills beside its streams counts as on an engine that only
// prefills.
func demandOf(e *pick.Engine, task pick.PrefillTask) demand.Work {
	if e.Role == engine.RolePrefill {
		return demand.Work{Prefill: task.Cost}
	}
	return demand.Work{Prefill: task.Cost / pick.DecodePrefillFactor, Runs: true, KVTokens: task.KVTokens}
}

// connected publishes the request, as its connection to the engine is established.
func (w *work) connected(now time.Time) {
	if w.announced {
		return
	}
	w.announced, w.connectedAt = true, now
	if w.onConnected != nil {
		w.onConnected(now)
	}
	w.ticket = w.publisher.AnnounceStart(w.load, w.engine)
}

// markPrefilled records and publishes that the prompt is prefilled. Further calls have no effect.
func (w *work) markPrefilled(now time.Time) {
	if w.prefilled {
		return
	}
	w.prefilled = true
	w.PrefillDone(now)
	w.publisher.AnnouncePrefilled(w.ticket)
}

// heard records an event of the answer.
func (w *work) heard(now time.Time) {
	w.engine.RecordAnswer(now)
	w.events.add(now)
	w.Heard(now)
	w.markPrefilled(now)
}

// endPrefilled records and publishes that the engine has prefilled the prompt and finished the request.
func (w *work) endPrefilled(now time.Time) {
	w.PrefillDone(now)
	w.End(false, now)
	w.meter.End(w.metered)
	w.publisher.AnnounceEnd(w.ticket, true, 0)
}

// end records and publishes that the engine has finished the request. The flag failed marks an engine fault.
func (w *work) end(failed bool, now time.Time) {
	w.End(failed, now)
	perEvent := w.events.mean()
	w.engine.ObserveEventTime(perEvent)
	w.meter.End(w.metered)
	if w.announced {
		w.publisher.AnnounceEnd(w.ticket, false, perEvent)
	}
}

// endUnreached records that the request did not reach the engine. Other processes have not heard of it.
func (w *work) endUnreached(now time.Time) {
	w.EndUnreached(now)
	w.meter.End(w.metered)
}
