package failover

import (
	"fmt"
	"math"
	"testing"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
	"pgregory.net/rapid"
)

func drawnProblem(t *rapid.T) Problem {
	n := rapid.IntRange(2, 5).Draw(t, "zones")
	p := Problem{}
	for o := range n {
		p.Demand = append(p.Demand, rapid.Float64Range(0, 10).Draw(t, "demand"))
		p.Pinned = append(p.Pinned, 0)
		p.Capacity = append(p.Capacity, rapid.SampledFrom([]float64{0, 2, 5, 8, 12}).Draw(t, "capacity"))
		row := make([]float64, n)
		for z := range row {
			if z != o {
				row[z] = rapid.Float64Range(0.001, 0.1).Draw(t, "way")
			}
		}
		p.Way = append(p.Way, row)
	}
	return p
}

// TestSolveIsBest against a linear programme by the library's simplex: as much served, and then no more distance.
func TestSolveIsBest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawnProblem(t)
		n := len(p.Demand)
		plan := Solve(p)
		if err := plan.Check(n); err != nil {
			t.Fatal(err)
		}
		served, cost := 0.0, 0.0
		for z, load := range plan.Load(p.Demand) {
			if load > p.Capacity[z]+1e-6 {
				t.Fatalf("zone %d gets %v of %v", z, load, p.Capacity[z])
			}
			served += load
			for o := range n {
				cost += plan.Share[o][z] * p.Demand[o] * p.Way[o][z]
			}
		}
		// Variables: a flow for each pair, what is left of each demand and of each capacity. Serving is worth far more than any way.
		const worth = 10.0
		size := n*n + 2*n
		c := make([]float64, size)
		a := mat.NewDense(2*n, size, nil)
		b := make([]float64, 2*n)
		for o := range n {
			for z := range n {
				c[o*n+z] = p.Way[o][z] - worth
				a.Set(o, o*n+z, 1)
				a.Set(n+z, o*n+z, 1)
			}
			a.Set(o, n*n+o, 1)
			a.Set(n+o, n*n+n+o, 1)
			b[o], b[n+o] = p.Demand[o], p.Capacity[o]
		}
		best, _, err := lp.Simplex(c, a, b, 1e-9, nil)
		if err != nil {
			t.Skip("the library gives up on a degenerate programme")
		}
		if got := cost - worth*served; got > best+1e-5 {
			t.Fatalf("%v, the best is %v\n%+v\n%+v", got, best, p, plan)
		}
	})
}

// TestPinned: what may not leave is never moved, and comes before what may.
func TestPinned(t *testing.T) {
	p := Problem{Demand: []float64{6, 4}, Pinned: []float64{3, 0}, Capacity: []float64{3, 20}, Way: [][]float64{{0, 0.01}, {0.01, 0}}}
	plan := Solve(p)
	if got := plan.Share[0][0] * 6; math.Abs(got-3) > 1e-9 {
		t.Errorf("%v of the 3 that are pinned stay", got)
	}
	p.Capacity[0] = 0
	plan = Solve(p)
	if got := plan.Share[0][1] * 6; math.Abs(got-3) > 1e-9 {
		t.Errorf("%v go elsewhere, of 6 with 3 pinned", got)
	}
}

// TestMixtures: whatever routers follow the old plan, the new one, or hear nothing, no zone is offered more than it can serve by
// what has grown; where a zone was over already, nothing grows.
func TestMixtures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawnProblem(t)
		n := len(p.Demand)
		from := Solve(p)
		still := Near(n)
		for o := range n {
			for z := range n {
				if o != z && rapid.Bool().Draw(t, "spare") {
					still.Share[o][z] = rapid.Float64Range(0, 0.05).Draw(t, "share")
				}
			}
		}
		q := p
		q.Capacity = nil
		for range n { // something has happened
			q.Capacity = append(q.Capacity, rapid.SampledFrom([]float64{0, 1, 4, 9, 20}).Draw(t, "capacity now"))
		}
		to := Solve(q)
		for step := range 6 {
			next := Toward(from, to, still, p.Demand, q.Capacity)
			if err := next.Check(n); err != nil {
				t.Fatal(err)
			}
			before, during := Mixed(p.Demand, from, still), Mixed(p.Demand, from, next, still)
			for z := range n {
				if during[z] > max(before[z], q.Capacity[z])+1e-6 {
					t.Fatalf("step %d: zone %d may get %v, it bears %v and might have got %v", step, z, during[z], q.Capacity[z], before[z])
				}
			}
			from = next
		}
	})
}

// TestArrives: with room for both, the steps get to where they go.
func TestArrives(t *testing.T) {
	demand, capacity := []float64{4, 4, 4}, []float64{0, 9, 9}
	way := [][]float64{{0, 1, 1}, {1, 0, 1}, {1, 1, 0}}
	to := Solve(Problem{Demand: demand, Pinned: make([]float64, 3), Capacity: capacity, Way: way})
	from := Near(3)
	for range 3 {
		from = Toward(from, to, Near(3), demand, capacity)
	}
	if Moved(from, to, demand) > 1e-6 || shed(from, demand) > 1e-6 {
		t.Errorf("%+v instead of %+v", from, to)
	}
}

// report of a router of a zone: what share of its sends to each zone is bad.
func seen(zone int, bad ...float64) Report {
	r := Report{Zone: zone, Demand: 1}
	for _, b := range bad {
		if b < 0 { // it sends nothing there
			r.Sights = append(r.Sights, Sight{Ready: 10})
			continue
		}
		r.Sights = append(r.Sights, Sight{Sent: 20, Bad: 20 * b, Ready: 10, Work: 1})
	}
	return r
}

func TestJudge(t *testing.T) {
	many := func(n int, r Report) (all []Report) {
		for range n {
			all = append(all, r)
		}
		return all
	}
	join := func(parts ...[]Report) (all []Report) {
		for _, p := range parts {
			all = append(all, p...)
		}
		return all
	}
	for _, c := range []struct {
		name    string
		reports []Report
		want    string
	}{
		{"all is well", join(many(4, seen(0, 0, 0, 0)), many(4, seen(1, 0, 0, 0)), many(4, seen(2, 0, 0, 0))), "well well well"},
		{"a zone without power: its routers are silent too", join(many(4, seen(0, 0, 1, 0)), many(4, seen(2, 0, 1, 0))), "well lost well"},
		{"a zone's engines are gone, its routers are there", join(many(4, seen(0, 0, 1, 0)), many(4, seen(1, 0, 1, 0)), many(4, seen(2, 0, 1, 0))), "well lost well"},
		{"one link is cut", join(many(4, seen(0, 0, 1, 0)), many(4, seen(1, 1, 0, 0)), many(4, seen(2, 0, 0, 0))), "well well well 0>1 1>0"},
		{"reached one way only", join(many(4, seen(0, 0, 1, 0)), many(4, seen(1, 0, 0, 0)), many(4, seen(2, 0, 1, 0))), "well well well 0>1 2>1"},
		{"the observers of one zone are cut off", join(many(4, seen(0, 0, 1, 1)), many(4, seen(1, -1, 0, 0)), many(4, seen(2, -1, 0, 0))), "well well well 0>1 0>2 alone 0"},
		{"a third of all lies", join(many(4, seen(0, 0, 0, 0)), many(4, seen(1, 0, 0, 0)), many(4, seen(2, 1, 1, 1))), "well well well 2>0 2>1 alone 2"},
		{"half of each zone's observers lie", join(many(4, seen(0, 0, 0, 0)), many(4, seen(0, 0, 1, 0)), many(4, seen(1, 0, 0, 0)), many(4, seen(1, 0, 1, 0)), many(4, seen(2, 0, 0, 0)), many(4, seen(2, 0, 1, 0))), "well well well"},
		{"half of those lie whose zones are not the one", join(many(4, seen(0, 0, 0, 0)), many(4, seen(0, 0, 1, 0)), many(4, seen(2, 0, 0, 0)), many(4, seen(2, 0, 1, 0))), "well well well"},
		{"many are cut off, few are not", join(many(12, seen(0, 0, 1, 1)), many(4, seen(2, -1, 0, 0))), "well well well 0>1 0>2 alone 0"},
		{"some see it still", join(many(1, seen(0, 0, 0, 0)), many(4, seen(0, 0, 1, 0)), many(4, seen(2, 0, 1, 0))), "well lost well"},
		{"its own routers don't reach it, others do", join(many(4, seen(0, 0, 0, 0)), many(4, seen(1, 0, 1, 0)), many(4, seen(2, 0, 0, 0))), "well well well 1>1"},
		{"it fails in part", join(many(4, seen(0, 0, 0.3, 0)), many(4, seen(1, 0, 0.3, 0)), many(4, seen(2, 0, 0.3, 0))), "well failing well"},
		{"thin traffic", []Report{{Zone: 0, Sights: []Sight{{Sent: 1, Bad: 1, Ready: 1}, {Ready: 1}, {Ready: 1}}}}, "unknown unknown unknown"},
		{"nothing ready", join(many(4, Report{Zone: 0, Sights: []Sight{{Sent: 9, Ready: 1}, {Drains: 3}, {}}})), "well draining empty"},
	} {
		j := Judge(c.reports, 3)
		got := fmt.Sprintf("%v %v %v", j.Zones[0], j.Zones[1], j.Zones[2])
		for o := range j.Cut {
			for z, cut := range j.Cut[o] {
				if cut {
					got += fmt.Sprintf(" %d>%d", o, z)
				}
			}
		}
		for o, alone := range j.Alone {
			if alone {
				got += fmt.Sprintf(" alone %d", o)
			}
		}
		if got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// TestSlower: a zone is slow by what its own routers see of it beside what the others' see of theirs, its load taken off. One that is late
// as well is measured by what it serves.
func TestSlower(t *testing.T) {
	at := func(slow, work float64, late float64) (all []Report) {
		for k := range 12 {
			r := Report{Zone: k % 3, Demand: 1, Sights: make([]Sight, 3)}
			for z := range r.Sights {
				r.Sights[z].Ready = 10
			}
			r.Sights[k%3] = Sight{Sent: 20, Work: 1, Ready: 10, Slow: 1.2}
			if k%3 == 1 {
				r.Sights[1].Slow, r.Sights[1].Work, r.Sights[1].Late = slow, work/4, late
			}
			all = append(all, r)
		}
		return all
	}
	for _, c := range []struct {
		name             string
		slow, work, late float64
		want             Verdict
		least, most      float64
	}{
		{"as the others", 1.2, 4, 0, Well, 1, 1},
		{"slow by ten, with little load", 12, 1, 0, Slow, 6, 12},
		{"slow by four, as its load explains", 4, 8, 0, Well, 1, 1},
		{"slow by ten, and late", 12, 1, 10, Overloaded, 6, 12},
	} {
		j := Judge(at(c.slow, c.work, c.late), 3)
		if j.Zones[1] != c.want || j.Slow[1] < c.least || j.Slow[1] > c.most || j.Slow[0] != 1 || j.Slow[2] != 1 {
			t.Errorf("%s: %v, %.2f (of the others %.2f %.2f)", c.name, j.Zones[1], j.Slow[1], j.Slow[0], j.Slow[2])
		}
	}
	all := at(12, 1, 0)
	for k := range all {
		if z := k % 3; z != 1 {
			all[k].Sights[z].Slow = 12
		}
	}
	if j := Judge(all, 3); j.Slow[1] > 2 {
		t.Errorf("all are slow alike: %.2f", j.Slow[1])
	}
}

// TestSlowLimit: what a zone bore while it was slow is no limit once it is not.
func TestSlowLimit(t *testing.T) {
	c := NewCapacity(1)
	for n := range 30 {
		c.Observe(100+float64(n), 0, 1, 10, 10, true)
	}
	if slow := c.Of(0, 10, 10); slow > 1.01 || slow < 0.8 {
		t.Errorf("it bears %.2f of 10 cores while it is slow by ten, 1 was seen", slow)
	}
	if well := c.Of(0, 10, 1); well < 8 {
		t.Errorf("it bears %.2f once it is not", well)
	}
}

// TestLiars: whatever two in five routers say, no zone that the others reach is given up, and one that none of them reaches is.
func TestLiars(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lost := rapid.IntRange(-1, 2).Draw(t, "lost")
		var reports []Report
		for k := range 30 {
			r := Report{Zone: k % 3, Demand: 1}
			liar := k < 9 // three in ten
			for z := range 3 {
				s := Sight{Sent: 20, Ready: 10}
				if z == lost {
					s.Bad = 20
				}
				if liar {
					s.Bad = rapid.Float64Range(0, 20).Draw(t, "bad")
					s.Slow = rapid.Float64Range(0, 50).Draw(t, "slow")
				}
				r.Sights = append(r.Sights, s)
			}
			reports = append(reports, r)
		}
		j := Judge(reports, 3)
		for z, v := range j.Zones {
			if (v == Lost) != (z == lost) {
				t.Fatalf("zone %d is %v, lost is %d", z, v, lost)
			}
		}
	})
}

// TestGuide: shares are followed, a zone without a share gets nothing, a plan past its life is not followed, and where a part fits
// nowhere the dearest go first.
func TestGuide(t *testing.T) {
	g := NewGuide(0, 3, 0.05)
	if _, ok := g.Price(1, 1, 0.1); ok {
		t.Error("a price without a plan")
	}
	still := Near(3)
	still.Share[0][2] = 0.1
	p := Published{Epoch: 4, Plan: Plan{Share: [][]float64{{0.5, 0.3, 0}, {0, 1, 0}, {0, 0, 1}}}, Still: still}
	g.Hear(1, p)
	got := make([]float64, 3)
	cheap, dear := 0, 0
	for k := range 4000 {
		now := 1 + float64(k)*0.0005
		price := 1.0
		if k%2 == 0 {
			price = 10
		}
		if !g.Keeps(now, price, 0.05) {
			if price > 1 {
				dear++
			} else {
				cheap++
			}
			continue
		}
		best, least := -1, math.Inf(1)
		for z := range 3 {
			if x, _ := g.Price(now, z, 0.05); x < least {
				best, least = z, x
			}
		}
		got[best]++
		g.Sent(now, best, 0.05)
	}
	total := got[0] + got[1] + got[2]
	if r := got[0] / total; r < 0.58 || r > 0.67 || got[2] > 0 {
		t.Errorf("sent %v, shares are 5 : 3 : 0", got)
	}
	if kept := total / 4000; kept < 0.76 || kept > 0.84 || cheap > dear/4 {
		t.Errorf("%.2f kept of 0.8, %d cheap and %d dear ones shed", kept, cheap, dear)
	}
	if x, ok := g.Price(10, 1, 0.05); !ok || !math.IsInf(x, 1) {
		t.Errorf("past its life zone 1 costs %v", x)
	}
	if x, _ := g.Price(10, 0, 0.05); x != 0 || g.Epoch(10) != 0 {
		t.Errorf("past its life its own zone costs %v, epoch %d", x, g.Epoch(10))
	}
	g.Hear(12, Published{Epoch: 5, Plan: Near(3), Still: Near(3), Room: []float64{5, 5, 0}})
	if x, _ := g.Price(12.1, 1, 0.05); math.IsInf(x, 1) || x < 0.2 {
		t.Errorf("a burst finds zone 1, which has room, at %v", x)
	}
	if x, _ := g.Price(12.1, 2, 0.05); !math.IsInf(x, 1) {
		t.Errorf("zone 2 is planned away from, and costs %v", x)
	}
	if g.Hear(11, Published{Epoch: 3, Plan: Near(3), Still: Near(3)}) {
		t.Error("an older plan was taken")
	}
}
