package agent

// This file takes what keepers answer and what others write.

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

// ErrNoAnswer is what a driver gives for a request that no coordinator answered.
var ErrNoAnswer = errors.New("no keeper answers")

// Answer to a request; value is a keeping.View or keeping.Posted.
func (m *Member) Answer(now float64, seq uint64, value any, err error) {
	s, ok := m.sent[seq]
	if !ok {
		return
	}
	delete(m.sent, seq)
	if s.beat {
		m.beats--
	}
	if s.note && s.work == PlanWork {
		m.published(now, err)
	}
	var old *lease.StaleFenceError
	switch {
	case err == nil:
	case errors.Is(err, registry.ErrSuperseded):
		if !m.over {
			m.over = true
			m.lose(now, "another process has this name")
		}
		return
	case errors.Is(err, coordinator.ErrSession):
		m.lose(now, "the session is over")
		m.beatAt = max(m.beatAt, now+0.2*m.rnd.Float64())
		return
	case errors.As(err, &old):
		m.Stats.ToldOld++
		m.log("work %q fence %d: %v", old.Work, old.Fence, err)
		m.drop(old.Work, old.Fence)
		return
	default:
		if s.beat { // decorrelated: routers that lost the keepers together don't come back together
			const first, longest = 0.1, 3.0
			m.wait = min(longest, first+m.rnd.Float64()*3*max(m.wait, first))
			m.beatAt = max(m.beatAt, now+m.wait)
		}
		return
	}
	switch v := value.(type) {
	case coordinator.View:
		m.wait = 0
		if v.Session == 0 { // it asks whether we are there now
			m.got, m.beatAt = max(m.got, v.Number), now
			return
		}
		m.view(now, s, v)
	case coordinator.Posted:
		for _, o := range v.Old {
			m.Stats.ToldOld++
			m.drop(o.Work, o.Fence)
		}
	}
}

// drop a work that is another's.
func (m *Member) drop(work string, _ uint64) {
	if c, ok := m.owner.Release(work); ok {
		m.Stats.Lost++
		m.log("work %q fence %d: it is another's now", work, c.Fence)
	}
	if w := m.wholes[work]; w != nil {
		w.dealer = nil
	}
}

func (m *Member) lose(now float64, why string) {
	gone := m.owner.Lose()
	for _, c := range gone {
		m.Stats.Lost++
		m.log("work %q fence %d: lost, %s", c.Work, c.Fence, why)
	}
	for _, w := range m.wholes {
		w.dealer = nil
	}
	m.session = 0
	m.letters = nil
}

func (m *Member) view(now float64, s sent, v coordinator.View) {
	if v.Lease != m.terms.Lease || v.Drift != m.terms.Drift {
		m.setTerms(v.Lease, v.Drift)
		m.owner.Terms(m.terms)
	}
	if v.Number <= m.got { // it was written before one that has come already
		m.owner.Confirmed(s.at, v.Number, v.Session, nil)
		m.mail(now, v.Mail)
		return
	}
	m.Stats.Confirmed++
	m.fleet = v.Sessions
	m.highest = max(m.highest, v.Fence)
	if m.session != v.Session {
		m.session = v.Session
		if !m.cfg.Clean { // a process of this name before us may have pledged until now
			for name, w := range m.wholes {
				w.holder.RelinquishUntil(min(now, m.cfg.Began+1) + m.termsOf(name).Longest())
			}
		}
	}
	m.got = v.Number
	m.confirm(s, v)
	for _, x := range v.Mine {
		if x.Asked {
			m.letGo(now, x.Work)
		}
		if m.owner.Released(x.Claim) && !m.releasing(x.Work) { // the word that we let go of it was lost
			m.request(now, Request{Act: &coordinator.Act{Kind: "release", Session: m.session, Work: x.Work, Fence: x.Fence}}, sent{work: x.Work})
		}
	}
	for _, x := range v.Works {
		m.planned(s.at, x)
		var f probing.Finding
		if len(x.Note) > 0 && strings.HasPrefix(x.Work, Trials+"/") && json.Unmarshal(x.Note, &f) == nil {
			m.book.Receive(now, x.By, f, x.Age+now-s.at)
		}
	}
	m.mail(now, v.Mail)
}

// mail takes messages one by one.
func (m *Member) mail(now float64, letters []coordinator.Letter) {
	for _, l := range letters {
		m.letter(now, l)
	}
}

// confirm takes the tasks that a snapshot of state says this member owns: which are gained, and which are lost.
func (m *Member) confirm(s sent, v coordinator.View) {
	had := map[string]uint64{}
	for _, c := range m.owner.Held() {
		had[c.Work] = c.Fence
	}
	claims := make([]lease.Claim, 0, len(v.Mine))
	for _, x := range v.Mine {
		claims = append(claims, x.Claim)
	}
	for _, c := range m.owner.Confirmed(s.at, v.Number, v.Session, claims) {
		m.Stats.Lost++
		m.log("work %q fence %d: it is not ours any more", c.Work, c.Fence)
		if w := m.wholes[c.Work]; w != nil && w.dealer != nil && w.dealer.Fence() == c.Fence {
			w.dealer = nil
		}
	}
	for _, c := range m.owner.Held() {
		if had[c.Work] != c.Fence {
			m.Stats.Gained++
			m.log("work %q fence %d: ours", c.Work, c.Fence)
		}
	}
}

func (m *Member) releasing(work string) bool {
	for _, s := range m.sent {
		if s.work == work && !s.note {
			return true
		}
	}
	return false
}

func (m *Member) letter(now float64, l coordinator.Letter) {
	var x word
	if json.Unmarshal(l.Body, &x) != nil {
		return
	}
	if x.Report != nil && l.Work == PlanWork && m.control != nil && x.Report.Check(m.cfg.Zones) {
		m.seen[l.From] = evidence{*x.Report, now}
		return
	}
	w := m.wholes[l.Work]
	if w == nil {
		return
	}
	switch {
	case x.Pledge != nil && w.dealer != nil:
		w.dealer.Relinquish(now, l.From, l.Incarnation, *x.Pledge)
	case x.Deal != nil:
		rose, err := m.gate.Accept(l.Work, l.Fence)
		if err != nil || x.Deal.Fence != l.Fence {
			m.Stats.Refused++
			m.trace(Trace{What: "refused", Work: l.Work, Fence: l.Fence, At: now})
			return
		}
		if m.highest = max(m.highest, l.Fence); rose && m.cfg.Keeps && m.keeping == 0 {
			m.keep(now, m.kept.Pledged)
		}
		if x.For != 0 && x.For != m.cfg.Incarnation {
			return // of an earlier process of this name
		}
		m.hear(now, l.Work, w, *x.Deal)
	}
}

func (m *Member) hear(now float64, work string, w *whole, d allocation.Grant) {
	switch err := w.holder.Receive(now, d); {
	case err == allocation.ErrExpired:
		m.Stats.Late++
	case err == nil && d.Tag != 0:
		m.trace(Trace{What: "part", Work: work, Fence: d.Fence, Part: d.Share, At: now, Until: w.holder.Until()})
	}
}

func (m *Member) trace(t Trace) {
	if m.cfg.Trace != nil {
		m.cfg.Trace(t)
	}
}

// Close ends the session on purpose: nothing more is done, and the works are free at once.
func (m *Member) Close(now float64) []Request {
	m.closing = true
	for _, c := range m.owner.Held() {
		m.owner.Release(c.Work)
	}
	if m.session != 0 {
		m.request(now, Request{Act: &coordinator.Act{Kind: "close", Session: m.session}}, sent{})
	}
	return m.flush()
}
