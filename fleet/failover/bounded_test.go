package failover

import "testing"

// TestLostAgain: a zone that is lost, comes back and is lost again within the minute has its work go where there is room each time. What
// came home is no move that counts against what is moved away.
func TestLostAgain(t *testing.T) {
	c := NewController(Terms{Life: Life, Drift: 0.05, Way: way3()}, 3, 100, Published{Epoch: 1, Plan: Near(3), Still: Near(3)})
	all := func(lost bool) (r []Report) {
		for z := range 3 {
			r = append(r, Report{Zone: z, Demand: 5, Sights: sights(3, 5.0/3)})
			if s := &r[z].Sights[0]; lost {
				s.Work, s.Bad, s.Doubt = 0, s.Sent, s.Ready
			}
		}
		return r
	}
	now := 100.0
	_, _, now = lookFor(c, now, 5, all(false), Orders{})
	for turn := range 2 {
		_, _, now = lookFor(c, now, 6, all(true), Orders{})
		if served := sum(c.Now().Plan.Share[0]); c.Now().Plan.Share[0][0] > 0 || served < 0.99 {
			t.Fatalf("loss %d: %v of its work goes anywhere: %v, the others have room", turn+1, served, c.Now().Plan.Share)
		}
		_, _, now = lookFor(c, now, 16, all(false), Orders{})
		if c.Now().Plan.Share[0][0] < 0.9 && turn == 0 {
			t.Fatalf("it does not come home: %v", c.Now().Plan.Share)
		}
	}
	if now > 100+60 {
		t.Fatalf("it took %v s: the minute has to be one", now-100)
	}
}

// TestMinuteBound: more than a part of the fleet's work is not moved away within a minute, but by an operator's word.
func TestMinuteBound(t *testing.T) {
	for _, free := range []bool{false, true} {
		c := NewController(Terms{Life: Life, Drift: 0.05, Way: way3(), MostMove: 0.2}, 3, 100, Published{Epoch: 1, Plan: Near(3), Still: Near(3)})
		var all []Report
		for z := range 3 {
			all = append(all, Report{Zone: z, Demand: 4, Sights: sights(3, 4.0/3)})
		}
		_, _, now := lookFor(c, 100, 5, all, Orders{})
		lookFor(c, now, 20, all, Orders{Away: []bool{true, false, false}, Free: free})
		if moved := away(Near(3), c.Now().Plan, []float64{4, 4, 4}); free && moved < 0.33 || !free && (moved > 0.2+1e-9 || moved < 0.19) {
			t.Errorf("free %v: %v of the work was moved away", free, moved)
		}
	}
}

func sum(all []float64) (s float64) {
	for _, x := range all {
		s += x
	}
	return s
}
