package carry

import (
	"time"

	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

// Teller tells other processes of the work that this one gives to engines.
type Teller interface {
	Began(load wire.Load) uint64
	Read(work uint64)
	Ended(work uint64)
}

// work is one request at an engine, which other processes are told of.
type work struct {
	*pick.Work
	teller Teller
	told   uint64
	read   bool
}

// begin counts work at the engine. A nil prompt is work that has nothing to read.
func (r *run) begin(e *pick.Engine, prompt []pick.Part, unread units.Tokens, cost time.Duration) *work {
	now := r.clock()
	w := &work{Work: e.Begin(prompt, unread, cost, now), teller: r.teller}
	load := wire.Load{Engine: string(e.ID), Born: e.Born, Tokens: int64(unread), CostUS: cost.Microseconds()}
	for _, part := range pick.Shared(prompt) {
		load.Parts = append(load.Parts, string(part.ID))
	}
	w.told = r.teller.Began(load)
	return w
}

// promptRead tells once that the engine has read the prompt.
func (w *work) promptRead(now time.Time) {
	if w.read {
		return
	}
	w.read = true
	w.Read(now)
	w.teller.Read(w.told)
}

// end tells that the engine is done with the request.
func (w *work) end(failed bool, now time.Time) {
	w.End(failed, now)
	w.teller.Ended(w.told)
}
