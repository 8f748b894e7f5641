// Package failover decides for a whole fleet where each zone's work goes. It detects zones that are lost, slow or cut off,
// estimates the capacity of each zone, computes a plan of shares, and computes the steps from one plan to the next. It does
// no I/O and reads no clock; times are seconds of the caller's clock. One router at a time runs the controller, protected
// by a fence. All other routers follow its plans until the plans expire.
package failover

import (
	"cmp"
	"math"
	"slices"
)

// MaxZones is the largest number of zones that a plan supports.
const MaxZones = 16

// ZoneObservation is what one router observed of one zone's servers since its last report.
type ZoneObservation struct {
	Attempts      float64 `json:"n,omitempty"` // attempts that ended
	Failed        float64 `json:"b,omitempty"` // of those: cut off, connection refused, or not completed in time
	Rejected      float64 `json:"t,omitempty"` // rejected because a server was full
	Late          float64 `json:"l,omitempty"` // completed after the latency target
	Work          float64 `json:"w,omitempty"` // core seconds completed in time
	Slow          float64 `json:"s,omitempty"` // response time relative to an idle core's for the same work, weighted by work; 0: no data
	Ready         float64 `json:"r,omitempty"` // cores of ready servers in discovery; a cold server counts with the part that it can already serve
	ColdCores     float64 `json:"c,omitempty"` // cores of cold servers that cannot be used yet
	DrainingCores float64 `json:"d,omitempty"` // cores of draining servers
	SuspectCores  float64 `json:"q,omitempty"` // cores of ready servers to which this router sends only probes because attempts there failed
	SlowWork      float64 `json:"-"`           // core seconds of work behind Slow
}

// failureShare returns the share of failures in the zone as this router observed it, and the weight of the observation. A
// router that has suspended servers because of failures sends them almost nothing, so its suspected cores count as evidence
// too.
func (s *ZoneObservation) failureShare() (share, weight float64) {
	if s.Attempts > 0 {
		share, weight = s.Failed/s.Attempts, min(s.Attempts/fullWeightAttempts, 1)
	}
	if suspected := min(s.SuspectCores/max(s.Ready, 1e-9), 1); s.Ready > 0 && suspected > 0 {
		share, weight = max(share, suspected), max(weight, suspected)
	}
	return share, weight
}

// Report is a router's evidence, sent once per second.
type Report struct {
	Zone         int               `json:"zone"`   // of the router
	Demand       float64           `json:"demand"` // core seconds per second that its clients request
	Pinned       float64           `json:"pinned"` // part of Demand that must stay in the zone
	Epoch        uint64            `json:"epoch"`  // epoch of the plan that it follows, 0: none
	Span         float64           `json:"span"`   // seconds covered by the report, 0: one second
	Observations []ZoneObservation `json:"sights"` // by zone
}

// OwnZoneFails reports whether this router's own zone fails: the router sends only probes to most of the ready servers
// there.
func (r *Report) OwnZoneFails() bool {
	if r.Zone < 0 || r.Zone >= len(r.Observations) {
		return false
	}
	share, weight := r.Observations[r.Zone].failureShare()
	return share >= unreachableShare && weight >= minWeight
}

// seconds returns the time that the report covers. A late report covers the work of more than one second; without this
// correction it would overstate the zone's capacity.
func (r *Report) seconds() float64 {
	if r.Span <= 0 {
		return 1
	}
	return max(r.Span, 0.2) // two reports in close succession cover too few responses for a rate
}

// Valid reports whether the values of a report are plausible.
func (r *Report) Valid(zones int) bool {
	valid := func(x float64) bool { return x >= 0 && x < 1e9 }
	if r.Zone < 0 || r.Zone >= zones || len(r.Observations) != zones || !valid(r.Demand) || !valid(r.Span) || !valid(r.Pinned) || r.Pinned > r.Demand+1e-9 {
		return false
	}
	for _, s := range r.Observations {
		if !valid(s.Attempts) || !valid(s.Failed) || !valid(s.Rejected) || !valid(s.Late) || !valid(s.Work) || !valid(s.Slow) || !valid(s.Ready) || !valid(s.DrainingCores) || !valid(s.ColdCores) || !valid(s.SuspectCores) ||
			s.Failed+s.Rejected > s.Attempts+1e-9 {
			return false
		}
	}
	return true
}

// ZoneHealth is the state of a zone.
type ZoneHealth uint8

// The states of a zone.
const (
	Unknown    ZoneHealth = iota // no router sends attempts there
	Healthy                      // attempts succeed in time
	Lost                         // unreachable for all observers that count
	Slow                         // responses take several times as long as in other zones
	Failing                      // a considerable share of attempts fails
	Overloaded                   // rejects requests or completes them late
	Draining                     // its servers are being removed
	Empty                        // discovery lists no ready server there
)

func (v ZoneHealth) String() string {
	return [...]string{"unknown", "well", "lost", "slow", "failing", "overloaded", "draining", "empty"}[v]
}

// Assessment covers the whole matrix of observing zones and target zones.
type Assessment struct {
	Zones       []ZoneHealth
	Slow        []float64 // slowdown of each zone relative to the others, 1: none
	Unreachable [][]bool  // [from][to]: reachable for other zones or for its own routers, but not from this one
	Isolated    []bool    // the observers in this zone are themselves cut off
}

// weightedValue is one router's observation and its weight.
type weightedValue struct{ value, weight float64 }

// weightedMedian returns the median by weight. A minority of observers cannot move it beyond the values that honest
// observers report.
func weightedMedian(values []weightedValue) (value, weight float64) {
	for _, v := range values {
		weight += v.weight
	}
	slices.SortFunc(values, func(a, b weightedValue) int { return cmp.Compare(a.value, b.value) })
	sum := 0.0
	for _, v := range values {
		if sum += v.weight; sum >= weight/2 {
			return v.value, weight
		}
	}
	return 0, 0
}

// Thresholds of an assessment.
const (
	fullWeightAttempts = 8.0  // attempts for a router's full weight; fewer reduce it in proportion
	minWeight          = 0.5  // total weight below which there is not enough evidence
	unreachableShare   = 0.5  // share of failed attempts from which a zone counts as unreachable
	failingShare       = 0.15 // share of failed attempts from which a zone counts as failing
	slowThreshold      = 2.5  // slowdown from which a zone is slow, the same as for a single server's health
	agreementShare     = 0.6  // share of the observers' weight that must agree that a zone is lost; up to half may report wrong data
	overloadedShare    = 0.2  // share of attempts that are rejected or late
)

// Assess evaluates the zones from fresh reports. A router's weight grows with the attempts that it sent, up to a bound. The
// observation of a zone is the median over its routers.
func Assess(reports []Report, zones int) Assessment {
	j := Assessment{Zones: make([]ZoneHealth, zones), Slow: make([]float64, zones), Isolated: make([]bool, zones)}
	failureShare := make([][]float64, zones) // [from][to]: share of failed attempts, NaN: unknown
	for o := range zones {
		j.Unreachable = append(j.Unreachable, make([]bool, zones))
		failureShare[o] = make([]float64, zones)
		for z := range zones {
			var shares []weightedValue
			for k := range reports {
				if share, w := reports[k].Observations[z].failureShare(); reports[k].Zone == o && w > 0 {
					shares = append(shares, weightedValue{share, w})
				}
			}
			value, weight := weightedMedian(shares)
			if failureShare[o][z] = value; weight < minWeight {
				failureShare[o][z] = math.NaN()
			}
		}
	}
	reaches := func(o, z int) bool { return failureShare[o][z] < unreachableShare }
	fails := func(o, z int) bool { return failureShare[o][z] >= unreachableShare }
	// A zone is itself cut off if its observers reach no other zone while other zones reach each other. Its observations of
	// other zones are ignored.
	for o := range zones {
		failedTargets, witnesses := 0, 0
		for z := range zones {
			if z != o && fails(o, z) {
				failedTargets++
			}
			for p := range zones {
				if z != o && p != o && p != z && reaches(p, z) {
					witnesses++
				}
			}
			if z != o && (reaches(o, z) || z != o && reaches(z, z) && math.IsNaN(failureShare[o][z])) {
				failedTargets = -zones
			}
		}
		j.Isolated[o] = failedTargets >= 2 && witnesses > 0
	}
	j.Slow = relativeSlowdowns(reports, zones)
	for z := range zones {
		j.Zones[z] = judgeZone(reports, z, j.Isolated, j.Slow[z])
		reachedByOwn := reaches(z, z) // if its own routers reach it, the zone is up
		if j.Zones[z] == Lost && reachedByOwn {
			j.Zones[z] = Healthy
		}
		// If the zone's own routers do not report, a single other zone may only have lost the link between the two.
		if witnesses := 0; j.Zones[z] == Lost && math.IsNaN(failureShare[z][z]) && zones > 2 {
			for o := range zones {
				if o != z && fails(o, z) && !j.Isolated[o] {
					witnesses++
				}
			}
			if witnesses < 2 {
				j.Zones[z] = Unknown
			}
		}
		for o := range zones {
			// This includes the zone's own work: the zone may be reachable for others, or others may wrongly claim so. A
			// zone whose routers reach no zone has nowhere better to send its work.
			j.Unreachable[o][z] = fails(o, z) && j.Zones[z] != Lost && (o != z || !j.Isolated[o])
		}
	}
	return j
}

// judgeZone evaluates a zone from all observers that are not cut off themselves.
func judgeZone(reports []Report, zone int, isolated []bool, slowdown float64) ZoneHealth {
	var lost, failing, overloaded, weight, readyCores, drainingCores float64
	var readyVotes, drainingVotes []weightedValue
	for k := range reports {
		r := &reports[k]
		s := &r.Observations[zone]
		if isolated[r.Zone] && r.Zone != zone {
			continue
		}
		readyVotes, drainingVotes = append(readyVotes, weightedValue{s.Ready, 1}), append(drainingVotes, weightedValue{s.DrainingCores, 1})
		share, w := s.failureShare()
		if w <= 0 {
			continue
		}
		weight += w
		if share >= unreachableShare {
			lost += w
		} else if share >= failingShare {
			failing += w
		}
		if s.Attempts > 0 && (s.Rejected+s.Late)/s.Attempts >= overloadedShare {
			overloaded += w
		}
	}
	readyCores, _ = weightedMedian(readyVotes)
	drainingCores, _ = weightedMedian(drainingVotes)
	switch {
	case len(readyVotes) > 0 && readyCores <= 0 && drainingCores > 0:
		return Draining
	case len(readyVotes) > 0 && readyCores <= 0:
		return Empty
	case weight < minWeight:
		return Unknown
	case lost >= agreementShare*weight:
		return Lost
	case lost+failing >= agreementShare*weight:
		return Failing
	case overloaded >= agreementShare*weight: // takes precedence over Slow: the work that it serves measures its capacity
		return Overloaded
	case slowdown >= slowThreshold:
		return Slow
	}
	return Healthy
}

// relativeSlowdowns compares the zones as their own routers observe them: response time relative to work, less the part
// that load explains. Comparing a router with its own past would adapt to a zone that stays slow. If the whole fleet is
// slow there is nowhere better to send work. A zone without data from its own routers does not count as slow.
func relativeSlowdowns(reports []Report, zones int) []float64 {
	const maxUtilization = 0.8 // of a zone's cores; beyond it load explains a fivefold slowdown or more, and the estimate is rough
	normalized, relative := make([]float64, zones), make([]float64, zones)
	for z := range zones {
		var slowVotes, coreVotes []weightedValue
		work := 0.0
		for k := range reports {
			r := &reports[k]
			s := &r.Observations[z]
			work += s.Work / r.seconds()
			coreVotes = append(coreVotes, weightedValue{s.Ready + s.ColdCores, 1})
			if r.Zone == z && s.Slow > 0 && s.Attempts > 0 {
				slowVotes = append(slowVotes, weightedValue{s.Slow, min(s.Attempts/fullWeightAttempts, 1)})
			}
		}
		slowdown, weight := weightedMedian(slowVotes)
		cores, _ := weightedMedian(coreVotes)
		if weight >= minWeight && cores > 0 {
			normalized[z] = max(slowdown*(1-min(work/cores, maxUtilization)), 1)
		}
	}
	for z := range zones {
		relative[z] = 1
		var others []weightedValue
		for y := range zones {
			if y != z && normalized[y] > 0 {
				others = append(others, weightedValue{normalized[y], 1})
			}
		}
		if base, _ := weightedMedian(others); normalized[z] > 0 && base > 0 {
			relative[z] = max(normalized[z]/base, 1)
		}
	}
	return relative
}
