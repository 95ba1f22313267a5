// Package fresh decides whether a copy of the configuration is recent enough to refuse a request for good by it: what the copy does
// not allow may be allowed by a change that the process has not heard of.
package fresh

import (
	"time"

	"github.com/buckthorntrack/buckthorntrack/fault"
)

const (
	// limitPercent is the part of the time within which a change has to be in force up to which the age of a copy is accepted. The rest
	// covers clocks that run apart.
	limitPercent = 95
	// retryAfter is the Retry-After time of a request that the configuration is too old to decide on. The caller's next connection may
	// go to another process.
	retryAfter = 300 * time.Millisecond
)

// Policy decides whether a copy is recent enough.
type Policy struct {
	limit     time.Duration
	lostLimit time.Duration
}

// New returns a policy for changes that have to be in force within applyTime. Copies that are confirmed now and then reach usualAge
// between two confirmations, which may be longer; such ages do not count as too old unless the platform is lost.
func New(applyTime, usualAge time.Duration) Policy {
	strict := applyTime * limitPercent / 100
	return Policy{limit: max(strict, usualAge), lostLimit: strict}
}

// IsRecent reports whether a copy is recent enough. The age is the time since it was the platform's, negative if that is not known;
// lost says whether the platform cannot be reached.
func (p Policy) IsRecent(age time.Duration, lost bool) bool {
	if lost {
		return age >= 0 && age <= p.lostLimit
	}
	return age >= 0 && age <= p.limit
}

// Outdated returns the error for a request on which the configuration is too old to decide. The decision completes "too old to".
func Outdated(decision string) *fault.Error {
	return fault.Unavailable(fault.CodeConfigOutdated, retryAfter, "the configuration is too old to %s", decision)
}
