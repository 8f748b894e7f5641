package scale

import "testing"

// Every router holds exactly the given number of databases, the databases of a round are held once each, and equal seeds give equal
// subsets.
func TestRoundSubsetsAreBalanced(t *testing.T) {
	const routers, databases, size = 105, 256, 64
	held := roundSubsets(routers, databases, size, 1)
	again := roundSubsets(routers, databases, size, 1)
	holders := make([]int, databases)
	for router := range held {
		heldCount := 0
		for database, holds := range held[router] {
			if holds != again[router][database] {
				t.Fatalf("router %d: two subsets with the same seed differ", router)
			}
			if holds {
				heldCount++
				holders[database]++
			}
		}
		if heldCount != size {
			t.Errorf("router %d holds %d", router, heldCount)
		}
	}
	for database, n := range holders { // 26 full rounds, and one router of the next
		if n < 26 || n > 27 {
			t.Errorf("database %d is held by %d", database, n)
		}
	}
}

// The requested work corresponds to the load, and a light load without disturbance is served nearly completely.
func TestPlayServesALightLoad(t *testing.T) {
	p := poolRun{Seed: 3, Subset: 16, Load: 0.3, Seconds: 1}
	work := 0.0
	for _, stream := range p.streams() {
		work += stream.PeakRate * stream.Work
	}
	if want := 0.3 * poolDatabases * poolCores; work < 0.999*want || work > 1.001*want {
		t.Errorf("the streams request %v cores of work, the load is %v", work, want)
	}
	s, err := p.run()
	if err != nil {
		t.Fatal(err)
	}
	if s.Share < 0.97 || s.WaitP90 > 0.01 {
		t.Errorf("service under a light load: %+v", s)
	}
}

// A size that serves less than the whole pool must show as a loss, and the bound must fail.
func TestServiceRowsShowALoss(t *testing.T) {
	plan := servicePlan{scenarios: []scenario{{0.8, undisturbed}, {0.6, zoneLost}}, sizes: []int{chosenSubset}, seeds: []uint64{1, 2}}
	runs := []serviceResult{{Share: 1}, {Share: 1}, {Share: 1}, {Share: 1}, {Share: 0.9}, {Share: 0.9}, {Share: 0.9}, {Share: 0.8}}
	rows := serviceRows(plan, runs, serviceResult{})
	last := rows[len(rows)-1]
	if last.WithinBounds() || last.Value < 0.055 || last.Value > 0.056 {
		t.Errorf("a loss of 0.85 against 0.9 is reported as %+v", last)
	}
}
