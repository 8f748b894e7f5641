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

var cold = Engine{ID: 7, Start: 3, Zone: "east"}

// talk is a member and what it asked for.
type talk struct {
	t    *testing.T
	m    *Member
	now  float64
	open []Request
}

func newTalk(t *testing.T, c Config) *talk {
	c.Name, c.Incarnation, c.Members, c.Window, c.Began = "n1", 41, 4, 1, 100
	if c.Stands == nil {
		c.Stands = []string{Warmth, Trials, Quotas}
	}
	return &talk{t: t, m: New(c, Kept{Pledged: c.Keeps}), now: 100}
}

func (k *talk) tick(seconds float64) {
	k.now += seconds
	k.m.Tell(k.now, Demand{Cold: []Cold{{cold, 0.5, 0.1}}})
	k.open = append(k.open, k.m.Tick(k.now)...)
}

// take the oldest open request of a kind.
func (k *talk) take(kind string) Request {
	k.t.Helper()
	for n, r := range k.open {
		if kind == "beat" && r.Beat != nil || kind == "mail" && r.Mail != nil || r.Act != nil && r.Act.Kind == kind || kind == "keep" && r.Keep != nil {
			k.open = append(k.open[:n:n], k.open[n+1:]...)
			return r
		}
	}
	k.t.Fatalf("no %s among %+v", kind, k.open)
	return Request{}
}

func (k *talk) view(v coordinator.View) {
	r := k.take("beat")
	v.Session, v.Lease, v.Drift = 5, 4, 0.05
	k.m.Answer(k.now, r.Seq, v, nil)
}

func deal(fence uint64, w word) coordinator.Letter {
	body, _ := json.Marshal(w)
	return coordinator.Letter{Work: cold.work(Warmth), Fence: fence, Body: body, From: "n2"}
}

// TestLetters: a deal that answers another process's pledge does nothing, nor does one under an old fence; one that answers ours
// is the part that may be used.
func TestLetters(t *testing.T) {
	k := newTalk(t, Config{Clean: true})
	k.tick(0.1)
	work := cold.work(Warmth)
	k.view(coordinator.View{Number: 1, Works: []coordinator.Seen{{Work: work, Fence: 3, Owner: "n2"}}, Mail: []coordinator.Letter{deal(3, word{Deal: &allocation.Grant{Fence: 3, Round: 1}})}})
	k.tick(0.1)
	mail := k.take("mail").Mail
	var w word
	if len(mail.Letters) != 1 || json.Unmarshal(mail.Letters[0].Body, &w) != nil || w.Pledge == nil || w.Pledge.Fence != 3 {
		t.Fatalf("no pledge: %+v", mail)
	}
	if part, ok := k.m.Part(k.now, 7, 3); !ok || part != 0 {
		t.Errorf("pledged, and it uses %v %v", part, ok)
	}
	answer := allocation.Grant{Fence: 3, Round: 1, Tag: w.Pledge.Tag, Share: 0.4, Lifetime: 1.5}
	k.tick(0.1)
	k.view(coordinator.View{Number: 2, Mail: []coordinator.Letter{deal(3, word{Deal: &answer, For: 40})}})
	if part, _ := k.m.Part(k.now, 7, 3); part != 0 {
		t.Errorf("a deal for an earlier process gave %v", part)
	}
	k.tick(0.1)
	k.view(coordinator.View{Number: 3, Mail: []coordinator.Letter{deal(3, word{Deal: &answer, For: 41})}})
	if part, ok := k.m.Part(k.now, 7, 3); !ok || part != 0.4 {
		t.Errorf("a deal for us gave %v %v", part, ok)
	}
	k.tick(0.1)
	k.view(coordinator.View{Number: 4, Mail: []coordinator.Letter{deal(4, word{Deal: &allocation.Grant{Fence: 4, Round: 1}}), deal(3, word{Deal: &answer, For: 41})}})
	if k.m.Stats.Refused != 1 {
		t.Errorf("%d letters under an old fence were refused", k.m.Stats.Refused)
	}
	if part, ok := k.m.Part(k.now+30, 7, 3); ok {
		t.Errorf("30 s later it uses %v, and not its equal part", part)
	}
}

// TestReleaseAgain: the word that a work was let go of is said until the keepers have it.
func TestReleaseAgain(t *testing.T) {
	k := newTalk(t, Config{Clean: true})
	work := cold.work(Warmth)
	mine := []coordinator.Mine{{Claim: lease.Claim{Work: work, Fence: 3}}}
	k.tick(0.1)
	k.view(coordinator.View{Number: 1, Mine: mine})
	k.tick(0.1)
	mine[0].Asked = true
	k.view(coordinator.View{Number: 2, Mine: mine})
	k.tick(0.1)
	k.m.Answer(k.now, k.take("release").Seq, nil, ErrNoAnswer)
	if _, ok := k.m.May(k.now, work); ok {
		t.Error("it still may act")
	}
	k.view(coordinator.View{Number: 3, Mine: mine})
	k.tick(0.1)
	k.take("release")
}

// TestKeeps: with a folder nothing is pledged before the disk has it, and the word is taken back when nothing is laid down.
func TestKeeps(t *testing.T) {
	k := newTalk(t, Config{Keeps: true})
	if part, ok := k.m.Part(100.1, 7, 3); !ok || part != 0 {
		t.Errorf("an earlier process may have pledged, and it uses %v %v", part, ok)
	}
	k.tick(0.1)
	k.m.kept.Pledged = false // as an earlier process left it at its clean end
	k.view(coordinator.View{Number: 1, Mail: []coordinator.Letter{deal(3, word{Deal: &allocation.Grant{Fence: 3, Round: 1}})}})
	k.tick(0.1)
	r := k.take("keep")
	if k.m.Kept(r.Seq, *r.Keep, nil); k.m.Stats.Pledges != 0 {
		t.Error("it pledged before the disk had it")
	}
	k.tick(0.1)
	for k.m.Stats.Pledges == 0 {
		r := k.take("keep")
		k.m.Kept(r.Seq, *r.Keep, nil)
		k.tick(0.1)
	}
	for range 300 { // there is no use for it any more
		k.now += 0.1
		k.open = append(k.open, k.m.Tick(k.now)...)
	}
	r = k.take("keep")
	if r.Keep.Pledged {
		t.Error("nothing is laid down, and the disk says that something is")
	}
}

// TestClearing: while the word that nothing is laid down is on its way to the disk nothing is pledged, or the next process would
// believe it.
func TestClearing(t *testing.T) {
	k := newTalk(t, Config{Keeps: true})
	kept := func() bool {
		for n, r := range k.open {
			if r.Keep != nil {
				k.open = append(k.open[:n:n], k.open[n+1:]...)
				k.m.Kept(r.Seq, *r.Keep, nil)
				return true
			}
		}
		return false
	}
	k.tick(0.1)
	k.view(coordinator.View{Number: 1, Mail: []coordinator.Letter{deal(3, word{Deal: &allocation.Grant{Fence: 3, Round: 1}})}})
	for n := 0; k.m.Stats.Pledges == 0; n++ {
		if n == 10 {
			t.Fatal("it pledges nothing")
		}
		k.tick(0.1)
		kept()
	}
	k.tick(20) // no round for long: nothing is laid down any more
	k.tick(0.1)
	if r := k.take("keep"); r.Keep.Pledged {
		t.Fatal("it is not cleared")
	} else {
		k.open = append(k.open, r)
	}
	k.view(coordinator.View{Number: 2, Mail: []coordinator.Letter{deal(3, word{Deal: &allocation.Grant{Fence: 3, Round: 9}})}})
	before := k.m.Stats.Pledges
	if k.tick(0.1); k.m.Stats.Pledges > before {
		t.Error("it pledges while the disk is being told that nothing is pledged")
	}
	for n := 0; k.m.Stats.Pledges == before; n++ {
		if n == 10 {
			t.Fatalf("it pledges no more: %+v", k.open)
		}
		kept()
		k.tick(0.1)
	}
	if !k.m.kept.Pledged {
		t.Error("it has pledged, and the disk does not say so")
	}
}

// TestSuperseded: a process whose name a newer one has opens no session any more, and acts on nothing.
func TestSuperseded(t *testing.T) {
	k := newTalk(t, Config{Clean: true})
	k.tick(0.1)
	work := cold.work(Warmth)
	k.view(coordinator.View{Number: 1, Mine: []coordinator.Mine{{Claim: lease.Claim{Work: work, Fence: 3}}}})
	k.tick(0.1)
	k.m.Answer(k.now, k.take("beat").Seq, nil, registry.ErrSuperseded)
	k.open = nil
	k.tick(10)
	if _, ok := k.m.May(k.now, work); ok || len(k.open) > 0 {
		t.Errorf("it goes on: %+v", k.open)
	}
}

func TestFinder(t *testing.T) {
	f := NewFinder([]string{"a", "b", "c"}, 0)
	var asked []string
	for _, leader := range []string{"c", "c", "", "a"} {
		at := f.Target()
		asked = append(asked, at)
		f.Elsewhere(at, leader)
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

// TestPlanUnsure: a plan of which nobody knows whether it was agreed is no ground for the next: the next one starts from the record,
// under an epoch that was never said.
func TestPlanUnsure(t *testing.T) {
	k := newTalk(t, Config{Clean: true, Stands: []string{Plans}, Zones: 2, ZoneNames: []string{"a", "b"}, Way: [][]float64{{0, 1}, {1, 0}}})
	lost := failover.Report{Zone: 0, Demand: 4, Sights: []failover.Sight{{Sent: 20, Bad: 20, Ready: 8}, {Sent: 20, Work: 1, Ready: 8}}}
	number := uint64(0)
	step := func(seconds float64, answer error) (said []failover.Published) {
		for end := k.now + seconds; k.now < end; {
			k.now += 0.1
			k.m.Tell(k.now, Demand{Report: func() failover.Report { return lost }})
			k.open = append(k.open, k.m.Tick(k.now)...)
			for len(k.open) > 0 {
				r := k.open[0]
				k.open = k.open[1:]
				switch {
				case r.Beat != nil:
					number++
					k.m.Answer(k.now, r.Seq, coordinator.View{Number: number, Session: 5, Lease: 4, Drift: 0.05, Sessions: 1,
						Mine: []coordinator.Mine{{Claim: lease.Claim{Work: PlanWork, Fence: 3}}}}, nil)
				case r.Act != nil:
					var p failover.Published
					if json.Unmarshal(r.Act.Body, &p) != nil {
						t.Fatal(r.Act)
					}
					said = append(said, p)
					k.m.Answer(k.now, r.Seq, coordinator.Posted{}, answer)
				}
			}
		}
		return said
	}
	first := step(8, ErrNoAnswer)
	if len(first) == 0 || first[len(first)-1].Plan.Share[0][0] > 0 {
		t.Fatalf("no plan without the lost zone: %+v", first)
	}
	second := step(12, ErrNoAnswer)
	if len(second) == 0 {
		t.Fatal("it did not try again")
	}
	last := uint64(0)
	at := 0
	for _, p := range append(first, second...) {
		if p.Epoch <= last {
			t.Errorf("epoch %d after %d", p.Epoch, last)
		}
		last = p.Epoch
		at++
	}
	if most := 20 / 3; at > most {
		t.Errorf("%d plans in 20 s, none of which is known to be agreed", at)
	}
}
