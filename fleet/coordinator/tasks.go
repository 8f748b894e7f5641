package coordinator

// This file assigns tasks to sessions, sends sessions their snapshots, and delivers messages between sessions.

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"dunereach/fleet/lease"
	"dunereach/fleet/registry"
)

// largeFleet is the number of sessions from which on free tasks are assigned only once per TickEvery: assigning at each
// heartbeat costs time quadratic in the number of sessions.
const largeFleet = 300

const (
	requestLifetime = 3.0 // seconds for which a request for a task counts without being repeated
	// assignDelay is how long a task of a large fleet is requested before it gets an owner, in seconds: one and a half times
	// as long as a heartbeat is held, since a session can own a task only after it received the answer to an earlier
	// heartbeat. Otherwise the router whose heartbeat happens to arrive first owns all tasks that appear at once, and all
	// other routers' messages go to it.
	assignDelay = 1.5
)

// assignTasksSoon assigns free tasks now, or in a large fleet by the next tick.
func (k *Coordinator) assignTasksSoon() {
	if len(k.sessions) < largeFleet || k.now >= k.assignedAt+TickEvery {
		k.assignTasks()
	}
}

// assignTasks proposes an owner for each requested task that is free.
func (k *Coordinator) assignTasks() {
	if !k.IsLeader() {
		return
	}
	k.assignedAt = k.now
	duration, _ := k.reg.LeaseTerms()
	isLarge := len(k.sessions) >= largeFleet
	var eligible []lease.Candidate
	ownedTasks := map[uint64]int{}
	candidateKinds := map[uint64][]string{}
	for _, name := range slices.Sorted(maps.Keys(k.requested)) {
		w := k.requested[name]
		if task := k.reg.Task(name); task != nil && task.Owner != 0 || k.assigning[name] || k.now-w.lastRequested > requestLifetime || isLarge && k.now-w.firstRequested < assignDelay {
			continue
		}
		kind, _, _ := strings.Cut(name, "/")
		if k.candidateCount[kind] == 0 { // for instance the operators' orders, which nobody owns
			continue
		}
		if eligible == nil {
			for _, x := range k.reg.Tasks() {
				ownedTasks[x.Owner]++
			}
			for _, id := range k.sessionIDs() {
				c := k.sessions[id]
				if s := k.reg.Session(id); s != nil && !s.Superseded && !c.ending && c.heldHeartbeat != nil && k.now-c.lastHeard < duration/2 && c.unacknowledgedSince == 0 {
					eligible = append(eligible, lease.Candidate{Session: id, Name: c.name, Zone: s.Zone, Tasks: ownedTasks[id]})
					candidateKinds[id] = c.candidateKinds
				}
			}
		}
		var candidates []lease.Candidate
		for _, c := range eligible { // a session that doesn't request the task would release it at once
			if k.requesters[name][c.Session] && slices.Contains(candidateKinds[c.Session], kind) {
				c.Tasks = ownedTasks[c.Session]
				candidates = append(candidates, c)
			}
		}
		n := lease.ChooseOwner(candidates, name, w.zone, func(name string) bool { return k.flapDamper.Suppressed(k.now, name) })
		if n < 0 {
			continue
		}
		chosen := candidates[n]
		k.assigning[name] = true
		if isLarge {
			ownedTasks[chosen.Session]++ // not committed yet, but the next task should go to another session
		}
		k.propose(registry.Entry{Kind: registry.Assign, Task: name, Session: chosen.Session, Zone: w.zone}, func(fence uint64, err error) {
			delete(k.assigning, name)
			if err == nil {
				k.log("task %q fence %d: assigned to %q", name, fence, chosen.Name)
			}
		})
	}
}

// dropUnusedTasks drops tasks that have no owner and have not been requested for a long time.
func (k *Coordinator) dropUnusedTasks() {
	const unusedTime = 60.0            // seconds without a request
	for name, w := range k.requested { // the order does not matter
		if k.now-w.lastRequested > unusedTime && !k.assigning[name] {
			delete(k.requested, name)
		}
	}
	for _, w := range k.reg.Tasks() {
		if _, ok := k.requested[w.Name]; !ok && w.Owner == 0 && len(w.Annotation) == 0 && k.now-k.leaderSince > unusedTime && !k.assigning[w.Name] {
			name := w.Name
			k.assigning[name] = true
			k.propose(registry.Entry{Kind: registry.Drop, Task: name}, func(uint64, error) { delete(k.assigning, name) })
		}
	}
}

// answerChanged assigns free tasks and answers each held heartbeat whose session has something new to receive.
func (k *Coordinator) answerChanged() {
	k.assignTasksSoon()
	for _, id := range k.sessionIDs() {
		if c := k.sessions[id]; c.heldHeartbeat != nil {
			k.answerIfChanged(id, c)
		}
	}
}

// answerIfChanged answers a held heartbeat if the session's snapshot differs from the last one sent.
func (k *Coordinator) answerIfChanged(id uint64, c *sessionState) {
	if k.digest(id, c) != c.lastDigest {
		k.answerHeartbeat(id, c)
	}
}

// digest returns a compact form of the tasks in a session's snapshot, for comparison.
func (k *Coordinator) digest(id uint64, c *sessionState) string {
	b := k.scratch[:0]
	add := func(n uint64) { b = binary.BigEndian.AppendUint64(b, n) }
	for _, w := range k.reg.TasksOf(id) {
		b = append(b, w.Name...)
		add(w.Fence)
		if w.ReleaseRequested {
			add(1)
		}
	}
	for _, x := range c.requested {
		if w := k.reg.Task(x.Task); w != nil {
			add(w.Fence)
			add(w.Owner)
			add(w.AnnotatedAt)
		}
	}
	k.scratch = b
	return string(b)
}

// answerHeartbeat answers a session's held heartbeat with a snapshot and the messages in its inbox.
func (k *Coordinator) answerHeartbeat(id uint64, c *sessionState) {
	duration, drift := k.reg.LeaseTerms()
	k.snapshotCount++
	sessions, _ := k.reg.Size()
	v := Snapshot{Number: k.term<<32 | k.snapshotCount, Session: id, Lease: duration, Drift: drift, Sessions: sessions, Fence: k.reg.Fence(), Messages: c.inbox}
	c.inbox = nil
	// A session that has acknowledged nothing for a lease does not get its tasks confirmed: its heartbeats no longer renew the
	// lease, so the tasks may have another owner before this answer takes effect. They are confirmed again once it acknowledges
	// this snapshot.
	unreachable := c.unacknowledgedSince != 0 && k.now-c.unacknowledgedSince > duration
	for _, w := range k.reg.TasksOf(id) {
		if unreachable {
			break
		}
		v.Owned = append(v.Owned, OwnedTask{lease.Claim{Task: w.Name, Fence: w.Fence}, w.ReleaseRequested})
	}
	for _, x := range c.requested {
		w := k.reg.Task(x.Task)
		if w == nil {
			continue
		}
		s := TaskState{Task: w.Name, Fence: w.Fence, Annotation: w.Annotation, AnnotationFence: w.AnnotationFence, AnnotationAge: 1e9}
		if o := k.reg.Session(w.Owner); o != nil {
			s.Owner = o.Name
		}
		if at, ok := k.annotatedAt[w.Name]; ok {
			s.AnnotationAge = k.now - at
		}
		v.Tasks = append(v.Tasks, s)
	}
	c.lastDigest = k.digest(id, c)
	if c.lastSnapshot = v.Number; c.unacknowledgedSince == 0 {
		c.unacknowledgedSince = k.now
	}
	k.answer(c.heldHeartbeat.request, v, nil)
	c.heldHeartbeat = nil
}

// PostMessages delivers a session's messages. Only the owner of a task may write to the sessions that request it.
func (k *Coordinator) PostMessages(now float64, request uint64, m *MessageBatch) {
	k.now = max(k.now, now)
	s := k.reg.Session(m.Session)
	switch {
	case !k.IsLeader():
		k.answer(request, nil, ErrNotLeader)
		return
	case s == nil || s.Incarnation != m.Incarnation:
		k.answer(request, nil, ErrUnknownSession)
		return
	case s.Superseded:
		k.answer(request, nil, registry.ErrSuperseded)
		return
	case len(m.Messages) > MaxMessages:
		k.answer(request, nil, fmt.Errorf("%w: %d messages, at most %d allowed", ErrBadRequest, len(m.Messages), MaxMessages))
		return
	}
	var p PostResult
	for _, l := range m.Messages {
		w := k.reg.Task(l.Task)
		if w == nil || len(l.Body) > MaxMessageBytes {
			continue
		}
		l.From, l.Incarnation = s.Name, s.Incarnation
		if l.To == "" {
			k.deliver(w.Owner, l)
			continue
		}
		if w.Owner != s.ID || w.Fence != l.Fence {
			k.RejectedStale++
			if !slices.Contains(p.Stale, lease.TaskFence{Task: l.Task, Fence: w.Fence}) {
				p.Stale = append(p.Stale, lease.TaskFence{Task: l.Task, Fence: w.Fence})
			}
			continue
		}
		for _, id := range k.sessionsByName[l.To] {
			k.deliver(id, l)
		}
		if l.To == "*" {
			k.deliverToRequesters(l)
		}
	}
	k.answer(request, p, nil)
}

// deliverToRequesters delivers a message to each session that requests its task.
func (k *Coordinator) deliverToRequesters(l Message) {
	for _, id := range slices.Sorted(maps.Keys(k.requesters[l.Task])) {
		if k.sessions[id].name != l.To {
			k.deliver(id, l)
		}
	}
}

// deliveryDelay is how long a message waits to be delivered together with others, in seconds. A grant's lifetime is fifteen
// times as long, and the delay saves a busy coordinator half of its requests.
const deliveryDelay = 0.1

// deliver puts a message into a session's inbox, which drops its oldest message when it is full.
func (k *Coordinator) deliver(id uint64, l Message) {
	c := k.sessions[id]
	if c == nil {
		return
	}
	if c.inbox = append(c.inbox, l); len(c.inbox) > maxInbox {
		c.inbox = slices.Delete(c.inbox, 0, 1)
	}
	if c.heldHeartbeat != nil {
		c.holdUntil = math.Min(c.holdUntil, k.now+deliveryDelay)
	}
}

// Perform proposes an action of a session.
func (k *Coordinator) Perform(now float64, request uint64, a *Action) {
	k.now = max(k.now, now)
	if !k.IsLeader() {
		k.answer(request, nil, ErrNotLeader)
		return
	}
	e := registry.Entry{Session: a.Session, Task: a.Task, Fence: a.Fence}
	switch a.Kind {
	case "release":
		e.Kind = registry.Release
	case "note":
		e.Kind, e.Body = registry.Annotation, a.Body
	case "close":
		e = registry.Entry{Kind: registry.Close, Session: a.Session}
	default:
		k.answer(request, nil, fmt.Errorf("%w: unknown action kind %q", ErrBadRequest, a.Kind))
		return
	}
	k.propose(e, func(fence uint64, err error) {
		if err == registry.ErrFence {
			k.RejectedStale++
		}
		if err == registry.ErrFence && fence > 0 {
			err = &lease.StaleFenceError{Task: a.Task, Fence: a.Fence, Highest: fence}
		}
		k.answer(request, PostResult{}, err)
	})
}
