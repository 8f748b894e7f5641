// Package jobs schedules a process's background jobs: by priority, within budgets of processor time and bytes, and one at a
// time where they share a resource. Jobs wait while the process's own timers are late, but no longer than their deadline.
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
	Interval      float64 // seconds from the start of a run until the next is due; 0: runs only on request
	Deadline      float64 // seconds after the due time from which budgets and lateness are ignored; 0: never
	Timeout       float64 // seconds after which a run is canceled; 0: no timeout
	RunAtShutdown bool    // the job runs a last time when the process shuts down
}

// Limits hold for all jobs together.
type Limits struct {
	CPU         float64 // seconds of processor time per second; 0: unlimited
	Bytes       float64 // bytes written per second; 0: unlimited
	Burst       float64 // seconds of both budgets that may be saved up; 0: two
	Parallel    int     // jobs that may run at the same time; 0: one
	MaxLateness float64 // seconds that the process's timers may be late before jobs wait; 0: unlimited
}

// Usage is what one run used.
type Usage struct {
	CPU    float64 // seconds of processor time
	Bytes  float64 // written
	Failed bool
}

// Constants of retries and of the wait for calm.
const (
	minRetryDelay     = 1.0  // seconds after the first failure: a disk may have been full for a moment
	maxRetryDelay     = 60.0 // seconds: how long an operator waits at most for a retry after mending the cause
	latenessHalfLife  = 0.5  // seconds in which an observed lateness decays to half: several rounds of the timers
	calmCheckInterval = 0.05 // seconds until lateness is checked again
)

type job struct {
	Job
	due        float64 // +Inf: not scheduled
	startedAt  float64
	running    bool
	requested  bool // again, while it was running
	retryDelay float64
	failures   int
	canceled   bool
}

// Scheduler holds the state of all jobs. It is not safe for concurrent use.
type Scheduler struct {
	limits         Limits
	jobs           []job
	random         *rand.Rand
	cpu            float64 // seconds of the budget that are left; negative: debt
	bytes          float64 // likewise
	updatedAt      float64
	lastLateness   float64
	lastLatenessAt float64
	shuttingDown   bool
}

// New returns a scheduler with no jobs at the given time. The seed drives the spread of start times and retries.
func New(limits Limits, now float64, seed uint64) *Scheduler {
	if limits.Burst <= 0 {
		limits.Burst = 2
	}
	limits.Parallel = max(limits.Parallel, 1)
	return &Scheduler{
		limits:    limits,
		random:    rand.New(rand.NewPCG(seed, 1)),
		cpu:       limits.CPU * limits.Burst,
		bytes:     limits.Bytes * limits.Burst,
		updatedAt: now,
	}
}

// Add adds a job and returns its index. A job with an interval is first due at a random time within it, so that processes which
// start together don't run it at the same moment.
func (p *Scheduler) Add(now float64, j Job) (index int) {
	due := math.Inf(1)
	if j.Interval > 0 {
		due = now + j.Interval*p.random.Float64()
	}
	p.jobs = append(p.jobs, job{Job: j, due: due})
	return len(p.jobs) - 1
}

// Request makes a job due now. A job that is running runs again afterwards; one that failed keeps its retry delay.
func (p *Scheduler) Request(now float64, k int) {
	switch j := &p.jobs[k]; {
	case j.running:
		j.requested = true // what it was requested for may have come after this run began
	case j.failures == 0:
		j.due = min(j.due, now)
	}
}

// ObserveLateness reports by how many seconds the process's own timers were late.
func (p *Scheduler) ObserveLateness(now, by float64) {
	if by >= p.lateness(now) {
		p.lastLateness, p.lastLatenessAt = by, now
	}
}

// lateness returns the largest recent lateness, which decays with time.
func (p *Scheduler) lateness(now float64) float64 {
	return p.lastLateness * math.Exp2(-(now-p.lastLatenessAt)/latenessHalfLife)
}

// refill adds to the budgets what has become available since the last call.
func (p *Scheduler) refill(now float64) {
	elapsed := max(now-p.updatedAt, 0)
	p.updatedAt = now
	p.cpu = min(p.cpu+elapsed*p.limits.CPU, p.limits.CPU*p.limits.Burst)
	p.bytes = min(p.bytes+elapsed*p.limits.Bytes, p.limits.Bytes*p.limits.Burst)
}

// Next returns the index of the job that starts now, or -1 and the seconds after which to call it again; +Inf: not before another
// method has been called.
func (p *Scheduler) Next(now float64) (index int, wait float64) {
	p.refill(now)
	running, busy := 0, map[string]bool{}
	for n := range p.jobs {
		if j := &p.jobs[n]; j.running {
			running++
			busy[j.Resource] = j.Resource != ""
		}
	}
	best, wait := -1, math.Inf(1)
	owed := p.debt()
	calm := p.limits.MaxLateness <= 0 || p.lateness(now) <= p.limits.MaxLateness
	for n := range p.jobs {
		j := &p.jobs[n]
		switch {
		case j.running || p.shuttingDown && !j.RunAtShutdown || math.IsInf(j.due, 1):
			continue
		case now < j.due:
			wait = min(wait, j.due-now)
			continue
		case running >= p.limits.Parallel || busy[j.Resource]:
			continue // Done wakes it
		}
		if !p.pastDeadline(j, now) && !p.shuttingDown {
			if owed > 0 || !calm {
				until := max(owed, 0)
				if !calm {
					until = max(until, calmCheckInterval)
				}
				if j.Deadline > 0 {
					until = min(until, j.due+j.Deadline-now)
				}
				wait = min(wait, max(until, 1e-3))
				continue
			}
		}
		if best < 0 || p.precedes(j, &p.jobs[best], now) {
			best = n
		}
	}
	if best < 0 {
		return -1, wait
	}
	j := &p.jobs[best]
	j.running, j.startedAt, j.canceled, j.requested = true, now, false, false
	if j.due = math.Inf(1); j.Interval > 0 && !p.shuttingDown { // the last run has no successor
		j.due = now + j.Interval
	}
	return best, 0
}

// debt returns the seconds until neither budget is negative any more.
func (p *Scheduler) debt() (seconds float64) {
	if p.limits.CPU > 0 && p.cpu < 0 {
		seconds = -p.cpu / p.limits.CPU
	}
	if p.limits.Bytes > 0 && p.bytes < 0 {
		seconds = max(seconds, -p.bytes/p.limits.Bytes)
	}
	return seconds
}

// pastDeadline reports whether a due job has waited as long as its deadline allows.
func (p *Scheduler) pastDeadline(j *job, now float64) bool {
	return j.Deadline > 0 && now >= j.due+j.Deadline
}

// precedes reports whether a runs before b: jobs past their deadline first, the longest past it before others; then by priority;
// then by due time.
func (p *Scheduler) precedes(a, b *job, now float64) bool {
	x, y := p.pastDeadline(a, now), p.pastDeadline(b, now)
	switch {
	case x != y:
		return x
	case x && a.due+a.Deadline != b.due+b.Deadline:
		return a.due+a.Deadline < b.due+b.Deadline
	case a.Priority != b.Priority:
		return a.Priority > b.Priority
	}
	return a.due < b.due
}

// Done reports the end of a run and what it used. A failed job is retried after a delay that doubles each time, with jitter.
func (p *Scheduler) Done(now float64, k int, u Usage) {
	p.refill(now)
	p.cpu -= u.CPU
	p.bytes -= u.Bytes
	j := &p.jobs[k]
	j.running = false
	switch {
	case u.Failed:
		j.failures++
		j.retryDelay = min(max(2*j.retryDelay, minRetryDelay), maxRetryDelay)
		j.due = now + j.retryDelay*(0.5+0.5*p.random.Float64())
	case j.requested:
		j.failures, j.retryDelay, j.due = 0, 0, now
	default:
		j.failures, j.retryDelay = 0, 0
	}
}

// Failures returns how many runs of a job have failed in a row.
func (p *Scheduler) Failures(k int) int { return p.jobs[k].failures }

// Expired returns the jobs whose runs have reached their timeout and are to be canceled, each once, and the seconds until the next
// one may.
func (p *Scheduler) Expired(now float64) (all []int, wait float64) {
	wait = math.Inf(1)
	for k := range p.jobs {
		j := &p.jobs[k]
		switch {
		case !j.running || j.canceled || j.Timeout <= 0:
		case now >= j.startedAt+j.Timeout:
			j.canceled = true
			all = append(all, k)
		default:
			wait = min(wait, j.startedAt+j.Timeout-now)
		}
	}
	return all, wait
}

// Shutdown stops scheduling, but for the last runs of the jobs with RunAtShutdown, which are due at once and ignore the budgets. It
// returns the runs to cancel, lowest priority first, since the last runs need their slots.
func (p *Scheduler) Shutdown(now float64) (cancel []int) {
	p.shuttingDown = true
	for k := range p.jobs {
		j := &p.jobs[k]
		if j.RunAtShutdown {
			j.requested, j.failures = j.running, 0
			if j.due = now; j.running {
				j.due = math.Inf(1) // once the current run is done
			}
		} else if j.running && !j.canceled {
			j.canceled = true
			cancel = append(cancel, k)
		}
	}
	slices.SortStableFunc(cancel, func(a, b int) int { return p.jobs[a].Priority - p.jobs[b].Priority })
	return cancel
}

// Finished reports whether Shutdown was called and no job runs or has to run any more. A last run that failed is not retried.
func (p *Scheduler) Finished() bool {
	for k := range p.jobs {
		if j := &p.jobs[k]; j.running || j.RunAtShutdown && !math.IsInf(j.due, 1) && j.failures == 0 {
			return false
		}
	}
	return p.shuttingDown
}
