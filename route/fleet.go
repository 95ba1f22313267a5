package route

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// sampleSize is the number of engines of a role that are compared for one request.
const sampleSize = 3

// wideSampleSize applies instead to a request that had to wait.
const wideSampleSize = 32

// Plan names the engines for a request, with the estimates behind the choice.
type Plan struct {
	Prefill          *View // runs the whole request when Decode is nil
	Decode           *View
	TimeToFirstToken time.Duration // estimated time to the first token
	QueueDelay       time.Duration // part of the wait that other requests cause

	cost       time.Duration // ranks plans; the lowest wins
	job        flow.Job      // Input counts only the uncached prompt tokens
	cached     units.Tokens
	prefilling bool // the prefill has started and is not finished
	suspect    bool
}

// Cached returns the number of prompt tokens that are in the prefix cache of the prefill engine.
func (p *Plan) Cached() units.Tokens {
	return p.cached
}

// Whole reports whether one engine runs both prefill and decode.
func (p *Plan) Whole() bool {
	return p.Decode == nil
}

// Request describes a request that needs engines.
type Request struct {
	Job     flow.Job
	Avoid   []units.EngineName // engines on which the request failed
	Suspect bool               // an engine crashed while it ran the request
	Wide    bool               // compare more engines
	Now     time.Time
}

// Policy chooses one of the candidates.
type Policy[T any] interface {
	Choose(candidates []T, r Request) (T, bool)
}

// Fleet is the set of engines of one service in one availability zone.
type Fleet struct {
	views      atomic.Pointer[[]*View]
	speeds     atomic.Pointer[Speeds]
	random     func(n int) int
	ablation   Ablation
	baseline   Policy[*View] // replaces the cost estimate in benchmarks; nil in production
	retryShard atomic.Pointer[RetryShard]
}

// RetryShard selects the engines on which this process retries suspect requests: every engine whose index modulo Count
// equals Rank.
type RetryShard struct {
	Rank  int
	Count int
}

// New returns an empty fleet. The function random returns a number below n; nil selects math/rand.
func New(speeds Speeds, random func(n int) int) *Fleet {
	if random == nil {
		random = rand.IntN
	}
	f := &Fleet{random: random}
	f.speeds.Store(&speeds)
	f.Set(nil)
	f.SetRetryShard(RetryShard{Count: 1})
	return f
}

// Set replaces the engines.
func (f *Fleet) Set(views []*View) {
	f.views.Store(&views)
}

// SetSpeeds replaces the rates that costs are estimated from.
func (f *Fleet) SetSpeeds(s Speeds) {
	f.speeds.Store(&s)
}

// SetRetryShard replaces the shard of the engines on which this process retries suspect requests.
func (f *Fleet) SetRetryShard(s RetryShard) {
	f.retryShard.Store(&s)
}

// SetAblation disables parts of the cost estimate. It must be called before the fleet is used.
func (f *Fleet) SetAblation(a Ablation) {
	f.ablation = a
}

// SetBaseline replaces the cost estimate with a baseline policy. It must be called before the fleet is used.
func (f *Fleet) SetBaseline(p Policy[*View]) {
	f.baseline = p
}

// Views returns the engines. The slice must not be changed.
func (f *Fleet) Views() []*View {
	return *f.views.Load()
}

// Speeds returns the rates that costs are estimated from.
func (f *Fleet) Speeds() Speeds {
	return *f.speeds.Load()
}

// Choose returns the plan with the lowest estimated cost, or false if no engine is usable.
func (f *Fleet) Choose(r Request) (Plan, bool) {
	views := f.Views()
	speeds := f.Speeds()
	best, found := Plan{}, false
	if mixed := f.sample(views, engine.RoleMixed, r); len(mixed) > 0 {
		best, found = f.mixedPlan(mixed, speeds, r)
	}
	prefill := f.sample(views, engine.RolePrefill, r)
	decode := f.sample(views, engine.RoleDecode, r)
	if len(prefill) > 0 && len(decode) > 0 {
		if split, ok := f.splitPlan(prefill, decode, speeds, r); ok && (!found || split.cost < best.cost) {
			best, found = split, true
		}
	}
	if found {
		best.job, best.suspect = r.Job, r.Suspect
		best.job.Input = best.Prefill.uncached(r.Job)
		best.cached = r.Job.Input - best.job.Input
	}
	return best, found
}

// Start counts the request as in flight on the prefill engine. It returns false if the engine was blocked in the
// meantime.
func (p *Plan) Start(now time.Time) bool {
	p.prefilling = p.Prefill.begin(p.job, p.suspect, now)
	return p.prefilling
}

// Prefilled removes the prompt from the prefill engine's queue. It is called at the first token.
func (p *Plan) Prefilled() {
	if p.prefilling {
		p.Prefill.prefilled(p.job)
		p.prefilling = false
	}
}

// End removes the request from the requests in flight on the prefill engine.
func (p *Plan) End() {
	p.Prefilled()
	p.Prefill.end(p.suspect)
}

// StartDecode counts the request as in flight on the decode engine. It returns false if the engine was blocked in
// the meantime.
func (p *Plan) StartDecode(now time.Time) bool {
	return p.Decode.begin(flow.Job{Output: p.job.Output}, p.suspect, now)
}

// EndDecode removes the request from the requests in flight on the decode engine.
func (p *Plan) EndDecode() {
	p.Decode.end(p.suspect)
}

// sample returns a random sample of the usable engines of the role. It visits the engines in pseudo-random order and
// stops as soon as the sample is full, so that it rarely scans all of them.
func (f *Fleet) sample(views []*View, role engine.Role, r Request) []*View {
	wanted := sampleSize
	if r.Wide {
		wanted = wideSampleSize
	}
	chosen := make([]*View, 0, wanted)
	if len(views) <= wanted {
		for _, v := range views {
			if f.isEligible(v, role, r) {
				chosen = append(chosen, v)
			}
		}
		return chosen
	}
	offset := f.random(len(views))
	step := coprimeStep(len(views), f.random(len(views)))
	for i := range views {
		v := views[(offset+i*step)%len(views)]
		if !f.isEligible(v, role, r) {
			continue
		}
		chosen = append(chosen, v)
		if len(chosen) == wanted {
			break
		}
	}
	return f.withCachedEngine(views, role, r, chosen)
}

// withCachedEngine adds an engine that has the request's prefix cached, which a random sample would mostly miss. The
// prefix hash selects a home engine. If neither it nor the few engines after it have the prefix cached, the home engine
// itself is added, so that requests with the same prefix run on the same engine.
func (f *Fleet) withCachedEngine(views []*View, role engine.Role, r Request, chosen []*View) []*View {
	if r.Job.Prefix == 0 || f.ablation.NoPrefixes || role == engine.RoleDecode {
		return chosen
	}
	for i := range sampleSize {
		v := views[(r.Job.Prefix+uint64(i))%uint64(len(views))]
		if f.isEligible(v, role, r) && !slices.Contains(chosen, v) && v.prefixes.has(r.Job.Prefix) {
			return append(chosen, v)
		}
	}
	home := views[r.Job.Prefix%uint64(len(views))]
	if f.isEligible(home, role, r) && !slices.Contains(chosen, home) {
		chosen = append(chosen, home)
	}
	return chosen
}

func (f *Fleet) isEligible(v *View, role engine.Role, r Request) bool {
	if v.Role() != role || !v.Usable(r.Now) || slices.Contains(r.Avoid, v.Engine.Name) {
		return false
	}
	return !r.Suspect || f.acceptsSuspect(v, r.Avoid)
}

// acceptsSuspect reports whether a suspect request may run on the engine. No other suspect request may run there, and
// the engine must belong to this process's shard, unless the request has to avoid all engines of the shard.
func (f *Fleet) acceptsSuspect(v *View, avoid []units.EngineName) bool {
	if v.suspects.Load() > 0 {
		return false
	}
	shard := *f.retryShard.Load()
	inShard, hasCandidate := false, false
	for i, other := range f.Views() {
		if i%shard.Count != shard.Rank || slices.Contains(avoid, other.Engine.Name) {
			continue
		}
		hasCandidate = true
		inShard = inShard || other == v
	}
	return inShard || !hasCandidate
}

func (f *Fleet) mixedPlan(mixed []*View, speeds Speeds, r Request) (Plan, bool) {
	if f.baseline != nil {
		v, ok := f.baseline.Choose(mixed, r)
		return Plan{Prefill: v}, ok
	}
	best, load := f.cheapest(mixed, speeds, r, Speeds.mixedCost)
	if best == nil {
		return Plan{}, false
	}
	plan := f.prefillPlan(best, load, speeds, r)
	wait := speeds.slotWait(load, r.Job)
	plan.TimeToFirstToken += wait
	plan.QueueDelay += wait
	plan.cost = speeds.mixedCost(load.forRanking(), f.uncached(best, r.Job), r.Job)
	return plan, true
}

// cheapest returns the engine with the lowest cost, and its load.
func (f *Fleet) cheapest(
	views []*View, speeds Speeds, r Request,
	cost func(s Speeds, l Load, uncached units.Tokens, j flow.Job) time.Duration,
) (*View, Load) {
	var best *View
	var bestLoad Load
	least := time.Duration(0)
	for _, v := range views {
		load := v.LoadAt(r.Now, speeds, f.ablation)
		c := cost(speeds, load.forRanking(), f.uncached(v, r.Job), r.Job)
		if best == nil || c < least {
			best, bestLoad, least = v, load, c
		}
	}
	return best, bestLoad
}

// prefillPlan returns a plan that prefills on the engine and has no decode engine yet.
func (f *Fleet) prefillPlan(v *View, load Load, speeds Speeds, r Request) Plan {
	uncached := f.uncached(v, r.Job)
	first := speeds.prefillTime(load, uncached)
	alone := speeds.prefillTime(Load{Role: load.Role}, uncached)
	return Plan{Prefill: v, TimeToFirstToken: first, QueueDelay: max(first-alone, 0)}
}

func (f *Fleet) splitPlan(prefill, decode []*View, speeds Speeds, r Request) (Plan, bool) {
	if f.baseline != nil {
		p, ok := f.baseline.Choose(prefill, r)
		d, okDecode := f.baseline.Choose(decode, r)
		return Plan{Prefill: p, Decode: d}, ok && okDecode
	}
	bestPrefill, prefillLoad := f.cheapest(prefill, speeds, r, Speeds.prefillCost)
	bestDecode, decodeLoad := f.cheapest(decode, speeds, r, Speeds.decodeCost)
	plan := f.prefillPlan(bestPrefill, prefillLoad, speeds, r)
	plan.Decode = bestDecode
	// The first token comes from the prefill engine, so that a short wait for a batch slot on the decode engine only
	// widens one gap between tokens.
	wait := speeds.slotWait(decodeLoad, r.Job)
	plan.QueueDelay += max(wait-speeds.SequenceTime*decodeQueueSlack, 0)
	plan.cost = speeds.prefillCost(prefillLoad.forRanking(), f.uncached(bestPrefill, r.Job), r.Job) +
		speeds.slotWait(decodeLoad.forRanking(), r.Job)
	return plan, true
}

// decodeQueueSlack is the number of requests beyond a full batch that may wait on a decode engine.
const decodeQueueSlack = 2

func (f *Fleet) uncached(v *View, job flow.Job) units.Tokens {
	if f.ablation.NoPrefixes {
		return job.Input
	}
	return v.uncached(job)
}

// coprimeStep returns a step width that is coprime to n, so that steps modulo n visit all n positions.
func coprimeStep(n, start int) int {
	for step := start%n + 1; ; step++ {
		if gcd(step, n) == 1 {
			return step
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
