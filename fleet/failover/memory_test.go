package failover

import "testing"

func sights(zones int, work float64) []Sight {
	s := make([]Sight, zones)
	for z := range s {
		s[z] = Sight{Sent: 20, Work: work, Ready: 10, Slow: 1}
	}
	return s
}

func lookFor(c *Controller, now, seconds float64, reports []Report, orders Orders) (last Published, ok bool, end float64) {
	for end = now; end < now+seconds; end += 0.5 {
		for k := range reports {
			reports[k].Epoch = c.Now().Epoch
		}
		if p, said := c.Next(end, reports, len(reports), orders); said {
			last, ok = p, true
		}
	}
	return last, ok, end
}

func way3() [][]float64 { return [][]float64{{0, 1, 1}, {1, 0, 1}, {1, 1, 0}} }

// TestNextOwnerKnows: an owner that takes over while a zone's routers are not heard does not take what serves them to be free.
func TestNextOwnerKnows(t *testing.T) {
	terms := Terms{Life: Life, Drift: 0.05, Way: way3()}
	c := NewController(terms, 3, 100, Published{Epoch: 1, Plan: Near(3), Still: Near(3)})
	all := []Report{{Zone: 0, Demand: 8, Sights: sights(3, 3)}, {Zone: 1, Demand: 8, Sights: sights(3, 3)}, {Zone: 2, Demand: 8, Sights: sights(3, 3)}}
	p, ok, now := lookFor(c, 100, 10, all, Orders{})
	if !ok || len(p.Asked) != 3 || p.Asked[0] != 8 || len(c.Changes) > 0 {
		t.Fatalf("the record does not say what is asked for: %+v, changes at %v", p, c.Changes)
	}
	next := NewController(terms, 3, now, p)
	for k := range all {
		for z := range all[k].Sights {
			all[k].Sights[z].Work = 0
		}
	}
	p, ok, _ = lookFor(next, now, 10, all[1:], Orders{Away: []bool{false, false, true}}) // zone 0 is not heard, 2 is to be empty
	if !ok {
		t.Fatal("no plan")
	}
	if got := p.Plan.Share[2][0] * 8; got > 2.3 {
		t.Errorf("zone 0 gets %.2f beside its own 8 of 10", got)
	}
}

// TestLateReport: a report about two seconds does not prove twice the capacity.
func TestLateReport(t *testing.T) {
	c := NewController(Terms{Life: Life, Drift: 0.05, Way: way3()}, 3, 100, Published{Epoch: 1, Plan: Near(3), Still: Near(3)})
	all := []Report{{Zone: 0, Demand: 9, Span: 2, Sights: sights(3, 18)}, {Zone: 1, Sights: sights(3, 0)}, {Zone: 2, Sights: sights(3, 0)}}
	lookFor(c, 100, 30, all, Orders{})
	if c.Room[0] < 8 || c.Room[0] > 10 {
		t.Errorf("a zone of 10 cores is planned with %.1f", c.Room[0])
	}
}

// TestReturnsWhole: when the first router of a zone that was silent is heard, its row gives nothing away until all have been.
func TestReturnsWhole(t *testing.T) {
	c := NewController(Terms{Life: Life, Drift: 0.05, Way: way3()}, 3, 100, Published{Epoch: 1, Plan: Near(3), Still: Near(3)})
	others := []Report{{Zone: 1, Demand: 8, Sights: sights(3, 4)}, {Zone: 2, Demand: 8, Sights: sights(3, 4)}}
	away := Orders{Away: []bool{true, false, false}}
	_, _, now := lookFor(c, 100, 20, others, away)
	first := append([]Report{{Zone: 0, Demand: 1, Sights: sights(3, 0.1)}}, others...)
	for k := range first {
		first[k].Epoch = c.Now().Epoch
	}
	for _, dt := range []float64{0, 0.5, 1} {
		c.Next(now+dt, first, 3, away)
		if row := c.Now().Plan.Share[0]; row[1]+row[2] > 0 {
			t.Fatalf("%.1f s after the first router its zone has shares %v", dt, row)
		}
	}
	first[0].Demand = 6
	p, ok, _ := lookFor(c, now+1.5, 10, first, away)
	if !ok {
		t.Fatalf("no plan: %+v, changes at %v, room %v", c.Now(), c.Changes, c.Room)
	}
	if row := p.Plan.Share[0]; !ok || row[1]+row[2] <= 0 || (row[1]+row[2])*6 > 4.1 {
		t.Errorf("when all are heard: %v", p.Plan.Share)
	}
}

// TestCapacity: what was too much for a zone counts, whatever its list says, until it is seen to bear more.
func TestCapacity(t *testing.T) {
	c := NewCapacity(1)
	for now := range 30 {
		c.Observe(100+float64(now), 0, 5, 10, 1, now >= 20)
	}
	if got := c.Of(0, 10, 1); got > 6.5 {
		t.Errorf("it was late at 5 of 10 cores, and is planned with %.1f", got)
	}
	c.Observe(131, 0, 8, 10, 1, false)
	if got := c.Of(0, 10, 1); got < 8 {
		t.Errorf("it served 8 in time, and is planned with %.1f", got)
	}
}
