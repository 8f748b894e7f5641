package engine

import (
	"flag"
	"math"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// Properties are checked with the same cases every time; `make explore` checks others.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func almostEqual(a, b float64) bool { return math.Abs(a-b) <= 1e-6*max(1, math.Abs(b)) }

// endTimes runs queries that all start at time 0 and returns the end time of each.
func endTimes(e *Engine, qs ...Query) map[uint64]float64 {
	for _, q := range qs {
		e.Submit(0, q)
	}
	ended := map[uint64]float64{}
	for e.Running() > 0 {
		e.Advance(e.Next())
		for _, ev := range e.Events() {
			if ev.Kind == Completed {
				ended[ev.ID] = ev.At
			}
		}
	}
	return ended
}

// TestPriorityWeights checks that two queries of levels 0 and 1 share one core 1 : 4, and that the remaining one then
// has the whole core.
func TestPriorityWeights(t *testing.T) {
	got := endTimes(New(Settings{Cores: 1}, 0), Query{ID: 1, Work: 1, Priority: 0}, Query{ID: 2, Work: 1, Priority: 1})
	if !almostEqual(got[2], 1.25) || !almostEqual(got[1], 2) {
		t.Errorf("ended at %v, want 1.25 and 2", got)
	}
}

// TestCoresLimitedByThreads checks that a query gets no more cores than it has threads.
func TestCoresLimitedByThreads(t *testing.T) {
	got := endTimes(New(Settings{Cores: 8}, 0), Query{ID: 1, Work: 4, Threads: 2}, Query{ID: 2, Work: 1, Threads: 1})
	if !almostEqual(got[1], 2) || !almostEqual(got[2], 1) {
		t.Errorf("ended at %v, want 2 and 1", got)
	}
}

// TestSpill checks that memory goes to the query of the higher level. The other one spills what is missing and takes
// longer, even after memory is free again.
func TestSpill(t *testing.T) {
	set := Settings{Cores: 2, Memory: 100, SpillOverhead: 2, ProgressInterval: 0.01}
	first, second := Query{ID: 1, Work: 1, Priority: 1, Memory: 100}, Query{ID: 2, Work: 1, Priority: 0, Memory: 100}
	e := New(set, 0)
	got := endTimes(e, first, second)
	if !almostEqual(got[1], 1) || got[2] < 1.2 || e.WastedWork < 0.2 {
		t.Errorf("ended at %v with %v wasted", got, e.WastedWork)
	}
	second.Priority = 1
	set.Memory = 200
	if e = New(set, 0); !almostEqual(endTimes(e, first, second)[2], 1) || e.WastedWork != 0 {
		t.Errorf("%v wasted with memory for both", e.WastedWork)
	}
}

// TestWorkConserved checks that with no knee and enough threads no core is idle while there is work, and that all work
// is done.
func TestWorkConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New(Settings{Cores: 4, ProgressInterval: 2}, 0)
		sum := 0.0
		var qs []Query
		for k := range rapid.IntRange(1, 20).Draw(t, "queries") {
			q := Query{ID: uint64(k), Work: rapid.Float64Range(0.01, 5).Draw(t, "work"), Threads: 4,
				Priority: rapid.IntRange(0, 3).Draw(t, "level")}
			sum += q.Work
			qs = append(qs, q)
		}
		last := 0.0
		for _, at := range endTimes(e, qs...) {
			last = max(last, at)
		}
		if !almostEqual(last, sum/4) || !almostEqual(e.DoneWork, sum) {
			t.Fatalf("%v of work done by %v, want %v by %v", e.DoneWork, last, sum, sum/4)
		}
	})
}

// TestNextIsWorkedOutAnew checks that the cached result of Next always equals a newly computed one, whatever calls came
// between.
func TestNextIsWorkedOutAnew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New(Settings{Cores: 2, Memory: 100, SpillOverhead: 1, ProgressInterval: 0.3}, 0)
		now, id := 0.0, uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				id++
				e.Submit(now, Query{ID: id, Work: rapid.Float64Range(0.01, 2).Draw(t, "work"), Memory: 60, Priority: int(id % 4)})
			case 1:
				now += rapid.Float64Range(0, 0.5).Draw(t, "pause")
				e.Advance(now)
			case 2:
				e.SetPriority(now, max(id, 1), rapid.IntRange(0, 3).Draw(t, "level"))
			case 3:
				e.SetSpeed(now, rapid.Float64Range(0.1, 2).Draw(t, "pace"))
			case 4:
				e.Paused = !e.Paused
			case 5:
				e.Events()
			}
			remembered := e.Next()
			if e.cachedNextValid = false; e.Next() != remembered {
				t.Fatalf("Next returned %v, but %v when computed again", remembered, e.Next())
			}
		}
	})
}
