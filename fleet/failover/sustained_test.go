package failover

import "testing"

// TestSustained: down at once, up only to the lowest of what was seen for the whole delay.
func TestSustained(t *testing.T) {
	s := sustained{value: 1}
	for _, look := range []struct{ now, signal, want float64 }{
		{10, 5, 1}, {10.5, 1, 1}, // one look
		{11, 5, 1}, {11.25, 3, 1}, {11.5, 4, 3}, // for the delay, by the lowest
		{12, 2, 2},               // less counts at once
		{12.5, 9, 2}, {13, 9, 9}, // from there up again
		{13.5, 0.5, 0.5},
	} {
		if got := s.observe(look.now, look.signal, 0.5); got != look.want {
			t.Errorf("at %v: %v after %v, wanted %v", look.now, got, look.signal, look.want)
		}
	}
}

// TestOneLook: evidence of one look against a zone moves none of its work, that of three does.
func TestOneLook(t *testing.T) {
	well := func() (all []Report) {
		for zone := range 3 {
			all = append(all, Report{Zone: zone, Demand: 6, Sights: sights(3, 2)})
		}
		return all
	}
	unreached := well() // by its own routers, others reach it
	unreached[1].Sights[1].Bad, unreached[1].Sights[1].Work = 20, 0
	slow := well() // and fails in part: a zone that is slow only keeps its work
	for k := range slow {
		slow[k].Sights[1].Bad, slow[k].Sights[1].Slow = 6, 12
	}
	for name, bad := range map[string][]Report{"unreached": unreached, "slow": slow} {
		c := NewController(Terms{Life: Life, Drift: 0.05, Way: way3()}, 3, 100, Published{Epoch: 1, Plan: Near(3), Still: Near(3)})
		_, _, now := lookFor(c, 100, 20, well(), Orders{})
		_, _, now = lookFor(c, now, 0.5, bad, Orders{})
		if row := c.Now().Plan.Share[1]; row[1] < 1 {
			t.Errorf("%s: shares %v after one look", name, row)
		}
		lookFor(c, now, 1, bad, Orders{})
		if row := c.Now().Plan.Share[1]; row[1] > 0.5 {
			t.Errorf("%s: shares %v after three", name, row)
		}
	}
}
