package failover

import "math"

// Capacity is what zones can serve within targets, in core seconds a second: measured, and never taken from a setting alone.
type Capacity struct {
	zones []measured
}

type measured struct {
	proven float64 // work a second for each core that was served within targets, fading
	failed float64 // and that was too much, fading upwards; 0: never seen
	seen   float64 // seconds of load that stand behind it
	at     float64
}

// How a capacity is learned.
const (
	// Of a core that was never seen at its limit: the list says how many there are, and work is told in their seconds. Less
	// would shed what a zone serves well; what it can't bear shows within a second or two, and counts from then on.
	prior   = 0.92
	halved  = 60.0 // seconds in which what was proven loses half of what it is over the prior
	margin  = 1.0  // of what is known well; what is known by little gets less
	learned = 20.0 // seconds of load until it is known well
	relearn = 1.01 // a second, by which a limit that was hit is tried again: doubles in a minute
)

// NewCapacity of so many zones.
func NewCapacity(zones int) *Capacity { return &Capacity{zones: make([]measured, zones)} }

// Observe one second: what a zone served in time, whether it was too much for it, on so many ready cores, slow times slower than the
// others' are.
func (c *Capacity) Observe(now float64, zone int, work, cores, slow float64, crowded bool) {
	m := &c.zones[zone]
	dt := min(max(now-m.at, 0), 5)
	if m.at == 0 {
		dt = 1
	}
	m.at = now
	m.proven = prior + (m.proven-prior)*math.Exp2(-dt/halved)
	if m.failed > 0 {
		m.failed *= math.Pow(relearn, dt)
	}
	if cores <= 0 {
		return
	}
	// At the others' pace: what it bore while it was slow is no limit once it is not. No core does more than its time.
	each := work / cores
	each = max(each, min(each*max(slow, 1), 1))
	if crowded {
		if m.failed == 0 || each < m.failed {
			m.failed = max(each, 0.05)
		}
		m.proven = min(m.proven, m.failed)
		return
	}
	if each > 0.2*prior {
		m.seen = min(m.seen+dt, learned)
	}
	m.proven = max(m.proven, each)
	if m.failed > 0 && m.failed < each {
		m.failed = 0 // it bears more than what was once too much
	}
}

// Of a zone with so many ready cores that runs slower than usual by a factor. A zone that little is known of gets a wider margin.
func (c *Capacity) Of(zone int, cores, slow float64) float64 {
	return max(cores, 0) * c.each(zone) / max(slow, 1)
}

// Limit of each core's work at which a zone was seen to be full, 0: never.
func (c *Capacity) Limit(zone int) float64 { return c.zones[zone].failed }

// each core's work.
func (c *Capacity) each(zone int) float64 {
	m := &c.zones[zone]
	each := max(m.proven, prior)
	if m.failed > 0 {
		each = min(each, m.failed)
	}
	return each * margin * (0.96 + 0.04*min(m.seen/learned, 1))
}
