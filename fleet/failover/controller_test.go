package failover

import "testing"

func observations(zones int, work float64) []ZoneObservation {
	s := make([]ZoneObservation, zones)
	for z := range s {
		s[z] = ZoneObservation{Attempts: 20, Work: work, Ready: 10, Slow: 1}
	}
	return s
}

func runController(c *Controller, now, seconds float64, reports []Report, orders Orders) (last PublishedPlan, ok bool, end float64) {
	for end = now; end < now+seconds; end += 0.5 {
		for k := range reports {
			reports[k].Epoch = c.Now().Epoch
		}
		if p, published := c.Next(end, reports, len(reports), orders); published {
			last, ok = p, true
		}
	}
	return last, ok, end
}

func roundTrips3() [][]float64 { return [][]float64{{0, 1, 1}, {1, 0, 1}, {1, 1, 0}} }

// TestNewOwnerKeepsDemand guards against an owner that takes over while a zone's routers do not report, and treats the
// servers that serve them as free.
func TestNewOwnerKeepsDemand(t *testing.T) {
	terms := Config{Lifetime: Lifetime, Drift: 0.05, RoundTrip: roundTrips3()}
	c := NewController(terms, 3, 100, PublishedPlan{Epoch: 1, Plan: LocalPlan(3), Fallback: LocalPlan(3)})
	reports := []Report{{Zone: 0, Demand: 8, Observations: observations(3, 3)}, {Zone: 1, Demand: 8, Observations: observations(3, 3)}, {Zone: 2, Demand: 8, Observations: observations(3, 3)}}
	p, ok, now := runController(c, 100, 10, reports, Orders{})
	if !ok || len(p.LastDemand) != 3 || p.LastDemand[0] != 8 || len(c.Changes) > 0 {
		t.Fatalf("the published plan lacks the demand: %+v, changes at %v", p, c.Changes)
	}
	nextOwner := NewController(terms, 3, now, p)
	for k := range reports {
		for z := range reports[k].Observations {
			reports[k].Observations[z].Work = 0
		}
	}
	p, ok, _ = runController(nextOwner, now, 10, reports[1:], Orders{Evacuate: []bool{false, false, true}}) // zone 0 does not report, zone 2 is evacuated
	if !ok {
		t.Fatal("no plan")
	}
	if got := p.Plan.Share[2][0] * 8; got > 2.3 {
		t.Errorf("zone 0 gets %.2f in addition to its own 8 of 10", got)
	}
}

// TestLateReport guards against a report about two seconds that doubles the estimated capacity.
func TestLateReport(t *testing.T) {
	c := NewController(Config{Lifetime: Lifetime, Drift: 0.05, RoundTrip: roundTrips3()}, 3, 100, PublishedPlan{Epoch: 1, Plan: LocalPlan(3), Fallback: LocalPlan(3)})
	reports := []Report{{Zone: 0, Demand: 9, Span: 2, Observations: observations(3, 18)}, {Zone: 1, Observations: observations(3, 0)}, {Zone: 2, Observations: observations(3, 0)}}
	runController(c, 100, 30, reports, Orders{})
	if c.PlanCapacity[0] < 8 || c.PlanCapacity[0] > 10 {
		t.Errorf("planned capacity of a zone with 10 cores: %.1f", c.PlanCapacity[0])
	}
}

// TestReturningZoneWaitsForReports checks that when the first router of a silent zone reports again, its row sends nothing
// to other zones until all of its routers report. Otherwise all routers would use the share computed for one.
func TestReturningZoneWaitsForReports(t *testing.T) {
	c := NewController(Config{Lifetime: Lifetime, Drift: 0.05, RoundTrip: roundTrips3()}, 3, 100, PublishedPlan{Epoch: 1, Plan: LocalPlan(3), Fallback: LocalPlan(3)})
	otherZones := []Report{{Zone: 1, Demand: 8, Observations: observations(3, 4)}, {Zone: 2, Demand: 8, Observations: observations(3, 4)}}
	evacuate := Orders{Evacuate: []bool{true, false, false}}
	_, _, now := runController(c, 100, 20, otherZones, evacuate)
	withFirst := append([]Report{{Zone: 0, Demand: 1, Observations: observations(3, 0.1)}}, otherZones...)
	for k := range withFirst {
		withFirst[k].Epoch = c.Now().Epoch
	}
	for _, dt := range []float64{0, 0.5, 1} {
		c.Next(now+dt, withFirst, 3, evacuate)
		if row := c.Now().Plan.Share[0]; row[1]+row[2] > 0 {
			t.Fatalf("%.1f s after the first router reported, its zone has shares %v", dt, row)
		}
	}
	withFirst[0].Demand = 6
	p, ok, _ := runController(c, now+1.5, 10, withFirst, evacuate)
	if !ok {
		t.Fatalf("no plan: %+v, changes at %v, capacity %v", c.Now(), c.Changes, c.PlanCapacity)
	}
	if row := p.Plan.Share[0]; !ok || row[1]+row[2] <= 0 || (row[1]+row[2])*6 > 4.1 {
		t.Errorf("after all routers reported: %v", p.Plan.Share)
	}
}

// TestCapacity checks that an observed overload limits the capacity, whatever the number of cores, until the zone serves
// more.
func TestCapacity(t *testing.T) {
	c := NewCapacity(1)
	for now := range 30 {
		c.Observe(100+float64(now), 0, 5, 10, 1, now >= 20)
	}
	if got := c.Estimate(0, 10, 1); got > 6.5 {
		t.Errorf("overloaded at 5 of 10 cores, capacity %.1f", got)
	}
	c.Observe(131, 0, 8, 10, 1, false)
	if got := c.Estimate(0, 10, 1); got < 8 {
		t.Errorf("served 8 in time, capacity %.1f", got)
	}
}
