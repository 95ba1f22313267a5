package front

import (
	"sync/atomic"
	"time"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/fresh"
)

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
