package jobs

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestPrioritiesAndResources(t *testing.T) {
	s := New(Limits{MaxParallel: 2}, 0, 1)
	low, high, other := s.Add(0, Job{Name: "low", Resource: "disk"}), s.Add(0, Job{Name: "high", Priority: 2, Resource: "disk"}), s.Add(0, Job{Name: "other", Priority: 1})
	for _, k := range []int{low, high, other} {
		s.Request(0, k)
	}
	var got []int
	for k, _ := s.Next(0); k >= 0; k, _ = s.Next(0) {
		got = append(got, k)
	}
	if len(got) != 2 || got[0] != high || got[1] != other {
		t.Fatalf("started %v; want the highest priority first and only one job per resource", got)
	}
	s.Request(1, high)
	s.Done(1, high, Usage{})
	if k, _ := s.Next(1); k != high {
		t.Errorf("started %d; want the job that was requested again while it ran", k)
	}
	s.Done(2, high, Usage{})
	if k, _ := s.Next(2); k != low {
		t.Errorf("started %d; want the low-priority job, as its resource is free", k)
	}
}

func TestBudgetsAndDeadlines(t *testing.T) {
	s := New(Limits{CPU: 0.1, MaxLateness: 0.01}, 0, 1)
	withoutDeadline, withDeadline := s.Add(0, Job{Name: "free"}), s.Add(0, Job{Name: "due", Deadline: 5})
	s.Request(0, withoutDeadline)
	if k, _ := s.Next(0); k != withoutDeadline {
		t.Fatal("the job did not start although the budget is not exhausted")
	}
	s.Done(0, withoutDeadline, Usage{CPU: 1.2}) // 0.2 s were saved up
	s.Request(0, withoutDeadline)
	s.Request(0, withDeadline)
	k, wait := s.Next(0)
	if k != -1 || math.Abs(wait-5) > 1e-9 {
		t.Errorf("job %d, wait %v; want no job, as one second of debt takes ten to refill, and a wait of five for the deadline", k, wait)
	}
	if k, _ := s.Next(5); k != withDeadline {
		t.Errorf("started %d; want the job past its deadline", k)
	}
	if k, wait := s.Next(6); k != -1 || !math.IsInf(wait, 1) {
		t.Errorf("job %d, wait %v; want no job and no wait time while one runs", k, wait)
	}
	s.Done(6, withDeadline, Usage{})
	s.ObserveLateness(11, 0.04)
	if k, _ := s.Next(11); k != -1 {
		t.Errorf("started %d although the timers are late", k)
	}
	if k, _ := s.Next(12.5); k != withoutDeadline {
		t.Errorf("started %d; want the waiting job, as the timers are on time again", k)
	}
}

func TestRetryDelay(t *testing.T) {
	s := New(Limits{}, 0, 3)
	k := s.Add(0, Job{Name: "j", Interval: 1})
	now, longestWait := 0.0, 0.0
	for range 12 {
		n, wait := s.Next(now)
		for n < 0 {
			now += wait
			n, wait = s.Next(now)
		}
		s.Done(now, k, Usage{Failed: true})
		s.Request(now, k) // a request does not shorten the retry delay
		n, wait = s.Next(now)
		if n >= 0 {
			t.Fatal("the failed job was retried without delay")
		}
		longestWait = max(longestWait, wait)
	}
	if longestWait < maxRetryDelay/2 || longestWait > maxRetryDelay {
		t.Errorf("longest retry delay %v", longestWait)
	}
}

func TestShutdown(t *testing.T) {
	s := New(Limits{CPU: 0.1, MaxParallel: 3}, 0, 1)
	last := s.Add(0, Job{Name: "last", RunAtShutdown: true, Resource: "disk", Interval: 1000})
	a, b := s.Add(0, Job{Name: "a", Priority: 3, Resource: "disk"}), s.Add(0, Job{Name: "b", Priority: 1})
	s.Request(0, a)
	s.Request(0, b)
	s.Next(0)
	s.Next(0)
	if got := s.Shutdown(1); len(got) != 2 || got[0] != b || got[1] != a {
		t.Fatalf("canceled in the order %v", got)
	}
	s.Done(1, b, Usage{CPU: 9})
	if k, _ := s.Next(1); k != -1 || s.Finished() {
		t.Fatal("the last run started, or the scheduler was finished, while the resource is in use")
	}
	s.Done(2, a, Usage{Failed: true})
	if k, _ := s.Next(2); k != last {
		t.Fatal("the last run did not start although it ignores the budgets")
	}
	if s.Finished() {
		t.Error("the scheduler is finished while the last run is in progress")
	}
	afterSuccess := *s
	afterSuccess.jobs = slices.Clone(s.jobs)
	if afterSuccess.Done(3, last, Usage{}); !afterSuccess.Finished() {
		t.Error("the scheduler is not finished after the last run")
	}
	if s.Done(3, last, Usage{Failed: true}); !s.Finished() {
		t.Error("the scheduler is not finished after the last run failed")
	}
}

// TestProperties checks, for random calls, that no two runs share a resource, that no more jobs run in parallel than
// allowed, that the processor time exceeds its budget by no more than the runs in progress used, that no due job waits
// past its deadline while it could run, and that no request is lost.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{CPU: rapid.SampledFrom([]float64{0, 0.05, 0.5}).Draw(t, "cpu"), Bytes: rapid.SampledFrom([]float64{0, 1000}).Draw(t, "bytes"),
			MaxParallel: rapid.IntRange(1, 3).Draw(t, "side"), MaxLateness: rapid.SampledFrom([]float64{0, 0.01}).Draw(t, "late")}
		s := New(limits, 0, rapid.Uint64().Draw(t, "seed"))
		n := rapid.IntRange(1, 5).Draw(t, "jobs")
		for range n {
			s.Add(0, Job{Priority: rapid.IntRange(0, 2).Draw(t, "level"), Resource: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "resource"),
				Interval: rapid.SampledFrom([]float64{0, 1, 7}).Draw(t, "every"), Deadline: rapid.SampledFrom([]float64{0, 2}).Draw(t, "deadline")})
		}
		now, usedCPU, largestRun := 0.0, 0.0, 0.0
		requestedAt := make([]float64, n) // time of the oldest open request of each job; NaN: none
		for k := range requestedAt {
			requestedAt[k] = math.NaN()
		}
		for range 200 {
			now += rapid.Float64Range(0, 0.5).Draw(t, "dt")
			switch k := rapid.IntRange(0, n-1).Draw(t, "which"); rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				if s.Request(now, k); math.IsNaN(requestedAt[k]) {
					requestedAt[k] = now
				}
			case 1:
				if s.jobs[k].running {
					usage := Usage{CPU: rapid.Float64Range(0, 0.3).Draw(t, "took"), Bytes: rapid.Float64Range(0, 2000).Draw(t, "wrote"), Failed: rapid.IntRange(0, 5).Draw(t, "fails") == 0}
					largestRun, usedCPU = max(largestRun, usage.CPU), usedCPU+usage.CPU
					if s.Done(now, k, usage); !usage.Failed {
						requestedAt[k] = math.NaN()
					}
				}
			case 2:
				s.ObserveLateness(now, rapid.Float64Range(0, 0.05).Draw(t, "late"))
			}
			deadlineStarted := false
			for {
				k, wait := s.Next(now)
				if k < 0 {
					if wait <= 0 || math.IsNaN(wait) {
						t.Fatalf("no job, and a wait of %v", wait)
					}
					break
				}
				deadlineStarted = deadlineStarted || s.jobs[k].Deadline > 0
			}
			runningByResource, running := map[string]int{}, 0
			for k := range s.jobs {
				j := &s.jobs[k]
				if j.running {
					runningByResource[j.Resource]++
					running++
				}
				if !j.running && !math.IsNaN(requestedAt[k]) && math.IsInf(j.due, 1) {
					t.Fatalf("job %d was requested at %v but is not scheduled", k, requestedAt[k])
				}
			}
			if runningByResource["a"] > 1 || runningByResource["b"] > 1 || running > limits.MaxParallel {
				t.Fatalf("running at the same time by resource: %v", runningByResource)
			}
			for k := range s.jobs {
				j := &s.jobs[k]
				if !j.running && j.Deadline > 0 && now >= j.due+j.Deadline && running < limits.MaxParallel && runningByResource[j.Resource] == 0 {
					t.Fatalf("job %d waits past its deadline", k)
				}
			}
		}
		if limits.CPU > 0 {
			deadlines := 0.0
			for k := range s.jobs {
				deadlines += s.jobs[k].Deadline
			}
			if deadlines == 0 && usedCPU > limits.CPU*(now+2)+largestRun*float64(limits.MaxParallel)+1e-9 {
				t.Fatalf("%v s of processor time in %v s", usedCPU, now)
			}
		}
	})
}
