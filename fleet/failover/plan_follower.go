package failover

import "math"

// PlanFollower is the part of one router. It follows the last plan received until the plan expires, and then the fallback
// envelope that was computed in advance for routers without a connection to the coordinators. It does not evaluate what the
// router observes of individual servers; the admission controller does that.
type PlanFollower struct {
	zone        int
	zones       int
	clockDrift  float64
	current     PublishedPlan
	expiresAt   float64
	sentByZone  []float64 // core seconds sent by zone, decaying
	sentTotal   float64
	decayedAt   float64
	priceLimit  float64 // price above which requests are rejected while the plan cannot place all work
	offered     float64 // work that arrived, decaying
	admitted    float64
	ownZoneLost bool
}

// NewPlanFollower returns the plan follower of a router in a zone.
func NewPlanFollower(zone, zones int, clockDrift float64) *PlanFollower {
	return &PlanFollower{zone: zone, zones: zones, clockDrift: clockDrift, sentByZone: make([]float64, zones), expiresAt: math.Inf(-1), priceLimit: math.Inf(1)}
}

// Receive takes a plan that was the newest one when a coordinator answered a request sent at askedAt. It returns false for
// an older or invalid plan.
func (g *PlanFollower) Receive(askedAt float64, p PublishedPlan) bool {
	if p.Epoch < g.current.Epoch || p.Plan.Check(g.zones) != nil || p.Fallback.CheckEnvelope(g.zones) != nil {
		return false
	}
	if p.ZoneLoss.Check(g.zones) != nil {
		p.ZoneLoss = Plan{} // treated as absent; validated here because it is read for every request
	}
	g.current = p
	g.expiresAt = max(g.expiresAt, askedAt+Lifetime*(1-g.clockDrift)/(1+g.clockDrift))
	return true
}

// SetOwnZoneLost sets whether the router's own zone fails, by the router's own observations.
func (g *PlanFollower) SetOwnZoneLost(ownZoneLost bool) { g.ownZoneLost = ownZoneLost }

// activeRow returns the row of the plan that applies to this router's zone.
func (g *PlanFollower) activeRow() []float64 {
	activeRow := g.current.Plan.Share[g.zone]
	if g.ownZoneLost && activeRow[g.zone] > 0 && g.current.ZoneLoss.Share != nil {
		return g.current.ZoneLoss.Share[g.zone]
	}
	return activeRow
}

// Epoch returns the epoch of the plan that is followed now, 0: none.
func (g *PlanFollower) Epoch(now float64) uint64 {
	if now >= g.expiresAt {
		return 0
	}
	return g.current.Epoch
}

const sentHalfLife = 4.0 // seconds in which the weight of sent work halves; spans several requests of a quiet router

func (g *PlanFollower) decay(now float64) {
	if dt := now - g.decayedAt; dt > 0.05 {
		factor := math.Exp2(-dt / sentHalfLife)
		for z := range g.sentByZone {
			g.sentByZone[z] *= factor
		}
		g.sentTotal, g.offered, g.admitted, g.decayedAt = g.sentTotal*factor, g.offered*factor, g.admitted*factor, now
	}
}

// RecordSent records work that was sent to a zone.
func (g *PlanFollower) RecordSent(now float64, zone int, work float64) {
	if g.decay(now); zone >= 0 && zone < g.zones {
		g.sentByZone[zone] += work
		g.sentTotal += work
	}
}

// Price returns the price of a zone in units of server load. Work in excess of the zone's share is expensive, and a zone
// that the plan moves work away from is unavailable. ok is false if no plan was ever received; then the admission
// controller uses its own price.
func (g *PlanFollower) Price(now float64, zone int, work float64) (price float64, ok bool) {
	if g.current.Epoch == 0 || zone < 0 || zone >= g.zones {
		return 0, false
	}
	g.decay(now)
	activeRow := g.activeRow()
	if now >= g.expiresAt { // no recent plan: the router's own zone at the default price, others within the fallback envelope
		if zone == g.zone {
			return 0, true
		}
		share := g.current.Fallback.Share[g.zone][zone]
		if g.sentByZone[zone]+work > share*max(g.offered, g.sentTotal)+burstAllowance {
			return math.Inf(1), true
		}
		return 0.2, true // the default price of leaving the zone
	}
	share := activeRow[zone]
	if share <= 0 && !(zone < len(g.current.PlanCapacity) && g.current.PlanCapacity[zone] > 0) {
		return math.Inf(1), true // the plan moves work away from this zone
	}
	excess := (g.sentByZone[zone] + work - share*max(g.offered, g.sentTotal+work)) / max(g.sentTotal, burstAllowance)
	const excessFactor = 8.0 // one eighth of the work in excess of the share costs as much as a fully loaded server
	price = excessFactor * max(excess, 0)
	// A burst may spill into a zone with free capacity, as it may without a plan. The more work is in excess, the more it costs.
	if zone != g.zone && share <= 0 {
		price += 0.2
	}
	return price, true
}

const burstAllowance = 0.2 // core seconds that may go anywhere: a share of less than one request is of no use

// Admits reports whether a request with this price (work per benefit) is admitted. While the plan has capacity for only
// part of the work, the most expensive requests are rejected first. The price limit adapts to the share that was admitted
// recently.
func (g *PlanFollower) Admits(now, price, work float64) bool {
	if g.current.Epoch == 0 || now >= g.expiresAt {
		return true
	}
	g.decay(now)
	servedShare := 0.0
	for _, x := range g.activeRow() {
		servedShare += x
	}
	g.offered += work
	if servedShare >= 0.999 {
		g.admitted, g.priceLimit = g.admitted+work, math.Inf(1)
		return true
	}
	if math.IsInf(g.priceLimit, 1) {
		g.priceLimit = 2 * price
	}
	admit := price <= g.priceLimit
	if admit {
		g.admitted += work
	}
	const limitStep = 0.04 // per request: the limit converges within some tens of requests
	if g.admitted > servedShare*g.offered {
		g.priceLimit *= 1 - limitStep
	} else {
		g.priceLimit *= 1 + limitStep
	}
	return admit
}
