package failover

import (
	"fmt"
	"math"
	"slices"
)

// Plan says where each origin zone's work goes: Share[o][z] of the demand at o goes to z. If a row sums to less than 1, the
// rest fits nowhere and is rejected at its origin, starting with the least benefit.
type Plan struct {
	Share [][]float64 `json:"share"`
}

// LocalPlan returns the plan of a healthy fleet: all work stays in its own zone.
func LocalPlan(zones int) Plan {
	p := Plan{}
	for o := range zones {
		row := make([]float64, zones)
		row[o] = 1
		p.Share = append(p.Share, row)
	}
	return p
}

// Check returns an error if p is not a valid plan for the given number of zones.
func (p Plan) Check(zones int) error {
	if len(p.Share) != zones {
		return fmt.Errorf("plan has %d zones, want %d", len(p.Share), zones)
	}
	for o, row := range p.Share {
		sum := 0.0
		for _, x := range row {
			if !(x >= 0 && x <= 1+1e-6) {
				return fmt.Errorf("zone %d: invalid share %v", o, x)
			}
			sum += x
		}
		if len(row) != zones || sum > 1+1e-6 {
			return fmt.Errorf("zone %d: invalid row with %d shares and a sum of %v", o, len(row), sum)
		}
	}
	return nil
}

// Clone returns a deep copy.
func (p Plan) Clone() Plan {
	c := Plan{}
	for _, row := range p.Share {
		c.Share = append(c.Share, slices.Clone(row))
	}
	return c
}

// Load returns the load of each zone under the plan.
func (p Plan) Load(demand []float64) []float64 {
	load := make([]float64, len(p.Share))
	for o, row := range p.Share {
		for z, x := range row {
			load[z] += x * demand[o]
		}
	}
	return load
}

// Problem is the input of Solve.
type Problem struct {
	Demand       []float64   // core seconds per second, by origin
	Pinned       []float64   // part of Demand that must stay in its zone
	Capacity     []float64   // by zone
	RoundTrip    [][]float64 // distance between zones: round trip in seconds; +Inf: must not be used
	MaxRoundTrip float64     // longest round trip in seconds that still allows the latency targets to be met, 0: no limit
}

// Solve returns the shares that serve the most work and, among those, have the least total distance. It solves a transport
// problem by shortest augmenting paths, which is exact and fast enough for sixteen zones. A linear program solved by
// simplex is as good but some thirty times slower. Filling zones from near to far, one after another, is not optimal if two
// zones overflow into the same third zone. The tests compare the result with the simplex solution.
func Solve(p Problem) Plan {
	n := len(p.Demand)
	plan := Plan{}
	remaining := slices.Clone(p.Capacity)
	unserved := slices.Clone(p.Demand)
	flow := make([][]float64, n)
	for o := range n {
		plan.Share = append(plan.Share, make([]float64, n))
		flow[o] = make([]float64, n)
		// Pinned work has precedence in its own zone.
		pinned := min(p.Pinned[o], unserved[o])
		flow[o][o] = min(pinned, max(remaining[o], 0))
		remaining[o] -= flow[o][o]
		unserved[o] -= pinned
	}
	pinnedFlow := make([]float64, n)
	for o := range n {
		pinnedFlow[o] = flow[o][o]
	}
	usable := func(o, z int) bool {
		return !math.IsInf(p.RoundTrip[o][z], 1) && (p.MaxRoundTrip <= 0 || o == z || p.RoundTrip[o][z] <= p.MaxRoundTrip)
	}
	const epsilon = 1e-9
	for range 4 * n * n { // each path exhausts an origin, a zone or an arc: far fewer are needed
		// Distances from the origins with unserved demand, forward over arcs to zones and backward over existing flow.
		originDistance, zoneDistance := make([]float64, n), make([]float64, n)
		previousZone, previousOrigin := make([]int, n), make([]int, n)
		for k := range n {
			originDistance[k], zoneDistance[k], previousZone[k], previousOrigin[k] = math.Inf(1), math.Inf(1), -1, -1
			if unserved[k] > epsilon {
				originDistance[k] = 0
			}
		}
		for changed, rounds := true, 0; changed && rounds <= 2*n; rounds++ {
			changed = false
			for o := range n {
				for z := range n {
					if usable(o, z) && originDistance[o]+p.RoundTrip[o][z] < zoneDistance[z]-1e-12 {
						zoneDistance[z], previousOrigin[z], changed = originDistance[o]+p.RoundTrip[o][z], o, true
					}
					if flow[o][z]-pinnedAt(o, z, pinnedFlow) > epsilon && zoneDistance[z]-p.RoundTrip[o][z] < originDistance[o]-1e-12 {
						originDistance[o], previousZone[o], changed = zoneDistance[z]-p.RoundTrip[o][z], z, true
					}
				}
			}
		}
		nearest := -1
		for z := range n {
			if remaining[z] > epsilon && !math.IsInf(zoneDistance[z], 1) && (nearest < 0 || zoneDistance[z] < zoneDistance[nearest]) {
				nearest = z
			}
		}
		if nearest < 0 {
			break
		}
		// First computes the amount that the path can carry, then adds it along the path.
		amount := remaining[nearest]
		for z, steps := nearest, 0; steps <= 2*n; steps++ {
			o := previousOrigin[z]
			if previousZone[o] < 0 {
				amount = min(amount, unserved[o])
				break
			}
			z = previousZone[o]
			amount = min(amount, flow[o][z]-pinnedAt(o, z, pinnedFlow))
		}
		if amount <= epsilon {
			break
		}
		remaining[nearest] -= amount
		for z, steps := nearest, 0; steps <= 2*n; steps++ {
			o := previousOrigin[z]
			flow[o][z] += amount
			if previousZone[o] < 0 {
				unserved[o] -= amount
				break
			}
			z = previousZone[o]
			flow[o][z] -= amount
		}
	}
	for o := range n {
		for z := range n {
			if p.Demand[o] > epsilon {
				plan.Share[o][z] = min(max(flow[o][z]/p.Demand[o], 0), 1)
			} else if o == z && p.Capacity[o] > 0 {
				plan.Share[o][z] = 1 // no demand: any new work stays local
			}
		}
	}
	return plan
}

func pinnedAt(o, z int, pinnedFlow []float64) float64 {
	if o == z {
		return pinnedFlow[o]
	}
	return 0
}

// MaxMixedLoad returns the largest load that each zone can get from any mixture of routers on these plans.
func MaxMixedLoad(demand []float64, plans ...Plan) []float64 {
	n := len(demand)
	load := make([]float64, n)
	for z := range n {
		for o := range n {
			maxShare := 0.0
			for _, p := range plans {
				maxShare = max(maxShare, p.Share[o][z])
			}
			load[z] += maxShare * demand[o]
		}
	}
	return load
}

// StepToward moves from one plan toward another as far as capacity allows for any mixture of routers that follow the old
// plan, the new plan or the fallback envelope. Shares that shrink do so at once. Shares that grow wait until the work that
// occupies their capacity has left. If the old plan already exceeds the capacity of a zone, no share grows there.
func StepToward(from, to, fallback Plan, demand, capacity []float64) Plan {
	n := len(demand)
	step := from.Clone()
	for o := range n { // shares that shrink change at once: this takes capacity from nobody
		for z := range n {
			step.Share[o][z] = min(from.Share[o][z], to.Share[o][z])
		}
	}
	freeCapacity, withinCapacity, plannedLoad := make([]float64, n), make([]bool, n), MaxMixedLoad(demand, from)
	for z, load := range MaxMixedLoad(demand, from, fallback) {
		freeCapacity[z], withinCapacity[z] = max(capacity[z]-load, 0), load <= capacity[z]+1e-9
	}
	for z := range n { // shares that grow divide the zone's free capacity in proportion to need
		wanted := 0.0
		for o := range n {
			baseline := max(from.Share[o][z], fallback.Share[o][z])
			wanted += max(to.Share[o][z]-baseline, 0) * demand[o]
		}
		scale := 1.0
		if wanted > freeCapacity[z] {
			scale = freeCapacity[z] / wanted
		}
		for o := range n {
			baseline := max(from.Share[o][z], fallback.Share[o][z])
			// The zone may already be full: its own work only returns into capacity that other origins have left under the plan.
			if !withinCapacity[z] {
				if o == z && demand[z] > 0 {
					available := max(capacity[z]-plannedLoad[z], 0) / demand[z]
					step.Share[z][z] = max(step.Share[z][z], min(to.Share[z][z], from.Share[z][z]+available))
				}
				continue
			}
			if to.Share[o][z] <= baseline { // the fallback envelope grants as much already, so this takes no additional capacity
				step.Share[o][z] = max(step.Share[o][z], min(to.Share[o][z], baseline))
				continue
			}
			step.Share[o][z] = max(step.Share[o][z], baseline+scale*(to.Share[o][z]-baseline))
		}
	}
	for o := range n { // work that cannot move yet stays in its current zone while that zone is within capacity
		sum, oldSum, targetSum := 0.0, 0.0, 0.0
		for z := range n {
			sum, oldSum, targetSum = sum+step.Share[o][z], oldSum+from.Share[o][z], targetSum+to.Share[o][z]
		}
		missing := min(oldSum, targetSum) - sum
		for z := range n {
			if restored := from.Share[o][z] - step.Share[o][z]; missing > 0 && restored > 0 && withinCapacity[z] {
				restored = min(restored, missing)
				step.Share[o][z] += restored
				missing -= restored
			}
		}
	}
	for o := range n { // the shares of a row must not exceed 1
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

// MovedShare returns the share of all demand that goes to another zone under plan b than under plan a.
func MovedShare(a, b Plan, demand []float64) float64 {
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
