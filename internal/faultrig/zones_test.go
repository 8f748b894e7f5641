package faultrig

import (
	"os/exec"
	"strings"
	"testing"
	"time"

	"dunereach/emulator/scenario"
	"dunereach/fleet/failover"
)

// startZones is a fleet of three zones with links between routers and engines, model engines, and load.
func startZones(t *testing.T, clients int, work float64) *Rig {
	t.Helper()
	r := startZonesWith(t, clients, 6, Options{Warm: true, Linked: true, Cores: 8, Work: work, Works: []string{"plan"}})
	await(t, r, 30, "load on all zones", func() bool {
		return min(r.ZoneSent(1), r.ZoneSent(2), r.ZoneSent(3)) > 100
	})
	return r
}

func startZonesWith(t *testing.T, clients, engines int, o Options) *Rig {
	t.Helper()
	f := scenario.File{Name: "zones", Keepers: 3, Routers: 6, Zones: 3, Engines: engines, Lease: 2, Drift: 0.05}
	for range 6 {
		o.Clients = append(o.Clients, clients)
	}
	r, err := NewWith(f, o, bin, t.TempDir(), func(s string) { t.Log(s) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.Close()
		if t.Failed() {
			t.Log(r.Tail())
		}
	})
	r.Load = true
	if err := r.Start(); err != nil {
		t.Fatal(err)
	}
	return r
}

func await(t *testing.T, r *Rig, seconds float64, what string, reached func() bool) {
	t.Helper()
	if err := r.waitUntil(seconds, reached); err != nil {
		p, err := r.Plan()
		t.Fatalf("%s does not come; the plan is %+v (%v)", what, p, err)
	}
}

// maxShareTo is the most that any origin gives a zone by the fleet's plan.
func maxShareTo(p failover.PublishedPlan, zone int) (most float64) {
	for _, row := range p.Plan.Share {
		most = max(most, row[zone])
	}
	return most
}

func checkFigures(t *testing.T, r *Rig, failed float64) {
	t.Helper()
	f := r.Figures()
	t.Logf("asked %d, answered %d, shed %d, failed %d, cut %d", f.Asked, f.Answered, f.Shed, f.Failed, f.Cut)
	if len(f.Wrong) > 0 || f.Twice > 0 {
		t.Error(f.Wrong)
	}
	if float64(f.Failed) > failed*float64(f.Asked) {
		t.Errorf("%d of %d commands failed", f.Failed, f.Asked)
	}
}

// TestZoneLost: a zone's engines vanish for all. It is given up within seconds, gets next to nothing while it is away, and its work
// returns when it is back, without anybody's word.
func TestZoneLost(t *testing.T) {
	t.Parallel()
	r := startZones(t, 8, 0.01)
	began := time.Now()
	r.CutEngines(1, nil)
	await(t, r, 20, "a plan without zone 1", func() bool {
		p, err := r.Plan()
		return err == nil && maxShareTo(p, 0) == 0
	})
	t.Logf("planned away after %.1f s", time.Since(began).Seconds())
	time.Sleep(3 * time.Second) // all routers have it
	before, all := r.ZoneSent(1), r.ZoneSent(2)+r.ZoneSent(3)
	time.Sleep(4 * time.Second)
	if in, out := r.ZoneSent(1)-before, r.ZoneSent(2)+r.ZoneSent(3)-all; in > out/50 {
		t.Errorf("%d sends reached the lost zone, %d the others", in, out)
	}
	r.Heal()
	await(t, r, 60, "the way back", func() bool {
		p, err := r.Plan()
		return err == nil && p.Plan.Share[0][0] > 0.9
	})
	at := r.ZoneSent(1)
	await(t, r, 20, "work in zone 1", func() bool { return r.ZoneSent(1) > at+200 })
	checkFigures(t, r, 0.05)
}

// TestLinkCut: the link between two zones is cut. Neither is given up.
func TestLinkCut(t *testing.T) {
	t.Parallel()
	r := startZones(t, 8, 0.01)
	r.CutEngines(2, func(n int) bool { return n%3 == 0 })
	r.CutEngines(1, func(n int) bool { return n%3 == 1 })
	time.Sleep(10 * time.Second) // nothing is to come
	if p, err := r.Plan(); err == nil && (p.Plan.Share[0][0] < 0.9 || p.Plan.Share[1][1] < 0.9) {
		t.Errorf("a zone was given up: %+v", p)
	}
	checkFigures(t, r, 0.05)
}

// planOwner is the router that makes the fleet's plan.
func planOwner(t *testing.T, r *Rig) (owner string) {
	t.Helper()
	await(t, r, 20, "an owner of the plan", func() bool {
		out, err := exec.Command(bin+"/dunefleet", "fleet", "owners", "--keepers", strings.Join(r.Fronts(), ",")).CombinedOutput()
		for _, line := range strings.Split(string(out), "\n") {
			if f := strings.Fields(line); err == nil && len(f) > 1 && f[0] == "plan/zones" && f[1] != "-" {
				owner = f[1]
			}
		}
		return owner != ""
	})
	return owner
}

// TestPlannerStopped: the plan's owner is stopped, a zone is lost while it sleeps, another makes the plan, and the old one wakes up.
func TestPlannerStopped(t *testing.T) {
	t.Parallel()
	r := startZones(t, 8, 0.01)
	owner := planOwner(t, r)
	if err := r.Do("stop", owner); err != nil {
		t.Fatal(err)
	}
	zone := 1 // one that its owner is not in
	if r.procs[owner].zone == "z1" {
		zone = 2
	}
	r.CutEngines(zone, nil)
	await(t, r, 30, "another's plan", func() bool {
		p, err := r.Plan()
		return err == nil && maxShareTo(p, zone-1) == 0
	})
	p1, _ := r.Plan()
	if err := r.Do("continue", owner); err != nil {
		t.Fatal(err)
	}
	time.Sleep(4 * time.Second) // it would act now
	if p2, err := r.Plan(); err != nil || p2.Epoch < p1.Epoch || maxShareTo(p2, zone-1) > 0 {
		t.Errorf("after it woke: %+v %v, before %+v", p2, err, p1)
	}
	checkFigures(t, r, 0.1)
}

// TestEvacuate: an operator empties a zone under load: nothing fails, next to nothing goes there, and it returns on his word. What
// others can't carry is refused with the numbers.
func TestEvacuate(t *testing.T) {
	t.Parallel()
	r := startZones(t, 8, 0.01)
	runCommand := func(args ...string) (string, error) {
		out, err := exec.Command(bin+"/dunefleet", append([]string{"fleet", "--keepers", strings.Join(r.Fronts(), ",")}, args...)...).CombinedOutput()
		return string(out), err
	}
	await(t, r, 20, "a note of what is asked for", func() bool { p, err := r.Plan(); return err == nil && len(p.LastDemand) == 3 })
	if out, err := runCommand("evacuate", "z9"); err == nil || !strings.Contains(out, "no zone is called") {
		t.Errorf("a zone that is none: %s", out)
	}
	if out, err := runCommand("evacuate", "z1", "--dry-run"); err != nil || !strings.Contains(out, "nothing was done") {
		t.Fatalf("rehearsed: %v %s", err, out)
	}
	failed := r.Figures().Failed
	if out, err := runCommand("evacuate", "z1"); err != nil {
		t.Fatalf("%v %s", err, out)
	}
	await(t, r, 30, "an empty zone 1", func() bool {
		p, err := r.Plan()
		return err == nil && maxShareTo(p, 0) == 0
	})
	time.Sleep(4 * time.Second)
	before := r.ZoneSent(1)
	time.Sleep(3 * time.Second)
	if n := r.ZoneSent(1) - before; n > 30 {
		t.Errorf("%d sends to an evacuated zone", n)
	}
	if out, err := runCommand("evacuate", "z2", "--dry-run"); err == nil && strings.Contains(out, "would be shed") {
		t.Logf("two zones: %s", out)
	}
	if out, err := runCommand("restore", "z1"); err != nil {
		t.Fatalf("%v %s", err, out)
	}
	await(t, r, 60, "the way back", func() bool {
		p, err := r.Plan()
		return err == nil && p.Plan.Share[0][0] > 0.9
	})
	if n := r.Figures().Failed - failed; n > 0 {
		t.Errorf("%d commands failed", n)
	}
	checkFigures(t, r, 0.05)
}
