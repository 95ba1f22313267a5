package proxy

import (
	"math/rand/v2"
	"time"

	"github.com/buckthorntrack/buckthorntrack/fault"
)

const (
	// maxSends bounds the calls to engines for one request, including refused calls.
	maxSends = 6
	// minTimeLeft is the time left below which a retry is not worth its load: a plain call takes about as long.
	minTimeLeft = 50 * time.Millisecond
	// minRetryAfter is the shortest time after which a rejected caller may retry.
	minRetryAfter = 200 * time.Millisecond
	// retryAfterSpread is the range of the random jitter that keeps rejected callers from retrying at the same time.
	retryAfterSpread = 600 * time.Millisecond
	// retryAfterDivisor limits the wait to a fraction of the caller's time left, so that its retry can still succeed.
	retryAfterDivisor = 4
)

// retryState is the input of the decision whether to retry a failed send.
type retryState struct {
	err           *fault.Error
	canceled      bool // the caller disconnected
	timeLeft      time.Duration
	repeatable    bool
	maxRuns       int // maximum number of engines that may run the request
	possibleRuns  int // number of engines that may have run it
	sends         int
	answerStarted bool
	resumable     bool
	lastEventID   string
	quarantined   bool // a trait of the request crashes engines
	withdrawn     bool // the key of the request was withdrawn
	tooLate       bool // the process stops too soon for another call
	stranded      bool // the process reaches no engine
	retryDenied   bool // the retry budget is exhausted
	noEngine      bool // no engine is left that could answer in time
}

// retryDecision holds whether a request is retried, and the reason.
type retryDecision struct {
	retry  bool
	reason string
}

// decideRetry decides whether a request is retried after a failure.
func decideRetry(s retryState) retryDecision {
	switch {
	case s.canceled:
		return retryDecision{reason: "caller disconnected"}
	case s.quarantined:
		return retryDecision{reason: "request is in quarantine"}
	case s.withdrawn:
		return retryDecision{reason: "key was withdrawn"}
	case s.tooLate:
		return retryDecision{reason: "process is stopping"}
	case s.stranded:
		return retryDecision{reason: "process reaches no upstream"}
	case s.retryDenied:
		return retryDecision{reason: "retry budget is exhausted"}
	case s.timeLeft < minTimeLeft:
		return retryDecision{reason: "too little time is left"}
	case s.sends >= maxSends:
		return retryDecision{reason: "too many sends"}
	case s.noEngine:
		return retryDecision{reason: "no upstream is left"}
	case s.err.Verdict != fault.NotRun && !s.repeatable:
		return retryDecision{reason: "may have run and is not repeatable"}
	case s.possibleRuns >= s.maxRuns:
		return retryDecision{reason: "ran on as many upstreams as its route allows"}
	case s.answerStarted && (!s.resumable || s.lastEventID == ""):
		return retryDecision{reason: "answer has started and cannot be resumed"}
	case s.answerStarted:
		return retryDecision{retry: true, reason: "stream is resumed"}
	case s.err.Verdict == fault.NotRun:
		return retryDecision{retry: true, reason: "upstream did not run it"}
	default:
		return retryDecision{retry: true, reason: "may be repeated"}
	}
}

// retryAfter returns the time after which a rejected caller may retry, with jitter.
func retryAfter(left time.Duration) time.Duration {
	after := minRetryAfter + rand.N(retryAfterSpread)
	return max(min(after, left/retryAfterDivisor), time.Millisecond)
}
