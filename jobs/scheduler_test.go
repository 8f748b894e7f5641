package jobs

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestLevelsAndResources(t *testing.T) {
	p := New(Limits{Parallel: 2}, 0, 1)
	low, high, other := p.Add(0, Job{Name: "low", Resource: "disk"}), p.Add(0, Job{Name: "high", Priority: 2, Resource: "disk"}), p.Add(0, Job{Name: "other", Priority: 1})
	for _, k := range []int{low, high, other} {
		p.Request(0, k)
	}
	var got []int
	for k, _ := p.Next(0); k >= 0; k, _ = p.Next(0) {
		got = append(got, k)
	}
	if len(got) != 2 || got[0] != high || got[1] != other {
		t.Fatalf("began %v: the highest first, none beside one of its own resource", got)
	}
	p.Request(1, high)
	p.Done(1, high, Usage{})
	if k, _ := p.Next(1); k != high {
		t.Errorf("%d: what was asked for while it ran runs again", k)
	}
	p.Done(2, high, Usage{})
	if k, _ := p.Next(2); k != low {
		t.Errorf("%d: the resource is free", k)
	}
}

func TestBudgetsAndDeadlines(t *testing.T) {
	p := New(Limits{CPU: 0.1, MaxLateness: 0.01}, 0, 1)
	free, due := p.Add(0, Job{Name: "free"}), p.Add(0, Job{Name: "due", Deadline: 5})
	p.Request(0, free)
	if k, _ := p.Next(0); k != free {
		t.Fatal("it is in credit")
	}
	p.Done(0, free, Usage{CPU: 1.2}) // 0.2 were saved up
	p.Request(0, free)
	p.Request(0, due)
	k, wait := p.Next(0)
	if k != -1 || math.Abs(wait-5) > 1e-9 {
		t.Errorf("%d, %v: one second is owed, which takes ten; a deadline comes after five", k, wait)
	}
	if k, _ := p.Next(5); k != due {
		t.Errorf("%d: its deadline is over", k)
	}
	if k, wait := p.Next(6); k != -1 || !math.IsInf(wait, 1) {
		t.Errorf("%d, %v: one runs", k, wait)
	}
	p.Done(6, due, Usage{})
	p.ObserveLateness(11, 0.04)
	if k, _ := p.Next(11); k != -1 {
		t.Errorf("%d: the process is late", k)
	}
	if k, _ := p.Next(12.5); k != free {
		t.Errorf("%d: it is calm again", k)
	}
}

func TestFailuresPause(t *testing.T) {
	p := New(Limits{}, 0, 3)
	k := p.Add(0, Job{Name: "j", Interval: 1})
	now, longest := 0.0, 0.0
	for range 12 {
		n, wait := p.Next(now)
		for n < 0 {
			now += wait
			n, wait = p.Next(now)
		}
		p.Done(now, k, Usage{Failed: true})
		p.Request(now, k) // asking does not shorten it
		n, wait = p.Next(now)
		if n >= 0 {
			t.Fatal("it is tried again at once")
		}
		longest = max(longest, wait)
	}
	if longest < maxRetryDelay/2 || longest > maxRetryDelay {
		t.Errorf("longest pause %v", longest)
	}
}

func TestEnd(t *testing.T) {
	p := New(Limits{CPU: 0.1, Parallel: 3}, 0, 1)
	last := p.Add(0, Job{Name: "last", RunAtShutdown: true, Resource: "disk", Interval: 1000})
	a, b := p.Add(0, Job{Name: "a", Priority: 3, Resource: "disk"}), p.Add(0, Job{Name: "b", Priority: 1})
	p.Request(0, a)
	p.Request(0, b)
	p.Next(0)
	p.Next(0)
	if got := p.Shutdown(1); len(got) != 2 || got[0] != b || got[1] != a {
		t.Fatalf("cancelled in the order %v", got)
	}
	p.Done(1, b, Usage{CPU: 9})
	if k, _ := p.Next(1); k != -1 || p.Finished() {
		t.Fatal("what it shares is in use")
	}
	p.Done(2, a, Usage{Failed: true})
	if k, _ := p.Next(2); k != last {
		t.Fatal("the last run waits for no budget")
	}
	if p.Finished() {
		t.Error("it runs")
	}
	q := *p
	q.jobs = slices.Clone(p.jobs)
	if q.Done(3, last, Usage{}); !q.Finished() {
		t.Error("it has run, and there is no next")
	}
	if p.Done(3, last, Usage{Failed: true}); !p.Finished() {
		t.Error("a last run that failed is not tried again")
	}
}

// TestProperties: whatever comes, no two runs share a resource, no more run than may, no budget is passed by more than what runs take
// at once, nothing due waits past its deadline while there is a place, and nothing that is asked for is forgotten.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := Limits{CPU: rapid.SampledFrom([]float64{0, 0.05, 0.5}).Draw(t, "cpu"), Bytes: rapid.SampledFrom([]float64{0, 1000}).Draw(t, "bytes"),
			Parallel: rapid.IntRange(1, 3).Draw(t, "side"), MaxLateness: rapid.SampledFrom([]float64{0, 0.01}).Draw(t, "late")}
		p := New(terms, 0, rapid.Uint64().Draw(t, "seed"))
		n := rapid.IntRange(1, 5).Draw(t, "jobs")
		for range n {
			p.Add(0, Job{Priority: rapid.IntRange(0, 2).Draw(t, "level"), Resource: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "resource"),
				Interval: rapid.SampledFrom([]float64{0, 1, 7}).Draw(t, "every"), Deadline: rapid.SampledFrom([]float64{0, 2}).Draw(t, "deadline")})
		}
		now, spent, most := 0.0, 0.0, 0.0
		owed := make([]float64, n) // when it was asked for, NaN: nothing is owed
		for k := range owed {
			owed[k] = math.NaN()
		}
		for range 200 {
			now += rapid.Float64Range(0, 0.5).Draw(t, "dt")
			switch k := rapid.IntRange(0, n-1).Draw(t, "which"); rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				if p.Request(now, k); math.IsNaN(owed[k]) {
					owed[k] = now
				}
			case 1:
				if p.jobs[k].running {
					u := Usage{CPU: rapid.Float64Range(0, 0.3).Draw(t, "took"), Bytes: rapid.Float64Range(0, 2000).Draw(t, "wrote"), Failed: rapid.IntRange(0, 5).Draw(t, "fails") == 0}
					most, spent = max(most, u.CPU), spent+u.CPU
					if p.Done(now, k, u); !u.Failed {
						owed[k] = math.NaN()
					}
				}
			case 2:
				p.ObserveLateness(now, rapid.Float64Range(0, 0.05).Draw(t, "late"))
			}
			forced := false
			for {
				k, wait := p.Next(now)
				if k < 0 {
					if wait <= 0 || math.IsNaN(wait) {
						t.Fatalf("look again after %v", wait)
					}
					break
				}
				forced = forced || p.jobs[k].Deadline > 0
			}
			used, running := map[string]int{}, 0
			for k := range p.jobs {
				j := &p.jobs[k]
				if j.running {
					used[j.Resource]++
					running++
				}
				if !j.running && !math.IsNaN(owed[k]) && math.IsInf(j.due, 1) {
					t.Fatalf("job %d was asked for at %v, and is forgotten", k, owed[k])
				}
			}
			if used["a"] > 1 || used["b"] > 1 || running > terms.Parallel {
				t.Fatalf("side by side: %v", used)
			}
			for k := range p.jobs {
				j := &p.jobs[k]
				if !j.running && j.Deadline > 0 && now >= j.due+j.Deadline && running < terms.Parallel && used[j.Resource] == 0 {
					t.Fatalf("job %d waits past its deadline", k)
				}
			}
		}
		if terms.CPU > 0 {
			without := 0.0
			for k := range p.jobs {
				without += p.jobs[k].Deadline
			}
			if without == 0 && spent > terms.CPU*(now+2)+most*float64(terms.Parallel)+1e-9 {
				t.Fatalf("%v s of processor in %v s", spent, now)
			}
		}
	})
}
