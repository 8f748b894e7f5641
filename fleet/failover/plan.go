package failover

import (
	"fmt"
	"math"
	"slices"
)

// Plan is where each origin zone's work goes: Share[o][z] of what is asked for at o goes to z. What is missing to one in a row
// fits nowhere and is shed at its origin, least benefit first.
type Plan struct {
	Share [][]float64 `json:"share"`
}

// Near is the plan of a fleet in which all is well: everything stays.
func Near(zones int) Plan {
	p := Plan{}
	for o := range zones {
		row := make([]float64, zones)
		row[o] = 1
		p.Share = append(p.Share, row)
	}
	return p
}

// Check tells what is wrong with a plan of so many zones.
func (p Plan) Check(zones int) error {
	if len(p.Share) != zones {
		return fmt.Errorf("a plan for %d zones, there are %d", len(p.Share), zones)
	}
	for o, row := range p.Share {
		sum := 0.0
		for _, x := range row {
			if !(x >= 0 && x <= 1+1e-6) {
				return fmt.Errorf("zone %d: a share of %v", o, x)
			}
			sum += x
		}
		if len(row) != zones || sum > 1+1e-6 {
			return fmt.Errorf("zone %d: %d shares of %v in all", o, len(row), sum)
		}
	}
	return nil
}

// Clone with rows of its own.
func (p Plan) Clone() Plan {
	c := Plan{}
	for _, row := range p.Share {
		c.Share = append(c.Share, slices.Clone(row))
	}
	return c
}

// Load that each zone gets by a plan.
func (p Plan) Load(demand []float64) []float64 {
	load := make([]float64, len(p.Share))
	for o, row := range p.Share {
		for z, x := range row {
			load[z] += x * demand[o]
		}
	}
	return load
}

// Problem is what a plan has to solve.
type Problem struct {
	Demand   []float64   // core seconds a second, by origin
	Pinned   []float64   // of those: may not leave
	Capacity []float64   // by zone
	Way      [][]float64 // distance between zones: seconds there and back; what is not to be used: +Inf
	Slack    float64     // seconds that a way may take and targets still be met, 0: any
}

// Solve gives the shares with the most work served and, of those, the least distance. It is a transport problem, solved by
// shortest augmenting paths: exact, and small at sixteen zones. (The test compares it with a linear programme by the library's
// simplex, which is as good and some thirty times slower, and with filling near to far one zone after another, which is not
// optimal where two zones overflow into the same third.)
func Solve(p Problem) Plan {
	n := len(p.Demand)
	plan := Plan{}
	left := slices.Clone(p.Capacity)
	need := slices.Clone(p.Demand)
	flow := make([][]float64, n)
	for o := range n {
		plan.Share = append(plan.Share, make([]float64, n))
		flow[o] = make([]float64, n)
		// What may not leave comes first at its own zone.
		pinned := min(p.Pinned[o], need[o])
		flow[o][o] = min(pinned, max(left[o], 0))
		left[o] -= flow[o][o]
		need[o] -= pinned
	}
	fixed := make([]float64, n)
	for o := range n {
		fixed[o] = flow[o][o]
	}
	usable := func(o, z int) bool {
		return !math.IsInf(p.Way[o][z], 1) && (p.Slack <= 0 || o == z || p.Way[o][z] <= p.Slack)
	}
	const tiny = 1e-9
	for range 4 * n * n { // each path fills an origin, a zone or an arc: far fewer are needed
		// Distances from the origins that still need something, over arcs to zones and back over flow.
		origin, zone := make([]float64, n), make([]float64, n)
		cameO, cameZ := make([]int, n), make([]int, n)
		for k := range n {
			origin[k], zone[k], cameO[k], cameZ[k] = math.Inf(1), math.Inf(1), -1, -1
			if need[k] > tiny {
				origin[k] = 0
			}
		}
		for changed, rounds := true, 0; changed && rounds <= 2*n; rounds++ {
			changed = false
			for o := range n {
				for z := range n {
					if usable(o, z) && origin[o]+p.Way[o][z] < zone[z]-1e-12 {
						zone[z], cameZ[z], changed = origin[o]+p.Way[o][z], o, true
					}
					if flow[o][z]-keptAt(o, z, fixed) > tiny && zone[z]-p.Way[o][z] < origin[o]-1e-12 {
						origin[o], cameO[o], changed = zone[z]-p.Way[o][z], z, true
					}
				}
			}
		}
		best := -1
		for z := range n {
			if left[z] > tiny && !math.IsInf(zone[z], 1) && (best < 0 || zone[z] < zone[best]) {
				best = z
			}
		}
		if best < 0 {
			break
		}
		// How much the path carries, then along it.
		most := left[best]
		for z, steps := best, 0; steps <= 2*n; steps++ {
			o := cameZ[z]
			if cameO[o] < 0 {
				most = min(most, need[o])
				break
			}
			z = cameO[o]
			most = min(most, flow[o][z]-keptAt(o, z, fixed))
		}
		if most <= tiny {
			break
		}
		left[best] -= most
		for z, steps := best, 0; steps <= 2*n; steps++ {
			o := cameZ[z]
			flow[o][z] += most
			if cameO[o] < 0 {
				need[o] -= most
				break
			}
			z = cameO[o]
			flow[o][z] -= most
		}
	}
	for o := range n {
		for z := range n {
			if p.Demand[o] > tiny {
				plan.Share[o][z] = min(max(flow[o][z]/p.Demand[o], 0), 1)
			} else if o == z && p.Capacity[o] > 0 {
				plan.Share[o][z] = 1 // nothing is asked for: what comes stays
			}
		}
	}
	return plan
}

func keptAt(o, z int, fixed []float64) float64 {
	if o == z {
		return fixed[o]
	}
	return 0
}

// Mixed is the most load that each zone can get from any mixture of routers on these plans.
func Mixed(demand []float64, plans ...Plan) []float64 {
	n := len(demand)
	load := make([]float64, n)
	for z := range n {
		for o := range n {
			most := 0.0
			for _, p := range plans {
				most = max(most, p.Share[o][z])
			}
			load[z] += most * demand[o]
		}
	}
	return load
}

// Toward goes from one plan as far to another as any mixture of the two, and of the plan of those that hear nothing, stays within
// capacity: what shrinks shrinks at once, what grows waits until what makes room for it is gone. Where the first is over a
// capacity already, nothing grows there.
func Toward(from, to, still Plan, demand, capacity []float64) Plan {
	n := len(demand)
	step := from.Clone()
	for o := range n { // the shrinking part, whole: it takes nothing from anybody
		for z := range n {
			step.Share[o][z] = min(from.Share[o][z], to.Share[o][z])
		}
	}
	room, bears, follow := make([]float64, n), make([]bool, n), Mixed(demand, from)
	for z, load := range Mixed(demand, from, still) {
		room[z], bears[z] = max(capacity[z]-load, 0), load <= capacity[z]+1e-9
	}
	for z := range n { // the growing part, each zone's room shared by want
		want := 0.0
		for o := range n {
			base := max(from.Share[o][z], still.Share[o][z])
			want += max(to.Share[o][z]-base, 0) * demand[o]
		}
		scale := 1.0
		if want > room[z] {
			scale = room[z] / want
		}
		for o := range n {
			base := max(from.Share[o][z], still.Share[o][z])
			if !bears[z] { // full by what some may do already; a zone's own comes back into what others leave by their plans
				if o == z && demand[z] > 0 {
					left := max(capacity[z]-follow[z], 0) / demand[z]
					step.Share[z][z] = max(step.Share[z][z], min(to.Share[z][z], from.Share[z][z]+left))
				}
				continue
			}
			if to.Share[o][z] <= base { // those that hear nothing have as much: it costs no room
				step.Share[o][z] = max(step.Share[o][z], min(to.Share[o][z], base))
				continue
			}
			step.Share[o][z] = max(step.Share[o][z], base+scale*(to.Share[o][z]-base))
		}
	}
	for o := range n { // what can't grow yet stays where it was, where that zone still bears it
		sum, was, will := 0.0, 0.0, 0.0
		for z := range n {
			sum, was, will = sum+step.Share[o][z], was+from.Share[o][z], will+to.Share[o][z]
		}
		missing := min(was, will) - sum
		for z := range n {
			if back := from.Share[o][z] - step.Share[o][z]; missing > 0 && back > 0 && bears[z] {
				back = min(back, missing)
				step.Share[o][z] += back
				missing -= back
			}
		}
	}
	for o := range n { // a row must not give out more than there is
		sum := 0.0
		for _, x := range step.Share[o] {
			sum += x
		}
		if sum > 1 {
			for z := range n {
				step.Share[o][z] /= sum
			}
		}
	}
	return step
}

// Moved is the share of all demand that goes elsewhere by one plan than by another.
func Moved(a, b Plan, demand []float64) float64 {
	total, moved := 0.0, 0.0
	for o := range demand {
		total += demand[o]
		for z := range demand {
			moved += max(b.Share[o][z]-a.Share[o][z], 0) * demand[o]
		}
	}
	if total <= 0 {
		return 0
	}
	return moved / total
}
