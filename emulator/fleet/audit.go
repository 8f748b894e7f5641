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

// audit observes all processes at once, in true time, and does not rely on their own statistics.
type audit struct {
	w            *Simulation
	err          error
	checks       int
	raftMessages int                          // messages between coordinators
	requests     int                          // requests of routers to coordinators
	actions      int                          // annotations that owners sent to coordinators
	fenceOwners  map[string]map[uint64]string // by task and fence: the process that acted under it
	highestFence map[string]uint64
	recentShares map[string][]shareUse // by process and server: shares in use during the last second
	lastGrantAt  map[uint32]float64    // by server: when a granted share of its allowance was last in use
	maxAllowance float64
	lostAt       map[string]float64 // by task: when its owner was stopped
	gaps         []float64
	snapshots    map[uint64][]byte
	doubleOwners int
	history      []porcupine.Operation
	lastClient   int
	staleActions int // annotations rejected for a stale fence
	gainedFences map[string]map[uint64]bool
	annotations  map[string]annotation // by coordinator and task: the latest one in its registry
}

type annotation struct{ index, fence uint64 }

type shareUse struct {
	share   float64
	granted bool
}

func (a *audit) init(w *Simulation) {
	a.w, a.fenceOwners, a.highestFence, a.recentShares = w, map[string]map[uint64]string{}, map[string]uint64{}, map[string][]shareUse{}
	a.lastGrantAt = map[uint32]float64{}
	a.annotations = map[string]annotation{}
	a.gainedFences = map[string]map[uint64]bool{}
	a.lostAt, a.snapshots = map[string]float64{}, map[uint64][]byte{}
}

func (a *audit) fail(format string, args ...any) {
	if a.err == nil {
		a.err = fmt.Errorf("seed %d at %.3f: %s", a.w.file.Seed, a.w.now, fmt.Sprintf(format, args...))
	}
}

// operation is one operation on a task as processes observed it: a gain of the task under a fence, or an annotation
// written under one.
type operation struct {
	gain  bool
	task  string
	fence uint64
}

// recordRequest adds an annotation to the history when it is sent; recordResult adds its result. An annotation without
// a result may have been applied at any later time.
func (a *audit) recordRequest(c *request) {
	c.historyIndex = -1
	if c.body.Action == nil || c.body.Action.Kind != "note" {
		return
	}
	a.actions++
	a.recordGain(c.body.Action.Task, c.body.Action.Fence)
	c.historyIndex = len(a.history)
	a.history = append(a.history, porcupine.Operation{ClientId: a.newClient(), Input: operation{task: c.body.Action.Task, fence: c.body.Action.Fence}, Call: microseconds(a.w.now),
		Output: "unknown", Return: math.MaxInt64})
}

func (a *audit) recordResult(c *request, err error) {
	var stale *lease.StaleFenceError
	if c.historyIndex < 0 {
		return
	}
	h := &a.history[c.historyIndex]
	switch {
	case err == nil:
		h.Output, h.Return = "taken", microseconds(a.w.now)
	case errors.As(err, &stale) || errors.Is(err, registry.ErrFence):
		a.staleActions++
		h.Output, h.Return = "refused", microseconds(a.w.now)
	}
}

// newClient returns a client identifier for one operation. Each operation has its own, because a process may have
// several outstanding.
func (a *audit) newClient() int {
	a.lastClient++
	return a.lastClient
}

func microseconds(t float64) int64 { return int64(t * 1e6) }

// recordGains records tasks that processes hold under fences not seen before.
func (a *audit) recordGains() {
	for _, r := range a.w.routers {
		if !r.up || r.member == nil {
			continue
		}
		for _, c := range r.member.Held() {
			a.recordGain(c.Task, c.Fence)
		}
	}
}

func (a *audit) recordGain(task string, fence uint64) {
	if a.gainedFences[task] == nil {
		a.gainedFences[task] = map[uint64]bool{}
	}
	if a.gainedFences[task][fence] {
		return
	}
	a.gainedFences[task][fence] = true
	// The task was assigned at an unknown earlier time.
	a.history = append(a.history, porcupine.Operation{ClientId: a.newClient(), Input: operation{true, task, fence}, Call: 0,
		Output: "taken", Return: microseconds(a.w.now)}) // the assignment came before this: its process may learn of it late
}

// taskModel is the sequential model of one task; its state is the fence. An annotation is accepted only under the
// current fence. A rejection is always correct, because tasks are also released.
var taskModel = porcupine.Model{
	Partition: func(all []porcupine.Operation) (parts [][]porcupine.Operation) {
		byTask := map[string][]porcupine.Operation{}
		for _, o := range all {
			name := o.Input.(operation).task
			byTask[name] = append(byTask[name], o)
		}
		for _, w := range slices.Sorted(maps.Keys(byTask)) {
			parts = append(parts, byTask[w])
		}
		return parts
	},
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		current, o := state.(uint64), input.(operation)
		switch {
		case o.gain:
			return o.fence > current, o.fence
		case output == "taken":
			return o.fence == current, current
		}
		return true, current
	},
}

// checkLinearizable checks the history of all tasks.
func (a *audit) checkLinearizable() error {
	if result := porcupine.CheckOperationsTimeout(taskModel, a.history, 20*time.Second); result != porcupine.Ok {
		return fmt.Errorf("seed %d: the history of %d operations is not linearizable (%v)", a.w.file.Seed, len(a.history), result)
	}
	return nil
}

// recordTrace checks the fence of each action when it is performed.
func (a *audit) recordTrace(r *routerProcess, t agent.Trace) {
	if t.Event != "act" {
		return
	}
	if t.Fence < a.highestFence[t.Task] {
		a.fail("%s/%d acts on %s under fence %d after %d", r.name, r.incarnation, t.Task, t.Fence, a.highestFence[t.Task])
	}
	a.highestFence[t.Task] = t.Fence
}

// recordOwnerStop records the time when a process that owns tasks is stopped.
func (a *audit) recordOwnerStop(r *routerProcess) {
	if r == nil || r.member == nil || !r.up {
		return
	}
	for _, task := range a.w.tasks() {
		if a.w.owns(r, task) {
			a.lostAt[task] = a.w.now
		}
	}
}

const (
	checkInterval   = 0.05
	allowanceWindow = 1.0 // seconds over which a cold server's allowance applies
)

// check compares the state of all processes with the invariants.
func (a *audit) check() {
	w := a.w
	a.checks++
	a.recordGains()
	for _, task := range w.tasks() {
		owner := ""
		for _, r := range w.routers {
			// Includes stopped processes: once continued, a process acts on the permission that its clock shows then.
			if !r.up || r.member == nil {
				continue
			}
			fence, ok := r.member.Permit(r.clock.at(w.now), task)
			if !ok {
				continue
			}
			if owner != "" {
				a.doubleOwners++
				a.fail("%s: both %s and %s may act", task, owner, r.name)
			}
			owner = r.name
			process := fmt.Sprint(r.name, "/", r.incarnation)
			if a.fenceOwners[task] == nil {
				a.fenceOwners[task] = map[uint64]string{}
			}
			if previous := a.fenceOwners[task][fence]; previous != "" && previous != process {
				a.fail("%s: fence %d belonged to %s and now to %s", task, fence, previous, process)
			}
			a.fenceOwners[task][fence] = process
			if fence < a.highestFence[task] {
				a.fail("%s: %s acts under fence %d after %d", task, process, fence, a.highestFence[task])
			}
			if at, lost := a.lostAt[task]; lost && !r.stopped {
				a.gaps = append(a.gaps, w.now-at)
				delete(a.lostAt, task)
			}
			a.highestFence[task] = fence
		}
	}
	for _, e := range w.servers {
		sum := 0.0
		for _, r := range w.routers {
			key := fmt.Sprint(r.name, "/", e.ID, "/", r.incarnation)
			if r.up && r.member != nil {
				share, ok := r.member.WarmUpShare(r.clock.at(w.now), e.ID, e.Start)
				if !ok {
					share = 1 / float64(w.file.Routers)
				}
				if ok && share > 0 {
					a.lastGrantAt[e.ID] = w.now
				}
				a.recentShares[key] = append(a.recentShares[key], shareUse{share, ok})
			}
			for incarnation := r.incarnation; incarnation > 0 && incarnation+2 > r.incarnation; incarnation-- {
				key := fmt.Sprint(r.name, "/", e.ID, "/", incarnation)
				used := a.recentShares[key]
				if incarnation < r.incarnation || !r.up {
					// The process has ended; the shares granted to it count until the window is over.
					used = append(used, shareUse{})
				}
				if n := int(math.Ceil(allowanceWindow / checkInterval)); len(used) > n {
					used = used[len(used)-n:]
				}
				a.recentShares[key] = used
				largest := 0.0
				for _, u := range used {
					// A router that is killed and returns within the window has its equal share twice. This happens
					// without a fleet as well, and the admission controller's margin covers it.
					if u.granted || incarnation == r.incarnation {
						largest = max(largest, u.share)
					}
				}
				sum += largest
			}
		}
		if a.maxAllowance = max(a.maxAllowance, sum); sum > 1+1e-9 {
			for _, r := range w.routers {
				w.log("%s %v", r.name, a.recentShares[fmt.Sprint(r.name, "/", e.ID, "/", r.incarnation)])
			}
			a.fail("server %d: %.4f of its allowance may be in use", e.ID, sum)
		}
	}
	for _, k := range w.coordinators {
		if !k.up || a.checks%4 != 0 {
			continue
		}
		r := k.node.Registry()
		for _, x := range r.Tasks() { // finds an accepted annotation under a stale fence even if no process received the answer
			key := k.name + x.Name
			if previous := a.annotations[key]; x.AnnotatedAt > previous.index && x.AnnotationFence < previous.fence {
				a.fail("%s: %s has an annotation under fence %d after %d", k.name, x.Name, x.AnnotationFence, previous.fence)
			}
			a.annotations[key] = annotation{x.AnnotatedAt, x.Fence}
		}
		snapshot, err := r.Snapshot()
		if err != nil {
			a.fail("%s: %v", k.name, err)
			continue
		}
		if previous := a.snapshots[r.Index()]; previous != nil && !bytes.Equal(previous, snapshot) {
			a.fail("%s: the registry after entry %d differs from that of other coordinators", k.name, r.Index())
		}
		a.snapshots[r.Index()] = snapshot
	}
}

// Figures holds the statistics of a run.
type Figures struct {
	Seconds                                     float64
	Worst                                       float64 // most of a server's allowance that may have been in use at one time
	Twice                                       int     // number of checks that found two owners
	Looks, Raft, Requests, Acts                 int
	OldTried                                    int // peer messages and annotations under a stale fence that reached a coordinator or a receiver
	Operations                                  int // in the checked history
	Refused, Late, ToldOld, Dealt, Gained, Lost int
	// Seconds from the stop of an owner to the first check that found another one.
	Gaps []float64
}

// Figures returns the statistics so far.
func (w *Simulation) Figures() Figures {
	a := &w.audit
	f := Figures{Seconds: w.now, Worst: a.maxAllowance, Twice: a.doubleOwners, Looks: a.checks, Raft: a.raftMessages, Requests: a.requests, Acts: a.actions, Gaps: a.gaps}
	f.OldTried, f.Operations = a.staleActions, len(a.history)
	for _, k := range w.coordinators {
		f.OldTried += k.node.RejectedStale
	}
	for _, r := range w.routers {
		if r.member == nil {
			continue
		}
		s := r.member.Stats
		f.OldTried += s.RejectedStale
		f.Refused, f.Late, f.ToldOld, f.Dealt = f.Refused+s.RejectedStale, f.Late+s.LateGrants, f.ToldOld+s.StaleNotices, f.Dealt+s.Granted
		f.Gained, f.Lost = f.Gained+s.Gained, f.Lost+s.Lost
	}
	return f
}

// CheckRecovered reports an error if the fleet has not recovered after the last fault: the history is not linearizable, a task
// has no owner, or no share of an allowance is granted.
func (w *Simulation) CheckRecovered() error {
	if w.audit.err != nil {
		return w.audit.err
	}
	if err := w.audit.checkLinearizable(); err != nil {
		return err
	}
	if len(w.coordinators) == 0 {
		return nil
	}
	for _, task := range w.tasks() {
		owned := false
		for _, r := range w.routers {
			owned = owned || r.up && !r.stopped && w.owns(r, task)
		}
		if !owned {
			return fmt.Errorf("seed %d: %s has no owner %.1f s after the last fault", w.file.Seed, task, w.file.SettleTime)
		}
	}
	for _, e := range w.servers {
		const grantTimeout = 5.0 // seconds; a requested share stays unused until the previous holder's use of it has settled
		if w.now-w.audit.lastGrantAt[e.ID] > grantTimeout {
			return fmt.Errorf("seed %d: no share of server %d's allowance is granted", w.file.Seed, e.ID)
		}
	}
	return nil
}
