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
func (k *Keeper) assignTasksSoon() {
	if len(k.sessions) < largeFleet || k.now >= k.assignedAt+TickEvery {
		k.assignTasks()
	}
}

// assignTasks proposes an owner for each requested task that is free.
func (k *Keeper) assignTasks() {
	if !k.Leads() {
		return
	}
	k.assignedAt = k.now
	duration, _ := k.reg.Terms()
	isLarge := len(k.sessions) >= largeFleet
	var eligible []lease.Candidate
	ownedTasks := map[uint64]int{}
	candidateKinds := map[uint64][]string{}
	for _, name := range slices.Sorted(maps.Keys(k.requested)) {
		w := k.requested[name]
		if task := k.reg.Work(name); task != nil && task.Owner != 0 || k.assigning[name] || k.now-w.lastRequested > requestLifetime || isLarge && k.now-w.firstRequested < assignDelay {
			continue
		}
		kind, _, _ := strings.Cut(name, "/")
		if k.candidateCount[kind] == 0 { // for instance the operators' orders, which nobody owns
			continue
		}
		if eligible == nil {
			for _, x := range k.reg.Works() {
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
		n := lease.Choose(candidates, name, w.zone, func(name string) bool { return k.flapDamper.Suppressed(k.now, name) })
		if n < 0 {
			continue
		}
		chosen := candidates[n]
		k.assigning[name] = true
		if isLarge {
			ownedTasks[chosen.Session]++ // not committed yet, but the next task should go to another session
		}
		k.propose(registry.Entry{Kind: registry.Assign, Work: name, Session: chosen.Session, Zone: w.zone}, func(fence uint64, err error) {
			delete(k.assigning, name)
			if err == nil {
				k.log("task %q fence %d: assigned to %q", name, fence, chosen.Name)
			}
		})
	}
}

// dropUnusedTasks drops tasks that have no owner and have not been requested for a long time.
func (k *Keeper) dropUnusedTasks() {
	const unusedTime = 60.0            // seconds without a request
	for name, w := range k.requested { // the order does not matter
		if k.now-w.lastRequested > unusedTime && !k.assigning[name] {
			delete(k.requested, name)
		}
	}
	for _, w := range k.reg.Works() {
		if _, ok := k.requested[w.Name]; !ok && w.Owner == 0 && len(w.Note) == 0 && k.now-k.leaderSince > unusedTime && !k.assigning[w.Name] {
			name := w.Name
			k.assigning[name] = true
			k.propose(registry.Entry{Kind: registry.Drop, Work: name}, func(uint64, error) { delete(k.assigning, name) })
		}
	}
}

// answerChanged assigns free tasks and answers each held heartbeat whose session has something new to receive.
func (k *Keeper) answerChanged() {
	k.assignTasksSoon()
	for _, id := range k.sessionIDs() {
		if c := k.sessions[id]; c.heldHeartbeat != nil {
			k.answerIfChanged(id, c)
		}
	}
}

// answerIfChanged answers a held heartbeat if the session's snapshot differs from the last one sent.
func (k *Keeper) answerIfChanged(id uint64, c *sessionState) {
	if k.digest(id, c) != c.lastDigest {
		k.answerHeartbeat(id, c)
	}
}

// digest returns a compact form of the tasks in a session's snapshot, for comparison.
func (k *Keeper) digest(id uint64, c *sessionState) string {
	b := k.scratch[:0]
	add := func(n uint64) { b = binary.BigEndian.AppendUint64(b, n) }
	for _, w := range k.reg.Owned(id) {
		b = append(b, w.Name...)
		add(w.Fence)
		if w.Asked {
			add(1)
		}
	}
	for _, x := range c.requested {
		if w := k.reg.Work(x.Work); w != nil {
			add(w.Fence)
			add(w.Owner)
			add(w.Noted)
		}
	}
	k.scratch = b
	return string(b)
}

// answerHeartbeat answers a session's held heartbeat with a snapshot and the messages in its inbox.
func (k *Keeper) answerHeartbeat(id uint64, c *sessionState) {
	duration, drift := k.reg.Terms()
	k.snapshotCount++
	sessions, _ := k.reg.Size()
	v := View{Number: k.term<<32 | k.snapshotCount, Session: id, Lease: duration, Drift: drift, Sessions: sessions, Fence: k.reg.Fence(), Mail: c.inbox}
	c.inbox = nil
	// A session that has acknowledged nothing for a lease does not get its tasks confirmed: its heartbeats no longer renew the
	// lease, so the tasks may have another owner before this answer takes effect. They are confirmed again once it acknowledges
	// this snapshot.
	unreachable := c.unacknowledgedSince != 0 && k.now-c.unacknowledgedSince > duration
	for _, w := range k.reg.Owned(id) {
		if unreachable {
			break
		}
		v.Mine = append(v.Mine, Mine{lease.Claim{Work: w.Name, Fence: w.Fence}, w.Asked})
	}
	for _, x := range c.requested {
		w := k.reg.Work(x.Work)
		if w == nil {
			continue
		}
		s := Seen{Work: w.Name, Fence: w.Fence, Note: w.Note, By: w.By, Age: 1e9}
		if o := k.reg.Session(w.Owner); o != nil {
			s.Owner = o.Name
		}
		if at, ok := k.annotatedAt[w.Name]; ok {
			s.Age = k.now - at
		}
		v.Works = append(v.Works, s)
	}
	c.lastDigest = k.digest(id, c)
	if c.lastSnapshot = v.Number; c.unacknowledgedSince == 0 {
		c.unacknowledgedSince = k.now
	}
	k.answer(c.heldHeartbeat.request, v, nil)
	c.heldHeartbeat = nil
}

// PostMessages delivers a session's messages. Only the owner of a task may write to the sessions that request it.
func (k *Keeper) Post(now float64, request uint64, m *Mail) {
	k.now = max(k.now, now)
	s := k.reg.Session(m.Session)
	switch {
	case !k.Leads():
		k.answer(request, nil, ErrElsewhere)
		return
	case s == nil || s.Incarnation != m.Incarnation:
		k.answer(request, nil, ErrSession)
		return
	case s.Superseded:
		k.answer(request, nil, registry.ErrSuperseded)
		return
	case len(m.Letters) > MostLetters:
		k.answer(request, nil, fmt.Errorf("%w: %d messages, at most %d allowed", ErrBad, len(m.Letters), MostLetters))
		return
	}
	var p Posted
	for _, l := range m.Letters {
		w := k.reg.Work(l.Work)
		if w == nil || len(l.Body) > MostBody {
			continue
		}
		l.From, l.Incarnation = s.Name, s.Incarnation
		if l.To == "" {
			k.deliver(w.Owner, l)
			continue
		}
		if w.Owner != s.ID || w.Fence != l.Fence {
			k.Refused++
			if !slices.Contains(p.Old, lease.FenceMark{Work: l.Work, Fence: w.Fence}) {
				p.Old = append(p.Old, lease.FenceMark{Work: l.Work, Fence: w.Fence})
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
func (k *Keeper) deliverToRequesters(l Letter) {
	for _, id := range slices.Sorted(maps.Keys(k.requesters[l.Work])) {
		if k.sessions[id].name != l.To {
			k.deliver(id, l)
		}
	}
}

// deliveryDelay is how long a message waits to be delivered together with others, in seconds. A grant's lifetime is fifteen
// times as long, and the delay saves a busy coordinator half of its requests.
const deliveryDelay = 0.1

// deliver puts a message into a session's inbox, which drops its oldest message when it is full.
func (k *Keeper) deliver(id uint64, l Letter) {
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
func (k *Keeper) Do(now float64, request uint64, a *Act) {
	k.now = max(k.now, now)
	if !k.Leads() {
		k.answer(request, nil, ErrElsewhere)
		return
	}
	e := registry.Entry{Session: a.Session, Work: a.Work, Fence: a.Fence}
	switch a.Kind {
	case "release":
		e.Kind = registry.Release
	case "note":
		e.Kind, e.Body = registry.Note, a.Body
	case "close":
		e = registry.Entry{Kind: registry.Close, Session: a.Session}
	default:
		k.answer(request, nil, fmt.Errorf("%w: unknown action kind %q", ErrBad, a.Kind))
		return
	}
	k.propose(e, func(fence uint64, err error) {
		if err == registry.ErrFence {
			k.Refused++
		}
		if err == registry.ErrFence && fence > 0 {
			err = &lease.StaleFenceError{Work: a.Work, Fence: a.Fence, Highest: fence}
		}
		k.answer(request, Posted{}, err)
	})
}
