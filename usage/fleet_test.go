package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntrack/buckthorntrack/digest"
	"github.com/buckthorntrack/buckthorntrack/duty"
	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	turnTime = 3 * time.Second
	lateness = 10 * time.Second
	// goneTime is the time after which a process that was killed is known to be gone.
	goneTime = 4 * time.Second
	// requestInterval is the mean time between the requests of the simulated fleet.
	requestInterval = 40 * time.Millisecond
	// maxJitter bounds the random part of the delay of a message, and the error of a clock that is corrected by those of others.
	maxJitter = 4 * time.Millisecond
)

// node is a process of the simulated fleet.
type node struct {
	*Node
	fakes.Machine

	fleet    *simulation
	name     units.ProcessName
	off      time.Duration // of the wall clock at the start
	reporter *Reporter
	runner   *duty.Runner
	stop     context.CancelFunc

	mu       sync.Mutex
	step     time.Duration // of the wall clock
	killedAt time.Time     // zero if it runs
	cutOff   bool          // from the messages of other processes
}

// simulation is a fleet that counts requests and reports them to a stand-in duty API, in virtual time.
type simulation struct {
	ctx   context.Context
	store *fakes.Store
	api   *fakes.DutyAPI
	wg    sync.WaitGroup
	loss  float64
	// holders are the processes that may hold the duties, empty for all.
	holders []units.ProcessName
	// cut is a pair of processes between which no message passes, in order.
	cut [2]units.ProcessName

	mu    sync.Mutex
	rand  *rand.Rand
	nodes map[units.ProcessName]*node
	truth map[Window]Counts
	edge  map[Window]Counts // requests that may be counted in the window or not
}

func (s *simulation) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.Float64() < p
}

func (s *simulation) delay(limit time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rand.Int64N(int64(limit)))
}

// present returns the processes that are not known to be gone.
func (s *simulation) present() []units.ProcessName {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []units.ProcessName
	for name, n := range s.nodes {
		if at := n.killed(); at.IsZero() || time.Since(at) < goneTime {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (n *node) killed() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.killedAt
}

// hears reports whether messages pass to and from the process.
func (n *node) hears() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.killedAt.IsZero() && !n.cutOff
}

func (n *node) wall() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Add(n.step)
}

// SendUsage implements Messenger.
func (n *node) SendUsage(m wire.UsageMessage, to []units.ProcessName) {
	for _, name := range to {
		n.fleet.transmit(n, name, m)
	}
}

// transmit passes a message on, with loss, repetition and delay.
func (s *simulation) transmit(from *node, to units.ProcessName, m wire.UsageMessage) {
	s.mu.Lock()
	receiver := s.nodes[to]
	s.mu.Unlock()
	link := [2]units.ProcessName{min(from.name, to), max(from.name, to)}
	if receiver == nil || receiver == from || !from.hears() || link == s.cut {
		return
	}
	for range 2 {
		if s.chance(s.loss) {
			continue
		}
		incarnation := from.Source.Incarnation
		base := time.Duration(digest.Sum64(string(min(from.name, to)+max(from.name, to)))%40) * time.Millisecond
		time.AfterFunc(base+s.delay(maxJitter), func() {
			receiver.Wait()
			if !receiver.hears() {
				return
			}
			for _, answer := range receiver.ReceiveUsage(from.name, incarnation, &m) {
				s.transmit(receiver, from.name, answer)
			}
		})
		if !s.chance(s.loss) {
			return
		}
	}
}

// records keeps the record as package front does.
type records struct {
	objapi.Store
	previous objapi.Object
}

const recordKey = "usage/settled"

// Load implements Records.
func (r *records) Load(ctx context.Context) (Record, error) {
	o, err := r.Get(ctx, recordKey)
	if errors.Is(err, objapi.ErrNotFound) {
		r.previous = objapi.Object{}
		return Record{}, nil
	}
	if err != nil {
		return Record{}, err
	}
	r.previous = o
	var v Record
	return v, o.Decode(&v)
}

// Save implements Records.
func (r *records) Save(ctx context.Context, v Record) error {
	o, err := objapi.Encode(recordKey, r.previous, v)
	if err != nil {
		return err
	}
	written, err := r.Put(ctx, o)
	if errors.Is(err, objapi.ErrConflict) {
		return ErrOutdated
	}
	if err == nil {
		r.previous = written
	}
	return err
}

// DutyCalled implements duty.Observer.
func (*simulation) DutyCalled(string, string, time.Duration) {}

// start starts a process whose wall clock is off.
func (s *simulation) start(name units.ProcessName, first bool, off time.Duration) *node {
	n := &node{fleet: s, name: name, step: off, off: off}
	clock, book := NewClock(n.wall, time.Now), NewBook()
	store := fakes.MachineStore{Store: s.store, Machine: &n.Machine}
	n.reporter = NewReporter(Options{
		Length: length, Lateness: lateness, Book: book, Records: &records{Store: store}, Processes: s.present,
		Send: func(ctx context.Context, c duty.Credentials, w Window, counts Counts) error {
			content, err := json.Marshal(counts)
			if err != nil {
				return err
			}
			return n.Send(ctx, s.api, fakes.DutyCall{
				Path: "/usage", Holder: string(c.Holder), Token: int64(c.Token), Subject: strconv.FormatInt(int64(w), 10), Content: string(content),
			})
		},
		Refresh: func() { n.Refresh() }, Ask: func(missing []units.ProcessName) { n.Ask(missing) },
		IsChecked: func() bool { return n.IsChecked() }, Now: clock.Now, Log: zerolog.Nop(),
	})
	n.runner = duty.New(duty.Options{
		Name: name, Tasks: []duty.Task{n.reporter}, TurnTime: turnTime, Rate: 50,
		Eligible: func() bool { return len(s.holders) == 0 || slices.Contains(s.holders, name) },
		Store:    store, Probe: n.Probe, FirstStart: first, Clock: time.Now, Observer: s, Log: zerolog.Nop(),
	})
	n.Node = NewNode(NodeOptions{
		Source: Source{Name: name, Incarnation: time.Now().UnixNano()}, Length: length, Time: clock, Steady: time.Now, Messenger: n,
		Reporter: n.reporter, Book: book, Processes: s.present, Token: n.runner.Token, Log: zerolog.Nop(),
		Collectors: func() []units.ProcessName { present := s.present(); return present[:min(2, len(present))] },
	})
	s.mu.Lock()
	s.nodes[name] = n
	s.mu.Unlock()
	var ctx context.Context
	ctx, n.stop = context.WithCancel(s.ctx)
	s.wg.Go(func() { n.runner.Run(ctx) })
	s.wg.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(LookInterval)
			n.Wait()
			n.Look()
		}
	})
	return n
}

// serve counts requests at processes that run until ctx ends.
func (s *simulation) serve(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(s.delay(2 * requestInterval))
		s.mu.Lock()
		var running []*node
		for _, n := range s.nodes {
			if n.killed().IsZero() && time.Now().After(n.Faults().ResumeAt) && time.Since(n.started) > 3*time.Second {
				running = append(running, n)
			}
		}
		if len(running) == 0 {
			s.mu.Unlock()
			continue
		}
		slices.SortFunc(running, func(a, b *node) int { return strings.Compare(string(a.name), string(b.name)) })
		n := running[s.rand.IntN(len(running))]
		account := units.TenantName(fmt.Sprint("account-", s.rand.IntN(4)))
		w := length.At(time.Now())
		near := []Window{length.At(time.Now().Add(-maxJitter)), length.At(time.Now().Add(maxJitter))}
		if near[0] != near[1] && n.off != 0 {
			count(s.edge, near[0], account)
			count(s.edge, near[1], account)
		} else {
			count(s.truth, w, account)
		}
		s.mu.Unlock()
		n.Count(account, 0)
	}
}

func count(counts map[Window]Counts, w Window, account units.TenantName) {
	if counts[w] == nil {
		counts[w] = Counts{}
	}
	counts[w][account]++
}

// fault is a fault of one process, of all, or of the duty API.
type fault struct {
	pause    time.Duration
	process  units.ProcessName
	kind     string
	duration time.Duration
}

var processes = []units.ProcessName{"a", "b", "c", "d", "e"}

func drawFaults(rt *rapid.T, kinds []string) []fault {
	seconds := []int{0, 1, 2, 4, 6, 9, 13}
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fault {
		return fault{
			pause:   time.Duration(rapid.IntRange(0, 9000).Draw(rt, "pauseMs")) * time.Millisecond,
			process: rapid.SampledFrom(processes).Draw(rt, "process"), kind: rapid.SampledFrom(kinds).Draw(rt, "kind"),
			duration: time.Duration(rapid.SampledFrom(seconds).Draw(rt, "seconds"))*time.Second +
				time.Duration(rapid.IntRange(10, 900).Draw(rt, "ms"))*time.Millisecond,
		}
	}), 1, 10).Draw(rt, "faults")
}

func (s *simulation) apply(f fault) {
	s.mu.Lock()
	n := s.nodes[f.process]
	s.mu.Unlock()
	during := func(set func(m *fakes.MachineFaults, on bool)) {
		n.Set(func(m *fakes.MachineFaults) { set(m, true) })
		time.AfterFunc(f.duration, func() { n.Set(func(m *fakes.MachineFaults) { set(m, false) }) })
	}
	set := func(change func(on bool)) {
		change(true)
		time.AfterFunc(f.duration, func() { change(false) })
	}
	switch f.kind {
	case "suspend":
		n.Set(func(m *fakes.MachineFaults) { m.ResumeAt = time.Now().Add(f.duration) })
	case "noStore":
		during(func(m *fakes.MachineFaults, on bool) { m.NoStore = on })
	case "noAPI":
		during(func(m *fakes.MachineFaults, on bool) { m.NoAPI = on })
	case "lostWrites":
		n.Set(func(m *fakes.MachineFaults) { m.LostWrites = 1 + int(f.duration/(5*time.Second)) })
	case "lostCalls":
		n.Set(func(m *fakes.MachineFaults) {
			m.LostCalls, m.LateBy = 2, min(f.duration, turnTime-100*time.Millisecond)
		})
	case "outage":
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, other := range s.nodes {
			other.Set(func(m *fakes.MachineFaults) { m.NoAPI = true })
			time.AfterFunc(f.duration, func() { other.Set(func(m *fakes.MachineFaults) { m.NoAPI = false }) })
		}
	case "slow":
		s.api.SetStatus(429)
		time.AfterFunc(f.duration, func() { s.api.SetStatus(0) })
	case "step":
		set(func(on bool) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.step = 0
			if on {
				n.step = f.duration - 6*time.Second
			}
		})
	case "cutOff":
		set(func(on bool) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.cutOff = on
		})
	case "stop":
		n.stop()
		n.SendLast()
		s.start(f.process, false, 0)
	case "kill":
		n.mu.Lock()
		n.killedAt = time.Now()
		n.mu.Unlock()
		n.Set(func(m *fakes.MachineFaults) { m.NoStore, m.NoAPI = true, true })
		n.stop()
		time.Sleep(f.duration)
		s.start(f.process, false, 0)
	}
}

// firstReports returns the first report of each window. Exact repetitions are ignored.
func firstReports(calls []fakes.DutyCall) []fakes.DutyCall {
	seen := map[string]bool{}
	return slices.DeleteFunc(slices.Clone(calls), func(c fakes.DutyCall) bool {
		repeated := seen[c.Subject]
		seen[c.Subject] = true
		return repeated
	})
}

func newSimulation(ctx context.Context, seed uint64) *simulation {
	return &simulation{
		ctx: ctx, store: fakes.NewStore(), api: fakes.NewDutyAPI(false), rand: rand.New(rand.NewPCG(seed, 1)),
		nodes: map[units.ProcessName]*node{}, truth: map[Window]Counts{}, edge: map[Window]Counts{},
	}
}

// run runs a fleet with faults and returns what broke a rule. In the last windows there are no faults.
func run(seed uint64, faults []fault, loss float64) (broken []string, reports int) {
	ctx, cancel := context.WithCancel(context.Background())
	s := newSimulation(ctx, seed)
	s.loss = loss
	for i, name := range processes {
		off := time.Duration(0)
		if i == int(seed%uint64(len(processes))) {
			off = time.Duration(seed%13) * time.Second
		}
		s.start(name, true, off)
	}
	traffic, stopTraffic := context.WithCancel(ctx)
	s.wg.Go(func() { s.serve(traffic) })
	time.Sleep(6 * time.Second)
	for _, f := range faults {
		time.Sleep(f.pause)
		s.apply(f)
	}
	time.Sleep(40 * time.Second)
	calm := length.At(time.Now()) + 1
	time.Sleep(time.Until(length.End(calm + 3).Add(lateness)))
	calls, late := s.api.Calls(), length.At(time.Now())
	stopTraffic()
	broken = fakes.CheckDutyCalls(calls, turnTime)
	found := s.api.Reports()
	for w := range s.truth {
		if w > calm+3 {
			continue
		}
		content, ok := found[strconv.FormatInt(int64(w), 10)]
		var counts Counts
		if err := json.Unmarshal([]byte(content), &counts); err != nil || !ok {
			broken = append(broken, fmt.Sprintf("window %d is not reported: %q (calm from %d to %d)", w, content, calm, late))
			continue
		}
		for account, n := range counts {
			if most := s.truth[w][account] + s.edge[w][account]; n > most {
				broken = append(broken, fmt.Sprintf("window %d: %s has %d of %d", w, account, n, most))
			}
		}
		for account, n := range s.truth[w] {
			if w >= calm && counts[account] < n {
				broken = append(broken, fmt.Sprintf("window %d without faults: %s has %d of %d", w, account, counts[account], n))
			}
		}
	}
	for _, c := range firstReports(calls) {
		k, err := strconv.ParseInt(c.Subject, 10, 64)
		if after := c.At.Sub(length.End(Window(k))); err != nil || Window(k) >= calm && after > lateness {
			broken = append(broken, fmt.Sprintf("window %s is reported after %v", c.Subject, after))
		}
	}
	cancel()
	s.wg.Wait()
	time.Sleep(20 * time.Second)
	return broken, len(found)
}

// TestEachWindowIsReportedOnce guards against two different reports for a window, windows without a report, requests that are counted
// twice, wrong counts without faults, and calls of holders out of order; with loss, delay, repetition, suspension, steps of clocks,
// takeover, lost answers and calls that are carried out seconds later.
func TestEachWindowIsReportedOnce(t *testing.T) {
	kinds := []string{"suspend", "noStore", "noAPI", "lostWrites", "lostCalls", "slow", "outage", "step", "cutOff", "stop", "kill"}
	total := 0
	rapid.Check(t, func(rt *rapid.T) {
		faults := drawFaults(rt, kinds)
		seed := uint64(rapid.IntRange(0, 1<<20).Draw(rt, "seed"))
		loss := rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(rt, "loss")
		var broken []string
		synctest.Test(t, func(*testing.T) {
			var reports int
			broken, reports = run(seed, faults, loss)
			total += reports
		})
		if len(broken) > 0 {
			rt.Fatal(strings.Join(broken, "; "))
		}
	})
	assert.Assert(t, total > 0)
	t.Logf("%d windows were reported", total)
}

// TestLossOfAHolderMakesNoWindowLate guards against a window whose report is late as its holder is lost at the worst time.
func TestLossOfAHolderMakesNoWindowLate(t *testing.T) {
	worst := time.Duration(0)
	for _, kind := range []string{"kill", "suspend", "noStore", "noAPI", "stop"} {
		for at := time.Duration(0); at < time.Duration(length); at += 150 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				s := newSimulation(ctx, uint64(at))
				for _, name := range processes {
					s.start(name, true, 0)
				}
				s.wg.Go(func() { s.serve(ctx) })
				time.Sleep(time.Until(length.End(length.At(time.Now()) + 3).Add(at)))
				calls := s.api.Calls()
				holder := units.ProcessName(calls[len(calls)-1].Holder)
				s.apply(fault{process: holder, kind: kind, duration: 15 * time.Second})
				time.Sleep(30 * time.Second)
				first, broken := Window(0), fakes.CheckDutyCalls(s.api.Calls(), turnTime)
				for _, c := range firstReports(s.api.Calls()) {
					k, err := strconv.ParseInt(c.Subject, 10, 64)
					if err != nil {
						broken = append(broken, err.Error())
					}
					after := c.At.Sub(length.End(Window(k)))
					worst = max(worst, after)
					if after > lateness {
						broken = append(broken, fmt.Sprintf("window %d is reported after %v", k, after))
					}
					if first != 0 && Window(k) > first+1 {
						broken = append(broken, fmt.Sprintf("windows after %d are left out", first))
					}
					first = max(first, Window(k))
				}
				cancel()
				s.wg.Wait()
				time.Sleep(20 * time.Second)
				assert.Equal(t, len(broken), 0, "%s at %v: %v", kind, at, broken)
			})
		}
	}
	t.Logf("latest report %v after the end of its window", worst)
}
