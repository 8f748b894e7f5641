package admission

import "dunereach/fleet/failover"

// This file exchanges shares, probe results and zone reports with the fleet. It decides nothing; without a fleet it
// does nothing.

// newDemandWindow returns a tenant's window of requests, which only a fleet needs.
func newDemandWindow(set Settings) (w window) {
	if set.Fleet != nil {
		w = newWindow(tenantDemandSpan, 10)
	}
	return w
}

// Needs reports which shares of the fleet's totals this router needs.
func (b *Controller) Needs(now float64, u NeedsSink) {
	b.now = now
	b.reportNeeds(u)
}

// Health returns a server's start, whether it receives probes only, and the seconds since its last answer here,
// negative if there was none. ok is false if the list does not contain the server.
func (b *Controller) Health(id uint32) (start float64, unhealthy bool, sinceAnswer float64, ok bool) {
	k, ok := b.index[id]
	if !ok || b.servers[k].State != Ready {
		return 0, false, 0, false
	}
	e := &b.servers[k]
	if sinceAnswer = -1; e.answeredAt > 0 {
		sinceAnswer = b.now - e.answeredAt
	}
	return e.ReadyAt, e.unhealthy, sinceAnswer, true
}

func (b *Controller) coldShare(e *server) (granted float64, ok bool) {
	if b.config.Fleet == nil {
		return 0, false
	}
	return b.config.Fleet.WarmUpShare(b.now, e.Server, e.ReadyAt)
}

func (b *Controller) quotaShare(tenant int) float64 {
	if b.config.Fleet != nil {
		if granted, ok := b.config.Fleet.QuotaShare(b.now, tenant); ok {
			return granted
		}
	}
	return b.shareOfPool(b.share)
}

func (b *Controller) nextProbeAt(e *server) float64 {
	if b.config.Fleet == nil {
		return e.nextProbeAt
	}
	return b.config.Fleet.NextProbe(b.now, e.Server, e.ReadyAt, e.nextProbeAt)
}

func (b *Controller) reportProbe(e *server, o *Outcome) {
	if e.probing && b.config.Fleet != nil {
		b.config.Fleet.Probed(b.now, e.Server, e.ReadyAt, o.End == Completed)
	}
}

func (b *Controller) zonePrice(zone int, work float64) (price float64, ok bool) {
	if b.config.Plan == nil {
		return 0, false
	}
	return b.config.Plan.Price(b.now, zone, work)
}

func (b *Controller) countZoneWork(zone int, work float64) {
	if b.config.Plan != nil {
		b.config.Plan.Sent(b.now, zone, work)
	}
}

func (b *Controller) planAdmits(r *requestState) bool {
	return b.config.Plan == nil || b.config.Plan.Keeps(b.now, r.price, r.cost)
}

// countZoneOutcome counts the outcome of an attempt as evidence on its zone. Attempts that this router ended itself are
// left out.
func (b *Controller) countZoneOutcome(e *server, o *Outcome, r *requestState) {
	if b.config.Plan == nil || o.End == Cancelled || o.End == Withdrawn || e.Zone < 0 || e.Zone >= failover.MaxZones {
		return
	}
	for len(b.zoneOutcomes) <= e.Zone {
		b.zoneOutcomes = append(b.zoneOutcomes, failover.ZoneObservation{})
	}
	s := &b.zoneOutcomes[e.Zone]
	s.Attempts++
	switch o.End {
	case Completed:
		// An answer that is late because an earlier attempt elsewhere was lost is no evidence against the zone that
		// gave it.
		if b.now <= r.target {
			s.Work += r.cost
		} else if o.Latency > 0.5*(r.target-r.takenAt) {
			s.Late++
		}
		// An average by work over the answers since the last report: the time of tiny requests is mostly overhead. The
		// reference is not this router's own usual slowdown, which adapts to a zone that stays slow within some dozens
		// of answers.
		if r.bestTime > 0 && r.cost > 0 {
			s.SlowWork += r.cost
			s.Slow += (o.Latency/r.bestTime - s.Slow) * r.cost / s.SlowWork
		}
	case Rejected:
		s.Rejected++
	case TimedOut, Unreachable, ConnectionLost:
		s.Failed++
	}
}

// Report returns the outcomes by zone since the last report, and the demand at this router.
func (b *Controller) Report(now float64, zones int) failover.Report {
	b.now = now
	r := failover.Report{Zone: b.config.Zone, Observations: make([]failover.ZoneObservation, zones)}
	copy(r.Observations, b.zoneOutcomes)
	clear(b.zoneOutcomes)
	for k := range b.profiles {
		p := &b.profiles[k]
		work := p.received.most(now) / min(max(now-b.startedAt, 1), allowanceSpan) * p.work
		r.Demand += work
		if len(p.Zones) == 1 && p.Zones[0] == b.config.Zone {
			r.Pinned += work
		}
	}
	for k := range b.servers {
		e := &b.servers[k]
		if e.Zone < 0 || e.Zone >= zones {
			continue
		}
		switch e.State {
		case Ready:
			cores := e.cores
			if b.cold(e) { // the cores that it can use so far
				cores *= b.coldWindow(e) / max(b.config.FallMultiple*e.cores*coldMargin*b.config.FallWindow, 1e-9)
				r.Observations[e.Zone].ColdCores += e.cores - cores
			}
			// A server that no request has needed since its probe was due may have recovered: it is no evidence on its
			// zone.
			const probeOverdue = 4.0 // seconds after that time: longer than the longest interval between two probes
			if r.Observations[e.Zone].Ready += cores; e.unhealthy && now < e.nextProbeAt+probeOverdue {
				r.Observations[e.Zone].SuspectCores += cores
			}
		case Draining:
			r.Observations[e.Zone].DrainingCores += e.cores
		}
	}
	for z := range r.Observations { // of the whole pool, where the list covers only a part of it
		s, coverage := &r.Observations[z], b.zoneCoverage(z)
		s.Ready, s.ColdCores, s.SuspectCores, s.DrainingCores = s.Ready/coverage, s.ColdCores/coverage, s.SuspectCores/coverage, s.DrainingCores/coverage
	}
	return r
}
