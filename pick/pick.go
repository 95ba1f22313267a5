package pick

import (
	"math"
	"time"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// One-way network delays, as the requirements state them.
const (
	// regionDelay is the delay between regions.
	regionDelay = 20 * time.Millisecond
	// placeDelay is the delay between availability zones of a region.
	placeDelay = time.Millisecond
)

const (
	// DecodePrefillFactor is the prefill time on an engine that also decodes, relative to one that only prefills.
	DecodePrefillFactor = 2
	// transferSetup is the fixed part of the time of a KV cache transfer.
	transferSetup = 3 * time.Millisecond
	// regionTransferFactor is the time per byte between regions, relative to that within an availability zone.
	regionTransferFactor = 10
	// placeTransferFactor is the time per byte between availability zones of a region, relative to that within one.
	placeTransferFactor = 2
	// cacheMissCost is the penalty for a prefill engine that is not preferred for the shared segments and has not cached
	// them: each further copy costs prefill time and evicts other cache content.
	cacheMissCost = 60 * time.Millisecond
	// remoteRegionCost is the penalty for an engine in another region, as traffic between regions is billed.
	remoteRegionCost = 10 * time.Millisecond
	// runningCost is the penalty per request that an engine runs, as each slows the others slightly.
	runningCost = 500 * time.Microsecond
)

// Request describes a request that needs engines.
type Request struct {
	Prompt      []Part       // empty for a plain request
	Output      units.Tokens // largest number of tokens to generate
	Place       units.PlaceName
	Region      units.RegionName
	Memory      config.KVCache
	GapTarget   time.Duration // target for the longest pause between two events, zero for none
	Estimator   *PrefillEstimator
	FirstTarget time.Duration      // target for the time to the first event
	TimeLeft    time.Duration      // until the deadline of the whole answer, zero for none
	Avoid       []units.EngineName // engines that the request was already sent to
	Now         time.Time
	Seed        uint64 // determines which engines are candidates if there are many
	HomeOnly    bool   // considers other regions than the home region only if that has no engine of a role
	CopyShared  bool   // engines copy shared segments that another one has
	AnyPermits  bool   // includes engines that have had as many requests as their limits allow
	ShareHomes  bool   // the home region of long shared segments may be another one than the local region
}

// Plan names the engines for a request, with the estimates behind the choice.
type Plan struct {
	Prefill          *Engine // nil if Run also prefills the prompt
	Run              *Engine
	TimeToFirstEvent time.Duration // estimated time to the first event
	Task             PrefillTask   // at the engine that prefills the prompt
	Latency          time.Duration // of prefill, on top of its cost
	Copy             *Engine       // from which the engine that prefills the prompt first copies shared segments, nil for none
	Busy             bool          // the request would queue at the engine or exceed its pace, or the engine is excluded
}

// Choose returns the plan with the lowest estimated time to the first event, including penalties. It considers each
// candidate for decoding alone and with each candidate for prefill; their number does not grow with the fleet.
func Choose(t *Table, r Request) (Plan, bool) {
	if len(r.Prompt) == 0 {
		return choosePlain(t, r)
	}
	best, found := Plan{}, false
	var bestCandidate *candidate
	least := time.Duration(math.MaxInt64)
	consider := func(p Plan, c *candidate, penalty time.Duration) {
		if p.TimeToFirstEvent+penalty < least {
			best, bestCandidate, least, found = p, c, p.TimeToFirstEvent+penalty, true
		}
	}
	draw := newDraw(r.Seed)
	var prefills, decodes candidates
	t.selectCandidates(&prefills, rolePrefill, &r, &draw)
	t.selectCandidates(&decodes, roleRun, &r, &draw)
	total := Total(r.Prompt)
	for i := range decodes.list() {
		d := &decodes.all[i]
		if p, penalty, ok := colocatedPlan(d, &r); ok {
			consider(p, d, penalty+overrunPenalty(d, p.TimeToFirstEvent, &r))
		}
	}
	for i := range prefills.list() {
		p := &prefills.all[i]
		task, latency := prefillAt(p, &r, 1)
		before := p.load.Wait[task.Urgency] + task.Cost + latency + 2*Delay(r.Place, r.Region, p.engine)
		penalty := rankingPenalty(p, &r)
		if !p.preferred && p.cached == 0 {
			penalty += cacheMissCost
		}
		for j := range decodes.list() {
			d := &decodes.all[j]
			first := before + decodeDelay(p.engine, d, total, &r)
			consider(Plan{
				Prefill: p.engine, Run: d.engine, TimeToFirstEvent: first, Task: task, Latency: latency,
				Busy: p.load.isHeld() || d.load.isHeld(),
			}, p, penalty+rankingPenalty(d, &r)+overrunPenalty(d, first, &r))
		}
	}
	if found && r.CopyShared {
		role, list := roleRun, decodes.list()
		if best.Prefill != nil {
			role, list = rolePrefill, prefills.list()
		}
		best.Copy = copySource(t, bestCandidate, list, role, &r)
	}
	return best, found
}

// choosePlain returns the engine with the fewest running requests, with penalties for full and remote engines.
func choosePlain(t *Table, r Request) (Plan, bool) {
	var best *Engine
	var busy bool
	least := math.Inf(1)
	draw := newDraw(r.Seed)
	var found candidates
	t.selectCandidates(&found, roleRun, &r, &draw) // prefill engines do not run requests
	for i := range found.list() {
		c := &found.all[i]
		slots := float64(max(c.engine.Slots, 1))
		load := float64(c.load.Running) * c.load.paceShare(slots)
		full := load >= slots
		if full {
			load += slots // the request would queue at the engine
		}
		if c.engine.Region != r.Region {
			load += remoteRegionRequests
		}
		if load < least {
			best, least, busy = c.engine, load, full || c.load.Excluded
		}
	}
	return Plan{Run: best, Busy: busy}, best != nil
}

// remoteRegionRequests is the penalty, in running requests, for an engine in another region.
const remoteRegionRequests = 3

// colocatedPlan returns the plan to prefill and decode on one engine, and its penalty. It returns false if the prompt
// would make the engine's streams miss the gap target.
func colocatedPlan(d *candidate, r *Request) (Plan, time.Duration, bool) {
	task, latency := prefillAt(d, r, DecodePrefillFactor)
	if d.load.Pending+task.Uncached > maxPrefillBacklog(r) {
		return Plan{}, 0, false
	}
	task.KVTokens = Total(r.Prompt) + r.Output
	first := d.load.Wait[task.Urgency] + task.Cost + latency + capacityWait(d, r) + 2*Delay(r.Place, r.Region, d.engine)
	return Plan{Run: d.engine, TimeToFirstEvent: first, Task: task, Latency: latency, Busy: d.load.isHeld()}, rankingPenalty(d, r), true
}

// prefillAt returns the work and the latency of prefilling the prompt at the engine. Factor scales the work.
func prefillAt(c *candidate, r *Request, factor float64) (PrefillTask, time.Duration) {
	uncached := Total(r.Prompt) - c.cached
	cost, latency := r.Estimator.Estimate(uncached, c.cached)
	cost = time.Duration(float64(cost) * factor * c.engine.PrefillFactor())
	return PrefillTask{Prompt: r.Prompt, Uncached: uncached, Cost: cost, Urgency: urgencyOf(cost, r.FirstTarget)}, latency
}

// urgencyOf puts short prompts first, as they delay long ones only slightly, and prompts that exceed the target last.
func urgencyOf(cost, target time.Duration) Urgency {
	const normal Urgency = 5
	switch {
	case cost > target:
		return normal + 3
	case cost > target/8:
		return normal
	default:
		return normal - 1
	}
}

const (
	// decodeStepTime is the time of one decode step without prefill, the larger value of the engines' data sheets.
	decodeStepTime = 4500 * time.Microsecond
	// decodeChunk is the number of prompt tokens that a decoding engine prefills per step, a quarter of a full chunk.
	decodeChunk units.Tokens = 512
	// gapShare is the share of the gap target that decode and prefill steps may use; the rest is for network delay.
	gapShare = 0.9
)

// maxPrefillBacklog returns how many prompt tokens may be queued at a decoding engine so that its streams still meet
// the gap target. An event takes one step per token that it holds, and each step is longer by its prefill chunk.
func maxPrefillBacklog(r *Request) units.Tokens {
	if r.GapTarget <= 0 {
		return math.MaxInt64
	}
	steps := time.Duration(max(r.Memory.EventTokens, 1))
	perStep := time.Duration(
		float64(decodeChunk) * DecodePrefillFactor / r.Estimator.TokensPerSecond() * float64(time.Second))
	spare := time.Duration(float64(r.GapTarget)*gapShare) - steps*decodeStepTime
	if steps*perStep <= spare {
		return math.MaxInt64
	}
	return units.Tokens(float64(max(spare, 0)) / float64(perStep) * float64(decodeChunk))
}

// decodeDelay returns the estimated time from the end of the prefill on p to the first event of the decode on d.
func decodeDelay(p *Engine, d *candidate, tokens units.Tokens, r *Request) time.Duration {
	return 2*Delay(r.Place, r.Region, d.engine) + transferTime(tokens, p, d.engine, &r.Memory) + d.load.Wait[0] +
		capacityWait(d, r)
}

// usableMemoryShare is the share of the KV cache that may be reserved; above it, engines preempt running requests.
const usableMemoryShare = 0.85

// capacityWait estimates the time until the engine has a free slot and KV cache memory for the request.
func capacityWait(c *candidate, r *Request) time.Duration {
	e, l := c.engine, &c.load
	var over float64 // share of the engine's slots or memory that must become free first
	if slots := max(e.Slots, 1); l.Running >= slots {
		over = float64(l.Running+1-slots) / float64(slots)
	}
	if memory := usableMemoryShare * float64(r.Memory.Tokens); memory > 0 {
		need := float64(l.KVTokens + Total(r.Prompt) + r.Output)
		over = max(over, (need-memory)/memory)
	}
	return time.Duration(over * float64(l.MeanDuration))
}

// rankingPenalty returns the penalty for the requests that the engine runs, for its pace and for its region. It is no part of
// the time to the first event, so that no request is refused since all engines are held back.
func rankingPenalty(c *candidate, r *Request) time.Duration {
	penalty := runningCost*time.Duration(c.load.Running) + c.load.heldWait()
	if c.engine.Region != r.Region {
		penalty += remoteRegionCost
	}
	return penalty
}

// transferTime estimates the time to transfer the KV cache of a prompt.
func transferTime(tokens units.Tokens, from, to *Engine, m *config.KVCache) time.Duration {
	if m.LinkBitsPerSecond <= 0 {
		return transferSetup
	}
	seconds := float64(tokens) * float64(m.TokenBytes) * 8 / m.LinkBitsPerSecond
	switch {
	case from.Region != to.Region:
		seconds *= regionTransferFactor
	case from.Place != to.Place:
		seconds *= placeTransferFactor
	}
	return transferSetup + time.Duration(seconds*float64(time.Second))
}

// Delay returns the one-way network delay from the availability zone to the engine.
func Delay(place units.PlaceName, region units.RegionName, e *Engine) time.Duration {
	switch {
	case e.Region != region:
		return regionDelay
	case e.Place != place:
		return placeDelay
	default:
		return 0
	}
}

// ChooseDecode returns the decoding engine with the lowest estimated time to continue a request after prefill at the
// source.
func ChooseDecode(t *Table, source *Engine, r Request) (*Engine, bool) {
	var best *Engine
	least := time.Duration(math.MaxInt64)
	draw := newDraw(r.Seed)
	var decodes candidates
	t.selectCandidates(&decodes, roleRun, &r, &draw)
	total := Total(r.Prompt)
	for i := range decodes.list() {
		d := &decodes.all[i]
		delay := decodeDelay(source, d, total, &r)
		if cost := delay + rankingPenalty(d, &r) + overrunPenalty(d, delay, &r); cost < least {
			best, least = d.engine, cost
		}
	}
	return best, best != nil
}
