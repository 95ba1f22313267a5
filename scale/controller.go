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
	shortFrom time.Time // since when fewer reclaimable engines serve than are ordered, zero if enough do
	// reclaimable is the number of reclaimable engines that served last, and changedAt when it changed.
	reclaimable int
	changedAt   time.Time
	// substitutes is the number of on-demand engines in place of reclaimable ones.
	substitutes int
	uncovered   int // engines of the zone that no other zone has or has ordered
	need        int // by the latest demand, zero before any
	busy        bool
	restate     bool // an order was refused, so that the engines that are there of the other kind are stated
	restated    Kind
	waitUntil   time.Time // no order is sent before
	before      kindState // of the kind of the order in flight, before it
	raisedAt    time.Time
	loweredAt   time.Time
	lowSince    time.Time // since when fewer engines are enough, zero if they are not
	lowNeed     int       // highest need since then
	kinds       [kinds]kindState
}

// kindState is the state of the orders for one kind.
type kindState struct {
	ordered     int // latest number, negative for none
	sentAt      time.Time
	reached     int  // most engines that served since, at most the number ordered
	withLeaving bool // some were leaving when it was sent
	outcome     Outcome
	inForce     int       // latest number that the platform accepted or may have accepted, negative for none
	refusals    int       // consecutive times that none were available
	refusedAt   time.Time // last of these
}

// New returns the controller of a new holder. First says that no process was the holder before.
func New(s Settings, first bool, now time.Time) *Controller {
	return &Controller{Settings: s, first: first, started: now, zones: map[units.PlaceName]*zone{}}
}

// Decide returns the orders to send now, at most one for each zone. Done must be called for each.
func (c *Controller) Decide(in Input) []Order {
	known := in.Known >= KnownTime
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
	}
	c.cover(in)
	for _, seen := range in.Zones {
		z := c.zones[seen.Place]
		if z.busy || in.Now.Before(z.waitUntil) || !c.mayOrder(in.Now) {
			continue
		}
		if o, ok := c.next(z, seen, in); ok {
			k := &z.kinds[o.Kind]
			z.before = *k
			k.ordered, k.sentAt, k.outcome = o.Count, in.Now, Unknown
			k.reached = min(seen.Counts[o.Kind].Serving, o.Count)
			k.withLeaving = seen.Counts[o.Kind].Leaving > 0
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
	k := &z.kinds[o.Kind]
	k.outcome, k.sentAt = outcome, now
	switch outcome {
	case Refused:
		// An order of a former holder for the other kind may take the room.
		z.restate = o.Reason != reasonRestate
		z.restated = OnDemand + Reclaimable - o.Kind
	case NotSent: // see above
	case Unavailable:
		k.refusals++
		k.refusedAt = now
	case Accepted, Unknown:
		k.inForce, k.refusals = o.Count, 0
	}
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
			z.kinds[k].ordered, z.kinds[k].inForce = -1, -1
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
	if len(c.sent) >= c.OrdersPerHour/2 { // the rest is for additions
		return
	}
	if in.Now.Sub(z.lowSince) < c.Hold || in.Now.Sub(z.raisedAt) < c.Pause || in.Now.Sub(z.loweredAt) < c.Pause {
		return
	}
	step := max(int(c.DecreaseShare*float64(z.wanted)), 1)
	z.wanted, z.loweredAt = max(z.wanted-step, z.lowNeed), in.Now
	z.lowSince = time.Time{}
}

// observe records how many of the ordered engines have served, and since when engines are missing.
func (z *zone) observe(seen Zone, now time.Time) {
	if seen.Counts[Reclaimable].Serving >= z.kinds[Reclaimable].ordered {
		z.shortFrom = time.Time{}
	} else if z.shortFrom.IsZero() {
		z.shortFrom = now
	}
	if serving := seen.Counts[Reclaimable].Serving; serving != z.reclaimable {
		if serving > z.reclaimable && !z.shortFrom.IsZero() {
			z.shortFrom = now // engines of an earlier order appear
		}
		z.reclaimable, z.changedAt = serving, now
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
	if z.restate {
		z.restate = false
		k, serving := &z.kinds[z.restated], seen.Counts[z.restated].Serving
		if k.inForce != serving && in.Now.Sub(k.sentAt) > in.BootTime+bootMargin {
			return Order{Kind: z.restated, Count: serving, Reason: reasonRestate}, true
		}
	}
	wantOnDemand, wantReclaimable := z.plan(seen, in)
	if o, ok := z.adjust(Reclaimable, wantReclaimable, reclaimable, in); ok {
		return o, ok
	}
	if wantOnDemand > onDemand {
		if z.kinds[Reclaimable].inForce > reclaimable && z.kinds[Reclaimable].inForce+wantOnDemand > in.Max {
			return Order{}, false // a smaller number of reclaimable engines is accepted first
		}
		o, ok := z.adjust(OnDemand, wantOnDemand, onDemand, in)
		if ok && o.Reason == reasonMore {
			o.Reason = "reclaimable engines are not available"
		}
		return o, ok
	}
	if onDemand > wantOnDemand || z.pendingOnDemand(in) > wantOnDemand {
		return z.release(wantOnDemand, onDemand, reclaimable, in)
	}
	return z.releaseAhead(seen, in)
}

// plan returns the numbers of engines of both kinds that the zone should have next. On-demand engines stay until others serve
// in their place, and substitute reclaimable ones that are not available or have not appeared in time. There are as many
// reclaimable ones as are wanted and as there is room for beside the on-demand ones.
func (z *zone) plan(seen Zone, in Input) (onDemand, reclaimable int) {
	present, serving := seen.Counts[OnDemand].Serving, seen.Counts[Reclaimable].Serving
	missing := max(z.wanted-serving, 0)
	if z.lacksReclaimable(seen, in) {
		z.substitutes = max(z.uncovered, present)
	}
	z.substitutes = min(z.substitutes, missing)
	// The last engines of the minimum are ordered away only when the others serve.
	onDemand = min(max(present, min(z.substitutes, in.Max-in.Min)), missing, max(in.Max-serving, 0))
	reclaimable = min(z.wanted, max(in.Max-max(present, onDemand, z.pendingOnDemand(in)), 0))
	if reclaimable < serving && (present > 0 || z.wanted >= serving) {
		reclaimable = serving // on-demand engines leave first
	}
	return onDemand, reclaimable
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
		k.ordered >= 0 && k.outcome == Unknown && age < repeatTime,
		k.ordered >= 0 && k.outcome == Unavailable && target >= k.ordered && age < k.unavailableWait():
		return Order{}, false
	case k.ordered != target && target > serving:
		order.Reason = reasonMore
	case k.ordered != target:
		order.Reason = reasonFewer
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

// unavailableWait returns the time until engines that were not available are ordered again.
func (k *kindState) unavailableWait() time.Duration {
	return repeatTime << min(max(k.refusals-1, 0)/refusalsToDouble, maxDoublings)
}

// release gives up the on-demand engines whose replacements serve.
func (z *zone) release(target, onDemand, reclaimable int, in Input) (Order, bool) {
	complete := reclaimable >= z.wanted
	if !complete && in.Now.Sub(z.kinds[OnDemand].sentAt) < stepTime || !complete && in.Now.Sub(z.changedAt) < arriveTime || target+reclaimable < in.Min {
		return Order{}, false
	}
	o, ok := z.adjust(OnDemand, target, onDemand, in)
	if ok && o.Reason == reasonFewer {
		o.Reason = "replacements serve"
	}
	return o, ok
}

// releaseAhead gives up a part of the on-demand engines before their replacements serve, if the zone has no room for both.
func (z *zone) releaseAhead(seen Zone, in Input) (Order, bool) {
	onDemand, reclaimable := seen.Counts[OnDemand].Serving, seen.Counts[Reclaimable].Serving
	if onDemand == 0 || onDemand+reclaimable < in.Max || seen.Counts[OnDemand].Leaving > 0 ||
		in.Now.Sub(z.kinds[Reclaimable].refusedAt) < aheadTime {
		return Order{}, false
	}
	left := max(onDemand-max(int(swapShare*float64(z.wanted)), 1), 0)
	// The others carry the load as after a loss, for the time until the replacements serve.
	if left+reclaimable < max(int(math.Ceil(float64(z.need)/lossRoom)), in.Min) {
		return Order{}, false
	}
	o, ok := z.adjust(OnDemand, left, onDemand, in)
	o.Reason = "no room for replacements"
	z.substitutes = min(z.substitutes, left)
	return o, ok
}
