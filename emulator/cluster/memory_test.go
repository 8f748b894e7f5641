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
func peakScenario(seed uint64, restart bool, recall Recall) Settings {
	s := smallScenario()
	s.Seed, s.Length, s.Routers, s.Recall = seed, 60, 3, recall
	s.Brain.Profiles = append(s.Brain.Profiles, admission.Profile{Target: 3, Stretch: 2, Benefit: 1, Threads: 1})
	long := Stream{Work: 0.8, CV: 1, Deadline: 8, Scatter: 0.3, Bias: 0.4, Profile: 1}
	long.Rate, long.Peak = Steady(10)
	s.Streams[0].Bias = 2
	s.Streams = append(s.Streams, long)
	s.Happens = []Happening{{At: 36, For: 12, Act: Silent, Engines: []int{0}}}
	if restart {
		s.Happens = append(s.Happens, Happening{At: 40, For: 0.5, Act: Restart, Routers: []int{0, 1, 2}})
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
	for k := range r.Tries {
		if x := &r.Tries[k]; x.Taken >= from && x.Taken < to {
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

func (w *ruleChecker) watch(m *Moment) bool {
	if m.On != Sent || w.violation != "" {
		return w.violation == ""
	}
	p := &w.s.Brain.Profiles[m.Stream.Profile]
	fail := func(format string, a ...any) {
		w.violation = fmt.Sprintf("at %.3f, attempt %d: ", m.Now, m.Number) + fmt.Sprintf(format, a...)
	}
	b := w.s.Brain
	// The work sent to a cold server in a window may reach what the settings allow plus a margin of three standard
	// deviations for chance, in units of the stream's mean work.
	coldLimit := func(age float64) float64 {
		cores := w.s.Engines[m.Engine].Cores
		n := b.FallMultiple * cores * (b.ColdFrom + (1-b.ColdFrom)*age/b.WarmUp) * b.FallWindow / m.Stream.Work
		return (n + 3*math.Sqrt(n) + 3) * m.Stream.Work
	}
	switch {
	case m.Number > 0 && m.Out > 1: // assumes that OutstandingAttempts counts this attempt
		fail("another attempt of the request is outstanding")
	case m.Number > 0 && p.Effect == admission.NonIdempotent && !m.LastEnd.NeverRan():
		fail("a non-idempotent request that may have run is retried")
	case m.Told != admission.Ready && m.ToldFor > w.grace:
		fail("sent to a server that was listed as not ready for %.2f s", m.ToldFor)
	case p.Ordered && m.KeyOpen:
		fail("an earlier request with its key is unfinished")
	case m.Number > 0 && float64(m.Further) > b.BudgetFree+b.BudgetShare*float64(m.Commands)+1:
		fail("%d retries of %d requests", m.Further, m.Commands)
	case m.Age >= 0 && m.Age < b.WarmUp && m.Recent > coldLimit(m.Age):
		fail("%.1f core seconds in a window to a server of age %.1f, limit %.1f", m.Recent, m.Age, coldLimit(m.Age))
	}
	return w.violation == ""
}

// faultyScenario has faults of every kind, ordered requests and a retry budget. Routers restart while a server is cold.
func faultyScenario() (Settings, *ruleChecker) {
	s := smallScenario()
	s.Length = 16
	s.Brain.Profiles[0].Effect = admission.NonIdempotent
	s.Brain.Profiles = append(s.Brain.Profiles, admission.Profile{Target: 0.8, Stretch: 2, Benefit: 1, Threads: 1, Ordered: true})
	s.Brain.KeyRest, s.Brain.BudgetFree, s.Brain.BudgetShare, s.Brain.BudgetWindow = 0.5, 3, 0.1, 5
	stream := Stream{Work: 0.1, CV: 1, Deadline: 4, Scatter: 0.3, Profile: 1, Keys: 6}
	stream.Rate, stream.Peak = Steady(20)
	s.Streams = append(s.Streams, stream)
	s.Happens = append(s.Happens, Happening{At: 7.2, For: 0.3, Act: Restart, Routers: []int{0, 1}})
	w := &ruleChecker{s: s, grace: 0.25}
	s.Watch = w.watch
	return s, w
}

// checkCompleted fails the test for requests that were not answered before their deadline.
func checkCompleted(t *rapid.T, r Result) {
	for _, try := range r.Tries {
		switch {
		case try.How == Open && try.Taken < 11:
			t.Fatalf("received at %.2f and never answered", try.Taken)
		case try.How != Open && try.How != Lost && (try.Ended-try.Taken > 4.01 || math.IsNaN(try.Ended)):
			t.Fatalf("answered after %.2f s", try.Ended-try.Taken)
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
		s.Recall = func(k warmstart.Knowledge, _ float64, s *admission.Settings) *warmstart.DiscountedKnowledge {
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
		s.Recall, s.Brain.WarmUp = hostile, 0
		w.s.Brain.WarmUp = 0 // turns the check of the cold servers' limit off
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
