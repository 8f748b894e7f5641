package agent

import (
	"encoding/json"
	"strings"
	"testing"

	"dunereach/fleet/allocation"
	"dunereach/fleet/coordinator"
	"dunereach/fleet/failover"
	"dunereach/fleet/lease"
	"dunereach/fleet/registry"
)

var coldServer = Server{ID: 7, Start: 3, Zone: "east"}

// testMember is a member and its requests that are not yet answered.
type testMember struct {
	t       *testing.T
	m       *Member
	now     float64
	pending []Request
}

func newTestMember(t *testing.T, c Config) *testMember {
	c.Name, c.Incarnation, c.RouterCount, c.Window, c.StartedAt = "n1", 41, 4, 1, 100
	if c.CandidateKinds == nil {
		c.CandidateKinds = []string{WarmUpKind, ProbeKind, QuotaKind}
	}
	return &testMember{t: t, m: New(c, PersistentState{Relinquished: c.Persistent}), now: 100}
}

func (k *testMember) tick(seconds float64) {
	k.now += seconds
	k.m.SetDemand(k.now, Demand{ColdServers: []ColdServer{{coldServer, 0.5, 0.1}}})
	k.pending = append(k.pending, k.m.Tick(k.now)...)
}

// takeRequest removes and returns the oldest pending request of a kind.
func (k *testMember) takeRequest(kind string) Request {
	k.t.Helper()
	for n, r := range k.pending {
		if kind == "beat" && r.Heartbeat != nil || kind == "mail" && r.Messages != nil || r.Action != nil && r.Action.Kind == kind || kind == "keep" && r.Persist != nil {
			k.pending = append(k.pending[:n:n], k.pending[n+1:]...)
			return r
		}
	}
	k.t.Fatalf("no %s among %+v", kind, k.pending)
	return Request{}
}

func (k *testMember) answerHeartbeat(v coordinator.Snapshot) {
	r := k.takeRequest("beat")
	v.Session, v.Lease, v.Drift = 5, 4, 0.05
	k.m.Answer(k.now, r.Seq, v, nil)
}

func grantMessage(fence uint64, w messageBody) coordinator.Message {
	body, _ := json.Marshal(w)
	return coordinator.Message{Task: coldServer.taskName(WarmUpKind), Fence: fence, Body: body, From: "n2"}
}

// TestGrantMessages: a grant that answers another process's relinquishment has no effect, nor has one under a stale fence. A
// grant that answers this process's relinquishment sets the share that it may use.
func TestGrantMessages(t *testing.T) {
	k := newTestMember(t, Config{CleanStart: true})
	k.tick(0.1)
	taskName := coldServer.taskName(WarmUpKind)
	k.answerHeartbeat(coordinator.Snapshot{Number: 1, Tasks: []coordinator.TaskState{{Task: taskName, Fence: 3, Owner: "n2"}}, Messages: []coordinator.Message{grantMessage(3, messageBody{ShareGrant: &allocation.Grant{Fence: 3, Round: 1}})}})
	k.tick(0.1)
	batch := k.takeRequest("mail").Messages
	var w messageBody
	if len(batch.Messages) != 1 || json.Unmarshal(batch.Messages[0].Body, &w) != nil || w.ShareRelinquishment == nil || w.ShareRelinquishment.Fence != 3 {
		t.Fatalf("no relinquishment: %+v", batch)
	}
	if part, ok := k.m.WarmUpShare(k.now, 7, 3); !ok || part != 0 {
		t.Errorf("it has relinquished its share, and uses %v %v", part, ok)
	}
	answer := allocation.Grant{Fence: 3, Round: 1, Tag: w.ShareRelinquishment.Tag, Share: 0.4, Lifetime: 1.5}
	k.tick(0.1)
	k.answerHeartbeat(coordinator.Snapshot{Number: 2, Messages: []coordinator.Message{grantMessage(3, messageBody{ShareGrant: &answer, ForIncarnation: 40})}})
	if part, _ := k.m.WarmUpShare(k.now, 7, 3); part != 0 {
		t.Errorf("a grant for an earlier process gave %v", part)
	}
	k.tick(0.1)
	k.answerHeartbeat(coordinator.Snapshot{Number: 3, Messages: []coordinator.Message{grantMessage(3, messageBody{ShareGrant: &answer, ForIncarnation: 41})}})
	if part, ok := k.m.WarmUpShare(k.now, 7, 3); !ok || part != 0.4 {
		t.Errorf("a grant for this process gave %v %v", part, ok)
	}
	k.tick(0.1)
	k.answerHeartbeat(coordinator.Snapshot{Number: 4, Messages: []coordinator.Message{grantMessage(4, messageBody{ShareGrant: &allocation.Grant{Fence: 4, Round: 1}}), grantMessage(3, messageBody{ShareGrant: &answer, ForIncarnation: 41})}})
	if k.m.Stats.RejectedStale != 1 {
		t.Errorf("%d messages under a stale fence were rejected", k.m.Stats.RejectedStale)
	}
	if part, ok := k.m.WarmUpShare(k.now+30, 7, 3); ok {
		t.Errorf("30 s later it uses %v, and not its equal share", part)
	}
}

// TestReleaseRepeated: a release whose request was lost is sent again until the coordinators have it.
func TestReleaseRepeated(t *testing.T) {
	k := newTestMember(t, Config{CleanStart: true})
	taskName := coldServer.taskName(WarmUpKind)
	mine := []coordinator.OwnedTask{{Claim: lease.Claim{Task: taskName, Fence: 3}}}
	k.tick(0.1)
	k.answerHeartbeat(coordinator.Snapshot{Number: 1, Owned: mine})
	k.tick(0.1)
	mine[0].ReleaseRequested = true
	k.answerHeartbeat(coordinator.Snapshot{Number: 2, Owned: mine})
	k.tick(0.1)
	k.m.Answer(k.now, k.takeRequest("release").Seq, nil, ErrNoAnswer)
	if _, ok := k.m.Permit(k.now, taskName); ok {
		t.Error("it may still act")
	}
	k.answerHeartbeat(coordinator.Snapshot{Number: 3, Owned: mine})
	k.tick(0.1)
	k.takeRequest("release")
}

// TestPersistBeforeRelinquish: a member with a folder relinquishes nothing before the disk says so, and the disk is cleared
// once nothing is relinquished.
func TestPersistBeforeRelinquish(t *testing.T) {
	k := newTestMember(t, Config{Persistent: true})
	if part, ok := k.m.WarmUpShare(100.1, 7, 3); !ok || part != 0 {
		t.Errorf("an earlier process may have relinquished its share, and it uses %v %v", part, ok)
	}
	k.tick(0.1)
	k.m.persisted.Relinquished = false // as an earlier process leaves it when it ends in order
	k.answerHeartbeat(coordinator.Snapshot{Number: 1, Messages: []coordinator.Message{grantMessage(3, messageBody{ShareGrant: &allocation.Grant{Fence: 3, Round: 1}})}})
	k.tick(0.1)
	r := k.takeRequest("keep")
	if k.m.Persisted(r.Seq, *r.Persist, nil); k.m.Stats.Relinquishments != 0 {
		t.Error("it relinquished before the disk said so")
	}
	k.tick(0.1)
	for k.m.Stats.Relinquishments == 0 {
		r := k.takeRequest("keep")
		k.m.Persisted(r.Seq, *r.Persist, nil)
		k.tick(0.1)
	}
	for range 300 { // the quota is no longer needed
		k.now += 0.1
		k.pending = append(k.pending, k.m.Tick(k.now)...)
	}
	r = k.takeRequest("keep")
	if r.Persist.Relinquished {
		t.Error("nothing is relinquished, and the disk says that something is")
	}
}

// TestPersistClear: nothing is relinquished while a state that says so is being written to the disk. Otherwise the next
// process would read it and use its equal share at once.
func TestPersistClear(t *testing.T) {
	k := newTestMember(t, Config{Persistent: true})
	persisted := func() bool {
		for n, r := range k.pending {
			if r.Persist != nil {
				k.pending = append(k.pending[:n:n], k.pending[n+1:]...)
				k.m.Persisted(r.Seq, *r.Persist, nil)
				return true
			}
		}
		return false
	}
	k.tick(0.1)
	k.answerHeartbeat(coordinator.Snapshot{Number: 1, Messages: []coordinator.Message{grantMessage(3, messageBody{ShareGrant: &allocation.Grant{Fence: 3, Round: 1}})}})
	for n := 0; k.m.Stats.Relinquishments == 0; n++ {
		if n == 10 {
			t.Fatal("it relinquishes nothing")
		}
		k.tick(0.1)
		persisted()
	}
	k.tick(20) // no round for a long time: nothing is relinquished any more
	k.tick(0.1)
	if r := k.takeRequest("keep"); r.Persist.Relinquished {
		t.Fatal("the disk is not cleared")
	} else {
		k.pending = append(k.pending, r)
	}
	k.answerHeartbeat(coordinator.Snapshot{Number: 2, Messages: []coordinator.Message{grantMessage(3, messageBody{ShareGrant: &allocation.Grant{Fence: 3, Round: 9}})}})
	before := k.m.Stats.Relinquishments
	if k.tick(0.1); k.m.Stats.Relinquishments > before {
		t.Error("it relinquishes while the disk is being cleared")
	}
	for n := 0; k.m.Stats.Relinquishments == before; n++ {
		if n == 10 {
			t.Fatalf("it relinquishes no more: %+v", k.pending)
		}
		persisted()
		k.tick(0.1)
	}
	if !k.m.persisted.Relinquished {
		t.Error("it has relinquished, and the disk does not say so")
	}
}

// TestSuperseded: a process that was superseded by a newer one of its name opens no session and acts on no task.
func TestSuperseded(t *testing.T) {
	k := newTestMember(t, Config{CleanStart: true})
	k.tick(0.1)
	taskName := coldServer.taskName(WarmUpKind)
	k.answerHeartbeat(coordinator.Snapshot{Number: 1, Owned: []coordinator.OwnedTask{{Claim: lease.Claim{Task: taskName, Fence: 3}}}})
	k.tick(0.1)
	k.m.Answer(k.now, k.takeRequest("beat").Seq, nil, registry.ErrSuperseded)
	k.pending = nil
	k.tick(10)
	if _, ok := k.m.Permit(k.now, taskName); ok || len(k.pending) > 0 {
		t.Errorf("it still acts: %+v", k.pending)
	}
}

func TestFinder(t *testing.T) {
	f := NewFinder([]string{"a", "b", "c"}, 0)
	var asked []string
	for _, leader := range []string{"c", "c", "", "a"} {
		at := f.Target()
		asked = append(asked, at)
		f.Redirect(at, leader)
	}
	if got := strings.Join(asked, ""); got != "acab" {
		t.Errorf("asked %s", got)
	}
	f.Failed("b")
	f.Failed("a")
	if f.Target() != "b" {
		t.Errorf("then %s", f.Target())
	}
}

// TestPlanOutcomeUnknown: if it is unknown whether a plan was committed, the next plan does not build on it: it starts from
// the registry's plan, under an epoch that was never used.
func TestPlanOutcomeUnknown(t *testing.T) {
	k := newTestMember(t, Config{CleanStart: true, CandidateKinds: []string{PlanKind}, ZoneCount: 2, ZoneNames: []string{"a", "b"}, RoundTrips: [][]float64{{0, 1}, {1, 0}}})
	lost := failover.Report{Zone: 0, Demand: 4, Observations: []failover.ZoneObservation{{Attempts: 20, Failed: 20, Ready: 8}, {Attempts: 20, Work: 1, Ready: 8}}}
	number := uint64(0)
	step := func(seconds float64, answer error) (published []failover.PublishedPlan) {
		for end := k.now + seconds; k.now < end; {
			k.now += 0.1
			k.m.SetDemand(k.now, Demand{Report: func() failover.Report { return lost }})
			k.pending = append(k.pending, k.m.Tick(k.now)...)
			for len(k.pending) > 0 {
				r := k.pending[0]
				k.pending = k.pending[1:]
				switch {
				case r.Heartbeat != nil:
					number++
					k.m.Answer(k.now, r.Seq, coordinator.Snapshot{Number: number, Session: 5, Lease: 4, Drift: 0.05, Sessions: 1,
						Owned: []coordinator.OwnedTask{{Claim: lease.Claim{Task: PlanTask, Fence: 3}}}}, nil)
				case r.Action != nil:
					var p failover.PublishedPlan
					if json.Unmarshal(r.Action.Body, &p) != nil {
						t.Fatal(r.Action)
					}
					published = append(published, p)
					k.m.Answer(k.now, r.Seq, coordinator.PostResult{}, answer)
				}
			}
		}
		return published
	}
	first := step(8, ErrNoAnswer)
	if len(first) == 0 || first[len(first)-1].Plan.Share[0][0] > 0 {
		t.Fatalf("no plan without the lost zone: %+v", first)
	}
	second := step(12, ErrNoAnswer)
	if len(second) == 0 {
		t.Fatal("it did not plan again")
	}
	last := uint64(0)
	count := 0
	for _, p := range append(first, second...) {
		if p.Epoch <= last {
			t.Errorf("epoch %d after %d", p.Epoch, last)
		}
		last = p.Epoch
		count++
	}
	if maxPlans := 20 / 3; count > maxPlans {
		t.Errorf("%d plans in 20 s, none of which is known to be committed", count)
	}
}
