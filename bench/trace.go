// Package bench measures routing, admission and role policies on stand-in engines in virtual time.
package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	chatInput          = 240  // mean prompt tokens of a chat, before the prefill share is applied
	chatOutput         = 100  // mean output tokens of a chat
	longPromptInput    = 2400 // mean prompt tokens of a request with a long prompt
	sharedPrefixTokens = 120
	sharedPrefixes     = 24 // number of different shared prefixes
	crashDivisor       = 3  // one in this many engines crashes
)

// Arrival is one request of a trace.
type Arrival struct {
	At       time.Duration
	Job      flow.Job
	Tenant   units.TenantName
	Priority units.Priority
}

// Trace is a sequence of requests with the times of injected faults. A time of zero means never.
type Trace struct {
	Name       string
	Length     time.Duration
	Arrivals   []Arrival
	DrainAt    time.Duration // when one engine starts to drain; it gets no new requests from then on
	FreezeAt   time.Duration // when load reports stop arriving
	UnfreezeAt time.Duration // when load reports arrive again
	CrashAt    time.Duration // when a third of the engines crash
	CrashGap   time.Duration // between two of these crashes
	RestartAt  time.Duration // when the crashed engines restart
}

// Workload describes the requests over time that a trace is generated from, and the times of injected faults.
type Workload struct {
	Name             string
	Length           time.Duration
	Load             float64                       // offered load as a fraction of the fleet's capacity
	PrefillShare     func(t time.Duration) float64 // fraction of the engine time that is prefill
	LongPromptShare  func(t time.Duration) float64 // fraction of the requests with a long prompt; nil for none
	DrainAt          time.Duration
	FreezeAt         time.Duration
	UnfreezeAt       time.Duration
	CrashAt          time.Duration
	CrashGap         time.Duration
	RestartAt        time.Duration
	HeavyTenantShare float64 // fraction of the requests that come from one tenant; zero for equal shares
}

// Constant returns a share that does not change over time.
func Constant(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share }
}

// Step returns a share that changes once, at the given time.
func Step(before, after float64, at time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t < at {
			return before
		}
		return after
	}
}

// Sine returns a share that oscillates around a mean.
func Sine(mean, amplitude float64, period time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		return mean + amplitude*math.Sin(2*math.Pi*t.Seconds()/period.Seconds())
	}
}

// Generate returns a random trace of the workload for the fleet. The same seed gives the same trace.
func Generate(w Workload, f Fleet, seed uint64) Trace {
	random := rand.New(rand.NewPCG(seed, seed))
	t := Trace{
		Name: w.Name, Length: w.Length, DrainAt: w.DrainAt, FreezeAt: w.FreezeAt, UnfreezeAt: w.UnfreezeAt,
		CrashAt: w.CrashAt, CrashGap: w.CrashGap, RestartAt: w.RestartAt,
	}
	for at := time.Duration(0); at < w.Length; {
		job := drawJob(random, w, f, at)
		arrival := Arrival{
			At: at, Job: job, Priority: units.Priority(random.IntN(3)), Tenant: tenantNames[random.IntN(len(tenantNames))],
		}
		if w.HeavyTenantShare > 0 {
			arrival.Priority, arrival.Tenant = 0, tenantNames[0]
			if random.Float64() > w.HeavyTenantShare {
				arrival.Tenant = tenantNames[1]
			}
		}
		t.Arrivals = append(t.Arrivals, arrival)
		rate := w.Load * float64(f.Engines) / f.meanCost(w, at)
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
	}
	return t
}

var tenantNames = []units.TenantName{"kiosks", "hotels", "phones"}

// drawJob returns a random request, whose mean prompt length gives the prefill share of the workload at the time.
func drawJob(random *rand.Rand, w Workload, f Fleet, at time.Duration) flow.Job {
	output := units.Tokens(chatOutput/2 + random.IntN(chatOutput))
	if w.LongPromptShare != nil && random.Float64() < w.LongPromptShare(at) {
		return flow.Job{Input: units.Tokens(longPromptInput/2 + random.IntN(longPromptInput)), Output: output / 2}
	}
	mean := f.meanInput(w.PrefillShare(at))
	input := units.Tokens(mean/2 + random.Float64()*mean)
	job := flow.Job{Input: input + 1, Output: output}
	if input > 2*sharedPrefixTokens {
		job.Prefix = 1 + uint64(random.IntN(sharedPrefixes))
		job.Shared = sharedPrefixTokens
	}
	return job
}

// meanInput returns the mean prompt length for which prefill takes the given share of the engine time of chats.
func (f Fleet) meanInput(share float64) float64 {
	decode := chatOutput / f.decodePerSecond()
	return decode * share / (1 - share) * float64(f.Rates.PrefillPerSecond)
}

// meanCost returns the mean engine seconds of a request of the workload at the time.
func (f Fleet) meanCost(w Workload, at time.Duration) float64 {
	chat := f.cost(flow.Job{Input: units.Tokens(f.meanInput(w.PrefillShare(at))), Output: chatOutput})
	if w.LongPromptShare == nil {
		return chat
	}
	share := w.LongPromptShare(at)
	return chat*(1-share) + share*f.cost(flow.Job{Input: longPromptInput, Output: chatOutput / 2})
}

// cost returns the engine seconds of a request.
func (f Fleet) cost(j flow.Job) float64 {
	return float64(j.Input)/float64(f.Rates.PrefillPerSecond) + float64(j.Output)/f.decodePerSecond()
}

// Bound returns an upper bound on the good requests of the trace. It is limited only by the engine time in each second:
// the trace is known in advance, role changes take no time and all shared prefixes are cached.
func Bound(t Trace, f Fleet) float64 {
	seconds := int(t.Length.Seconds()) + 1
	cost := make([]float64, seconds)
	requests := make([]float64, seconds)
	for _, a := range t.Arrivals {
		s := int(a.At.Seconds())
		cost[s] += f.cost(flow.Job{Input: a.Job.Input - a.Job.Shared, Output: a.Job.Output})
		requests[s]++
	}
	good := 0.0
	for s := range seconds {
		engines := float64(f.Engines)
		if t.DrainAt > 0 && s > int(t.DrainAt.Seconds()) {
			engines--
		}
		if t.CrashAt > 0 && s > int(t.CrashAt.Seconds()) && s < int(t.RestartAt.Seconds()) {
			engines -= engines / crashDivisor
		}
		fraction := 1.0
		if cost[s] > engines {
			fraction = engines / cost[s]
		}
		good += requests[s] * fraction
	}
	return good
}
