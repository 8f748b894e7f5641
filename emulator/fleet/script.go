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
func (w *Simulation) Leader() string {
	name, term := "", uint64(0)
	for _, k := range w.coordinators {
		if k.up && !k.stopped && k.node.IsLeader() && k.node.Status().Term > term {
			name, term = k.name, k.node.Status().Term
		}
	}
	return name
}

// Owner returns the router that considers itself the owner of the first task, "" if there is none.
func (w *Simulation) Owner() string {
	for _, r := range w.routers {
		if r.up && r.member != nil && w.owns(r, w.tasks()[0]) {
			return r.name
		}
	}
	return ""
}

func (w *Simulation) owns(r *routerProcess, task string) bool {
	_, ok := r.member.Permit(r.clock.at(w.now), task)
	return ok
}

func (w *Simulation) tasks() (all []string) {
	for _, e := range w.servers {
		all = append(all, fmt.Sprintf("%s/%d@%.3f", agent.WarmUpKind, e.ID, e.Start))
	}
	return all
}

func (w *Simulation) scheduleNextEvent() {
	if len(w.pendingEvents) == 0 {
		w.ScriptDone = true
		w.log("the script is over")
		return
	}
	e := w.pendingEvents[0]
	started := w.now
	var poll func()
	poll = func() {
		if !w.conditionMet(e.Condition) {
			if w.now-started > 60 {
				w.audit.fail("event %q %q: the condition that it waits for (%s) is not met", e.Action, e.Target, e.Condition)
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

func (w *Simulation) conditionMet(condition string) bool {
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

func (w *Simulation) playEvent(e scenario.Event) {
	if o := w.Owner(); o != "" {
		w.previousOwner = o
	}
	targets := w.file.Resolve(e.Target, w)
	if len(targets) == 0 && e.Action != "heal" {
		targets = nil
		w.log("%s %s: no process matches now", e.Action, e.Target)
	}
	w.log("%s %s %s", e.Action, strings.Join(targets, ","), e.LinkEnd)
	for _, name := range targets {
		w.ApplyFault(e.Action, name)
	}
	switch e.Action {
	case "heal":
		clear(w.linksCut)
		clear(w.linksHeldUntil)
	case "cut", "hold":
		for _, from := range targets {
			for _, to := range w.file.Resolve(e.LinkEnd, w) {
				w.ImpairLink(e.Action, from, to, e.Duration)
				if e.BothWays {
					w.ImpairLink(e.Action, to, from, e.Duration)
				}
			}
		}
	}
}

// ImpairLink cuts the link from one process to another, or delays its messages for some seconds.
func (w *Simulation) ImpairLink(kind, from, to string, seconds float64) {
	if kind == "cut" {
		w.linksCut[[2]string{from, to}] = true
	} else {
		w.linksHeldUntil[[2]string{from, to}] = w.now + seconds
	}
}

// ApplyFault applies a fault, or the end of one, to a process.
func (w *Simulation) ApplyFault(action, name string) {
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
				w.after(0.05, func() { w.ApplyFault("start", name) })
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
