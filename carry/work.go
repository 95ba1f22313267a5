package carry

import (
	"time"

	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

// Teller tells other processes of the work that this one gives to engines.
type Teller interface {
	Began(load wire.Load, region units.RegionName) uint64
	Read(work uint64, region units.RegionName)
	Ended(work uint64, region units.RegionName)
	Away(e *pick.Engine, d time.Duration)
}

// work is one request at an engine, which other processes are told of.
type work struct {
	*pick.Work
	teller Teller
	told   uint64
	region units.RegionName // of the engine
	read   bool
}

// begin counts work at the engine.
func (r *run) begin(e *pick.Engine, reading pick.Reading) *work {
	w := &work{Work: e.Begin(reading, r.clock()), teller: r.teller, region: e.Region}
	load := wire.Load{
		Engine: string(e.ID), Born: e.Born, Tokens: int64(reading.Unread), CostUS: reading.Cost.Microseconds(),
		Urgency: int64(reading.Urgency), Held: int64(reading.Holds),
	}
	for _, part := range pick.Shared(reading.Prompt) {
		load.Parts = append(load.Parts, string(part.ID))
	}
	w.told = r.teller.Began(load, e.Region)
	return w
}

// promptRead tells once that the engine has read the prompt.
func (w *work) promptRead(now time.Time) {
	if w.read {
		return
	}
	w.read = true
	w.Read(now)
	w.teller.Read(w.told, w.region)
}

// end tells that the engine is done with the request.
func (w *work) end(failed bool, now time.Time) {
	w.End(failed, now)
	w.teller.Ended(w.told, w.region)
}
