package failover

import "math"

// Capacity estimates the work that each zone can serve within its latency targets, in core seconds per second. The estimate is measured;
// it never rests on configuration alone.
type Capacity struct {
	zones []zoneCapacity
}

type zoneCapacity struct {
	servedPerCore   float64 // core seconds per second and core that were served within targets; decays to the default
	overloadPerCore float64 // core seconds per second and core at which the zone was overloaded; grows slowly; 0: never overloaded
	observedSeconds float64 // seconds of significant load behind the estimate
	updatedAt       float64
}

// Constants of the capacity estimate.
const (
	// Assumed load per core before a limit has been observed. Discovery reports the number of cores, and work is measured in core
	// seconds. A lower value would reject requests that a zone serves well. A value that is too high shows as overload within a second
	// or two, and the measured limit applies from then on.
	defaultPerCore   = 0.92
	servedHalfLife   = 60.0 // seconds in which the excess of servedPerCore over the default halves
	safetyFactor     = 1.0  // applied to a well-observed estimate; a zone with few observations gets a lower factor
	confidentSeconds = 20.0 // seconds of significant load until an estimate counts as well observed
	limitGrowth      = 1.01 // growth per second of an overload limit, so that the zone is tested again: doubles in about a minute
)

// NewCapacity returns an estimator for the given number of zones.
func NewCapacity(zones int) *Capacity { return &Capacity{zones: make([]zoneCapacity, zones)} }

// Observe records one second of a zone: the work served in time, the number of ready cores, the slowdown relative to other zones, and
// whether the zone was overloaded.
func (c *Capacity) Observe(now float64, zone int, work, cores, slowdown float64, overloaded bool) {
	m := &c.zones[zone]
	dt := min(max(now-m.updatedAt, 0), 5)
	if m.updatedAt == 0 {
		dt = 1
	}
	m.updatedAt = now
	m.servedPerCore = defaultPerCore + (m.servedPerCore-defaultPerCore)*math.Exp2(-dt/servedHalfLife)
	if m.overloadPerCore > 0 {
		m.overloadPerCore *= math.Pow(limitGrowth, dt)
	}
	if cores <= 0 {
		return
	}
	// Converts to the speed of the other zones, so that a limit observed while the zone was slow does not persist after it recovers. A core
	// cannot do more than one core second per second.
	perCore := work / cores
	perCore = max(perCore, min(perCore*max(slowdown, 1), 1))
	if overloaded {
		if m.overloadPerCore == 0 || perCore < m.overloadPerCore {
			m.overloadPerCore = max(perCore, 0.05)
		}
		m.servedPerCore = min(m.servedPerCore, m.overloadPerCore)
		return
	}
	if perCore > 0.2*defaultPerCore {
		m.observedSeconds = min(m.observedSeconds+dt, confidentSeconds)
	}
	m.servedPerCore = max(m.servedPerCore, perCore)
	if m.overloadPerCore > 0 && m.overloadPerCore < perCore {
		m.overloadPerCore = 0 // the zone now serves more than the load that once overloaded it
	}
}

// Estimate returns the estimated capacity of a zone with the given ready cores and slowdown. A zone with few observations gets a wider
// safety margin.
func (c *Capacity) Estimate(zone int, cores, slowdown float64) float64 {
	return max(cores, 0) * c.perCore(zone) / max(slowdown, 1)
}

// OverloadLimit returns the load per core at which the zone was observed to be overloaded, or 0 if it never was.
func (c *Capacity) OverloadLimit(zone int) float64 { return c.zones[zone].overloadPerCore }

// perCore returns the estimated capacity per core.
func (c *Capacity) perCore(zone int) float64 {
	m := &c.zones[zone]
	perCore := max(m.servedPerCore, defaultPerCore)
	if m.overloadPerCore > 0 {
		perCore = min(perCore, m.overloadPerCore)
	}
	return perCore * safetyFactor * (0.96 + 0.04*min(m.observedSeconds/confidentSeconds, 1))
}
