// Package warmstart decides how far a restarted router trusts the knowledge that its previous process saved: it
// determines the age of this knowledge, discounts it by that age, and drops what is too old or invalid.
//
// The package does no I/O and has no clock. Nothing that it returns can make the router violate a guarantee: the
// restored values are only estimates, and guarantees depend on what the router itself observes (docs/design/memory.md
// has the argument).
package warmstart

import (
	"fmt"
	"math"
)

// Timestamp is a time on both clocks of a machine.
type Timestamp struct {
	Wall float64 // wall clock: seconds since 1970; this clock may be set
	Up   float64 // uptime: seconds since the machine's boot, including suspended time; this clock can't be set
	Boot string  // ID of that boot
}

// Bounds on ages, in seconds.
const (
	clockTolerance = 2.0          // difference of the two clocks from which the wall clock counts as set
	maxAge         = 30 * 86400.0 // older knowledge is of no use
)

// Age returns the seconds that have passed since an earlier time. known is false if the clocks do not give the age:
// they went backwards, or one was set far ahead.
func (t Timestamp) Age(earlier Timestamp) (seconds float64, known bool) {
	if t.Boot != "" && t.Boot == earlier.Boot {
		if !(t.Up >= earlier.Up) {
			return 0, false // the boot ID is wrong, or the folder is another machine's
		}
		up, wall := t.Up-earlier.Up, t.Wall-earlier.Wall
		if math.Abs(wall-up) > clockTolerance {
			return up, up <= maxAge // only the wall clock was set in between
		}
		return up, up <= maxAge
	}
	age := t.Wall - earlier.Wall
	if !(age >= 0 && age <= maxAge) {
		return 0, false
	}
	if age < t.Up-clockTolerance { // the machine booted before the earlier time, so its wall clock has been set back since
		return 0, false
	}
	return age, true
}

// Times is a histogram of processing times. The bounds of its buckets grow by a constant ratio.
type Times struct {
	Counts []float64 `cbor:"1,keyasint"`
	Sum    float64   `cbor:"2,keyasint"`
}

// Profile holds what was learned about one profile of requests.
type Profile struct {
	Settings uint64  `cbor:"1,keyasint"` // fingerprint of the settings; knowledge from other settings is dropped
	Work     float64 `cbor:"2,keyasint"` // mean work of a request, core seconds
	Seen     float64 `cbor:"3,keyasint"` // completed requests from which the mean comes
	Hinted   float64 `cbor:"4,keyasint"` // recent sum of the work that clients estimated
	Worked   float64 `cbor:"5,keyasint"` // recent sum of the actual work of the same requests
	Slow     float64 `cbor:"6,keyasint"` // usual slowdown
	Times    Times   `cbor:"7,keyasint"`
}

// Server holds what was learned about one server since one of its starts.
type Server struct {
	ID    uint32  `cbor:"1,keyasint"`
	Start float64 `cbor:"2,keyasint"` // time of the start in the server list, in wall-clock seconds; 0: long ago
	Slow  float64 `cbor:"3,keyasint"` // slowdown relative to each profile's mean
	Fails float64 `cbor:"4,keyasint"` // failed fraction of recent attempts
	Ill   bool    `cbor:"5,keyasint"` // unhealthy: it receives only probes
	Pause float64 `cbor:"6,keyasint"` // seconds between probes
}

// Tenant is the state of a tenant's token bucket.
type Tenant struct {
	Left float64 `cbor:"1,keyasint"` // tokens; negative: debt
	Rate float64 `cbor:"2,keyasint"` // refill rate per second; another rate means that the quota has changed
}

// Knowledge is all that a process has learned.
type Knowledge struct {
	Profiles []Profile `cbor:"1,keyasint"`
	Engines  []Server  `cbor:"2,keyasint"`
	Tenants  []Tenant  `cbor:"3,keyasint"`
	Cut      float64   `cbor:"4,keyasint"` // price from which queued requests were rejected; 0: none were
	Pace     float64   `cbor:"5,keyasint"` // mean slowdown over all servers
	Asked    float64   `cbor:"6,keyasint"` // exponentially decaying sum of admitted work
	Span     float64   `cbor:"7,keyasint"` // seconds over which this work was admitted, decaying likewise
}

// Limits on the knowledge that is read. No router writes more.
const (
	MaxProfiles = 1024
	MaxServers  = 4096
	MaxTenants  = 4096
	MaxBuckets  = 256
)

// Half-lives of the kinds of knowledge, in seconds.
const (
	processingTimesHalfLife = 600.0   // processing times change with load and releases; an hour-old histogram is only a hint
	workHalfLife            = 86400.0 // the work of a profile's requests depends on its clients and changes with their releases
	biasHalfLife            = 86400.0 // the bias of clients' estimates depends on the same
	slowdownHalfLife        = 20.0    // a slowdown depends on the load, which is different after a minute
	healthHalfLife          = 15.0    // a server stays unhealthy for several probes
	admittedWorkHalfLife    = 60.0    // admitted work depends on this router's share of the traffic
	cutoffDoublingTime      = 1.75    // time in which the cutoff price doubles, the same as in package admission
)

// Weights of restored knowledge. The maxima are in samples and small, so that some tens of new samples outweigh it.
const (
	maxProcessingTimesWeight = 40.0
	maxWorkWeight            = 10.0
	minWeight                = 0.02 // knowledge with less weight is dropped
	unknownAgeWeight         = 0.25 // weight of knowledge of unknown age; if its half-life is less than 300 s, the weight is 0
)

// DiscountedKnowledge is the knowledge with which a new process starts, discounted by its age.
type DiscountedKnowledge struct {
	Knowledge
	DropReasons []string // what was dropped and why, one line each, at most 16
}

// weight returns the weight, 0 to 1, of knowledge with a given age and half-life.
func weight(age, halfLife float64, ageKnown bool) float64 {
	if !ageKnown {
		if halfLife < 300 {
			return 0
		}
		return unknownAgeWeight
	}
	if w := math.Exp2(-age / halfLife); w >= minWeight {
		return w
	}
	return 0
}

// Discount returns the knowledge that a new process uses, discounted by its age in seconds. fingerprints are those of
// the current profiles' settings, refillRates the tenants' current quotas per second.
func Discount(known Knowledge, age float64, ageKnown bool, fingerprints []uint64, refillRates []float64) (b DiscountedKnowledge) {
	ageKnown = ageKnown && age >= 0 && age <= maxAge
	addReason := func(format string, args ...any) {
		const maxReasons = 16 // lines
		if len(b.DropReasons) < maxReasons {
			b.DropReasons = append(b.DropReasons, fmt.Sprintf(format, args...))
		}
	}
	if len(known.Profiles) > MaxProfiles || len(known.Engines) > MaxServers || len(known.Tenants) > MaxTenants {
		addReason("more entries than a router can have: %d profiles, %d servers, %d tenants", len(known.Profiles), len(known.Engines), len(known.Tenants))
		b.Pace, b.Profiles, b.Tenants = 1, make([]Profile, len(fingerprints)), make([]Tenant, len(refillRates))
		return b
	}
	b.Profiles = make([]Profile, len(fingerprints))
	for n, p := range known.Profiles {
		switch {
		case n >= len(fingerprints):
			addReason("profile %d: no longer configured", n)
		case p.Settings != fingerprints[n]:
			addReason("profile %d: settings have changed", n)
		default:
			if problem := p.invalidReason(); problem != "" {
				addReason("profile %d: %s", n, problem)
				continue
			}
			b.Profiles[n] = p.discounted(age, ageKnown)
		}
	}
	healthWeight := weight(age, healthHalfLife, ageKnown)
	for _, server := range known.Engines {
		if !inRange(server.Start, 0, 1e12) || !inRange(server.Slow, 0, 1e3) || !inRange(server.Fails, 0, 1) || !inRange(server.Pause, 0, 60) {
			addReason("server %d: values out of range", server.ID)
			continue
		}
		if healthWeight == 0 {
			continue
		}
		server.Slow, server.Fails = 1+(max(server.Slow, 1)-1)*weight(age, slowdownHalfLife/4, ageKnown), server.Fails*healthWeight
		if server.Ill = server.Ill && healthWeight >= 0.5; server.Ill || server.Slow > 1.05 {
			b.Engines = append(b.Engines, server)
		}
	}
	b.Tenants = make([]Tenant, len(refillRates))
	for n, refillRate := range refillRates {
		b.Tenants[n] = Tenant{Left: math.Inf(1), Rate: refillRate} // full, unless a debt is known
		if n < len(known.Tenants) && ageKnown && known.Tenants[n].Rate == refillRate && inRange(known.Tenants[n].Left, -1e9, 1e9) {
			b.Tenants[n].Left = known.Tenants[n].Left + refillRate*age // a debt is paid off over time
		}
	}
	if b.Pace = 1; inRange(known.Pace, 0, 1e3) {
		b.Pace = 1 + (max(known.Pace, 1)-1)*weight(age, slowdownHalfLife, ageKnown)
	}
	if inRange(known.Cut, 1e-12, 1e12) && ageKnown && age < 20*cutoffDoublingTime {
		b.Cut = known.Cut * math.Exp2(age/cutoffDoublingTime)
	}
	if p := weight(age, admittedWorkHalfLife, ageKnown); p > 0 && inRange(known.Asked, 0, 1e12) && inRange(known.Span, 0, 1e6) {
		b.Asked, b.Span = known.Asked*p, known.Span*p
	}
	return b
}

// inRange reports whether a number is within bounds. It is false for NaN.
func inRange(x, low, high float64) bool { return x >= low && x <= high }

// invalidReason returns why a profile's values are invalid, or an empty string if they are valid.
func (p *Profile) invalidReason() string {
	switch {
	case len(p.Times.Counts) > MaxBuckets:
		return "too many histogram buckets"
	case !inRange(p.Work, 0, 1e6) || !inRange(p.Seen, 0, 1e12) || !inRange(p.Hinted, 0, 1e12) || !inRange(p.Worked, 0, 1e12) || !inRange(p.Slow, 0, 1e3) || !inRange(p.Times.Sum, 0, 1e12):
		return "values out of range"
	}
	for _, c := range p.Times.Counts {
		if !inRange(c, 0, 1e12) {
			return "histogram count out of range"
		}
	}
	return ""
}

// N returns the number of samples in a histogram.
func (t *Times) N() (n float64) {
	for _, c := range t.Counts {
		n += c
	}
	return n
}

// discounted returns the profile discounted by its age.
func (p Profile) discounted(age float64, ageKnown bool) Profile {
	scale := func(n, maxWeight, halfLife float64) float64 {
		if n <= 0 {
			return 0
		}
		return min(n*weight(age, halfLife, ageKnown), maxWeight*weight(age, halfLife, ageKnown)) / n
	}
	timesScale := scale(p.Times.N(), maxProcessingTimesWeight, processingTimesHalfLife)
	times := Times{Sum: p.Times.Sum * timesScale}
	for _, c := range p.Times.Counts {
		times.Counts = append(times.Counts, c*timesScale)
	}
	p.Times = times
	p.Seen *= scale(p.Seen, maxWorkWeight, workHalfLife)
	if p.Seen == 0 || p.Work == 0 {
		p.Seen, p.Work = 0, 0
	}
	// The bias is the ratio of two sums. Both are scaled down to the size that maxWorkWeight samples of the mean work
	// would have.
	maxWeight := maxWorkWeight * max(p.Work, 1e-9)
	if biasScale := scale(p.Worked, maxWeight, biasHalfLife); biasScale > 0 && p.Hinted > 0 && inRange(p.Worked/p.Hinted, 0.01, 100) {
		p.Hinted, p.Worked = p.Hinted*biasScale, p.Worked*biasScale
	} else {
		p.Hinted, p.Worked = 0, 0
	}
	p.Slow = 1 + (max(p.Slow, 1)-1)*weight(age, slowdownHalfLife, ageKnown)
	return p
}
