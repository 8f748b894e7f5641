package admission

import (
	"math"
	"testing"

	"dunereach/waittime"
)

// idleHost ignores all actions.
type idleHost struct{}

func (idleHost) Send(id, server uint32, timeout, sendBefore float64)                {}
func (idleHost) Reject(id uint32, pause float64)                                    {}
func (idleHost) Fail(id uint32)                                                     {}
func (idleHost) Cancel(id uint32, attempt int)                                      {}
func (idleHost) Withdraw(id uint32, attempt int)                                    {}
func (idleHost) Probe(server uint32)                                                {}
func (idleHost) Priority(id uint32, level int, grant float64)                       {}
func (idleHost) Wake(after float64, token uint64)                                   {}
func (idleHost) SendToPeer(peer int, data []byte)                                   {}
func (idleHost) Watch(on bool)                                                      {}
func (idleHost) Log(text string)                                                    {}
func (idleHost) ReportEstimate(id uint32, k waittime.TimeKind, e waittime.Estimate) {}

// TestHeldShares checks that a router has a larger equal share of each listed server, but not of the quotas and cores
// of the whole pool.
func TestHeldShares(t *testing.T) {
	set := Settings{Routers: 100, Tick: 0.005, Profiles: []Profile{{Target: 1, Benefit: 1, Threads: 1}}, KindCores: []float64{8},
		Tenants: []Tenant{{QuotaPerS: 10}}}
	list := []Entry{{Server: 1, Zone: 0, State: Ready}, {Server: 2, Zone: 1, State: Ready}, {Server: 3, Zone: 1, State: Draining}}
	for _, c := range []struct {
		name         string
		held         Coverage
		share, quota float64
		ready        []float64 // reported by zone
	}{
		{"all", Coverage{}, 0.01, 0.01, []float64{8, 8}},
		{"all, set explicitly", Coverage{Part: 1, Zones: []float64{1, 1}}, 0.01, 0.01, []float64{8, 8}},
		{"a twentieth", Coverage{Part: 0.05, Zones: []float64{0.25, 0.125}}, 0.2, 0.01, []float64{32, 64}},
		{"fewer than routers", Coverage{Part: 0.001}, 1, 0.01, []float64{8, 8}},
	} {
		b := New(set, 0, idleHost{})
		b.UpdateServers(0, Full, list)
		b.SetCoverage(c.held)
		b.Woken(0.005, 0)
		near := func(a, b float64) bool { return math.Abs(a-b) < 1e-12 }
		if !near(b.share, c.share) || !near(b.quotaShare(0), c.quota) {
			t.Errorf("%s: share %v, share of a quota %v; want %v and %v", c.name, b.share, b.quotaShare(0), c.share, c.quota)
		}
		r := b.Report(1, 2)
		for z, ready := range c.ready {
			if r.Observations[z].Ready != ready {
				t.Errorf("%s: zone %d is reported with %v cores, want %v", c.name, z, r.Observations[z].Ready, ready)
			}
		}
	}
}

// TestCondition distinguishes cold, draining, unlisted, crowded and unhealthy servers from usable ones.
func TestCondition(t *testing.T) {
	b := New(Settings{Routers: 4, Tick: 0.005, WarmUp: 15, Profiles: []Profile{{Target: 1, Benefit: 1, Threads: 1}}}, 100, idleHost{})
	b.UpdateServers(100, Full, []Entry{{Server: 1, State: Ready}, {Server: 2, State: Draining}, {Server: 3, State: Ready, ReadyAt: 95}})
	for id, want := range map[uint32]Condition{1: Usable, 2: Unlisted, 3: Warming, 4: Unlisted} {
		if got := b.Condition(100, id); got != want {
			t.Errorf("server %d: condition %d, want %d", id, got, want)
		}
	}
	b.servers[b.index[1]].fullUntil = 101
	if got := b.Condition(100, 1); got != Crowded {
		t.Errorf("a server that rejected a request as full: condition %d", got)
	}
	b.servers[b.index[1]].unhealthy = true
	if got := b.Condition(100, 1); got != Unhealthy {
		t.Errorf("a server that receives probes only: condition %d", got)
	}
}
