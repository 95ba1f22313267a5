// Package bench measures the decisions of the serving code on fake engines in virtual time.
package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	chatInput     = 240  // prompt tokens of a usual chat, before the mix is applied
	chatOutput    = 100  // output tokens of a usual chat
	briefingInput = 2400 // prompt tokens of a long briefing
	sharedPrefix  = 120  // prompt tokens that chats of one kiosk share
	prefixes      = 24
	crashPart     = 3 // one in that many engines dies together
)

// Arrival is one request of a trace.
type Arrival struct {
	At       time.Duration
	Job      flow.Job
	Tenant   units.TenantName
	Priority units.Priority
}

// Trace is a recorded or generated load.
type Trace struct {
	Name     string
	Length   time.Duration
	Arrivals []Arrival
	Withdraw time.Duration // when an engine is withdrawn, zero for never
	Freeze   time.Duration // when load reports freeze, zero for never
	Thaw     time.Duration
	Crash    time.Duration // when a third of the engines die, zero for never
	Back     time.Duration
}

// Mix describes a load over time.
type Mix struct {
	Name     string
	Length   time.Duration
	Load     float64                       // part of the fleet's capacity
	Prefill  func(t time.Duration) float64 // part of the work that is prefill
	Briefing func(t time.Duration) float64 // part of the requests that are long briefings
	Withdraw time.Duration
	Freeze   time.Duration
	Thaw     time.Duration
	Crash    time.Duration
	Back     time.Duration
	Heavy    float64 // part of the requests that come from one tenant, zero for equal parts
}

// Constant returns a share that never changes.
func Constant(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share }
}

// Step returns a share that changes once.
func Step(before, after float64, at time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t < at {
			return before
		}
		return after
	}
}

// Swing returns a share that swings around a middle.
func Swing(middle, reach float64, period time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		return middle + reach*math.Sin(2*math.Pi*t.Seconds()/period.Seconds())
	}
}

// Generate draws the trace of a mix from a seed, for a fleet with the given rates.
func Generate(m Mix, f Fleet, seed uint64) Trace {
	random := rand.New(rand.NewPCG(seed, seed))
	t := Trace{
		Name: m.Name, Length: m.Length, Withdraw: m.Withdraw, Freeze: m.Freeze, Thaw: m.Thaw, Crash: m.Crash, Back: m.Back,
	}
	for at := time.Duration(0); at < m.Length; {
		job := drawJob(random, m, f, at)
		arrival := Arrival{
			At: at, Job: job, Priority: units.Priority(random.IntN(3)), Tenant: tenantNames[random.IntN(len(tenantNames))],
		}
		if m.Heavy > 0 {
			arrival.Priority, arrival.Tenant = 0, tenantNames[0]
			if random.Float64() > m.Heavy {
				arrival.Tenant = tenantNames[1]
			}
		}
		t.Arrivals = append(t.Arrivals, arrival)
		rate := m.Load * float64(f.Engines) / f.meanCost(m, at)
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
	}
	return t
}

var tenantNames = []units.TenantName{"kiosks", "hotels", "phones"}

// drawJob draws a request whose prompt makes up the wanted part of the work.
func drawJob(random *rand.Rand, m Mix, f Fleet, at time.Duration) flow.Job {
	output := units.Tokens(chatOutput/2 + random.IntN(chatOutput))
	if m.Briefing != nil && random.Float64() < m.Briefing(at) {
		return flow.Job{Input: units.Tokens(briefingInput/2 + random.IntN(briefingInput)), Output: output / 2}
	}
	mean := f.inputFor(m.Prefill(at))
	input := units.Tokens(mean/2 + random.Float64()*mean)
	job := flow.Job{Input: input + 1, Output: output}
	if input > 2*sharedPrefix {
		job.Prefix = 1 + uint64(random.IntN(prefixes))
		job.Shared = sharedPrefix
	}
	return job
}

// inputFor returns the mean prompt that makes prefill the given part of the work.
func (f Fleet) inputFor(share float64) float64 {
	decode := chatOutput / f.decodePerSecond()
	return decode * share / (1 - share) * float64(f.Rates.PrefillPerSecond)
}

// meanCost returns the engine seconds of a mean request.
func (f Fleet) meanCost(m Mix, at time.Duration) float64 {
	chat := f.cost(flow.Job{Input: units.Tokens(f.inputFor(m.Prefill(at))), Output: chatOutput})
	if m.Briefing == nil {
		return chat
	}
	part := m.Briefing(at)
	return chat*(1-part) + part*f.cost(flow.Job{Input: briefingInput, Output: chatOutput / 2})
}

// cost returns the engine seconds of a request.
func (f Fleet) cost(j flow.Job) float64 {
	return float64(j.Input)/float64(f.Rates.PrefillPerSecond) + float64(j.Output)/f.decodePerSecond()
}

// Bound returns the most requests that can be good when the trace is known and roles change in no time: in each
// second, no more work than the engines can do, with all shared prefixes cached.
func Bound(t Trace, f Fleet) float64 {
	seconds := int(t.Length.Seconds()) + 1
	work := make([]float64, seconds)
	count := make([]float64, seconds)
	for _, a := range t.Arrivals {
		s := int(a.At.Seconds())
		work[s] += f.cost(flow.Job{Input: a.Job.Input - a.Job.Shared, Output: a.Job.Output})
		count[s]++
	}
	good := 0.0
	for s := range seconds {
		engines := float64(f.Engines)
		if t.Withdraw > 0 && s > int(t.Withdraw.Seconds()) {
			engines--
		}
		if t.Crash > 0 && s > int(t.Crash.Seconds()) && s < int(t.Back.Seconds()) {
			engines -= engines / crashPart
		}
		part := 1.0
		if work[s] > engines {
			part = engines / work[s]
		}
		good += count[s] * part
	}
	return good
}
