package usage

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// followLimit is the greatest change of the wall clock against the other clock that is followed. Both clocks run at the same rate,
	// so a greater one is a step.
	followLimit = 20 * time.Millisecond
	// refineLimit is the greatest difference to the clocks of other processes that stays once the clock was corrected.
	refineLimit = time.Millisecond
	// agreeLimit is the greatest difference to the clocks of other processes that counts as agreement. It exceeds the error of a
	// comparison over links of 40 ms one way.
	agreeLimit = 50 * time.Millisecond
	// maxRoundTrip is the longest exchange that is used for a comparison.
	maxRoundTrip = 400 * time.Millisecond
	// maxReadTime bounds the time between the readings of both clocks.
	maxReadTime = time.Millisecond
	// readTries is the number of attempts to read both clocks at once.
	readTries = 3
	// comparisonAge is how long a comparison with another process counts.
	comparisonAge = 30 * time.Second
	// enoughComparisons is the number of other processes with which a clock has to be compared before it counts as checked: with this
	// process they make three, of which one may be wrong.
	enoughComparisons = 2
)

// Clock tells true time from a wall clock that may step and one that runs steadily, also while the VM is suspended. Steps of the wall
// clock are faults: the offset between the clocks stays. An offset that was wrong from the start is corrected by those of other
// processes.
type Clock struct {
	wall   units.Clock
	steady units.Clock
	offset atomic.Int64 // true time less the steady clock, nanoseconds

	mu          sync.Mutex
	ahead       time.Duration // of the wall clock, at the last look, zero if it has not stepped
	checked     bool
	corrected   bool // the offset is that of other processes, as the wall clock is wrong
	steps       int
	corrections int
	comparisons map[units.ProcessName]comparison
}

// comparison is the difference of another process's clock to this one.
type comparison struct {
	ahead time.Duration
	took  time.Duration // of the exchange, which bounds the error
	at    time.Time     // steady clock
}

// NewClock returns a clock that takes the present time of the wall clock for true until it is compared with others.
func NewClock(wall, steady units.Clock) *Clock {
	c := &Clock{wall: wall, steady: steady, comparisons: map[units.ProcessName]comparison{}}
	offset, _ := c.read()
	c.offset.Store(int64(offset))
	return c
}

// Now returns the true time as far as this process knows it.
func (c *Clock) Now() time.Time {
	return c.steady().Round(0).Add(time.Duration(c.offset.Load()))
}

// Steady returns the time of the steady clock in microseconds, for comparisons.
func (c *Clock) Steady() int64 {
	return c.steady().UnixMicro()
}

// read returns the wall clock less the steady clock, or false if the process was interrupted in between.
func (c *Clock) read() (offset time.Duration, ok bool) {
	for range readTries {
		before := c.steady().Round(0)
		wall := c.wall().Round(0)
		took := c.steady().Round(0).Sub(before)
		offset = wall.Sub(before.Add(took / 2))
		if took <= maxReadTime {
			return offset, true
		}
	}
	return offset, false
}

// Sample looks at the wall clock, and reports whether it has stepped since the last look. Call it several times a second.
func (c *Clock) Sample() (ahead time.Duration, stepped bool) {
	reading, ok := c.read()
	if !ok {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	ahead = reading - time.Duration(c.offset.Load())
	if ahead.Abs() <= followLimit {
		c.offset.Store(int64(reading))
		c.ahead, c.corrected = 0, false
		return ahead, false
	}
	stepped = (ahead - c.ahead).Abs() > followLimit
	if stepped {
		c.steps++
	}
	c.ahead = ahead
	return ahead, stepped
}

// Exchange is a message to another process and its answer.
type Exchange struct {
	Sent, Answered     int64     // steady clock of this process, microseconds
	Received, Returned time.Time // true time as the other process knows it
}

// Compare compares the clock with that of another process. It returns the correction of this clock, zero for none: the median of the
// differences, with this clock among them, where that is no agreement.
func (c *Clock) Compare(process units.ProcessName, x Exchange) time.Duration {
	took := time.Duration(x.Answered-x.Sent) * time.Microsecond
	if took < 0 || took > maxRoundTrip {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.steady()
	own := time.UnixMicro(x.Sent).Add(took / 2).Add(time.Duration(c.offset.Load()))
	other := x.Received.Add(x.Returned.Sub(x.Received) / 2)
	if known, ok := c.comparisons[process]; !ok || took <= known.took || now.Sub(known.at) > comparisonAge {
		c.comparisons[process] = comparison{ahead: other.Sub(own), took: took, at: now}
	}
	differences := []time.Duration{0}
	for name, known := range c.comparisons {
		if now.Sub(known.at) > comparisonAge {
			delete(c.comparisons, name)
			continue
		}
		differences = append(differences, known.ahead)
	}
	correction, limit := medianOf(differences), agreeLimit
	if c.corrected {
		limit = refineLimit
	}
	if len(differences) <= enoughComparisons || correction.Abs() <= limit {
		return 0
	}
	c.offset.Add(int64(correction))
	if !c.corrected {
		c.corrections++
	}
	c.corrected = true
	for name, known := range c.comparisons {
		known.ahead -= correction
		c.comparisons[name] = known
	}
	return correction
}

// medianOf returns the median, of two middle values the one closer to zero.
func medianOf(differences []time.Duration) time.Duration {
	slices.Sort(differences)
	low, high := differences[(len(differences)-1)/2], differences[len(differences)/2]
	if low.Abs() <= high.Abs() {
		return low
	}
	return high
}

// IsChecked reports whether the clock has been compared with those of enough other processes, of the given number that there are.
func (c *Clock) IsChecked(others int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checked = c.checked || len(c.comparisons) >= enoughComparisons
	return c.checked || len(c.comparisons) >= min(others, enoughComparisons)
}

// Faults returns the number of steps of the wall clock and of corrections.
func (c *Clock) Faults() (steps, corrections int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.steps, c.corrections
}
