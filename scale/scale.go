// Package scale decides how many engines of each kind a service wants in each availability zone, without any I/O.
package scale

import (
	"cmp"
	"fmt"
	"time"

	"github.com/buckthorntrack/buckthorntrack/demand"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Kind is how engines are paid for.
type Kind int

// Kinds of engines.
const (
	OnDemand    Kind = iota
	Reclaimable      // cheaper; the platform may take them away
	kinds
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	if k == Reclaimable {
		return "reclaimable"
	}
	return "onDemand"
}

// Settings are the limits of the controller.
type Settings struct {
	PrefillUse     float64       // share of the time that prefill engines are busy, as aimed at
	RunUse         float64       // share of slots and KV cache that is occupied, as aimed at
	Keep           float64       // share of the engines at the start that is never given up
	Hold           time.Duration // how long fewer engines must be enough before a decrease
	Pause          time.Duration // least time from an increase or a decrease to a decrease in a zone
	DecreaseShare  float64       // largest share of a zone's engines in one decrease
	OrdersPerHour  int           // most orders in an hour
	ReclaimableUse bool          // reclaimable engines are ordered
}

// Count is the number of engines of one kind in a zone, as the registry shows them.
type Count struct {
	Serving int
	Leaving int
}

// Zone is an availability zone with its engines.
type Zone struct {
	Place  units.PlaceName
	Region units.RegionName
	Price  float64 // of an on-demand engine
	Counts [kinds]Count
}

// cheaper orders zones by price.
func cheaper(a, b Zone) int {
	return cmp.Or(cmp.Compare(a.Price, b.Price), cmp.Compare(a.Place, b.Place))
}

// Input is what the controller decides on.
type Input struct {
	Now      time.Time
	Zones    []Zone
	Min, Max int           // bounds of both kinds together in a zone
	BootTime time.Duration // from an order until the engine serves
	Capacity Capacity
	Known    time.Duration // how long demand has been measured, zero for not at all
	// Demand returns the demand by callers of a region, of all for an empty name.
	Demand func(region units.RegionName) demand.Load
}

// Order asks for a number of engines of a kind in a zone.
type Order struct {
	Place  units.PlaceName
	Kind   Kind
	Count  int
	Reason string
	Wanted int // engines of both kinds that the zone wants
	Need   int // engines that the demand of the last minute needs there
	Seen   [kinds]Count
}

// String describes the order for a log line.
func (o Order) String() string {
	return fmt.Sprintf("%s %s %d (%s, wanted %d, needed %d)", o.Place, o.Kind, o.Count, o.Reason, o.Wanted, o.Need)
}

// Reasons of orders that depend on the kind.
const (
	reasonMore  = "more are wanted"
	reasonFewer = "fewer are enough"
	// reasonRestate is that of an order for the engines that are there, which replaces an order that is not known.
	reasonRestate = "others were refused, stating what is there"
)

// Outcome is what became of an order.
type Outcome int

// Outcomes of orders.
const (
	Accepted    Outcome = iota
	Unavailable         // no engines of the kind are available in the zone now
	Refused             // rejected for any other reason, and certainly not carried out
	Unknown             // may have been carried out, or may still be
	NotSent             // not sent for now, as too many calls are made or another one may still be carried out
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"accepted", "unavailable", "refused", "unknown", "notSent"}[o]
}

const (
	// KnownTime is how long demand must have been measured before it counts: the rates are means of three seconds.
	KnownTime = 4 * time.Second
	// adoptTime is how long a holder that is not the first one waits for the demand. Processes report every second, so that it
	// is known by then even if some reports are lost.
	adoptTime = 6 * time.Second
	// repeatTime is the interval between orders for engines that are not available or that were taken away: new ones were
	// available 4 s after a zone had lost all.
	repeatTime = 2 * time.Second
	// refusalsToDouble is the number of refusals after which the wait for engines that are not available doubles, and
	// maxDoublings the number of times that it does.
	refusalsToDouble = 3
	maxDoublings     = 3
	// notSentTime is the wait after an order that was not sent.
	notSentTime = 500 * time.Millisecond
	// refusedTime is the wait after an order that was refused.
	refusedTime = 5 * time.Second
	// bootMargin is the time beyond the start time after which engines that do not appear count as lost.
	bootMargin = 2500 * time.Millisecond
	// stepTime is the least time between orders that release engines one after the other as replacements appear.
	stepTime = 1500 * time.Millisecond
	// arriveTime is the time within which engines of one order appear one after the other.
	arriveTime = 500 * time.Millisecond
	// drainMargin is the time after an order to release within which the engines should have begun to leave.
	drainMargin = 5 * time.Second
	// aheadTime is the time since no reclaimable engines were available after which on-demand engines are released ahead.
	aheadTime = 30 * time.Second
	// swapShare is the share of a zone's on-demand engines that are released ahead of their replacements if the zone
	// has no room for both.
	swapShare = 0.2
)
