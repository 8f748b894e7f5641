// Package jobrunner runs the background jobs that package jobs schedules: one goroutine owns the scheduler, and each run has a
// goroutine of its own.
package jobrunner

import (
	"context"
	"math"
	"math/rand/v2"
	"runtime"
	"sync/atomic"
	"time"

	"dunereach/jobs"

	"golang.org/x/sys/unix"
)

// Meter collects what a run reports about itself.
type Meter struct{ bytes float64 }

// AddBytes adds bytes written.
func (m *Meter) AddBytes(n int) { m.bytes += float64(n) }

// Task does one run of a job. It returns soon after its context is done.
type Task func(ctx context.Context, m *Meter) error

// ReportFailure is called with each failed run and the number of failures in a row, and with the first success after (err nil).
type ReportFailure func(job string, times int, err error)

// completion is the end of one run.
type completion struct {
	job   int
	usage jobs.Usage
	err   error
}

// maxRequests bounds the queue of requested runs.
const maxRequests = 16

// Runner runs jobs. All jobs are added before Run is called.
type Runner struct {
	scheduler     *jobs.Scheduler
	start         time.Time
	names         []string
	tasks         []Task
	reportFailure ReportFailure
	requests      chan int
	completions   chan completion
	lateness      atomic.Uint64 // the largest since it was last read, as the bits of a float64
}

// New returns a runner without jobs.
func New(limits jobs.Limits, report ReportFailure) *Runner {
	return &Runner{
		scheduler:     jobs.New(limits, 0, rand.Uint64()),
		start:         time.Now(),
		reportFailure: report,
		requests:      make(chan int, maxRequests),
		completions:   make(chan completion),
	}
}

func (r *Runner) now() float64 { return time.Since(r.start).Seconds() }

// Add adds a job and returns a function that requests a run of it. That function never blocks: it drops the request where the queue
// is full, since as many runs are requested by then.
func (r *Runner) Add(j jobs.Job, task Task) (request func()) {
	k := r.scheduler.Add(r.now(), j)
	r.names, r.tasks = append(r.names, j.Name), append(r.tasks, task)
	return func() {
		select {
		case r.requests <- k:
		default:
		}
	}
}

// ObserveLateness reports by how many seconds the process's own timers were late. It is safe for concurrent use and never blocks.
func (r *Runner) ObserveLateness(seconds float64) {
	for {
		previous := r.lateness.Load()
		if !(seconds > math.Float64frombits(previous)) || r.lateness.CompareAndSwap(previous, math.Float64bits(seconds)) {
			return
		}
	}
}

// Run runs jobs until the context is done, and then runs those with RunAtShutdown a last time. It returns true when all runs have ended,
// or false if the timeout after the context's end passes first.
func (r *Runner) Run(ctx context.Context, timeout time.Duration) (finished bool) {
	cancels := map[int]context.CancelFunc{}
	all, stop := context.WithCancel(context.Background())
	defer stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	shutdown, timedOut := ctx.Done(), (<-chan time.Time)(nil)
	for {
		if late := math.Float64frombits(r.lateness.Swap(0)); late > 0 {
			r.scheduler.ObserveLateness(r.now(), late)
		}
		cancel, wait := r.scheduler.Expired(r.now())
		for _, k := range cancel {
			cancels[k]()
		}
		for {
			k, next := r.scheduler.Next(r.now())
			if k < 0 {
				wait = min(wait, next)
				break
			}
			run, end := context.WithCancel(all)
			cancels[k] = end
			go func() { r.completions <- r.run(run, k) }() // Run receives it, or the process ends
		}
		if r.scheduler.Finished() {
			return true
		}
		timer.Reset(time.Duration(min(wait, 3600) * 1e9))
		select {
		case <-timer.C:
		case k := <-r.requests:
			r.scheduler.Request(r.now(), k)
		case d := <-r.completions:
			cancels[d.job]()
			delete(cancels, d.job)
			failuresBefore := r.scheduler.Failures(d.job)
			r.scheduler.Done(r.now(), d.job, d.usage)
			if n := r.scheduler.Failures(d.job); n > 0 || failuresBefore > 0 {
				r.reportFailure(r.names[d.job], n, d.err)
			}
		case <-shutdown:
			for _, k := range r.scheduler.Shutdown(r.now()) {
				cancels[k]()
			}
			shutdown, timedOut = nil, time.After(timeout)
		case <-timedOut:
			go func() { // runs that go on must not block here; they end with the process
				for range r.completions {
				}
			}()
			return false
		}
	}
}

// run does one run of a job, on a thread of its own so that its processor time can be measured.
func (r *Runner) run(ctx context.Context, k int) completion {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	before := cpu()
	var m Meter
	err := r.tasks[k](ctx, &m)
	return completion{k, jobs.Usage{CPU: cpu() - before, Bytes: m.bytes, Failed: err != nil}, err}
}

// cpu returns the processor time of this thread, in seconds.
func cpu() float64 {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_THREAD, &u) != nil {
		return 0
	}
	return float64(u.Utime.Sec+u.Stime.Sec) + float64(u.Utime.Usec+u.Stime.Usec)/1e6
}
