// Package engine models one database server: cores shared by priority, contention between threads, limited memory and
// progress reports. The model has no clock: callers pass the time, so that the same model serves in virtual time and,
// with a driver that sleeps, behind sockets. Equal calls give equal events.
//
// Queries share the cores with weights of 1, 4, 8 and 16 for the four priority levels, and no query gets more cores
// than it has threads (generalized processor sharing: Parekh, Gallager 1993). More threads than the knee allows reduce
// the total throughput. A query's memory grows in proportion to its progress up to half of its work, when it holds all
// of it. When memory runs out, queries of the lowest level, and among these the latest, lose theirs: they spill the
// missing part to disk, and the rest of their work takes longer. A query can't be cancelled. Times are in seconds, work
// in core seconds and memory in MB.
package engine

import (
	"cmp"
	"math"
	"slices"
)

// Settings configures one server.
type Settings struct {
	Cores            float64
	Speed            float64 // core seconds per second that one core does, 0: 1
	MaxQueries       int     // most queries at once, 0: unlimited
	Knee             float64 // threads per core above which they contend, 0: no contention
	ContentionLoss   float64 // throughput lost to contention: with 1+x times as many threads as at the knee it is divided by 1+Thrash*x
	Memory           float64 // 0: unlimited
	SpillOverhead    float64 // extra work of a query that gets no memory at all, as a multiple of its own work
	ProgressInterval float64 // seconds between progress reports, 0: none
}

// Query is a query to run.
type Query struct {
	ID       uint64
	Work     float64 // total over all threads
	Threads  float64
	Memory   float64
	Priority int // priority, 0 to 3
}

// EventKind is the kind of an event.
type EventKind uint8

// The kinds of events.
const (
	Completed EventKind = iota
	Progress            // Value: share of the work that is done
	Spilled             // Value: missing memory in MB
)

// Event reports what happened to a query.
type Event struct {
	At    float64
	ID    uint64
	Kind  EventKind
	Value float64
}

type running struct {
	Query
	remaining      float64
	rate           float64
	memoryHeld     float64 // MB
	memorySpilled  float64 // MB that it needed and did not get
	spillReported  bool    // a Spilled event was sent
	nextProgressAt float64
}

// Engine is the state of one server.
type Engine struct {
	settings    Settings
	now         float64
	queries     []running // in order of arrival
	events      []Event
	ratesStale  bool // updateRates has to compute the rates again
	order       []int
	DoneWork    float64 // core seconds done, without the overhead of spilling
	WastedWork  float64 // core seconds lost to spilling
	speedFactor float64
	Paused      bool // no progress and no events

	cachedNext       float64 // latest result of nextEventTime
	cachedNextValid  bool    // nothing has changed since
	cachedNextPaused bool    // value of Paused at that time
}

// New returns an idle server.
func New(settings Settings, now float64) *Engine {
	settings.Speed = cmp.Or(settings.Speed, 1)
	return &Engine{settings: settings, now: now, speedFactor: 1}
}

// Running returns the number of queries.
func (e *Engine) Running() int { return len(e.queries) }

// Submit starts a query and reports false if the server is full.
func (e *Engine) Submit(now float64, q Query) bool {
	e.Advance(now)
	if e.settings.MaxQueries > 0 && len(e.queries) >= e.settings.MaxQueries {
		return false
	}
	q.Threads = max(q.Threads, 1)
	e.queries = append(e.queries, running{Query: q, remaining: max(q.Work, 1e-6), nextProgressAt: now + cmp.Or(e.settings.ProgressInterval, math.Inf(1))})
	e.ratesStale = true
	return true
}

// SetSpeed sets the speed, as a factor on the configured one.
func (e *Engine) SetSpeed(now, factor float64) {
	e.Advance(now)
	e.speedFactor, e.ratesStale = factor, true
}

// SetPriority changes the priority level of a query. It ignores a query that is not running.
func (e *Engine) SetPriority(now float64, id uint64, level int) {
	e.Advance(now)
	for k := range e.queries {
		if r := &e.queries[k]; r.ID == id {
			r.Priority, e.ratesStale = min(max(level, 0), 3), true
		}
	}
}

// Next returns the time of the next event if no other call changes anything; +Inf: never.
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

// nextEventTime computes the result of Next when no event is waiting to be read.
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

// Advance runs the model up to a time.
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

// Events returns the events since the last call, in order. The slice is valid until the next call.
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
			// A pause delays the reports; their times would otherwise fall behind the current time.
			e.queries[k].nextProgressAt += elapsed
		}
		return
	}
	e.ratesStale = e.ratesStale || e.settings.Memory > 0
	const roundingError = 1e-9 // in core seconds; a query with less work left is done
	kept := e.queries[:0]
	for k := range e.queries {
		r := e.queries[k]
		done := r.rate * elapsed
		r.remaining -= done
		e.DoneWork += done
		if r.memorySpilled > 0 {
			e.WastedWork += done * e.settings.SpillOverhead * r.memorySpilled / r.Memory
			if !r.spillReported {
				r.spillReported = true
				e.events = append(e.events, Event{to, r.ID, Spilled, r.memorySpilled})
			}
		}
		if r.remaining <= roundingError {
			e.events = append(e.events, Event{to, r.ID, Completed, r.Work})
			e.ratesStale = true
			continue
		}
		if to >= r.nextProgressAt {
			r.nextProgressAt += e.settings.ProgressInterval
			e.events = append(e.events, Event{to, r.ID, Progress, 1 - r.remaining/r.Work})
		}
		kept = append(kept, r)
	}
	e.queries = kept
}

var weights = [...]float64{1, 4, 8, 16}

// updateRates computes the rate of each query.
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
		coresLeft /= 1 + e.settings.ContentionLoss*crowding
	}
	// Water-filling: queries with fewer threads than their share of the cores leave the rest to the others.
	e.order = e.order[:0]
	weightSum := 0.0
	for k := range e.queries {
		e.order = append(e.order, k)
		weightSum += weights[e.queries[k].Priority] * e.queries[k].Threads
	}
	slices.SortStableFunc(e.order, func(a, b int) int { return levelWeight(&e.queries[b]) - levelWeight(&e.queries[a]) })
	for _, k := range e.order {
		r := &e.queries[k]
		w := weights[r.Priority] * r.Threads
		cores := min(r.Threads, coresLeft*w/weightSum)
		coresLeft, weightSum = coresLeft-cores, weightSum-w
		r.rate = cores * e.settings.Speed * e.speedFactor
		if r.memorySpilled > 0 {
			r.rate /= 1 + e.settings.SpillOverhead*r.memorySpilled/r.Memory
		}
	}
}

func levelWeight(r *running) int { return int(weights[r.Priority]) }

// allocateMemory gives queries the memory that they need for their progress, in order of priority level, the highest
// first, and then of arrival. When none is left, queries of lower levels lose memory to those of higher levels.
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
			if r.Priority != level {
				continue
			}
			const fullMemoryShare = 0.5 // share of a query's work after which it needs all of its memory
			missing := max(r.Memory*min(1, (1-r.remaining/r.Work)/fullMemoryShare)-r.memoryHeld-r.memorySpilled, 0)
			granted := max(min(missing, free), 0)
			free -= granted
			granted += e.reclaimMemory(level, missing-granted)
			r.memoryHeld, r.memorySpilled = r.memoryHeld+granted, r.memorySpilled+missing-granted
		}
	}
}

// reclaimMemory takes memory from queries of lower levels, the lowest level and there the latest query first.
func (e *Engine) reclaimMemory(level int, missing float64) (reclaimed float64) {
	for below := 0; below < level && reclaimed < missing; below++ {
		for k := len(e.queries) - 1; k >= 0 && reclaimed < missing; k-- {
			if r := &e.queries[k]; r.Priority == below {
				taken := min(r.memoryHeld, missing-reclaimed)
				r.memoryHeld, r.memorySpilled, reclaimed = r.memoryHeld-taken, r.memorySpilled+taken, reclaimed+taken
			}
		}
	}
	return reclaimed
}
