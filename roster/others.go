package roster

import (
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// maxWorkAge is how long a request of another process is counted at most, as the message that ends it may be lost.
	maxWorkAge = 6 * time.Second
	// maxTracked bounds the number of counted requests of other processes.
	maxTracked = 20000
)

// RemoteWork adds the requests of other processes to the load of the engines in a roster.
type RemoteWork struct {
	roster *Roster
	clock  units.Clock

	mu    sync.Mutex
	works map[workKey]*pick.Work
	byAge []trackedWork // oldest first
}

// workKey identifies a request: the process that sent it, the incarnation of that process, and a number.
type workKey struct {
	from        units.ProcessName
	incarnation int64
	work        uint64
}

type trackedWork struct {
	key       workKey
	startedAt time.Time
}

// NewRemoteWork returns a tracker for the roster without any requests.
func NewRemoteWork(r *Roster, clock units.Clock) *RemoteWork {
	return &RemoteWork{roster: r, clock: clock, works: map[workKey]*pick.Work{}}
}

// WorkStarted implements gossip.Sink: another process has sent a request. Requests at an incarnation that is not in the
// roster are ignored.
func (o *RemoteWork) WorkStarted(from units.ProcessName, incarnation int64, load *wire.LoadMessage) {
	e, ok := o.roster.snapshot.Load().byID[units.EngineName(load.Engine)]
	if !ok || e.StartedAt != load.Born {
		return
	}
	now := o.clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expire(now)
	if len(o.works) >= maxTracked {
		return
	}
	key := workKey{from: from, incarnation: incarnation, work: load.WorkID}
	prompt := make([]pick.Part, 0, len(load.Parts)+1)
	for _, id := range load.Parts {
		prompt = append(prompt, pick.Part{ID: pick.PartID(id)})
	}
	if load.Tokens > 0 {
		prompt = append(prompt, pick.Part{}) // the last segment, which belongs to this request only
	}
	o.works[key] = e.Begin(pick.PrefillTask{
		Prompt: prompt, Uncached: units.Tokens(load.Tokens), Cost: time.Duration(load.CostUS) * time.Microsecond,
		Urgency: pick.Urgency(load.Urgency), KVTokens: units.Tokens(load.KVTokens),
	}, now)
	o.byAge = append(o.byAge, trackedWork{key: key, startedAt: now})
}

// WorkPrefilled implements gossip.Sink: the prompt of a request is prefilled.
func (o *RemoteWork) WorkPrefilled(from units.ProcessName, incarnation int64, work uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if w, ok := o.works[workKey{from: from, incarnation: incarnation, work: work}]; ok {
		w.PrefillDone(o.clock())
	}
}

// WorkEnded implements gossip.Sink: a request has ended.
func (o *RemoteWork) WorkEnded(from units.ProcessName, incarnation int64, work uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.end(workKey{from: from, incarnation: incarnation, work: work})
}

// EngineUnavailable implements gossip.Sink: the incarnation gets no new requests for the duration.
func (o *RemoteWork) EngineUnavailable(id units.EngineName, born int64, d time.Duration) {
	if e, ok := o.roster.snapshot.Load().byID[id]; ok && e.StartedAt == born {
		e.ExcludeUntil(o.clock().Add(d))
	}
}

// RegionLoads implements gossip.Sink: it returns the load of each engine in the region that has any.
func (o *RemoteWork) RegionLoads(region units.RegionName) []wire.EngineLoad {
	now := o.clock()
	var loads []wire.EngineLoad
	for _, e := range o.roster.snapshot.Load().byID {
		if e.Region != region {
			continue
		}
		l := e.LocalLoad(now)
		if l.Running == 0 && l.Pending == 0 {
			continue
		}
		loads = append(loads, wire.EngineLoad{
			Engine: string(e.ID), Born: e.StartedAt, WaitUS: l.TotalWait().Microseconds(), PendingTokens: int64(l.Pending),
			Running: int64(l.Running), KVTokens: int64(l.KVTokens),
		})
	}
	return loads
}

// SetRemoteLoads implements gossip.Sink: it stores the loads that another region reports.
func (o *RemoteWork) SetRemoteLoads(loads []wire.EngineLoad) {
	now := o.clock()
	for _, l := range loads {
		e, ok := o.roster.snapshot.Load().byID[units.EngineName(l.Engine)]
		if !ok || e.StartedAt != l.Born {
			continue
		}
		e.SetRegionLoad(pick.RegionLoad{
			At: now, Wait: time.Duration(l.WaitUS) * time.Microsecond, Pending: units.Tokens(l.PendingTokens),
			Running: int(l.Running), KVTokens: units.Tokens(l.KVTokens),
		})
	}
}

// end removes a request from the load of its engine.
func (o *RemoteWork) end(key workKey) {
	if w, ok := o.works[key]; ok {
		w.End(false, o.clock())
		delete(o.works, key)
	}
}

// expire ends requests that are older than maxWorkAge.
func (o *RemoteWork) expire(now time.Time) {
	for len(o.byAge) > 0 && now.Sub(o.byAge[0].startedAt) > maxWorkAge {
		o.end(o.byAge[0].key)
		o.byAge = o.byAge[1:]
	}
}
