package probing

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// TestPostponementIsBounded: whatever findings say, in any order and under any fences, an engine that this router doubts is tried again by
// itself within what a hint may put off, and one "well" brings one trial forward.
func TestPostponementIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewHints()
		ownTime, postponed := 1.0, 0.0
		for n := range 200 {
			now := 1 + float64(n)*0.5
			if rapid.Bool().Draw(t, "heard") {
				b.Receive(now, rapid.Uint64Range(1, 4).Draw(t, "fence"), Finding{Server: 7, Start: 3, Healthy: rapid.Bool().Draw(t, "well")},
					rapid.Float64Range(-1, 8).Draw(t, "age"))
			}
			if at := b.NextProbe(now, 7, 3, ownTime); at > now {
				if now >= ownTime {
					postponed += 0.5
				}
				if postponed > maxPostponement+1 {
					t.Fatalf("put off for %v s", postponed)
				}
				continue
			}
			postponed = 0
			b.Probed(now, 7, 3, rapid.Bool().Draw(t, "answered"))
			ownTime = now + 3
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

// silentServer is a server that never answers, with a router that probes it and owners that report on it, all at drawn times.
type silentServer struct {
	*Hints
	rng           *rand.Rand
	fence         uint64
	nextFindingAt float64 // the next finding
	nextProbeAt   float64 // the router's own time of its next probe
	probeEndsAt   float64 // of the probe that is out, 0: none is
}

const silentStep = 0.05 // seconds

func (s *silentServer) uniform(low, high float64) float64 {
	return low + (high-low)*s.rng.Float64()
}

// deliverFinding has a finding arrive, and the next one within its lifetime.
func (s *silentServer) deliverFinding(now float64) {
	if now < s.nextFindingAt {
		return
	}
	if s.rng.IntN(10) == 0 {
		s.fence++ // another owner
	}
	age := s.uniform(0, 0.5)
	s.Receive(now, s.fence, Finding{Server: 7, Start: 3}, age)
	s.nextFindingAt = now + s.uniform(0.5, findingLifetime-age-2*silentStep)
}

// beginsProbe tells whether a beginsProbe begins now.
func (s *silentServer) beginsProbe(now float64) bool {
	if s.probeEndsAt > 0 && now >= s.probeEndsAt {
		s.Probed(now, 7, 3, false)
		s.nextProbeAt, s.probeEndsAt = now+s.uniform(0.5, 3), 0
		return false
	}
	if s.probeEndsAt > 0 || s.NextProbe(now, 7, 3, s.nextProbeAt) > now {
		return false
	}
	s.probeEndsAt = now + s.uniform(0.1, 5)
	return true
}

// TestProbeSpacing guards against probes that findings should have postponed: while an owner's findings arrive within their lifetime, under
// owners that change, two probes of a server that does not answer are at least maxPostponement apart, however long each takes.
func TestProbeSpacing(t *testing.T) {
	const seeds, end = 10000, 60.0
	for seed := range uint64(seeds) {
		s := silentServer{Hints: NewHints(), rng: rand.New(rand.NewPCG(seed, 1)), fence: 1}
		s.nextProbeAt = s.uniform(0, 3)
		last := math.Inf(-1)
		for now := 0.0; now < end; now += silentStep {
			s.deliverFinding(now)
			if !s.beginsProbe(now) {
				continue
			}
			if now-last < maxPostponement {
				t.Fatalf("seed %d: probes at %.2f and %.2f", seed, last, now)
			}
			last = now
		}
		if end-last > 2*maxPostponement+5 {
			t.Fatalf("seed %d: the last probe was at %.2f", seed, last)
		}
	}
}

// TestFalseFindings: an owner that says every half second that a healthy engine does not answer can keep a router that doubts it from
// trying it for a bounded time only.
func TestFalseFindings(t *testing.T) {
	b := NewHints()
	ownTime := 1.0
	for now := 1.0; now < 60; now += 0.5 {
		b.Receive(now, 1, Finding{Server: 7, Start: 3}, 0)
		if b.NextProbe(now, 7, 3, ownTime) <= now {
			if now > ownTime+maxPostponement+1 {
				t.Fatalf("tried %v s late", now-ownTime)
			}
			return
		}
	}
	t.Fatal("never tried")
}
