package agent

// This file handles the coordinators' answers and other routers' messages.

import (
	"encoding/json"
	"errors"
	"strings"

	"dunereach/fleet/allocation"
	"dunereach/fleet/coordinator"
	"dunereach/fleet/lease"
	"dunereach/fleet/registry"
	"dunereach/probing"
)

// ErrNoAnswer is the error that a driver passes in for a request that no coordinator answered.
var ErrNoAnswer = errors.New("no coordinator answers")

// Answer handles the answer to a request; value is a coordinator.Snapshot or coordinator.PostResult.
func (m *Member) Answer(now float64, seq uint64, value any, err error) {
	s, ok := m.inFlight[seq]
	if !ok {
		return
	}
	delete(m.inFlight, seq)
	if s.heartbeat {
		m.heartbeatsInFlight--
	}
	if s.annotation && s.task == PlanWork {
		m.planDecided(now, err)
	}
	var stale *lease.StaleFenceError
	switch {
	case err == nil:
	case errors.Is(err, registry.ErrSuperseded):
		if !m.superseded {
			m.superseded = true
			m.loseSession(now, "superseded by a newer process of this name")
		}
		return
	case errors.Is(err, coordinator.ErrSession):
		m.loseSession(now, "the session has ended")
		m.nextHeartbeat = max(m.nextHeartbeat, now+0.2*m.rng.Float64())
		return
	case errors.As(err, &stale):
		m.Stats.ToldOld++
		m.log("task %q fence %d: %v", stale.Work, stale.Fence, err)
		m.dropTask(stale.Work, stale.Fence)
		return
	default:
		if s.heartbeat { // decorrelated backoff: routers that lost the coordinators at the same time don't all return at the same time
			const first, longest = 0.1, 3.0
			m.backoff = min(longest, first+m.rng.Float64()*3*max(m.backoff, first))
			m.nextHeartbeat = max(m.nextHeartbeat, now+m.backoff)
		}
		return
	}
	switch v := value.(type) {
	case coordinator.View:
		m.backoff = 0
		if v.Session == 0 { // a token, which the next heartbeat returns to prove that this process is alive
			m.lastSnapshot, m.nextHeartbeat = max(m.lastSnapshot, v.Number), now
			return
		}
		m.applySnapshot(now, s, v)
	case coordinator.Posted:
		for _, o := range v.Old {
			m.Stats.ToldOld++
			m.dropTask(o.Work, o.Fence)
		}
	}
}

// dropTask drops a task that another session owns now.
func (m *Member) dropTask(task string, _ uint64) {
	if c, ok := m.owner.Release(task); ok {
		m.Stats.Lost++
		m.log("task %q fence %d: another session owns it", task, c.Fence)
	}
	if w := m.quotasByTask[task]; w != nil {
		w.granter = nil
	}
}

// loseSession drops all tasks and the session.
func (m *Member) loseSession(now float64, reason string) {
	lost := m.owner.Lose()
	for _, c := range lost {
		m.Stats.Lost++
		m.log("task %q fence %d: lost, %s", c.Work, c.Fence, reason)
	}
	for _, w := range m.quotasByTask {
		w.granter = nil
	}
	m.session = 0
	m.messages = nil
}

// applySnapshot takes over what a snapshot says about the terms, the session, its tasks and its messages.
func (m *Member) applySnapshot(now float64, s inFlight, v coordinator.View) {
	if v.Lease != m.terms.Lease || v.Drift != m.terms.Drift {
		m.setTerms(v.Lease, v.Drift)
		m.owner.Terms(m.terms)
	}
	if v.Number <= m.lastSnapshot { // older than a snapshot that has already arrived
		m.owner.Confirmed(s.sentAt, v.Number, v.Session, nil)
		m.receiveMessages(now, v.Mail)
		return
	}
	m.Stats.Confirmed++
	m.fleetSize = v.Sessions
	m.highestFence = max(m.highestFence, v.Fence)
	if m.session != v.Session {
		m.session = v.Session
		if !m.cfg.Clean { // an earlier process of this name may have relinquished shares until now
			for name, w := range m.quotasByTask {
				w.holder.RelinquishUntil(min(now, m.cfg.Began+1) + m.termsOf(name).Longest())
			}
		}
	}
	m.lastSnapshot = v.Number
	m.applyOwnedTasks(s, v)
	for _, x := range v.Mine {
		if x.Asked {
			m.release(now, x.Work)
		}
		if m.owner.Released(x.Claim) && !m.releaseInFlight(x.Work) { // the release was lost on its way
			m.request(now, Request{Act: &coordinator.Act{Kind: "release", Session: m.session, Work: x.Work, Fence: x.Fence}}, inFlight{task: x.Work})
		}
	}
	for _, x := range v.Works {
		m.readPlanAnnotation(s.sentAt, x)
		var f probing.Finding
		if len(x.Note) > 0 && strings.HasPrefix(x.Work, Trials+"/") && json.Unmarshal(x.Note, &f) == nil {
			m.hints.Receive(now, x.By, f, x.Age+now-s.sentAt)
		}
	}
	m.receiveMessages(now, v.Mail)
}

// receiveMessages handles messages one by one.
func (m *Member) receiveMessages(now float64, messages []coordinator.Letter) {
	for _, l := range messages {
		m.receiveMessage(now, l)
	}
}

// applyOwnedTasks takes over the owned tasks of a snapshot, and counts the tasks that were gained and lost.
func (m *Member) applyOwnedTasks(s inFlight, v coordinator.View) {
	heldBefore := map[string]uint64{}
	for _, c := range m.owner.Held() {
		heldBefore[c.Work] = c.Fence
	}
	claims := make([]lease.Claim, 0, len(v.Mine))
	for _, x := range v.Mine {
		claims = append(claims, x.Claim)
	}
	for _, c := range m.owner.Confirmed(s.sentAt, v.Number, v.Session, claims) {
		m.Stats.Lost++
		m.log("task %q fence %d: no longer owned", c.Work, c.Fence)
		if w := m.quotasByTask[c.Work]; w != nil && w.granter != nil && w.granter.Fence() == c.Fence {
			w.granter = nil
		}
	}
	for _, c := range m.owner.Held() {
		if heldBefore[c.Work] != c.Fence {
			m.Stats.Gained++
			m.log("task %q fence %d: acquired", c.Work, c.Fence)
		}
	}
}

// releaseInFlight reports whether a release of a task is not yet answered.
func (m *Member) releaseInFlight(task string) bool {
	for _, s := range m.inFlight {
		if s.task == task && !s.annotation {
			return true
		}
	}
	return false
}

// receiveMessage handles one message of another router.
func (m *Member) receiveMessage(now float64, l coordinator.Letter) {
	var x messageBody
	if json.Unmarshal(l.Body, &x) != nil {
		return
	}
	if x.Report != nil && l.Work == PlanWork && m.controller != nil && x.Report.Check(m.cfg.Zones) {
		m.evidenceByRouter[l.From] = evidence{*x.Report, now}
		return
	}
	w := m.quotasByTask[l.Work]
	if w == nil {
		return
	}
	switch {
	case x.ShareRelinquishment != nil && w.granter != nil:
		w.granter.Relinquish(now, l.From, l.Incarnation, *x.ShareRelinquishment)
	case x.ShareGrant != nil:
		fenceRose, err := m.gate.Accept(l.Work, l.Fence)
		if err != nil || x.ShareGrant.Fence != l.Fence {
			m.Stats.Refused++
			m.trace(Trace{What: "refused", Work: l.Work, Fence: l.Fence, At: now})
			return
		}
		if m.highestFence = max(m.highestFence, l.Fence); fenceRose && m.cfg.Keeps && m.persistSeq == 0 {
			m.persist(now, m.persisted.Pledged)
		}
		if x.ForIncarnation != 0 && x.ForIncarnation != m.cfg.Incarnation {
			return // meant for an earlier process of this name
		}
		m.receiveGrant(now, l.Work, w, *x.ShareGrant)
	}
}

// receiveGrant passes a grant to the holder of a quota's share, and traces the share that may be used.
func (m *Member) receiveGrant(now float64, task string, w *sharedQuota, d allocation.Grant) {
	switch err := w.holder.Receive(now, d); {
	case err == allocation.ErrExpired:
		m.Stats.Late++
	case err == nil && d.Tag != 0:
		m.trace(Trace{What: "part", Work: task, Fence: d.Fence, Part: d.Share, At: now, Until: w.holder.Until()})
	}
}

func (m *Member) trace(t Trace) {
	if m.cfg.Trace != nil {
		m.cfg.Trace(t)
	}
}

// Close ends the session in an orderly way: the member does nothing more, and its tasks are free at once.
func (m *Member) Close(now float64) []Request {
	m.closing = true
	for _, c := range m.owner.Held() {
		m.owner.Release(c.Work)
	}
	if m.session != 0 {
		m.request(now, Request{Act: &coordinator.Act{Kind: "close", Session: m.session}}, inFlight{})
	}
	return m.flush()
}
