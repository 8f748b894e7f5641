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
	if s.annotation && s.task == PlanTask {
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
	case errors.Is(err, coordinator.ErrUnknownSession):
		m.loseSession(now, "the session has ended")
		m.nextHeartbeat = max(m.nextHeartbeat, now+0.2*m.rng.Float64())
		return
	case errors.As(err, &stale):
		m.Stats.StaleNotices++
		m.log("task %q fence %d: %v", stale.Task, stale.Fence, err)
		m.dropTask(stale.Task, stale.Fence)
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
	case coordinator.Snapshot:
		m.backoff = 0
		if v.Session == 0 { // a token, which the next heartbeat returns to prove that this process is alive
			m.lastSnapshot, m.nextHeartbeat = max(m.lastSnapshot, v.Number), now
			return
		}
		m.applySnapshot(now, s, v)
	case coordinator.PostResult:
		for _, o := range v.Stale {
			m.Stats.StaleNotices++
			m.dropTask(o.Task, o.Fence)
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
	lost := m.owner.EndSession()
	for _, c := range lost {
		m.Stats.Lost++
		m.log("task %q fence %d: lost, %s", c.Task, c.Fence, reason)
	}
	for _, w := range m.quotasByTask {
		w.granter = nil
	}
	m.session = 0
	m.messages = nil
}

// applySnapshot takes over what a snapshot says about the terms, the session, its tasks and its messages.
func (m *Member) applySnapshot(now float64, s inFlight, v coordinator.Snapshot) {
	if v.Lease != m.terms.Lease || v.Drift != m.terms.Drift {
		m.setTerms(v.Lease, v.Drift)
		m.owner.SetTerms(m.terms)
	}
	if v.Number <= m.lastSnapshot { // older than a snapshot that has already arrived
		m.owner.ApplyConfirmation(s.sentAt, v.Number, v.Session, nil)
		m.receiveMessages(now, v.Messages)
		return
	}
	m.Stats.SnapshotsApplied++
	m.fleetSize = v.Sessions
	m.highestFence = max(m.highestFence, v.Fence)
	if m.session != v.Session {
		m.session = v.Session
		if !m.cfg.CleanStart { // an earlier process of this name may have relinquished shares until now
			for name, w := range m.quotasByTask {
				w.holder.ExtendRelinquishment(min(now, m.cfg.StartedAt+1) + m.termsOf(name).LongestRelinquishment())
			}
		}
	}
	m.lastSnapshot = v.Number
	m.applyOwnedTasks(s, v)
	for _, x := range v.Owned {
		if x.ReleaseRequested {
			m.release(now, x.Task)
		}
		if m.owner.Released(x.Claim) && !m.releaseInFlight(x.Task) { // the release was lost on its way
			m.request(now, Request{Action: &coordinator.Action{Kind: "release", Session: m.session, Task: x.Task, Fence: x.Fence}}, inFlight{task: x.Task})
		}
	}
	for _, x := range v.Tasks {
		m.readPlanAnnotation(s.sentAt, x)
		var f probing.Finding
		if len(x.Annotation) > 0 && strings.HasPrefix(x.Task, ProbeKind+"/") && json.Unmarshal(x.Annotation, &f) == nil {
			m.hints.Receive(now, x.AnnotationFence, f, x.AnnotationAge+now-s.sentAt)
		}
	}
	m.receiveMessages(now, v.Messages)
}

// receiveMessages handles messages one by one.
func (m *Member) receiveMessages(now float64, messages []coordinator.Message) {
	for _, l := range messages {
		m.receiveMessage(now, l)
	}
}

// applyOwnedTasks takes over the owned tasks of a snapshot, and counts the tasks that were gained and lost.
func (m *Member) applyOwnedTasks(s inFlight, v coordinator.Snapshot) {
	heldBefore := map[string]uint64{}
	for _, c := range m.owner.HeldClaims() {
		heldBefore[c.Task] = c.Fence
	}
	claims := make([]lease.Claim, 0, len(v.Owned))
	for _, x := range v.Owned {
		claims = append(claims, x.Claim)
	}
	for _, c := range m.owner.ApplyConfirmation(s.sentAt, v.Number, v.Session, claims) {
		m.Stats.Lost++
		m.log("task %q fence %d: no longer owned", c.Task, c.Fence)
		if w := m.quotasByTask[c.Task]; w != nil && w.granter != nil && w.granter.Fence() == c.Fence {
			w.granter = nil
		}
	}
	for _, c := range m.owner.HeldClaims() {
		if heldBefore[c.Task] != c.Fence {
			m.Stats.Gained++
			m.log("task %q fence %d: acquired", c.Task, c.Fence)
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
func (m *Member) receiveMessage(now float64, l coordinator.Message) {
	var x messageBody
	if json.Unmarshal(l.Body, &x) != nil {
		return
	}
	if x.Report != nil && l.Task == PlanTask && m.controller != nil && x.Report.Valid(m.cfg.ZoneCount) {
		m.evidenceByRouter[l.From] = evidence{*x.Report, now}
		return
	}
	w := m.quotasByTask[l.Task]
	if w == nil {
		return
	}
	switch {
	case x.ShareRelinquishment != nil && w.granter != nil:
		w.granter.AcceptRelinquishment(now, l.From, l.Incarnation, *x.ShareRelinquishment)
	case x.ShareGrant != nil:
		fenceRose, err := m.gate.Accept(l.Task, l.Fence)
		if err != nil || x.ShareGrant.Fence != l.Fence {
			m.Stats.RejectedStale++
			m.trace(Trace{Event: "refused", Task: l.Task, Fence: l.Fence, At: now})
			return
		}
		if m.highestFence = max(m.highestFence, l.Fence); fenceRose && m.cfg.Persistent && m.persistSeq == 0 {
			m.persist(now, m.persisted.Relinquished)
		}
		if x.ForIncarnation != 0 && x.ForIncarnation != m.cfg.Incarnation {
			return // meant for an earlier process of this name
		}
		m.receiveGrant(now, l.Task, w, *x.ShareGrant)
	}
}

// receiveGrant passes a grant to the holder of a quota's share, and traces the share that may be used.
func (m *Member) receiveGrant(now float64, task string, w *sharedQuota, d allocation.Grant) {
	switch err := w.holder.Receive(now, d); {
	case err == allocation.ErrExpired:
		m.Stats.LateGrants++
	case err == nil && d.Tag != 0:
		m.trace(Trace{Event: "part", Task: task, Fence: d.Fence, Share: d.Share, At: now, Until: w.holder.ShareUntil()})
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
	m.owner.Close()
	if m.session != 0 {
		m.request(now, Request{Action: &coordinator.Action{Kind: "close", Session: m.session}}, inFlight{})
	}
	return m.flush()
}
