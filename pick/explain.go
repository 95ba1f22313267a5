package pick

import (
	"math"
	"time"

	"github.com/buckthorntrack/buckthorntrack/pace"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Option is an engine of the service as it stands for a request.
type Option struct {
	Engine    *Engine
	Compared  bool // Choose compares it
	Prefill   bool // it is compared to prefill the prompt only
	Load      Load
	LoadAge   time.Duration // of the load that another process told, negative if there is none in use
	Held      pace.Held     // zero if its pace is open
	IsLeaving bool
	Cached    units.Tokens  // leading tokens of the prompt that are expected in its KV cache
	HasPlan   bool          // there is a plan with the engine for a prompt
	Estimate  time.Duration // lowest estimated time to the first event with the engine, zero for a plain request
	Ranking   time.Duration // the same with penalties, by which Choose decides
	Transfer  int64         // bytes of the KV cache that this plan transfers
}

// maxUncompared bounds the engines in an explanation that are not compared.
const maxUncompared = 64

// Explain returns the plan that Choose returns for the request, and the engines that it compares, followed by further engines of
// the service. It changes nothing.
func Explain(t *Table, r Request) ([]Option, Plan, bool) {
	plan, ok := Choose(t, r)
	if t == nil {
		return nil, plan, ok
	}
	draw := newDraw(r.Seed)
	var prefills, runs candidates
	if len(r.Prompt) > 0 {
		t.selectCandidates(&prefills, rolePrefill, &r, &draw)
	}
	t.selectCandidates(&runs, roleRun, &r, &draw)
	options := make([]Option, 0, prefills.count+runs.count)
	for i := range prefills.list() {
		o := newOption(&prefills.all[i], &r)
		o.Prefill = true
		for j := range runs.list() {
			o.addPair(&prefills.all[i], &runs.all[j], &r)
		}
		options = append(options, o)
	}
	for j := range runs.list() {
		d := &runs.all[j]
		o := newOption(d, &r)
		if len(r.Prompt) > 0 {
			if p, penalty, ok := colocatedPlan(d, &r); ok {
				o.add(p.TimeToFirstEvent, penalty, 0)
			}
			for i := range prefills.list() {
				o.addPair(&prefills.all[i], d, &r)
			}
		}
		options = append(options, o)
	}
	for _, e := range t.engines {
		if len(options) == prefills.count+runs.count+maxUncompared {
			break
		}
		if !prefills.has(e) && !runs.has(e) {
			c := candidate{engine: e}
			e.readLoad(r.Now, &c.load)
			c.cached = e.CachedTokens(r.Prompt, r.Now)
			o := newOption(&c, &r)
			o.Compared = false
			options = append(options, o)
		}
	}
	return options, plan, ok
}

func newOption(c *candidate, r *Request) Option {
	o := Option{
		Engine: c.engine, Compared: true, Load: c.load, Cached: c.cached, IsLeaving: c.engine.Leaving, Ranking: math.MaxInt64,
		LoadAge: c.engine.peerLoadAge(r.Now),
	}
	o.Held, _ = c.engine.HeldBack()
	return o
}

// addPair adds the plan to prefill at one engine and to decode at another.
func (o *Option) addPair(p, d *candidate, r *Request) {
	task, latency := prefillAt(p, r, 1)
	total := Total(r.Prompt)
	first := p.load.Wait[task.Urgency] + task.Cost + latency + 2*Delay(r.Place, r.Region, p.engine) + decodeDelay(p.engine, d, total, r)
	penalty := rankingPenalty(p, r) + rankingPenalty(d, r)
	if !p.preferred && p.cached == 0 {
		penalty += cacheMissCost
	}
	o.add(first, penalty, int64(total)*r.Memory.TokenBytes)
}

// add keeps a plan if it is better than the ones before.
func (o *Option) add(first, penalty time.Duration, transfer int64) {
	if first+penalty < o.Ranking {
		o.HasPlan, o.Estimate, o.Ranking, o.Transfer = true, first, first+penalty, transfer
	}
}

// peerLoadAge returns the age of the load that another process told, negative if none is in use.
func (l *loadTracker) peerLoadAge(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if age := now.Sub(l.peerLoad.At); age < peerLoadLifetime {
		return age
	}
	return -1
}
