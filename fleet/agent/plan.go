package agent

import (
	"encoding/json"
	"math"

	"dunereach/fleet/coordinator"
	"dunereach/fleet/failover"
)

// This file sends evidence to the owner of the fleet's plan, the owner's plans to the registry, and the registry's plan to this
// router's guide.

// Guide returns the guide that the admission module follows, or nil.
func (m *Member) Guide() *failover.PlanFollower { return m.guide }

// planStep reports this router's observations once a second, and makes plans if this member owns the plan's task.
func (m *Member) planStep(now float64) {
	if !m.plansEnabled || m.session == 0 || m.demand.Report == nil {
		return
	}
	const reportInterval, planInterval, evidenceLifetime = 1.0, 0.5, 2.5 // seconds; older evidence is not used
	ownsPlan := false
	for _, c := range m.owner.HeldClaims() {
		ownsPlan = ownsPlan || c.Task == PlanTask
	}
	if !ownsPlan {
		m.controller = nil
	}
	if now >= m.reportedAt+reportInterval {
		r := m.demand.Report()
		if m.reportedAt > 0 {
			r.Span = now - m.reportedAt
		}
		m.reportedAt = now
		r.Epoch = m.guide.Epoch(now)
		m.guide.SetOwnZoneLost(r.OwnZoneFails())
		if ownsPlan {
			m.evidenceByRouter[m.cfg.Name] = evidence{r, now}
		} else {
			m.queueMessage(PlanTask, 0, "", messageBody{Report: &r})
		}
	}
	fence, ok := m.owner.Permit(m.currentTime(now), PlanTask, 0.5) // seconds until a plan is committed, at most
	if !ok {
		return
	}
	if m.publishing {
		return // the next plan builds on this one, which may not be committed
	}
	const maxVisibleDelay = 2.0 // seconds after which a committed plan has to appear in a snapshot
	if m.controller != nil && m.registryPlan.Epoch != m.controller.Now().Epoch && m.controller.Now().Epoch > 0 && now > m.planDecidedAt+maxVisibleDelay {
		m.controller = nil // an older plan of this member was committed late and has replaced the newer one
	}
	if m.controller == nil || m.controllerFence != fence {
		// Start from the registry's plan, under an epoch that nobody has seen: plans that were sent before may still arrive.
		last := m.registryPlan
		last.Epoch = max(last.Epoch, m.newestPlan.Epoch, m.highestEpoch)
		m.controller = failover.NewController(failover.Config{Lifetime: failover.Lifetime, Drift: m.terms.Drift, RoundTrip: m.cfg.RoundTrips}, m.cfg.ZoneCount, now, last)
		// A second's evidence is collected first. 1e9: no plan of this member has to appear in a snapshot yet.
		m.controllerFence, m.nextPlanAt, m.planDecidedAt = fence, now+reportInterval, now+1e9
		return
	}
	if now < m.nextPlanAt {
		return
	}
	m.nextPlanAt = now + planInterval
	var reports []failover.Report
	for _, name := range sortedKeys(m.evidenceByRouter) {
		if e := m.evidenceByRouter[name]; now-e.receivedAt <= evidenceLifetime {
			reports = append(reports, e.report)
		} else {
			delete(m.evidenceByRouter, name)
		}
	}
	p, changed := m.controller.Next(now, reports, m.fleetSize, m.orders)
	if !changed {
		return
	}
	p.Zones = m.cfg.ZoneNames
	m.log("plan %d under fence %d: %s", p.Epoch, fence, p.Reason)
	m.publishing, m.highestEpoch = true, p.Epoch
	m.trace(Trace{Event: "plan", Task: PlanTask, Fence: fence, At: now})
	m.request(now, Request{Action: &coordinator.Action{Kind: "note", Session: m.session, Task: PlanTask, Fence: fence, Body: encodePlan(p)}}, inFlight{task: PlanTask, annotation: true})
}

// planDecided handles the outcome of a proposed plan. The next plan must not build on one that may or may not be committed, so
// planning starts again from the registry's plan, once every router that may follow another plan has stopped doing so.
func (m *Member) planDecided(now float64, err error) {
	m.publishing, m.planDecidedAt = false, now
	if err != nil {
		m.controller = nil
	}
}

// encodePlan returns a plan as the registry stores it. Four decimals of a share are more precise than the evidence.
func encodePlan(p failover.PublishedPlan) []byte {
	truncated := func(x failover.Plan) failover.Plan {
		c := x.Clone()
		for _, row := range c.Share {
			for z := range row {
				row[z] = math.Floor(row[z]*1e4) / 1e4
			}
		}
		return c
	}
	p.Plan, p.Fallback = truncated(p.Plan), truncated(p.Fallback)
	for _, figures := range [][]float64{p.Demand, p.PlanCapacity} {
		for z := range figures {
			figures[z] = math.Round(figures[z]*1e3) / 1e3
		}
	}
	text, _ := json.Marshal(p)
	return text
}

// readPlanAnnotation takes over the registry's plan or the operators' orders. They are at least as new as askedAt, when the
// heartbeat was sent.
func (m *Member) readPlanAnnotation(askedAt float64, x coordinator.TaskState) {
	if !m.plansEnabled || len(x.Annotation) == 0 {
		return
	}
	switch x.Task {
	case PlanTask:
		var p failover.PublishedPlan
		if json.Unmarshal(x.Annotation, &p) != nil {
			return
		}
		if m.registryPlan = p; m.guide.Receive(askedAt, p) {
			m.newestPlan = p
		}
	case OrdersTask:
		var o failover.Orders
		if json.Unmarshal(x.Annotation, &o) == nil {
			m.orders = o
		}
	}
}
