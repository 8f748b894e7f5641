package fleet

// This file applies the events of a scenario.

import (
	"fmt"
	"slices"
	"strings"

	"dunereach/emulator/scenario"
	"dunereach/fleet/agent"
	"dunereach/fleet/coordinator"
)

// Leader returns the coordinator that considers itself the leader in the highest term, "" if there is none.
func (w *World) Leader() string {
	name, term := "", uint64(0)
	for _, k := range w.coordinators {
		if k.up && !k.stopped && k.node.IsLeader() && k.node.Status().Term > term {
			name, term = k.name, k.node.Status().Term
		}
	}
	return name
}

// Owner returns the router that considers itself the owner of the first task, "" if there is none.
func (w *World) Owner() string {
	for _, r := range w.routers {
		if r.up && r.member != nil && w.owns(r, w.tasks()[0]) {
			return r.name
		}
	}
	return ""
}

func (w *World) owns(r *routerProcess, task string) bool {
	_, ok := r.member.Permit(r.clock.at(w.now), task)
	return ok
}

func (w *World) tasks() (all []string) {
	for _, e := range w.servers {
		all = append(all, fmt.Sprintf("%s/%d@%.3f", agent.WarmUpKind, e.ID, e.Start))
	}
	return all
}

func (w *World) scheduleNextEvent() {
	if len(w.pendingEvents) == 0 {
		w.Quiet = true
		w.log("the script is over")
		return
	}
	e := w.pendingEvents[0]
	started := w.now
	var poll func()
	poll = func() {
		if !w.conditionMet(e.When) {
			if w.now-started > 60 {
				w.audit.fail("event %q %q: the condition that it waits for (%s) is not met", e.Do, e.Who, e.When)
				return
			}
			w.after(0.01, poll)
			return
		}
		w.after(e.After, func() {
			w.pendingEvents = w.pendingEvents[1:]
			w.playEvent(e)
			w.playNextEvent()
		})
	}
	poll()
}

func (w *World) conditionMet(condition string) bool {
	switch condition {
	case "owned", "dealt":
		for _, task := range w.tasks() {
			if !slices.ContainsFunc(w.routers, func(r *routerProcess) bool {
				return r.up && r.member != nil && w.owns(r, task) && (condition == "owned" || r.member.SharesInUse(r.clock.at(w.now), task) > 0)
			}) {
				return false
			}
		}
	case "moved":
		o := w.Owner()
		return o != "" && o != w.previousOwner
	case "lost":
		return w.Leader() == ""
	}
	return true
}

func (w *World) playEvent(e scenario.Event) {
	if o := w.Owner(); o != "" {
		w.previousOwner = o
	}
	targets := w.file.Whom(e.Who, w)
	if len(targets) == 0 && e.Do != "heal" {
		targets = nil
		w.log("%s %s: no process matches now", e.Do, e.Who)
	}
	w.log("%s %s %s", e.Do, strings.Join(targets, ","), e.To)
	for _, name := range targets {
		w.Do(e.Do, name)
	}
	switch e.Do {
	case "heal":
		clear(w.linksCut)
		clear(w.linksHeldUntil)
	case "cut", "hold":
		for _, from := range targets {
			for _, to := range w.file.Whom(e.To, w) {
				w.Link(e.Do, from, to, e.For)
				if e.Both {
					w.Link(e.Do, to, from, e.For)
				}
			}
		}
	}
}

// Link cuts the link from one process to another, or delays its messages for some seconds.
func (w *World) Link(kind, from, to string, seconds float64) {
	if kind == "cut" {
		w.linksCut[[2]string{from, to}] = true
	} else {
		w.linksHeldUntil[[2]string{from, to}] = w.now + seconds
	}
}

// Do applies a fault, or the end of one, to a process.
func (w *World) Do(action, name string) {
	p := w.processes[name]
	var k *coordinatorProcess
	var r *routerProcess
	for _, x := range w.coordinators {
		if x.process == p {
			k = x
		}
	}
	for _, x := range w.routers {
		if x.process == p {
			r = x
		}
	}
	switch action {
	case "stop":
		p.stopped = p.up
	case "continue":
		if p.stopped {
			p.stopped = false
			waiting := p.backlog
			p.backlog = nil
			for _, run := range waiting {
				w.runWhenActive(p, p.incarnation, run)
			}
		}
	case "kill":
		w.audit.recordOwnerStop(r)
		p.up, p.stopped = false, false
	case "end":
		if r != nil && p.up {
			w.audit.recordOwnerStop(r)
			w.sendRequests(r, r.member.Close(r.clock.at(w.now)))
			incarnation := p.incarnation
			p.exiting = true
			w.after(0.2, func() {
				if p.incarnation == incarnation {
					p.up = false
				}
			})
			return
		}
		p.up = false
	case "start":
		if p.up {
			if p.exiting { // retries until the process has ended
				w.after(0.05, func() { w.Do("start", name) })
			}
			return
		}
		if k != nil {
			w.startCoordinator(k)
		} else {
			w.startRouter(r)
		}
	case "full": // the process exits because its next write fails
		p.up, p.stopped = false, false
	case "release":
		w.lastRequestID++
		id, task := w.lastRequestID, w.tasks()[0]
		for _, x := range w.coordinators {
			if x.up && !x.stopped && x.node.IsLeader() {
				x.node.ExecuteOrder(x.clock.at(w.now), id, &coordinator.Order{Kind: "release", Task: task})
				w.processOutput(x)
			}
		}
	case "wipe":
		if r != nil {
			// Unlike the record of a clean shutdown, a lost folder does not say whether anything was relinquished.
			r.disk = agent.PersistentState{Relinquished: true}
		}
	}
}
