package failover

import "testing"

// TestSustained checks that the value falls at once and rises only to the lowest signal of the whole delay.
func TestSustained(t *testing.T) {
	s := sustained{value: 1}
	for _, step := range []struct{ now, signal, want float64 }{
		{10, 5, 1}, {10.5, 1, 1}, // a single evaluation
		{11, 5, 1}, {11.25, 3, 1}, {11.5, 4, 3}, // after the delay, the lowest signal
		{12, 2, 2},               // a lower signal applies at once
		{12.5, 9, 2}, {13, 9, 9}, // rises again from there
		{13.5, 0.5, 0.5},
	} {
		if got := s.observe(step.now, step.signal, 0.5); got != step.want {
			t.Errorf("at %v: got %v after signal %v, want %v", step.now, got, step.signal, step.want)
		}
	}
}

// TestSingleEvaluation checks that evidence from a single evaluation moves none of a zone's work, and that evidence from
// three does.
func TestSingleEvaluation(t *testing.T) {
	healthy := func() (reports []Report) {
		for zone := range 3 {
			reports = append(reports, Report{Zone: zone, Demand: 6, Observations: observations(3, 2)})
		}
		return reports
	}
	unreached := healthy() // for its own routers; others reach it
	unreached[1].Observations[1].Failed, unreached[1].Observations[1].Work = 20, 0
	slow := healthy() // and partly failing: a zone that is only slow keeps its work
	for k := range slow {
		slow[k].Observations[1].Failed, slow[k].Observations[1].Slow = 6, 12
	}
	for name, bad := range map[string][]Report{"unreached": unreached, "slow": slow} {
		c := NewController(Config{Lifetime: Lifetime, Drift: 0.05, RoundTrip: roundTrips3()}, 3, 100, PublishedPlan{Epoch: 1, Plan: LocalPlan(3), Fallback: LocalPlan(3)})
		_, _, now := runController(c, 100, 20, healthy(), Orders{})
		_, _, now = runController(c, now, 0.5, bad, Orders{})
		if row := c.Now().Plan.Share[1]; row[1] < 1 {
			t.Errorf("%s: shares %v after one evaluation", name, row)
		}
		runController(c, now, 1, bad, Orders{})
		if row := c.Now().Plan.Share[1]; row[1] > 0.5 {
			t.Errorf("%s: shares %v after three evaluations", name, row)
		}
	}
}
