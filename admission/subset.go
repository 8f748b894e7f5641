package admission

// This file serves routers whose list covers only a subset of the pool. It decides nothing: it converts an equal share
// of the pool into an equal share of the listed servers, and reports the condition of the listed servers.

// Coverage is the part of the pool's cores that the list covers; 1 is all of them.
type Coverage struct {
	Part  float64
	Zones []float64 // by zone; 0: no server of the zone is listed, or not known
}

// SetCoverage sets the part of the pool that the list covers, from the next tick on. Without it the list is the whole
// pool.
func (b *Controller) SetCoverage(h Coverage) { b.coverage = h }

// equalShare is this router's share of each listed server if all routers have the same traffic. The pool is divided
// among all routers, and each lists a part of it, so the number of routers per server is the number of routers times
// that part.
func (p *pool) equalShare() float64 {
	share := 1 / float64(len(p.peerHeardAt))
	if p.coverage.Part > 0 && p.coverage.Part < 1 {
		share = min(share/p.coverage.Part, 1)
	}
	return share
}

// shareOfPool converts a share of each listed server into a share of the whole pool, at least an equal one.
func (p *pool) shareOfPool(share float64) float64 {
	if p.coverage.Part > 0 && p.coverage.Part < 1 {
		return max(share*p.coverage.Part, 1/float64(len(p.peerHeardAt)))
	}
	return share
}

// zoneCoverage is the part of a zone's cores that the list covers, 1 where that is not known.
func (p *pool) zoneCoverage(zone int) float64 {
	if zone < len(p.coverage.Zones) && p.coverage.Zones[zone] > 0 {
		return p.coverage.Zones[zone]
	}
	return 1
}

// Condition is the condition of a server.
type Condition uint8

// The conditions.
const (
	Usable    Condition = iota
	Unlisted            // not on the list, or draining
	Unhealthy           // receives probes only
	Warming             // it is cold
	Crowded             // it just rejected a request as full, or is as slow as after that
)

// crowdedSlowdown is the slowdown that a server is assumed to have when it rejects a request as full.
const crowdedSlowdown = 2

// Condition returns the condition of a server now.
func (b *Controller) Condition(now float64, id uint32) Condition {
	b.now = now
	k, ok := b.index[id]
	if !ok || b.servers[k].State != Ready {
		return Unlisted
	}
	e := &b.servers[k]
	switch {
	case e.unhealthy:
		return Unhealthy
	case b.cold(e):
		return Warming
	case now < e.fullUntil || b.slowdownOf(e) >= crowdedSlowdown:
		return Crowded
	}
	return Usable
}
