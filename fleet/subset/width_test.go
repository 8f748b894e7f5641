package subset

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

var (
	sufficient   = Summary{Held: 64, Usable: 60, Classes: []ClassCapacity{{64, 60}, {4, 3}}}
	insufficient = Summary{Held: 64, Usable: 31}
)

func TestInsufficient(t *testing.T) {
	for _, c := range []struct {
		name    string
		summary Summary
		want    bool
	}{
		{"all well", sufficient, false},
		{"half usable", Summary{Held: 64, Usable: 32}, false},
		{"under half usable", insufficient, true},
		{"a class has none", Summary{Held: 64, Usable: 60, Classes: []ClassCapacity{{64, 60}, {1, 0}}}, true},
		{"a class is barred", Summary{Held: 64, Usable: 60, Classes: []ClassCapacity{{0, 0}}}, true},
		{"a class has under half", Summary{Held: 64, Usable: 60, Classes: []ClassCapacity{{9, 4}}}, true},
		{"nothing held", Summary{}, false},
	} {
		if got := c.summary.Insufficient(); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// TestWidth checks that an insufficient subset widens at once and then by one step a second up to the maximum, and that a sufficient
// one narrows step by step.
func TestWidth(t *testing.T) {
	var w WidthController
	now, jitter := 100.0, 0.5
	if !w.Update(now, &insufficient, &insufficient, 4, jitter) || w.Factor() != 2 {
		t.Fatalf("an insufficient subset is not widened at once: width %d", w.Factor())
	}
	if w.Update(now+WidenInterval/2, &insufficient, &insufficient, 4, jitter) {
		t.Fatal("it widens again before the added databases could have been tried")
	}
	if !w.Update(now+WidenInterval, &insufficient, &insufficient, 4, jitter) || w.Factor() != 4 {
		t.Fatalf("it does not widen further: width %d", w.Factor())
	}
	if w.Update(now+2*WidenInterval, &insufficient, &insufficient, 4, jitter) {
		t.Fatal("it widens beyond the maximum")
	}
	now += 10
	if w.Update(now, &sufficient, &insufficient, 4, jitter) || w.Update(now+2*NarrowDelay, &sufficient, &insufficient, 4, jitter) {
		t.Fatal("it narrows although the narrower subset would be insufficient")
	}
	now += 3 * NarrowDelay
	w.Update(now, &sufficient, &sufficient, 4, jitter)
	if w.Update(now+NarrowDelay, &sufficient, &sufficient, 4, jitter) {
		t.Fatal("it narrows before the jitter has passed")
	}
	if !w.Update(now+NarrowDelay*(1+jitter/2), &sufficient, &sufficient, 4, jitter) || w.Factor() != 2 {
		t.Fatalf("a sufficient subset does not narrow: width %d", w.Factor())
	}
}

// TestWidthStaysWithinBounds checks that the width is always a power of two up to the maximum, changes by one step at a time, and
// does not narrow within NarrowDelay after the subset was insufficient.
func TestWidthStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w WidthController
		now, lastInsufficient := 0.0, math.Inf(-1)
		widest := rapid.SampledFrom([]int{0, 1, 2, 4, 8}).Draw(t, "widest")
		summaries := [...]*Summary{&sufficient, &insufficient}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Float64Range(0, 20).Draw(t, "pause")
			current, narrower := rapid.IntRange(0, 1).Draw(t, "here"), rapid.IntRange(0, 1).Draw(t, "narrower")
			if current == 1 {
				lastInsufficient = now
			}
			before := w.Factor()
			changed := w.Update(now, summaries[current], summaries[narrower], widest, 0)
			after := w.Factor()
			switch {
			case changed != (before != after):
				t.Fatalf("a change of the width from %d to %d is reported as %v", before, after, changed)
			case after > max(widest, 1):
				t.Fatalf("width %d, the maximum is %d", after, widest)
			case after > 2*before || before > 2*after:
				t.Fatalf("the width changes from %d to %d in one step", before, after)
			case after < before && now-lastInsufficient < NarrowDelay:
				t.Fatalf("it narrows %.1f s after the subset was insufficient", now-lastInsufficient)
			}
		}
	})
}

// TestNextPlannedWeight checks that the planned weight changes only if the pool's weight has changed by a twentieth.
func TestNextPlannedWeight(t *testing.T) {
	for _, c := range []struct{ before, effective, want float64 }{
		{0, 3900, 3900}, {3900, 3899, 3900}, {3900, 3706, 3900}, {3900, 3700, 3700}, {3900, 4100, 4100}, {3900, 0, 0},
	} {
		if got := NextPlannedWeight(c.before, c.effective); got != c.want {
			t.Errorf("planned weight %v, effective weight %v: next planned weight %v", c.before, c.effective, got)
		}
	}
}
