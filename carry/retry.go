package carry

import (
	"math/rand/v2"
	"time"

	"github.com/buckthorntrack/buckthorntrack/fault"
)

const (
	// maxSends bounds the calls to engines for one request, refused ones included.
	maxSends = 6
	// leastLeft is the time below which a further send is not worth its load: a plain call takes about as long.
	leastLeft = 50 * time.Millisecond
	// firstReturn is the shortest time after which a refused caller is asked to come again.
	firstReturn = 200 * time.Millisecond
	// spreadReturn is the span over which refused callers are spread, so that they do not return together.
	spreadReturn = 600 * time.Millisecond
	// returnPart bounds the time by a part of what the caller has left, so that its next try can still be in time.
	returnPart = 4
)

// state is what the decision on a failed send depends on.
type state struct {
	err        *fault.Error
	canceled   bool // the caller has left
	left       time.Duration
	repeatable bool
	attempts   int // engines that may run the request
	ran        int // engines that may have run it
	sends      int
	begun      bool
	resumable  bool
	lastID     string
	denied     bool // the allowance of repeats is used up
	unplaced   bool // no engine was left to send to
}

// decision says whether the request is sent again.
type decision struct {
	again  bool
	reason string
}

// decide says whether a request is sent again after a failure.
func decide(s state) decision {
	switch {
	case s.canceled:
		return decision{reason: "caller has left"}
	case s.denied:
		return decision{reason: "no repeat is allowed now"}
	case s.left < leastLeft:
		return decision{reason: "no time is left"}
	case s.sends >= maxSends:
		return decision{reason: "sent too often"}
	case s.unplaced:
		return decision{reason: "no upstream is left"}
	case s.err.Verdict != fault.NotRun && !s.repeatable:
		return decision{reason: "may have run and may not be repeated"}
	case s.ran >= s.attempts:
		return decision{reason: "ran on as many upstreams as its route allows"}
	case s.begun && (!s.resumable || s.lastID == ""):
		return decision{reason: "answer has begun and cannot be resumed"}
	case s.begun:
		return decision{again: true, reason: "stream is resumed"}
	case s.err.Verdict == fault.NotRun:
		return decision{again: true, reason: "upstream did not run it"}
	default:
		return decision{again: true, reason: "may be repeated"}
	}
}

// retryAfter returns when a refused caller may come again.
func retryAfter(left time.Duration) time.Duration {
	after := firstReturn + rand.N(spreadReturn)
	return max(min(after, left/returnPart), time.Millisecond)
}
