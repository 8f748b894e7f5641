package failover

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Config holds the parameters of a controller.
type Config struct {
	Lifetime     float64     // seconds that a router follows a plan, counted from its request for the plan
	Drift        float64     // largest relative error of clocks
	RoundTrip    [][]float64 // round trip between zones in seconds
	MaxRoundTrip float64     // longest round trip in seconds that the latency targets allow, 0: no limit
	// Share of the fleet's work that may be moved out of its zones per minute, 0: three quarters. Only an operator can lift the limit.
	MaxMovedPerMinute float64
}

// Lifetime is the standard lifetime of a plan in seconds: three times the interval of the reports that renew it.
const Lifetime = 3.0

// Orders are an operator's instructions, agreed on by the quorum like plans.
type Orders struct {
	Evacuate  []bool `json:"away,omitempty"`   // zones to be evacuated
	Freeze    bool   `json:"freeze,omitempty"` // the plan does not change automatically
	Unlimited bool   `json:"free,omitempty"`   // no limit on the work moved per minute
}

// PublishedPlan is the information that all routers receive.
type PublishedPlan struct {
	Epoch    uint64 `json:"epoch"`
	Plan     Plan   `json:"plan"`
	Fallback Plan   `json:"still"` // envelope for routers that receive no plan: their own zone and a part of the other zones' spare capacity
	ZoneLoss Plan   `json:"else"`  // rows for origins whose own zone fails before the next plan; allows for the loss of two zones at a time
	Reason   string `json:"why,omitempty"`

	Zones        []string  `json:"zones,omitempty"`  // zone names
	Demand       []float64 `json:"demand,omitempty"` // by zone: core seconds per second that the plan was computed for
	PlanCapacity []float64 `json:"room,omitempty"`   // by zone: capacity
	LastDemand   []float64 `json:"asked,omitempty"`  // by zone: last known demand, even if the zone does not report now; for the next owner
}

// Controller computes plans and the steps between them. Only the owner of the fleet's plan runs one.
type Controller struct {
	cfg               Config
	zones             int
	capacity          *Capacity
	now               PublishedPlan
	previous          PublishedPlan // some routers may still follow it
	fallbacks         Plan          // largest shares that any router without a connection may still use, by what it received last
	publishedAt       float64       // when now was published
	zoneStatus        []zoneStatus
	moves             []move
	demandUpdatedAt   float64
	capacityUpdatedAt float64
	startedAt         float64
	Changes           []float64 // times at which the plan changed
	LastAssessment    Assessment
	lastDemand        []float64   // by zone: last known demand, decaying while the zone does not report
	unreached         []sustained // by zone: 1 if its own routers do not reach it
	slowdown          []sustained // by zone: slowdown relative to the other zones, now or when last observed; 1: none
	lastReported      []float64   // by zone: time of the last report with demand
	incomplete        []bool      // by zone: some of its routers do not report, but may still serve clients
	reportingSince    []float64   // by zone: since when its routers report demand, +Inf: they do not
	Demand            []float64   // by zone: reported demand, and the last known demand of routers that do not report
	Load              []float64   // by zone: load from Demand under the plan
	PlanCapacity      []float64   // by zone: capacity that the plan counts on
}

// Bounds of a change.
const (
	minChange           = 0.04  // share of the fleet's work below which a change does not justify a new plan
	minReturnHome       = 0.002 // share of the fleet's work below which work that is away stays away
	urgentRejectedShare = 0.01  // share of work that is rejected although other zones have capacity, from which a new plan is made at once
	minChangeInterval   = 15.0  // seconds between two changes that are not urgent
	fallbackSpareShare  = 0.25  // share of a zone's spare capacity that is reserved for routers that receive no plan
	// Seconds until all routers of a returning zone report. Before that, more routers would use a share than have reported demand for it.
	fullReportDelay = 2.5
)

// NewController continues from the last published plan. Its Epoch is 0 if there was none.
func NewController(t Config, zones int, now float64, published PublishedPlan) *Controller {
	c := &Controller{cfg: t, zones: zones, capacity: NewCapacity(zones), now: published, publishedAt: now, startedAt: now, zoneStatus: make([]zoneStatus, zones),
		unreached: make([]sustained, zones), slowdown: make([]sustained, zones)}
	if c.now.Plan.Check(zones) != nil || c.now.Fallback.CheckEnvelope(zones) != nil {
		c.now = PublishedPlan{Epoch: published.Epoch, Plan: LocalPlan(zones), Fallback: LocalPlan(zones)}
	}
	c.previous, c.fallbacks = c.now, c.now.Fallback
	for z := range c.zoneStatus {
		c.zoneStatus[z].capacityShare, c.slowdown[z].value = 1, 1
		// A zone that the previous owner moved work away from stays so until the evidence contradicts it.
		if c.now.Plan.Load(ones(zones))[z] == 0 {
			c.zoneStatus[z].movedAway, c.zoneStatus[z].awayUntil, c.zoneStatus[z].capacityShare = true, now+firstAwayTime, 0
		}
	}
	return c
}

func ones(n int) []float64 {
	x := make([]float64, n)
	for k := range x {
		x[k] = 1
	}
	return x
}

// CheckEnvelope returns an error if p is not a valid envelope. Unlike those of a plan, the rows of an envelope may sum
// to more than 1.
func (p Plan) CheckEnvelope(zones int) error {
	if len(p.Share) != zones {
		return fmt.Errorf("envelope has %d zones, want %d", len(p.Share), zones)
	}
	for o, row := range p.Share {
		if len(row) != zones {
			return fmt.Errorf("zone %d: row has %d shares", o, len(row))
		}
		for _, x := range row {
			if !(x >= 0 && x <= 1+1e-6) {
				return fmt.Errorf("zone %d: invalid share %v", o, x)
			}
		}
	}
	return nil
}

// Now returns the plan that was published last.
func (c *Controller) Now() PublishedPlan { return c.now }

// maxAge returns how long a router may follow a plan after it last received it, for any clock within the drift.
func (c *Controller) maxAge() float64 { return c.cfg.Lifetime * (1 + c.cfg.Drift) / (1 - c.cfg.Drift) }

// Settled reports whether no router can follow an older plan than the last one: either all sessions have confirmed it, or
// older plans have expired on any clock within the drift.
func (c *Controller) Settled(now float64, reports []Report, sessions int) bool {
	if now >= c.publishedAt+c.maxAge() {
		return true
	}
	confirmed := 0
	for k := range reports {
		if reports[k].Epoch >= c.now.Epoch {
			confirmed++
		}
	}
	return confirmed >= sessions && sessions > 0
}

// Next evaluates one second's evidence. If ok is true, p is to be published under its epoch.
func (c *Controller) Next(now float64, reports []Report, sessions int, orders Orders) (p PublishedPlan, ok bool) {
	valid := reports[:0:0]
	for k := range reports {
		if reports[k].Valid(c.zones) {
			valid = append(valid, reports[k])
		}
	}
	c.LastAssessment = Assess(valid, c.zones)
	c.updateDemand(now, valid)
	demand, pinned := c.Demand, make([]float64, c.zones)
	for k := range valid {
		pinned[valid[k].Zone] += valid[k].Pinned
	}
	c.resetFallbacks(valid)
	cores := c.updateCapacity(now, valid)
	urgent := c.updateStatus(now, orders)
	planCapacity := make([]float64, c.zones)
	for z := range planCapacity {
		if !c.zoneStatus[z].movedAway {
			planCapacity[z] = c.capacity.Estimate(z, cores[z], c.slowdown[z].value) * c.zoneStatus[z].capacityShare
			if v := c.LastAssessment.Zones[z]; (v == Healthy || v == Slow) && c.zoneStatus[z].capacityShare == 1 {
				// A zone can serve the load that it now serves well, or slowly but in time.
				planCapacity[z] = max(planCapacity[z], min(c.now.Plan.Load(demand)[z], demand[z]))
			}
		}
	}
	c.PlanCapacity, c.Load = planCapacity, c.now.Plan.Load(demand)
	if orders.Freeze || !c.Settled(now, valid, sessions) {
		return p, false
	}
	roundTrip := make([][]float64, c.zones)
	for o := range roundTrip {
		roundTrip[o] = make([]float64, c.zones)
		for z := range roundTrip[o] {
			if roundTrip[o][z] = c.cfg.RoundTrip[o][z]; c.unusable(o, z) || o != z && now < c.reportingSince[o]+fullReportDelay {
				roundTrip[o][z] = math.Inf(1)
			}
		}
	}
	available := slices.Clone(planCapacity)
	for o := range available { // reserves capacity for attempts of routers that receive no plan
		for z, x := range c.fallbacks.Share[o] {
			if c.incomplete[o] && o != z {
				available[z] = max(available[z]-x*c.lastDemand[o], 0)
			}
		}
	}
	target := Solve(Problem{Demand: demand, Pinned: pinned, Capacity: available, RoundTrip: roundTrip, MaxRoundTrip: c.cfg.MaxRoundTrip})
	recovered := max(rejectedShare(c.now.Plan, demand)-rejectedShare(target, demand), 0)
	change := MovedShare(c.now.Plan, target, demand) + recovered
	pressing := recovered >= urgentRejectedShare // work that is rejected although other zones have capacity does not wait for the interval
	for z, load := range c.Load {
		pressing = pressing || load > 1.05*planCapacity[z] && load > 0 && target.Load(demand)[z] < load*0.98
	}
	// Work that is away without a reason also returns, a little later, even if so small a change would not justify a new
	// plan otherwise.
	returnsHome := localShare(target, demand)-localShare(c.now.Plan, demand) > minReturnHome && now >= c.lastChange()+minChangeInterval
	if change < minChange && !pressing && !returnsHome || !urgent && !pressing && now < c.lastChange()+minChangeInterval && !c.returning() {
		return c.publishDemand(now, demand, planCapacity)
	}
	target = c.limitMoves(now, target, demand, orders)
	stepCapacity := slices.Clone(planCapacity)
	for z := range stepCapacity {
		if c.serves(z) && c.zoneStatus[z].movedAway { // work that the zone still has is served there until other zones have capacity
			stepCapacity[z] = max(stepCapacity[z], c.capacity.Estimate(z, cores[z], c.slowdown[z].value))
		}
	}
	for o, lastDemand := range c.lastDemand { // reserves the fallback shares of routers that are not counted and may receive no plan
		for z := range stepCapacity {
			if o != z && demand[o] < lastDemand {
				stepCapacity[z] = max(stepCapacity[z]-c.fallbacks.Share[o][z]*(lastDemand-demand[o]), 0)
			}
		}
	}
	next := StepToward(c.now.Plan, StepToward(c.possibleShares(), target, c.fallbacks, demand, stepCapacity), c.fallbacks, demand, stepCapacity)
	if MovedShare(c.now.Plan, next, demand) < minReturnHome && math.Abs(rejectedShare(next, demand)-rejectedShare(c.now.Plan, demand)) < minReturnHome {
		return p, false
	}
	c.moves = append(c.moves, move{now, movedWork(c.now.Plan, next, demand)})
	c.Changes = append(c.Changes, now)
	return c.publish(now, next, demand, planCapacity), true
}

func (c *Controller) publish(now float64, p Plan, demand, planCapacity []float64) PublishedPlan {
	c.previous, c.publishedAt = c.now, now
	c.now = PublishedPlan{Epoch: c.now.Epoch + 1, Plan: p, Fallback: c.fallbackPlan(p, demand, planCapacity), ZoneLoss: c.zoneLossPlan(p, demand, planCapacity), Reason: c.reason(), Demand: slices.Clone(demand), PlanCapacity: planCapacity, LastDemand: slices.Clone(c.lastDemand)}
	c.fallbacks = envelope(c.fallbacks, c.now.Fallback)
	return c.now
}

// zoneLossPlan computes in advance where each zone's work goes if that zone and one more are lost: into the capacity that
// the plan leaves free. The routers of a lost zone then need no message, which saves two seconds.
func (c *Controller) zoneLossPlan(p Plan, demand, planCapacity []float64) Plan {
	// Zones that may be lost before the next plan. With 1, the loss of two zones within 2 s pushed a third one to a load of 1.18.
	const concurrentLosses = 2
	result := LocalPlan(c.zones)
	load := p.Load(demand)
	for o := range demand {
		available, ownDemand, roundTrip := make([]float64, c.zones), make([]float64, c.zones), make([][]float64, c.zones)
		for z := range available {
			if roundTrip[z] = c.cfg.RoundTrip[z]; z != o {
				available[z] = max(planCapacity[z]-load[z]+p.Share[o][z]*demand[o], 0) / concurrentLosses
			}
		}
		ownDemand[o] = demand[o]
		result.Share[o] = Solve(Problem{Demand: ownDemand, Pinned: make([]float64, c.zones), Capacity: available, RoundTrip: roundTrip, MaxRoundTrip: c.cfg.MaxRoundTrip}).Share[o]
	}
	return result
}

// possibleShares returns the largest shares that routers may use now. Routers whose zone is lost may already have moved
// their work on their own.
func (c *Controller) possibleShares() Plan {
	p := c.now.Plan.Clone()
	for o, v := range c.LastAssessment.Zones {
		if row := c.now.Plan.Share[o]; v == Lost && row[o] > 0 && c.now.ZoneLoss.Check(c.zones) == nil {
			for z, x := range c.now.ZoneLoss.Share[o] {
				p.Share[o][z] = max(p.Share[o][z], x)
			}
		}
	}
	return p
}

// resetFallbacks drops the older fallback shares of a zone once all of its routers report and have the last plan. A router
// that has been disconnected for long uses the fallback shares that it received last, so capacity stays reserved for them
// until it reports again.
func (c *Controller) resetFallbacks(reports []Report) {
	const completeShare = 0.95 // of the zone's demand: below it, at least one router may not report
	reported, outdated := make([]float64, c.zones), make([]bool, c.zones)
	for k := range reports {
		r := &reports[k]
		reported[r.Zone] += r.Demand
		outdated[r.Zone] = outdated[r.Zone] || r.Epoch < c.now.Epoch
	}
	recent := envelope(c.now.Fallback, c.previous.Fallback)
	c.incomplete = make([]bool, c.zones)
	for o := range reported {
		complete := reported[o] >= completeShare*c.lastDemand[o]
		if c.incomplete[o] = !complete; reported[o] > 0 && complete && !outdated[o] {
			c.fallbacks.Share[o] = recent.Share[o]
		}
	}
}

// serves reports whether a zone completes the work sent to it, even if the plan moves work away from it.
func (c *Controller) serves(z int) bool {
	v := c.LastAssessment.Zones[z]
	return v == Healthy || v == Slow || v == Overloaded
}

func (c *Controller) lastChange() float64 {
	if len(c.Changes) == 0 {
		return math.Inf(-1)
	}
	return c.Changes[len(c.Changes)-1]
}

// returning reports whether work is returning to a zone in steps.
func (c *Controller) returning() bool {
	for z := range c.zoneStatus {
		if !c.zoneStatus[z].movedAway && c.zoneStatus[z].capacityShare < 1 {
			return true
		}
	}
	return false
}

// localShare returns the share of all work that stays in its own zone.
func localShare(p Plan, demand []float64) float64 {
	total, local := 0.0, 0.0
	for o, row := range p.Share {
		total, local = total+demand[o], local+row[o]*demand[o]
	}
	if total <= 0 {
		return 1
	}
	return local / total
}

func rejectedShare(p Plan, demand []float64) float64 {
	total, rejected := 0.0, 0.0
	for o, row := range p.Share {
		sum := 0.0
		for _, x := range row {
			sum += x
		}
		total, rejected = total+demand[o], rejected+max(1-sum, 0)*demand[o]
	}
	if total <= 0 {
		return 0
	}
	return rejected / total
}

// updateCapacity records the work that each zone served and returns its ready cores: the median of the numbers that routers
// report.
func (c *Controller) updateCapacity(now float64, reports []Report) []float64 {
	const unknownHalfLife = 60.0 // seconds
	dt := min(max(now-c.capacityUpdatedAt, 0), 5)
	c.capacityUpdatedAt = now
	cores := make([]float64, c.zones)
	for z := range cores {
		work := 0.0
		var readyVotes, coldVotes []weightedValue
		for k := range reports {
			work += reports[k].Observations[z].Work / reports[k].seconds()
			readyVotes, coldVotes = append(readyVotes, weightedValue{reports[k].Observations[z].Ready, 1}), append(coldVotes, weightedValue{reports[k].Observations[z].ColdCores, 1})
		}
		cores[z], _ = weightedMedian(readyVotes)
		if v := c.LastAssessment.Zones[z]; v == Unknown { // without observations the last slowdown decays slowly
			c.LastAssessment.Slow[z] = 1 + (c.slowdown[z].value-1)*math.Exp2(-dt/unknownHalfLife)
		}
		v := c.LastAssessment.Zones[z]
		if v == Lost || v == Unknown {
			continue
		}
		coldCores, _ := weightedMedian(coldVotes)
		// The usable part of cold servers is a conservative guess. If only that part counted, the same work would overstate
		// the capacity of warm servers.
		c.capacity.Observe(now, z, work, cores[z]+coldCores, c.LastAssessment.Slow[z], v == Overloaded && coldCores == 0)
	}
	c.sustain(now)
	return cores
}

// envelope returns the larger share of both plans for each pair of zones.
func envelope(a, b Plan) Plan {
	c := a.Clone()
	for o := range c.Share {
		for z := range c.Share[o] {
			c.Share[o][z] = max(c.Share[o][z], b.Share[o][z])
		}
	}
	return c
}

// fallbackPlan returns the shares for routers that receive no plan: their own zone and a part of every other zone's spare
// capacity.
func (c *Controller) fallbackPlan(p Plan, demand, planCapacity []float64) Plan {
	fallback := LocalPlan(c.zones)
	load := p.Load(demand)
	for z := range planCapacity {
		spare := max(planCapacity[z]-load[z], 0) * fallbackSpareShare / max(float64(c.zones-1), 1)
		for o := range fallback.Share {
			if o != z && demand[o] > 0 {
				fallback.Share[o][z] = min(spare/demand[o], 1)
			}
		}
	}
	return fallback
}

func (c *Controller) reason() string {
	var parts []string
	for z, s := range c.zoneStatus {
		switch {
		case s.movedAway:
			parts = append(parts, fmt.Sprintf("zone %d is %v", z, c.LastAssessment.Zones[z]))
		case s.capacityShare < 1:
			parts = append(parts, fmt.Sprintf("zone %d returns (%.0f %%)", z, 100*s.capacityShare))
		case c.capacity.OverloadLimit(z) > 0:
			parts = append(parts, fmt.Sprintf("zone %d was full at %.2f of a core", z, c.capacity.OverloadLimit(z)))
		}
	}
	if len(parts) == 0 {
		return "all zones are in use"
	}
	return strings.Join(parts, ", ")
}
