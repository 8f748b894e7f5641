package failover

import "math"

// This file keeps the demand of each zone while not all of its routers report.

// updateDemand updates the demand of each zone. Routers that lost their connection to the coordinators go on serving
// clients from servers that others may be sent to, so their last reported demand still counts. A lost zone that does not
// report has no demand. As soon as the first of its routers reports again the demand of all counts; otherwise the share
// given to one router would be used by all that return after it.
func (c *Controller) updateDemand(now float64, reports []Report) {
	// Seconds. A lower sum of the reports of some routers may be true, but without any report the demand is unknown.
	const partialHalfLife, silentHalfLife = 60.0, 600.0
	dt := min(max(now-c.demandUpdatedAt, 0), 5)
	c.demandUpdatedAt = now
	c.Demand = make([]float64, c.zones)
	if c.lastDemand == nil {
		c.lastDemand, c.reportingSince, c.lastReported = make([]float64, c.zones), make([]float64, c.zones), make([]float64, c.zones)
		copy(c.lastDemand, c.now.LastDemand)
	}
	for k := range reports {
		c.Demand[reports[k].Zone] += reports[k].Demand
	}
	for z, reported := range c.Demand {
		if reported == 0 {
			c.reportingSince[z] = math.Inf(1)
		} else if math.IsInf(c.reportingSince[z], 1) {
			c.reportingSince[z] = now
		}
		halfLife := partialHalfLife
		if reported == 0 {
			halfLife = silentHalfLife
		}
		c.lastDemand[z] = max(reported, c.lastDemand[z]*math.Exp2(-dt/halfLife))
		if reported > 0 {
			c.lastReported[z] = now
		}
		// The routers of a lost zone may only be disconnected: they follow the plan for its lifetime, and then the fallback
		// envelope.
		if v := c.LastAssessment.Zones[z]; now < c.lastReported[z]+c.maxAge() || v != Lost && v != Empty {
			c.Demand[z] = c.lastDemand[z]
		}
	}
}

// publishDemand publishes the zones' demand together with the unchanged shares. Without it, an owner that takes over while
// a zone's routers do not report would consider that zone's servers free.
func (c *Controller) publishDemand(now float64, demand, planCapacity []float64) (PublishedPlan, bool) {
	// A share of the zone's demand, and seconds between two updates, as each later plan must wait until all routers have this one.
	const minDifference, minInterval = 0.25, 60.0
	if now < c.startedAt+2*fullReportDelay || now < c.publishedAt+minInterval && c.now.LastDemand != nil {
		return c.now, false
	}
	for z, x := range c.lastDemand {
		published := 0.0
		if z < len(c.now.LastDemand) {
			published = c.now.LastDemand[z]
		}
		if math.Abs(x-published) > minDifference*max(x, published) && demand[z] > 0 {
			return c.publish(now, c.now.Plan, demand, planCapacity), true
		}
	}
	return c.now, false
}
