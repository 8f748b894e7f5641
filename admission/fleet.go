package admission

import "dunereach/fleet/failover"

// This file asks the fleet for what it has heard and tells it what there is use for. It decides nothing; without a fleet it
// does nothing.

// asksOf makes a tenant's window where it is used.
func asksOf(set Settings) (w window) {
	if set.Fleet != nil {
		w = newWindow(askSpan, 10)
	}
	return w
}

// Needs tells what there is use for.
func (b *Brain) Needs(now float64, u Use) {
	b.now = now
	b.needs(u)
}

// Health is what is known of an engine: whether it gets trials only, and how long ago it answered here, negative: never. ok is
// false where the list does not have it.
func (b *Brain) Health(engine uint32) (start float64, ill bool, heard float64, ok bool) {
	k, ok := b.index[engine]
	if !ok || b.engines[k].State != Ready {
		return 0, false, 0, false
	}
	e := &b.engines[k]
	if heard = -1; e.heardAt > 0 {
		heard = b.now - e.heardAt
	}
	return e.ReadyAt, e.ill, heard, true
}

func (b *Brain) coldPart(e *engine) (part float64, ok bool) {
	if b.set.Fleet == nil {
		return 0, false
	}
	return b.set.Fleet.Part(b.now, e.Engine, e.ReadyAt)
}

func (b *Brain) quotaPart(tenant int) float64 {
	if b.set.Fleet != nil {
		if part, ok := b.set.Fleet.Quota(b.now, tenant); ok {
			return part
		}
	}
	return b.ofPool(b.share)
}

func (b *Brain) trialAt(e *engine) float64 {
	if b.set.Fleet == nil {
		return e.trialAt
	}
	return b.set.Fleet.TrialAt(b.now, e.Engine, e.ReadyAt, e.trialAt)
}

func (b *Brain) tried(e *engine, o *Outcome) {
	if e.trial && b.set.Fleet != nil {
		b.set.Fleet.Tried(b.now, e.Engine, e.ReadyAt, o.End == Answered)
	}
}

func (b *Brain) planned(zone int, work float64) (price float64, ok bool) {
	if b.set.Plan == nil {
		return 0, false
	}
	return b.set.Plan.Price(b.now, zone, work)
}

func (b *Brain) went(zone int, work float64) {
	if b.set.Plan != nil {
		b.set.Plan.Sent(b.now, zone, work)
	}
}

func (b *Brain) keeps(r *record) bool {
	return b.set.Plan == nil || b.set.Plan.Keeps(b.now, r.price, r.cost)
}

// saw counts how a send ended, as evidence on its zone. What was given up by the router itself tells nothing.
func (b *Brain) saw(e *engine, o *Outcome, r *record) {
	if b.set.Plan == nil || o.End == Cancelled || o.End == Moot || e.Zone < 0 || e.Zone >= failover.MostZones {
		return
	}
	for len(b.sights) <= e.Zone {
		b.sights = append(b.sights, failover.Sight{})
	}
	s := &b.sights[e.Zone]
	s.Sent++
	switch o.End {
	case Answered:
		// What came late because it was lost elsewhere first says nothing against the zone that then answered it.
		if b.now <= r.aim {
			s.Work += r.cost
		} else if o.Lag > 0.5*(r.aim-r.took) {
			s.Late++
		}
		// An average by work over the answers of the second: tiny commands are mostly delay. It is not against this router's own usual,
		// which follows a zone that is slow for long within some dozens of answers.
		if r.best > 0 && r.cost > 0 {
			s.Did += r.cost
			s.Slow += (o.Lag/r.best - s.Slow) * r.cost / s.Did
		}
	case TurnedAway:
		s.Turned++
	case TimedOut, Unreachable, Cut:
		s.Bad++
	}
}

// Report is what was seen of so many zones since the last one, with what is asked for here.
func (b *Brain) Report(now float64, zones int) failover.Report {
	b.now = now
	r := failover.Report{Zone: b.set.Zone, Sights: make([]failover.Sight, zones)}
	copy(r.Sights, b.sights)
	clear(b.sights)
	for k := range b.prof {
		p := &b.prof[k]
		work := p.received.most(now) / min(max(now-b.began, 1), allowSpan) * p.work
		r.Demand += work
		if len(p.Zones) == 1 && p.Zones[0] == b.set.Zone {
			r.Pinned += work
		}
	}
	for k := range b.engines {
		e := &b.engines[k]
		if e.Zone < 0 || e.Zone >= zones {
			continue
		}
		switch e.State {
		case Ready:
			cores := e.cores
			if b.isCold(e) { // what it bears by now
				cores *= b.coldWindow(e) / max(b.set.FallMultiple*e.cores*coldMargin*b.set.FallWindow, 1e-9)
				r.Sights[e.Zone].Cold += e.cores - cores
			}
			// An engine that nothing has needed since its trial was due may be well again: that says nothing about its zone.
			const stale = 4.0 // seconds past that: longer than the longest pause between two trials
			if r.Sights[e.Zone].Ready += cores; e.ill && now < e.trialAt+stale {
				r.Sights[e.Zone].Doubt += cores
			}
		case Draining:
			r.Sights[e.Zone].Drains += e.cores
		}
	}
	for z := range r.Sights { // of the whole pool, where only some of it is held
		s, part := &r.Sights[z], b.heldOf(z)
		s.Ready, s.Cold, s.Doubt, s.Drains = s.Ready/part, s.Cold/part, s.Doubt/part, s.Drains/part
	}
	return r
}
