package cluster

import (
	"testing"

	"dunereach/admission"
	"dunereach/emulator/engine"

	"github.com/google/go-cmp/cmp"
)

func smallScenario() Settings {
	s := Settings{Seed: 7, Duration: 20, Routers: 2, Controller: admission.Settings{Tick: 0.005, MaxSends: 4, Priorities: true, MaxPause: 0.5,
		ColdFrom: 0.35, WarmUp: 15, FallMultiple: 2, FallWindow: 1, Profiles: []admission.Profile{{Target: 0.8, Stretch: 2, Benefit: 1, Threads: 1}}}}
	for range 3 {
		s.Servers = append(s.Servers, Server{Settings: engine.Settings{Cores: 4, Knee: 2, ContentionLoss: 0.3, ProgressInterval: 2}})
	}
	stream := Stream{Work: 0.1, CV: 1, Deadline: 4, EstimateCV: 0.3, MaxRequests: 2, IgnoresPauseShare: 0.3}
	stream.Rate, stream.PeakRate = ConstantRate(60)
	s.Streams = []Stream{stream}
	s.Faults = []Fault{{At: 2, Duration: 3, Kind: StallServers, Servers: []int{0}}, {At: 3, Duration: 4, Kind: StopServers, Servers: []int{1}},
		{At: 6, Duration: 4, Kind: FailAttempts, Servers: []int{2}, Value: 0.5}, {At: 8, Duration: 3, Kind: LoseAnswers, Servers: []int{0}, Value: 0.5},
		{At: 9, Duration: 1, Kind: RestartRouter, Routers: []int{1}}, {At: 11, Duration: 3, Kind: DrainServers, Servers: []int{2}}}
	return s
}

// TestReproducible checks that a run with faults is reproducible: equal settings and seed give equal results, another
// seed gives others.
func TestReproducible(t *testing.T) {
	run := func(seed uint64) []Request {
		s := smallScenario()
		s.Seed = seed
		r, err := Run(s)
		if err != nil {
			t.Fatal(err)
		}
		return r.Requests
	}
	one, two := run(7), run(7)
	for k := range one { // NaN is not equal to itself
		if one[k].FirstSentAt != one[k].FirstSentAt {
			one[k].FirstSentAt, two[k].FirstSentAt = 0, 0
		}
	}
	if diff := cmp.Diff(one, two); diff != "" {
		t.Errorf("two runs with the same seed differ:\n%s", diff)
	}
	if len(run(8)) == len(one) {
		t.Error("another seed gives the same number of requests: the seed has no effect")
	}
}

// TestEveryRequestEnds checks that every request ends in time through stalled and stopped servers, errors, lost answers,
// restarts and drains. Only requests of a killed router may be lost.
func TestEveryRequestEnds(t *testing.T) {
	r, err := Run(smallScenario())
	if err != nil {
		t.Fatal(err)
	}
	lost := 0
	for _, try := range r.Requests {
		switch {
		case try.Outcome == Unfinished && try.ReceivedAt < 15:
			t.Errorf("received at %.2f and never answered", try.ReceivedAt)
		case try.Outcome == RouterStopped:
			if lost++; try.EndedAt != 9 || try.Router != 1 {
				t.Errorf("lost at %.2f by router %d", try.EndedAt, try.Router)
			}
		case try.Outcome != Unfinished && try.EndedAt-try.ReceivedAt > 4.01:
			t.Errorf("answered after %.2f s", try.EndedAt-try.ReceivedAt)
		}
	}
	if lost == 0 {
		t.Error("the killed router had no unfinished requests")
	}
}

// TestKeepClientLeavesArrivals checks that leaving out clients does not change when the others arrive.
func TestKeepClientLeavesArrivals(t *testing.T) {
	all, err := Run(smallScenario())
	if err != nil {
		t.Fatal(err)
	}
	s := smallScenario()
	s.KeepClient = func(client int) bool { return client >= 100 }
	some, err := Run(s)
	if err != nil {
		t.Fatal(err)
	}
	if some.Clients != all.Clients {
		t.Errorf("%d clients in all, but %d when some are left out", all.Clients, some.Clients)
	}
	if first := some.Requests[0].FirstRequestedAt; first <= all.Requests[50].FirstRequestedAt {
		t.Errorf("the first kept client arrived at %.3f", first)
	}
}

// TestSubset checks that a router sends only to servers of its subset, through stalled and stopped servers and
// restarts, and that servers outside one router's subset are used by the other routers.
func TestSubset(t *testing.T) {
	s := smallScenario()
	s.Sharers = 1
	s.Subset = func(router, database int) bool { return database == 0 || database == 1+router }
	sent := map[[2]int]bool{}
	s.Observe = func(m *Observation) bool {
		if m.Kind == AttemptSent {
			sent[[2]int{m.Router, m.Server}] = true
		}
		return true
	}
	if _, err := Run(s); err != nil {
		t.Fatal(err)
	}
	want := map[[2]int]bool{{0, 0}: true, {0, 1}: true, {1, 0}: true, {1, 2}: true}
	if diff := cmp.Diff(want, sent); diff != "" {
		t.Errorf("routers and the servers that they sent to:\n%s", diff)
	}
}
