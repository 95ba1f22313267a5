package lease

import (
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// tokensPerEra is the number of fencing tokens of an era of the store, more than it has changes of holder.
const tokensPerEra units.FencingToken = 1 << 32

// nextFence returns the fencing token after the last one that the store knows of. A store that came back from a copy may have
// forgotten later ones, so each era has tokens of its own.
func nextFence(last units.FencingToken, era units.Era) units.FencingToken {
	return max(last, units.FencingToken(era)*tokensPerEra) + 1
}

// past is what a keeper knows of the time before the store's current era.
type past struct {
	era        units.Era
	since      time.Time // when the era was first seen here, zero before any
	isFirstEra bool      // no process can have held a lease in an earlier era
}

// currentEra returns the latest known era of the store, and records when it began.
func (k *Keeper) currentEra() units.Era {
	var era units.Era
	if k.options.Era != nil {
		era = k.options.Era()
	}
	if started := k.past.since.IsZero(); started || era != k.past.era {
		isFirst := (started || k.past.era == 0) && (k.options.FirstStart || k.options.Era == nil)
		k.past = past{era: era, since: k.clock(), isFirstEra: isFirst}
	}
	return era
}

// knowsPast reports whether the store would know of any process that holds the lease now. A store that came back from a copy may
// have forgotten one, until a lease of its earlier era must have expired.
func (k *Keeper) knowsPast() bool {
	k.currentEra()
	return k.past.isFirstEra || k.clock().Sub(k.past.since) > k.options.Duration+k.options.Drift
}
