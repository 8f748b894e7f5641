package faultrig

import (
	"testing"
	"time"

	"dunereach/fleet/failover"
)

// TestSlowZone guards against work that stays in a slow zone: its servers run at a tenth of their speed and answer
// everything, but too late. Most of its work must be served elsewhere, and return once the servers run at full speed.
func TestSlowZone(t *testing.T) {
	t.Parallel()
	r := startZonesWith(t, 8, 6, Options{WarmServers: true, LinkFaults: true, ServerCores: 8, WorkPerRequest: 0.02, TaskKinds: []string{"plan"}, LatencyTarget: 100})
	awaitDemand(t, r)
	r.SetZonePace(1, 0.1)
	await(t, r, 30, "a plan that moves work out of zone 1", func() bool {
		p, err := r.Plan()
		return err == nil && p.Plan.Share[0][0] < 0.5 && p.Plan.Share[1][0] == 0 && p.Plan.Share[2][0] == 0
	})
	time.Sleep(3 * time.Second) // all routers have received the plan
	completed, requests := completedDuring(r, 5)
	if p, err := r.Plan(); err != nil || p.Plan.Share[0][0] >= 0.6 {
		t.Errorf("its work returned while it is slow: %+v %v", p, err)
	}
	if completed < requests*95/100 {
		t.Errorf("%d of %d completed", completed, requests)
	}
	r.SetZonePace(1, 1)
	await(t, r, 90, "the return of the work", func() bool {
		p, err := r.Plan()
		return err == nil && p.Plan.Share[0][0] > 0.9
	})
	checkFigures(t, r, 0.05)
}

// TestSlowInTime guards against moving work away from a zone whose servers run at a third of their speed and still meet
// the latency targets.
func TestSlowInTime(t *testing.T) {
	t.Parallel()
	r := startZones(t, 2, 0.02)
	awaitDemand(t, r)
	r.SetZonePace(1, 0.3)
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) { // no change is expected
		if p, err := r.Plan(); err == nil && p.Plan.Share[0][0] < 0.9 {
			t.Fatalf("its work was moved away although it meets its targets: %+v", p)
		}
	}
	checkFigures(t, r, 0.02)
}

// falseReport is the report of a lying observer: that a working zone is lost, or that a lost zone works.
func falseReport(zone, lostZone int, lost bool) failover.Report {
	p := failover.Report{Zone: zone, Demand: 0.1, Observations: make([]failover.ZoneObservation, 3)}
	for z := range p.Observations {
		s := &p.Observations[z]
		*s = failover.ZoneObservation{Attempts: 50, Work: 0.4, Slow: 1.2, Ready: 16}
		if z == lostZone && lost {
			s.Failed, s.Work, s.SuspectCores = 50, 0, 16
		}
	}
	return p
}

// TestHalfLie guards against giving up a zone on the reports of lying observers that are as many as the routers.
func TestHalfLie(t *testing.T) {
	t.Parallel()
	r := startZones(t, 4, 0.01)
	awaitDemand(t, r)
	planOwner(t, r)
	stop := r.StartObservers(6, func(zone int) failover.Report { return falseReport(zone, 0, true) })
	defer stop()
	time.Sleep(2 * time.Second)                                                                               // the sessions of the observers are open
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) { // no change is expected
		if p, err := r.Plan(); err == nil && p.Plan.Share[0][0] < 0.9 {
			t.Fatalf("it was given up because of false reports: %+v", p)
		}
	}
	if completed, requests := completedDuring(r, 2); completed < requests*95/100 {
		t.Errorf("%d of %d completed", completed, requests)
	}
	checkFigures(t, r, 0.02)
}

// TestThirdHides guards against requests that fail because a third of all observers reports that an unreachable zone
// works. They outweigh the two routers that see the loss, so the zone is not given up, but its own routers' reports
// must move its work elsewhere.
func TestThirdHides(t *testing.T) {
	t.Parallel()
	r := startZones(t, 8, 0.01)
	awaitDemand(t, r)
	planOwner(t, r)
	stop := r.StartObservers(3, func(zone int) failover.Report { return falseReport(zone, 0, false) })
	defer stop()
	time.Sleep(2 * time.Second) // the sessions of the observers are open
	r.CutServers(1, nil)
	await(t, r, 20, "a plan that moves its work out of zone 1", func() bool { p, err := r.Plan(); return err == nil && p.Plan.Share[0][0] == 0 })
	time.Sleep(3 * time.Second) // all routers have received the plan
	if completed, requests := completedDuring(r, 4); completed < requests*95/100 {
		t.Errorf("%d of %d completed", completed, requests)
	}
	checkFigures(t, r, 0.05)
}
