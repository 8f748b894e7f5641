package zones

import (
	"testing"
)

func play(t *testing.T, rule Rule, faults ...Fault) Result {
	t.Helper()
	r, err := Play(Settings{Zones: 3, Regions: 1, Routers: 30, Load: 0.55, Seed: 1, Rule: rule, Duration: 90, Faults: faults})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func servedShare(r Result, from, to int) (sum float64) {
	for _, x := range r.Served[from:to] {
		sum += x / float64(to-from)
	}
	return sum
}

// TestWithoutFaults checks that without faults no plan is made and all work is served in its own zone.
func TestWithoutFaults(t *testing.T) {
	if r := play(t, Planned); len(r.PlanChanges) > 0 || r.OwnZoneShare < 0.99 || servedShare(r, 5, 90) < 0.999 {
		t.Errorf("plan changes at %v, share served in the own zone %.3f, share served %.3f", r.PlanChanges, r.OwnZoneShare, servedShare(r, 5, 90))
	}
}

// TestZoneLost loses a zone at 20 s; it returns cold at 45 s. Almost as much is served as with full knowledge and no
// delay, the plan comes within seconds, no zone is planned above the capacity that it is assumed to have, and all work
// is back in its own zone soon after.
func TestZoneLost(t *testing.T) {
	fault := Fault{At: 20, Until: 45, Kind: ServersDown, Zone: 0}
	r, best := play(t, Planned, fault), play(t, FullKnowledge, fault)
	if got := servedShare(r, 20, 50) / servedShare(best, 20, 50); got < 0.95 {
		t.Errorf("served %.3f of what is possible with full knowledge", got)
	}
	if len(r.PlanChanges) == 0 || r.PlanChanges[0] > 24 {
		t.Errorf("plans at %v", r.PlanChanges)
	}
	if r.MaxPlannedLoad > 1+1e-6 || r.MaxFailoverLoad > 1.05 || !(r.RecoveryTime < 20) {
		t.Errorf("highest planned load %.3f, highest real load %.3f, back after %.0f s", r.MaxPlannedLoad, r.MaxFailoverLoad, r.RecoveryTime)
	}
}

// TestWorkReturnsHome checks that all work that a zone's loss has moved returns to its own zone, to within one percent,
// even where the rest is less than a change of plan is otherwise worth.
func TestWorkReturnsHome(t *testing.T) {
	for seed := range uint64(40) {
		r, err := Play(Settings{Zones: 3, Regions: 1, Routers: 30, Load: 0.3 + 0.01*float64(seed%20), Skew: 0.3, Seed: seed, Rule: Planned, Duration: 120,
			Faults: []Fault{{At: 20, Until: 35, Kind: ServersDown, Zone: int(seed % 3)}}})
		if err != nil {
			t.Fatal(err)
		}
		if !(r.RecoveryTime < 60) {
			t.Errorf("seed %d: back in the own zone only after %.0f s; plans at %v", seed, r.RecoveryTime, r.PlanChanges)
		}
	}
}

// TestTwoZonesLost loses two of three zones, so that the last one can't serve everything. Without a plan all traffic
// goes to that zone; the plan rejects the excess at its origin.
func TestTwoZonesLost(t *testing.T) {
	faults := []Fault{{At: 20, Until: 45, Kind: ServersDown, Zone: 0}, {At: 21, Until: 45, Kind: ServersDown, Zone: 1}}
	r, local := play(t, Planned, faults...), play(t, Local, faults...)
	if r.MaxFailoverLoad > 1.05 || local.MaxFailoverLoad < 1.1 {
		t.Errorf("the third zone gets %.3f of its capacity with the plan, %.3f without", r.MaxFailoverLoad, local.MaxFailoverLoad)
	}
	if servedShare(r, 25, 45) < servedShare(local, 25, 45) {
		t.Errorf("share served %.3f with the plan, %.3f without", servedShare(r, 25, 45), servedShare(local, 25, 45))
	}
}

// TestObserversCutOff checks that no zone is given up because observers or links are cut off.
func TestObserversCutOff(t *testing.T) {
	for _, f := range []Fault{{Kind: LinkCut, Zone: 0, To: 1}, {Kind: OneWayCut, Zone: 2, To: 0}, {Kind: CoordinatorsUnreachable, Zone: 1}, {Kind: ControllerStopped, Zone: 0}} {
		f.At, f.Until = 20, 45
		if r := play(t, Planned, f); len(r.GivenUp) > 0 || servedShare(r, 20, 50) < 0.99 {
			t.Errorf("%v: zones given up %v, share served %.3f", f.Kind, r.GivenUp, servedShare(r, 20, 50))
		}
	}
}

// TestRandomFaults checks with random faults, several at a time, that no healthy zone is given up, that no plan offers
// a zone more than its planned capacity under any mixture with the previous plan, and that other zones' traffic never
// loads a zone above 1.05 of its capacity over a second.
func TestRandomFaults(t *testing.T) {
	planned, changes := 0.0, 0
	for seed := range uint64(150) {
		r, err := Play(RandomSettings(seed))
		if err != nil {
			t.Fatal(err)
		}
		changes += len(r.PlanChanges)
		if planned = max(planned, r.MaxPlannedLoad); r.MaxPlannedLoad > 1+1e-6 || len(r.GivenUp) > 0 || r.MaxFailoverLoad > 1.05 {
			t.Errorf("seed %d: highest planned load %.4f, highest real load %.4f, zones given up %v", seed, r.MaxPlannedLoad, r.MaxFailoverLoad, r.GivenUp)
		}
	}
	if changes < 100 || planned < 0.9 {
		t.Errorf("%d plans, highest planned load %.2f: the runs cover too little", changes, planned)
	}
}

// TestMisreportsAtStart has four in ten observers report random values from the first second on, when the reports of the
// others cover only part of a second and have little weight. No zone may be given up and no work moved because of a
// single round of such reports. With these seeds that happened once, at 1.1 s.
func TestMisreportsAtStart(t *testing.T) {
	for _, seed := range []uint64{10, 13, 103, 129, 173, 257, 263, 264, 288, 298, 783, 849} {
		settings := Settings{Zones: 3 + int(seed%5), Regions: 1 + int(seed%2), Routers: 30, Load: 0.4 + 0.02*float64(seed%16), Skew: 0.2,
			Seed: seed, Rule: Planned, Duration: 20, MisreportingShare: 0.4}
		result, err := Play(settings)
		if err != nil {
			t.Fatal(err)
		}
		if len(result.GivenUp) > 0 || len(result.PlanChanges) > 0 {
			t.Errorf("seed %d: zones given up %v, plans at %v", seed, result.GivenUp, result.PlanChanges)
		}
	}
}
