package router

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"dunereach/admission"
	"dunereach/fleet/subset"
	"dunereach/internal/config"
	"dunereach/internal/operator"
	"dunereach/internal/settings"
	"dunereach/waittime"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// noopHost is a host that does nothing.
type noopHost struct{}

func (noopHost) Send(id, engine uint32, limit, by float64)                          {}
func (noopHost) Reject(id uint32, pause float64)                                    {}
func (noopHost) Fail(id uint32)                                                     {}
func (noopHost) Cancel(id uint32, send int)                                         {}
func (noopHost) Withdraw(id uint32, send int)                                       {}
func (noopHost) Probe(engine uint32)                                                {}
func (noopHost) Priority(id uint32, level int, grant float64)                       {}
func (noopHost) Wake(after float64, token uint64)                                   {}
func (noopHost) SendToPeer(peer int, data []byte)                                   {}
func (noopHost) Watch(on bool)                                                      {}
func (noopHost) Log(text string)                                                    {}
func (noopHost) ReportEstimate(id uint32, k waittime.TimeKind, e waittime.Estimate) {}

// testView is a subset view with its controller and its log.
type testView struct {
	*subsetView
	controller *admission.Controller
	logs       *observer.ObservedLogs
	t          *testing.T
}

// newTestView creates a view with a section subset of the operator's file.
func newTestView(t *testing.T, section operator.Subset) *testView {
	cfg := config.Config{Name: "r1", Operator: operator.File{Subset: &section}, Settings: settings.Settings{Zones: []string{"a", "b"},
		Kinds: []string{"std"}, Profiles: []string{"any"}, Admission: admission.Settings{Me: 3, Routers: 8, Tick: 0.005, WarmUp: 15, FallWindow: 1,
			FallMultiple: 2, ColdFrom: 0.35, Profiles: []admission.Profile{{Target: 1, Benefit: 1, Threads: 1}}}}}
	core, said := observer.New(zapcore.InfoLevel)
	v, err := newSubsetView(&cfg, func(e uint32) string { return fmt.Sprint("s-", e) }, zap.New(core))
	if err != nil {
		t.Fatal(err)
	}
	return &testView{v, admission.New(cfg.Settings.Admission, 0, noopHost{}), said, t}
}

// setBoth passes a list to the view and the controller.
func (v *testView) setBoth(now float64, list []admission.Entry) {
	v.setList(now, list)
	v.controller.UpdateServers(now, admission.Full, v.held)
}

// countLogLines counts the log messages that contain a text.
func (v *testView) countLogLines(part string) (n int) {
	for _, e := range v.logs.All() {
		if strings.Contains(e.Message, part) {
			n++
		}
	}
	return n
}

func entries(n int) (all []admission.Entry) {
	for k := range n {
		all = append(all, admission.Entry{Server: uint32(k + 1), Zone: k % 2, Weight: 1, State: admission.Ready})
	}
	return all
}

func serverIDs(list []admission.Entry) (all []uint32) {
	for _, e := range list {
		all = append(all, e.Server)
	}
	return all
}

// TestSmallPoolIsHandedOn: if the pool is no larger than the subset, the same list is passed on and the controller's shares don't change.
func TestSmallPoolIsHandedOn(t *testing.T) {
	v := newTestView(t, operator.Subset{Size: 8})
	list := entries(8)
	v.setBoth(0, list)
	if &v.held[0] != &list[0] || &v.connected[0] != &list[0] || len(v.held) != 8 || len(v.connected) != 8 {
		t.Error("the list is not the one that was given")
	}
	if heldShare := v.heldShare(); heldShare.Part != 0 || heldShare.Zones != nil {
		t.Errorf("the held share of the pool is %v", heldShare)
	}
	if v.review(10, v.controller) {
		t.Error("a whole pool was reviewed")
	}
	v.setBoth(1, nil)
	if len(v.held) != 0 {
		t.Error("an empty list has databases")
	}
}

// TestHeldShare: the controller knows which share of the pool its list is.
func TestHeldShare(t *testing.T) {
	v := newTestView(t, operator.Subset{Size: 8, Room: new(float64)})
	v.setBoth(0, entries(80))
	if heldShare := v.heldShare(); len(v.held) != 8 || heldShare.Part != 0.1 || heldShare.Zones[0]+heldShare.Zones[1] != 0.2 {
		t.Errorf("%d held, share %v", len(v.held), heldShare)
	}
}

// TestNeedWidensAndCalmNarrows: cold databases can't be used, so the subset doubles. When they are warm again it narrows to the first one.
// Databases that left keep their connections for the grace time, and are then dropped at the stated rate.
func TestNeedWidensAndCalmNarrows(t *testing.T) {
	v := newTestView(t, operator.Subset{Size: 8, Room: new(float64)})
	list := entries(200)
	v.setBoth(0, list)
	first := serverIDs(v.held)
	const restarted = 100.0
	for k := range list {
		if slices.Contains(first, list[k].Server) {
			list[k].ReadyAt = restarted
		}
	}
	v.setBoth(restarted, list)
	if !slices.Equal(serverIDs(v.held), first) {
		t.Fatal("a restart under the same names changes the subset")
	}
	if !v.review(restarted, v.controller) || len(v.held) != 16 {
		t.Fatalf("%d held when databases are needed", len(v.held))
	}
	v.controller.UpdateServers(restarted, admission.Full, v.held)
	now, most := restarted, len(v.held)
	for ; now < restarted+15+2*subset.NarrowDelay && len(v.held) > 8; now += 0.1 {
		if v.review(now, v.controller) {
			v.controller.UpdateServers(now, admission.Full, v.held)
		}
		most = max(most, len(v.held))
	}
	if !slices.Equal(serverIDs(v.held), first) || most > 32 {
		t.Fatalf("%d held after calm, %d at most", len(v.held), most)
	}
	narrowed := now
	for len(v.connected) > 8 && now < narrowed+60 {
		before := len(v.connected)
		now += 0.1
		v.review(now, v.controller)
		if len(v.connected) < before && now < narrowed+subset.LeaveGrace-0.2 {
			t.Fatalf("connections are closed %.1f s after a database left", now-narrowed)
		}
	}
	if took := now - narrowed; took < subset.LeaveGrace+1/subset.LeaveRate || len(v.connected) != 8 {
		t.Errorf("%d are connected %.1f s later", len(v.connected), took)
	}
}

// TestColdStays: a database that is displaced by better ones stays in the subset while it is cold.
func TestColdStays(t *testing.T) {
	v := newTestView(t, operator.Subset{Size: 8, Room: new(float64), Least: new(int)})
	some := entries(60)[:30]
	for k := range some {
		some[k].ReadyAt = 100
	}
	v.setBoth(100, some)
	before := serverIDs(v.held)
	v.setBoth(101, append(some, entries(60)[30:]...))
	for _, e := range before {
		if !slices.Contains(serverIDs(v.held), e) {
			t.Errorf("%d left while cold", e)
		}
	}
	v.setBoth(116, append(some, entries(60)[30:]...))
	if len(v.held) != 8 {
		t.Errorf("%d are held once all are warm", len(v.held))
	}
}

// TestUnusableListEntries: unusable weights, a database listed twice and a list that halves are each logged once and lose no database.
func TestUnusableListEntries(t *testing.T) {
	v := newTestView(t, operator.Subset{Size: 8, Room: new(float64)})
	list := entries(100)
	list[0].Weight, list[1].Weight = 0, 1e308
	list = append(list, list[2])
	v.setBoth(0, list)
	v.setBoth(1, list)
	if n := v.countLogLines("unusable weight"); n != 1 || len(v.held) != 8 {
		t.Errorf("%d held, %d lines", len(v.held), n)
	}
	before := serverIDs(v.held)
	v.setBoth(2, list[:40])
	for _, e := range before {
		if e <= 40 && !slices.Contains(serverIDs(v.held), e) {
			t.Errorf("%d left when others were removed", e)
		}
	}
	if n := v.countLogLines("has halved"); n != 1 || len(v.held) != 8 {
		t.Errorf("%d held, %d lines", len(v.held), n)
	}
}

// TestReadyOfSubset: a router whose subset has no ready server has none to send to, even if the list has others.
func TestReadyOfSubset(t *testing.T) {
	v := newTestView(t, operator.Subset{Size: 4})
	list := entries(40)
	v.setBoth(0, list)
	if got, held := v.readyHeld(), len(v.held); got != held || held >= len(list) {
		t.Fatalf("%d ready of %d held of %d", got, held, len(list))
	}
	held := serverIDs(v.held)
	for k := range list {
		if slices.Contains(held, list[k].Server) {
			list[k].State = admission.Draining
		}
	}
	v.setBoth(1, list)
	if got := v.readyHeld(); got != 0 {
		t.Errorf("%d ready servers in a subset that drains", got)
	}
}
