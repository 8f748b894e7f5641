package cluster

// This file reports the run's events to the observer.

import (
	"math"
	"slices"

	"dunereach/admission"
)

// ObservationKind is the kind of an observation.
type ObservationKind uint8

// The kinds of observations.
const (
	RequestReceived ObservationKind = iota
	AttemptSent
	AttemptEnded
	RequestFinished
	PriorityChanged
	ListUpdated
)

var observationNames = [...]string{"take", "send", "end", "answer", "priority", "list"}

func (o ObservationKind) String() string { return observationNames[o] }

// ParseObservationKind returns the kind of observation with the given name.
func ParseObservationKind(name string) (ObservationKind, bool) {
	k := slices.Index(observationNames[:], name)
	return ObservationKind(max(k, 0)), k >= 0
}

// Observation is one decision or the event that led to it, with what the router knew at that time. It is valid only during
// the call that passes it.
type Observation struct {
	Kind    ObservationKind
	Now     float64
	Router  int
	Request *Request
	Stream  *Stream

	Server               int             // -1: none
	ListedState          admission.State // state of that server in the router's list
	ListedStateAge       float64         // seconds since the router learned that state; 0 if it has known the state from its start
	ServerAge            float64         // seconds since the server's start as listed; negative: it started long ago
	ActualState          admission.State
	Attempt              int // of the attempt, from 0
	OutstandingAttempts  int // outstanding attempts of this request, without this one
	ServerQueries        int // queries running on that server, from all routers
	Priority             int
	End                  admission.End
	Retries              int           // attempts after the first of each request in the budget's window, with this one
	Requests             int           // received in that window
	LastEnd              admission.End // result of the request's previous attempt, if Attempt is over 0
	FirstServer          int           // server of the request's first attempt, -1: none yet
	SinceFirstAttempt    float64       // seconds since the first attempt was sent
	RecentWork           float64       // core seconds that all routers have sent to this server in the last FallWindow, with this attempt
	EarlierKeyUnfinished bool          // an earlier request with the same key is unfinished or has an outstanding attempt
	Waited               float64       // seconds since the router received the request
	ListRevision         uint32        // revision of the router's current list
	ReadyListed          int           // ready servers in that list
}

// observe passes an observation to the configured function.
func (sim *Simulation) observe(on ObservationKind, active *activeRequest, end ...admission.End) {
	if sim.settings.Observe == nil {
		return
	}
	r := sim.routers[active.router]
	request := &sim.Requests[active.requestIndex]
	m := Observation{Kind: on, Now: sim.now, Router: active.router, Request: request, Stream: &sim.settings.Streams[request.Stream], Server: active.server,
		Attempt: active.attempt, Priority: active.priority, Waited: sim.now - request.ReceivedAt, ServerAge: -1, ListRevision: r.follower.Revision()}
	if active.outstanding {
		m.OutstandingAttempts = 1
	}
	if len(end) > 0 {
		m.End = end[0]
	}
	if k := active.server; k >= 0 {
		model := sim.servers[k]
		m.ListedState, m.ActualState, m.ServerQueries = r.serverStates[k].state, model.state, model.Running()
		if at := r.serverStates[k].at; !math.IsInf(at, -1) {
			m.ListedStateAge = sim.now - at
		}
		for _, e := range r.follower.List() {
			if e.Server == model.discoveryID && e.ReadyAt > 0 {
				m.ServerAge = sim.now - e.ReadyAt
			}
		}
	}
	m.LastEnd, m.FirstServer, m.SinceFirstAttempt = active.lastEnd, active.firstServer, sim.now-active.firstSentAt
	if on == AttemptSent {
		model := sim.servers[active.server]
		model.recentWork = append(model.recentWork, sentWork{sim.now, request.Work})
		m.RecentWork = model.recentWorkSince(sim.now - sim.settings.Controller.FallWindow)
	}
	if window := sim.settings.Controller.BudgetWindow; window > 0 {
		m.Retries, m.Requests = countSince(&r.retryTimes, sim.now-window), countSince(&r.requestTimes, sim.now-window)
	}
	if request.Key != 0 && on == AttemptSent {
		for _, o := range r.requests {
			other := &sim.Requests[o.requestIndex]
			m.EarlierKeyUnfinished = m.EarlierKeyUnfinished || o.id < active.id && other.Key == request.Key && (!o.finished || o.outstanding)
		}
	}
	sim.callWatch(&m)
}

func (sim *Simulation) callWatch(m *Observation) {
	if !sim.stopped {
		sim.stopped = !sim.settings.Observe(m)
	}
}

// countSince counts the times from a given one on and drops the earlier ones.
func countSince(times *[]float64, from float64) int {
	n, _ := slices.BinarySearch(*times, from)
	*times = (*times)[n:]
	return len(*times)
}
