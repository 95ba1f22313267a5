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

// sampled is the number of engines of a role that one decision looks at.
const sampled = 3

// sampledWide is the same for a request that had to wait.
const sampledWide = 32

// Plan says which engines run a request.
type Plan struct {
	Prefill *View // runs the whole request when Decode is nil
	Decode  *View
	First   time.Duration // estimated time to the first token
	Queued  time.Duration // wait that is due to other requests

	cost    time.Duration // by which plans are compared
	job     flow.Job      // with the prompt tokens that are not cached
	cached  units.Tokens
	open    bool // the prompt is not done
	suspect bool
}

// Cached returns the prompt tokens that the first engine has cached.
func (p *Plan) Cached() units.Tokens {
	return p.cached
}

// Whole reports whether one engine runs the whole request.
func (p *Plan) Whole() bool {
	return p.Decode == nil
}

// Ask is a request to choose engines.
type Ask struct {
	Job     flow.Job
	Avoid   []units.EngineName // engines that failed the request
	Suspect bool               // an engine died while it ran the request
	Wide    bool               // look at more engines
	Now     time.Time
}

// Policy chooses among engines. T is the type of what it chooses.
type Policy[T any] interface {
	Choose(candidates []T, ask Ask) (T, bool)
}

// Fleet is the set of engines of one service in one availability zone.
type Fleet struct {
	views  atomic.Pointer[[]*View]
	speeds atomic.Pointer[Speeds]
	random func(n int) int
	terms  Terms
	whole  Policy[*View] // replaces the estimate, for baselines
	share  atomic.Pointer[Share]
}

// Share is the part of the engines on which this process retries suspects.
type Share struct {
	Rank  int
	Count int
}

// New returns an empty fleet. Random returns a number below n.
func New(speeds Speeds, random func(n int) int) *Fleet {
	if random == nil {
		random = rand.IntN
	}
	f := &Fleet{random: random}
	f.speeds.Store(&speeds)
	f.Set(nil)
	f.SetShare(Share{Count: 1})
	return f
}

// Set replaces the engines.
func (f *Fleet) Set(views []*View) {
	f.views.Store(&views)
}

// SetSpeeds replaces the rates.
func (f *Fleet) SetSpeeds(s Speeds) {
	f.speeds.Store(&s)
}

// SetShare replaces the part of the engines on which this process retries suspects.
func (f *Fleet) SetShare(s Share) {
	f.share.Store(&s)
}

// SetTerms switches terms of the estimate off. It must be called before use.
func (f *Fleet) SetTerms(t Terms) {
	f.terms = t
}

// SetBaseline replaces the estimate by another policy. It must be called before use.
func (f *Fleet) SetBaseline(p Policy[*View]) {
	f.whole = p
}

// Views returns the engines. The slice must not be changed.
func (f *Fleet) Views() []*View {
	return *f.views.Load()
}

// Speeds returns the rates.
func (f *Fleet) Speeds() Speeds {
	return *f.speeds.Load()
}

// Choose returns the plan with the least estimated time to the first token, or false without a usable engine.
func (f *Fleet) Choose(ask Ask) (Plan, bool) {
	views := f.Views()
	speeds := f.Speeds()
	best, found := Plan{}, false
	if mixed := f.sample(views, engine.RoleMixed, ask); len(mixed) > 0 {
		best, found = f.wholePlan(mixed, speeds, ask)
	}
	prefill := f.sample(views, engine.RolePrefill, ask)
	decode := f.sample(views, engine.RoleDecode, ask)
	if len(prefill) > 0 && len(decode) > 0 {
		if split, ok := f.splitPlan(prefill, decode, speeds, ask); ok && (!found || split.cost < best.cost) {
			best, found = split, true
		}
	}
	if found {
		best.job, best.suspect = ask.Job, ask.Suspect
		best.job.Input = best.Prefill.uncached(ask.Job)
		best.cached = ask.Job.Input - best.job.Input
	}
	return best, found
}

// Start counts the plan's first engine as busy. It returns false when the engine was blocked meanwhile.
func (p *Plan) Start(now time.Time) bool {
	p.open = p.Prefill.begin(p.job, p.suspect, now)
	return p.open
}

// Prefilled counts the prompt as done. It is called at the first token.
func (p *Plan) Prefilled() {
	if p.open {
		p.Prefill.prefilled(p.job)
		p.open = false
	}
}

// End counts the plan's first engine as free again.
func (p *Plan) End() {
	p.Prefilled()
	p.Prefill.end(p.suspect)
}

// StartDecode counts the decoding engine as busy. It returns false when the engine was blocked meanwhile.
func (p *Plan) StartDecode(now time.Time) bool {
	return p.Decode.begin(flow.Job{Output: p.job.Output}, p.suspect, now)
}

// EndDecode counts the decoding engine as free again.
func (p *Plan) EndDecode() {
	p.Decode.end(p.suspect)
}

// sample returns a few usable engines of the role, drawn without a scan of all while most are usable.
func (f *Fleet) sample(views []*View, role engine.Role, ask Ask) []*View {
	wanted := sampled
	if ask.Wide {
		wanted = sampledWide
	}
	chosen := make([]*View, 0, wanted)
	if len(views) <= wanted {
		for _, v := range views {
			if f.fits(v, role, ask) {
				chosen = append(chosen, v)
			}
		}
		return chosen
	}
	offset := f.random(len(views))
	step := coprimeStep(len(views), f.random(len(views)))
	for i := range views {
		v := views[(offset+i*step)%len(views)]
		if !f.fits(v, role, ask) {
			continue
		}
		chosen = append(chosen, v)
		if len(chosen) == wanted {
			break
		}
	}
	return f.withPrefix(views, role, ask, chosen)
}

// withPrefix adds an engine that has the request's prefix cached, since sampling would miss most of them.
func (f *Fleet) withPrefix(views []*View, role engine.Role, ask Ask, chosen []*View) []*View {
	if ask.Job.Prefix == 0 || f.terms.NoPrefixes || role == engine.RoleDecode {
		return chosen
	}
	for i := range sampled {
		v := views[(ask.Job.Prefix+uint64(i))%uint64(len(views))]
		if f.fits(v, role, ask) && !slices.Contains(chosen, v) && v.prefixes.has(ask.Job.Prefix) {
			return append(chosen, v)
		}
	}
	home := views[ask.Job.Prefix%uint64(len(views))]
	if f.fits(home, role, ask) && !slices.Contains(chosen, home) {
		chosen = append(chosen, home)
	}
	return chosen
}

func (f *Fleet) fits(v *View, role engine.Role, ask Ask) bool {
	if v.Role() != role || !v.Usable(ask.Now) || slices.Contains(ask.Avoid, v.Engine.Name) {
		return false
	}
	return !ask.Suspect || f.mayProbe(v, ask.Avoid)
}

// mayProbe reports whether a suspect may run on the engine: no other suspect may run there, and the engine must be
// of this process's share, unless the request must avoid all of that.
func (f *Fleet) mayProbe(v *View, avoid []units.EngineName) bool {
	if v.suspects.Load() > 0 {
		return false
	}
	share := *f.share.Load()
	inShare, hasShare := false, false
	for i, other := range f.Views() {
		if i%share.Count != share.Rank || slices.Contains(avoid, other.Engine.Name) {
			continue
		}
		hasShare = true
		inShare = inShare || other == v
	}
	return inShare || !hasShare
}

func (f *Fleet) wholePlan(mixed []*View, speeds Speeds, ask Ask) (Plan, bool) {
	if f.whole != nil {
		v, ok := f.whole.Choose(mixed, ask)
		return Plan{Prefill: v}, ok
	}
	best, load := f.cheapest(mixed, speeds, ask, Speeds.wholeCost)
	if best == nil {
		return Plan{}, false
	}
	plan := f.planFor(best, load, speeds, ask)
	wait := speeds.slotTime(load, ask.Job)
	plan.First += wait
	plan.Queued += wait
	plan.cost = speeds.wholeCost(load.forRanking(), f.uncached(best, ask.Job), ask.Job)
	return plan, true
}

// cheapest returns the engine with the least cost, and its load.
func (f *Fleet) cheapest(
	views []*View, speeds Speeds, ask Ask, cost func(s Speeds, l Load, uncached units.Tokens, j flow.Job) time.Duration,
) (*View, Load) {
	var best *View
	var bestLoad Load
	least := time.Duration(0)
	for _, v := range views {
		load := v.LoadAt(ask.Now, speeds, f.terms)
		c := cost(speeds, load.forRanking(), f.uncached(v, ask.Job), ask.Job)
		if best == nil || c < least {
			best, bestLoad, least = v, load, c
		}
	}
	return best, bestLoad
}

// planFor returns the plan to prefill on the engine.
func (f *Fleet) planFor(v *View, load Load, speeds Speeds, ask Ask) Plan {
	uncached := f.uncached(v, ask.Job)
	first := speeds.prefillTime(load, uncached)
	alone := speeds.prefillTime(Load{Role: load.Role}, uncached)
	return Plan{Prefill: v, First: first, Queued: max(first-alone, 0)}
}

func (f *Fleet) splitPlan(prefill, decode []*View, speeds Speeds, ask Ask) (Plan, bool) {
	if f.whole != nil {
		p, ok := f.whole.Choose(prefill, ask)
		d, okDecode := f.whole.Choose(decode, ask)
		return Plan{Prefill: p, Decode: d}, ok && okDecode
	}
	first, firstLoad := f.cheapest(prefill, speeds, ask, Speeds.prefillCost)
	second, secondLoad := f.cheapest(decode, speeds, ask, Speeds.decodeCost)
	plan := f.planFor(first, firstLoad, speeds, ask)
	plan.Decode = second
	// The first token comes from the prefilling engine. A short wait for a place at the decoding one is a single gap.
	wait := speeds.slotTime(secondLoad, ask.Job)
	plan.Queued += max(wait-speeds.Decode*decodeSlack, 0)
	plan.cost = speeds.prefillCost(firstLoad.forRanking(), f.uncached(first, ask.Job), ask.Job) +
		speeds.slotTime(secondLoad.forRanking(), ask.Job)
	return plan, true
}

// decodeSlack is the number of requests beyond a full batch that may wait at a decoding engine.
const decodeSlack = 2

func (f *Fleet) uncached(v *View, job flow.Job) units.Tokens {
	if f.terms.NoPrefixes {
		return job.Input
	}
	return v.uncached(job)
}

// coprimeStep returns a step that visits all of n positions.
func coprimeStep(n, wish int) int {
	for step := wish%n + 1; ; step++ {
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
