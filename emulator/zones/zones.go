// Package zones plays failover between zones on virtual time: many routers that each hear plans when they do, a controller that
// moves with its owner, zones that serve what they can, and faults that overlap. Traffic is counted in core seconds, not in
// commands; what is played is package failover itself.
package zones

import (
	"fmt"
	"math"
	"math/rand/v2"

	"dunereach/fleet/failover"
)

// Rule is how routers choose zones.
type Rule int

// The rules.
const (
	Planned  Rule = iota // by the fleet's plan
	Local                // today's: each leans to its own zone, and finds out alone what does not answer
	Locality             // by zones' health with an overprovisioning factor of 1.4 and a panic threshold of one half, as published for Envoy
	Knowing              // knows everything and moves at once: the bound
)

// Settings of a run.
type Settings struct {
	Zones, Regions int
	Routers        int
	Load           float64 // of all capacity
	Skew           float64 // how unlike zones' demands are: 0 none
	Seed           uint64
	Rule           Rule
	Length         float64
	Liars          float64 // share of each zone's routers that report by chance
	Faults         []Fault
}

// Fault of a zone, over some time.
type Fault struct {
	At, Until float64
	Kind      Kind
	Zone, To  int
	By        float64
}

// Kind of a fault.
type Kind int

// The kinds of faults.
const (
	Power      Kind = iota // engines and routers of a zone are gone
	Engines                // its engines are
	Link                   // between two zones, both ways
	OneWay                 // from a zone to another
	Slowed                 // a zone by a factor
	Controller             // the owner stands still and wakes up with its next step half sent
	Deaf                   // a zone's routers hear no keepers
	Minority               // a region's
	Flapping               // a zone goes and comes every By seconds
	Drain                  // on purpose
	Lists                  // no list names its engines
	kinds
)

func (k Kind) String() string {
	return [...]string{"power", "engines", "link", "one way", "slow", "controller", "deaf", "minority", "flapping", "drain", "list"}[k]
}

const (
	step      = 0.1
	warm      = 12.0 // seconds that engines take after they were gone, from a third of what they can do
	coldStart = 0.35
	hearEvery = 1.0
	agreement = 0.15 // seconds from a plan to the record
	way       = 0.02
	far       = 0.12 // between regions
	thrash    = 0.75 // of what a zone can do while it is offered over 1.2 times that
)

type zone struct {
	full, demand float64
	cores        float64
	goneAt       float64 // since when its engines were last gone
	backAt       float64
	offered      [11]float64 // of the last steps
	pushed       float64     // seconds that it was offered too much by what came from elsewhere
	steady       float64     // what it could do a moment ago
	since        float64     // that what comes from elsewhere makes it so
}

type router struct {
	zone    int
	demand  float64
	guide   *failover.PlanFollower
	hearAt  float64
	toldAt  float64
	heard   failover.PublishedPlan
	until   float64
	bad     []float64 // by zone: recent share of bad sends, as it sees them itself
	sent    []float64 // of the last second, by zone
	failed  []float64
	late    []float64
	served  []float64
	reports failover.Report
	fresh   bool
	liar    bool
}

// Result of a run.
type Result struct {
	Worth    []float64 // share of all work served, by second
	Worst    float64   // most that a zone was offered of what it can do, over a second, by what came from elsewhere
	Planned  float64   // most that any mixture of plans that routers may be on offers a zone, over what it is planned with
	Near     float64   // share of work served in its own zone, of what was served
	Changes  []float64 // times of plans
	Given    []string  // zones given up that were well
	Lost     map[int]float64
	Home     []float64 // share of all work served in its own zone, by second
	Back     float64   // seconds after the last fault until 99 % of what was near is near again, NaN: not within the run
	Timeline [][]float64
	Bytes    float64 // of a report
}

type world struct {
	s        Settings
	rnd      *rand.Rand
	zones    []zone
	routers  []router
	regionOf []int
	ways     [][]float64
	now      float64
	control  *failover.Controller
	agreed   failover.PublishedPlan
	agreedAt float64
	pending  *failover.PublishedPlan
	pendAt   float64
	owner    int // router
	frozen   bool
	orders   failover.Orders
	r        Result
	nextTick float64
}

// Play a run.
func Play(s Settings) (Result, error) {
	w := &world{s: s, rnd: rand.New(rand.NewPCG(s.Seed, 41)), owner: -1}
	w.r.Lost = map[int]float64{}
	total := 0.0
	for z := range s.Zones {
		c := 20 * (0.7 + 0.6*w.rnd.Float64())
		w.zones = append(w.zones, zone{full: c, cores: c, backAt: -100, goneAt: -1})
		w.regionOf = append(w.regionOf, z*max(s.Regions, 1)/s.Zones)
		total += c
	}
	weight := 0.0
	var weights []float64
	for z := range w.zones {
		x := w.zones[z].full * math.Exp(s.Skew*w.rnd.NormFloat64())
		weights, weight = append(weights, x), weight+x
	}
	for z := range w.zones {
		w.zones[z].demand = weights[z] / weight * total * s.Load
		row := make([]float64, s.Zones)
		for y := range row {
			switch {
			case y == z:
			case w.regionOf[y] == w.regionOf[z]:
				row[y] = way
			default:
				row[y] = far
			}
		}
		w.ways = append(w.ways, row)
	}
	for k := range s.Routers {
		z := k % s.Zones
		n := (s.Routers + s.Zones - 1 - z) / s.Zones
		w.routers = append(w.routers, router{zone: z, demand: w.zones[z].demand / float64(n), guide: failover.NewPlanFollower(z, s.Zones, 0.05),
			hearAt: w.rnd.Float64() * hearEvery, until: math.Inf(-1), bad: make([]float64, s.Zones), sent: make([]float64, s.Zones),
			failed: make([]float64, s.Zones), late: make([]float64, s.Zones), served: make([]float64, s.Zones), liar: k/s.Zones < int(s.Liars*float64(n))})
	}
	w.agreed = failover.PublishedPlan{Epoch: 1, Plan: failover.LocalPlan(s.Zones), Fallback: failover.LocalPlan(s.Zones)}
	for w.now = 0; w.now < s.Length; w.now += step {
		w.faults()
		if s.Rule == Planned {
			w.lead()
			w.hear()
		}
		w.flow()
	}
	w.finish()
	return w.r, nil
}

func (w *world) is(kind Kind, z int) (Fault, bool) {
	for _, f := range w.s.Faults {
		if f.Kind == kind && f.Zone == z && w.now >= f.At && w.now < f.Until {
			return f, true
		}
	}
	return Fault{}, false
}

func (w *world) down(z int) bool {
	if _, ok := w.is(Power, z); ok {
		return true
	}
	if _, ok := w.is(Engines, z); ok {
		return true
	}
	if f, ok := w.is(Flapping, z); ok {
		return int((w.now-f.At)/f.By)%2 == 0
	}
	return false
}

func (w *world) cut(from, to int) bool {
	for _, f := range w.s.Faults {
		if w.now >= f.At && w.now < f.Until && (f.Kind == Link && (f.Zone == from && f.To == to || f.Zone == to && f.To == from) ||
			f.Kind == OneWay && f.Zone == from && f.To == to) {
			return true
		}
	}
	return false
}

func (w *world) faults() {
	w.frozen = false
	away := make([]bool, w.s.Zones)
	for z := range w.zones {
		x := &w.zones[z]
		if w.down(z) {
			x.goneAt = w.now
			if _, ok := w.r.Lost[z]; !ok {
				w.r.Lost[z] = w.now
			}
		} else if x.goneAt >= 0 {
			x.backAt, x.goneAt = w.now, -1
		}
		_, away[z] = w.is(Drain, z)
		if _, ok := w.is(Controller, z); ok {
			w.frozen = true
		}
	}
	w.orders.Evacuate = away
}

// can is what a zone can do now.
func (w *world) can(z int) float64 {
	x := &w.zones[z]
	if w.down(z) {
		return 0
	}
	c := x.full * min(coldStart+(1-coldStart)*(w.now-x.backAt)/warm, 1)
	if f, ok := w.is(Slowed, z); ok {
		c /= f.By
	}
	return c
}

// listed is what lists say that it has ready.
func (w *world) listed(z int) float64 {
	x := &w.zones[z]
	if _, ok := w.is(Lists, z); ok {
		return 0
	}
	if w.down(z) {
		if w.now-max(x.backAt, w.r.Lost[z]) > 6 { // lists are late
			return 0
		}
		return x.cores
	}
	return x.cores * min(coldStart+(1-coldStart)*(w.now-x.backAt)/warm, 1)
}

// talks tells whether a router reaches the keepers.
func (w *world) talks(r *router) bool {
	if _, ok := w.is(Power, r.zone); ok {
		return false
	}
	if _, ok := w.is(Deaf, r.zone); ok {
		return false
	}
	for _, f := range w.s.Faults {
		if f.Kind == Minority && w.now >= f.At && w.now < f.Until && w.regionOf[f.Zone] == w.regionOf[r.zone] {
			return false
		}
	}
	return true
}

// lead has the owner's controller look once a second. Where the owner is gone another takes over after a lease.
func (w *world) lead() {
	const lease = 2.0
	if w.pending != nil && w.now >= w.pendAt+agreement {
		w.agreed, w.agreedAt, w.pending = *w.pending, w.now, nil
	}
	if w.now < w.nextTick {
		return
	}
	w.nextTick = w.now + 0.5
	if w.owner >= 0 && !w.talks(&w.routers[w.owner]) || w.frozen && w.control != nil {
		w.owner, w.control = -1, nil
		w.nextTick = w.now + lease
		return
	}
	if w.owner < 0 {
		for n := range w.routers {
			k := (n*7 + int(w.now)) % len(w.routers)
			if w.talks(&w.routers[k]) {
				w.owner = k
				break
			}
		}
		if w.owner < 0 {
			return
		}
		w.control = failover.NewController(failover.Config{Lifetime: failover.Lifetime, Drift: 0.05, RoundTrip: w.ways}, w.s.Zones, w.now, w.agreed)
	}
	var reports []failover.Report
	sessions := 0
	for k := range w.routers {
		r := &w.routers[k]
		if w.talks(r) {
			sessions++
			if r.fresh {
				reports = append(reports, r.reports)
			}
		}
	}
	if p, ok := w.control.Next(w.now, reports, sessions, w.orders); ok {
		w.pending, w.pendAt = &p, w.now
		if len(w.control.Changes) > 0 && w.control.Changes[len(w.control.Changes)-1] == w.now { // no note of what is asked for
			w.r.Changes = append(w.r.Changes, w.now)
		}
		load := failover.MaxMixedLoad(w.control.Demand, p.Plan, w.agreed.Plan)
		before := failover.MaxMixedLoad(w.control.Demand, w.agreed.Plan)
		for z := range load {
			if room := w.control.PlanCapacity[z]; room > 0 && load[z] > before[z]+1e-6 { // what a plan adds
				w.r.Planned = max(w.r.Planned, load[z]/room)
			}
		}
		for z := range w.zones {
			if p.Plan.Load(ones(w.s.Zones))[z] == 0 && w.agreed.Plan.Load(ones(w.s.Zones))[z] > 0 && w.well(z) {
				w.r.Given = append(w.r.Given, fmt.Sprintf("zone %d at %.1f: %s", z, w.now, p.Reason))
			}
		}
	}
}

func ones(n int) []float64 {
	x := make([]float64, n)
	for k := range x {
		x[k] = 1
	}
	return x
}

func (w *world) demands() []float64 {
	d := make([]float64, w.s.Zones)
	for k := range w.routers {
		if r := &w.routers[k]; !w.off(r) {
			d[r.zone] += r.demand
		}
	}
	return d
}

// well: nothing is the matter with a zone, nor was of late, nor is it drained.
func (w *world) well(z int) bool {
	for _, f := range w.s.Faults {
		touches := f.Zone == z && f.Kind != Controller && f.Kind != Deaf && f.Kind != Minority && f.Kind != OneWay && f.Kind != Link
		if touches && w.now >= f.At && w.now < f.Until+40 {
			return false
		}
	}
	return true
}

func (w *world) off(r *router) bool {
	_, ok := w.is(Power, r.zone)
	return ok
}

// hear: each router asks once a second, and tells what it saw.
func (w *world) hear() {
	for k := range w.routers {
		r := &w.routers[k]
		if w.now < r.hearAt {
			continue
		}
		span := w.now - r.toldAt
		r.toldAt, r.hearAt = w.now, w.now+hearEvery*(0.9+0.2*w.rnd.Float64())
		if w.off(r) {
			r.fresh = false
			continue
		}
		if !w.talks(r) {
			r.fresh = false
		} else {
			if r.heard.Epoch != w.agreed.Epoch {
				r.heard = w.agreed
			}
			r.guide.Receive(w.now, w.agreed)
			r.fresh = true
		}
		rep := failover.Report{Zone: r.zone, Demand: r.demand, Epoch: r.guide.Epoch(w.now), Span: span}
		for z := range w.zones {
			s := failover.ZoneObservation{Attempts: r.sent[z] * 5, Failed: min(r.failed[z], r.sent[z]) * 5, Late: r.late[z] * 5, Work: r.served[z], Ready: w.listed(z), Slow: 1}
			if s.Ready > 0 {
				s.ColdCores = w.zones[z].cores - s.Ready
			}
			if f, ok := w.is(Slowed, z); ok {
				s.Slow = f.By
			}
			if r.bad[z] > 0.5 {
				s.SuspectCores = s.Ready
			}
			if r.liar {
				s.SuspectCores, s.Failed, s.Slow, s.Late = 0, s.Attempts*w.rnd.Float64(), 20*w.rnd.Float64(), 0
			}
			rep.Observations = append(rep.Observations, s)
		}
		r.reports = rep
		for z := range w.zones {
			r.sent[z], r.failed[z], r.late[z], r.served[z] = 0, 0, 0, 0
		}
	}
}
