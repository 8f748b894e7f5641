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
func (t *Town) observe(on On, f *activeRequest, end ...admission.End) {
	if t.settings.Watch == nil {
		return
	}
	r := t.routers[f.router]
	request := &t.Tries[f.requestIndex]
	m := Moment{On: on, Now: t.now, Router: f.router, Try: request, Stream: &t.settings.Streams[request.Stream], Engine: f.server,
		Number: f.attempt, Level: f.priority, Waited: t.now - request.Taken, Age: -1, Rev: r.follower.Revision()}
	if f.outstanding {
		m.Out = 1
	}
	if len(end) > 0 {
		m.End = end[0]
	}
	if k := f.server; k >= 0 {
		h := t.servers[k]
		m.Told, m.True, m.EngineN = r.serverStates[k].state, h.state, h.Running()
		if at := r.serverStates[k].since; !math.IsInf(at, -1) {
			m.ToldFor = t.now - at
		}
		for _, e := range r.follower.List() {
			if e.Server == h.discoveryID && e.ReadyAt > 0 {
				m.Age = t.now - e.ReadyAt
			}
		}
	}
	m.LastEnd, m.First, m.Since = f.lastEnd, f.firstServer, t.now-f.firstSentAt
	if on == Sent {
		h := t.servers[f.server]
		h.recentWork = append(h.recentWork, sentWork{t.now, request.Work})
		m.Recent = h.recentWorkSince(t.now - t.settings.Brain.FallWindow)
	}
	if window := t.settings.Brain.BudgetWindow; window > 0 {
		m.Further, m.Commands = countSince(&r.retryTimes, t.now-window), countSince(&r.requestTimes, t.now-window)
	}
	if request.Key != 0 && on == Sent {
		for _, active := range r.requests {
			other := &t.Tries[active.requestIndex]
			m.KeyOpen = m.KeyOpen || active.id < f.id && other.Key == request.Key && (!active.finished || active.outstanding)
		}
	}
	t.callWatch(&m)
}

func (t *Town) callWatch(m *Moment) {
	if !t.stopped {
		t.stopped = !t.settings.Watch(m)
	}
}

// countSince counts what came after a time and forgets the rest.
func countSince(times *[]float64, from float64) int {
	n, _ := slices.BinarySearch(*times, from)
	*times = (*times)[n:]
	return len(*times)
}
