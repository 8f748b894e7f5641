package failover

import "slices"

// This file limits how much of the fleet's work a plan moves out of its zones.

// defaultMaxMoved is the share of the fleet's work that may be moved per minute if the configuration names none.
const defaultMaxMoved = 0.75

// move is work that was moved out of its zone, in core seconds per second.
type move struct{ at, work float64 }

// limitMoves keeps the work moved out of its zones within a minute under the limit, a share of what the whole fleet has: a part moves now,
// the rest in a later minute. Returning work does not count and is not held back, as the return steps of its zone already limit it. If it did
// count, a zone that is lost again would find the minute's limit used up by its own return, and its work would be rejected
// while other zones have capacity.
func (c *Controller) limitMoves(now float64, target Plan, demand []float64, orders Orders) Plan {
	maxShare := c.cfg.MaxMovedPerMinute
	if maxShare <= 0 {
		maxShare = defaultMaxMoved
	}
	allowed := max(maxShare*c.fleetDemand()-c.movedRecently(now), 0)
	wanted := movedWork(c.now.Plan, target, demand)
	if orders.Unlimited || wanted <= allowed {
		return target
	}
	fraction := allowed / wanted
	p := c.now.Plan.Clone()
	for o := range p.Share {
		returnsHome := true // this row's work only returns to its own zone
		for z, x := range p.Share[o] {
			returnsHome = returnsHome && (z == o || target.Share[o][z] <= x)
		}
		for z := range p.Share[o] {
			if targetShare := target.Share[o][z]; returnsHome || targetShare < p.Share[o][z] && c.zoneStatus[z].movedAway && !c.serves(z) {
				p.Share[o][z] = targetShare // work sent to a lost zone fails, so it is rejected at once
			} else {
				p.Share[o][z] += fraction * (targetShare - p.Share[o][z])
			}
		}
	}
	return p
}

// fleetDemand returns the work of the whole fleet as far as it has ever been reported, in core seconds per second. At a start, where some
// zones report before others, it grows as they do.
func (c *Controller) fleetDemand() (total float64) {
	for _, demand := range c.lastDemand {
		total += demand
	}
	return total
}

// movedRecently returns the work that was moved out of its zones within the last minute, in core seconds per second, and forgets older moves.
func (c *Controller) movedRecently(now float64) (work float64) {
	const period = 60.0 // seconds
	c.moves = slices.DeleteFunc(c.moves, func(m move) bool { return now-m.at >= period })
	for _, m := range c.moves {
		work += m.work
	}
	return work
}

// movedWork returns the demand that goes to a zone other than its own under plan b but not under plan a.
func movedWork(a, b Plan, demand []float64) (moved float64) {
	for o := range demand {
		for z := range demand {
			if z != o {
				moved += max(b.Share[o][z]-a.Share[o][z], 0) * demand[o]
			}
		}
	}
	return moved
}
