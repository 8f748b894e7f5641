package admission

import (
	"testing"

	"dunereach/warmstart"
)

// TestRecall checks that a server's health is restored only for the same start of the server, and that learned values
// are restored unchanged.
func TestRecall(t *testing.T) {
	set := Settings{Seed: 1, Tick: 0.005, Profiles: []Profile{{Target: 1, Benefit: 1, Threads: 1}}, Tenants: []Tenant{{QuotaPerS: 10}}}
	b := New(set, 100, &nopHost{})
	b.UpdateServers(100, Full, []Entry{{Server: 1, ReadyAt: 50, State: Ready}, {Server: 2, State: Ready}})
	for range 30 {
		b.profiles[0].observeWork(0.3)
		b.profiles[0].current.add(0.4)
	}
	b.tenants[0].tokens = -5
	b.suspect(&b.servers[0], "is silent")
	k := b.Learned()
	if len(k.Engines) != 1 || k.Engines[0].ID != 1 || k.Profiles[0].Seen != 30 || k.Tenants[0].Left != -5 {
		t.Fatalf("unexpected knowledge %+v", k)
	}
	beliefs := warmstart.Discount(k, 2, true, Fingerprints(set.Profiles), set.TenantRates())
	set.Memory = &beliefs
	for _, c := range []struct {
		start     float64
		unhealthy bool
	}{{50, true}, {60, false}} {
		n := New(set, 102, &nopHost{})
		n.UpdateServers(102, Full, []Entry{{Server: 1, ReadyAt: c.start, State: Ready}, {Server: 2, State: Ready}})
		if got := n.servers[n.index[1]].unhealthy; got != c.unhealthy || n.servers[n.index[2]].unhealthy {
			t.Errorf("started at %v: unhealthy %v", c.start, got)
		}
		if p := &n.profiles[0]; p.samples < 9.9 || p.samples > 10 || p.current.n < 25 || p.work < 0.29 || p.work > 0.31 || n.tenants[0].tokens != 15 {
			t.Errorf("%v samples, %v processing times, work %v, tenant %v", p.samples, p.current.n, p.work, n.tenants[0].tokens)
		}
	}
	if a := Fingerprints([]Profile{{Target: 1}, {Target: 1, Zones: []int{0}}, {Target: 1, Kinds: []int{0}}}); a[0] == a[1] || a[1] == a[2] {
		t.Error("profiles with different settings have the same fingerprint")
	}
}
