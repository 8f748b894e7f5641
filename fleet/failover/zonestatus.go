package failover

import "math"

// This file decides when a plan moves work away from a zone and when it returns, with hysteresis.

// zoneStatus is the status of a zone, with hysteresis.
type zoneStatus struct {
	movedAway         bool    // the plan moves work away from the zone
	contradictedSince float64 // since when the evidence has contradicted movedAway, 0: it does not
	awayUntil         float64 // work does not return earlier
	relapses          int
	capacityShare     float64 // share of its capacity that the plan uses while work returns, 1: all
	steppedAt         float64
}

// Parameters of the hysteresis.
const (
	lostDelay     = 0.5 // seconds that a zone must appear lost: two evaluations; its routers have suspected it for longer
	failingDelay  = 2.0 // seconds that a zone must appear failing
	recoveryDelay = 3.0 // seconds that a zone must appear healthy again
	firstAwayTime = 8.0 // seconds before work returns to a zone for the first time
	// Seconds before work returns after a relapse; doubles each time. A probe of the zone costs three plans, and two plans per minute
	// are acceptable.
	relapseAwayTime    = 120.0
	maxAwayTime        = 300.0 // upper bound of the doubling
	relapseMemory      = 120.0 // seconds without a relapse after awayUntil that reset the count
	returnStep         = 0.34  // share of a zone's capacity that returns in one step
	returnStepInterval = 2.0   // seconds between two return steps, so that the effect on the zone shows in reports
	firstStepInterval  = 4.0   // seconds after the first, small step: it probes a zone that may fail again at once
)

// updateStatus moves work away from zones and back, with hysteresis. urgent is true if a zone changed between the two.
func (c *Controller) updateStatus(now float64, orders Orders) (urgent bool) {
	for z := range c.zoneStatus {
		s := &c.zoneStatus[z]
		v := c.LastAssessment.Zones[z]
		evacuated := z < len(orders.Evacuate) && orders.Evacuate[z]
		bad := v == Lost || v == Empty || v == Draining || v == Failing || evacuated
		delay := lostDelay
		if v == Failing {
			delay = failingDelay
		}
		if s.movedAway {
			delay = recoveryDelay
		}
		if v == Unknown && !evacuated {
			// Nobody sends attempts there, so there is no evidence. A zone that work was moved away from is probed by a
			// first small step at awayUntil. Any other zone keeps its status.
			bad = s.movedAway && now < s.awayUntil
		}
		if bad == s.movedAway {
			s.contradictedSince = 0
		} else if s.contradictedSince == 0 {
			s.contradictedSince = now
		}
		switch {
		case s.contradictedSince == 0 || now < s.contradictedSince+delay && !evacuated:
		case !s.movedAway:
			if now > s.awayUntil+relapseMemory {
				s.relapses = 0
			}
			s.movedAway, s.contradictedSince, s.capacityShare = true, 0, 0
			if s.awayUntil = now + firstAwayTime; s.relapses > 0 {
				s.awayUntil = now + min(relapseAwayTime*math.Pow(2, float64(min(s.relapses-1, 10))), maxAwayTime)
			}
			s.relapses++
			urgent = true
		case now >= s.awayUntil:
			s.movedAway, s.contradictedSince, s.capacityShare, s.steppedAt = false, 0, returnStep/2, now
			urgent = true
		}
		interval := returnStepInterval
		if s.capacityShare < returnStep {
			interval = firstStepInterval
		}
		if !s.movedAway && s.capacityShare < 1 && now >= s.steppedAt+interval && (v == Healthy || v == Unknown) {
			s.capacityShare, s.steppedAt = min(s.capacityShare+returnStep, 1), now
		}
	}
	return urgent
}
