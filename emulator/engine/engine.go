// Package engine is a model of one query engine: cores shared by priority, threads that crowd, memory that runs short,
// notes of progress. It is told the time and knows no clock, so the same model serves on virtual time and, with a driver
// that sleeps, on sockets. Equal calls give equal events.
//
// Queries share the cores in the ratio 1 : 4 : 8 : 16 of their levels, none more than its threads (generalized processor
// sharing: Parekh, Gallager 1993). Beyond the knee more threads do less work in all. A query takes memory as it goes, all
// of it by half its work; where there is none left the lowest levels, and there the latest, go without: they spill what
// they lack to disk, and the rest of their work takes longer for it. A query can't be cancelled. Times are seconds, work
// core seconds, memory MB.
package engine

import (
	"cmp"
	"math"
	"slices"
)

// Settings of one engine.
type Settings struct {
	Cores    float64
	Speed    float64 // core seconds that a core does in a second, 0: 1
	Sessions int     // queries at once, 0: any
	Knee     float64 // threads a core beyond which they crowd, 0: never
	Thrash   float64 // what is lost of the whole for as many threads again
	Memory   float64 // 0: any
	Spill    float64 // work that a query with no memory does besides its own, in its own
	Notes    float64 // seconds between notes of progress, 0: none
}

// Query is what an engine is sent.
type Query struct {
	ID      uint64
	Work    float64 // of all threads
	Threads float64
	Memory  float64
	Level   int // 0 to 3
}

// What an event tells.
type What uint8

// What happens to a query.
const (
	Done     What = iota
	Progress      // Value: share done
	Spills        // Value: MB missing
)

// Event of one query.
type Event struct {
	At    float64
	ID    uint64
	What  What
	Value float64
}

type running struct {
	Query
	left   float64
	rate   float64
	holds  float64 // MB
	spills float64 // MB that it wanted and did not get
	told   bool    // that it spills
	noteAt float64
}

// Engine is one engine's state.
type Engine struct {
	set    Settings
	now    float64
	runs   []running // in the order that they came
	events []Event
	stale  bool // rates have to be worked out anew
	order  []int
	Did    float64 // core seconds done, spilling left out
	Wasted float64 // by spilling
	pace   float64
	Paused bool // it does nothing and says nothing

	next       float64 // what Next worked out last
	nextHolds  bool    // nothing has changed since
	nextPaused bool    // what Paused was then
}

// New is an idle engine.
func New(set Settings, now float64) *Engine {
	set.Speed = cmp.Or(set.Speed, 1)
	return &Engine{set: set, now: now, pace: 1}
}

// Running is how many queries it has.
func (e *Engine) Running() int { return len(e.runs) }

// Submit gives it a query, unless it is full.
func (e *Engine) Submit(now float64, q Query) bool {
	e.Advance(now)
	if e.set.Sessions > 0 && len(e.runs) >= e.set.Sessions {
		return false
	}
	q.Threads = max(q.Threads, 1)
	e.runs = append(e.runs, running{Query: q, left: max(q.Work, 1e-6), noteAt: now + cmp.Or(e.set.Notes, math.Inf(1))})
	e.stale = true
	return true
}

// Pace changes the speed, as a factor on what was set.
func (e *Engine) Pace(now, factor float64) {
	e.Advance(now)
	e.pace, e.stale = factor, true
}

// Renice gives a query another level. One that is not there is no fault.
func (e *Engine) Renice(now float64, id uint64, level int) {
	e.Advance(now)
	for k := range e.runs {
		if r := &e.runs[k]; r.ID == id {
			r.Level, e.stale = min(max(level, 0), 3), true
		}
	}
}

// Next is when it has something to tell, if nothing else comes; +Inf: never.
func (e *Engine) Next() float64 {
	e.share()
	if len(e.events) > 0 {
		return e.now
	}
	if e.nextHolds && e.nextPaused == e.Paused {
		return e.next
	}
	e.next, e.nextHolds, e.nextPaused = e.soonest(), true, e.Paused
	return e.next
}

// soonest works out what Next tells where no event waits.
func (e *Engine) soonest() float64 {
	next := math.Inf(1)
	if e.Paused {
		return next
	}
	for k := range e.runs {
		r := &e.runs[k]
		if r.rate > 0 {
			next = min(next, e.now+r.left/r.rate)
		}
		next = min(next, r.noteAt)
	}
	return next
}

// Advance runs it up to a time.
func (e *Engine) Advance(now float64) {
	for e.now < now {
		e.share()
		step := now
		if !e.Paused {
			for k := range e.runs {
				r := &e.runs[k]
				if r.rate > 0 {
					step = min(step, e.now+r.left/r.rate)
				}
				step = min(step, max(r.noteAt, e.now))
			}
		}
		e.run(step)
	}
}

// Events are what has happened since the last call, in order. The list is good until then.
func (e *Engine) Events() []Event {
	all := e.events
	e.events = e.events[len(e.events):]
	return all
}

func (e *Engine) run(to float64) {
	d := to - e.now
	e.now, e.nextHolds = to, false
	if e.Paused {
		for k := range e.runs {
			e.runs[k].noteAt += d // or it would lie behind
		}
		return
	}
	e.stale = e.stale || e.set.Memory > 0
	const none = 1e-9 // core seconds: rounding
	kept := e.runs[:0]
	for k := range e.runs {
		r := e.runs[k]
		did := r.rate * d
		r.left -= did
		e.Did += did
		if r.spills > 0 {
			e.Wasted += did * e.set.Spill * r.spills / r.Memory
			if !r.told {
				r.told = true
				e.events = append(e.events, Event{to, r.ID, Spills, r.spills})
			}
		}
		if r.left <= none {
			e.events = append(e.events, Event{to, r.ID, Done, r.Work})
			e.stale = true
			continue
		}
		if to >= r.noteAt {
			r.noteAt += e.set.Notes
			e.events = append(e.events, Event{to, r.ID, Progress, 1 - r.left/r.Work})
		}
		kept = append(kept, r)
	}
	e.runs = kept
}

var weights = [...]float64{1, 4, 8, 16}

// share gives each query its rate.
func (e *Engine) share() {
	if !e.stale {
		return
	}
	e.stale, e.nextHolds = false, false
	threads := 0.0
	for k := range e.runs {
		threads += e.runs[k].Threads
	}
	e.grow()
	whole := e.set.Cores
	if over := threads/(max(e.set.Knee, 1e-9)*e.set.Cores) - 1; e.set.Knee > 0 && over > 0 {
		whole /= 1 + e.set.Thrash*over
	}
	// Filled like water: those whose threads are fewer than their share leave the rest to the others.
	e.order = e.order[:0]
	sum := 0.0
	for k := range e.runs {
		e.order = append(e.order, k)
		sum += weights[e.runs[k].Level] * e.runs[k].Threads
	}
	slices.SortStableFunc(e.order, func(a, b int) int { return weightsOf(&e.runs[b]) - weightsOf(&e.runs[a]) })
	for _, k := range e.order {
		r := &e.runs[k]
		w := weights[r.Level] * r.Threads
		cores := min(r.Threads, whole*w/sum)
		whole, sum = whole-cores, sum-w
		r.rate = cores * e.set.Speed * e.pace
		if r.spills > 0 {
			r.rate /= 1 + e.set.Spill*r.spills/r.Memory
		}
	}
}

func weightsOf(r *running) int { return int(weights[r.Level]) }

// grow gives queries the memory that they want by now, the highest level first, and there the earliest. Where there is none
// left, lower levels lose what they hold to higher ones.
func (e *Engine) grow() {
	if e.set.Memory <= 0 {
		return
	}
	free := e.set.Memory
	for k := range e.runs {
		free -= e.runs[k].holds
	}
	for level := len(weights) - 1; level >= 0; level-- {
		for k := range e.runs {
			r := &e.runs[k]
			if r.Level != level {
				continue
			}
			const whole = 0.5 // of the work, by when it has all its memory
			wants := max(r.Memory*min(1, (1-r.left/r.Work)/whole)-r.holds-r.spills, 0)
			gets := max(min(wants, free), 0)
			free -= gets
			gets += e.steal(level, wants-gets)
			r.holds, r.spills = r.holds+gets, r.spills+wants-gets
		}
	}
}

// steal takes memory from lower levels, the latest first.
func (e *Engine) steal(level int, wants float64) (gets float64) {
	for below := 0; below < level && gets < wants; below++ {
		for k := len(e.runs) - 1; k >= 0 && gets < wants; k-- {
			if r := &e.runs[k]; r.Level == below {
				some := min(r.holds, wants-gets)
				r.holds, r.spills, gets = r.holds-some, r.spills+some, gets+some
			}
		}
	}
	return gets
}
