package fleet

// This file plays a script of faults.

import (
	"fmt"
	"slices"
	"strings"

	"dunereach/emulator/scenario"
	"dunereach/fleet/agent"
	"dunereach/fleet/coordinator"
)

// Leader is the keeper that leads by its own word and newest term.
func (w *World) Leader() string {
	name, term := "", uint64(0)
	for _, k := range w.keepers {
		if k.up && !k.stopped && k.k.IsLeader() && k.k.Status().Term > term {
			name, term = k.name, k.k.Status().Term
		}
	}
	return name
}

// Owner of the first work, by its own belief.
func (w *World) Owner() string {
	for _, r := range w.members {
		if r.up && r.m != nil && w.owns(r, w.works()[0]) {
			return r.name
		}
	}
	return ""
}

func (w *World) owns(r *router, work string) bool {
	_, ok := r.m.Permit(r.clock.at(w.now), work)
	return ok
}

func (w *World) works() (all []string) {
	for _, e := range w.engines {
		all = append(all, fmt.Sprintf("%s/%d@%.3f", agent.WarmUpKind, e.ID, e.Start))
	}
	return all
}

func (w *World) next() {
	if len(w.scripts) == 0 {
		w.Quiet = true
		w.log("the script is over")
		return
	}
	e := w.scripts[0]
	began := w.now
	var wait func()
	wait = func() {
		if !w.seen(e.When) {
			if w.now-began > 60 {
				w.audit.fail("event %q %q: what it waits for (%s) does not come", e.Do, e.Who, e.When)
				return
			}
			w.after(0.01, wait)
			return
		}
		w.after(e.After, func() {
			w.scripts = w.scripts[1:]
			w.play(e)
			w.script()
		})
	}
	wait()
}

func (w *World) seen(what string) bool {
	switch what {
	case "owned", "dealt":
		for _, work := range w.works() {
			if !slices.ContainsFunc(w.members, func(r *router) bool {
				return r.up && r.m != nil && w.owns(r, work) && (what == "owned" || r.m.SharesInUse(r.clock.at(w.now), work) > 0)
			}) {
				return false
			}
		}
	case "moved":
		o := w.Owner()
		return o != "" && o != w.last
	case "lost":
		return w.Leader() == ""
	}
	return true
}

func (w *World) play(e scenario.Event) {
	if o := w.Owner(); o != "" {
		w.last = o
	}
	whom := w.file.Whom(e.Who, w)
	if len(whom) == 0 && e.Do != "heal" {
		whom = nil
		w.log("%s %s: nobody now", e.Do, e.Who)
	}
	w.log("%s %s %s", e.Do, strings.Join(whom, ","), e.To)
	for _, name := range whom {
		w.Do(e.Do, name)
	}
	switch e.Do {
	case "heal":
		clear(w.cut)
		clear(w.held)
	case "cut", "hold":
		for _, a := range whom {
			for _, b := range w.file.Whom(e.To, w) {
				w.Link(e.Do, a, b, e.For)
				if e.Both {
					w.Link(e.Do, b, a, e.For)
				}
			}
		}
	}
}

// Link from one to another is cut, or holds what comes.
func (w *World) Link(do, from, to string, seconds float64) {
	if do == "cut" {
		w.cut[[2]string{from, to}] = true
	} else {
		w.held[[2]string{from, to}] = w.now + seconds
	}
}

// Do something to one process.
func (w *World) Do(what, name string) {
	p := w.byName[name]
	var k *keeper
	var r *router
	for _, x := range w.keepers {
		if x.process == p {
			k = x
		}
	}
	for _, x := range w.members {
		if x.process == p {
			r = x
		}
	}
	switch what {
	case "stop":
		p.stopped = p.up
	case "continue":
		if p.stopped {
			p.stopped = false
			all := p.backlog
			p.backlog = nil
			for _, do := range all {
				w.in(p, p.life, do)
			}
		}
	case "kill":
		w.audit.died(r)
		p.up, p.stopped = false, false
	case "end":
		if r != nil && p.up {
			w.audit.died(r)
			w.put(r, r.m.Close(r.clock.at(w.now)))
			life := p.life
			p.leaves = true
			w.after(0.2, func() {
				if p.life == life {
					p.up = false
				}
			})
			return
		}
		p.up = false
	case "start":
		if p.up {
			if p.leaves { // as soon as it has ended
				w.after(0.05, func() { w.Do("start", name) })
			}
			return
		}
		if k != nil {
			w.startKeeper(k)
		} else {
			w.startRouter(r)
		}
	case "full": // its next write fails, so it ends
		p.up, p.stopped = false, false
	case "release":
		w.callSeq++
		id, work := w.callSeq, w.works()[0]
		for _, x := range w.keepers {
			if x.up && !x.stopped && x.k.IsLeader() {
				x.k.ExecuteOrder(x.clock.at(w.now), id, &coordinator.Order{Kind: "release", Task: work})
				w.carry(x)
			}
		}
	case "wipe":
		if r != nil {
			r.disk = agent.PersistentState{Relinquished: true} // a folder that is gone says nothing, which is not the word of a clean end
		}
	}
}
