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

// Delays between places, one way.
const (
	// regionDelay is the delay between regions that the brief states.
	regionDelay = 20 * time.Millisecond
	// placeDelay is the delay between availability zones of a region that the brief states.
	placeDelay = time.Millisecond
)

const (
	// decodeReadFactor is how much slower an engine that decodes reads a prompt than one that only prefills.
	decodeReadFactor = 2
	// transferSetup is the time to begin moving a KV cache, beside the bytes.
	transferSetup = 3 * time.Millisecond
	// regionTransfer is how much longer a transfer between regions takes than one in an availability zone.
	regionTransfer = 10
	// placeTransfer is the same between availability zones of a region.
	placeTransfer = 2
	// homes is the number of prefill engines among which prompts with the same shared part are spread.
	homes = 1
	// awayCost is added for a prefill engine that is not a home of the prompt's shared part and has not read it,
	// as each engine that reads the part once more takes time from others and memory from its cache.
	awayCost = 60 * time.Millisecond
	// remoteCost is added for an engine in another region: bytes between regions are paid for.
	remoteCost = 10 * time.Millisecond
	// runningCost is added for each request that an engine runs, as each slows the others a little.
	runningCost = 500 * time.Microsecond
)

// Ask is a request for which engines are to be chosen.
type Ask struct {
	Prompt []Part       // empty for a plain call
	Output units.Tokens // most tokens to generate
	Place  units.PlaceName
	Region units.RegionName
	Memory config.Memory
	Gap    time.Duration // longest pause between events that is on time
	Speed  *Speed
	Aim    time.Duration      // time to the first event that is on time
	Avoid  []units.EngineName // engines that the request was sent to
	Now    time.Time
}

// Plan says which engines run a request.
type Plan struct {
	Prefill *Engine // nil when Run reads the prompt itself
	Run     *Engine
	First   time.Duration // estimated time to the first event
	Reading Reading       // of the engine that reads the prompt
	Latency time.Duration // of reading, beside the engine's time
}

// Choose returns the plan with the least estimated time to the first event.
func Choose(engines []*Engine, a Ask) (Plan, bool) {
	if len(a.Prompt) == 0 {
		return choosePlain(engines, a)
	}
	best, found := Plan{}, false
	least := time.Duration(math.MaxInt64)
	consider := func(p Plan, extra time.Duration) {
		if p.First+extra < least {
			best, least, found = p, p.First+extra, true
		}
	}
	prefills, decodes := split(engines, a)
	home := homesOf(inRegion(prefills, a.Region), a.Prompt)
	for _, d := range decodes {
		p, extra, ok := whole(d, a)
		if ok {
			consider(p, extra)
		}
	}
	for _, p := range prefills {
		for _, d := range decodes {
			plan, extra := apart(p, d, a)
			if !slices.Contains(home, p.ID) && p.Cached(a.Prompt, a.Now) == 0 {
				extra += awayCost
			}
			consider(plan, extra)
		}
	}
	return best, found
}

// split returns the engines that may prefill and those that may decode.
func split(engines []*Engine, a Ask) (prefills, decodes []*Engine) {
	for _, e := range engines {
		if e.Role == engine.RolePrefill {
			prefills = append(prefills, e)
		} else {
			decodes = append(decodes, e)
		}
	}
	return usable(prefills, a), usable(decodes, a)
}

// usable leaves out engines that the request was sent to, and engines that failed lately as long as others are left.
func usable(engines []*Engine, a Ask) []*Engine {
	left := make([]*Engine, 0, len(engines))
	sound := make([]*Engine, 0, len(engines))
	for _, e := range engines {
		if e.Leaving || slices.Contains(a.Avoid, e.ID) {
			continue
		}
		left = append(left, e)
		if !e.Load(a.Now).Shunned {
			sound = append(sound, e)
		}
	}
	if len(sound) > 0 {
		return sound
	}
	return left
}

// choosePlain returns the engine with the least requests for its slots, the nearest one among equals.
func choosePlain(engines []*Engine, a Ask) (Plan, bool) {
	var best *Engine
	least := math.Inf(1)
	_, takers := split(engines, a) // an engine that prefills runs nothing
	for _, e := range takers {
		load := float64(e.Load(a.Now).Running)
		if slots := float64(max(e.Slots, 1)); load >= slots {
			load += slots // queued behind a full engine
		}
		if e.Region != a.Region {
			load += remoteLoad
		}
		if load < least {
			best, least = e, load
		}
	}
	return Plan{Run: best}, best != nil
}

// remoteLoad is the number of further requests in the own region that one takes before it sends to another region.
const remoteLoad = 3

func whole(d *Engine, a Ask) (Plan, time.Duration, bool) {
	reading, latency := readingAt(d, a, decodeReadFactor)
	load := d.Load(a.Now)
	if load.Pending+reading.Unread > gapTokens(a) {
		return Plan{}, 0, false
	}
	reading.Holds = Total(a.Prompt) + a.Output
	first := load.Wait[reading.Urgency] + reading.Cost + latency + room(d, load, a) + 2*Delay(a.Place, a.Region, d)
	return Plan{Run: d, First: first, Reading: reading, Latency: latency}, extras(d, load, a), true
}

// readingAt returns what the engine has to read of the prompt, and the latency beside.
func readingAt(e *Engine, a Ask, factor float64) (Reading, time.Duration) {
	cached := e.Cached(a.Prompt, a.Now)
	unread := Total(a.Prompt) - cached
	cost, latency := a.Speed.Estimate(unread, cached)
	cost = time.Duration(float64(cost) * factor * e.Stretch())
	return Reading{Prompt: a.Prompt, Unread: unread, Cost: cost, Urgency: urgencyOf(cost, a.Aim)}, latency
}

// urgencyOf puts short prompts first, as they delay long ones little. A prompt that takes longer than its time goes last.
func urgencyOf(cost, aim time.Duration) Urgency {
	const usual Urgency = 5
	switch {
	case cost > aim:
		return usual + 3
	case cost > aim/8:
		return usual
	default:
		return usual - 1
	}
}

const (
	// decodeStep is the time of one step of a decoding engine with nothing to read, the greater one of those on the sheets.
	decodeStep = 4500 * time.Microsecond
	// decodePiece is the number of prompt tokens that a decoding engine reads in one step, a quarter of a whole piece.
	decodePiece units.Tokens = 512
	// gapPart is the part of the longest pause that reading may use up; the rest goes to the way.
	gapPart = 0.9
)

// gapTokens is how many prompt tokens a decoding engine may have to read at once without making its streams late: an event
// comes after as many steps as it holds tokens, and each step is longer by what is read in it.
func gapTokens(a Ask) units.Tokens {
	if a.Gap <= 0 {
		return math.MaxInt64
	}
	steps := time.Duration(max(a.Memory.EventTokens, 1))
	reading := time.Duration(float64(decodePiece) * decodeReadFactor / a.Speed.TokensPerSecond() * float64(time.Second))
	spare := time.Duration(float64(a.Gap)*gapPart) - steps*decodeStep
	if steps*reading <= spare {
		return math.MaxInt64
	}
	return units.Tokens(float64(max(spare, 0)) / float64(reading) * float64(decodePiece))
}

func apart(p, d *Engine, a Ask) (Plan, time.Duration) {
	reading, latency := readingAt(p, a, 1)
	load, decoding := p.Load(a.Now), d.Load(a.Now)
	first := load.Wait[reading.Urgency] + reading.Cost + latency + 2*Delay(a.Place, a.Region, p) +
		2*Delay(a.Place, a.Region, d) + transfer(Total(a.Prompt), p, d, a.Memory) + decoding.Wait[0] + room(d, decoding, a)
	return Plan{Prefill: p, Run: d, First: first, Reading: reading, Latency: latency}, extras(p, load, a) + extras(d, decoding, a)
}

// usableMemory is the part of an engine's memory that requests fill before it takes memory from running ones.
const usableMemory = 0.85

// room returns the time until the engine has a slot and memory for another request.
func room(e *Engine, l Load, a Ask) time.Duration {
	var over float64 // requests, or the like of them in memory, that have to end first, against those that run
	if slots := max(e.Slots, 1); l.Running >= slots {
		over = float64(l.Running+1-slots) / float64(slots)
	}
	if memory := usableMemory * float64(a.Memory.Tokens); memory > 0 {
		need := float64(l.Held + Total(a.Prompt) + a.Output)
		over = max(over, (need-memory)/memory)
	}
	return time.Duration(over * float64(l.Lasts))
}

func extras(e *Engine, l Load, a Ask) time.Duration {
	extra := runningCost * time.Duration(l.Running)
	if e.Region != a.Region {
		extra += remoteCost
	}
	return extra
}

func transfer(tokens units.Tokens, from, to *Engine, m config.Memory) time.Duration {
	if m.LinkBits <= 0 {
		return transferSetup
	}
	seconds := float64(tokens) * float64(m.TokenBytes) * 8 / m.LinkBits
	switch {
	case from.Region != to.Region:
		seconds *= regionTransfer
	case from.Place != to.Place:
		seconds *= placeTransfer
	}
	return transferSetup + time.Duration(seconds*float64(time.Second))
}

// Delay returns the delay to the engine, one way.
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

// inRegion returns the engines of the region, or all of them when it has none.
func inRegion(engines []*Engine, region units.RegionName) []*Engine {
	near := make([]*Engine, 0, len(engines))
	for _, e := range engines {
		if e.Region == region {
			near = append(near, e)
		}
	}
	if len(near) == 0 {
		return engines
	}
	return near
}

// homesOf returns the engines that all processes prefer for prompts with the same shared part, by rendezvous hashing.
func homesOf(prefills []*Engine, prompt []Part) []units.EngineName {
	parts := Shared(prompt)
	if len(parts) == 0 {
		return nil
	}
	part := parts[len(parts)-1].ID
	byWeight := slices.Clone(prefills)
	slices.SortFunc(byWeight, func(a, b *Engine) int {
		if weight(a, part) > weight(b, part) {
			return -1
		}
		return 1
	})
	names := make([]units.EngineName, 0, homes)
	for _, e := range byWeight[:min(homes, len(byWeight))] {
		names = append(names, e.ID)
	}
	return names
}

func weight(e *Engine, part PartID) uint64 {
	return digest.Of(string(e.ID), string(part))
}

// ChooseDecode returns the engine with the least estimated time to go on with a prompt that was read at the source.
func ChooseDecode(engines []*Engine, source *Engine, a Ask) (*Engine, bool) {
	var best *Engine
	least := time.Duration(math.MaxInt64)
	_, decodes := split(engines, a)
	for _, d := range decodes {
		plan, extra := apart(source, d, a)
		if plan.First+extra < least {
			best, least = d, plan.First+extra
		}
	}
	return best, best != nil
}
