package pick

import "time"

const (
	// eventTimeWeight is the weight of the latest stream in the moving average of an engine's time between events.
	eventTimeWeight = 0.2
	// minEventTime and maxEventTime bound a measured time between events.
	minEventTime, maxEventTime = time.Millisecond, 2 * time.Second
	// answerShare is the share of the time left that an answer of the largest length may take; the rest is for network delay.
	answerShare = 0.9
)

// eventTime is the moving average of the time between two events of an engine's streams. Engines of a service differ by more than
// two times, and nothing but their streams shows it.
type eventTime struct {
	mean time.Duration // zero before any stream
}

func (t *eventTime) observe(d time.Duration) {
	d = min(max(d, minEventTime), maxEventTime)
	if t.mean == 0 {
		t.mean = d
		return
	}
	t.mean += time.Duration(eventTimeWeight * float64(d-t.mean))
}

// ObserveEventTime records the mean time between the events of a stream that the engine has ended.
func (l *loadTracker) ObserveEventTime(d time.Duration) {
	if d <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.eventTime.observe(d)
}

// ObserveEventTime records the same for the engine of the work.
func (w *Work) ObserveEventTime(d time.Duration) {
	w.load.ObserveEventTime(d)
}

// answerTime estimates the time from the first event to the end of an answer of the largest length that the request allows.
func answerTime(c *candidate, r *Request) time.Duration {
	tokens := max(r.Memory.EventTokens, 1)
	perEvent := c.load.EventTime
	if perEvent == 0 {
		perEvent = time.Duration(tokens) * decodeStepTime
	}
	events := (r.Output + tokens - 1) / tokens
	return perEvent * time.Duration(max(events-1, 0))
}

// overrunPenalty returns the penalty for an engine where the longest answer would outlast the deadline: its stream would be cut
// off, though another engine may be fast enough.
func overrunPenalty(c *candidate, first time.Duration, r *Request) time.Duration {
	if r.TimeLeft <= 0 || r.Output == 0 {
		return 0
	}
	overrun := first + answerTime(c, r) - time.Duration(answerShare*float64(r.TimeLeft))
	if overrun <= 0 {
		return 0
	}
	// A short answer may still be in time, so the first event counts as well: an engine that delays it by more than the penalty is
	// no better.
	return min(overrun, r.FirstTarget)
}
