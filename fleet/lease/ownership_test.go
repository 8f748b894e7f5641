package lease

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// endsFirst tells whether an owner whose clock runs at one rate and keepers whose clocks run at another never overlap, where a beat
// was sent then and took so long.
func endsFirst(terms Terms, owner, keeper, sent, way float64) bool {
	freed := sent + way + terms.Lease/keeper // in true time
	o := NewOwner(terms)
	o.Confirmed(sent*owner, 1, 1, []Claim{{"w", 3}})
	_, ok := o.Permit((freed+1e-9)*owner, "w", 0)
	return !ok
}

// TestOwnEndsFirst: whatever both clocks do within the drift, and however late the question came, the owner's count is over
// before the keepers'. The worst corners are not left to chance.
func TestOwnEndsFirst(t *testing.T) {
	for _, drift := range []float64{0, 0.001, 0.05, 0.2} {
		for _, corner := range [][2]float64{{-1, -1}, {-1, 1}, {1, -1}, {1, 1}} {
			terms := Terms{Lease: 4, Drift: drift}
			if !endsFirst(terms, 1+drift*corner[0], 1+drift*corner[1], 100, 0) {
				t.Errorf("drift %v, corner %v: it acts after it was freed", drift, corner)
			}
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		terms := Terms{Lease: rapid.Float64Range(0.5, 30).Draw(t, "lease"), Drift: rapid.Float64Range(0, 0.2).Draw(t, "drift")}
		rate := func(name string) float64 {
			return 1 + terms.Drift*rapid.Float64Range(-1, 1).Draw(t, name)
		}
		owner, keeper, sent := rate("owner"), rate("keeper"), rapid.Float64Range(0, 100).Draw(t, "sent")
		if !endsFirst(terms, owner, keeper, sent, rapid.OneOf(rapid.Just(0.0), rapid.Float64Range(0, 40)).Draw(t, "way")) {
			t.Fatal("it acts after it was freed")
		}
	})
}

func TestOwner(t *testing.T) {
	o := NewOwner(Terms{Lease: 4, Drift: 0.05})
	o.Confirmed(100, 1, 7, []Claim{{"a", 1}, {"b", 2}})
	if f, ok := o.Permit(101, "a", 0.5); !ok || f != 1 {
		t.Errorf("it may: %v %v", f, ok)
	}
	if _, ok := o.Permit(101, "a", 3); ok {
		t.Error("an act that takes longer than the lease")
	}
	if _, ok := o.Permit(130, "a", 0); ok {
		t.Error("stopped for 30 s, it may still")
	}
	o.Confirmed(131, 2, 7, []Claim{{"a", 1}, {"b", 2}})
	o.Release("a")
	o.Confirmed(132, 3, 7, []Claim{{"a", 1}, {"b", 2}}) // the keepers have not seen the release yet
	if _, ok := o.Permit(132, "a", 0); ok {
		t.Error("what was let go of came back")
	}
	o.Confirmed(133, 4, 7, []Claim{{"b", 2}})
	o.Confirmed(134, 5, 7, []Claim{{"a", 9}, {"b", 2}})
	if f, ok := o.Permit(134, "a", 0); !ok || f != 9 {
		t.Errorf("it got it anew: %v %v", f, ok)
	}
	if gone := o.Confirmed(134.5, 4, 7, nil); len(gone) > 0 {
		t.Errorf("an older view took %v", gone)
	}
	if gone := o.Confirmed(135, 6, 8, nil); len(gone) != 2 {
		t.Errorf("another session: %v", gone)
	}
	if _, ok := o.Permit(135, "b", 0); ok {
		t.Error("works of another session")
	}
}

// TestGate: over drawn acts, bounds and restarts, no act under a lower fence is taken after one under a higher.
func TestGate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewGate()
		highest := map[string]uint64{}
		for range rapid.IntRange(1, 100).Draw(t, "acts") {
			work := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "work")
			fence := rapid.Uint64Range(0, 9).Draw(t, "fence")
			_, err := g.Accept(work, fence)
			var old *StaleFenceError
			switch {
			case fence == 0 || fence < highest[work]:
				if !errors.As(err, &old) || old.Highest != highest[work] {
					t.Fatalf("fence %d after %d: %v", fence, highest[work], err)
				}
			case err != nil:
				t.Fatalf("fence %d after %d: %v", fence, highest[work], err)
			default:
				highest[work] = fence
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				marks, floor := g.Export()
				g = NewGate()
				g.Import(marks, floor)
			}
		}
	})
	g := NewGate()
	for n := range uint64(3 * MaxMarks) {
		g.Accept(fmt.Sprint(n), n+1)
	}
	if marks, _ := g.Export(); len(marks) > MaxMarks {
		t.Errorf("%d marks", len(marks))
	}
	if _, err := g.Accept("0", 1); err == nil {
		t.Error("an act under a fence that was forgotten is taken")
	}
}

func TestChoose(t *testing.T) {
	var all []Candidate
	for k := range 30 {
		all = append(all, Candidate{Session: uint64(k + 1), Name: fmt.Sprint("n", k), Zone: fmt.Sprint("z", k%3)})
	}
	none := func(string) bool { return false }
	moved, load := 0, map[int]int{}
	for w := range 300 {
		work := fmt.Sprint("w", w)
		k := Choose(all, work, "", none)
		load[k]++
		if j := Choose(all[:29], work, "", none); k != 29 && j != k {
			moved++
		}
		if z := Choose(all, work, "z1", none); all[z].Zone != "z1" {
			t.Errorf("%s has its owner in %s", work, all[z].Zone)
		}
		if p := Choose(all, work, "", func(n string) bool { return n == all[k].Name }); p == k {
			t.Errorf("%s goes to one that is passed over", work)
		}
	}
	if moved > 0 || len(load) < 25 {
		t.Errorf("%d works moved as another's candidate left; %d of 30 own some", moved, len(load))
	}
	busy := make([]Candidate, 4)
	for k := range busy {
		busy[k] = Candidate{Session: uint64(k + 1), Name: fmt.Sprint("n", k)}
	}
	for w := range 40 {
		busy[Choose(busy, fmt.Sprint("w", w), "", none)].Tasks++
	}
	for _, c := range busy {
		if c.Tasks > 14 {
			t.Errorf("%s owns %d of 40", c.Name, c.Tasks)
		}
	}
	if Choose(nil, "w", "", none) != -1 {
		t.Error("nobody owns it")
	}
	p := NewFlapDamper()
	length := 0.0
	for k := range 6 {
		now := float64(100 * k)
		p.Lost(now, "n1")
		until := now
		for p.Suppressed(until, "n1") {
			until++
		}
		if until-now <= length && until-now < 100 {
			t.Errorf("loss %d: passed over for %v after %v", k, until-now, length)
		}
		length = until - now
	}
	if p.Suppressed(5000, "n1") || p.Suppressed(0, "n2") {
		t.Error("passed over for no reason")
	}
}
