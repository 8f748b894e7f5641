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

var decisionNames = [...]string{"take", "send", "end", "answer", "priority", "list"}

func (o On) String() string { return decisionNames[o] }

// OnOf is a kind of moment by its name.
func OnOf(name string) (On, bool) {
	k := slices.Index(decisionNames[:], name)
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

// observe lets the watcher see a moment.
func (sim *Town) observe(on On, active *activeRequest, end ...admission.End) {
	if sim.settings.Watch == nil {
		return
	}
	r := sim.routers[active.router]
	request := &sim.Tries[active.requestIndex]
	m := Moment{On: on, Now: sim.now, Router: active.router, Try: request, Stream: &sim.settings.Streams[request.Stream], Engine: active.server,
		Number: active.attempt, Level: active.priority, Waited: sim.now - request.Taken, Age: -1, Rev: r.follower.Revision()}
	if active.outstanding {
		m.Out = 1
	}
	if len(end) > 0 {
		m.End = end[0]
	}
	if k := active.server; k >= 0 {
		model := sim.servers[k]
		m.Told, m.True, m.EngineN = r.serverStates[k].state, model.state, model.Running()
		if at := r.serverStates[k].at; !math.IsInf(at, -1) {
			m.ToldFor = sim.now - at
		}
		for _, e := range r.follower.List() {
			if e.Server == model.discoveryID && e.ReadyAt > 0 {
				m.Age = sim.now - e.ReadyAt
			}
		}
	}
	m.LastEnd, m.First, m.Since = active.lastEnd, active.firstServer, sim.now-active.firstSentAt
	if on == Sent {
		model := sim.servers[active.server]
		model.recentWork = append(model.recentWork, sentWork{sim.now, request.Work})
		m.Recent = model.recentWorkSince(sim.now - sim.settings.Brain.FallWindow)
	}
	if window := sim.settings.Brain.BudgetWindow; window > 0 {
		m.Further, m.Commands = countSince(&r.retryTimes, sim.now-window), countSince(&r.requestTimes, sim.now-window)
	}
	if request.Key != 0 && on == Sent {
		for _, o := range r.requests {
			other := &sim.Tries[o.requestIndex]
			m.KeyOpen = m.KeyOpen || o.id < active.id && other.Key == request.Key && (!o.finished || o.outstanding)
		}
	}
	sim.callWatch(&m)
}

func (sim *Town) callWatch(m *Moment) {
	if !sim.stopped {
		sim.stopped = !sim.settings.Watch(m)
	}
}

// countSince counts what came after a time and forgets the rest.
func countSince(times *[]float64, from float64) int {
	n, _ := slices.BinarySearch(*times, from)
	*times = (*times)[n:]
	return len(*times)
}
