package trait

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

const (
	// Quarantine is how long requests with a trait that crashes engines are refused.
	Quarantine = 10 * time.Minute
	// answerTime is how long other processes may take to say that they completed a run, a few round trips between
	// regions.
	answerTime = 200 * time.Millisecond
	// answerSpread keeps the processes that suspect a trait at the same time from all announcing its quarantine.
	answerSpread = 100 * time.Millisecond
	// expiryInterval is the interval between checks for quarantines that have ended.
	expiryInterval = time.Second
	// minRecordDelay and maxRecordDelay bound the delay after a failed attempt to record a quarantine.
	minRecordDelay, maxRecordDelay = 500 * time.Millisecond, 5 * time.Second
	// maxQuarantined bounds the traits in quarantine.
	maxQuarantined = 1000
)

// Messenger tells other processes about runs and traits. Messages may be lost.
type Messenger interface {
	// ReportBrokenRun tells the processes that collect evidence about a run that broke off.
	ReportBrokenRun(traits []Trait, e Engine, lasted time.Duration)
	// ReportCompletion tells them that a run with the traits was completed.
	ReportCompletion(traits []Trait)
	// AskCompletions asks all processes to report if they completed a run with the trait within the time.
	AskCompletions(t Trait, within time.Duration)
	// AnnounceQuarantine tells all processes that requests with the trait are to be refused.
	AnnounceQuarantine(t Trait, d time.Duration)
}

// Records keeps quarantines on the platform, from where all processes read them.
type Records interface {
	Put(ctx context.Context, t Trait) error
	// Expire removes the record of a quarantine that has ended, unless another process does.
	Expire(ctx context.Context, t Trait) error
}

// Options holds the dependencies of a Detector.
type Options struct {
	Messenger Messenger
	Records   Records
	Clock     units.Clock
	Log       zerolog.Logger
}

// Detector refuses requests with traits that crash engines, and finds such traits together with the detectors of other
// processes.
type Detector struct {
	Options
	tracker     *tracker
	mu          sync.Mutex // serializes changes of quarantined
	quarantined atomic.Pointer[map[Trait]time.Time]
	background  conc.WaitGroup
	ctx         context.Context // of the background work
}

// New returns a detector, and a function that ends its background work.
func New(o Options) (*Detector, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Detector{Options: o, tracker: newTracker(), ctx: ctx}
	d.quarantined.Store(&map[Trait]time.Time{})
	return d, func() {
		cancel()
		d.background.Wait()
	}
}

// Run ends quarantines after their time, until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	wait.Every(ctx, expiryInterval, d.expire)
}

// Check returns an error if a trait of the request is in quarantine.
func (d *Detector) Check(traits []Trait) error {
	quarantined := *d.quarantined.Load()
	if len(quarantined) == 0 {
		return nil
	}
	for _, t := range traits {
		if until, ok := quarantined[t]; ok {
			return fault.Unavailable(fault.CodeQuarantined, until.Sub(d.Clock()),
				"engines crashed while they ran requests with %s", t)
		}
	}
	return nil
}

// Quarantined returns the number of traits in quarantine.
func (d *Detector) Quarantined() int {
	return len(*d.quarantined.Load())
}

// RunCompleted records that an engine answered a request with the traits completely.
func (d *Detector) RunCompleted(traits []Trait) {
	if cleared := d.tracker.addCompleted(traits, d.Clock()); len(cleared) > 0 {
		d.Log.Info().Strs("traits", Names(cleared)).Msg("trait: evidence was dropped, as a run was completed")
		d.Messenger.ReportCompletion(cleared)
	}
}

// RunBroke records a run that broke off, and reports it to other processes.
func (d *Detector) RunBroke(r Run) {
	d.Messenger.ReportBrokenRun(r.Traits, r.Engine, r.Ended.Sub(r.Began))
	d.count(r)
}

// ReceiveBroken records a broken run that another process reported. It returns the traits that are already in
// quarantine here, which that process does not know.
func (d *Detector) ReceiveBroken(traits []Trait, e Engine, lasted time.Duration) map[Trait]time.Duration {
	now := d.Clock()
	d.count(Run{Traits: traits, Engine: e, Began: now.Add(-lasted), Ended: now})
	known := map[Trait]time.Duration{}
	for _, t := range traits {
		if until, ok := (*d.quarantined.Load())[t]; ok {
			known[t] = until.Sub(now)
		}
	}
	return known
}

// ReceiveCompleted drops the evidence against traits of which another process completed a run.
func (d *Detector) ReceiveCompleted(traits []Trait) {
	for _, t := range traits {
		if d.tracker.clear(t, d.Clock()) {
			d.Log.Info().Str("trait", string(t)).Msg("trait: evidence was dropped, as another process completed a run")
		}
	}
}

// HasCompleted reports whether this process completed a run with the trait within the time.
func (d *Detector) HasCompleted(t Trait, within time.Duration) bool {
	return d.tracker.hasCompletedSince(t, d.Clock().Add(-within))
}

// count weighs a broken run, and has the traits that it makes suspicious examined.
func (d *Detector) count(r Run) {
	now := d.Clock()
	for _, t := range r.Traits {
		if _, ok := (*d.quarantined.Load())[t]; ok {
			d.tracker.explainEngine(r.Engine, now)
			return
		}
	}
	for _, t := range d.tracker.addBroken(r, now) {
		d.background.Go(func() { d.examine(t) })
	}
}

// examine asks the other processes whether they completed a run with a suspected trait, and puts it in quarantine if
// none did.
func (d *Detector) examine(t Trait) {
	since, ok := d.tracker.suspectedSince(t)
	if ok {
		d.Messenger.AskCompletions(t, d.Clock().Sub(since))
		if !wait.Sleep(d.ctx, answerTime+rand.N(answerSpread)) {
			return
		}
	}
	breaks, guilty := d.tracker.decide(t, d.Clock())
	if !guilty {
		d.Log.Info().Str("trait", string(t)).Msg("trait: suspicion was wrong")
		return
	}
	if !d.quarantine(t, Quarantine) {
		return
	}
	d.Log.Warn().Str("trait", string(t)).Int("crashes", breaks).Int64("sinceMs", d.Clock().Sub(since).Milliseconds()).
		Msg("trait: quarantine began, as each run of such a request broke off")
	d.Messenger.AnnounceQuarantine(t, Quarantine)
	d.record(t)
}

// Record writes a quarantine to the platform in the background.
func (d *Detector) Record(t Trait) {
	d.background.Go(func() { d.record(t) })
}

// record writes the quarantine to the platform. It retries until that succeeds or the quarantine ends.
func (d *Detector) record(t Trait) {
	for delay := minRecordDelay; ; delay = min(2*delay, maxRecordDelay) {
		err := d.Records.Put(d.ctx, t)
		if err == nil {
			return
		}
		d.Log.Warn().Str("trait", string(t)).Err(err).Msg("trait: quarantine cannot be recorded, will be retried")
		if !wait.Sleep(d.ctx, delay/2+rand.N(delay)) || !d.isQuarantined(t) {
			return
		}
	}
}

// Learn puts a trait in quarantine that another process found. The source is for the log.
func (d *Detector) Learn(t Trait, left time.Duration, source string) {
	if d.quarantine(t, min(left, Quarantine)) {
		d.Log.Warn().Str("trait", string(t)).Str("source", source).Msg("trait: quarantine was learned")
	}
}

func (d *Detector) isQuarantined(t Trait) bool {
	_, ok := (*d.quarantined.Load())[t]
	return ok
}

// quarantine puts the trait in quarantine. It returns false if it already is, or if there are too many.
func (d *Detector) quarantine(t Trait, left time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	current := *d.quarantined.Load()
	if _, ok := current[t]; ok || left <= 0 {
		return false
	}
	if len(current) >= maxQuarantined {
		d.Log.Warn().Str("trait", string(t)).Msg("trait: too many quarantines, this one is left out")
		return false
	}
	now := d.Clock()
	next := maps.Clone(current)
	next[t] = now.Add(left)
	d.quarantined.Store(&next)
	d.tracker.explain(t, now)
	return true
}

// Release ends the quarantine of a trait.
func (d *Detector) Release(t Trait) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := maps.Clone(*d.quarantined.Load())
	if _, ok := next[t]; !ok {
		return
	}
	delete(next, t)
	d.quarantined.Store(&next)
	d.Log.Info().Str("trait", string(t)).Msg("trait: quarantine ended")
}

// expire releases the traits whose time has passed.
func (d *Detector) expire() {
	now := d.Clock()
	for t, until := range *d.quarantined.Load() {
		if now.Before(until) {
			continue
		}
		d.Release(t)
		d.background.Go(func() {
			if err := d.Records.Expire(d.ctx, t); err != nil {
				d.Log.Info().Str("trait", string(t)).Err(err).Msg("trait: record of a quarantine cannot be removed")
			}
		})
	}
}
