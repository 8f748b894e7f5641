package agent

// This file acts on the tasks that this member owns, and relinquishes shares to the owners of other tasks.

import (
	"encoding/json"
	"math"
	"strings"

	"dunereach/fleet/allocation"
	"dunereach/fleet/coordinator"
	"dunereach/fleet/failover"
	"dunereach/fleet/lease"
	"dunereach/probing"
)

// performOwnedTasks acts on the tasks that this member owns. It checks before each action that the lease still holds.
func (m *Member) performOwnedTasks(now float64) {
	for _, c := range m.owner.HeldClaims() {
		if x := m.probeTasks[c.Task]; x != nil {
			m.annotateFinding(now, c, x)
			continue
		}
		w := m.quotasByTask[c.Task]
		if c.Task == PlanTask && m.plansEnabled {
			continue // planStep does this
		}
		if w == nil { // acquired before this member forgot the quota
			m.release(now, c.Task)
			continue
		}
		if w.granter == nil || w.granter.Fence() != c.Fence {
			w.granter, w.roundOpenedAt = allocation.NewGranter(m.termsOf(c.Task), c.Fence, m.lastRound, now), math.Inf(-1)
		}
		// A grant counts from now on, wherever it arrives, so nothing is subtracted for the time until it arrives.
		now := m.currentTime(now)
		fence, ok := m.owner.Permit(now, c.Task, 0)
		if !ok || fence != w.granter.Fence() {
			continue
		}
		if now-w.roundOpenedAt >= roundInterval {
			w.roundOpenedAt = now
			m.trace(Trace{Event: "act", Task: c.Task, Fence: fence, At: now, Until: m.owner.LeaseEnd()})
			d := allocation.Grant{Fence: fence, Round: w.granter.OpenRound(now)}
			m.lastRound = max(m.lastRound, d.Round)
			m.queueMessage(c.Task, fence, "*", messageBody{ShareGrant: &d})
			w.holder.Receive(now, d)
		}
		for _, to := range w.granter.IssueGrants(now) {
			m.Stats.Granted++
			if to.Name == m.cfg.Name && to.Incarnation == m.cfg.Incarnation {
				m.receiveGrant(now, c.Task, w, to.Grant)
				continue
			}
			m.queueMessage(c.Task, fence, to.Name, messageBody{ShareGrant: &to.Grant, ForIncarnation: to.Incarnation})
		}
	}
}

// termsOf returns the terms of the quota that a task is about.
func (m *Member) termsOf(task string) allocation.Terms {
	if strings.HasPrefix(task, QuotaKind+"/") {
		return m.tenantTerms
	}
	return m.coldTerms
}

// currentTime returns the time of an action. The process may have been paused since the driver passed in now.
func (m *Member) currentTime(now float64) float64 {
	if m.cfg.Now != nil {
		return max(now, m.cfg.Now())
	}
	return now
}

// annotateFinding annotates a probe task with this router's finding on the server, if it has any.
func (m *Member) annotateFinding(now float64, c lease.Claim, x *probeTask) {
	if m.demand.Health == nil || now-x.annotatedAt < annotationInterval {
		return
	}
	h, ok := m.demand.Health(x.server.ID)
	if !ok || h.Start != x.server.Start || !h.Unhealthy && (h.SinceAnswer < 0 || h.SinceAnswer > 1) {
		return // it neither fails here nor has answered recently: there is no finding
	}
	const maxAgreeTime = 0.5 // seconds until the annotation is committed and visible, at most
	fence, permitted := m.owner.Permit(m.currentTime(now), c.Task, maxAgreeTime)
	if !permitted {
		return
	}
	x.annotatedAt, x.healthy = now, !h.Unhealthy
	body, _ := json.Marshal(probing.Finding{Server: x.server.ID, Start: x.server.Start, Healthy: !h.Unhealthy})
	m.request(now, Request{Action: &coordinator.Action{Kind: "note", Session: m.session, Task: c.Task, Fence: fence, Body: body}}, inFlight{task: c.Task, annotation: true})
}

// messageBody is the body of a message between routers.
type messageBody struct {
	ShareGrant          *allocation.Grant          `json:"deal,omitempty"`
	ForIncarnation      uint64                     `json:"for,omitempty"` // the incarnation that a grant is for
	ShareRelinquishment *allocation.Relinquishment `json:"pledge,omitempty"`
	Report              *failover.Report           `json:"report,omitempty"`
}

// queueMessage queues a message for the coordinators to forward.
func (m *Member) queueMessage(task string, fence uint64, to string, w messageBody) {
	body, _ := json.Marshal(w)
	if m.messages = append(m.messages, coordinator.Message{Task: task, Fence: fence, To: to, Body: body}); len(m.messages) > 4*coordinator.MaxMessages {
		m.messages = m.messages[1:] // the coordinators are slow: drop the oldest message, which is of least use
	}
}

// relinquish relinquishes shares to owners that have opened a round, once for each round.
func (m *Member) relinquish(now float64) {
	for _, name := range sortedKeys(m.quotasByTask) {
		w := m.quotasByTask[name]
		round, fence := w.holder.LastRound(), w.holder.HighestFence()
		if round == 0 || now-w.lastNeeded > 1 || fence == w.fence && round <= w.relinquishedRound {
			continue
		}
		if m.cfg.Persistent && (!m.persisted.Relinquished || m.persistingClear) {
			if m.persistSeq == 0 {
				m.persist(now, true)
			}
			return // the disk has to say so before the member relinquishes, for the process that comes after this one
		}
		p, ok := w.holder.Relinquish(now, w.need, w.leastShare)
		if !ok {
			continue
		}
		m.Stats.Relinquishments++
		m.trace(Trace{Event: "laid", Task: name, Fence: fence, At: now, Until: w.holder.RelinquishedUntil()})
		w.fence, w.relinquishedRound = fence, round
		if w.granter != nil && w.granter.Fence() == fence {
			w.granter.AcceptRelinquishment(now, m.cfg.Name, m.cfg.Incarnation, p)
			continue
		}
		m.queueMessage(name, 0, "", messageBody{ShareRelinquishment: &p})
	}
}

// persist requests that the state is stored, and whether shares may be relinquished.
func (m *Member) persist(now float64, relinquished bool) {
	marks, floor := m.gate.Export()
	k := PersistentState{Marks: marks, Floor: floor, HighestFence: m.highestFence, Relinquished: relinquished}
	m.request(now, Request{Persist: &k}, inFlight{})
	m.persistSeq, m.persistingClear = m.lastSeq, !relinquished
}
