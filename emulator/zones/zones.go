// Package zones simulates failover between zones in virtual time: many routers that receive plans at different times, a
// controller that moves with the owner of its task, zones that serve what they have capacity for, and overlapping
// faults. Traffic is counted in core seconds, not in requests. The failover rules are those of package failover itself.
package zones

import (
	"fmt"
	"math"
	"math/rand/v2"

	"dunereach/fleet/failover"
)

// Rule is the way in which routers choose zones.
type Rule int

// The rules.
const (
	Planned Rule = iota // by the fleet's plan
	Local               // without a fleet: each router prefers its own zone and detects by itself which zones don't answer
	// By zones' health with an overprovisioning factor of 1.4 and a panic threshold of one half, as published for
	// Envoy.
	Locality
	FullKnowledge // with full knowledge and no delay: the upper bound
)

// Settings configures a run.
type Settings struct {
	Zones, Regions    int
	Routers           int
	Load              float64 // as a share of the total capacity
	Skew              float64 // spread of the zones' demands: standard deviation of the logarithm; 0: proportional to capacity
	Seed              uint64
	Rule              Rule
	Duration          float64
	MisreportingShare float64 // share of each zone's routers that report random observations
	Faults            []Fault
}

// Fault is a fault of a zone during some time.
type Fault struct {
	At, Until float64
	Kind      Kind
	Zone, To  int
	By        float64
}

// Kind is the kind of a fault.
type Kind int

// The kinds of faults.
const (
	PowerLoss               Kind = iota // servers and routers of a zone are down
	ServersDown                         // servers of a zone are down
	LinkCut                             // between two zones, both ways
	OneWayCut                           // from one zone to another
	SlowServers                         // servers of a zone are slower by the factor By
	ControllerStopped                   // the process of the owner stops, possibly with a plan on its way
	CoordinatorsUnreachable             // the routers of a zone can't reach the coordinators
	RegionCutOff                        // the routers of a region can't reach the coordinators
	Flapping                            // servers of a zone go down and return, every By seconds
	Drain                               // the operator evacuates the zone
	EmptyLists                          // lists name no servers of the zone
	kinds
)

func (k Kind) String() string {
	return [...]string{"power", "engines", "link", "one way", "slow", "controller", "deaf", "minority", "flapping", "drain", "list"}[k]
}

const (
	stepSeconds        = 0.1
	warmUpSeconds      = 12.0 // seconds of warm-up after servers were down, starting from coldCapacityShare
	coldCapacityShare  = 0.35
	contactInterval    = 1.0
	commitDelay        = 0.15 // seconds until a plan is committed in the registry
	zoneRoundTrip      = 0.02
	regionRoundTrip    = 0.12 // between regions
	overloadEfficiency = 0.75 // of a zone's capacity while it is offered more than 1.2 times that
)

type zone struct {
	fullCapacity, demand float64
	cores                float64
	lastDownAt           float64 // time at which its servers were last down, -1: they are up
	upSince              float64
	recentLoad           [11]float64 // of the last steps, the latest first
	changedUntil         float64     // overload is not counted until then: the capacity has dropped shortly before
	lastCapacity         float64     // capacity in the previous step
	notOverloadedAt      float64     // latest time at which traffic from other zones did not make it overloaded
}

type router struct {
	zone          int
	demand        float64
	follower      *failover.PlanFollower
	nextContact   float64
	lastContact   float64
	plan          failover.PublishedPlan
	planUntil     float64
	failureRate   []float64 // by zone: recent share of failed attempts that the router itself observed
	attemptedWork []float64 // since the last report, by zone; so are failedWork, lateWork and servedWork
	failedWork    []float64
	lateWork      []float64
	servedWork    []float64
	report        failover.Report
	reportFresh   bool
	misreports    bool
}

// Result holds what a run recorded.
type Result struct {
	Served          []float64 // share of all work that was served, by second
	MaxFailoverLoad float64   // highest ratio of a zone's load over a second to its capacity, where traffic from other zones caused it
	// Highest ratio of a zone's load to its planned capacity, under any mixture of the plans that routers may
	// follow.
	MaxPlannedLoad  float64
	OwnZoneShare    float64   // share of the served work that was served in its own zone
	PlanChanges     []float64 // times at which the plan changed
	GivenUp         []string  // healthy zones that a plan gave up
	DownAt          map[int]float64
	OwnZoneServed   []float64 // share of all work that was served in its own zone, by second
	RecoveryTime    float64   // seconds from the end of the last fault until work in its own zone is back at 99 % of the value before; NaN: not within the run
	OfferedBySecond [][]float64
	ReportBytes     float64 // size of a report
}

type world struct {
	settings     Settings
	random       *rand.Rand
	zones        []zone
	routers      []router
	regionOf     []int
	roundTrips   [][]float64
	now          float64
	controller   *failover.Controller
	committed    failover.PublishedPlan
	committedAt  float64
	pending      *failover.PublishedPlan
	pendingSince float64
	owner        int // index of the router that owns the controller's task, -1: none
	ownerStopped bool
	orders       failover.Orders
	result       Result
	nextDecision float64
}

// Play simulates a run.
func Play(s Settings) (Result, error) {
	w := &world{settings: s, random: rand.New(rand.NewPCG(s.Seed, 41)), owner: -1}
	w.result.DownAt = map[int]float64{}
	total := 0.0
	for z := range s.Zones {
		zoneCores := 20 * (0.7 + 0.6*w.random.Float64())
		w.zones = append(w.zones, zone{fullCapacity: zoneCores, cores: zoneCores, upSince: -100, lastDownAt: -1})
		w.regionOf = append(w.regionOf, z*max(s.Regions, 1)/s.Zones)
		total += zoneCores
	}
	weightSum := 0.0
	var weights []float64
	for z := range w.zones {
		zoneWeight := w.zones[z].fullCapacity * math.Exp(s.Skew*w.random.NormFloat64())
		weights, weightSum = append(weights, zoneWeight), weightSum+zoneWeight
	}
	for z := range w.zones {
		w.zones[z].demand = weights[z] / weightSum * total * s.Load
		row := make([]float64, s.Zones)
		for y := range row {
			switch {
			case y == z:
			case w.regionOf[y] == w.regionOf[z]:
				row[y] = zoneRoundTrip
			default:
				row[y] = regionRoundTrip
			}
		}
		w.roundTrips = append(w.roundTrips, row)
	}
	for k := range s.Routers {
		z := k % s.Zones
		n := (s.Routers + s.Zones - 1 - z) / s.Zones
		w.routers = append(w.routers, router{zone: z, demand: w.zones[z].demand / float64(n), follower: failover.NewPlanFollower(z, s.Zones, 0.05),
			nextContact: w.random.Float64() * contactInterval, planUntil: math.Inf(-1), failureRate: make([]float64, s.Zones), attemptedWork: make([]float64, s.Zones),
			failedWork: make([]float64, s.Zones), lateWork: make([]float64, s.Zones), servedWork: make([]float64, s.Zones), misreports: k/s.Zones < int(s.MisreportingShare*float64(n))})
	}
	w.committed = failover.PublishedPlan{Epoch: 1, Plan: failover.LocalPlan(s.Zones), Fallback: failover.LocalPlan(s.Zones)}
	for w.now = 0; w.now < s.Duration; w.now += stepSeconds {
		w.applyFaults()
		if s.Rule == Planned {
			w.runController()
			w.contactCoordinators()
		}
		w.serveStep()
	}
	w.finish()
	return w.result, nil
}

func (w *world) activeFault(kind Kind, z int) (Fault, bool) {
	for _, f := range w.settings.Faults {
		if f.Kind == kind && f.Zone == z && w.now >= f.At && w.now < f.Until {
			return f, true
		}
	}
	return Fault{}, false
}

func (w *world) down(z int) bool {
	if _, ok := w.activeFault(PowerLoss, z); ok {
		return true
	}
	if _, ok := w.activeFault(ServersDown, z); ok {
		return true
	}
	if f, ok := w.activeFault(Flapping, z); ok {
		return int((w.now-f.At)/f.By)%2 == 0
	}
	return false
}

func (w *world) linkCut(from, to int) bool {
	for _, f := range w.settings.Faults {
		if w.now >= f.At && w.now < f.Until && (f.Kind == LinkCut && (f.Zone == from && f.To == to || f.Zone == to && f.To == from) ||
			f.Kind == OneWayCut && f.Zone == from && f.To == to) {
			return true
		}
	}
	return false
}

func (w *world) applyFaults() {
	w.ownerStopped = false
	draining := make([]bool, w.settings.Zones)
	for z := range w.zones {
		x := &w.zones[z]
		if w.down(z) {
			x.lastDownAt = w.now
			if _, ok := w.result.DownAt[z]; !ok {
				w.result.DownAt[z] = w.now
			}
		} else if x.lastDownAt >= 0 {
			x.upSince, x.lastDownAt = w.now, -1
		}
		_, draining[z] = w.activeFault(Drain, z)
		if _, ok := w.activeFault(ControllerStopped, z); ok {
			w.ownerStopped = true
		}
	}
	w.orders.Evacuate = draining
}

// capacity returns the current capacity of a zone.
func (w *world) capacity(z int) float64 {
	x := &w.zones[z]
	if w.down(z) {
		return 0
	}
	c := x.fullCapacity * min(coldCapacityShare+(1-coldCapacityShare)*(w.now-x.upSince)/warmUpSeconds, 1)
	if f, ok := w.activeFault(SlowServers, z); ok {
		c /= f.By
	}
	return c
}

// listedCores returns the ready cores of a zone according to the lists.
func (w *world) listedCores(z int) float64 {
	x := &w.zones[z]
	if _, ok := w.activeFault(EmptyLists, z); ok {
		return 0
	}
	if w.down(z) {
		if w.now-max(x.upSince, w.result.DownAt[z]) > 6 { // lists name servers for up to 6 s after they went down
			return 0
		}
		return x.cores
	}
	return x.cores * min(coldCapacityShare+(1-coldCapacityShare)*(w.now-x.upSince)/warmUpSeconds, 1)
}

// reachesCoordinators reports whether a router reaches the coordinators.
func (w *world) reachesCoordinators(r *router) bool {
	if _, ok := w.activeFault(PowerLoss, r.zone); ok {
		return false
	}
	if _, ok := w.activeFault(CoordinatorsUnreachable, r.zone); ok {
		return false
	}
	for _, f := range w.settings.Faults {
		if f.Kind == RegionCutOff && w.now >= f.At && w.now < f.Until && w.regionOf[f.Zone] == w.regionOf[r.zone] {
			return false
		}
	}
	return true
}

// runController lets the owner's controller plan every half second. When the owner is lost, another router takes over
// after a lease.
func (w *world) runController() {
	const lease = 2.0
	if w.pending != nil && w.now >= w.pendingSince+commitDelay {
		w.committed, w.committedAt, w.pending = *w.pending, w.now, nil
	}
	if w.now < w.nextDecision {
		return
	}
	w.nextDecision = w.now + 0.5
	if w.owner >= 0 && !w.reachesCoordinators(&w.routers[w.owner]) || w.ownerStopped && w.controller != nil {
		w.owner, w.controller = -1, nil
		w.nextDecision = w.now + lease
		return
	}
	if w.owner < 0 {
		for n := range w.routers {
			k := (n*7 + int(w.now)) % len(w.routers)
			if w.reachesCoordinators(&w.routers[k]) {
				w.owner = k
				break
			}
		}
		if w.owner < 0 {
			return
		}
		w.controller = failover.NewController(failover.Config{Lifetime: failover.Lifetime, Drift: 0.05, RoundTrip: w.roundTrips}, w.settings.Zones, w.now, w.committed)
	}
	var reports []failover.Report
	sessions := 0
	for k := range w.routers {
		r := &w.routers[k]
		if w.reachesCoordinators(r) {
			sessions++
			if r.reportFresh {
				reports = append(reports, r.report)
			}
		}
	}
	if p, ok := w.controller.Next(w.now, reports, sessions, w.orders); ok {
		w.pending, w.pendingSince = &p, w.now
		// A publication that only updates the recorded demand is not counted.
		if len(w.controller.Changes) > 0 && w.controller.Changes[len(w.controller.Changes)-1] == w.now {
			w.result.PlanChanges = append(w.result.PlanChanges, w.now)
		}
		load := failover.MaxMixedLoad(w.controller.Demand, p.Plan, w.committed.Plan)
		before := failover.MaxMixedLoad(w.controller.Demand, w.committed.Plan)
		for z := range load {
			// Only load that the plan adds.
			if capacity := w.controller.PlanCapacity[z]; capacity > 0 && load[z] > before[z]+1e-6 {
				w.result.MaxPlannedLoad = max(w.result.MaxPlannedLoad, load[z]/capacity)
			}
		}
		for z := range w.zones {
			if p.Plan.Load(ones(w.settings.Zones))[z] == 0 && w.committed.Plan.Load(ones(w.settings.Zones))[z] > 0 && w.undisturbed(z) {
				w.result.GivenUp = append(w.result.GivenUp, fmt.Sprintf("zone %d at %.1f: %s", z, w.now, p.Reason))
			}
		}
	}
}

func ones(n int) []float64 {
	row := make([]float64, n)
	for k := range row {
		row[k] = 1
	}
	return row
}

func (w *world) demands() []float64 {
	zoneDemand := make([]float64, w.settings.Zones)
	for k := range w.routers {
		if r := &w.routers[k]; !w.routerDown(r) {
			zoneDemand[r.zone] += r.demand
		}
	}
	return zoneDemand
}

// undisturbed reports whether a zone has no fault of its own, had none in the last 40 s and is not drained.
func (w *world) undisturbed(z int) bool {
	for _, f := range w.settings.Faults {
		affects := f.Zone == z && f.Kind != ControllerStopped && f.Kind != CoordinatorsUnreachable && f.Kind != RegionCutOff && f.Kind != OneWayCut && f.Kind != LinkCut
		if affects && w.now >= f.At && w.now < f.Until+40 {
			return false
		}
	}
	return true
}

func (w *world) routerDown(r *router) bool {
	_, ok := w.activeFault(PowerLoss, r.zone)
	return ok
}

// contactCoordinators lets each router fetch the plan and report its observations once a second.
func (w *world) contactCoordinators() {
	for k := range w.routers {
		r := &w.routers[k]
		if w.now < r.nextContact {
			continue
		}
		span := w.now - r.lastContact
		r.lastContact, r.nextContact = w.now, w.now+contactInterval*(0.9+0.2*w.random.Float64())
		if w.routerDown(r) {
			r.reportFresh = false
			continue
		}
		if !w.reachesCoordinators(r) {
			r.reportFresh = false
		} else {
			if r.plan.Epoch != w.committed.Epoch {
				r.plan = w.committed
			}
			r.follower.Receive(w.now, w.committed)
			r.reportFresh = true
		}
		newReport := failover.Report{Zone: r.zone, Demand: r.demand, Epoch: r.follower.Epoch(w.now), Span: span}
		for z := range w.zones {
			observation := failover.ZoneObservation{Attempts: r.attemptedWork[z] * 5, Failed: min(r.failedWork[z], r.attemptedWork[z]) * 5, Late: r.lateWork[z] * 5, Work: r.servedWork[z], Ready: w.listedCores(z), Slow: 1}
			if observation.Ready > 0 {
				observation.ColdCores = w.zones[z].cores - observation.Ready
			}
			if f, ok := w.activeFault(SlowServers, z); ok {
				observation.Slow = f.By
			}
			if r.failureRate[z] > 0.5 {
				observation.SuspectCores = observation.Ready
			}
			if r.misreports {
				observation.SuspectCores, observation.Failed, observation.Slow, observation.Late = 0, observation.Attempts*w.random.Float64(), 20*w.random.Float64(), 0
			}
			newReport.Observations = append(newReport.Observations, observation)
		}
		r.report = newReport
		for z := range w.zones {
			r.attemptedWork[z], r.failedWork[z], r.lateWork[z], r.servedWork[z] = 0, 0, 0, 0
		}
	}
}
