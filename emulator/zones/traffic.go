package zones

// This file computes the traffic of each step, and the zones that routers without a plan choose.

import (
	"math"
	"math/rand/v2"

	"dunereach/fleet/failover"
)

// shares returns the share of a router's traffic that goes to each zone now.
func (w *world) shares(r *router) []float64 {
	n := w.settings.Zones
	shares := make([]float64, n)
	switch w.settings.Rule {
	case Planned:
		if r.follower.Epoch(w.now) > 0 {
			copy(shares, r.plan.Plan.Share[r.zone])
			if r.failureRate[r.zone] > 0.5 && shares[r.zone] > 0 && r.plan.ZoneLoss.Check(n) == nil {
				for z, x := range r.plan.ZoneLoss.Share[r.zone] {
					shares[z] = 0.95 * x
				}
				shares[r.zone] = 0.05 // probes
			}
			// A zone that just failed this router's own attempts gets only probes from it, whatever the plan says.
			for z := range shares {
				if r.failureRate[z] > 0.5 && z != r.zone {
					shares[z] *= 0.05
				}
			}
			return shares
		}
		shares[r.zone] = 1
		// Without a plan that is valid now, the router uses the capacity reserved for it by the last one; the rest
		// of its traffic has nowhere to go.
		if r.failureRate[r.zone] > 0.5 && r.plan.Epoch > 0 {
			for z, x := range r.plan.Fallback.Share[r.zone] {
				if z != r.zone && r.failureRate[z] <= 0.5 {
					shares[z] = x
				}
			}
			shares[r.zone] = 0.05
		}
	case Local:
		// Routers don't know the load: each uses its own zone unless that doesn't answer, and then all others evenly.
		if r.failureRate[r.zone] <= 0.5 {
			shares[r.zone] = 1
			return shares
		}
		others := 0.0
		for z := range shares {
			if z != r.zone && r.failureRate[z] <= 0.5 {
				shares[z] = 1
				others++
			}
		}
		for z := range shares {
			if others > 0 {
				shares[z] *= 0.97 / others
			}
		}
		shares[r.zone] = 0.03
	case Locality:
		health := make([]float64, n)
		healthSum := 0.0
		for z := range health {
			health[z] = max(1-r.failureRate[z], 0)
			healthSum += health[z]
		}
		if healthSum/float64(n) < 0.5 { // panic threshold: spread evenly over all zones
			for z := range shares {
				shares[z] = 1 / float64(n)
			}
			return shares
		}
		shares[r.zone] = min(1.4*health[r.zone], 1)
		remaining := 1 - shares[r.zone]
		sum := healthSum - health[r.zone]
		for z := range shares {
			if z != r.zone && sum > 0 {
				shares[z] = remaining * health[z] / sum
			}
		}
	}
	return shares
}

// serveStep simulates the traffic of one step.
func (w *world) serveStep() {
	n := w.settings.Zones
	offered, ownLoad := make([]float64, n), make([]float64, n)
	rows := make([][]float64, len(w.routers))
	routerDemands := make([][]float64, len(w.routers)) // core seconds per second that each router sends to each zone
	requested := 0.0
	var optimal failover.Plan
	if w.settings.Rule == FullKnowledge {
		roundTrips := make([][]float64, n)
		capacities := make([]float64, n)
		for o := range roundTrips {
			roundTrips[o] = append([]float64(nil), w.roundTrips[o]...)
			capacities[o] = w.capacity(o)
			for z := range roundTrips[o] {
				if w.linkCut(o, z) {
					roundTrips[o][z] = math.Inf(1)
				}
			}
		}
		optimal = failover.Solve(failover.Problem{Demand: w.demands(), Pinned: make([]float64, n), Capacity: capacities, RoundTrip: roundTrips})
	}
	for k := range w.routers {
		r := &w.routers[k]
		if w.routerDown(r) {
			continue
		}
		requested += r.demand
		if w.settings.Rule == FullKnowledge {
			rows[k] = optimal.Share[r.zone]
		} else {
			rows[k] = w.shares(r)
		}
		routerDemands[k] = make([]float64, n)
		for z, x := range rows[k] {
			routerDemands[k][z] = x * r.demand
		}
	}
	for z := range w.zones {
		w.limitColdTraffic(z, routerDemands)
		for k := range routerDemands {
			if routerDemands[k] != nil && !w.linkCut(w.routers[k].zone, z) {
				offered[z] += routerDemands[k][z]
				if z == w.routers[k].zone {
					ownLoad[z] += routerDemands[k][z]
				}
			}
		}
	}
	served, local := 0.0, 0.0
	servedShare := make([]float64, n)
	for z := range w.zones {
		x := &w.zones[z]
		capacity := w.capacity(z)
		if offered[z] > 1.2*capacity {
			capacity *= overloadEfficiency
		}
		if servedShare[z] = 1; offered[z] > capacity {
			servedShare[z] = capacity / max(offered[z], 1e-9)
		}
		copy(x.recentLoad[1:], x.recentLoad[:10])
		x.recentLoad[0] = offered[z]
		mean := 0.0
		for _, o := range x.recentLoad[:10] {
			mean += o / 10
		}
		// Counts a zone as overloaded by failover only if traffic from other zones causes the overload. Routers had no
		// time to react to a zone whose capacity has just dropped.
		full := w.capacity(z)
		if full < x.lastCapacity*0.98 {
			x.changedUntil = w.now + 4
		}
		if !(full > 0 && offered[z]-ownLoad[z] > 0.02*full && ownLoad[z] < 0.97*full) {
			x.notOverloadedAt = w.now
		} else if w.now > max(x.changedUntil, 3) && w.now >= x.notOverloadedAt+1 {
			w.result.MaxFailoverLoad = max(w.result.MaxFailoverLoad, mean/full)
		}
		x.lastCapacity = full
	}
	for k := range w.routers {
		r := &w.routers[k]
		if routerDemands[k] == nil {
			continue
		}
		for z, x := range routerDemands[k] {
			work := x * stepSeconds
			if work <= 0 {
				continue
			}
			r.attemptedWork[z] += work
			onTime, late := work*servedShare[z], work*(1-servedShare[z])
			if w.linkCut(r.zone, z) || w.capacity(z) == 0 {
				onTime, late = 0, 0
				r.failedWork[z] += work
			}
			r.lateWork[z] += late
			r.servedWork[z] += onTime
			served += onTime
			if z == r.zone {
				local += onTime
			}
			outcome := 0.0
			if onTime+late <= 0 {
				outcome = 1
			}
			const detectionTime = 0.7 // seconds in which a router detects by itself that a zone fails
			r.failureRate[z] += (outcome - r.failureRate[z]) * stepSeconds / detectionTime
		}
		// Without attempts the failures are forgotten within some seconds and the zone is tried again.
		for z := range r.failureRate {
			if rows[k][z] == 0 {
				r.failureRate[z] *= 1 - stepSeconds/6
			}
		}
	}
	second := int(w.now + 1e-6)
	for len(w.result.Served) <= second {
		w.result.Served = append(w.result.Served, 0)
		w.result.OfferedBySecond = append(w.result.OfferedBySecond, make([]float64, n))
		w.result.OwnZoneServed = append(w.result.OwnZoneServed, 0)
	}
	if requested > 0 {
		w.result.Served[second] += served / (requested * stepSeconds) / 10
		w.result.OwnZoneServed[second] += local / (requested * stepSeconds) / 10
	}
	for z := range w.zones {
		w.result.OfferedBySecond[second][z] += offered[z] / 10
	}
	if served > 0 {
		w.result.OwnZoneShare += local / served * stepSeconds / w.settings.Duration
	}
}

// limitColdTraffic limits the traffic to a zone whose servers have just started, as admission controllers do under any
// plan: all routers together send no more than cold servers can take. Routers that reach the coordinators are granted
// shares by need; the others use an equal share.
func (w *world) limitColdTraffic(z int, routerDemands [][]float64) {
	x := &w.zones[z]
	age := w.now - x.upSince
	if w.settings.Rule == FullKnowledge || w.down(z) || age >= warmUpSeconds {
		return
	}
	warmShare := age / warmUpSeconds
	// The admission controller's ramp, quadratic in the age.
	allowed := x.fullCapacity * (coldCapacityShare + (1-coldCapacityShare)*warmShare*warmShare)
	equalShare := allowed / float64(len(w.routers))
	need, left := 0.0, allowed
	granted := func(k int) bool { return w.settings.Rule == Planned && w.routers[k].follower.Epoch(w.now) > 0 }
	for k := range routerDemands {
		if routerDemands[k] != nil && granted(k) {
			need += routerDemands[k][z]
		} else {
			left -= equalShare
		}
	}
	for k := range routerDemands {
		switch {
		case routerDemands[k] == nil:
		case !granted(k):
			routerDemands[k][z] = min(routerDemands[k][z], equalShare)
		case need > left:
			routerDemands[k][z] *= max(left, 0) / need
		}
	}
}

func (w *world) finish() {
	last := 0.0
	for _, f := range w.settings.Faults {
		last = max(last, f.Until)
	}
	w.result.RecoveryTime = math.NaN()
	before := w.result.OwnZoneServed[min(10, len(w.result.OwnZoneServed)-1)] // of a second without faults
	for t := int(math.Ceil(last)); t < len(w.result.OwnZoneServed)-1; t++ {
		if w.result.OwnZoneServed[t] >= 0.99*before {
			w.result.RecoveryTime = float64(t) - last
			break
		}
	}
}

// RandomSettings returns settings with random faults, several at a time.
func RandomSettings(seed uint64) Settings {
	r := rand.New(rand.NewPCG(seed, 42))
	s := Settings{Zones: 3 + r.IntN(5), Regions: 1 + r.IntN(3), Routers: 30, Load: 0.35 + 0.35*r.Float64(), Skew: 0.3 * r.Float64(), Seed: seed, Duration: 90}
	for range 1 + r.IntN(3) {
		f := Fault{At: 15 + 30*r.Float64(), Kind: Kind(r.IntN(int(kinds))), Zone: r.IntN(s.Zones)}
		f.To = (f.Zone + 1 + r.IntN(s.Zones-1)) % s.Zones
		f.Until = f.At + 3 + 25*r.Float64()
		switch f.Kind {
		case SlowServers:
			f.By = 3 + 8*r.Float64()
		case Flapping:
			f.By, f.Until = 5, f.At+30
		}
		s.Faults = append(s.Faults, f)
	}
	return s
}
