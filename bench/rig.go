package bench

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/buckthorntrack/buckthorntrack/admit"
	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/peer"
	"github.com/buckthorntrack/buckthorntrack/poison"
	"github.com/buckthorntrack/buckthorntrack/roles"
	"github.com/buckthorntrack/buckthorntrack/route"
	"github.com/buckthorntrack/buckthorntrack/send"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// FirstTokenTarget is the bound on the first token of a good request.
	FirstTokenTarget = 690 * time.Millisecond
	// GapTarget is the bound on 95 in 100 of the gaps of a good request.
	GapTarget = 36 * time.Millisecond

	reportEvery = 500 * time.Millisecond
	reportLag   = 200 * time.Millisecond
	decideEvery = time.Second
	deadline    = 30 * time.Second
	settle      = 10 * time.Second
	drainPoll   = 20 * time.Millisecond
	kvImport    = 5 * time.Millisecond
	// processes is the number of entry processes that share the engines.
	processes = 3
)

// Fleet describes the engines of a measurement.
type Fleet struct {
	Engines int
	Prefill int // of them, in the prefill role at the start
	Mixed   int // of them, in the mixed role at the start; the rest decodes
	Rates   fakes.Rates
}

// SmallFleet returns the fleet of the measurements: 18 engines.
func SmallFleet(prefill, mixed int) Fleet {
	return Fleet{Engines: 18, Prefill: prefill, Mixed: mixed, Rates: fakes.Rates{
		PrefillPerSecond: 9000, StepBase: 8 * time.Millisecond, StepPerSequence: 500 * time.Microsecond,
		ChunkTokens: 128, Batch: 16, Memory: 2000, RoleChange: 4 * time.Second, KVImport: 5 * time.Millisecond,
	}}
}

// Speeds returns the rates as the router is told them.
func (f Fleet) Speeds() route.Speeds {
	step := f.fullStep()
	chunk := float64(f.Rates.ChunkTokens) / float64(f.Rates.PrefillPerSecond)
	return route.Speeds{
		PrefillPerSecond: float64(f.Rates.PrefillPerSecond),
		MixedFraction:    chunk / (chunk + step.Seconds()),
		Sequences:        int64(f.Rates.Batch),
		SequenceTime:     step * chatOutput / time.Duration(f.Rates.Batch),
		FullBatchStep:    step,
		PieceTokens:      fakes.TokensPerPiece,
	}
}

func (f Fleet) fullStep() time.Duration {
	return f.Rates.StepBase + time.Duration(f.Rates.Batch)*f.Rates.StepPerSequence
}

func (f Fleet) decodePerSecond() float64 {
	return float64(f.Rates.Batch) / f.fullStep().Seconds()
}

// Setup is what a measurement compares.
type Setup struct {
	Name     string
	Fleet    Fleet
	Terms    route.Ablation
	Baseline func(draw func(int) int) route.Policy[*route.View] // nil for the estimate
	Roles    func(f Fleet) roles.Policy
	NoGate   bool // requests go to engines without admission
}

// rig is one measurement.
type rig struct {
	setup   Setup
	trace   Trace
	random  *rand.Rand
	models  []*fakes.Model
	entries []*entry
	service *config.Service
	began   time.Time

	mu      sync.Mutex
	result  Result
	first   map[units.Priority][]time.Duration
	demand  roles.Demand
	drawing sync.Mutex
}

// entry is what one entry process decides with.
type entry struct {
	fleet  *route.Fleet
	gate   *admit.Gate
	target *send.Target
	stage  *send.Stage
	views  []*route.View
	rig    *rig
}

// Run measures the setup on the trace. It must run in a bubble of virtual time.
func Run(ctx context.Context, s Setup, t Trace, seed uint64) Result {
	r := &rig{
		setup: s, trace: t, random: rand.New(rand.NewPCG(seed, 1)), began: time.Now(),
		first: map[units.Priority][]time.Duration{},
	}
	r.result = Result{
		Trace: t.Name, Setup: s.Name, Bound: Bound(t, s.Fleet), First95: map[units.Priority]time.Duration{},
		Tenants: map[units.TenantName]Tally{}, Classes: map[units.Priority]Tally{},
	}
	stop := r.build(ctx)
	r.play()
	stop()
	for p, firsts := range r.first {
		slices.Sort(firsts)
		r.result.First95[p] = firsts[len(firsts)*95/100]
	}
	return r.result
}

func (r *rig) draw(n int) int {
	r.drawing.Lock()
	defer r.drawing.Unlock()
	return r.random.IntN(n)
}

func (r *rig) build(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	r.service = &config.Service{Name: "llm", Kind: config.KindModel, RetryBudget: 0.1}
	var loops conc.WaitGroup
	var stops []func()
	for i := range r.setup.Fleet.Engines {
		model, stop := fakes.NewModel(r.setup.Fleet.Rates, r.setup.Fleet.role(i))
		r.models = append(r.models, model)
		stops = append(stops, stop)
	}
	for range processes {
		r.addEntry(ctx, &loops)
	}
	loops.Go(func() { r.control(ctx) })
	return func() {
		cancel()
		loops.Wait()
		for _, stop := range stops {
			stop()
		}
	}
}

// role returns the role of the engine at the start.
func (f Fleet) role(i int) engine.Role {
	switch {
	case i < f.Prefill:
		return engine.RolePrefill
	case i < f.Prefill+f.Mixed:
		return engine.RoleMixed
	default:
		return engine.RoleDecode
	}
}

// addEntry makes what one entry process decides with.
func (r *rig) addEntry(ctx context.Context, loops *conc.WaitGroup) {
	e := &entry{rig: r, fleet: route.New(r.setup.Fleet.Speeds(), r.draw)}
	e.fleet.SetAblation(r.setup.Terms)
	if r.setup.Baseline != nil {
		e.fleet.SetBaseline(r.setup.Baseline(r.draw))
	}
	target := FirstTokenTarget
	if r.setup.NoGate {
		target = deadline
	}
	e.gate = admit.New(e.fleet, admit.Bounds{Target: target, Queue: 512}, time.Now)
	e.target = send.NewTarget(e.fleet, e.gate)
	e.stage = send.New(e, nil, poison.New(peer.NewTable(time.Now), func() {}), r, time.Now)
	for i, model := range r.models {
		settings := &config.Engine{
			Name: units.EngineName("engine-" + strconv.Itoa(100+i)), Service: "llm", Role: r.setup.Fleet.role(i),
		}
		view := route.NewView(settings, upstream{model: model}, nil, time.Now())
		e.views = append(e.views, view)
		loops.Go(func() { e.report(ctx, model, view) })
	}
	e.fleet.Set(e.views)
	loops.Go(func() { e.gate.Run(ctx) })
	r.entries = append(r.entries, e)
}

// report passes load reports on, late, and not at all while they are frozen.
func (e *entry) report(ctx context.Context, m *fakes.Model, v *route.View) {
	for sequence := int64(1); ; sequence++ {
		report := m.Report()
		taken := time.Now()
		v.MarkPoll(taken)
		report.Sequence = sequence
		time.Sleep(reportLag)
		if !e.rig.frozen() {
			v.ApplyReport(report, taken)
			e.gate.Release()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(reportEvery - reportLag):
		}
	}
}

func (r *rig) frozen() bool {
	at := time.Since(r.began)
	return r.trace.Freeze > 0 && at >= r.trace.Freeze && at < r.trace.Thaw
}

// play sends the trace's requests and waits for their ends.
func (r *rig) play() {
	var calls conc.WaitGroup
	if r.trace.Withdraw > 0 {
		calls.Go(func() {
			time.Sleep(r.trace.Withdraw)
			r.block(len(r.models)-1, route.BlockedDrain, true)
		})
	}
	if r.trace.Crash > 0 {
		calls.Go(r.crash)
	}
	for i, a := range r.trace.Arrivals {
		time.Sleep(a.At - time.Since(r.began))
		calls.Go(func() { r.call(i, a) })
	}
	calls.Wait()
}

// crash lets a third of the engines die together and come back together.
func (r *rig) crash() {
	time.Sleep(r.trace.Crash)
	for i := 0; i < len(r.models); i += crashPart {
		r.models[i].Crash()
	}
	time.Sleep(r.trace.Back - r.trace.Crash)
	for i := 0; i < len(r.models); i += crashPart {
		r.models[i].Restart()
	}
}

// Target returns the engines as the process sees them.
func (e *entry) Target(units.ServiceName) (*send.Target, bool) {
	return e.target, true
}

// RecordDemand adds the work that a request asks for.
func (e *entry) RecordDemand(x *flow.Exchange, cached units.Tokens) {
	e.rig.mu.Lock()
	defer e.rig.mu.Unlock()
	e.rig.demand.Input += float64(x.Job.Input - cached)
	e.rig.demand.Output += float64(x.Job.Output)
	e.rig.demand.Requests++
}

// block sets or clears a reason to send nothing new to an engine in all processes.
func (r *rig) block(i int, reason route.Blocked, on bool) {
	for _, e := range r.entries {
		e.views[i].Block(reason, on)
	}
}

// inFlight returns the requests of all processes that run on the engine.
func (r *rig) inFlight(i int) int64 {
	sum := int64(0)
	for _, e := range r.entries {
		sum += e.views[i].InFlight()
	}
	return sum
}

// Retried counts a retry.
func (r *rig) Retried(*flow.Exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Retries++
}

// Resumed counts an attempt to go on with a stream.
func (r *rig) Resumed(*flow.Exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Resumes++
}

// Forwarded is never called.
func (*rig) Forwarded(*flow.Exchange) {}
