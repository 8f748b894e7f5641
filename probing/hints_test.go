package probing

import (
	"testing"

	"pgregory.net/rapid"
)

// TestBounds: whatever findings say, in any order and under any fences, an engine that this router doubts is tried again by
// itself within what a hint may put off, and one "well" brings one trial forward.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewHints()
		own, waits := 1.0, 0.0
		for n := range 200 {
			now := 1 + float64(n)*0.5
			if rapid.Bool().Draw(t, "heard") {
				b.Receive(now, rapid.Uint64Range(1, 4).Draw(t, "fence"), Finding{Server: 7, Start: 3, Healthy: rapid.Bool().Draw(t, "well")},
					rapid.Float64Range(-1, 8).Draw(t, "age"))
			}
			if at := b.NextProbe(now, 7, 3, own); at > now {
				if now >= own {
					waits += 0.5
				}
				if waits > maxPostponement+1 {
					t.Fatalf("put off for %v s", waits)
				}
				continue
			}
			waits = 0
			b.Probed(now, 7, 3, rapid.Bool().Draw(t, "answered"))
			own = now + 3
		}
	})
}

func TestHints(t *testing.T) {
	b := NewHints()
	if at := b.NextProbe(10, 7, 3, 12); at != 12 {
		t.Errorf("nothing heard: %v", at)
	}
	b.Receive(10, 1, Finding{7, 3, true}, 1)
	if at := b.NextProbe(10, 7, 3, 12); at != 10 {
		t.Errorf("found well: tried at %v", at)
	}
	if at := b.NextProbe(10, 7, 4, 12); at != 12 {
		t.Errorf("another start of it: %v", at)
	}
	b.Probed(10, 7, 3, false)
	if at := b.NextProbe(10.1, 7, 3, 13); at != 13 {
		t.Errorf("its one trial was made: %v", at)
	}
	b.Receive(14, 2, Finding{7, 3, false}, 0)
	if at := b.NextProbe(14, 7, 3, 13); at <= 14 {
		t.Errorf("found ill: tried at %v", at)
	}
	b.Probed(14, 7, 3, true) // by a command that had to go there
	b.Receive(15, 2, Finding{7, 3, false}, 0)
	if at := b.NextProbe(15, 7, 3, 14.5); at != 14.5 {
		t.Errorf("an owner that was wrong is heeded: %v", at)
	}
	b.Receive(16, 3, Finding{7, 3, false}, 9)
	if at := b.NextProbe(16, 7, 3, 15); at != 15 {
		t.Errorf("an old finding counts: %v", at)
	}
}

// TestLiar: an owner that says every half second that a healthy engine does not answer can keep a router that doubts it from
// trying it for a bounded time only.
func TestLiar(t *testing.T) {
	b := NewHints()
	own := 1.0
	for now := 1.0; now < 60; now += 0.5 {
		b.Receive(now, 1, Finding{Server: 7, Start: 3}, 0)
		if b.NextProbe(now, 7, 3, own) <= now {
			if now > own+maxPostponement+1 {
				t.Fatalf("tried %v s late", now-own)
			}
			return
		}
	}
	t.Fatal("never tried")
}
