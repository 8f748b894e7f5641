package cluster

// This file shows a run's moments to its watcher.

import (
	"math"
	"slices"

	"dunereach/admission"
)

// On is what a moment shows.
type On uint8

// The kinds of moments.
const (
	Taken On = iota
	Sent
	SendEnded
	Final
	Reniced
	Listed
)

var onNames = [...]string{"take", "send", "end", "answer", "priority", "list"}

func (o On) String() string { return onNames[o] }

// OnOf is a kind of moment by its name.
func OnOf(name string) (On, bool) {
	k := slices.Index(onNames[:], name)
	return On(max(k, 0)), k >= 0
}

// Moment is one decision, or what led to one, and what its router knew then. It is good for the call that shows it.
type Moment struct {
	On     On
	Now    float64
	Router int
	Try    *Try
	Stream *Stream

	Engine   int             // -1: none
	Told     admission.State // of that engine, as the router was told
	ToldFor  float64         // seconds since; 0 for what it knew from the start
	Age      float64         // seconds since the engine's late start, as told; negative: it started long ago
	True     admission.State
	Number   int // of the send, from 0
	Out      int // sends of this command that are out, this one not counted
	EngineN  int // queries on that engine, of all routers
	Level    int // priority
	End      admission.End
	Further  int           // sends beyond the first of each command, this one counted, in the budget's window
	Commands int           // taken in that window
	LastEnd  admission.End // of the command's send before this one, where Number is over 0
	First    int           // engine of the command's first send, -1: none yet
	Since    float64       // seconds since that left
	Recent   float64       // core seconds that all routers have sent to this engine in the last FallWindow, this send counted
	KeyOpen  bool          // an earlier command of the same key is open or out
	Waited   float64       // since it was taken
	Rev      uint32        // of the list in hand
	Listed   int           // engines ready there
}

// show lets the watcher see a moment.
func (t *Town) show(on On, f *flight, end ...admission.End) {
	if t.set.Watch == nil {
		return
	}
	r := t.routers[f.router]
	try := &t.Tries[f.try]
	m := Moment{On: on, Now: t.now, Router: f.router, Try: try, Stream: &t.set.Streams[try.Stream], Engine: f.engine,
		Number: f.number, Level: f.level, Waited: t.now - try.Taken, Age: -1, Rev: r.follower.Revision()}
	if f.out {
		m.Out = 1
	}
	if len(end) > 0 {
		m.End = end[0]
	}
	if k := f.engine; k >= 0 {
		h := t.engines[k]
		m.Told, m.True, m.EngineN = r.told[k].state, h.state, h.Running()
		if at := r.told[k].at; !math.IsInf(at, -1) {
			m.ToldFor = t.now - at
		}
		for _, e := range r.follower.List() {
			if e.Server == h.id && e.ReadyAt > 0 {
				m.Age = t.now - e.ReadyAt
			}
		}
	}
	m.LastEnd, m.First, m.Since = f.ended, f.first, t.now-f.firstAt
	if on == Sent {
		h := t.engines[f.engine]
		h.given = append(h.given, given{t.now, try.Work})
		m.Recent = h.recent(t.now - t.set.Brain.FallWindow)
	}
	if window := t.set.Brain.BudgetWindow; window > 0 {
		m.Further, m.Commands = since(&r.further, t.now-window), since(&r.taken, t.now-window)
	}
	if try.Key != 0 && on == Sent {
		for _, o := range r.flights {
			other := &t.Tries[o.try]
			m.KeyOpen = m.KeyOpen || o.id < f.id && other.Key == try.Key && (!o.over || o.out)
		}
	}
	t.watch(&m)
}

func (t *Town) watch(m *Moment) {
	if !t.ended {
		t.ended = !t.set.Watch(m)
	}
}

// since counts what came after a time and forgets the rest.
func since(all *[]float64, from float64) int {
	n, _ := slices.BinarySearch(*all, from)
	*all = (*all)[n:]
	return len(*all)
}
