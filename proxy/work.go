package proxy

import (
	"time"

	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

// LoadPublisher publishes the work that this process sends to engines, so that other processes count it as well.
type LoadPublisher interface {
	// AnnounceStart publishes new work and returns its id.
	AnnounceStart(load wire.LoadMessage, region units.RegionName) uint64
	// AnnouncePrefilled publishes that the prompt of the work is prefilled.
	AnnouncePrefilled(work uint64, region units.RegionName)
	// AnnounceEnd publishes that the work has ended.
	AnnounceEnd(work uint64, region units.RegionName)
	// AnnounceUnavailable publishes that an engine accepts no work for the duration.
	AnnounceUnavailable(e *pick.Engine, d time.Duration)
}

// work is one request on an engine, counted locally and published to other processes.
type work struct {
	*pick.Work
	publisher LoadPublisher
	id        uint64
	region    units.RegionName // of the engine
	prefilled bool
}

// begin counts and publishes a request that is about to be sent to the engine.
func (r *run) begin(e *pick.Engine, task pick.PrefillTask) *work {
	w := &work{Work: e.Begin(task, r.clock()), publisher: r.publisher, region: e.Region}
	load := wire.LoadMessage{
		Engine: string(e.ID), Born: e.StartedAt, Tokens: int64(task.Uncached), CostUS: task.Cost.Microseconds(),
		Urgency: int64(task.Urgency), KVTokens: int64(task.KVTokens),
	}
	for _, part := range pick.Shared(task.Prompt) {
		load.Parts = append(load.Parts, string(part.ID))
	}
	w.id = r.publisher.AnnounceStart(load, e.Region)
	return w
}

// markPrefilled records and publishes that the prompt is prefilled. Further calls have no effect.
func (w *work) markPrefilled(now time.Time) {
	if w.prefilled {
		return
	}
	w.prefilled = true
	w.PrefillDone(now)
	w.publisher.AnnouncePrefilled(w.id, w.region)
}

// end records and publishes that the engine has finished the request. The flag failed marks an engine fault.
func (w *work) end(failed bool, now time.Time) {
	w.End(failed, now)
	w.publisher.AnnounceEnd(w.id, w.region)
}
