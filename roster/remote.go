package roster

import (
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/gossip"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// maxWorkAge is how long a request of another process is counted at most, as the message that ends it may be lost.
	maxWorkAge = 6 * time.Second
	// maxTracked bounds the number of counted requests of other processes.
	maxTracked = 20000
	// answerValidity is how long an answer of an engine to this process outweighs that another one does not reach it.
	answerValidity = time.Second
)

// RemoteWork adds the requests of other processes to the load of the engines in a roster.
type RemoteWork struct {
	roster *Roster
	clock  units.Clock

	mu     sync.Mutex
	active map[workKey]*pick.Work
	byAge  []trackedWork // oldest first
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
	return &RemoteWork{roster: r, clock: clock, active: map[workKey]*pick.Work{}}
}

// WorkStarted implements gossip.Sink: another process has sent a request. Requests at an incarnation that is not in the
// roster are ignored.
func (rw *RemoteWork) WorkStarted(from units.ProcessName, incarnation int64, load *wire.LoadMessage) {
	e, ok := rw.roster.snapshot.Load().byID[units.EngineName(load.Engine)]
	if !ok || e.StartedAt != load.Born {
		return
	}
	now := rw.clock()
	rw.mu.Lock()
	defer rw.mu.Unlock()
	rw.expire(now)
	if len(rw.active) >= maxTracked {
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
	rw.active[key] = e.Begin(pick.PrefillTask{
		Prompt: prompt, Uncached: units.Tokens(load.Tokens), Cost: time.Duration(load.CostUS) * time.Microsecond,
		Urgency: pick.Urgency(load.Urgency), KVTokens: units.Tokens(load.KVTokens),
	}, now)
	rw.byAge = append(rw.byAge, trackedWork{key: key, startedAt: now})
}

// WorkPrefilled implements gossip.Sink: the prompt of a request is prefilled.
func (rw *RemoteWork) WorkPrefilled(from units.ProcessName, incarnation int64, work uint64) {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	if w, ok := rw.active[workKey{from: from, incarnation: incarnation, work: work}]; ok {
		w.PrefillDone(rw.clock())
	}
}

// WorkEnded implements gossip.Sink: a request has ended.
func (rw *RemoteWork) WorkEnded(from units.ProcessName, incarnation int64, work uint64, eventTime time.Duration) {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	key := workKey{from: from, incarnation: incarnation, work: work}
	if w, ok := rw.active[key]; ok {
		w.ObserveEventTime(eventTime)
	}
	rw.end(key)
}

// EngineUnavailable implements gossip.Sink: the incarnation gets no new requests for the duration.
func (rw *RemoteWork) EngineUnavailable(id units.EngineName, startedAt int64, d time.Duration) {
	if e, ok := rw.roster.snapshot.Load().byID[id]; ok && e.StartedAt == startedAt {
		e.ExcludeUntil(rw.clock().Add(d))
	}
}

// EngineUnreached implements gossip.Sink: another process does not reach the incarnation. This process avoids it as well,
// unless the engine has answered it lately.
func (rw *RemoteWork) EngineUnreached(from units.ProcessName, id units.EngineName, startedAt int64, d time.Duration) {
	e, ok := rw.roster.snapshot.Load().byID[id]
	if !ok || e.StartedAt != startedAt {
		return
	}
	now := rw.clock()
	answers := e.AnsweredSince(now.Add(-answerValidity))
	if !answers {
		e.ExcludeUntil(now.Add(d))
	}
	rw.roster.log.Info().Str("engine", string(id)).Int64("born", startedAt).Str("process", string(from)).
		Int64("forMs", d.Milliseconds()).Bool("answersHere", answers).Msg("roster: another process does not reach an engine")
}

// EngineLimited implements gossip.Sink: another process heard of the incarnation's limit.
func (rw *RemoteWork) EngineLimited(id units.EngineName, startedAt int64, limit units.PerSecond) {
	if e, ok := rw.roster.snapshot.Load().byID[id]; ok && e.StartedAt == startedAt {
		e.SetPeerLimit(limit, rw.clock())
	}
}

// Loads implements gossip.Sink. Engines that are not in the roster are left out.
func (rw *RemoteWork) Loads(engines []wire.EngineLoad, parts []string) []wire.EngineLoad {
	now := rw.clock()
	ids := make([]pick.PartID, len(parts))
	for i, part := range parts {
		ids[i] = pick.PartID(part)
	}
	loads := make([]wire.EngineLoad, 0, len(engines))
	for _, asked := range engines {
		e, ok := rw.roster.snapshot.Load().byID[units.EngineName(asked.Engine)]
		if !ok || e.StartedAt != asked.Born {
			continue
		}
		l := e.LocalLoad(now)
		limit, permits := e.Permits(now)
		allowance, offered := e.OfferedAllowance(now)
		loads = append(loads, wire.EngineLoad{
			Engine: asked.Engine, Born: asked.Born, WaitsUS: l.WaitsUS(),
			PendingTokens: int64(l.Pending), Running: int64(l.Running + offered), KVTokens: int64(l.KVTokens),
			CachedParts: int64(e.CachedParts(ids, now)), ExcludedUS: e.ExcludedFor(now).Microseconds(),
			FactorPermille: gossip.ToPermille(e.PrefillFactor()), EventUS: eventMicroseconds(l.EventTime),
			LimitPermille: gossip.ToPermille(float64(limit)), PermitsPermille: gossip.ToPermille(permits),
			Allowance: int64(allowance),
		})
	}
	return loads
}

// SetLoads implements gossip.Sink.
func (rw *RemoteWork) SetLoads(loads []wire.EngineLoad, prompt []pick.Part) {
	now := rw.clock()
	for _, l := range loads {
		e, ok := rw.roster.snapshot.Load().byID[units.EngineName(l.Engine)]
		if !ok || e.StartedAt != l.Born {
			continue
		}
		e.SetPeerLoad(pick.PeerLoad{
			At: now, Wait: pick.WaitsOf(l.WaitsUS), Pending: units.Tokens(l.PendingTokens),
			Running: int(l.Running), KVTokens: units.Tokens(l.KVTokens), Factor: gossip.FromPermille(l.FactorPermille),
			EventTime: eventTimeOf(l.EventUS),
			Allowance: int(l.Allowance),
		})
		e.SetPermits(units.PerSecond(gossip.FromPermille(l.LimitPermille)), gossip.FromPermille(l.PermitsPermille), now)
		if l.ExcludedUS > 0 {
			e.ExcludeUntil(now.Add(time.Duration(l.ExcludedUS) * time.Microsecond))
		}
		if shared := pick.Shared(prompt); l.CachedParts > 0 && len(shared) > 0 {
			e.MarkCached(shared[:min(int(l.CachedParts), len(shared))], now)
		}
	}
}

// end removes a request from the load of its engine.
func (rw *RemoteWork) end(key workKey) {
	if w, ok := rw.active[key]; ok {
		w.End(false, rw.clock())
		delete(rw.active, key)
	}
}

// expire ends requests that are older than maxWorkAge. Their durations are not known.
func (rw *RemoteWork) expire(now time.Time) {
	for len(rw.byAge) > 0 && now.Sub(rw.byAge[0].startedAt) > maxWorkAge {
		if w, ok := rw.active[rw.byAge[0].key]; ok {
			w.Discard()
		}
		rw.end(rw.byAge[0].key)
		rw.byAge = rw.byAge[1:]
	}
}

// eventMicroseconds returns the field of a message for the time between events, nil if it is not known.
func eventMicroseconds(d time.Duration) *int64 {
	if d <= 0 {
		return nil
	}
	us := d.Microseconds()
	return &us
}

// eventTimeOf returns the time between events of a message, zero if it has none, as processes of earlier software send none.
func eventTimeOf(us *int64) time.Duration {
	if us == nil {
		return 0
	}
	return time.Duration(*us) * time.Microsecond
}
