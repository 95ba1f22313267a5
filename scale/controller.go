package scale

import (
	"math"
	"slices"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// Controller decides on the orders for a service while this process holds the duty. It is not safe for concurrent use.
type Controller struct {
	Settings

	first   bool
	started time.Time
	zones   map[units.PlaceName]*zone
	sent    []time.Time // orders of the last hour
}

// zone is the state of the orders for an availability zone.
type zone struct {
	initial   int       // engines when the controller first saw the zone
	wanted    int       // engines of both kinds
	settled   bool      // the wanted number no longer follows the engines that appear
	shortFrom time.Time // since when fewer engines of both kinds serve than are wanted, zero if enough do
	need      int       // by the latest demand, zero before any
	busy      bool
	waitUntil time.Time // no order is sent before
	before    kindState // of the kind of the order in flight, before it
	raisedAt  time.Time
	loweredAt time.Time
	lowSince  time.Time // since when fewer engines are enough, zero if they are not
	lowNeed   int       // highest need since then
	kinds     [kinds]kindState
}

// kindState is the state of the orders for one kind.
type kindState struct {
	ordered     int // latest number, negative for none
	sentAt      time.Time
	reached     int  // most engines that served since, at most the number ordered
	withLeaving bool // some were leaving when it was sent
	outcome     Outcome
}

// New returns the controller of a new holder. First says that no process was the holder before.
func New(s Settings, first bool, now time.Time) *Controller {
	return &Controller{Settings: s, first: first, started: now, zones: map[units.PlaceName]*zone{}}
}

// Decide returns the orders to send now, at most one for each zone. Done must be called for each.
func (c *Controller) Decide(in Input) []Order {
	known := in.Known >= knownTime
	if !c.first && !known && in.Now.Sub(c.started) < adoptTime {
		return nil // the former holder knew more
	}
	var needs map[units.PlaceName]int
	if known {
		needs = c.zoneNeeds(in)
	}
	var orders []Order
	for _, seen := range in.Zones {
		z := c.zoneOf(seen, in)
		if known {
			z.settled = true
			z.need = needs[seen.Place]
			c.follow(z, in)
		}
		z.observe(seen, in.Now)
		if z.busy || in.Now.Before(z.waitUntil) || !c.mayOrder(in.Now) {
			continue
		}
		if o, ok := c.next(z, seen, in); ok {
			k := &z.kinds[o.Kind]
			z.before = *k
			*k = kindState{
				ordered: o.Count, sentAt: in.Now, reached: min(seen.Counts[o.Kind].Serving, o.Count), outcome: Unknown,
				withLeaving: seen.Counts[o.Kind].Leaving > 0,
			}
			z.busy = true
			z.settled = z.settled || o.Kind == OnDemand
			c.sent = append(c.sent, in.Now)
			o.Wanted, o.Need, o.Seen, o.Place = z.wanted, z.need, seen.Counts, seen.Place
			orders = append(orders, o)
		}
	}
	return orders
}

// Done records what became of an order.
func (c *Controller) Done(o Order, outcome Outcome, now time.Time) {
	z, ok := c.zones[o.Place]
	if !ok {
		return
	}
	z.busy = false
	if outcome == NotSent {
		z.kinds[o.Kind], z.waitUntil = z.before, now.Add(notSentTime)
		return
	}
	z.kinds[o.Kind].outcome, z.kinds[o.Kind].sentAt = outcome, now
}

// Wanted returns how many engines the zone wants, and how many the demand needs there.
func (c *Controller) Wanted(place units.PlaceName) (wanted, need int) {
	if z, ok := c.zones[place]; ok {
		return z.wanted, z.need
	}
	return 0, 0
}

// mayOrder reports whether another order is within the limit of the last hour.
func (c *Controller) mayOrder(now time.Time) bool {
	c.sent = slices.DeleteFunc(c.sent, func(at time.Time) bool { return now.Sub(at) > time.Hour })
	return len(c.sent) < c.OrdersPerHour
}

// zoneOf returns the state of a zone. Until on-demand engines are released or demand is known, the zone wants as many
// engines as it has: one that the registry shows late was there at the start too. While the kind changes there are engines of
// both kinds, so that the larger number counts.
func (c *Controller) zoneOf(seen Zone, in Input) *zone {
	z, ok := c.zones[seen.Place]
	if !ok {
		z = &zone{}
		for k := range z.kinds {
			z.kinds[k].ordered = -1
		}
		c.zones[seen.Place] = z
	}
	if !z.settled {
		present := max(seen.Counts[OnDemand].Serving, seen.Counts[Reclaimable].Serving)
		z.initial = max(z.initial, present)
		z.wanted = max(z.wanted, present)
	}
	z.wanted = min(max(z.wanted, in.Min), in.Max)
	return z
}

// follow adapts the wanted number to the need: up at once, down slowly.
func (c *Controller) follow(z *zone, in Input) {
	floor := int(math.Ceil(c.Keep * float64(z.initial)))
	need := min(max(z.need, floor, in.Min), in.Max)
	if need >= z.wanted {
		z.lowSince = time.Time{}
		if need > z.wanted {
			z.wanted, z.raisedAt = need, in.Now
		}
		return
	}
	if z.lowSince.IsZero() {
		z.lowSince, z.lowNeed = in.Now, 0
	}
	z.lowNeed = max(z.lowNeed, need)
	if in.Now.Sub(z.lowSince) < c.Hold || in.Now.Sub(z.raisedAt) < c.Pause || in.Now.Sub(z.loweredAt) < c.Pause {
		return
	}
	step := max(int(c.DecreaseShare*float64(z.wanted)), 1)
	z.wanted, z.loweredAt = max(z.wanted-step, z.lowNeed), in.Now
	z.lowSince = time.Time{}
}

// observe records how many of the ordered engines have served, and since when engines are missing.
func (z *zone) observe(seen Zone, now time.Time) {
	if seen.Counts[OnDemand].Serving+seen.Counts[Reclaimable].Serving >= z.wanted {
		z.shortFrom = time.Time{}
	} else if z.shortFrom.IsZero() {
		z.shortFrom = now
	}
	for kind := range z.kinds {
		k := &z.kinds[kind]
		k.reached = max(k.reached, min(seen.Counts[kind].Serving, max(k.ordered, 0)))
	}
}

// next returns the next order for a zone, if one is due: first one that adds engines.
func (c *Controller) next(z *zone, seen Zone, in Input) (Order, bool) {
	onDemand, reclaimable := seen.Counts[OnDemand].Serving, seen.Counts[Reclaimable].Serving
	if !c.ReclaimableUse {
		return z.adjust(OnDemand, z.wanted, onDemand, in)
	}
	if o, ok := z.orderReclaimable(onDemand, reclaimable, in); ok {
		return o, ok
	}
	missing := z.wanted - reclaimable
	if onDemand < missing {
		return z.substitute(missing, seen, in)
	}
	target := max(missing, 0)
	if onDemand > target || z.pendingOnDemand(in) > target {
		return z.release(target, onDemand, reclaimable, in)
	}
	return z.releaseAhead(seen, in)
}

// orderReclaimable orders as many reclaimable engines as are wanted and as there is room for beside the on-demand ones.
func (z *zone) orderReclaimable(onDemand, reclaimable int, in Input) (Order, bool) {
	if onDemand > 0 && reclaimable > z.wanted {
		return Order{}, false // on-demand engines leave first
	}
	room := in.Max - max(onDemand, z.pendingOnDemand(in))
	target := min(z.wanted, room)
	if target < reclaimable && z.wanted >= reclaimable {
		return Order{}, false
	}
	return z.adjust(Reclaimable, max(target, 0), reclaimable, in)
}

// pendingOnDemand returns the number of on-demand engines that may still appear.
func (z *zone) pendingOnDemand(in Input) int {
	k := &z.kinds[OnDemand]
	if k.ordered < 0 || in.Now.Sub(k.sentAt) > in.BootTime+bootMargin {
		return 0
	}
	return k.ordered
}

// adjust orders a number of engines of a kind, unless it is ordered already and may still be carried out.
func (z *zone) adjust(kind Kind, target, serving int, in Input) (Order, bool) {
	k := &z.kinds[kind]
	order := Order{Kind: kind, Count: target}
	if target == serving && (k.ordered < 0 || k.ordered == target) {
		return Order{}, false
	}
	age := in.Now.Sub(k.sentAt)
	switch {
	case k.ordered >= 0 && k.outcome == Refused && age < refusedTime,
		k.ordered >= 0 && (k.outcome == Unavailable || k.outcome == Unknown) && age < repeatTime:
		return Order{}, false
	case k.ordered != target && target > serving:
		order.Reason = "more are wanted"
	case k.ordered != target:
		order.Reason = "fewer are enough"
	case k.outcome != Accepted:
		order.Reason = "earlier order was " + k.outcome.String()
	case serving > target:
		if age < drainMargin {
			return Order{}, false
		}
		order.Reason = "engines have not left"
	case serving < k.reached || k.withLeaving:
		if age < repeatTime {
			return Order{}, false
		}
		order.Reason = "engines were taken away"
	case age < in.BootTime+bootMargin:
		return Order{}, false
	default:
		order.Reason = "engines have not appeared"
	}
	return order, true
}

// substitute orders on-demand engines in place of reclaimable ones that are not available, or that should have appeared.
func (z *zone) substitute(count int, seen Zone, in Input) (Order, bool) {
	k := &z.kinds[Reclaimable]
	late := !z.shortFrom.IsZero() && in.Now.Sub(z.shortFrom) > in.BootTime+bootMargin
	// Engines that leave may still count to the zone's bound, in which case none of the other kind is available yet.
	unavailable := k.ordered >= 0 && k.outcome == Unavailable && seen.Counts[OnDemand].Leaving == 0
	if !late && !unavailable {
		return Order{}, false
	}
	o, ok := z.adjust(OnDemand, min(count, in.Max-seen.Counts[Reclaimable].Serving), seen.Counts[OnDemand].Serving, in)
	if ok && o.Count > seen.Counts[OnDemand].Serving {
		o.Reason = "reclaimable engines are not available"
	}
	return o, ok
}

// release gives up the on-demand engines whose replacements serve.
func (z *zone) release(target, onDemand, reclaimable int, in Input) (Order, bool) {
	complete := reclaimable >= z.wanted
	if !complete && in.Now.Sub(z.kinds[OnDemand].sentAt) < stepTime || target+reclaimable < in.Min {
		return Order{}, false
	}
	o, ok := z.adjust(OnDemand, target, onDemand, in)
	if ok && o.Reason == "fewer are enough" {
		o.Reason = "replacements serve"
	}
	return o, ok
}

// releaseAhead gives up a part of the on-demand engines before their replacements serve, if the zone has no room for both.
func (z *zone) releaseAhead(seen Zone, in Input) (Order, bool) {
	onDemand, reclaimable := seen.Counts[OnDemand].Serving, seen.Counts[Reclaimable].Serving
	if onDemand == 0 || onDemand+reclaimable < in.Max || seen.Counts[OnDemand].Leaving > 0 ||
		z.kinds[Reclaimable].outcome == Unavailable && z.kinds[Reclaimable].ordered >= 0 {
		return Order{}, false
	}
	left := onDemand - max(int(swapShare*float64(z.wanted)), 1)
	if left < 0 || left+reclaimable < max(z.need, in.Min) {
		return Order{}, false
	}
	o, ok := z.adjust(OnDemand, left, onDemand, in)
	o.Reason = "no room for replacements"
	return o, ok
}
