package failover

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Terms of a controller.
type Terms struct {
	Life     float64     // seconds that a router follows a plan after it asked for it
	Drift    float64     // by what share clocks may be off
	Way      [][]float64 // seconds there and back between zones
	Slack    float64     // seconds of way that targets bear, 0: any
	MostMove float64     // share of the fleet's work that may be moved away from its zones in a minute, 0: three quarters; only an operator lifts it
}

// Life is the standard life of a plan in seconds: three of the reports that confirm it.
const Life = 3.0

// Orders are an operator's words, agreed like plans.
type Orders struct {
	Away   []bool `json:"away,omitempty"`   // zones that are to be empty
	Freeze bool   `json:"freeze,omitempty"` // no plan changes by itself
	Free   bool   `json:"free,omitempty"`   // no bound on what is moved in a minute
}

// Published is what all routers hear.
type Published struct {
	Epoch uint64 `json:"epoch"`
	Plan  Plan   `json:"plan"`
	Still Plan   `json:"still"` // an envelope for routers that hear nothing: their own zone, and a part of what others have to spare
	Else  Plan   `json:"else"`  // an origin's row where its own zone fails it before the next plan: room that two zones at a time may take
	Why   string `json:"why,omitempty"`

	Zones  []string  `json:"zones,omitempty"`  // their names
	Demand []float64 `json:"demand,omitempty"` // core seconds a second by zone that it was made for, and what zones can serve
	Room   []float64 `json:"room,omitempty"`
	Asked  []float64 `json:"asked,omitempty"` // what silent zones asked for when they were heard last: for the next owner
}

// Controller makes plans and the steps between them. Only the owner of the fleet's plan has one.
type Controller struct {
	terms     Terms
	zones     int
	capacity  *Capacity
	now       Published
	before    Published // that some may still follow
	stills    Plan      // most that any router which hears nothing may think that it may do, by what it heard last
	at        float64   // when now was published
	status    []status
	moves     []move
	recalled  float64
	watched   float64
	began     float64
	Changes   []float64 // times at which the plan was changed
	Verdict   Judgement
	asked     []float64   // by zone: what was asked for before it fell silent, fading
	unreached []sustained // by zone: 1 where its own routers do not reach it
	slowdown  []sustained // by zone: how many times slower than the others it is, or was when it was seen last; 1: not slower
	spoke     []float64   // and when they told something last
	deaf      []bool      // by zone: some of its routers are not heard, and may serve all the same
	heard     []float64   // by zone: since when its routers tell something, +Inf: they don't
	Demand    []float64   // by zone: what its routers last told, and what those that are silent told before
	Load      []float64   // that the plan gives each zone by it
	Room      []float64   // that each zone is planned with
}

// status of a zone, with hysteresis.
type status struct {
	away  bool    // it is planned away from
	since float64 // that the evidence has said otherwise, 0: it doesn't
	until float64 // no return before then
	flaps int
	held  float64 // of its capacity that is planned with while it returns, 1: all
	step  float64
}

type move struct{ at, share float64 }

// Hysteresis and bounds.
const (
	loseAfter  = 0.5   // seconds that a zone has to look lost: two looks; its routers have doubted it for longer
	slowAfter  = 2.0   // or slow, or failing
	backAfter  = 3.0   // or well again, before it is believed
	firstPause = 8.0   // seconds that a zone is left alone after it was given up
	flapPause  = 120.0 // and when it is given up again soon: a try costs three plans, and two a minute are borne; doubles
	longPause  = 300.0 // at the most
	forgiven   = 120.0 // seconds after a pause without a flap
	backStep   = 0.34  // of a zone's capacity in one step back
	stepEvery  = 2.0   // seconds between two steps back: what it does to the zone shows in reports
	firstStep  = 4.0   // after the first, small one: the trial of a zone that may fail again at once
	worthwhile = 0.04  // share of the fleet's work under which a change is not worth a plan
	homely     = 0.002 // and under which what is away stays away
	wasted     = 0.01  // share that is shed and has room elsewhere, from which it does not wait for quiet
	quiet      = 15.0  // seconds between two changes that nothing urgent asks for
	spareShare = 0.25  // of what a zone has to spare, for routers that hear nothing
	perMinute  = 0.75
	whole      = 2.5 // seconds until all routers of a zone that was silent are heard: until then a share would be used by more than ask for it
)

// NewController takes the fleet's plan over as it was published last, Epoch 0: there was none.
func NewController(t Terms, zones int, now float64, last Published) *Controller {
	c := &Controller{terms: t, zones: zones, capacity: NewCapacity(zones), now: last, at: now, began: now, status: make([]status, zones),
		unreached: make([]sustained, zones), slowdown: make([]sustained, zones)}
	if c.now.Plan.Check(zones) != nil || c.now.Still.Check2(zones) != nil {
		c.now = Published{Epoch: last.Epoch, Plan: Near(zones), Still: Near(zones)}
	}
	c.before, c.stills = c.now, c.now.Still
	for z := range c.status {
		c.status[z].held, c.slowdown[z].value = 1, 1
		// What the last owner had planned away from stays so until the evidence says otherwise.
		if c.now.Plan.Load(ones(zones))[z] == 0 {
			c.status[z].away, c.status[z].until, c.status[z].held = true, now+firstPause, 0
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

// Check2 tells what is wrong with an envelope: rows may give out more than one.
func (p Plan) Check2(zones int) error {
	if len(p.Share) != zones {
		return fmt.Errorf("an envelope for %d zones, there are %d", len(p.Share), zones)
	}
	for o, row := range p.Share {
		if len(row) != zones {
			return fmt.Errorf("zone %d: %d shares", o, len(row))
		}
		for _, x := range row {
			if !(x >= 0 && x <= 1+1e-6) {
				return fmt.Errorf("zone %d: a share of %v", o, x)
			}
		}
	}
	return nil
}

// Now is what was published last.
func (c *Controller) Now() Published { return c.now }

// lives is how long a router may follow a plan after it heard of it last, by any clock.
func (c *Controller) lives() float64 { return c.terms.Life * (1 + c.terms.Drift) / (1 - c.terms.Drift) }

// Settled tells whether nobody can follow an older plan than the last: every session has said so, or its life is over by any clock.
func (c *Controller) Settled(now float64, reports []Report, sessions int) bool {
	if now >= c.at+c.lives() {
		return true
	}
	have := 0
	for k := range reports {
		if reports[k].Epoch >= c.now.Epoch {
			have++
		}
	}
	return have >= sessions && sessions > 0
}

// Next looks at a second's evidence. ok is true where a new plan is to be published, under the epoch that it bears.
func (c *Controller) Next(now float64, reports []Report, sessions int, orders Orders) (p Published, ok bool) {
	fresh := reports[:0:0]
	for k := range reports {
		if reports[k].Check(c.zones) {
			fresh = append(fresh, reports[k])
		}
	}
	c.Verdict = Judge(fresh, c.zones)
	c.recall(now, fresh)
	demand, pinned := c.Demand, make([]float64, c.zones)
	for k := range fresh {
		pinned[fresh[k].Zone] += fresh[k].Pinned
	}
	c.overtake(fresh)
	cores := c.observe(now, fresh)
	urgent := c.turn(now, orders)
	room := make([]float64, c.zones)
	for z := range room {
		if !c.status[z].away {
			room[z] = c.capacity.Of(z, cores[z], c.slowdown[z].value) * c.status[z].held
			if v := c.Verdict.Zones[z]; (v == Well || v == Slow) && c.status[z].held == 1 {
				room[z] = max(room[z], min(c.now.Plan.Load(demand)[z], demand[z])) // it bears what it serves well, or slowly and in time
			}
		}
	}
	c.Room, c.Load = room, c.now.Plan.Load(demand)
	if orders.Freeze || !c.Settled(now, fresh, sessions) {
		return p, false
	}
	way := make([][]float64, c.zones)
	for o := range way {
		way[o] = make([]float64, c.zones)
		for z := range way[o] {
			if way[o][z] = c.terms.Way[o][z]; c.cut(o, z) || o != z && now < c.heard[o]+whole {
				way[o][z] = math.Inf(1)
			}
		}
	}
	left := slices.Clone(room)
	for o := range left { // what routers that hear nothing may send meanwhile has its place
		for z, x := range c.stills.Share[o] {
			if c.deaf[o] && o != z {
				left[z] = max(left[z]-x*c.asked[o], 0)
			}
		}
	}
	target := Solve(Problem{Demand: demand, Pinned: pinned, Capacity: left, Way: way, Slack: c.terms.Slack})
	saves := max(shed(c.now.Plan, demand)-shed(target, demand), 0)
	wants := Moved(c.now.Plan, target, demand) + saves
	over := saves >= wasted // what is shed, and has room elsewhere, does not wait for quiet
	for z, load := range c.Load {
		over = over || load > 1.05*room[z] && load > 0 && target.Load(demand)[z] < load*0.98
	}
	// What is away for no reason any more comes home too, a little later, though it is less than a new plan is worth else.
	home := near(target, demand)-near(c.now.Plan, demand) > homely && now >= c.lastChange()+quiet
	if wants < worthwhile && !over && !home || !urgent && !over && now < c.lastChange()+quiet && !c.under() {
		return c.note(now, demand, room)
	}
	target = c.bounded(now, target, demand, orders)
	bears := slices.Clone(room)
	for z := range bears {
		if c.serves(z) && c.status[z].away { // what it still has is served there until others have room
			bears[z] = max(bears[z], c.capacity.Of(z, cores[z], c.slowdown[z].value))
		}
	}
	for o, asked := range c.asked { // of those that are not counted and may be deaf, what was left for them
		for z := range bears {
			if o != z && demand[o] < asked {
				bears[z] = max(bears[z]-c.stills.Share[o][z]*(asked-demand[o]), 0)
			}
		}
	}
	next := Toward(c.now.Plan, Toward(c.follows(), target, c.stills, demand, bears), c.stills, demand, bears)
	if Moved(c.now.Plan, next, demand) < homely && math.Abs(shed(next, demand)-shed(c.now.Plan, demand)) < homely {
		return p, false
	}
	c.moves = append(c.moves, move{now, away(c.now.Plan, next, demand)})
	c.Changes = append(c.Changes, now)
	return c.publish(now, next, demand, room), true
}

func (c *Controller) publish(now float64, p Plan, demand, room []float64) Published {
	c.before, c.at = c.now, now
	c.now = Published{Epoch: c.now.Epoch + 1, Plan: p, Still: c.still(p, demand, room), Else: c.elses(p, demand, room), Why: c.why(), Demand: slices.Clone(demand), Room: room, Asked: slices.Clone(c.asked)}
	c.stills = envelope(c.stills, c.now.Still)
	return c.now
}

// elses works out ahead where each zone's work goes if that zone is lost, and one more: into what the plan leaves. Its routers need no word
// for it, and two seconds are not lost.
func (c *Controller) elses(p Plan, demand, room []float64) Plan {
	const together = 2 // zones that may be lost before the next plan: with one, two that were lost within 2 s pushed a third to 1.18
	e := Near(c.zones)
	load := p.Load(demand)
	for o := range demand {
		left, only, way := make([]float64, c.zones), make([]float64, c.zones), make([][]float64, c.zones)
		for z := range left {
			if way[z] = c.terms.Way[z]; z != o {
				left[z] = max(room[z]-load[z]+p.Share[o][z]*demand[o], 0) / together
			}
		}
		only[o] = demand[o]
		e.Share[o] = Solve(Problem{Demand: only, Pinned: make([]float64, c.zones), Capacity: left, Way: way, Slack: c.terms.Slack}).Share[o]
	}
	return e
}

// follows is the most that routers may do now: those whose zone is lost may have left it by themselves.
func (c *Controller) follows() Plan {
	p := c.now.Plan.Clone()
	for o, v := range c.Verdict.Zones {
		if row := c.now.Plan.Share[o]; v == Lost && row[o] > 0 && c.now.Else.Check(c.zones) == nil {
			for z, x := range c.now.Else.Share[o] {
				p.Share[o][z] = max(p.Share[o][z], x)
			}
		}
	}
	return p
}

// note what zones ask for in the record, the shares as they are: an owner that takes over while a zone's routers are not heard
// would take their engines to be free.
func (c *Controller) note(now float64, demand, room []float64) (Published, bool) {
	const differs, rarely = 0.25, 60.0 // share of a zone's; seconds between two, since each next plan has to wait until all have it
	if now < c.began+2*whole || now < c.at+rarely && c.now.Asked != nil {
		return c.now, false
	}
	for z, x := range c.asked {
		was := 0.0
		if z < len(c.now.Asked) {
			was = c.now.Asked[z]
		}
		if math.Abs(x-was) > differs*max(x, was) && demand[z] > 0 {
			return c.publish(now, c.now.Plan, demand, room), true
		}
	}
	return c.now, false
}

// recall what is asked for in each zone. Routers that are cut off from us go on serving their clients from engines that others
// may be sent to: what they told last counts on. A lost zone that tells nothing asks for nothing; when the first of its routers
// is heard again all count, or the shares that one router is given would be used by all that come after it.
func (c *Controller) recall(now float64, reports []Report) {
	const halves, long = 60.0, 600.0 // seconds: where some tell less, it may be true; where none does, nobody knows
	dt := min(max(now-c.recalled, 0), 5)
	c.recalled = now
	c.Demand = make([]float64, c.zones)
	if c.asked == nil {
		c.asked, c.heard, c.spoke = make([]float64, c.zones), make([]float64, c.zones), make([]float64, c.zones)
		copy(c.asked, c.now.Asked)
	}
	for k := range reports {
		c.Demand[reports[k].Zone] += reports[k].Demand
	}
	for z, told := range c.Demand {
		if told == 0 {
			c.heard[z] = math.Inf(1)
		} else if math.IsInf(c.heard[z], 1) {
			c.heard[z] = now
		}
		fades := halves
		if told == 0 {
			fades = long
		}
		c.asked[z] = max(told, c.asked[z]*math.Exp2(-dt/fades))
		if told > 0 {
			c.spoke[z] = now
		}
		// The routers of a lost zone may be deaf and not dead: for a plan's life they follow it, and then what was left for them.
		if v := c.Verdict.Zones[z]; now < c.spoke[z]+c.lives() || v != Lost && v != Empty {
			c.Demand[z] = c.asked[z]
		}
	}
}

// overtake forgets what routers of a zone may have been told for the time when they hear nothing, once all of them are heard and have
// the last plan. One that has been deaf for long acts on what it heard then, and has its place until it is heard again.
func (c *Controller) overtake(reports []Report) {
	const all = 0.95 // of what the zone asks for: less may be one router that is not heard
	told, late := make([]float64, c.zones), make([]bool, c.zones)
	for k := range reports {
		r := &reports[k]
		told[r.Zone] += r.Demand
		late[r.Zone] = late[r.Zone] || r.Epoch < c.now.Epoch
	}
	last := envelope(c.now.Still, c.before.Still)
	c.deaf = make([]bool, c.zones)
	for o := range told {
		heard := told[o] >= all*c.asked[o]
		if c.deaf[o] = !heard; told[o] > 0 && heard && !late[o] {
			c.stills.Share[o] = last.Share[o]
		}
	}
}

// serves tells whether a zone answers what it is sent, though it may be planned away from.
func (c *Controller) serves(z int) bool {
	v := c.Verdict.Zones[z]
	return v == Well || v == Slow || v == Overloaded
}

func (c *Controller) lastChange() float64 {
	if len(c.Changes) == 0 {
		return math.Inf(-1)
	}
	return c.Changes[len(c.Changes)-1]
}

// under way: a zone returns in steps.
func (c *Controller) under() bool {
	for z := range c.status {
		if !c.status[z].away && c.status[z].held < 1 {
			return true
		}
	}
	return false
}

// near is the share of all work that stays in its own zone.
func near(p Plan, demand []float64) float64 {
	total, stays := 0.0, 0.0
	for o, row := range p.Share {
		total, stays = total+demand[o], stays+row[o]*demand[o]
	}
	if total <= 0 {
		return 1
	}
	return stays / total
}

func shed(p Plan, demand []float64) float64 {
	total, lost := 0.0, 0.0
	for o, row := range p.Share {
		sum := 0.0
		for _, x := range row {
			sum += x
		}
		total, lost = total+demand[o], lost+max(1-sum, 0)*demand[o]
	}
	if total <= 0 {
		return 0
	}
	return lost / total
}

// observe what each zone served, and how many cores it has ready: the median of what routers' lists say.
func (c *Controller) observe(now float64, reports []Report) []float64 {
	const halves = 60.0 // seconds
	dt := min(max(now-c.watched, 0), 5)
	c.watched = now
	cores := make([]float64, c.zones)
	for z := range cores {
		work := 0.0
		var lists, cold []vote
		for k := range reports {
			work += reports[k].Sights[z].Work / reports[k].seconds()
			lists, cold = append(lists, vote{reports[k].Sights[z].Ready, 1}), append(cold, vote{reports[k].Sights[z].Cold, 1})
		}
		cores[z], _ = median(lists)
		if v := c.Verdict.Zones[z]; v == Unknown { // nobody sees it: it is no quicker for that
			c.Verdict.Slow[z] = 1 + (c.slowdown[z].value-1)*math.Exp2(-dt/halves)
		}
		v := c.Verdict.Zones[z]
		if v == Lost || v == Unknown {
			continue
		}
		rest, _ := median(cold)
		// What cold engines bear is a careful guess: served by so few cores, the same work would prove too much of warm ones.
		c.capacity.Observe(now, z, work, cores[z]+rest, c.Verdict.Slow[z], v == Overloaded && rest == 0)
	}
	c.sustain(now)
	return cores
}

// turn gives zones up and takes them back, with hysteresis. urgent: something was given up.
func (c *Controller) turn(now float64, orders Orders) (urgent bool) {
	for z := range c.status {
		s := &c.status[z]
		v := c.Verdict.Zones[z]
		ordered := z < len(orders.Away) && orders.Away[z]
		bad := v == Lost || v == Empty || v == Draining || v == Failing || ordered
		after := loseAfter
		if v == Failing {
			after = slowAfter
		}
		if s.away {
			after = backAfter
		}
		if v == Unknown && !ordered {
			// Nobody sends there, so nothing is heard. One that was given up is tried again by a first small step when its pause
			// is over; one that was not stays as it is.
			bad = s.away && now < s.until
		}
		if bad == s.away {
			s.since = 0
		} else if s.since == 0 {
			s.since = now
		}
		switch {
		case s.since == 0 || now < s.since+after && !ordered:
		case !s.away:
			if now > s.until+forgiven {
				s.flaps = 0
			}
			s.away, s.since, s.held = true, 0, 0
			if s.until = now + firstPause; s.flaps > 0 {
				s.until = now + min(flapPause*math.Pow(2, float64(min(s.flaps-1, 10))), longPause)
			}
			s.flaps++
			urgent = true
		case now >= s.until:
			s.away, s.since, s.held, s.step = false, 0, backStep/2, now
			urgent = true
		}
		pause := stepEvery
		if s.held < backStep {
			pause = firstStep
		}
		if !s.away && s.held < 1 && now >= s.step+pause && (v == Well || v == Unknown) {
			s.held, s.step = min(s.held+backStep, 1), now
		}
	}
	return urgent
}

// bounded keeps what is moved away within a minute under the cap: part of the way is gone, and the rest in a later minute. What comes home
// is not counted and not held back: the steps in which its zone returns bound it, and a zone that is lost again would find the minute
// used up by its own return, its work shed while others have room.
func (c *Controller) bounded(now float64, target Plan, demand []float64, orders Orders) Plan {
	most := c.terms.MostMove
	if most <= 0 {
		most = perMinute
	}
	kept := c.moves[:0]
	for _, m := range c.moves {
		if now-m.at < 60 {
			kept = append(kept, m)
			most -= m.share
		}
	}
	c.moves = kept
	wants := away(c.now.Plan, target, demand)
	if orders.Free || wants <= max(most, 0) || wants <= 0 {
		return target
	}
	part := max(most, 0) / wants
	p := c.now.Plan.Clone()
	for o := range p.Share {
		home := true // this row's work only comes home
		for z, x := range p.Share[o] {
			home = home && (z == o || target.Share[o][z] <= x)
		}
		for z := range p.Share[o] {
			if to := target.Share[o][z]; home || to < p.Share[o][z] && c.status[z].away && !c.serves(z) {
				p.Share[o][z] = to // what goes to a lost zone is lost: it is shed at once
			} else {
				p.Share[o][z] += part * (to - p.Share[o][z])
			}
		}
	}
	return p
}

// away is the share of all demand that goes to a zone that is not its own, and did not by the plan before.
func away(a, b Plan, demand []float64) float64 {
	total, moved := 0.0, 0.0
	for o := range demand {
		total += demand[o]
		for z := range demand {
			if z != o {
				moved += max(b.Share[o][z]-a.Share[o][z], 0) * demand[o]
			}
		}
	}
	if total <= 0 {
		return 0
	}
	return moved / total
}

// envelope of two.
func envelope(a, b Plan) Plan {
	c := a.Clone()
	for o := range c.Share {
		for z := range c.Share[o] {
			c.Share[o][z] = max(c.Share[o][z], b.Share[o][z])
		}
	}
	return c
}

// still is what routers that hear nothing may do: their own zone, and of what each other one has to spare a part.
func (c *Controller) still(p Plan, demand, room []float64) Plan {
	s := Near(c.zones)
	load := p.Load(demand)
	for z := range room {
		spare := max(room[z]-load[z], 0) * spareShare / max(float64(c.zones-1), 1)
		for o := range s.Share {
			if o != z && demand[o] > 0 {
				s.Share[o][z] = min(spare/demand[o], 1)
			}
		}
	}
	return s
}

func (c *Controller) why() string {
	var parts []string
	for z, s := range c.status {
		switch {
		case s.away:
			parts = append(parts, fmt.Sprintf("zone %d is %v", z, c.Verdict.Zones[z]))
		case s.held < 1:
			parts = append(parts, fmt.Sprintf("zone %d returns (%.0f %%)", z, 100*s.held))
		case c.capacity.Limit(z) > 0:
			parts = append(parts, fmt.Sprintf("zone %d was full at %.2f of a core", z, c.capacity.Limit(z)))
		}
	}
	if len(parts) == 0 {
		return "all zones are in use"
	}
	return strings.Join(parts, ", ")
}
