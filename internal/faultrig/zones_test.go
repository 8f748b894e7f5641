package faultrig

import (
	"os/exec"
	"strings"
	"testing"
	"time"

	"dunereach/emulator/scenario"
	"dunereach/fleet/failover"
)

// startZones starts a fleet of three zones with proxies between routers and model servers, and waits for load in all
// zones.
func startZones(t *testing.T, clients int, work float64) *Rig {
	t.Helper()
	r := startZonesWith(t, clients, 6, Options{WarmServers: true, LinkFaults: true, ServerCores: 8, WorkPerRequest: work, TaskKinds: []string{"plan"}})
	await(t, r, 30, "load on all zones", func() bool {
		return min(r.ZoneAttempts(1), r.ZoneAttempts(2), r.ZoneAttempts(3)) > 100
	})
	return r
}

// startZonesWith starts a fleet of three zones with load.
func startZonesWith(t *testing.T, clients, engines int, o Options) *Rig {
	t.Helper()
	f := scenario.File{Name: "zones", Coordinators: 3, Routers: 6, Zones: 3, Servers: engines, Lease: 2, Drift: 0.05}
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
			t.Log(r.LogTails())
		}
	})
	r.GenerateLoad = true
	if err := r.Start(); err != nil {
		t.Fatal(err)
	}
	return r
}

// await waits for a condition and fails the test if it is not met in time.
func await(t *testing.T, r *Rig, seconds float64, what string, reached func() bool) {
	t.Helper()
	if err := r.waitUntil(seconds, reached); err != nil {
		p, err := r.Plan()
		t.Fatalf("%s: not in time; the plan is %+v (%v)", what, p, err)
	}
}

// maxShareTo returns the largest share of any origin zone's work that the fleet's plan sends to a zone.
func maxShareTo(p failover.PublishedPlan, zone int) (most float64) {
	for _, row := range p.Plan.Share {
		most = max(most, row[zone])
	}
	return most
}

// checkFigures checks that nothing was violated and at most the given share of requests failed.
func checkFigures(t *testing.T, r *Rig, failed float64) {
	t.Helper()
	f := r.Figures()
	t.Logf("%d requests, %d completed, %d rejected, %d failed, %d disconnected", f.Requests, f.Completed, f.Rejected, f.Failed, f.Disconnected)
	if len(f.Violations) > 0 || f.RanTwice > 0 {
		t.Error(f.Violations)
	}
	if float64(f.Failed) > failed*float64(f.Requests) {
		t.Errorf("%d of %d requests failed", f.Failed, f.Requests)
	}
}

// TestZoneLost guards against requests that are sent to a lost zone. When its servers fail for all routers, the zone
// must be given up within seconds and receive next to no attempts; its work must return by itself when the servers are
// back.
func TestZoneLost(t *testing.T) {
	t.Parallel()
	r := startZones(t, 8, 0.01)
	began := time.Now()
	r.CutServers(1, nil)
	await(t, r, 20, "a plan without zone 1", func() bool {
		p, err := r.Plan()
		return err == nil && maxShareTo(p, 0) == 0
	})
	t.Logf("given up after %.1f s", time.Since(began).Seconds())
	time.Sleep(3 * time.Second) // all routers have received the plan
	before, all := r.ZoneAttempts(1), r.ZoneAttempts(2)+r.ZoneAttempts(3)
	time.Sleep(4 * time.Second)
	if in, out := r.ZoneAttempts(1)-before, r.ZoneAttempts(2)+r.ZoneAttempts(3)-all; in > out/50 {
		t.Errorf("%d attempts in the lost zone, %d in the others", in, out)
	}
	r.Heal()
	await(t, r, 60, "the return of the work", func() bool {
		p, err := r.Plan()
		return err == nil && p.Plan.Share[0][0] > 0.9
	})
	at := r.ZoneAttempts(1)
	await(t, r, 20, "attempts in zone 1", func() bool { return r.ZoneAttempts(1) > at+200 })
	checkFigures(t, r, 0.05)
}

// TestLinkCut guards against giving up a zone when only the link between two zones is cut.
func TestLinkCut(t *testing.T) {
	t.Parallel()
	r := startZones(t, 8, 0.01)
	r.CutServers(2, func(n int) bool { return n%3 == 0 })
	r.CutServers(1, func(n int) bool { return n%3 == 1 })
	time.Sleep(10 * time.Second) // no change is expected
	if p, err := r.Plan(); err == nil && (p.Plan.Share[0][0] < 0.9 || p.Plan.Share[1][1] < 0.9) {
		t.Errorf("a zone was given up: %+v", p)
	}
	checkFigures(t, r, 0.05)
}

// planOwner waits until the fleet's plan has an owner and returns it.
func planOwner(t *testing.T, r *Rig) (owner string) {
	t.Helper()
	await(t, r, 20, "an owner of the plan", func() bool {
		out, err := exec.Command(bin+"/dunefleet", "fleet", "owners", "--keepers", strings.Join(r.CoordinatorAddrs(), ",")).CombinedOutput()
		for _, line := range strings.Split(string(out), "\n") {
			if f := strings.Fields(line); err == nil && len(f) > 1 && f[0] == "plan/zones" && f[1] != "-" {
				owner = f[1]
			}
		}
		return owner != ""
	})
	return owner
}

// TestPlannerStopped guards against a stale plan: the plan's owner is stopped, a zone is lost meanwhile, another router
// makes a plan, and the old owner continues.
func TestPlannerStopped(t *testing.T) {
	t.Parallel()
	r := startZones(t, 8, 0.01)
	owner := planOwner(t, r)
	if err := r.Do("stop", owner); err != nil {
		t.Fatal(err)
	}
	zone := 1 // not the zone of the plan's owner
	if r.procs[owner].zone == "z1" {
		zone = 2
	}
	r.CutServers(zone, nil)
	await(t, r, 30, "a plan of another owner", func() bool {
		p, err := r.Plan()
		return err == nil && maxShareTo(p, zone-1) == 0
	})
	p1, _ := r.Plan()
	if err := r.Do("continue", owner); err != nil {
		t.Fatal(err)
	}
	time.Sleep(4 * time.Second) // time for the old owner to act
	if p2, err := r.Plan(); err != nil || p2.Epoch < p1.Epoch || maxShareTo(p2, zone-1) > 0 {
		t.Errorf("after it continued: %+v %v, before %+v", p2, err, p1)
	}
	checkFigures(t, r, 0.1)
}

// TestEvacuate guards against failures while an operator evacuates a zone under load. Nothing may fail, next to nothing
// may be sent there, and work must return on the operator's command. An evacuation beyond the capacity of the other
// zones is refused with the numbers.
func TestEvacuate(t *testing.T) {
	t.Parallel()
	r := startZones(t, 8, 0.01)
	runCommand := func(args ...string) (string, error) {
		out, err := exec.Command(bin+"/dunefleet", append([]string{"fleet", "--keepers", strings.Join(r.CoordinatorAddrs(), ",")}, args...)...).CombinedOutput()
		return string(out), err
	}
	await(t, r, 20, "a plan with the demand of all zones", func() bool { p, err := r.Plan(); return err == nil && len(p.LastDemand) == 3 })
	if out, err := runCommand("evacuate", "z9"); err == nil || !strings.Contains(out, "no zone is called") {
		t.Errorf("an unknown zone: %s", out)
	}
	if out, err := runCommand("evacuate", "z1", "--dry-run"); err != nil || !strings.Contains(out, "nothing was done") {
		t.Fatalf("dry run: %v %s", err, out)
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
	before := r.ZoneAttempts(1)
	time.Sleep(3 * time.Second)
	if n := r.ZoneAttempts(1) - before; n > 30 {
		t.Errorf("%d attempts in an evacuated zone", n)
	}
	if out, err := runCommand("evacuate", "z2", "--dry-run"); err == nil && strings.Contains(out, "would be shed") {
		t.Logf("two zones: %s", out)
	}
	if out, err := runCommand("restore", "z1"); err != nil {
		t.Fatalf("%v %s", err, out)
	}
	await(t, r, 60, "the return of the work", func() bool {
		p, err := r.Plan()
		return err == nil && p.Plan.Share[0][0] > 0.9
	})
	if n := r.Figures().Failed - failed; n > 0 {
		t.Errorf("%d requests failed", n)
	}
	checkFigures(t, r, 0.05)
}
