package agent

// This file does the works that are ours, and lays parts down for those of others.

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

// own does the works that are ours. Each act asks at its moment whether the lease still runs.
func (m *Member) own(now float64) {
	for _, c := range m.owner.Held() {
		if x := m.trials[c.Work]; x != nil {
			m.find(now, c, x)
			continue
		}
		w := m.wholes[c.Work]
		if c.Work == PlanWork && m.doesPlans {
			continue // planning
		}
		if w == nil { // ours since before we forgot it
			m.letGo(now, c.Work)
			continue
		}
		if w.dealer == nil || w.dealer.Fence() != c.Fence {
			w.dealer, w.opened = allocation.NewGranter(m.termsOf(c.Work), c.Fence, m.round, now), math.Inf(-1)
		}
		// A deal counts from now on wherever it gets to, so nothing is to be taken off for its way.
		now := m.at(now)
		fence, ok := m.owner.Permit(now, c.Work, 0)
		if !ok || fence != w.dealer.Fence() {
			continue
		}
		if now-w.opened >= every {
			w.opened = now
			m.trace(Trace{What: "act", Work: c.Work, Fence: fence, At: now, Until: m.owner.Until()})
			d := allocation.Grant{Fence: fence, Round: w.dealer.OpenRound(now)}
			m.round = max(m.round, d.Round)
			m.write(c.Work, fence, "*", word{Deal: &d})
			w.holder.Receive(now, d)
		}
		for _, to := range w.dealer.Grants(now) {
			m.Stats.Dealt++
			if to.Name == m.cfg.Name && to.Incarnation == m.cfg.Incarnation {
				m.hear(now, c.Work, w, to.Grant)
				continue
			}
			m.write(c.Work, fence, to.Name, word{Deal: &to.Grant, For: to.Incarnation})
		}
	}
}

func (m *Member) termsOf(work string) allocation.Terms {
	if strings.HasPrefix(work, Quotas+"/") {
		return m.quota
	}
	return m.parts
}

// at is the time of an act: a process may have stood still since it was told the time.
func (m *Member) at(now float64) float64 {
	if m.cfg.Now != nil {
		return max(now, m.cfg.Now())
	}
	return now
}

// find puts down what we found of an engine, where we know anything.
func (m *Member) find(now float64, c lease.Claim, x *trial) {
	if m.demand.Health == nil || now-x.noted < noteEvery {
		return
	}
	h, ok := m.demand.Health(x.engine.ID)
	if !ok || h.Start != x.engine.Start || !h.Ill && (h.Heard < 0 || h.Heard > 1) {
		return // it neither fails here nor has answered of late: nothing was found
	}
	const way = 0.5 // seconds that agreeing takes at most, before the finding is seen
	fence, may := m.owner.Permit(m.at(now), c.Work, way)
	if !may {
		return
	}
	x.noted, x.well = now, !h.Ill
	body, _ := json.Marshal(probing.Finding{Server: x.engine.ID, Start: x.engine.Start, Healthy: !h.Ill})
	m.request(now, Request{Act: &coordinator.Act{Kind: "note", Session: m.session, Work: c.Work, Fence: fence, Body: body}}, sent{work: c.Work, note: true})
}

// word is a letter's body.
type word struct {
	Deal   *allocation.Grant          `json:"deal,omitempty"`
	For    uint64                     `json:"for,omitempty"` // the incarnation that a deal answers
	Pledge *allocation.Relinquishment `json:"pledge,omitempty"`
	Report *failover.Report           `json:"report,omitempty"`
}

func (m *Member) write(work string, fence uint64, to string, w word) {
	body, _ := json.Marshal(w)
	if m.letters = append(m.letters, coordinator.Letter{Work: work, Fence: fence, To: to, Body: body}); len(m.letters) > 4*coordinator.MostLetters {
		m.letters = m.letters[1:] // keepers are slow: the oldest are of least use
	}
}

// pledge lays parts down where an owner has opened a round, once for each.
func (m *Member) pledge(now float64) {
	for _, name := range sorted(m.wholes) {
		w := m.wholes[name]
		round, fence := w.holder.Round(), w.holder.Fence()
		if round == 0 || now-w.wanted > 1 || fence == w.fence && round <= w.pledged {
			continue
		}
		if m.cfg.Keeps && (!m.kept.Pledged || m.clearing) {
			if m.keeping == 0 {
				m.keep(now, true)
			}
			return // a process that comes after this one has to know
		}
		p, ok := w.holder.Relinquish(now, w.need, w.least)
		if !ok {
			continue
		}
		m.Stats.Pledges++
		m.trace(Trace{What: "laid", Work: name, Fence: fence, At: now, Until: w.holder.RelinquishedUntil()})
		w.fence, w.pledged = fence, round
		if w.dealer != nil && w.dealer.Fence() == fence {
			w.dealer.Relinquish(now, m.cfg.Name, m.cfg.Incarnation, p)
			continue
		}
		m.write(name, 0, "", word{Pledge: &p})
	}
}

func (m *Member) keep(now float64, pledged bool) {
	marks, floor := m.gate.Export()
	k := Kept{Marks: marks, Floor: floor, Highest: m.highest, Pledged: pledged}
	m.request(now, Request{Keep: &k}, sent{})
	m.keeping, m.clearing = m.seq, !pledged
}
