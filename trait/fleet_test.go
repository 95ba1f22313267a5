package trait_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/trait"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	step         = 10 * time.Millisecond
	meanRunTime  = 300 * time.Millisecond
	restartTime  = 3 * time.Second
	startDelay   = 50 * time.Millisecond // from the start of a run to its crash
	firstParts   = 20
	subjects     = 400
	loadTime     = time.Minute
	loadPerStep  = 2.5 // runs that begin per step
	simProcesses = 8
	simEngines   = 18

	crashesUntilBound        = 5               // requests with a part that crashes engines
	requestCrashesUntilBound = 3               // one request that comes again
	findTime                 = 4 * time.Second // after these crashes
	maxLate                  = 3               // bad requests that may reach engines later
)

// size holds the engines of a service and its sound load.
type size struct {
	engines      int
	loadPerStep  float64 // runs that begin per step
	meanRunTime  time.Duration
	repeats      int           // engines to which a sound request is sent after its first run broke off
	repeatDelay  time.Duration // before each of them
	restartRange time.Duration // by which the time of a restart differs
}

// manyEngines is the usual size.
var manyEngines = size{engines: simEngines, loadPerStep: loadPerStep, meanRunTime: meanRunTime}

// fleet holds the detectors of several processes and the runs at the engines that they share.
type fleet struct {
	size
	random    *rand.Rand
	detectors []*trait.Detector
	records   map[trait.Trait]bool
	bad       trait.Trait // crashes each engine that runs a request with it, empty for none
	runs      []*run
	downUntil []time.Time
	started   []int64
	lastRun   int
	crashes   int
	crashedAt []time.Time // under bad requests
	badRuns   []time.Time
	pending   []repeat

	badRequests map[trait.Trait]bool // the bad requests as a whole
}

// repeat is a request that comes again.
type repeat struct {
	at     time.Time
	traits []trait.Trait
	count  int // of the runs before, of a sound request
}

type run struct {
	process int
	engine  int
	traits  []trait.Trait
	began   time.Time
	ends    time.Time
	bad     bool
	broken  bool // the answer breaks off at the end
	repeats int  // runs of the request before
}

// link delivers the messages of one process to all others at once.
type link struct {
	*fleet
	from int
}

func (l link) others() (others []*trait.Detector) {
	for i, d := range l.detectors {
		if i != l.from {
			others = append(others, d)
		}
	}
	return others
}

// ReportBrokenRun implements trait.Messenger.
func (l link) ReportBrokenRun(traits []trait.Trait, e trait.Engine, lasted time.Duration) {
	for _, d := range l.others() {
		for t, left := range d.ReceiveBroken(traits, e, lasted) {
			l.detectors[l.from].Learn(t, left, "test")
		}
	}
}

// ReportCompletion implements trait.Messenger.
func (l link) ReportCompletion(traits []trait.Trait) {
	for _, d := range l.others() {
		d.ReceiveCompleted(traits)
	}
}

// AskCompletions implements trait.Messenger.
func (l link) AskCompletions(t trait.Trait, within time.Duration) {
	for _, d := range l.others() {
		if d.HasCompleted(t, within) {
			l.detectors[l.from].ReceiveCompleted([]trait.Trait{t})
		}
	}
}

// AnnounceQuarantine implements trait.Messenger.
func (l link) AnnounceQuarantine(t trait.Trait, left time.Duration) {
	for _, d := range l.others() {
		d.Learn(t, left, "test")
	}
}

// Put implements trait.Records.
func (l link) Put(_ context.Context, t trait.Trait) error {
	l.records[t] = true
	return nil
}

// Expire implements trait.Records.
func (link) Expire(context.Context, trait.Trait) error { return nil }

func newFleet(seed uint64, s size) (*fleet, func()) {
	f := &fleet{
		size: s, random: rand.New(rand.NewPCG(seed, 0)), downUntil: make([]time.Time, s.engines),
		started: make([]int64, s.engines), records: map[trait.Trait]bool{}, badRequests: map[trait.Trait]bool{},
	}
	var closers []func()
	for i := range simProcesses {
		d, closeDetector := trait.New(trait.Options{
			Messenger: link{f, i}, Records: link{f, i}, Clock: time.Now, Log: zerolog.Nop(),
		})
		f.detectors = append(f.detectors, d)
		closers = append(closers, closeDetector)
	}
	return f, func() {
		for _, c := range closers {
			c()
		}
	}
}

// begin starts a run at a random engine, unless all are down. Runs of the same request may have broken off before.
func (f *fleet) begin(traits []trait.Trait, repeats int) {
	now := time.Now()
	bad := slices.Contains(traits, f.bad)
	process := f.random.IntN(simProcesses)
	if f.detectors[process].Check(traits) != nil {
		return
	}
	var up []int
	for engine, until := range f.downUntil {
		if until.Before(now) {
			up = append(up, engine)
		}
	}
	if len(up) == 0 {
		return
	}
	r := &run{process: process, engine: up[f.random.IntN(len(up))], traits: traits, began: now, bad: bad, repeats: repeats}
	r.ends = now.Add(time.Duration(float64(f.meanRunTime) * (0.2 + f.random.ExpFloat64())))
	if bad {
		r.ends = now.Add(startDelay)
		f.badRuns = append(f.badRuns, now)
	}
	f.runs = append(f.runs, r)
}

// partOf and requestOf return traits of one service.
func partOf(id string) trait.Trait { return trait.OfPart("llm", id) }

func requestOf(body string) trait.Trait {
	return trait.OfRequest(trait.Request{Service: "llm", Host: "shop.example", Method: "POST", Target: "/", Body: []byte(body)})
}

func (f *fleet) beginSound() {
	f.lastRun++
	f.begin([]trait.Trait{
		partOf(fmt.Sprint("first", f.random.IntN(firstParts))),
		partOf(fmt.Sprint("subject", f.random.IntN(subjects))),
		requestOf(fmt.Sprint(f.lastRun)),
	}, 0)
}

// beginBad starts a run that crashes its engine. The same request comes again after each of the delays.
func (f *fleet) beginBad(first, part string, again []time.Duration) {
	f.lastRun++
	traits := []trait.Trait{partOf(first)}
	if part == first {
		part = fmt.Sprint("subject", f.random.IntN(subjects))
	}
	traits = append(traits, partOf(part), requestOf(fmt.Sprint(f.lastRun)))
	f.badRequests[traits[2]] = true
	f.begin(traits, 0)
	for _, delay := range again {
		f.pending = append(f.pending, repeat{at: time.Now().Add(delay), traits: traits})
	}
}

// beginRepeats starts the runs of requests that come again now.
func (f *fleet) beginRepeats(now time.Time) {
	f.pending = slices.DeleteFunc(f.pending, func(r repeat) bool {
		if r.at.After(now) {
			return false
		}
		f.begin(r.traits, r.count)
		return true
	})
}

// crash breaks off all runs at the engine.
func (f *fleet) crash(engine int) {
	f.crashes++
	if !f.downUntil[engine].Before(time.Now()) {
		return
	}
	down := restartTime
	if f.restartRange > 0 {
		down += time.Duration(f.random.Int64N(int64(f.restartRange)))
	}
	f.downUntil[engine] = time.Now().Add(down)
	f.end(func(r *run) bool { return r.engine == engine }, true)
	f.started[engine]++
}

// end ends the runs that match.
func (f *fleet) end(match func(r *run) bool, broken bool) {
	var kept []*run
	var ended []*run
	for _, r := range f.runs {
		if match(r) {
			ended = append(ended, r)
		} else {
			kept = append(kept, r)
		}
	}
	f.runs = kept
	for _, r := range ended {
		if !broken && !r.broken {
			f.detectors[r.process].RunCompleted(r.traits)
			continue
		}
		f.detectors[r.process].RunBroke(trait.Run{
			Traits: r.traits, Engine: trait.Engine{ID: units.EngineName(fmt.Sprint(r.engine)), Incarnation: f.started[r.engine]},
			Began: r.began, Ended: time.Now(),
		})
		if !r.bad && r.repeats < f.repeats {
			f.pending = append(f.pending, repeat{at: time.Now().Add(f.repeatDelay), traits: r.traits, count: r.repeats + 1})
		}
	}
}

// lateBadRuns returns the number of bad requests that reached engines after the time that the fleet has to find out,
// which begins with the given crash.
func (f *fleet) lateBadRuns(crashes int) int {
	late := 0
	for _, at := range f.badRuns {
		if len(f.crashedAt) >= crashes && at.After(f.crashedAt[crashes-1].Add(findTime)) {
			late++
		}
	}
	return late
}

// advance plays one step of sound load.
func (f *fleet) advance() {
	for n := f.random.ExpFloat64() * f.loadPerStep; n > 0; n-- {
		f.beginSound()
	}
	time.Sleep(step)
	now := time.Now()
	f.beginRepeats(now)
	for _, r := range f.runs {
		if r.bad && !r.ends.After(now) && f.downUntil[r.engine].Before(now) {
			f.crashedAt = append(f.crashedAt, now)
			f.crash(r.engine)
		}
	}
	f.end(func(r *run) bool { return !r.ends.After(now) }, false)
}
