package roster

import (
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// workLife is how long a work of another process counts at most: the messages that end it may be lost.
	workLife = 6 * time.Second
	// maxWorks bounds the works of other processes that are kept.
	maxWorks = 20000
)

// Others counts the works of other processes at the engines of a roster.
type Others struct {
	roster *Roster
	clock  units.Clock

	mu    sync.Mutex
	works map[workKey]*pick.Work
	ages  []aged // oldest first
}

type workKey struct {
	from  units.ProcessName
	grant int64
	work  uint64
}

type aged struct {
	key   workKey
	began time.Time
}

// NewOthers returns an empty count.
func NewOthers(r *Roster, clock units.Clock) *Others {
	return &Others{roster: r, clock: clock, works: map[workKey]*pick.Work{}}
}

// Began implements gossip.Sink. Work at an engine that is not known here is left out.
func (o *Others) Began(from units.ProcessName, grant int64, load *wire.Load) {
	e, ok := o.roster.snapshot.Load().byID[units.EngineName(load.Engine)]
	if !ok || e.Born != load.Born {
		return
	}
	now := o.clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expire(now)
	if len(o.works) >= maxWorks {
		return
	}
	key := workKey{from: from, grant: grant, work: load.Work}
	prompt := make([]pick.Part, 0, len(load.Parts)+1)
	for _, id := range load.Parts {
		prompt = append(prompt, pick.Part{ID: pick.PartID(id)})
	}
	if load.Tokens > 0 {
		prompt = append(prompt, pick.Part{}) // the part that belongs to the request alone
	}
	o.works[key] = e.Begin(pick.Reading{
		Prompt: prompt, Unread: units.Tokens(load.Tokens), Cost: time.Duration(load.CostUS) * time.Microsecond,
		Urgency: pick.Urgency(load.Urgency), Holds: units.Tokens(load.Held),
	}, now)
	o.ages = append(o.ages, aged{key: key, began: now})
}

// Read implements gossip.Sink.
func (o *Others) Read(from units.ProcessName, grant int64, work uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if w, ok := o.works[workKey{from: from, grant: grant, work: work}]; ok {
		w.Read(o.clock())
	}
}

// Ended implements gossip.Sink.
func (o *Others) Ended(from units.ProcessName, grant int64, work uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.end(workKey{from: from, grant: grant, work: work})
}

// Away implements gossip.Sink.
func (o *Others) Away(id units.EngineName, born int64, d time.Duration) {
	if e, ok := o.roster.snapshot.Load().byID[id]; ok && e.Born == born {
		e.Shun(o.clock().Add(d))
	}
}

// Loads implements gossip.Sink.
func (o *Others) Loads(region units.RegionName) []wire.Busy {
	now := o.clock()
	var loads []wire.Busy
	for _, e := range o.roster.snapshot.Load().byID {
		if e.Region != region {
			continue
		}
		l := e.Own(now)
		if l.Running == 0 && l.Pending == 0 {
			continue
		}
		loads = append(loads, wire.Busy{
			Engine: string(e.ID), Born: e.Born, WaitUS: l.Whole().Microseconds(), Pending: int64(l.Pending),
			Running: int64(l.Running), Held: int64(l.Held),
		})
	}
	return loads
}

// Loaded implements gossip.Sink.
func (o *Others) Loaded(loads []wire.Busy) {
	now := o.clock()
	for _, l := range loads {
		e, ok := o.roster.snapshot.Load().byID[units.EngineName(l.Engine)]
		if !ok || e.Born != l.Born {
			continue
		}
		e.Account(pick.Account{
			At: now, Wait: time.Duration(l.WaitUS) * time.Microsecond, Pending: units.Tokens(l.Pending),
			Running: int(l.Running), Held: units.Tokens(l.Held),
		})
	}
}

func (o *Others) end(key workKey) {
	if w, ok := o.works[key]; ok {
		w.End(false, o.clock())
		delete(o.works, key)
	}
}

// expire ends works whose messages were lost.
func (o *Others) expire(now time.Time) {
	for len(o.ages) > 0 && now.Sub(o.ages[0].began) > workLife {
		o.end(o.ages[0].key)
		o.ages = o.ages[1:]
	}
}
