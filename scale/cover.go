package scale

import "github.com/buckthorntrack/buckthorntrack/units"

// A zone that has lost its reclaimable engines may get none for a while. On-demand engines cost several times as much, and take as long
// to start as reclaimable ones in other zones, so that these carry the load first, as far as the bounds allow.

// lacksReclaimable reports whether the zone's reclaimable engines are not available or have not appeared in time.
func (z *zone) lacksReclaimable(seen Zone, in Input) bool {
	k := &z.kinds[Reclaimable]
	late := !z.shortFrom.IsZero() && in.Now.Sub(z.shortFrom) > in.BootTime+bootMargin
	// On-demand engines that leave may still count to the zone's bound, so that no others are available yet.
	return late || k.ordered >= 0 && k.outcome == Unavailable && seen.Counts[OnDemand].Leaving == 0
}

// cover lets the zones with reclaimable engines want more in place of those that have none, and sets how many engines are left that no
// zone has or has ordered.
func (c *Controller) cover(in Input) {
	total, missing, others := 0, 0, 0
	for _, seen := range in.Zones {
		z := c.zones[seen.Place]
		z.uncovered = 0
		total += c.base(z, in)
		if z.lacksReclaimable(seen, in) {
			missing += max(c.base(z, in)-seen.Counts[Reclaimable].Serving, 0)
		} else {
			others++
		}
	}
	if missing == 0 || !c.ReclaimableUse {
		return
	}
	if others > 0 {
		extra := (missing + others - 1) / others
		for _, seen := range in.Zones {
			if z := c.zones[seen.Place]; !z.lacksReclaimable(seen, in) {
				if more := min(c.base(z, in)+extra, in.Max); more > z.wanted {
					z.wanted, z.raisedAt = more, in.Now
				}
			}
		}
	}
	for _, seen := range in.Zones {
		z := c.zones[seen.Place]
		z.uncovered = max(total-c.present(in, seen.Place)-seen.Counts[Reclaimable].Serving, in.Min)
	}
}

// base returns how many engines the zone needs, or had at the start if no demand is known.
func (c *Controller) base(z *zone, in Input) int {
	if z.need == 0 {
		return min(max(z.initial, in.Min), in.Max)
	}
	return min(max(z.need, in.Min), in.Max)
}

// present returns the engines that all zones but one have or have ordered.
func (c *Controller) present(in Input, except units.PlaceName) int {
	sum := 0
	for _, seen := range in.Zones {
		if seen.Place == except {
			continue
		}
		z := c.zones[seen.Place]
		reclaimable := seen.Counts[Reclaimable].Serving
		if !z.lacksReclaimable(seen, in) {
			reclaimable = max(reclaimable, z.wanted-seen.Counts[OnDemand].Serving) // they are ordered now
		}
		sum += seen.Counts[OnDemand].Serving + reclaimable
	}
	return sum
}
