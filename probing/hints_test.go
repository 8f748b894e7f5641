package probing

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// TestPostponementIsBounded checks that for any findings, in any order and under any fences, a router probes a
// suspected server at most about maxPostponement later than without findings.
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
					t.Fatalf("probe postponed for %v s", postponed)
				}
				continue
			}
			postponed = 0
			b.ProbeEnded(now, 7, 3, rapid.Bool().Draw(t, "answered"))
			ownTime = now + 3
		}
	})
}

// TestHints checks the effect of single findings: a healthy finding allows one early probe, an unhealthy one postpones
// probes, and findings that are expired, on another start of the server, or from a distrusted owner are ignored.
func TestHints(t *testing.T) {
	b := NewHints()
	if at := b.NextProbe(10, 7, 3, 12); at != 12 {
		t.Errorf("no finding: next probe at %v", at)
	}
	b.Receive(10, 1, Finding{7, 3, true}, 1)
	if at := b.NextProbe(10, 7, 3, 12); at != 10 {
		t.Errorf("found healthy: next probe at %v", at)
	}
	if at := b.NextProbe(10, 7, 4, 12); at != 12 {
		t.Errorf("another start of the server: next probe at %v", at)
	}
	b.ProbeEnded(10, 7, 3, false)
	if at := b.NextProbe(10.1, 7, 3, 13); at != 13 {
		t.Errorf("the early probe was used: next probe at %v", at)
	}
	b.Receive(14, 2, Finding{7, 3, false}, 0)
	if at := b.NextProbe(14, 7, 3, 13); at <= 14 {
		t.Errorf("found unhealthy: next probe at %v", at)
	}
	b.ProbeEnded(14, 7, 3, true) // by a request that could not go elsewhere
	b.Receive(15, 2, Finding{7, 3, false}, 0)
	if at := b.NextProbe(15, 7, 3, 14.5); at != 14.5 {
		t.Errorf("the finding of a distrusted owner counts: next probe at %v", at)
	}
	b.Receive(16, 3, Finding{7, 3, false}, 9)
	if at := b.NextProbe(16, 7, 3, 15); at != 15 {
		t.Errorf("an expired finding counts: next probe at %v", at)
	}
}

// silentServer simulates a server that never answers, a router that probes it and owners that report on it, all at
// random times.
type silentServer struct {
	*Hints
	rng           *rand.Rand
	fence         uint64
	nextFindingAt float64 // when the next finding arrives
	nextProbeAt   float64 // the router's own time of its next probe, without findings
	probeEndsAt   float64 // end of the current probe; 0: there is none
}

const silentStep = 0.05 // seconds between simulated times

// uniform returns a random number between low and high.
func (s *silentServer) uniform(low, high float64) float64 {
	return low + (high-low)*s.rng.Float64()
}

// deliverFinding delivers a finding if one is due, and schedules the next one within its lifetime.
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

// beginsProbe ends the current probe if it is due, and reports whether a probe begins now.
func (s *silentServer) beginsProbe(now float64) bool {
	if s.probeEndsAt > 0 && now >= s.probeEndsAt {
		s.ProbeEnded(now, 7, 3, false)
		s.nextProbeAt, s.probeEndsAt = now+s.uniform(0.5, 3), 0
		return false
	}
	if s.probeEndsAt > 0 || s.NextProbe(now, 7, 3, s.nextProbeAt) > now {
		return false
	}
	s.probeEndsAt = now + s.uniform(0.1, 5)
	return true
}

// TestProbeSpacing guards against probes that findings should have postponed. While findings arrive within their
// lifetime, also from changing owners, two probes of a server that does not answer are at least maxPostponement apart,
// however long each takes.
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

// TestFalseFindings checks that an owner that reports every half second that a healthy server does not answer can delay
// the probe of a router that suspects this server only for a bounded time.
func TestFalseFindings(t *testing.T) {
	b := NewHints()
	ownTime := 1.0
	for now := 1.0; now < 60; now += 0.5 {
		b.Receive(now, 1, Finding{Server: 7, Start: 3}, 0)
		if b.NextProbe(now, 7, 3, ownTime) <= now {
			if now > ownTime+maxPostponement+1 {
				t.Fatalf("probed %v s late", now-ownTime)
			}
			return
		}
	}
	t.Fatal("never probed")
}
