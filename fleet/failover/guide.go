package failover

import "math"

// Guide is one router's part: it follows the last plan that it heard of while that lives, then what was worked out ahead for
// those that hear nothing. It weighs nothing of what the router sees of engines: that stays the module's.
type Guide struct {
	zone  int
	zones int
	drift float64
	last  Published
	until float64
	sent  []float64 // work by zone, fading
	total float64
	at    float64
	limit float64 // price from which commands are shed while something fits nowhere
	asked float64 // work that came and that was kept, fading
	kept  float64
	lost  bool
}

// NewGuide of a router in a zone.
func NewGuide(zone, zones int, drift float64) *Guide {
	return &Guide{zone: zone, zones: zones, drift: drift, sent: make([]float64, zones), until: math.Inf(-1), limit: math.Inf(1)}
}

// Hear of a plan that was the newest when an answer to a question was written that was sent at that time.
func (g *Guide) Hear(sent float64, p Published) bool {
	if p.Epoch < g.last.Epoch || p.Plan.Check(g.zones) != nil || p.Still.Check2(g.zones) != nil {
		return false
	}
	if p.Else.Check(g.zones) != nil {
		p.Else = Plan{} // none: it is asked for with each command, so it is looked at here
	}
	g.last = p
	g.until = max(g.until, sent+Life*(1-g.drift)/(1+g.drift))
	return true
}

// See tells whether its own zone fails this router, by what it sees itself.
func (g *Guide) See(lost bool) { g.lost = lost }

// row of the plan that holds for this router's zone.
func (g *Guide) row() []float64 {
	row := g.last.Plan.Share[g.zone]
	if g.lost && row[g.zone] > 0 && g.last.Else.Share != nil {
		return g.last.Else.Share[g.zone]
	}
	return row
}

// Epoch of the plan that is followed now, 0: none.
func (g *Guide) Epoch(now float64) uint64 {
	if now >= g.until {
		return 0
	}
	return g.last.Epoch
}

const fade = 4.0 // seconds in which what was sent loses half its weight: some commands of a quiet router

func (g *Guide) pass(now float64) {
	if dt := now - g.at; dt > 0.05 {
		f := math.Exp2(-dt / fade)
		for z := range g.sent {
			g.sent[z] *= f
		}
		g.total, g.asked, g.kept, g.at = g.total*f, g.asked*f, g.kept*f, now
	}
}

// Sent tells that work went to a zone.
func (g *Guide) Sent(now float64, zone int, work float64) {
	if g.pass(now); zone >= 0 && zone < g.zones {
		g.sent[zone] += work
		g.total += work
	}
}

// Price of a zone, in load of an engine: what goes past its share is dear, what is planned away from is not to be had. ok is false where
// nothing was ever heard: the module's own price.
func (g *Guide) Price(now float64, zone int, work float64) (price float64, ok bool) {
	if g.last.Epoch == 0 || zone < 0 || zone >= g.zones {
		return 0, false
	}
	g.pass(now)
	row := g.row()
	if now >= g.until { // nothing heard of late: its own zone as the module thinks fit, others within what was spared for it
		if zone == g.zone {
			return 0, true
		}
		share := g.last.Still.Share[g.zone][zone]
		if g.sent[zone]+work > share*max(g.asked, g.total)+burst {
			return math.Inf(1), true
		}
		return 0.2, true // the module's own price of crossing
	}
	share := row[zone]
	if share <= 0 && !(zone < len(g.last.Room) && g.last.Room[zone] > 0) {
		return math.Inf(1), true // planned away from
	}
	over := (g.sent[zone] + work - share*max(g.asked, g.total+work)) / max(g.total, burst)
	const steep = 8.0 // an engine's whole load for an eighth of the work past the share
	price = steep * max(over, 0)
	if zone != g.zone && share <= 0 { // a burst may spill where there is room, as without a plan; more of it costs more
		price += 0.2
	}
	return price, true
}

const burst = 0.2 // core seconds that go anywhere: shares of less than a command are no use

// Keeps tells whether a command of that price (work per benefit) is let in. Where the plan has room for only a part, the dearest go
// first; the limit is found by what was let in of late.
func (g *Guide) Keeps(now, price, work float64) bool {
	if g.last.Epoch == 0 || now >= g.until {
		return true
	}
	g.pass(now)
	fits := 0.0
	for _, x := range g.row() {
		fits += x
	}
	g.asked += work
	if fits >= 0.999 {
		g.kept, g.limit = g.kept+work, math.Inf(1)
		return true
	}
	if math.IsInf(g.limit, 1) {
		g.limit = 2 * price
	}
	ok := price <= g.limit
	if ok {
		g.kept += work
	}
	const turn = 0.04 // a command: some tens of them find the limit
	if g.kept > fits*g.asked {
		g.limit *= 1 - turn
	} else {
		g.limit *= 1 + turn
	}
	return ok
}
