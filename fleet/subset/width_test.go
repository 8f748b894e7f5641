package subset

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

var (
	calm  = Summary{Held: 64, Usable: 60, Classes: []Room{{64, 60}, {4, 3}}}
	short = Summary{Held: 64, Usable: 31}
)

func TestShort(t *testing.T) {
	for _, c := range []struct {
		name string
		seen Summary
		want bool
	}{
		{"all well", calm, false},
		{"half usable", Summary{Held: 64, Usable: 32}, false},
		{"under half usable", short, true},
		{"a class has none", Summary{Held: 64, Usable: 60, Classes: []Room{{64, 60}, {1, 0}}}, true},
		{"a class is barred", Summary{Held: 64, Usable: 60, Classes: []Room{{0, 0}}}, true},
		{"a class has under half", Summary{Held: 64, Usable: 60, Classes: []Room{{9, 4}}}, true},
		{"nothing held", Summary{}, false},
	} {
		if got := c.seen.Short(); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// TestWidth: a need widens at once, then by a step a second up to the most; calm narrows step by step.
func TestWidth(t *testing.T) {
	var w Width
	now, spread := 100.0, 0.5
	if !w.Step(now, &short, &short, 4, spread) || w.Factor() != 2 {
		t.Fatalf("a need does not widen at once: %d", w.Factor())
	}
	if w.Step(now+WidenEvery/2, &short, &short, 4, spread) {
		t.Fatal("it widens again before what entered could be tried")
	}
	if !w.Step(now+WidenEvery, &short, &short, 4, spread) || w.Factor() != 4 {
		t.Fatalf("it does not widen on: %d", w.Factor())
	}
	if w.Step(now+2*WidenEvery, &short, &short, 4, spread) {
		t.Fatal("it widens past the most")
	}
	now += 10
	if w.Step(now, &calm, &short, 4, spread) || w.Step(now+2*CalmFor, &calm, &short, 4, spread) {
		t.Fatal("it narrows though the narrower subset would not do")
	}
	now += 3 * CalmFor
	w.Step(now, &calm, &calm, 4, spread)
	if w.Step(now+CalmFor, &calm, &calm, 4, spread) {
		t.Fatal("the spread is not waited for")
	}
	if !w.Step(now+CalmFor*(1+spread/2), &calm, &calm, 4, spread) || w.Factor() != 2 {
		t.Fatalf("calm does not narrow: %d", w.Factor())
	}
}

// TestWidthStaysWithinBounds: whatever is seen, the width is a power of two up to the most, changes by one step, and never narrows
// within the time of calm.
func TestWidthStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w Width
		now, lastShort := 0.0, math.Inf(-1)
		widest := rapid.SampledFrom([]int{0, 1, 2, 4, 8}).Draw(t, "widest")
		seen := [...]*Summary{&calm, &short}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Float64Range(0, 20).Draw(t, "pause")
			here, narrower := rapid.IntRange(0, 1).Draw(t, "here"), rapid.IntRange(0, 1).Draw(t, "narrower")
			if here == 1 {
				lastShort = now
			}
			before := w.Factor()
			changed := w.Step(now, seen[here], seen[narrower], widest, 0)
			after := w.Factor()
			switch {
			case changed != (before != after):
				t.Fatalf("%d to %d is told as %v", before, after, changed)
			case after > max(widest, 1):
				t.Fatalf("width %d of at most %d", after, widest)
			case after > 2*before || before > 2*after:
				t.Fatalf("%d to %d in one step", before, after)
			case after < before && now-lastShort < CalmFor:
				t.Fatalf("it narrows %.1f s after a need", now-lastShort)
			}
		}
	})
}

// TestPlan: sizes are evened out anew only where the pool has moved by a twentieth.
func TestPlan(t *testing.T) {
	for _, c := range []struct{ before, effective, want float64 }{
		{0, 3900, 3900}, {3900, 3899, 3900}, {3900, 3706, 3900}, {3900, 3700, 3700}, {3900, 4100, 4100}, {3900, 0, 0},
	} {
		if got := Plan(c.before, c.effective); got != c.want {
			t.Errorf("plan of %v before and %v now: %v", c.before, c.effective, got)
		}
	}
}
