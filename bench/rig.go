package bench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/buckthorntrack/buckthorntrack/admit"
	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/peer"
	"github.com/buckthorntrack/buckthorntrack/roles"
	"github.com/buckthorntrack/buckthorntrack/route"
	"github.com/buckthorntrack/buckthorntrack/screen"
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
		ChunkTokens: 128, Batch: 16, Memory: 2000, RoleChange: 4 * time.Second, Transfer: 5 * time.Millisecond,
	}}
}

// Speeds returns the rates as the router is told them.
func (f Fleet) Speeds() route.Speeds {
	step := f.fullStep()
	chunk := float64(f.Rates.ChunkTokens) / float64(f.Rates.PrefillPerSecond)
	return route.Speeds{
		PrefillPerSecond: float64(f.Rates.PrefillPerSecond),
		MixedPart:        chunk / (chunk + step.Seconds()),
		Sequences:        int64(f.Rates.Batch),
		Decode:           step * chatOutput / time.Duration(f.Rates.Batch),
		FullStep:         step,
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
	Terms    route.Terms
	Baseline func(draw func(int) int) route.Policy[*route.View] // nil for the estimate
	Roles    func(f Fleet) roles.Policy
	NoGate   bool // requests go to engines without admission
}

// Result is what a measurement found.
type Result struct {
	Trace   string
	Setup   string
	Sent    int
	Good    int
	Late    int // answered, and not good
	Shed    int
	Failed  int
	Changes int
	Retries int                              // attempts before a first token beyond the first
	Resumes int                              // attempts to go on with a stream
	First95 map[units.Priority]time.Duration // 95th percentile of the time to the first token
	Tenants map[units.TenantName]Tally
	Bound   float64
	Rest    Tally // of the last third of the trace
}

// Tally counts requests.
type Tally struct {
	Sent int
	Good int
}

// Part returns the part that was good.
func (t Tally) Part() float64 {
	return float64(t.Good) / float64(max(t.Sent, 1))
}

func (t Tally) plus(good bool) Tally {
	t.Sent++
	if good {
		t.Good++
	}
	return t
}

// Goodput returns the good requests as a part of the bound.
func (r Result) Goodput() float64 {
	return float64(r.Good) / r.Bound
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
		Tenants: map[units.TenantName]Tally{},
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
	e.fleet.SetTerms(r.setup.Terms)
	if r.setup.Baseline != nil {
		e.fleet.SetBaseline(r.setup.Baseline(r.draw))
	}
	target := FirstTokenTarget
	if r.setup.NoGate {
		target = deadline
	}
	e.gate = admit.New(e.fleet, admit.Bounds{Target: target, Queue: 512}, time.Now)
	e.target = send.NewTarget(e.fleet, e.gate)
	e.stage = send.New(e, nil, screen.New(peer.NewTable(time.Now), func() {}), r, time.Now)
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
		v.Asked(taken)
		report.Sequence = sequence
		time.Sleep(reportLag)
		if !e.rig.frozen() {
			v.Report(report, taken)
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

// call sends one request as the serving process does, and reads its answer.
func (r *rig) call(i int, a Arrival) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	x := &flow.Exchange{
		Context: ctx, ID: units.RequestID(strconv.Itoa(i)), Service: r.service,
		Tenant: &config.Tenant{Name: a.Tenant, Share: 1}, Class: &config.Class{Priority: a.Priority},
		Deadline: time.Now().Add(deadline), Job: a.Job, Idempotent: true, Streams: true, Digest: strconv.Itoa(i),
	}
	x.Call = engine.Call{RequestID: x.ID, Service: "llm", Streams: true, Priority: a.Priority}
	x.Call.Header = http.Header{}
	x.Call.Body = encodeJob(a.Job)
	began := time.Now()
	err := flow.Line{r.entries[i%processes].stage}.Run(x)
	if err != nil {
		r.failed(a, err)
		return
	}
	defer x.Answer.Events.Close()
	first, late, gaps, err := readAnswer(x, began)
	if err != nil {
		r.failed(a, err)
		return
	}
	r.answered(a, first, late, gaps)
}

// readAnswer reads the stream and returns the time to the first token and how many gaps were too long.
func readAnswer(x *flow.Exchange, began time.Time) (first time.Duration, late, gaps int, err error) {
	last := time.Time{}
	for {
		event, err := x.Answer.Events.Next()
		if err != nil {
			return 0, 0, 0, err
		}
		now := time.Now()
		if event.Done {
			return first, late, gaps, nil
		}
		if last.IsZero() {
			first = now.Sub(began)
		} else {
			gaps++
			if now.Sub(last) > GapTarget {
				late++
			}
		}
		last = now
	}
}

func (r *rig) answered(a Arrival, first time.Duration, late, gaps int) {
	good := first <= FirstTokenTarget && 20*late <= gaps
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	r.first[a.Priority] = append(r.first[a.Priority], first)
	r.tally(a, good)
	if !good {
		r.result.Late++
		return
	}
	r.result.Good++
}

func (r *rig) failed(a Arrival, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	r.tally(a, false)
	if fault.VerdictOf(err) == fault.NotRun {
		r.result.Shed++
		return
	}
	r.result.Failed++
}

func (r *rig) tally(a Arrival, good bool) {
	r.result.Tenants[a.Tenant] = r.result.Tenants[a.Tenant].plus(good)
	if a.At > r.trace.Length*2/3 {
		r.result.Rest = r.result.Rest.plus(good)
	}
}

// Target returns the engines as the process sees them.
func (e *entry) Target(units.ServiceName) (*send.Target, bool) {
	return e.target, true
}

// Count adds the work that a request asks for.
func (e *entry) Count(x *flow.Exchange, cached units.Tokens) {
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

// control changes roles as the holder of the lease does.
func (r *rig) control(ctx context.Context) {
	policy := r.setup.Roles(r.setup.Fleet)
	var mix roles.Mix
	lastChange := time.Now().Add(settle)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(decideEvery):
		}
		now := time.Now()
		mix.Add(r.takeDemand(), now)
		if now.Before(lastChange) {
			continue
		}
		state := roles.State{
			Now: now, Fast: mix.Fast, Slow: mix.Slow, LastChange: lastChange, Engines: r.engines(now),
		}
		move, ok := policy.Decide(state)
		if !ok {
			continue
		}
		r.change(ctx, move)
		lastChange = time.Now()
	}
}

func (r *rig) takeDemand() roles.Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.demand
	r.demand = roles.Demand{}
	return taken
}

func (r *rig) engines(now time.Time) []roles.Engine {
	views := r.entries[0].views
	engines := make([]roles.Engine, 0, len(views))
	for _, v := range views {
		report, taken, ok := v.Reported()
		engines = append(engines, roles.Engine{
			Name: v.Engine.Name, Role: v.Role(), Running: report.Running + report.Waiting,
			Fresh: ok && now.Sub(taken) < 2*time.Second,
			Away:  report.Away || v.Blocked()&route.BlockedCordon != 0,
			Gone:  v.Blocked()&route.BlockedDrain != 0,
		})
	}
	return engines
}

// change takes the engine away without cutting a stream, and changes its role.
func (r *rig) change(ctx context.Context, move roles.Move) {
	for i, v := range r.entries[0].views {
		if v.Engine.Name != move.Engine {
			continue
		}
		r.block(i, route.BlockedCordon, true)
		for r.inFlight(i) > 0 && ctx.Err() == nil {
			time.Sleep(drainPoll)
		}
		if err := r.models[i].ChangeRole(ctx, move.To); err == nil {
			r.mu.Lock()
			r.result.Changes++
			r.mu.Unlock()
		}
		time.Sleep(reportEvery + reportLag)
		r.block(i, route.BlockedCordon, false)
	}
}

var errNotServed = errors.New("engine does not serve this phase")

// upstream runs calls on a model core without a network.
type upstream struct {
	model *fakes.Model
}

// Send starts the call.
func (u upstream) Send(ctx context.Context, c engine.Call) (engine.Answer, error) {
	job, err := decodeJob(c.Body)
	if err != nil {
		return engine.Answer{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	work := fakes.Work{
		ID: c.RequestID, Input: job.Input, Cached: job.Shared, Output: job.Output, From: c.From, Phase: c.Phase,
		Priority: c.Priority,
	}
	if job.Prefix != 0 {
		work.Prefix = strconv.FormatUint(job.Prefix, 10)
	}
	if c.Phase == engine.PhaseDecode {
		time.Sleep(kvImport)
	}
	tokens, result, err := u.model.Start(ctx, work)
	if err != nil {
		cancel()
		return engine.Answer{}, fault.Unavailable(fault.CodeUpstreamRefused, time.Second, "refused").Wrap(
			errors.Join(errNotServed, err))
	}
	return engine.Answer{Status: http.StatusOK, Events: &events{tokens: tokens, result: result, cancel: cancel}}, nil
}

// events is a stream of a model core.
type events struct {
	tokens <-chan engine.Token
	result func() error
	cancel func()
}

// Next returns the next token or the end marker.
func (e *events) Next() (engine.Event, error) {
	token, ok := <-e.tokens
	if ok {
		return engine.Event{Index: token.Index}, nil
	}
	if err := e.result(); err != nil {
		return engine.Event{}, fault.New(fault.MayHaveRun, fault.CodeUpstreamDied, http.StatusBadGateway, "broken off").Wrap(err)
	}
	return engine.Event{Done: true}, nil
}

// Buffered reports whether a token is at hand.
func (e *events) Buffered() bool {
	return len(e.tokens) > 0
}

// Close cancels the work.
func (e *events) Close() {
	e.cancel()
}

func encodeJob(j flow.Job) []byte {
	return fmt.Appendf(nil, "%d %d %d %d", j.Input, j.Output, j.Prefix, j.Shared)
}

func decodeJob(body []byte) (flow.Job, error) {
	var j flow.Job
	_, err := fmt.Sscan(string(body), &j.Input, &j.Output, &j.Prefix, &j.Shared)
	return j, err
}
