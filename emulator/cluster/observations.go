package cluster

// This file reports the run's events to the observer.

import (
	"math"
	"slices"

	"dunereach/admission"
)

// On is the kind of an observation.
type On uint8

// The kinds of observations.
const (
	Taken On = iota
	Sent
	SendEnded
	Final
	Reniced
	Listed
)

var observationNames = [...]string{"take", "send", "end", "answer", "priority", "list"}

func (o On) String() string { return observationNames[o] }

// OnOf returns the kind of observation with the given name.
func OnOf(name string) (On, bool) {
	k := slices.Index(observationNames[:], name)
	return On(max(k, 0)), k >= 0
}

// Moment is one decision or the event that led to it, with what the router knew at that time. It is valid only during
// the call that passes it.
type Moment struct {
	On     On
	Now    float64
	Router int
	Try    *Try
	Stream *Stream

	Engine   int             // -1: none
	Told     admission.State // state of that server in the router's list
	ToldFor  float64         // seconds since the router learned that state; 0 if it has known the state from its start
	Age      float64         // seconds since the server's start as listed; negative: it started long ago
	True     admission.State
	Number   int // of the attempt, from 0
	Out      int // outstanding attempts of this request, without this one
	EngineN  int // queries running on that server, from all routers
	Level    int
	End      admission.End
	Further  int           // attempts after the first of each request in the budget's window, with this one
	Commands int           // received in that window
	LastEnd  admission.End // result of the request's previous attempt, if Attempt is over 0
	First    int           // server of the request's first attempt, -1: none yet
	Since    float64       // seconds since the first attempt was sent
	Recent   float64       // core seconds that all routers have sent to this server in the last FallWindow, with this attempt
	KeyOpen  bool          // an earlier request with the same key is unfinished or has an outstanding attempt
	Waited   float64       // seconds since the router received the request
	Rev      uint32        // revision of the router's current list
	Listed   int           // ready servers in that list
}

// observe passes an observation to the configured function.
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

// countSince counts the times from a given one on and drops the earlier ones.
func countSince(times *[]float64, from float64) int {
	n, _ := slices.BinarySearch(*times, from)
	*times = (*times)[n:]
	return len(*times)
}
