package agent

import (
	"encoding/json"
	"math"

	"dunereach/fleet/coordinator"
	"dunereach/fleet/failover"
)

// This file carries evidence to the owner of the fleet's plan, the owner's plans to the record, and what the record has to this
// router's guide.

// Guide that the module follows, nil: none.
func (m *Member) Guide() *failover.Guide { return m.guide }

// planning tells what was seen, once a second, and makes plans where that work is ours.
func (m *Member) planning(now float64) {
	if !m.doesPlans || m.session == 0 || m.demand.Report == nil {
		return
	}
	const every, look, fresh = 1.0, 0.5, 2.5 // seconds; evidence that is older says nothing
	own := false
	for _, c := range m.owner.Held() {
		own = own || c.Work == PlanWork
	}
	if !own {
		m.control = nil
	}
	if now >= m.reportAt+every {
		r := m.demand.Report()
		if m.reportAt > 0 {
			r.Span = now - m.reportAt
		}
		m.reportAt = now
		r.Epoch = m.guide.Epoch(now)
		m.guide.See(r.Fails())
		if own {
			m.seen[m.cfg.Name] = evidence{r, now}
		} else {
			m.write(PlanWork, 0, "", word{Report: &r})
		}
	}
	fence, ok := m.owner.Permit(m.at(now), PlanWork, 0.5) // seconds that agreeing takes at most
	if !ok {
		return
	}
	if m.publishing {
		return // the next step stands on this one, which may not have been agreed
	}
	const shows = 2.0 // seconds after which what was agreed has to show in a view
	if m.control != nil && m.shown.Epoch != m.control.Now().Epoch && m.control.Now().Epoch > 0 && now > m.agreedAt+shows {
		m.control = nil // an older word of ours came late and stands there now
	}
	if m.control == nil || m.controls != fence {
		// From what the record has, under an epoch that nobody has heard of: whatever was said before may still come.
		last := m.shown
		last.Epoch = max(last.Epoch, m.plan.Epoch, m.said)
		m.control = failover.NewController(failover.Terms{Life: failover.Life, Drift: m.terms.Drift, Way: m.cfg.Way}, m.cfg.Zones, now, last)
		m.controls, m.nextAt, m.agreedAt = fence, now+every, now+1e9 // a second's evidence first; nothing of ours has to show yet
		return
	}
	if now < m.nextAt {
		return
	}
	m.nextAt = now + look
	var reports []failover.Report
	for _, name := range sorted(m.seen) {
		if e := m.seen[name]; now-e.at <= fresh {
			reports = append(reports, e.report)
		} else {
			delete(m.seen, name)
		}
	}
	p, changed := m.control.Next(now, reports, m.fleet, m.orders)
	if !changed {
		return
	}
	p.Zones = m.cfg.ZoneNames
	m.log("plan %d under fence %d: %s", p.Epoch, fence, p.Why)
	m.publishing, m.said = true, p.Epoch
	m.trace(Trace{What: "plan", Work: PlanWork, Fence: fence, At: now})
	m.request(now, Request{Act: &coordinator.Act{Kind: "note", Session: m.session, Work: PlanWork, Fence: fence, Body: packed(p)}}, sent{work: PlanWork, note: true})
}

// published tells what became of a plan. One that may or may not be agreed is no ground for the next step: it is started anew from
// what the record shows, when all that may follow another plan have stopped.
func (m *Member) published(now float64, err error) {
	m.publishing, m.agreedAt = false, now
	if err != nil {
		m.control = nil
	}
}

// packed is a plan as the record keeps it: four digits of a share are more than evidence has.
func packed(p failover.Published) []byte {
	short := func(x failover.Plan) failover.Plan {
		c := x.Clone()
		for _, row := range c.Share {
			for z := range row {
				row[z] = math.Floor(row[z]*1e4) / 1e4
			}
		}
		return c
	}
	p.Plan, p.Still = short(p.Plan), short(p.Still)
	for _, figures := range [][]float64{p.Demand, p.Room} {
		for z := range figures {
			figures[z] = math.Round(figures[z]*1e3) / 1e3
		}
	}
	text, _ := json.Marshal(p)
	return text
}

// planned takes what the record has of the plan and of the operators' words, as it was at least when it was asked for.
func (m *Member) planned(asked float64, x coordinator.Seen) {
	if !m.doesPlans || len(x.Note) == 0 {
		return
	}
	switch x.Work {
	case PlanWork:
		var p failover.Published
		if json.Unmarshal(x.Note, &p) != nil {
			return
		}
		if m.shown = p; m.guide.Hear(asked, p) {
			m.plan = p
		}
	case WordsWork:
		var o failover.Orders
		if json.Unmarshal(x.Note, &o) == nil {
			m.orders = o
		}
	}
}
