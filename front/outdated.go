package front

import (
	"sync/atomic"
	"time"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/fresh"
)

// outdatedRetryAfter is the Retry-After time of a request that is refused as the configuration is too old. The caller's next
// connection may go to another process.
const outdatedRetryAfter = 300 * time.Millisecond

// unknownAge is the age of a configuration whose age is not known.
const unknownAge = -time.Millisecond

// knowledge is what the process knows of the configuration: the one in force, and whether it may be outdated.
type knowledge struct {
	policy fresh.Policy
	config func() *config.Config        // in force now
	age    func() (time.Duration, bool) // since the configuration in force was the platform's, false if not known
	lost   *atomic.Bool                 // the platform cannot be reached
}

// currentAge returns the age of the configuration in force, negative if it is not known. It must be read before that configuration, so that
// it is not the age of a newer one.
func (k *knowledge) currentAge() time.Duration {
	if age, ok := k.age(); ok {
		return age
	}
	return unknownAge
}

// mayLackChanges reports whether a configuration of the age may lack a change that has to be in force.
func (k *knowledge) mayLackChanges(age time.Duration) bool {
	return !k.policy.IsRecent(age, k.lost.Load())
}

// errOutdated returns the error for a request that the configuration is too old to decide on.
func errOutdated(decision string) error {
	return fault.Unavailable(fault.CodeConfigOutdated, outdatedRetryAfter, "the configuration is too old to %s", decision)
}
