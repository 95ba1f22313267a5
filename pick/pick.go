package pick

import (
	"math"
	"slices"
	"time"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/digest"
	"github.com/buckthorntrack/buckthorntrack/engine"
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
	// decodePrefillFactor is the prefill time on an engine that also decodes, relative to one that only prefills.
	decodePrefillFactor = 2
	// transferSetup is the fixed part of the time of a KV cache transfer.
	transferSetup = 3 * time.Millisecond
	// regionTransferFactor is the time per byte between regions, relative to that within an availability zone.
	regionTransferFactor = 10
	// placeTransferFactor is the time per byte between availability zones of a region, relative to that within one.
	placeTransferFactor = 2
	// preferredCount is the number of preferred prefill engines for prompts with the same shared segments.
	preferredCount = 1
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
	Avoid       []units.EngineName // engines that the request was already sent to
	Now         time.Time
}

// Plan names the engines for a request, with the estimates behind the choice.
type Plan struct {
	Prefill          *Engine // nil if Run also prefills the prompt
	Run              *Engine
	TimeToFirstEvent time.Duration // estimated time to the first event
	Task             PrefillTask   // at the engine that prefills the prompt
	Latency          time.Duration // of prefill, on top of its cost
}

// Choose returns the plan with the lowest estimated time to the first event, including penalties. It considers each
// decoding engine alone and with each prefill engine.
func Choose(engines []*Engine, r Request) (Plan, bool) {
	if len(r.Prompt) == 0 {
		return choosePlain(engines, r)
	}
	best, found := Plan{}, false
	least := time.Duration(math.MaxInt64)
	consider := func(p Plan, penalty time.Duration) {
		if p.TimeToFirstEvent+penalty < least {
			best, least, found = p, p.TimeToFirstEvent+penalty, true
		}
	}
	prefills, decodes := splitByRole(engines, r)
	preferred := preferredPrefills(inRegion(prefills, r.Region), r.Prompt)
	for _, d := range decodes {
		p, penalty, ok := colocatedPlan(d, r)
		if ok {
			consider(p, penalty)
		}
	}
	for _, p := range prefills {
		for _, d := range decodes {
			plan, penalty := disaggregatedPlan(p, d, r)
			if !slices.Contains(preferred, p.ID) && p.CachedTokens(r.Prompt, r.Now) == 0 {
				penalty += cacheMissCost
			}
			consider(plan, penalty)
		}
	}
	return best, found
}

// splitByRole returns the usable engines that only prefill, and the usable ones that decode.
func splitByRole(engines []*Engine, r Request) (prefills, decodes []*Engine) {
	for _, e := range engines {
		if e.Role == engine.RolePrefill {
			prefills = append(prefills, e)
		} else {
			decodes = append(decodes, e)
		}
	}
	return usable(prefills, r), usable(decodes, r)
}

// usable leaves out engines that are leaving or were tried before, and excluded engines unless all others are left out.
func usable(engines []*Engine, r Request) []*Engine {
	candidates := make([]*Engine, 0, len(engines))
	healthy := make([]*Engine, 0, len(engines))
	for _, e := range engines {
		if e.Leaving || slices.Contains(r.Avoid, e.ID) {
			continue
		}
		candidates = append(candidates, e)
		if !e.Load(r.Now).Excluded {
			healthy = append(healthy, e)
		}
	}
	if len(healthy) > 0 {
		return healthy
	}
	return candidates
}

// choosePlain returns the engine with the fewest running requests, with penalties for full and remote engines.
func choosePlain(engines []*Engine, r Request) (Plan, bool) {
	var best *Engine
	least := math.Inf(1)
	_, candidates := splitByRole(engines, r) // prefill engines do not run requests
	for _, e := range candidates {
		load := float64(e.Load(r.Now).Running)
		if slots := float64(max(e.Slots, 1)); load >= slots {
			load += slots // the request would queue at the engine
		}
		if e.Region != r.Region {
			load += remoteRegionRequests
		}
		if load < least {
			best, least = e, load
		}
	}
	return Plan{Run: best}, best != nil
}

// remoteRegionRequests is the penalty, in running requests, for an engine in another region.
const remoteRegionRequests = 3

// colocatedPlan returns the plan to prefill and decode on one engine, and its penalty. It returns false if the prompt
// would make the engine's streams miss the gap target.
func colocatedPlan(d *Engine, r Request) (Plan, time.Duration, bool) {
	task, latency := prefillAt(d, r, decodePrefillFactor)
	load := d.Load(r.Now)
	if load.Pending+task.Uncached > maxPrefillBacklog(r) {
		return Plan{}, 0, false
	}
	task.KVTokens = Total(r.Prompt) + r.Output
	first := load.Wait[task.Urgency] + task.Cost + latency + capacityWait(d, load, r) + 2*Delay(r.Place, r.Region, d)
	return Plan{Run: d, TimeToFirstEvent: first, Task: task, Latency: latency}, rankingPenalty(d, load, r), true
}

// prefillAt returns the work and the latency of prefilling the prompt at the engine. Factor scales the work.
func prefillAt(e *Engine, r Request, factor float64) (PrefillTask, time.Duration) {
	cached := e.CachedTokens(r.Prompt, r.Now)
	uncached := Total(r.Prompt) - cached
	cost, latency := r.Estimator.Estimate(uncached, cached)
	cost = time.Duration(float64(cost) * factor * e.PrefillFactor())
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
func maxPrefillBacklog(r Request) units.Tokens {
	if r.GapTarget <= 0 {
		return math.MaxInt64
	}
	steps := time.Duration(max(r.Memory.EventTokens, 1))
	perStep := time.Duration(
		float64(decodeChunk) * decodePrefillFactor / r.Estimator.TokensPerSecond() * float64(time.Second))
	spare := time.Duration(float64(r.GapTarget)*gapShare) - steps*decodeStepTime
	if steps*perStep <= spare {
		return math.MaxInt64
	}
	return units.Tokens(float64(max(spare, 0)) / float64(perStep) * float64(decodeChunk))
}

// disaggregatedPlan returns the plan to prefill on p and decode on d, and its penalty.
func disaggregatedPlan(p, d *Engine, r Request) (Plan, time.Duration) {
	task, latency := prefillAt(p, r, 1)
	prefillLoad, decodeLoad := p.Load(r.Now), d.Load(r.Now)
	first := prefillLoad.Wait[task.Urgency] + task.Cost + latency + 2*Delay(r.Place, r.Region, p) +
		2*Delay(r.Place, r.Region, d) + transferTime(Total(r.Prompt), p, d, r.Memory) + decodeLoad.Wait[0] +
		capacityWait(d, decodeLoad, r)
	return Plan{Prefill: p, Run: d, TimeToFirstEvent: first, Task: task, Latency: latency},
		rankingPenalty(p, prefillLoad, r) + rankingPenalty(d, decodeLoad, r)
}

// usableMemoryShare is the share of the KV cache that may be reserved; above it, engines preempt running requests.
const usableMemoryShare = 0.85

// capacityWait estimates the time until the engine has a free slot and KV cache memory for the request.
func capacityWait(e *Engine, l Load, r Request) time.Duration {
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

// rankingPenalty returns the penalty for the requests that the engine runs and for its region.
func rankingPenalty(e *Engine, l Load, r Request) time.Duration {
	penalty := runningCost * time.Duration(l.Running)
	if e.Region != r.Region {
		penalty += remoteRegionCost
	}
	return penalty
}

// transferTime estimates the time to transfer the KV cache of a prompt.
func transferTime(tokens units.Tokens, from, to *Engine, m config.KVCache) time.Duration {
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

// inRegion returns the engines in the region, or all engines if there are none.
func inRegion(engines []*Engine, region units.RegionName) []*Engine {
	local := make([]*Engine, 0, len(engines))
	for _, e := range engines {
		if e.Region == region {
			local = append(local, e)
		}
	}
	if len(local) == 0 {
		return engines
	}
	return local
}

// preferredPrefills returns the engines that all processes prefer for prompts with the same shared segments, by
// rendezvous hashing.
func preferredPrefills(prefills []*Engine, prompt []Part) []units.EngineName {
	parts := Shared(prompt)
	if len(parts) == 0 {
		return nil
	}
	part := parts[len(parts)-1].ID
	byWeight := slices.Clone(prefills)
	slices.SortFunc(byWeight, func(a, b *Engine) int {
		if rendezvousWeight(a, part) > rendezvousWeight(b, part) {
			return -1
		}
		return 1
	})
	names := make([]units.EngineName, 0, preferredCount)
	for _, e := range byWeight[:min(preferredCount, len(byWeight))] {
		names = append(names, e.ID)
	}
	return names
}

func rendezvousWeight(e *Engine, part PartID) uint64 {
	return digest.Sum64(string(e.ID), string(part))
}

// ChooseDecode returns the decoding engine with the lowest estimated time to continue a request after prefill at the
// source.
func ChooseDecode(engines []*Engine, source *Engine, r Request) (*Engine, bool) {
	var best *Engine
	least := time.Duration(math.MaxInt64)
	_, decodes := splitByRole(engines, r)
	for _, d := range decodes {
		plan, penalty := disaggregatedPlan(source, d, r)
		if plan.TimeToFirstEvent+penalty < least {
			best, least = d, plan.TimeToFirstEvent+penalty
		}
	}
	return best, best != nil
}
