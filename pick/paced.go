package pick

import (
	"math"
	"time"

	"github.com/buckthorntrack/buckthorntrack/pace"
)

const (
	// minEvents is the number of events of a stream from which the time between them is measured.
	minEvents = 5
	// maxPassingShare is the share of a request's time that may pass while its caller takes the answer. Above it, the time
	// is a measure of the caller.
	maxPassingShare = 0.25
)

// paced is the pace of one incarnation of an engine. Without a group it is off.
type paced struct {
	group *pace.Group // engines with the same work
	state pace.State
}

// measurement is what is measured of one request for the pace of its engine.
type measurement struct {
	prefilled bool
	expected  time.Duration // estimated time until the prompt is prefilled, by the estimate for the service
	unusable  bool
	events    int
	firstAt   time.Time
	lastAt    time.Time
	passing   time.Duration // while the caller took the answer
}

// Compare lets the pace of the engine follow from how it answers compared with the engines of a group.
func (e *Engine) Compare(g *pace.Group) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paced.group = g
	e.paced.state.SetSlots(e.Slots)
}

// StartPace begins the pace of an engine that has started or changed its role, if it is compared with others. Cold reports
// that it says that it is slow.
func (l *loadTracker) StartPace(cold bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paced.group != nil {
		l.paced.state.Start(cold, now)
	}
}

// Reject counts a refusal by the engine. Full reports that the engine named a reason that lies in its present load.
func (l *loadTracker) Reject(full bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paced.group != nil {
		l.paced.state.Reject(l.running, full, now)
	}
}

// HeldBack returns why the engine is held back by its pace, and false if it is not.
func (l *loadTracker) HeldBack() (pace.Held, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.paced.state.Held()
}

// OfferedAllowance returns the allowance of the engine for a process that asks, zero if its pace is off and OpenAllowance
// if there is none, and the number of places that others were told of a moment ago.
func (l *loadTracker) OfferedAllowance(now time.Time) (allowance, offered int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paced.group == nil {
		return 0, 0
	}
	if allowance = l.paced.state.Allowance(); allowance == 0 {
		return OpenAllowance, 0
	}
	return allowance, l.paced.state.Offered(now)
}

// OpenAllowance is the allowance in a PeerLoad that stands for any number of requests.
const OpenAllowance = -1

// come begins the pace of an engine that gets requests again at a time. The lock must be held.
func (l *loadTracker) come(at time.Time) {
	if l.paced.group != nil {
		l.paced.state.Come(at)
	}
}

// allowance returns how many requests may be outstanding at the engine, zero for any number. The word of the process that
// keeps its load outweighs the local comparison. The lock must be held.
func (l *loadTracker) allowance(now time.Time) int {
	if l.paced.group == nil {
		return 0
	}
	own, told := l.paced.state.Allowance(), l.peerLoad.Allowance
	switch {
	case told == 0 || now.Sub(l.peerLoad.At) >= peerLoadLifetime:
		return own
	case !l.paced.state.IsTroubled(now):
		return max(told, 0)
	case told < 0:
		return own
	default:
		return min(own, told)
	}
}

// isAvoided reports whether another engine is preferable without a comparison. It is excluded from new requests, declines
// them, has had as many as its limit allows, or has as many as its pace allows.
func (l *loadTracker) isAvoided(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.excluded(now) || l.mayNotSend(now) {
		return true
	}
	allowed := l.allowance(now)
	if allowed == 0 {
		return false
	}
	running := l.running
	if now.Sub(l.peerLoad.At) < peerLoadLifetime {
		running = max(running, l.peerLoad.Running)
	}
	return running >= allowed
}

// beginPaced prepares the measurement of a request that was added to the load. The lock must be held.
func (l *loadTracker) beginPaced(w *Work, now time.Time) {
	if l.paced.group == nil {
		return
	}
	if l.paced.state.Allowance() > 0 {
		l.paced.state.Begin(l.paced.group.IsMeasured(now), now)
	}
	if w.queued {
		var ahead time.Duration
		for _, queued := range l.queuedCost[:w.Urgency+1] {
			ahead += queued
		}
		w.measured.expected = time.Duration(float64(min(ahead, l.busyUntil.Sub(now))) / l.factor())
	}
}

// measure passes a measurement of a request to the pace of the engine. The lock must be held.
func (l *loadTracker) measure(k pace.Kind, measured float64, w *Work, now time.Time) {
	g := l.paced.group
	if g == nil {
		return
	}
	deviation, known := g.Deviation(k, measured, now)
	if l.paced.state.Allowance() == 0 {
		g.Add(k, measured, now)
		if !known {
			return
		}
	}
	l.paced.state.Answer(deviation, w.startedAt, now) // zero if no peer has such measurements
}

// measurePrefill measures the time until the prompt was prefilled. The lock must be held.
func (w *Work) measurePrefill(now time.Time) {
	w.measured.prefilled = true
	if !w.measured.unusable {
		w.load.measure(pace.Prefill, pace.Prefilled(now.Sub(w.startedAt), w.measured.expected), w, now)
	}
}

// measureEnd measures the time between the events of a stream, or else the duration of a request whose prompt was not
// measured. The lock must be held.
func (w *Work) measureEnd(now time.Time) {
	m, took := &w.measured, now.Sub(w.startedAt)
	switch {
	case m.unusable || float64(m.passing) > maxPassingShare*float64(took):
	case m.events >= minEvents:
		w.load.measure(pace.Gap, pace.Spaced(m.lastAt.Sub(m.firstAt)/time.Duration(m.events-1)), w, now)
	case !m.prefilled:
		w.load.measure(pace.Whole, pace.Ended(took), w, now)
	}
}

// Discard keeps the duration of the request from being measured, as it says nothing about the engine.
func (w *Work) Discard() {
	w.measured.unusable = true
}

// Heard records an event of the answer. The calls for one request must not be concurrent.
func (w *Work) Heard(now time.Time) {
	m := &w.measured
	if m.events == 0 {
		m.firstAt = now
	}
	m.events++
	m.lastAt = now
}

// Passed records the time in which the caller took a part of the answer.
func (w *Work) Passed(d time.Duration) {
	w.measured.passing += d
}

// heldWait estimates the time until an engine that is held back may have the request.
func (l *Load) heldWait() time.Duration {
	if l.Allowance == 0 || l.Running < l.Allowance {
		return 0
	}
	return time.Duration(float64(l.Running+1-l.Allowance) / float64(l.Allowance) * float64(l.MeanDuration))
}

// isHeld reports whether the engine has as many requests as its pace allows.
func (l *Load) isHeld() bool {
	return l.Allowance > 0 && l.Running >= l.Allowance
}

// paceShare returns the factor on the running requests by which an engine that is held back is as full as one with all
// slots that runs so many.
func (l *Load) paceShare(slots float64) float64 {
	if l.Allowance == 0 {
		return 1
	}
	return math.Max(slots/float64(l.Allowance), 1)
}
