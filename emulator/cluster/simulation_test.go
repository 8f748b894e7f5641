package cluster

import (
	"testing"

	"dunereach/admission"
	"dunereach/emulator/engine"

	"github.com/google/go-cmp/cmp"
)

func smallScenario() Settings {
	s := Settings{Seed: 7, Length: 20, Routers: 2, Brain: admission.Settings{Tick: 0.005, MaxSends: 4, Priorities: true, MaxPause: 0.5,
		ColdFrom: 0.35, WarmUp: 15, FallMultiple: 2, FallWindow: 1, Profiles: []admission.Profile{{Target: 0.8, Stretch: 2, Benefit: 1, Threads: 1}}}}
	for range 3 {
		s.Engines = append(s.Engines, Engine{Settings: engine.Settings{Cores: 4, Knee: 2, Thrash: 0.3, Notes: 2}})
	}
	stream := Stream{Work: 0.1, CV: 1, Deadline: 4, Scatter: 0.3, Tries: 2, Ignores: 0.3}
	stream.Rate, stream.Peak = Steady(60)
	s.Streams = []Stream{stream}
	s.Happens = []Happening{{At: 2, For: 3, Act: Silent, Engines: []int{0}}, {At: 3, For: 4, Act: Gone, Engines: []int{1}},
		{At: 6, For: 4, Act: Errors, Engines: []int{2}, Value: 0.5}, {At: 8, For: 3, Act: Lose, Engines: []int{0}, Value: 0.5},
		{At: 9, For: 1, Act: Restart, Routers: []int{1}}, {At: 11, For: 3, Act: Drain, Engines: []int{2}}}
	return s
}

// TestReproducible checks that a run with faults is reproducible: equal settings and seed give equal results, another
// seed gives others.
func TestReproducible(t *testing.T) {
	run := func(seed uint64) []Try {
		s := smallScenario()
		s.Seed = seed
		r, err := Run(s)
		if err != nil {
			t.Fatal(err)
		}
		return r.Tries
	}
	one, two := run(7), run(7)
	for k := range one { // NaN is not equal to itself
		if one[k].Sent != one[k].Sent {
			one[k].Sent, two[k].Sent = 0, 0
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
	for _, try := range r.Tries {
		switch {
		case try.How == Open && try.Taken < 15:
			t.Errorf("received at %.2f and never answered", try.Taken)
		case try.How == Lost:
			if lost++; try.Ended != 9 || try.Router != 1 {
				t.Errorf("lost at %.2f by router %d", try.Ended, try.Router)
			}
		case try.How != Open && try.Ended-try.Taken > 4.01:
			t.Errorf("answered after %.2f s", try.Ended-try.Taken)
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
	s.Keep = func(client int) bool { return client >= 100 }
	some, err := Run(s)
	if err != nil {
		t.Fatal(err)
	}
	if some.Clients != all.Clients {
		t.Errorf("%d clients in all, but %d when some are left out", all.Clients, some.Clients)
	}
	if first := some.Tries[0].First; first <= all.Tries[50].First {
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
	s.Watch = func(m *Moment) bool {
		if m.On == Sent {
			sent[[2]int{m.Router, m.Engine}] = true
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
