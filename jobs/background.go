// Package jobs decides which of a process's background jobs runs when: by level, within budgets of processor time and bytes,
// one at a time where they share a resource, later while the process's own work is late, and all the same once a deadline is
// over. It does no I/O and knows no clock or goroutine: times are seconds of the caller's.
package jobs

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Job is one kind of work that is done again and again, or once asked for.
type Job struct {
	Name     string
	Level    int     // higher first
	Resource string  // jobs with the same one never run side by side, "": none
	Every    float64 // seconds from the start of a run to when the next is due, 0: only when asked for
	Deadline float64 // seconds after it was due from which it waits for no budget and for nobody's calm, 0: it always waits
	Limit    float64 // seconds that a run may take before it is cancelled, 0: any
	Last     bool    // it runs once more when the process ends
}

// Terms of all jobs together.
type Terms struct {
	CPU   float64 // seconds of processor time a second, 0: any
	Bytes float64 // a second, 0: any
	Burst float64 // seconds of both that may be saved up, 0: two
	Side  int     // jobs side by side, 0: one
	Late  float64 // seconds that the process's own timers may be late before jobs wait, 0: any
}

// Used is what a run took.
type Used struct {
	CPU    float64 // seconds
	Bytes  float64
	Failed bool
}

// How failures and lateness are counted.
const (
	firstPause = 1.0  // seconds after a failure: a disk that was full for a moment
	longPause  = 60.0 // at the most: an operator who has mended it waits no longer than this
	calms      = 0.5  // seconds in which lateness that was seen counts half: some rounds of the timers
	look       = 0.05 // seconds until it is looked again whether the process is calm
)

type job struct {
	Job
	due    float64 // +Inf: not asked for
	began  float64
	runs   bool
	asked  bool // again while it ran
	pause  float64
	fails  int
	cancel bool
}

// Plan is the state of all jobs. It is one goroutine's.
type Plan struct {
	terms  Terms
	jobs   []job
	rnd    *rand.Rand
	cpu    float64 // saved up, below zero: owed
	bytes  float64
	at     float64
	late   float64
	lateAt float64
	ending bool
}

// New plan with no jobs.
func New(t Terms, now float64, seed uint64) *Plan {
	if t.Burst <= 0 {
		t.Burst = 2
	}
	t.Side = max(t.Side, 1)
	p := &Plan{terms: t, at: now, rnd: rand.New(rand.NewPCG(seed, 1))}
	p.cpu, p.bytes = t.CPU*t.Burst, t.Bytes*t.Burst
	return p
}

// Add a job; one that comes again is first due within its time, by chance, so that many processes that start together don't all do
// it in the same moment.
func (p *Plan) Add(now float64, j Job) (k int) {
	due := math.Inf(1)
	if j.Every > 0 {
		due = now + j.Every*p.rnd.Float64()
	}
	p.jobs = append(p.jobs, job{Job: j, due: due})
	return len(p.jobs) - 1
}

// Ask for a run as soon as may be.
func (p *Plan) Ask(now float64, k int) {
	switch j := &p.jobs[k]; {
	case j.runs:
		j.asked = true // what it was asked for may have come after what it does now
	case j.fails == 0:
		j.due = min(j.due, now)
	}
}

// Late tells how late the process's own timers were.
func (p *Plan) Late(now, by float64) {
	if by >= p.lateness(now) {
		p.late, p.lateAt = by, now
	}
}

func (p *Plan) lateness(now float64) float64 {
	return p.late * math.Exp2(-(now-p.lateAt)/calms)
}

func (p *Plan) pass(now float64) {
	dt := max(now-p.at, 0)
	p.at = now
	p.cpu = min(p.cpu+dt*p.terms.CPU, p.terms.CPU*p.terms.Burst)
	p.bytes = min(p.bytes+dt*p.terms.Bytes, p.terms.Bytes*p.terms.Burst)
}

// Next is the job that starts now, -1: none. wait is after how long to look again, +Inf: not before something else happens.
func (p *Plan) Next(now float64) (k int, wait float64) {
	p.pass(now)
	running, busy := 0, map[string]bool{}
	for n := range p.jobs {
		if j := &p.jobs[n]; j.runs {
			running++
			busy[j.Resource] = j.Resource != ""
		}
	}
	best, wait := -1, math.Inf(1)
	owed := p.owed()
	calm := p.terms.Late <= 0 || p.lateness(now) <= p.terms.Late
	for n := range p.jobs {
		j := &p.jobs[n]
		switch {
		case j.runs || p.ending && !j.Last || math.IsInf(j.due, 1):
			continue
		case now < j.due:
			wait = min(wait, j.due-now)
			continue
		case running >= p.terms.Side || busy[j.Resource]:
			continue // Done tells
		}
		if !p.over(j, now) && !p.ending {
			if owed > 0 || !calm {
				until := max(owed, 0)
				if !calm {
					until = max(until, look)
				}
				if j.Deadline > 0 {
					until = min(until, j.due+j.Deadline-now)
				}
				wait = min(wait, max(until, 1e-3))
				continue
			}
		}
		if best < 0 || p.before(j, &p.jobs[best], now) {
			best = n
		}
	}
	if best < 0 {
		return -1, wait
	}
	j := &p.jobs[best]
	j.runs, j.began, j.cancel, j.asked = true, now, false, false
	if j.due = math.Inf(1); j.Every > 0 && !p.ending { // a last run has no next
		j.due = now + j.Every
	}
	return best, 0
}

// owed is after how many seconds both budgets are in credit again.
func (p *Plan) owed() (seconds float64) {
	if p.terms.CPU > 0 && p.cpu < 0 {
		seconds = -p.cpu / p.terms.CPU
	}
	if p.terms.Bytes > 0 && p.bytes < 0 {
		seconds = max(seconds, -p.bytes/p.terms.Bytes)
	}
	return seconds
}

// over: its deadline is.
func (p *Plan) over(j *job, now float64) bool { return j.Deadline > 0 && now >= j.due+j.Deadline }

// before: what is past its deadline comes first, the longest past; then the higher level; then what was due earlier.
func (p *Plan) before(a, b *job, now float64) bool {
	x, y := p.over(a, now), p.over(b, now)
	switch {
	case x != y:
		return x
	case x && a.due+a.Deadline != b.due+b.Deadline:
		return a.due+a.Deadline < b.due+b.Deadline
	case a.Level != b.Level:
		return a.Level > b.Level
	}
	return a.due < b.due
}

// Done tells what a run took. A job that failed is tried again after a pause that doubles, spread by chance.
func (p *Plan) Done(now float64, k int, u Used) {
	p.pass(now)
	p.cpu -= u.CPU
	p.bytes -= u.Bytes
	j := &p.jobs[k]
	j.runs = false
	switch {
	case u.Failed:
		j.fails++
		j.pause = min(max(2*j.pause, firstPause), longPause)
		j.due = now + j.pause*(0.5+0.5*p.rnd.Float64())
	case j.asked:
		j.fails, j.pause, j.due = 0, 0, now
	default:
		j.fails, j.pause = 0, 0
	}
}

// Fails is how many runs of a job have failed in a row.
func (p *Plan) Fails(k int) int { return p.jobs[k].fails }

// Cancel names the jobs whose runs have taken too long and are to be told so, each once. wait is until the next would be.
func (p *Plan) Cancel(now float64) (all []int, wait float64) {
	wait = math.Inf(1)
	for k := range p.jobs {
		j := &p.jobs[k]
		switch {
		case !j.runs || j.cancel || j.Limit <= 0:
		case now >= j.began+j.Limit:
			j.cancel = true
			all = append(all, k)
		default:
			wait = min(wait, j.began+j.Limit-now)
		}
	}
	return all, wait
}

// End has nothing start any more but the last run of what asks for one, at once and whatever the budgets say. cancel are the runs
// to be told to stop, the least important first: their place is needed.
func (p *Plan) End(now float64) (cancel []int) {
	p.ending = true
	for k := range p.jobs {
		j := &p.jobs[k]
		if j.Last {
			j.asked, j.fails = j.runs, 0
			if j.due = now; j.runs {
				j.due = math.Inf(1) // once what runs is done
			}
		} else if j.runs && !j.cancel {
			j.cancel = true
			cancel = append(cancel, k)
		}
	}
	slices.SortStableFunc(cancel, func(a, b int) int { return p.jobs[a].Level - p.jobs[b].Level })
	return cancel
}

// Over: the end was asked for, and nothing runs or has to run any more. A last run that failed is not tried again.
func (p *Plan) Over() bool {
	for k := range p.jobs {
		if j := &p.jobs[k]; j.runs || j.Last && !math.IsInf(j.due, 1) && j.fails == 0 {
			return false
		}
	}
	return p.ending
}
