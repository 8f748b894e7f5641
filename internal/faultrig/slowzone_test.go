package faultrig

import (
	"testing"
	"time"

	"dunereach/fleet/failover"
)

// TestSlowZone: a zone's engines run at a tenth of their pace and answer everything, too late. Most of its work goes elsewhere, and comes
// home once they run as before.
func TestSlowZone(t *testing.T) {
	t.Parallel()
	r := startZonesWith(t, 8, 6, Options{Warm: true, Linked: true, Cores: 8, Work: 0.02, Works: []string{"plan"}, Target: 100})
	awaitDemand(t, r)
	r.Pace(1, 0.1)
	await(t, r, 30, "a plan that takes work off zone 1", func() bool {
		p, err := r.Plan()
		return err == nil && p.Plan.Share[0][0] < 0.5 && p.Plan.Share[1][0] == 0 && p.Plan.Share[2][0] == 0
	})
	time.Sleep(3 * time.Second) // all routers have it
	answered, asked := completedDuring(r, 5)
	if p, err := r.Plan(); err != nil || p.Plan.Share[0][0] >= 0.6 {
		t.Errorf("its work is back while it is slow: %+v %v", p, err)
	}
	if answered < asked*95/100 {
		t.Errorf("%d of %d answered", answered, asked)
	}
	r.Pace(1, 1)
	await(t, r, 90, "the way home", func() bool {
		p, err := r.Plan()
		return err == nil && p.Plan.Share[0][0] > 0.9
	})
	checkFigures(t, r, 0.05)
}

// TestSlowInTime: a zone's engines run at a third of their pace, and its targets are met all the same. Its work stays near.
func TestSlowInTime(t *testing.T) {
	t.Parallel()
	r := startZones(t, 2, 0.02)
	awaitDemand(t, r)
	r.Pace(1, 0.3)
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) { // nothing is to come
		if p, err := r.Plan(); err == nil && p.Plan.Share[0][0] < 0.9 {
			t.Fatalf("it was planned away from, though it meets its targets: %+v", p)
		}
	}
	checkFigures(t, r, 0.02)
}

// falseReport are what a lying observer says: a zone is lost that is well, or well that is lost.
func falseReport(zone, of int, lost bool) failover.Report {
	p := failover.Report{Zone: zone, Demand: 0.1, Observations: make([]failover.ZoneObservation, 3)}
	for z := range p.Observations {
		s := &p.Observations[z]
		*s = failover.ZoneObservation{Attempts: 50, Work: 0.4, Slow: 1.2, Ready: 16}
		if z == of && lost {
			s.Failed, s.Work, s.SuspectCores = 50, 0, 16
		}
	}
	return p
}

// TestHalfLie: as many observers as there are routers say that a zone is lost. It is not given up.
func TestHalfLie(t *testing.T) {
	t.Parallel()
	r := startZones(t, 4, 0.01)
	awaitDemand(t, r)
	planOwner(t, r)
	stop := r.Observers(6, func(zone int) failover.Report { return falseReport(zone, 0, true) })
	defer stop()
	time.Sleep(2 * time.Second)                                                                               // their sessions are open
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) { // nothing is to come
		if p, err := r.Plan(); err == nil && p.Plan.Share[0][0] < 0.9 {
			t.Fatalf("it was given up on liars' word: %+v", p)
		}
	}
	if answered, asked := completedDuring(r, 2); answered < asked*95/100 {
		t.Errorf("%d of %d answered", answered, asked)
	}
	checkFigures(t, r, 0.02)
}

// TestThirdHides: a third of all observers say that a zone is well which no router reaches any more. They outweigh the two that see it,
// so it is not given up, but its own routers' word has its work go elsewhere.
func TestThirdHides(t *testing.T) {
	t.Parallel()
	r := startZones(t, 8, 0.01)
	awaitDemand(t, r)
	planOwner(t, r)
	stop := r.Observers(3, func(zone int) failover.Report { return falseReport(zone, 0, false) })
	defer stop()
	time.Sleep(2 * time.Second) // their sessions are open
	r.CutEngines(1, nil)
	await(t, r, 20, "a plan that takes its work off zone 1", func() bool { p, err := r.Plan(); return err == nil && p.Plan.Share[0][0] == 0 })
	time.Sleep(3 * time.Second) // all routers have it
	if answered, asked := completedDuring(r, 4); answered < asked*95/100 {
		t.Errorf("%d of %d answered", answered, asked)
	}
	checkFigures(t, r, 0.05)
}
