package bench

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"
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
	// FirstTokenTarget is the maximum time to the first token of a good request.
	FirstTokenTarget = 690 * time.Millisecond
	// GapTarget is the maximum of 95% of the gaps between the tokens of a good request.
	GapTarget = 36 * time.Millisecond

	reportInterval       = 500 * time.Millisecond
	reportDelay          = 200 * time.Millisecond // between taking a load report and its arrival
	roleDecisionInterval = time.Second
	requestDeadline      = 30 * time.Second
	roleChangeDelay      = 10 * time.Second // from the start to the first role change
	drainPollInterval    = 20 * time.Millisecond
	kvImportTime         = 5 * time.Millisecond
	entryProcesses       = 3 // share the engines
)

// Fleet describes the engines and their roles at the start.
type Fleet struct {
	Engines int
	Prefill int // engines in the prefill role
	Mixed   int // engines in the mixed role; the others are in the decode role
	Rates   fakes.Rates
}

// SmallFleet returns a fleet of 18 engines with the given numbers of prefill and mixed engines.
func SmallFleet(prefill, mixed int) Fleet {
	return Fleet{Engines: 18, Prefill: prefill, Mixed: mixed, Rates: fakes.Rates{
		PrefillPerSecond: 9000, StepBase: 8 * time.Millisecond, StepPerSequence: 500 * time.Microsecond,
		ChunkTokens: 128, Batch: 16, Memory: 2000, RoleChange: 4 * time.Second, KVImport: 5 * time.Millisecond,
	}}
}

// Speeds returns the speeds that the router estimates with.
func (f Fleet) Speeds() route.Speeds {
	step := f.fullBatchStep()
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

// fullBatchStep returns the duration of a decode step with a full batch.
func (f Fleet) fullBatchStep() time.Duration {
	return f.Rates.StepBase + time.Duration(f.Rates.Batch)*f.Rates.StepPerSequence
}

// decodePerSecond returns the tokens per second of an engine that decodes a full batch.
func (f Fleet) decodePerSecond() float64 {
	return float64(f.Rates.Batch) / f.fullBatchStep().Seconds()
}

// Setup is a fleet with the routing, role and admission policies to measure.
type Setup struct {
	Name       string
	Fleet      Fleet
	Ablation   route.Ablation                                     // terms of the routing estimate to switch off
	Baseline   func(draw func(int) int) route.Policy[*route.View] // routing policy; nil for the estimate
	RolePolicy func(f Fleet) roles.Policy
	NoGate     bool // admission waits up to the request deadline instead of the first token target
}

// runner runs one setup on one trace.
type runner struct {
	setup     Setup
	trace     Trace
	random    *rand.Rand
	models    []*fakes.Model
	entries   []*entryProcess
	service   *config.Service
	startedAt time.Time

	mu          sync.Mutex
	result      Result
	firstTokens map[units.Priority][]time.Duration // times to the first token
	demand      roles.Demand                       // since the last role decision
	randomMu    sync.Mutex                         // guards random
}

// entryProcess holds the routing and admission state of one entry process.
type entryProcess struct {
	fleet  *route.Fleet
	gate   *admit.Gate
	target *send.Target
	stage  *send.Stage
	views  []*route.View
	runner *runner
}

// Run measures the setup on the trace. It must be called in a synctest bubble, since it runs in virtual time.
func Run(ctx context.Context, s Setup, t Trace, seed uint64) Result {
	r := &runner{
		setup: s, trace: t, random: rand.New(rand.NewPCG(seed, 1)), startedAt: time.Now(),
		firstTokens: map[units.Priority][]time.Duration{},
	}
	r.result = Result{
		Trace: t.Name, Setup: s.Name, Bound: Bound(t, s.Fleet), FirstTokenP95: map[units.Priority]time.Duration{},
		Tenants: map[units.TenantName]Tally{}, Classes: map[units.Priority]Tally{},
	}
	stop := r.start(ctx)
	r.replay()
	stop()
	for p, times := range r.firstTokens {
		slices.Sort(times)
		r.result.FirstTokenP95[p] = times[len(times)*95/100]
	}
	return r.result
}

// draw returns a random number from 0 to n-1.
func (r *runner) draw(n int) int {
	r.randomMu.Lock()
	defer r.randomMu.Unlock()
	return r.random.IntN(n)
}

// start creates the engines and entry processes and starts their loops. It returns a function that stops them.
func (r *runner) start(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	r.service = &config.Service{Name: "llm", Kind: config.KindModel, RetryBudget: 0.1}
	var loops conc.WaitGroup
	var stopModels []func()
	for i := range r.setup.Fleet.Engines {
		model, stop := fakes.NewModel(r.setup.Fleet.Rates, r.setup.Fleet.role(i))
		r.models = append(r.models, model)
		stopModels = append(stopModels, stop)
	}
	for range entryProcesses {
		r.addEntryProcess(ctx, &loops)
	}
	loops.Go(func() { r.controlRoles(ctx) })
	return func() {
		cancel()
		loops.Wait()
		for _, stop := range stopModels {
			stop()
		}
	}
}

// role returns the role of the i-th engine at the start.
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

// addEntryProcess creates an entry process and starts its loops for load reports and admission.
func (r *runner) addEntryProcess(ctx context.Context, loops *conc.WaitGroup) {
	e := &entryProcess{runner: r, fleet: route.New(r.setup.Fleet.Speeds(), r.draw)}
	e.fleet.SetAblation(r.setup.Ablation)
	if r.setup.Baseline != nil {
		e.fleet.SetBaseline(r.setup.Baseline(r.draw))
	}
	target := FirstTokenTarget
	if r.setup.NoGate {
		target = requestDeadline
	}
	e.gate = admit.New(e.fleet, admit.Bounds{Target: target, Queue: 512}, time.Now)
	e.target = send.NewTarget(e.fleet, e.gate)
	screen, closeScreen := poison.New(peer.NewTable(time.Now), func() {}, time.Now, zerolog.Nop())
	loops.Go(func() {
		<-ctx.Done()
		closeScreen()
	})
	e.stage = send.New(e, nil, screen, r, time.Now)
	for i, model := range r.models {
		settings := &config.Engine{
			Name: units.EngineName("engine-" + strconv.Itoa(100+i)), Service: "llm", Role: r.setup.Fleet.role(i),
		}
		view := route.NewView(settings, upstream{model: model}, nil, time.Now())
		e.views = append(e.views, view)
		loops.Go(func() { e.deliverReports(ctx, model, view) })
	}
	e.fleet.Set(e.views)
	loops.Go(func() { e.gate.Run(ctx) })
	r.entries = append(r.entries, e)
}

// deliverReports delivers the load reports of an engine with a delay, and drops them while the trace freezes them.
func (e *entryProcess) deliverReports(ctx context.Context, m *fakes.Model, v *route.View) {
	for sequence := int64(1); ; sequence++ {
		report := m.Report()
		takenAt := time.Now()
		v.MarkPoll(takenAt)
		report.Sequence = sequence
		time.Sleep(reportDelay)
		if !e.runner.reportsFrozen() {
			v.ApplyReport(report, takenAt)
			e.gate.Release()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(reportInterval - reportDelay):
		}
	}
}

// reportsFrozen reports whether the trace freezes load reports now.
func (r *runner) reportsFrozen() bool {
	at := time.Since(r.startedAt)
	return r.trace.FreezeAt > 0 && at >= r.trace.FreezeAt && at < r.trace.UnfreezeAt
}

// replay sends the requests of the trace at their times, injects its faults and waits for all answers.
func (r *runner) replay() {
	var calls conc.WaitGroup
	if r.trace.DrainAt > 0 {
		calls.Go(func() {
			time.Sleep(r.trace.DrainAt)
			r.setBlocked(len(r.models)-1, route.BlockedDrain, true)
		})
	}
	if r.trace.CrashAt > 0 {
		calls.Go(r.crashEngines)
	}
	for i, a := range r.trace.Arrivals {
		time.Sleep(a.At - time.Since(r.startedAt))
		calls.Go(func() { r.sendRequest(i, a) })
	}
	calls.Wait()
}

// crashEngines crashes a third of the engines one after the other and later restarts them.
func (r *runner) crashEngines() {
	time.Sleep(r.trace.CrashAt)
	for i := 0; i < len(r.models); i += crashDivisor {
		r.models[i].Crash()
		time.Sleep(r.trace.CrashGap)
	}
	time.Sleep(r.trace.RestartAt - r.trace.CrashAt)
	for i := 0; i < len(r.models); i += crashDivisor {
		r.models[i].Restart()
	}
}

// Target returns the engines of the only service.
func (e *entryProcess) Target(units.ServiceName) (*send.Target, bool) {
	return e.target, true
}

// RecordDemand adds the tokens of a request to the demand.
func (e *entryProcess) RecordDemand(x *flow.Exchange, cached units.Tokens) {
	e.runner.mu.Lock()
	defer e.runner.mu.Unlock()
	e.runner.demand.Input += float64(x.Job.Input - cached)
	e.runner.demand.Output += float64(x.Job.Output)
	e.runner.demand.Requests++
}

// setBlocked sets or clears a reason for all entry processes to send no new requests to an engine.
func (r *runner) setBlocked(i int, reason route.Blocked, on bool) {
	for _, e := range r.entries {
		e.views[i].Block(reason, on)
	}
}

// inFlight returns the number of requests that all entry processes have in flight on an engine.
func (r *runner) inFlight(i int) int64 {
	sum := int64(0)
	for _, e := range r.entries {
		sum += e.views[i].InFlight()
	}
	return sum
}

// Retried counts a retry.
func (r *runner) Retried(*flow.Exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Retries++
}

// Resumed counts an attempt to resume a stream.
func (r *runner) Resumed(*flow.Exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Resumes++
}

// Forwarded is never called, since there is no other availability zone.
func (*runner) Forwarded(*flow.Exchange) {}
