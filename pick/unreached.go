package pick

import (
	"time"

	"github.com/buckthorntrack/buckthorntrack/pace"
)

// contact is what this process itself has seen of its path to an engine. Other processes are not told of it.
type contact struct {
	avoidedUntil time.Time // the process does not reach the engine, no new requests before this time
	answeredAt   time.Time // when the engine last answered this process, zero if a request has failed there since
}

// AvoidUntil keeps this process from sending to an engine that it does not reach, or longer if an earlier call says so.
func (l *loadTracker) AvoidUntil(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contact.avoidedUntil = later(l.contact.avoidedUntil, until)
	l.come(l.contact.avoidedUntil)
}

// RecordAnswer records an answer of the engine to this process, or a part of one.
func (l *loadTracker) RecordAnswer(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contact.answeredAt = now
}

// AnsweredSince reports whether the engine has answered this process since the given time, with no failure after it.
func (l *loadTracker) AnsweredSince(from time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.contact.answeredAt.IsZero() && !l.contact.answeredAt.Before(from)
}

// excluded reports whether the engine is excluded from new requests of this process. The lock must be held.
func (l *loadTracker) excluded(now time.Time) bool {
	return now.Before(l.excludedUntil) || now.Before(l.contact.avoidedUntil)
}

// EndUnreached removes a request that did not reach the engine from the load.
func (w *Work) EndUnreached(now time.Time) {
	l := w.load
	l.mu.Lock()
	defer l.mu.Unlock()
	w.remove(now)
	if exclusion := l.countFailure(); exclusion > 0 {
		l.contact.avoidedUntil = later(l.contact.avoidedUntil, now.Add(exclusion))
		l.come(l.contact.avoidedUntil)
	}
}

// remove removes the request from the load. The lock must be held.
func (w *Work) remove(now time.Time) {
	w.dequeue(now)
	w.load.running--
	w.load.kvTokens -= w.KVTokens
}

// countFailure counts a failure, and returns for how long the engine is excluded, zero for not. The lock must be held.
func (l *loadTracker) countFailure() time.Duration {
	l.contact.answeredAt = time.Time{}
	return l.backoff.Next(pace.Failed)
}
