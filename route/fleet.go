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
const sampled = 6

// Plan says which engines run a request.
type Plan struct {
	Prefill *View // runs the whole request when Decode is nil
	Decode  *View
	First   time.Duration // estimated time to the first token
	Queued  time.Duration // part of it that is due to other requests

	job     flow.Job
	suspect bool
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
		if split, ok := f.splitPlan(prefill, decode, speeds, ask); ok && (!found || split.First < best.First) {
			best, found = split, true
		}
	}
	best.job, best.suspect = ask.Job, ask.Suspect
	return best, found
}

// Start counts the plan's first engine as busy. It returns false when the engine was blocked meanwhile.
func (p *Plan) Start(now time.Time) bool {
	return p.Prefill.begin(p.job, p.suspect, now)
}

// End counts the plan's first engine as free again.
func (p *Plan) End() {
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
	chosen := make([]*View, 0, sampled)
	if len(views) <= sampled {
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
		if len(chosen) == sampled {
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
	best := Plan{}
	for _, v := range mixed {
		load := v.LoadAt(ask.Now, speeds, f.terms)
		own := speeds.prefillTime(Load{Role: load.Role}, f.uncached(v, ask.Job))
		first := speeds.prefillTime(load, f.uncached(v, ask.Job)) + speeds.slotTime(load, ask.Job)
		if best.Prefill == nil || first < best.First {
			best = Plan{Prefill: v, First: first, Queued: max(first-own, 0)}
		}
	}
	return best, best.Prefill != nil
}

func (f *Fleet) splitPlan(prefill, decode []*View, speeds Speeds, ask Ask) (Plan, bool) {
	if f.whole != nil {
		p, ok := f.whole.Choose(prefill, ask)
		d, okDecode := f.whole.Choose(decode, ask)
		return Plan{Prefill: p, Decode: d}, ok && okDecode
	}
	best := Plan{}
	for _, v := range prefill {
		load := v.LoadAt(ask.Now, speeds, f.terms)
		own := speeds.prefillTime(Load{Role: load.Role}, f.uncached(v, ask.Job))
		first := speeds.prefillTime(load, f.uncached(v, ask.Job))
		if best.Prefill == nil || first < best.First {
			best = Plan{Prefill: v, First: first, Queued: max(first-own, 0)}
		}
	}
	wait := time.Duration(-1)
	for _, v := range decode {
		load := v.LoadAt(ask.Now, speeds, f.terms)
		slot := speeds.slotTime(load, ask.Job)*waitWeight + time.Duration(load.Sequences)
		if wait < 0 || slot < wait {
			best.Decode, wait = v, slot
		}
	}
	best.First += wait / waitWeight
	best.Queued += wait / waitWeight
	return best, true
}

// waitWeight makes engines with an equal wait be told apart by their sequences.
const waitWeight = 1 << 10

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
