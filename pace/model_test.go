package pace_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/buckthorntrack/buckthorntrack/pace"
)

// policy decides how many requests may be outstanding at one incarnation of an engine.
type policy interface {
	start(now time.Time)
	begin(now time.Time)
	answer(deviation float64, sent, now time.Time)
	fail(now time.Time) time.Duration // returns the time without requests
	allowance(now time.Time) int      // zero for any number
	offered(now time.Time) int
}

// scenario describes a run of the model.
type scenario struct {
	processes  int
	engines    int
	candidates int           // engines that are compared for a request, zero for all
	delay      time.Duration // until another process knows of work
	load       float64       // share of the capacity
	length     time.Duration
	seed       uint64
	newPolicy  func(g *pace.Group) policy
	change     func(m *model) // schedules the changes of the engines
}

const (
	modelSlots = 12
	// modelWork is the mean duration of a request at an engine without other requests.
	modelWork = 200 * time.Millisecond
	// modelQueue is the number of waiting requests from which an engine refuses more.
	modelQueue = 2 * modelSlots
)

var epoch = time.Unix(1000, 0)

// model simulates engines that batch: a request takes longer the more others run, and waits while all slots are taken.
type model struct {
	scenario
	random  *rand.Rand
	now     time.Time
	events  eventHeap
	group   *pace.Group
	engines []*modelEngine
	results []result
	refused int
	failed  int
}

type modelEngine struct {
	policy   policy
	slowness func(now time.Time) float64 // factor on the durations
	down     func(now time.Time) bool
	running  int
	waiting  []*modelRequest
	known    int         // outstanding requests that all processes know of
	own      map[int]int // those of one process that the others do not know of yet
	excluded time.Time
	born     time.Time
	lives    int
	done     []time.Time
}

type modelRequest struct {
	engine  *modelEngine
	life    int
	process int
	sent    time.Time
	work    time.Duration
}

type result struct {
	engine int
	sent   time.Time
	took   time.Duration
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

var eventCount int

func (m *model) after(d time.Duration, do func()) {
	eventCount++
	heap.Push(&m.events, event{at: m.now.Add(d), seq: eventCount, do: do})
}

// at schedules a change at a time after the start.
func (m *model) at(d time.Duration, do func()) {
	m.after(epoch.Add(d).Sub(m.now), do)
}

// run simulates the scenario.
func run(s scenario) *model {
	m := &model{scenario: s, random: rand.New(rand.NewPCG(s.seed, 1)), now: epoch, group: &pace.Group{}}
	for range s.engines {
		e := &modelEngine{born: epoch}
		e.reset(m)
		m.engines = append(m.engines, e)
	}
	if s.change != nil {
		s.change(m)
	}
	m.arrive()
	for len(m.events) > 0 {
		next := heap.Pop(&m.events).(event)
		if next.at.Sub(epoch) > s.length {
			break
		}
		m.now = next.at
		next.do()
	}
	return m
}

// reset makes the engine one that has no past.
func (e *modelEngine) reset(m *model) {
	e.policy = m.newPolicy(m.group)
	e.slowness = func(time.Time) float64 { return 1 }
	e.down = func(time.Time) bool { return false }
	e.own = map[int]int{}
	e.running, e.waiting, e.known, e.excluded = 0, nil, 0, time.Time{}
	e.born = m.now
	e.lives++
}

// replace replaces the engine by a new incarnation that is slower by a factor for some time.
func (m *model) replace(e *modelEngine, cold float64, lasting time.Duration) {
	e.reset(m)
	born := m.now
	e.slowness = func(now time.Time) float64 {
		if now.Sub(born) < lasting {
			return cold
		}
		return 1
	}
	e.policy.start(m.now)
}

// arrive sends a request and schedules the next one.
func (m *model) arrive() {
	// With all slots taken an engine ends modelSlots requests in the mean duration at that batch.
	capacity := float64(m.scenario.engines) * modelSlots / (modelWork.Seconds() * batchFactor(modelSlots))
	m.after(time.Duration(m.random.ExpFloat64()/(capacity*m.load)*float64(time.Second)), m.arrive)
	work := time.Duration(float64(modelWork) * math.Exp(0.5*m.random.NormFloat64()-0.125))
	m.send(&modelRequest{process: m.random.IntN(m.processes), work: work}, m.now)
}

// send chooses an engine as pick.Choose does for plain requests, by the part of its slots or its allowance that is taken.
func (m *model) send(r *modelRequest, sent time.Time) {
	var best *modelEngine
	least := math.Inf(1)
	chosen := m.candidatesOf()
	for _, healthy := range []bool{true, false} {
		for _, e := range chosen {
			if healthy == m.now.Before(e.excluded) {
				continue
			}
			outstanding := float64(e.known + e.own[r.process] + e.policy.offered(m.now))
			if allowed := e.policy.allowance(m.now); allowed > 0 && allowed < modelSlots {
				outstanding *= modelSlots / float64(allowed)
			}
			if outstanding >= modelSlots {
				outstanding += modelSlots
			}
			if outstanding < least {
				best, least = e, outstanding
			}
		}
		if best != nil {
			break
		}
	}
	r.engine, r.life, r.sent = best, best.lives, sent
	e, began := best, m.now
	m.learn(r, 1)
	e.policy.begin(m.now)
	switch {
	case e.down(m.now):
		m.after(20*time.Millisecond, func() {
			m.failed++
			m.learn(r, -1)
			if r.life != e.lives {
				return
			}
			if d := e.policy.fail(m.now); d > 0 {
				e.excluded = m.now.Add(d)
			}
		})
	case e.running < modelSlots:
		m.begin(r, began)
	case len(e.waiting) >= modelQueue:
		m.refused++
		m.learn(r, -1)
	default:
		e.waiting = append(e.waiting, r)
	}
}

func (m *model) candidatesOf() []*modelEngine {
	if m.candidates == 0 {
		start := m.random.IntN(len(m.engines))
		return append(slices.Clone(m.engines[start:]), m.engines[:start]...)
	}
	var chosen []*modelEngine
	for range m.candidates {
		chosen = append(chosen, m.engines[m.random.IntN(len(m.engines))])
	}
	return chosen
}

// learn changes the number of outstanding requests, for the process at once and for the others after the delay.
func (m *model) learn(r *modelRequest, change int) {
	e := r.engine
	if r.life != e.lives {
		return
	}
	e.own[r.process] += change
	m.after(m.delay, func() {
		if r.life == e.lives {
			e.own[r.process] -= change
			e.known += change
		}
	})
}

func batchFactor(running int) float64 {
	return 0.5 + 0.5*float64(running)/modelSlots
}

// begin runs a request that has a slot.
func (m *model) begin(r *modelRequest, began time.Time) {
	e := r.engine
	e.running++
	slowness := e.slowness(m.now)
	// A slow engine suffers more from a large batch.
	d := time.Duration(float64(r.work) * slowness * (batchFactor(e.running) + (slowness-1)*float64(e.running)/modelSlots))
	m.after(d, func() {
		if r.life != e.lives {
			m.failed++
			return
		}
		e.running--
		m.end(r, began)
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			m.begin(next, next.sent)
		}
	})
}

// end ends a request and passes its measurement to the policy of its engine, and to the group if the engine is open.
func (m *model) end(r *modelRequest, began time.Time) {
	e := r.engine
	m.learn(r, -1)
	took := m.now.Sub(r.sent)
	m.results = append(m.results, result{engine: slices.Index(m.engines, e), sent: r.sent, took: took})
	e.done = append(e.done, m.now)
	// The work of requests varies as the estimate of a prompt's prefill does, by less than its length.
	measured := pace.Ended(time.Duration(float64(m.now.Sub(began)) / float64(r.work) * float64(modelWork)))
	deviation, known := m.group.Deviation(pace.Whole, measured, m.now)
	if e.policy.allowance(m.now) == 0 {
		m.group.Add(pace.Whole, measured, m.now)
	}
	if known {
		e.policy.answer(deviation, began, m.now)
	}
}

// tail returns the quantile of the durations of requests that were sent in a period.
func (m *model) tail(quantile float64, from, to time.Duration) time.Duration {
	var all []time.Duration
	for _, r := range m.results {
		if at := r.sent.Sub(epoch); at >= from && at < to {
			all = append(all, r.took)
		}
	}
	slices.Sort(all)
	if len(all) == 0 {
		return 0
	}
	return all[int(float64(len(all)-1)*quantile)]
}

// share returns the requests that engines ended in a period, relative to the mean of all.
func (m *model) share(engines []int, from, to time.Duration) float64 {
	count := func(i int) (n int) {
		for _, at := range m.engines[i].done {
			if d := at.Sub(epoch); d >= from && d < to {
				n++
			}
		}
		return n
	}
	var total, own int
	for i := range m.engines {
		total += count(i)
	}
	for _, i := range engines {
		own += count(i)
	}
	return float64(own) / float64(len(engines)) / (float64(total) / float64(len(m.engines)))
}

// paced is the policy of package pace.
type paced struct {
	pace.State
	pace.Backoff
	group *pace.Group
}

func newPaced(g *pace.Group) policy {
	p := &paced{group: g}
	p.SetSlots(modelSlots)
	return p
}

func (p *paced) start(now time.Time)       { p.Start(false, now) }
func (p *paced) begin(now time.Time)       { p.Begin(p.group.IsMeasured(now), now) }
func (p *paced) allowance(time.Time) int   { return p.Allowance() }
func (p *paced) offered(now time.Time) int { return p.Offered(now) }
func (p *paced) answer(d float64, sent, now time.Time) {
	p.Answered()
	p.Answer(d, sent, now)
}
func (p *paced) fail(now time.Time) time.Duration {
	d := p.Next(pace.Failed)
	if d > 0 {
		p.Come(now)
	}
	return d
}

// unpaced is the former behaviour: back-offs only.
type unpaced struct{ pace.Backoff }

func newUnpaced(*pace.Group) policy { return &unpaced{} }

func (*unpaced) start(time.Time)                        {}
func (*unpaced) begin(time.Time)                        {}
func (*unpaced) allowance(time.Time) int                { return 0 }
func (*unpaced) offered(time.Time) int                  { return 0 }
func (p *unpaced) answer(float64, time.Time, time.Time) { p.Answered() }
func (p *unpaced) fail(time.Time) time.Duration         { return p.Next(pace.Failed) }
