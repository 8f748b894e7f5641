package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"dunereach/fleet/agent"
	"dunereach/fleet/lease"
	"dunereach/fleet/registry"

	"github.com/anishathalye/porcupine"
)

// audit sees all processes at once, in true time, and knows none of their accounts.
type audit struct {
	w        *World
	err      error
	looks    int
	raft     int                          // messages between keepers
	requests int                          // of members
	acts     int                          // of owners, sent to keepers
	owners   map[string]map[uint64]string // who acted under each fence of a work
	highest  map[string]uint64
	inUse    map[string][]use   // by process and engine: in the last second
	dealt    map[uint32]float64 // when a part of an engine's was last in use
	worst    float64
	lostAt   map[string]float64 // work whose owner was lost, since when
	gaps     []float64
	prints   map[uint64][]byte
	twice    int
	history  []porcupine.Operation
	clients  int
	oldActs  int // notes under old fences that were refused
	gained   map[string]map[uint64]bool
	notes    map[string]noted // by keeper and work: as its record had them last
}

type noted struct{ index, fence uint64 }

type use struct {
	part  float64
	dealt bool
}

func (a *audit) begin(w *World) {
	a.w, a.owners, a.highest, a.inUse = w, map[string]map[uint64]string{}, map[string]uint64{}, map[string][]use{}
	a.dealt = map[uint32]float64{}
	a.notes = map[string]noted{}
	a.gained = map[string]map[uint64]bool{}
	a.lostAt, a.prints = map[string]float64{}, map[uint64][]byte{}
}

func (a *audit) fail(format string, args ...any) {
	if a.err == nil {
		a.err = fmt.Errorf("seed %d at %.3f: %s", a.w.file.Seed, a.w.now, fmt.Sprintf(format, args...))
	}
}

// op is one operation on a work as processes saw it: a gain of it under a fence, or a note under one.
type op struct {
	gain  bool
	work  string
	fence uint64
}

// act notes that a note is on its way; acted what was said of it. One that nobody heard of again may have come at any time.
func (a *audit) act(c *call) {
	c.act = -1
	if c.req.Action == nil || c.req.Action.Kind != "note" {
		return
	}
	a.acts++
	a.gain(c.req.Action.Task, c.req.Action.Fence)
	c.act = len(a.history)
	a.history = append(a.history, porcupine.Operation{ClientId: a.client(), Input: op{work: c.req.Action.Task, fence: c.req.Action.Fence}, Call: ticks(a.w.now),
		Output: "unknown", Return: math.MaxInt64})
}

func (a *audit) acted(c *call, err error) {
	var old *lease.StaleFenceError
	if c.act < 0 {
		return
	}
	h := &a.history[c.act]
	switch {
	case err == nil:
		h.Output, h.Return = "taken", ticks(a.w.now)
	case errors.As(err, &old) || errors.Is(err, registry.ErrFence):
		a.oldActs++
		h.Output, h.Return = "refused", ticks(a.w.now)
	}
}

// client of an operation: each its own, since a process may have several out.
func (a *audit) client() int {
	a.clients++
	return a.clients
}

func ticks(t float64) int64 { return int64(t * 1e6) }

// gains notes works that processes have under fences that were not seen before.
func (a *audit) gains() {
	for _, r := range a.w.members {
		if !r.up || r.m == nil {
			continue
		}
		for _, c := range r.m.Held() {
			a.gain(c.Task, c.Fence)
		}
	}
}

func (a *audit) gain(work string, fence uint64) {
	if a.gained[work] == nil {
		a.gained[work] = map[uint64]bool{}
	}
	if a.gained[work][fence] {
		return
	}
	a.gained[work][fence] = true
	a.history = append(a.history, porcupine.Operation{ClientId: a.client(), Input: op{true, work, fence}, Call: 0, // given at some time
		Output: "taken", Return: ticks(a.w.now)}) // before: its process may hear of it late
}

// model of one work: its fence. A note is taken under that one alone; a refusal is always right, as works are let go of too.
var model = porcupine.Model{
	Partition: func(all []porcupine.Operation) (parts [][]porcupine.Operation) {
		by := map[string][]porcupine.Operation{}
		for _, o := range all {
			w := o.Input.(op).work
			by[w] = append(by[w], o)
		}
		for _, w := range slices.Sorted(maps.Keys(by)) {
			parts = append(parts, by[w])
		}
		return parts
	},
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		s, o := state.(uint64), input.(op)
		switch {
		case o.gain:
			return o.fence > s, o.fence
		case output == "taken":
			return o.fence == s, s
		}
		return true, s
	},
}

// linear checks the history of all works.
func (a *audit) linear() error {
	if result := porcupine.CheckOperationsTimeout(model, a.history, 20*time.Second); result != porcupine.Ok {
		return fmt.Errorf("seed %d: the history of %d operations can't have happened one after another (%v)", a.w.file.Seed, len(a.history), result)
	}
	return nil
}

// traced sees acts at the moment that they are done.
func (a *audit) traced(r *router, t agent.Trace) {
	if t.Event != "act" {
		return
	}
	if t.Fence < a.highest[t.Task] {
		a.fail("%s/%d acts on %s under fence %d after %d", r.name, r.life, t.Task, t.Fence, a.highest[t.Task])
	}
	a.highest[t.Task] = t.Fence
}

// died tells that a process that owns works is being taken away.
func (a *audit) died(r *router) {
	if r == nil || r.m == nil || !r.up {
		return
	}
	for _, work := range a.w.works() {
		if a.w.owns(r, work) {
			a.lostAt[work] = a.w.now
		}
	}
}

const (
	lookEvery = 0.05
	window    = 1.0 // seconds of a cold engine's limit
)

// look at everything once.
func (a *audit) look() {
	w := a.w
	a.looks++
	a.gains()
	for _, work := range w.works() {
		owner := ""
		for _, r := range w.members {
			// A stopped one too: what it would do on waking it would do by its clock of now.
			if !r.up || r.m == nil {
				continue
			}
			fence, ok := r.m.Permit(r.clock.at(w.now), work)
			if !ok {
				continue
			}
			if owner != "" {
				a.twice++
				a.fail("%s: both %s and %s may act", work, owner, r.name)
			}
			owner = r.name
			life := fmt.Sprint(r.name, "/", r.life)
			if a.owners[work] == nil {
				a.owners[work] = map[uint64]string{}
			}
			if was := a.owners[work][fence]; was != "" && was != life {
				a.fail("%s: fence %d was %s's and is %s's", work, fence, was, life)
			}
			a.owners[work][fence] = life
			if fence < a.highest[work] {
				a.fail("%s: %s acts under fence %d after %d", work, life, fence, a.highest[work])
			}
			if at, lost := a.lostAt[work]; lost && !r.stopped {
				a.gaps = append(a.gaps, w.now-at)
				delete(a.lostAt, work)
			}
			a.highest[work] = fence
		}
	}
	for _, e := range w.engines {
		sum := 0.0
		for _, r := range w.members {
			key := fmt.Sprint(r.name, "/", e.ID, "/", r.life)
			if r.up && r.m != nil {
				part, ok := r.m.WarmUpShare(r.clock.at(w.now), e.ID, e.Start)
				if !ok {
					part = 1 / float64(w.file.Routers)
				}
				if ok && part > 0 {
					a.dealt[e.ID] = w.now
				}
				a.inUse[key] = append(a.inUse[key], use{part, ok})
			}
			for life := r.life; life > 0 && life+2 > r.life; life-- {
				key := fmt.Sprint(r.name, "/", e.ID, "/", life)
				used := a.inUse[key]
				if life < r.life || !r.up {
					used = append(used, use{}) // it is dead: what was dealt to it counts for the window
				}
				if n := int(math.Ceil(window / lookEvery)); len(used) > n {
					used = used[len(used)-n:]
				}
				a.inUse[key] = used
				most := 0.0
				for _, u := range used {
					// That a router which is killed and back within the window has its equal part twice is so without a
					// fleet as well: the module's margin is for it.
					if u.dealt || life == r.life {
						most = max(most, u.part)
					}
				}
				sum += most
			}
		}
		if a.worst = max(a.worst, sum); sum > 1+1e-9 {
			for _, r := range w.members {
				w.log("%s %v", r.name, a.inUse[fmt.Sprint(r.name, "/", e.ID, "/", r.life)])
			}
			a.fail("engine %d: %.4f of its allowance may be in use", e.ID, sum)
		}
	}
	for _, k := range w.keepers {
		if !k.up || a.looks%4 != 0 {
			continue
		}
		r := k.k.Registry()
		for _, x := range r.Tasks() { // a note under an old fence that was taken shows here, whoever heard of it
			key := k.name + x.Name
			if was := a.notes[key]; x.AnnotatedAt > was.index && x.AnnotationFence < was.fence {
				a.fail("%s: %s has a note under fence %d after %d", k.name, x.Name, x.AnnotationFence, was.fence)
			}
			a.notes[key] = noted{x.AnnotatedAt, x.Fence}
		}
		text, err := r.Snapshot()
		if err != nil {
			a.fail("%s: %v", k.name, err)
			continue
		}
		if was := a.prints[r.Index()]; was != nil && !bytes.Equal(was, text) {
			a.fail("%s: another record than others had after entry %d", k.name, r.Index())
		}
		a.prints[r.Index()] = text
	}
}

// Figures of a run.
type Figures struct {
	Seconds                                     float64
	Worst                                       float64 // most of an engine's allowance that may have been in use at a moment
	Twice                                       int     // moments with two owners
	Looks, Raft, Requests, Acts                 int
	OldTried                                    int // letters and notes under an old fence that came to a keeper or a receiver
	Operations                                  int // in the history that was checked
	Refused, Late, ToldOld, Dealt, Gained, Lost int
	Gaps                                        []float64 // from an owner's loss to the next one's first act
}

// Figures so far.
func (w *World) Figures() Figures {
	a := &w.audit
	f := Figures{Seconds: w.now, Worst: a.worst, Twice: a.twice, Looks: a.looks, Raft: a.raft, Requests: a.requests, Acts: a.acts, Gaps: a.gaps}
	f.OldTried, f.Operations = a.oldActs, len(a.history)
	for _, k := range w.keepers {
		f.OldTried += k.k.RejectedStale
	}
	for _, r := range w.members {
		if r.m == nil {
			continue
		}
		s := r.m.Stats
		f.OldTried += s.RejectedStale
		f.Refused, f.Late, f.ToldOld, f.Dealt = f.Refused+s.RejectedStale, f.Late+s.LateGrants, f.ToldOld+s.StaleNotices, f.Dealt+s.Granted
		f.Gained, f.Lost = f.Gained+s.Gained, f.Lost+s.Lost
	}
	return f
}

// Whole tells what is not as it should be when no fault is left: a work without an owner, or parts that don't move.
func (w *World) Whole() error {
	if w.audit.err != nil {
		return w.audit.err
	}
	if err := w.audit.linear(); err != nil {
		return err
	}
	if len(w.keepers) == 0 {
		return nil
	}
	for _, work := range w.works() {
		held := false
		for _, r := range w.members {
			held = held || r.up && !r.stopped && w.owns(r, work)
		}
		if !held {
			return fmt.Errorf("seed %d: %s has no owner %.1f s after the last fault", w.file.Seed, work, w.file.Settle)
		}
	}
	for _, e := range w.engines {
		const late = 5.0 // seconds: a part that someone waits for stands empty until the last one's use has settled
		if w.now-w.audit.dealt[e.ID] > late {
			return fmt.Errorf("seed %d: no part of engine %d's allowance is dealt", w.file.Seed, e.ID)
		}
	}
	return nil
}
