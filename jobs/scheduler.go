// Package jobs schedules a process's background jobs by priority and within budgets of processor time and written
// bytes. Jobs that share a resource run one at a time. Jobs wait while the process's own timers are late, but no longer
// than their deadline.
//
// The package does no I/O and has no clock or goroutine. Times are seconds on the caller's clock.
package jobs

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Job describes a background job, which runs at an interval or on request.
type Job struct {
	Name          string
	Priority      int     // higher runs first
	Resource      string  // jobs with the same resource never run in parallel; empty: no resource
	Interval      float64 // seconds between the start of a run and the due time of the next; 0: runs only on request
	Deadline      float64 // seconds after the due time from which the job ignores budgets and lateness; 0: never
	Timeout       float64 // seconds after which a run is canceled; 0: no timeout
	RunAtShutdown bool    // the job runs once more when the process shuts down
}

// Limits apply to all jobs together.
type Limits struct {
	CPU         float64 // seconds of processor time per second; 0: unlimited
	Bytes       float64 // bytes written per second; 0: unlimited
	Burst       float64 // seconds of each budget that can be saved up; 0: two
	MaxParallel int     // jobs that may run in parallel; 0: one
	MaxLateness float64 // seconds that the process's timers may be late before jobs have to wait; 0: unlimited
}

// Usage is what one run of a job used.
type Usage struct {
	CPU    float64 // seconds of processor time
	Bytes  float64 // bytes written
	Failed bool
}

// Constants of the retry delay and of the wait while timers are late.
const (
	minRetryDelay         = 1.0  // seconds after the first failure, as a disk may have been full for only a moment
	maxRetryDelay         = 60.0 // seconds; the longest that an operator waits for a retry after fixing the cause
	latenessHalfLife      = 0.5  // seconds in which an observed lateness decays to half; several rounds of the timers
	latenessCheckInterval = 0.05 // seconds until the lateness is checked again
)

type job struct {
	Job
	due            float64 // time of the next run; +Inf: not scheduled
	startedAt      float64
	running        bool
	requestedAgain bool    // requested during the current run
	retryDelay     float64 // seconds; the last retry delay before jitter
	failures       int     // failed runs in a row
	canceled       bool    // the current run has been canceled
}

// Scheduler holds the state of all jobs. It is not safe for concurrent use.
type Scheduler struct {
	limits         Limits
	jobs           []job
	random         *rand.Rand
	cpuBudget      float64 // seconds of processor time left; negative: debt
	byteBudget     float64 // bytes left; negative: debt
	updatedAt      float64
	lastLateness   float64 // largest recent lateness in seconds
	lastLatenessAt float64 // when lastLateness was observed
	shuttingDown   bool
}

// New returns a scheduler without jobs at the given time. The seed determines the random start times and retry delays.
func New(limits Limits, now float64, seed uint64) *Scheduler {
	if limits.Burst <= 0 {
		limits.Burst = 2
	}
	limits.MaxParallel = max(limits.MaxParallel, 1)
	return &Scheduler{
		limits:     limits,
		random:     rand.New(rand.NewPCG(seed, 1)),
		cpuBudget:  limits.CPU * limits.Burst,
		byteBudget: limits.Bytes * limits.Burst,
		updatedAt:  now,
	}
}

// Add adds a job and returns its index. A job with an interval is first due at a random time within the interval, so
// that processes that start together do not run it at the same time.
func (s *Scheduler) Add(now float64, j Job) (index int) {
	due := math.Inf(1)
	if j.Interval > 0 {
		due = now + j.Interval*s.random.Float64()
	}
	s.jobs = append(s.jobs, job{Job: j, due: due})
	return len(s.jobs) - 1
}

// Request makes a job due now. A running job runs again afterwards. A failed job keeps its retry delay.
func (s *Scheduler) Request(now float64, index int) {
	switch j := &s.jobs[index]; {
	case j.running:
		j.requestedAgain = true // the cause of the request may have arisen after the current run started
	case j.failures == 0:
		j.due = min(j.due, now)
	}
}

// ObserveLateness reports by how many seconds the process's own timers were late.
func (s *Scheduler) ObserveLateness(now, seconds float64) {
	if seconds >= s.lateness(now) {
		s.lastLateness, s.lastLatenessAt = seconds, now
	}
}

// lateness returns the largest recent lateness, which decays over time.
func (s *Scheduler) lateness(now float64) float64 {
	return s.lastLateness * math.Exp2(-(now-s.lastLatenessAt)/latenessHalfLife)
}

// refill adds the budgets that have become available since the last call.
func (s *Scheduler) refill(now float64) {
	elapsed := max(now-s.updatedAt, 0)
	s.updatedAt = now
	s.cpuBudget = min(s.cpuBudget+elapsed*s.limits.CPU, s.limits.CPU*s.limits.Burst)
	s.byteBudget = min(s.byteBudget+elapsed*s.limits.Bytes, s.limits.Bytes*s.limits.Burst)
}

// Next returns the index of the job to start now, or -1 and the seconds after which to call Next again. +Inf means not
// before another method has been called.
func (s *Scheduler) Next(now float64) (index int, wait float64) {
	s.refill(now)
	running, busyResources := 0, map[string]bool{}
	for i := range s.jobs {
		if j := &s.jobs[i]; j.running {
			running++
			busyResources[j.Resource] = j.Resource != ""
		}
	}
	best, wait := -1, math.Inf(1)
	debtSeconds := s.debt()
	timersOnTime := s.limits.MaxLateness <= 0 || s.lateness(now) <= s.limits.MaxLateness
	for i := range s.jobs {
		j := &s.jobs[i]
		switch {
		case j.running || s.shuttingDown && !j.RunAtShutdown || math.IsInf(j.due, 1):
			continue
		case now < j.due:
			wait = min(wait, j.due-now)
			continue
		case running >= s.limits.MaxParallel || busyResources[j.Resource]:
			continue // Done makes the caller call Next again
		}
		if !s.pastDeadline(j, now) && !s.shuttingDown {
			if debtSeconds > 0 || !timersOnTime {
				delay := max(debtSeconds, 0)
				if !timersOnTime {
					delay = max(delay, latenessCheckInterval)
				}
				if j.Deadline > 0 {
					delay = min(delay, j.due+j.Deadline-now)
				}
				wait = min(wait, max(delay, 1e-3))
				continue
			}
		}
		if best < 0 || s.precedes(j, &s.jobs[best], now) {
			best = i
		}
	}
	if best < 0 {
		return -1, wait
	}
	j := &s.jobs[best]
	j.running, j.startedAt, j.canceled, j.requestedAgain = true, now, false, false
	if j.due = math.Inf(1); j.Interval > 0 && !s.shuttingDown { // the run at shutdown is the last
		j.due = now + j.Interval
	}
	return best, 0
}

// debt returns the seconds until no budget is negative.
func (s *Scheduler) debt() (seconds float64) {
	if s.limits.CPU > 0 && s.cpuBudget < 0 {
		seconds = -s.cpuBudget / s.limits.CPU
	}
	if s.limits.Bytes > 0 && s.byteBudget < 0 {
		seconds = max(seconds, -s.byteBudget/s.limits.Bytes)
	}
	return seconds
}

// pastDeadline reports whether a due job has waited as long as its deadline allows.
func (s *Scheduler) pastDeadline(j *job, now float64) bool {
	return j.Deadline > 0 && now >= j.due+j.Deadline
}

// precedes reports whether a runs before b. Jobs past their deadline come first, earliest deadline first; the others
// are ordered by priority and then by due time.
func (s *Scheduler) precedes(a, b *job, now float64) bool {
	aPastDeadline, bPastDeadline := s.pastDeadline(a, now), s.pastDeadline(b, now)
	switch {
	case aPastDeadline != bPastDeadline:
		return aPastDeadline
	case aPastDeadline && a.due+a.Deadline != b.due+b.Deadline:
		return a.due+a.Deadline < b.due+b.Deadline
	case a.Priority != b.Priority:
		return a.Priority > b.Priority
	}
	return a.due < b.due
}

// Done reports the end of a run and what it used. A failed job is retried after a delay that doubles with each failure,
// with jitter.
func (s *Scheduler) Done(now float64, index int, usage Usage) {
	s.refill(now)
	s.cpuBudget -= usage.CPU
	s.byteBudget -= usage.Bytes
	j := &s.jobs[index]
	j.running = false
	switch {
	case usage.Failed:
		j.failures++
		j.retryDelay = min(max(2*j.retryDelay, minRetryDelay), maxRetryDelay)
		j.due = now + j.retryDelay*(0.5+0.5*s.random.Float64())
	case j.requestedAgain:
		j.failures, j.retryDelay, j.due = 0, 0, now
	default:
		j.failures, j.retryDelay = 0, 0
	}
}

// Failures returns how many runs of a job have failed in a row.
func (s *Scheduler) Failures(index int) int { return s.jobs[index].failures }

// Expired returns the jobs whose runs have reached their timeout and have to be canceled, each run once, and the
// seconds until the next run may reach its timeout.
func (s *Scheduler) Expired(now float64) (expired []int, wait float64) {
	wait = math.Inf(1)
	for i := range s.jobs {
		j := &s.jobs[i]
		switch {
		case !j.running || j.canceled || j.Timeout <= 0:
		case now >= j.startedAt+j.Timeout:
			j.canceled = true
			expired = append(expired, i)
		default:
			wait = min(wait, j.startedAt+j.Timeout-now)
		}
	}
	return expired, wait
}

// Shutdown stops scheduling, except for the last runs of the jobs with RunAtShutdown, which are due at once and ignore
// the budgets. It returns the runs to cancel, lowest priority first, because the last runs need their slots.
func (s *Scheduler) Shutdown(now float64) (cancel []int) {
	s.shuttingDown = true
	for i := range s.jobs {
		j := &s.jobs[i]
		if j.RunAtShutdown {
			j.requestedAgain, j.failures = j.running, 0
			if j.due = now; j.running {
				j.due = math.Inf(1) // due when the current run ends
			}
		} else if j.running && !j.canceled {
			j.canceled = true
			cancel = append(cancel, i)
		}
	}
	slices.SortStableFunc(cancel, func(a, b int) int { return s.jobs[a].Priority - s.jobs[b].Priority })
	return cancel
}

// Finished reports whether Shutdown was called and no job is running or still has to run. A last run that failed is not
// retried.
func (s *Scheduler) Finished() bool {
	for i := range s.jobs {
		if j := &s.jobs[i]; j.running || j.RunAtShutdown && !math.IsInf(j.due, 1) && j.failures == 0 {
			return false
		}
	}
	return s.shuttingDown
}
