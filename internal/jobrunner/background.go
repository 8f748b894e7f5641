// Package jobrunner runs the jobs that package background decides on: one goroutine keeps the plan, and each run has one of its own.
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

// Meter is what a run tells of itself.
type Meter struct{ bytes float64 }

// Wrote so many bytes.
func (m *Meter) Wrote(n int) { m.bytes += float64(n) }

// Work of one run. It should end soon once its context does.
type Work func(ctx context.Context, m *Meter) error

// Failed is told of a run that failed and how often in a row it has, and of the first that succeeds after (err nil).
type Failed func(job string, times int, err error)

type done struct {
	job  int
	used jobs.Used
	err  error
}

// Runner runs jobs. Jobs are added before Run.
type Runner struct {
	plan   *jobs.Plan
	start  time.Time
	names  []string
	works  []Work
	failed Failed
	asks   chan int
	dones  chan done
	late   atomic.Uint64 // the most lateness since it was last looked at, as bits
}

// New runner.
func New(t jobs.Terms, failed Failed) *Runner {
	return &Runner{plan: jobs.New(t, 0, rand.Uint64()), start: time.Now(), failed: failed, asks: make(chan int, 16), dones: make(chan done)}
}

func (r *Runner) now() float64 { return time.Since(r.start).Seconds() }

// Add a job. ask asks for a run and never waits: one that finds the queue full is lost, as many are asked for then.
func (r *Runner) Add(j jobs.Job, w Work) (ask func()) {
	k := r.plan.Add(r.now(), j)
	r.names, r.works = append(r.names, j.Name), append(r.works, w)
	return func() {
		select {
		case r.asks <- k:
		default:
		}
	}
}

// Late tells how late the process's own timers were, in seconds. It may be called from any goroutine and never waits.
func (r *Runner) Late(by float64) {
	for {
		was := r.late.Load()
		if !(by > math.Float64frombits(was)) || r.late.CompareAndSwap(was, math.Float64bits(by)) {
			return
		}
	}
}

// Run until the context ends; then what asks for a last run gets it, and Run ends when all have ended (whole), or patience is over.
func (r *Runner) Run(ctx context.Context, patience time.Duration) (whole bool) {
	cancels := map[int]context.CancelFunc{}
	all, stop := context.WithCancel(context.Background())
	defer stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	asked, over := ctx.Done(), (<-chan time.Time)(nil)
	for {
		if by := math.Float64frombits(r.late.Swap(0)); by > 0 {
			r.plan.Late(r.now(), by)
		}
		cancel, wait := r.plan.Cancel(r.now())
		for _, k := range cancel {
			cancels[k]()
		}
		for {
			k, next := r.plan.Next(r.now())
			if k < 0 {
				wait = min(wait, next)
				break
			}
			run, end := context.WithCancel(all)
			cancels[k] = end
			go func() { r.dones <- r.run(run, k) }() // Run takes its word, or ends with the process
		}
		if r.plan.Over() {
			return true
		}
		timer.Reset(time.Duration(min(wait, 3600) * 1e9))
		select {
		case <-timer.C:
		case k := <-r.asks:
			r.plan.Ask(r.now(), k)
		case d := <-r.dones:
			cancels[d.job]()
			delete(cancels, d.job)
			fails := r.plan.Fails(d.job)
			r.plan.Done(r.now(), d.job, d.used)
			if n := r.plan.Fails(d.job); n > 0 || fails > 0 {
				r.failed(r.names[d.job], n, d.err)
			}
		case <-asked:
			for _, k := range r.plan.End(r.now()) {
				cancels[k]()
			}
			asked, over = nil, time.After(patience)
		case <-over:
			go func() { // what still runs has an ear to talk to, and ends with the process
				for range r.dones {
				}
			}()
			return false
		}
	}
}

// run one job, on a thread of its own for as long as it takes, so that its processor time can be told.
func (r *Runner) run(ctx context.Context, k int) done {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	before := cpu()
	var m Meter
	err := r.works[k](ctx, &m)
	return done{k, jobs.Used{CPU: cpu() - before, Bytes: m.bytes, Failed: err != nil}, err}
}

// cpu of this thread, in seconds.
func cpu() float64 {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_THREAD, &u) != nil {
		return 0
	}
	return float64(u.Utime.Sec+u.Stime.Sec) + float64(u.Utime.Usec+u.Stime.Usec)/1e6
}
