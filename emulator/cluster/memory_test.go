package cluster

import (
	"fmt"
	"math"
	"testing"

	"dunereach/admission"
	"dunereach/warmstart"

	"pgregory.net/rapid"
)

// discounted returns what a restarted router restores. Servers' start times are on the same clock as before the
// restart.
func discounted(k warmstart.Knowledge, age float64, s *admission.Settings) *warmstart.DiscountedKnowledge {
	b := warmstart.Discount(k, age, true, admission.Fingerprints(s.Profiles), s.TenantRates())
	return &b
}

// peakScenario loads the pool to its limit, with estimates that are wrong by half and a stalled server. With restart
// set, all routers restart at 40 s.
func peakScenario(seed uint64, restart bool, recall RestoreMemoryFunc) Settings {
	s := smallScenario()
	s.Seed, s.Duration, s.Routers, s.RestoreMemory = seed, 60, 3, recall
	s.Controller.Profiles = append(s.Controller.Profiles, admission.Profile{Target: 3, Stretch: 2, Benefit: 1, Threads: 1})
	long := Stream{Work: 0.8, CV: 1, Deadline: 8, EstimateCV: 0.3, EstimateBias: 0.4, Profile: 1}
	long.Rate, long.PeakRate = ConstantRate(10)
	s.Streams[0].EstimateBias = 2
	s.Streams = append(s.Streams, long)
	s.Faults = []Fault{{At: 36, Duration: 12, Kind: StallServers, Servers: []int{0}}}
	if restart {
		s.Faults = append(s.Faults, Fault{At: 40, Duration: 0.5, Kind: RestartRouter, Routers: []int{0, 1, 2}})
	}
	return s
}

// inTimeShare returns the share of requests received in a time span that were completed in time.
func inTimeShare(t *testing.T, s Settings, from, to float64) float64 {
	t.Helper()
	r, err := Run(s)
	if err != nil {
		t.Fatal(err)
	}
	inTime, all := 0.0, 0.0
	for k := range r.Requests {
		if x := &r.Requests[k]; x.ReceivedAt >= from && x.ReceivedAt < to {
			all++
			if x.InTime() {
				inTime++
			}
		}
	}
	return inTime / max(all, 1)
}

// TestRestartUnderPeakLoad checks that a router that restarts under peak load with its restored memory serves better
// than one that starts with none.
func TestRestartUnderPeakLoad(t *testing.T) {
	const seeds = 12
	var withoutMemory, withMemory, notRestarted [2]float64
	for seed := range uint64(seeds) {
		for k, to := range []float64{43, 50} {
			withoutMemory[k] += inTimeShare(t, peakScenario(seed, true, nil), 40.5, to) / seeds
			withMemory[k] += inTimeShare(t, peakScenario(seed, true, discounted), 40.5, to) / seeds
			notRestarted[k] += inTimeShare(t, peakScenario(seed, false, nil), 40.5, to) / seeds
		}
	}
	t.Logf("completed in time during 2.5 s and 9.5 s after the restart: %.3f without memory, %.3f with memory, %.3f not restarted", withoutMemory, withMemory, notRestarted)
	if withMemory[0] < withoutMemory[0] || withMemory[1] < withoutMemory[1] {
		t.Errorf("completed in time: %.3f with memory, %.3f without", withMemory, withoutMemory)
	}
}

// ruleChecker checks the rules that restored memory could affect, over all routers at once, and records the first
// violation.
type ruleChecker struct {
	s         Settings
	grace     float64
	violation string
}

func (w *ruleChecker) watch(m *Observation) bool {
	if m.Kind != AttemptSent || w.violation != "" {
		return w.violation == ""
	}
	p := &w.s.Controller.Profiles[m.Stream.Profile]
	fail := func(format string, a ...any) {
		w.violation = fmt.Sprintf("at %.3f, attempt %d: ", m.Now, m.Attempt) + fmt.Sprintf(format, a...)
	}
	b := w.s.Controller
	// The work sent to a cold server in a window may reach what the settings allow plus a margin of three standard
	// deviations for chance, in units of the stream's mean work.
	coldLimit := func(age float64) float64 {
		cores := w.s.Servers[m.Server].Cores
		n := b.FallMultiple * cores * (b.ColdFrom + (1-b.ColdFrom)*age/b.WarmUp) * b.FallWindow / m.Stream.Work
		return (n + 3*math.Sqrt(n) + 3) * m.Stream.Work
	}
	switch {
	case m.Attempt > 0 && m.OutstandingAttempts > 1: // assumes that OutstandingAttempts counts this attempt
		fail("another attempt of the request is outstanding")
	case m.Attempt > 0 && p.Effect == admission.NonIdempotent && !m.LastEnd.NeverRan():
		fail("a non-idempotent request that may have run is retried")
	case m.ListedState != admission.Ready && m.ListedStateAge > w.grace:
		fail("sent to a server that was listed as not ready for %.2f s", m.ListedStateAge)
	case p.Ordered && m.EarlierKeyUnfinished:
		fail("an earlier request with its key is unfinished")
	case m.Attempt > 0 && float64(m.Retries) > b.BudgetFree+b.BudgetShare*float64(m.Requests)+1:
		fail("%d retries of %d requests", m.Retries, m.Requests)
	case m.ServerAge >= 0 && m.ServerAge < b.WarmUp && m.RecentWork > coldLimit(m.ServerAge):
		fail("%.1f core seconds in a window to a server of age %.1f, limit %.1f", m.RecentWork, m.ServerAge, coldLimit(m.ServerAge))
	}
	return w.violation == ""
}

// faultyScenario has faults of every kind, ordered requests and a retry budget. Routers restart while a server is cold.
func faultyScenario() (Settings, *ruleChecker) {
	s := smallScenario()
	s.Duration = 16
	s.Controller.Profiles[0].Effect = admission.NonIdempotent
	s.Controller.Profiles = append(s.Controller.Profiles, admission.Profile{Target: 0.8, Stretch: 2, Benefit: 1, Threads: 1, Ordered: true})
	s.Controller.KeyRest, s.Controller.BudgetFree, s.Controller.BudgetShare, s.Controller.BudgetWindow = 0.5, 3, 0.1, 5
	stream := Stream{Work: 0.1, CV: 1, Deadline: 4, EstimateCV: 0.3, Profile: 1, Keys: 6}
	stream.Rate, stream.PeakRate = ConstantRate(20)
	s.Streams = append(s.Streams, stream)
	s.Faults = append(s.Faults, Fault{At: 7.2, Duration: 0.3, Kind: RestartRouter, Routers: []int{0, 1}})
	w := &ruleChecker{s: s, grace: 0.25}
	s.Observe = w.watch
	return s, w
}

// checkCompleted fails the test for requests that were not answered before their deadline.
func checkCompleted(t *rapid.T, r Result) {
	for _, try := range r.Requests {
		switch {
		case try.Outcome == Unfinished && try.ReceivedAt < 11:
			t.Fatalf("received at %.2f and never answered", try.ReceivedAt)
		case try.Outcome != Unfinished && try.Outcome != RouterStopped && (try.EndedAt-try.ReceivedAt > 4.01 || math.IsNaN(try.EndedAt)):
			t.Fatalf("answered after %.2f s", try.EndedAt-try.ReceivedAt)
		}
	}
}

// TestRulesWithRestoredMemory checks that a controller with restored memory of any age keeps the rules through all
// kinds of faults, the limit on cold servers among them.
func TestRulesWithRestoredMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, w := faultyScenario()
		age := rapid.SampledFrom([]float64{0.1, 5, 60, 1e4}).Draw(t, "age")
		sure := rapid.Bool().Draw(t, "sure")
		s.Seed = rapid.Uint64().Draw(t, "seed")
		s.RestoreMemory = func(k warmstart.Knowledge, _ float64, s *admission.Settings) *warmstart.DiscountedKnowledge {
			b := warmstart.Discount(k, age, sure, admission.Fingerprints(s.Profiles), s.TenantRates())
			return &b
		}
		r, err := Run(s)
		if err != nil {
			t.Fatal(err)
		}
		if w.violation != "" {
			t.Fatal(w.violation)
		}
		checkCompleted(t, r)
	})
}

// TestHostileMemory restores arbitrary memory, beyond what warmstart.Discount would let through. Every request still
// has to be answered in its time, and all rules hold but the fourth, the limit on cold servers, whose margin restored
// memory may use up (docs/design/memory.md).
func TestHostileMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawValue := func(name string) float64 {
			return rapid.OneOf(rapid.Float64Range(0, 100), rapid.SampledFrom([]float64{0, 1e-9, 1e9, 1e12})).Draw(t, name)
		}
		hostile := func(k warmstart.Knowledge, _ float64, _ *admission.Settings) *warmstart.DiscountedKnowledge {
			b := &warmstart.DiscountedKnowledge{}
			for _, p := range k.Profiles {
				p.Work, p.Seen, p.Hinted, p.Worked, p.Slow = drawValue("work"), drawValue("seen"), drawValue("hinted"), drawValue("worked"), 1+drawValue("slow")
				for n := range p.Times.Counts {
					p.Times.Counts[n] = drawValue("count")
				}
				p.Times.Sum = drawValue("sum")
				b.Profiles = append(b.Profiles, p)
			}
			for n := range 3 {
				for _, e := range []uint32{1, 2, 3, 1 << 30} {
					b.Engines = append(b.Engines, warmstart.Server{ID: e + uint32(n), Slow: 1 + drawValue("slow"), Fails: rapid.Float64Range(0, 1).Draw(t, "fails"), Ill: true, Pause: rapid.Float64Range(0, 60).Draw(t, "pause")})
				}
			}
			for range k.Tenants {
				b.Tenants = append(b.Tenants, warmstart.Tenant{Left: -drawValue("left")})
			}
			b.Cut, b.Pace, b.Asked, b.Span = drawValue("cut"), 1+drawValue("pace"), drawValue("asked"), drawValue("span")
			return b
		}
		s, w := faultyScenario()
		s.RestoreMemory, s.Controller.WarmUp = hostile, 0
		w.s.Controller.WarmUp = 0 // turns the check of the cold servers' limit off
		r, err := Run(s)
		if err != nil {
			t.Fatal(err)
		}
		if w.violation != "" {
			t.Fatal(w.violation)
		}
		checkCompleted(t, r)
	})
}
