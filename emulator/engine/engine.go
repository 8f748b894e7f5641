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
	remaining      float64
	rate           float64
	memoryHeld     float64 // MB
	memorySpilled  float64 // MB that it wanted and did not get
	spillReported  bool    // that it spills
	nextProgressAt float64
}

// Engine is one engine's state.
type Engine struct {
	settings    Settings
	now         float64
	queries     []running // in the order that they came
	events      []Event
	ratesStale  bool // rates have to be worked out anew
	order       []int
	Did         float64 // core seconds done, spilling left out
	Wasted      float64 // by spilling
	speedFactor float64
	Paused      bool // it does nothing and says nothing

	cachedNext       float64 // what Next worked out last
	cachedNextValid  bool    // nothing has changed since
	cachedNextPaused bool    // what Paused was then
}

// New is an idle engine.
func New(set Settings, now float64) *Engine {
	set.Speed = cmp.Or(set.Speed, 1)
	return &Engine{settings: set, now: now, speedFactor: 1}
}

// Running is how many queries it has.
func (e *Engine) Running() int { return len(e.queries) }

// Submit gives it a query, unless it is full.
func (e *Engine) Submit(now float64, q Query) bool {
	e.Advance(now)
	if e.settings.Sessions > 0 && len(e.queries) >= e.settings.Sessions {
		return false
	}
	q.Threads = max(q.Threads, 1)
	e.queries = append(e.queries, running{Query: q, remaining: max(q.Work, 1e-6), nextProgressAt: now + cmp.Or(e.settings.Notes, math.Inf(1))})
	e.ratesStale = true
	return true
}

// Pace changes the speed, as a factor on what was set.
func (e *Engine) Pace(now, factor float64) {
	e.Advance(now)
	e.speedFactor, e.ratesStale = factor, true
}

// Renice gives a query another level. One that is not there is no fault.
func (e *Engine) Renice(now float64, id uint64, level int) {
	e.Advance(now)
	for k := range e.queries {
		if r := &e.queries[k]; r.ID == id {
			r.Level, e.ratesStale = min(max(level, 0), 3), true
		}
	}
}

// Next is when it has something to tell, if nothing else comes; +Inf: never.
func (e *Engine) Next() float64 {
	e.updateRates()
	if len(e.events) > 0 {
		return e.now
	}
	if e.cachedNextValid && e.cachedNextPaused == e.Paused {
		return e.cachedNext
	}
	e.cachedNext, e.cachedNextValid, e.cachedNextPaused = e.nextEventTime(), true, e.Paused
	return e.cachedNext
}

// nextEventTime works out what Next tells where no event waits.
func (e *Engine) nextEventTime() float64 {
	next := math.Inf(1)
	if e.Paused {
		return next
	}
	for k := range e.queries {
		r := &e.queries[k]
		if r.rate > 0 {
			next = min(next, e.now+r.remaining/r.rate)
		}
		next = min(next, r.nextProgressAt)
	}
	return next
}

// Advance runs it up to a time.
func (e *Engine) Advance(now float64) {
	for e.now < now {
		e.updateRates()
		step := now
		if !e.Paused {
			for k := range e.queries {
				r := &e.queries[k]
				if r.rate > 0 {
					step = min(step, e.now+r.remaining/r.rate)
				}
				step = min(step, max(r.nextProgressAt, e.now))
			}
		}
		e.runUntil(step)
	}
}

// Events are what has happened since the last call, in order. The list is good until then.
func (e *Engine) Events() []Event {
	all := e.events
	e.events = e.events[len(e.events):]
	return all
}

func (e *Engine) runUntil(to float64) {
	elapsed := to - e.now
	e.now, e.cachedNextValid = to, false
	if e.Paused {
		for k := range e.queries {
			e.queries[k].nextProgressAt += elapsed // or it would lie behind
		}
		return
	}
	e.ratesStale = e.ratesStale || e.settings.Memory > 0
	const roundingError = 1e-9 // core seconds: rounding
	kept := e.queries[:0]
	for k := range e.queries {
		r := e.queries[k]
		done := r.rate * elapsed
		r.remaining -= done
		e.Did += done
		if r.memorySpilled > 0 {
			e.Wasted += done * e.settings.Spill * r.memorySpilled / r.Memory
			if !r.spillReported {
				r.spillReported = true
				e.events = append(e.events, Event{to, r.ID, Spills, r.memorySpilled})
			}
		}
		if r.remaining <= roundingError {
			e.events = append(e.events, Event{to, r.ID, Done, r.Work})
			e.ratesStale = true
			continue
		}
		if to >= r.nextProgressAt {
			r.nextProgressAt += e.settings.Notes
			e.events = append(e.events, Event{to, r.ID, Progress, 1 - r.remaining/r.Work})
		}
		kept = append(kept, r)
	}
	e.queries = kept
}

var weights = [...]float64{1, 4, 8, 16}

// updateRates gives each query its rate.
func (e *Engine) updateRates() {
	if !e.ratesStale {
		return
	}
	e.ratesStale, e.cachedNextValid = false, false
	threads := 0.0
	for k := range e.queries {
		threads += e.queries[k].Threads
	}
	e.allocateMemory()
	coresLeft := e.settings.Cores
	if crowding := threads/(max(e.settings.Knee, 1e-9)*e.settings.Cores) - 1; e.settings.Knee > 0 && crowding > 0 {
		coresLeft /= 1 + e.settings.Thrash*crowding
	}
	// Filled like water: those whose threads are fewer than their share leave the rest to the others.
	e.order = e.order[:0]
	weightSum := 0.0
	for k := range e.queries {
		e.order = append(e.order, k)
		weightSum += weights[e.queries[k].Level] * e.queries[k].Threads
	}
	slices.SortStableFunc(e.order, func(a, b int) int { return levelWeight(&e.queries[b]) - levelWeight(&e.queries[a]) })
	for _, k := range e.order {
		r := &e.queries[k]
		w := weights[r.Level] * r.Threads
		cores := min(r.Threads, coresLeft*w/weightSum)
		coresLeft, weightSum = coresLeft-cores, weightSum-w
		r.rate = cores * e.settings.Speed * e.speedFactor
		if r.memorySpilled > 0 {
			r.rate /= 1 + e.settings.Spill*r.memorySpilled/r.Memory
		}
	}
}

func levelWeight(r *running) int { return int(weights[r.Level]) }

// allocateMemory gives queries the memory that they want by now, the highest level first, and there the earliest. Where there is none
// left, lower levels lose what they hold to higher ones.
func (e *Engine) allocateMemory() {
	if e.settings.Memory <= 0 {
		return
	}
	free := e.settings.Memory
	for k := range e.queries {
		free -= e.queries[k].memoryHeld
	}
	for level := len(weights) - 1; level >= 0; level-- {
		for k := range e.queries {
			r := &e.queries[k]
			if r.Level != level {
				continue
			}
			const fullMemoryShare = 0.5 // of the work, by when it has all its memory
			missing := max(r.Memory*min(1, (1-r.remaining/r.Work)/fullMemoryShare)-r.memoryHeld-r.memorySpilled, 0)
			granted := max(min(missing, free), 0)
			free -= granted
			granted += e.reclaimMemory(level, missing-granted)
			r.memoryHeld, r.memorySpilled = r.memoryHeld+granted, r.memorySpilled+missing-granted
		}
	}
}

// reclaimMemory takes memory from lower levels, the latest first.
func (e *Engine) reclaimMemory(level int, missing float64) (reclaimed float64) {
	for below := 0; below < level && reclaimed < missing; below++ {
		for k := len(e.queries) - 1; k >= 0 && reclaimed < missing; k-- {
			if r := &e.queries[k]; r.Level == below {
				taken := min(r.memoryHeld, missing-reclaimed)
				r.memoryHeld, r.memorySpilled, reclaimed = r.memoryHeld-taken, r.memorySpilled+taken, reclaimed+taken
			}
		}
	}
	return reclaimed
}
