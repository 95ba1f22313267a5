package trait_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/trait"
)

var (
	// fewPlain is a plain service with three upstreams, whose sound requests come again after a failure.
	fewPlain = size{
		engines: 3, loadPerStep: 0.9, meanRunTime: 60 * time.Millisecond, repeats: 2, repeatDelay: 300 * time.Millisecond,
		restartRange: 400 * time.Millisecond,
	}
	// fewModel is a service with three model engines.
	fewModel = size{
		engines: 3, loadPerStep: 0.5, meanRunTime: meanRunTime, repeats: 2, repeatDelay: 300 * time.Millisecond,
		restartRange: 400 * time.Millisecond,
	}
	// manyRepeating has many engines, and sound requests that come again after a failure.
	manyRepeating = size{
		engines: simEngines, loadPerStep: loadPerStep, meanRunTime: meanRunTime, repeats: 2, repeatDelay: 300 * time.Millisecond,
		restartRange: 400 * time.Millisecond,
	}
	sizes = []struct {
		name string
		size
	}{
		{name: "plain service with three upstreams", size: fewPlain},
		{name: "three model engines", size: fewModel},
		{name: "many engines", size: manyRepeating},
	}
)

// repeatLoad is how a request that crashes engines comes again and again.
type repeatLoad struct {
	interval time.Duration
	copies   int // at each time
}

var repeatLoads = []repeatLoad{
	{30 * time.Millisecond, 1}, {100 * time.Millisecond, 1}, {300 * time.Millisecond, 1}, {time.Second, 1}, {3 * time.Second, 1},
	{300 * time.Millisecond, 3}, {time.Second, 3},
}

func (l repeatLoad) String() string {
	return fmt.Sprint(l.copies, " every ", l.interval)
}

// playRepeatLoads plays requests that crash engines with all sizes, loads and seeds. It checks that nothing but the bad trait is
// found, and that few requests reach engines later than four seconds after the crash from which the bound holds.
func playRepeatLoads(t *testing.T, bad trait.Trait, begin func(f *fleet), crashes int) {
	for _, tt := range sizes {
		for _, load := range repeatLoads {
			for _, seed := range seeds {
				t.Run(fmt.Sprint(tt.name, ", ", load, " seed ", seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f, closeFleet := newFleet(seed, tt.size)
						defer closeFleet()
						for range int(2 * time.Second / step) {
							f.advance()
						}
						f.bad = bad
						for n := range int(loadTime / step) {
							for i := 0; every(n, load.interval) && i < load.copies; i++ {
								begin(f)
							}
							f.advance()
						}
						late := f.lateBadRuns(crashes)
						t.Logf("%d engines crashed, %d requests reached engines late", f.crashes, late)
						assert.DeepEqual(t, f.records, map[trait.Trait]bool{f.bad: true})
						assert.Assert(t, late <= maxLate, "%d requests reached engines", late)
					})
				})
			}
		}
	}
}

// TestRequestThatCrashesAllEnginesAtOnceIsFound plays one request that comes again and again, so often that few engines
// crash one right after the other and are back at about the same time.
func TestRequestThatCrashesAllEnginesAtOnceIsFound(t *testing.T) {
	traits := []trait.Trait{partOf("first1"), partOf("subject7"), requestOf("bad")}
	playRepeatLoads(t, traits[2], func(f *fleet) { f.begin(traits, 0) }, requestCrashesUntilBound)
}

// TestPartThatCrashesAllEnginesAtOnceIsFound plays requests with a part, no two of which are alike.
func TestPartThatCrashesAllEnginesAtOnceIsFound(t *testing.T) {
	playRepeatLoads(t, partOf("bad"), func(f *fleet) { f.beginBad("first1", "bad", nil) }, crashesUntilBound)
}

// TestRequestsThatComeAgainAreNotBlamedForOutages plays outages of all engines of a service, beside sound requests that
// come again after each failure. Nothing may be found.
func TestRequestsThatComeAgainAreNotBlamedForOutages(t *testing.T) {
	outages := []struct {
		name     string
		interval time.Duration // from one outage to the next
		gap      time.Duration // between the crashes of two engines
	}{
		{name: "at once", interval: 8 * time.Second},
		{name: "at once, again as soon as they are back", interval: 3500 * time.Millisecond},
		{name: "one after the other", interval: 8 * time.Second, gap: 100 * time.Millisecond},
		{name: "one after the other, again soon", interval: 4 * time.Second, gap: 100 * time.Millisecond},
		{name: "slowly one after the other", interval: 8 * time.Second, gap: time.Second},
	}
	for _, tt := range sizes {
		for _, outage := range outages {
			for _, seed := range seeds {
				t.Run(fmt.Sprint(tt.name, ", ", outage.name, " seed ", seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f, closeFleet := newFleet(seed, tt.size)
						defer closeFleet()
						for n := range int(loadTime / step) {
							f.advance()
							for engine := range f.engines {
								if at := time.Duration(n)*step - time.Duration(engine)*outage.gap; at >= 0 && at%outage.interval == 0 {
									f.crash(engine)
								}
							}
						}
						assert.DeepEqual(t, f.records, map[trait.Trait]bool{})
					})
				})
			}
		}
	}
}

// TestRequestIsFoundAfterManyOthersBrokeOff plays a request that crashes engines after an outage that broke off more requests than
// the evidence is kept for.
func TestRequestIsFoundAfterManyOthersBrokeOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, closeFleet := newFleet(1, size{engines: 8, meanRunTime: time.Second})
		defer closeFleet()
		for range 3000 {
			f.beginSound()
		}
		for engine := range f.engines {
			f.crash(engine)
		}
		time.Sleep(2 * restartTime)
		traits := []trait.Trait{requestOf("bad")}
		f.bad = traits[0]
		for range int(10 * time.Second / step) {
			f.begin(traits, 0)
			f.advance()
		}
		assert.DeepEqual(t, f.records, map[trait.Trait]bool{f.bad: true})
		assert.Assert(t, f.lateBadRuns(requestCrashesUntilBound) <= maxLate)
	})
}
