package zones

// This file is the traffic of one step, and how routers that follow no plan choose.

import (
	"math"
	"math/rand/v2"

	"dunereach/fleet/failover"
)

// row is where a router's work goes now.
func (w *world) row(r *router) []float64 {
	n := w.s.Zones
	row := make([]float64, n)
	switch w.s.Rule {
	case Planned:
		if r.guide.Epoch(w.now) > 0 {
			copy(row, r.heard.Plan.Share[r.zone])
			if r.bad[r.zone] > 0.5 && row[r.zone] > 0 && r.heard.ZoneLoss.Check(n) == nil {
				for z, x := range r.heard.ZoneLoss.Share[r.zone] {
					row[z] = 0.95 * x
				}
				row[r.zone] = 0.05 // trials
			}
			// What it sees itself: a zone that just failed it gets trials only, whatever the plan says.
			for z := range row {
				if r.bad[z] > 0.5 && z != r.zone {
					row[z] *= 0.05
				}
			}
			return row
		}
		row[r.zone] = 1
		if r.bad[r.zone] > 0.5 && r.heard.Epoch > 0 { // alone: what was spared for it, the rest has nowhere to go
			for z, x := range r.heard.Fallback.Share[r.zone] {
				if z != r.zone && r.bad[z] <= 0.5 {
					row[z] = x
				}
			}
			row[r.zone] = 0.05
		}
	case Local:
		// Load is not known; its own zone unless that does not answer, then all others alike.
		if r.bad[r.zone] <= 0.5 {
			row[r.zone] = 1
			return row
		}
		others := 0.0
		for z := range row {
			if z != r.zone && r.bad[z] <= 0.5 {
				row[z] = 1
				others++
			}
		}
		for z := range row {
			if others > 0 {
				row[z] *= 0.97 / others
			}
		}
		row[r.zone] = 0.03
	case Locality:
		health := make([]float64, n)
		all := 0.0
		for z := range health {
			health[z] = max(1-r.bad[z], 0)
			all += health[z]
		}
		if all/float64(n) < 0.5 { // panic: everybody alike
			for z := range row {
				row[z] = 1 / float64(n)
			}
			return row
		}
		row[r.zone] = min(1.4*health[r.zone], 1)
		rest := 1 - row[r.zone]
		sum := all - health[r.zone]
		for z := range row {
			if z != r.zone && sum > 0 {
				row[z] = rest * health[z] / sum
			}
		}
	}
	return row
}

// flow of one step.
func (w *world) flow() {
	n := w.s.Zones
	offered, own := make([]float64, n), make([]float64, n)
	rows := make([][]float64, len(w.routers))
	wants := make([][]float64, len(w.routers)) // core seconds a second that a router sends to each zone
	asked := 0.0
	var best failover.Plan
	if w.s.Rule == Knowing {
		ways := make([][]float64, n)
		caps := make([]float64, n)
		for o := range ways {
			ways[o] = append([]float64(nil), w.ways[o]...)
			caps[o] = w.can(o)
			for z := range ways[o] {
				if w.cut(o, z) {
					ways[o][z] = math.Inf(1)
				}
			}
		}
		best = failover.Solve(failover.Problem{Demand: w.demands(), Pinned: make([]float64, n), Capacity: caps, RoundTrip: ways})
	}
	for k := range w.routers {
		r := &w.routers[k]
		if w.off(r) {
			continue
		}
		asked += r.demand
		if w.s.Rule == Knowing {
			rows[k] = best.Share[r.zone]
		} else {
			rows[k] = w.row(r)
		}
		wants[k] = make([]float64, n)
		for z, x := range rows[k] {
			wants[k][z] = x * r.demand
		}
	}
	for z := range w.zones {
		w.spare(z, wants)
		for k := range wants {
			if wants[k] != nil && !w.cut(w.routers[k].zone, z) {
				offered[z] += wants[k][z]
				if z == w.routers[k].zone {
					own[z] += wants[k][z]
				}
			}
		}
	}
	got, near := 0.0, 0.0
	share := make([]float64, n)
	for z := range w.zones {
		x := &w.zones[z]
		can := w.can(z)
		if offered[z] > 1.2*can {
			can *= thrash
		}
		if share[z] = 1; offered[z] > can {
			share[z] = can / max(offered[z], 1e-9)
		}
		copy(x.offered[1:], x.offered[:10])
		x.offered[0] = offered[z]
		mean := 0.0
		for _, o := range x.offered[:10] {
			mean += o / 10
		}
		// Too much because of a failover: what comes from elsewhere makes it so. A zone that has just changed itself had no time.
		full := w.can(z)
		if full < x.steady*0.98 {
			x.pushed = w.now + 4
		}
		if !(full > 0 && offered[z]-own[z] > 0.02*full && own[z] < 0.97*full) {
			x.since = w.now
		} else if w.now > max(x.pushed, 3) && w.now >= x.since+1 {
			w.r.Worst = max(w.r.Worst, mean/full)
		}
		x.steady = full
	}
	for k := range w.routers {
		r := &w.routers[k]
		if wants[k] == nil {
			continue
		}
		for z, x := range wants[k] {
			work := x * step
			if work <= 0 {
				continue
			}
			r.sent[z] += work
			good, late := work*share[z], work*(1-share[z])
			if w.cut(r.zone, z) || w.can(z) == 0 {
				good, late = 0, 0
				r.failed[z] += work
			}
			r.late[z] += late
			r.served[z] += good
			got += good
			if z == r.zone {
				near += good
			}
			bad := 0.0
			if good+late <= 0 {
				bad = 1
			}
			const sees = 0.7 // seconds in which a router finds out alone
			r.bad[z] += (bad - r.bad[z]) * step / sees
		}
		for z := range r.bad { // without a send it is forgotten in some seconds, and tried again
			if rows[k][z] == 0 {
				r.bad[z] *= 1 - step/6
			}
		}
	}
	second := int(w.now + 1e-6)
	for len(w.r.Worth) <= second {
		w.r.Worth = append(w.r.Worth, 0)
		w.r.Timeline = append(w.r.Timeline, make([]float64, n))
		w.r.Home = append(w.r.Home, 0)
	}
	if asked > 0 {
		w.r.Worth[second] += got / (asked * step) / 10
		w.r.Home[second] += near / (asked * step) / 10
	}
	for z := range w.zones {
		w.r.Timeline[second][z] += offered[z] / 10
	}
	if got > 0 {
		w.r.Near += near / got * step / w.s.Length
	}
}

// spare keeps rule 4, as the module does whatever plan it follows: to engines that a list names as just started all routers
// together send no more than these bear. What the fleet deals goes by need to those that hear it; who hears nothing has an equal
// part.
func (w *world) spare(z int, wants [][]float64) {
	x := &w.zones[z]
	age := w.now - x.backAt
	if w.s.Rule == Knowing || w.down(z) || age >= warm {
		return
	}
	rest := age / warm
	bears := x.full * (coldStart + (1-coldStart)*rest*rest) // the module's ramp, by the square of the age
	equal := bears / float64(len(w.routers))
	need, left := 0.0, bears
	deals := func(k int) bool { return w.s.Rule == Planned && w.routers[k].guide.Epoch(w.now) > 0 }
	for k := range wants {
		if wants[k] != nil && deals(k) {
			need += wants[k][z]
		} else {
			left -= equal
		}
	}
	for k := range wants {
		switch {
		case wants[k] == nil:
		case !deals(k):
			wants[k][z] = min(wants[k][z], equal)
		case need > left:
			wants[k][z] *= max(left, 0) / need
		}
	}
}

func (w *world) finish() {
	last := 0.0
	for _, f := range w.s.Faults {
		last = max(last, f.Until)
	}
	w.r.Back = math.NaN()
	before := w.r.Home[min(10, len(w.r.Home)-1)] // of a calm second
	for t := int(math.Ceil(last)); t < len(w.r.Home)-1; t++ {
		if w.r.Home[t] >= 0.99*before {
			w.r.Back = float64(t) - last
			break
		}
	}
}

// Drawn settings: faults by chance, several at a time.
func Drawn(seed uint64) Settings {
	r := rand.New(rand.NewPCG(seed, 42))
	s := Settings{Zones: 3 + r.IntN(5), Regions: 1 + r.IntN(3), Routers: 30, Load: 0.35 + 0.35*r.Float64(), Skew: 0.3 * r.Float64(), Seed: seed, Length: 90}
	for range 1 + r.IntN(3) {
		f := Fault{At: 15 + 30*r.Float64(), Kind: Kind(r.IntN(int(kinds))), Zone: r.IntN(s.Zones)}
		f.To = (f.Zone + 1 + r.IntN(s.Zones-1)) % s.Zones
		f.Until = f.At + 3 + 25*r.Float64()
		switch f.Kind {
		case Slowed:
			f.By = 3 + 8*r.Float64()
		case Flapping:
			f.By, f.Until = 5, f.At+30
		}
		s.Faults = append(s.Faults, f)
	}
	return s
}
