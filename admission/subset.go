package admission

// This file is for a router whose list holds only a subset of the pool. It decides nothing: it says what part of the pool the list
// is, which turns an equal share of the pool into an equal share of what is held, and tells how the held engines are.

// Held is what part of the pool's cores the list is: 1 is all of them.
type Held struct {
	Part  float64
	Zones []float64 // the same by zone; 0: nothing of it is held, or it is not known
}

// Hold tells what part of the pool the list is from now on, and counts from the next tick. Without it the list is the whole pool.
func (b *Brain) Hold(h Held) { b.coverage = h }

// equalShare is of each engine for this router where all have the same traffic. The pool is shared out among all routers, and each
// holds a part of it: as many routers share an engine as there are, times that part.
func (p *pool) equalShare() float64 {
	share := 1 / float64(len(p.peerHeardAt))
	if p.coverage.Part > 0 && p.coverage.Part < 1 {
		share = min(share/p.coverage.Part, 1)
	}
	return share
}

// shareOfPool turns a share of each held engine into one of the whole pool, an equal one at least.
func (p *pool) shareOfPool(share float64) float64 {
	if p.coverage.Part > 0 && p.coverage.Part < 1 {
		return max(share*p.coverage.Part, 1/float64(len(p.peerHeardAt)))
	}
	return share
}

// zoneCoverage is the part of a zone's cores that is held, 1 where that is not known.
func (p *pool) zoneCoverage(zone int) float64 {
	if zone < len(p.coverage.Zones) && p.coverage.Zones[zone] > 0 {
		return p.coverage.Zones[zone]
	}
	return 1
}

// Condition is how an engine of the list is.
type Condition uint8

// The conditions.
const (
	Usable    Condition = iota
	Unlisted            // the list has it no more, or it drains
	Unhealthy           // it gets probes only
	Warming             // it is cold
	Crowded             // it turned a request away just now, or is slow by as much as after that
)

// crowdedSlowdown is the slowdown that a turned-away request is taken for.
const crowdedSlowdown = 2

// Condition tells how an engine is now.
func (b *Brain) Condition(now float64, id uint32) Condition {
	b.now = now
	k, ok := b.index[id]
	if !ok || b.servers[k].State != Ready {
		return Unlisted
	}
	e := &b.servers[k]
	switch {
	case e.unhealthy:
		return Unhealthy
	case b.isCold(e):
		return Warming
	case now < e.fullUntil || b.slowdownOf(e) >= crowdedSlowdown:
		return Crowded
	}
	return Usable
}
