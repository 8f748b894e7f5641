// Package warmstart decides what a restarted router may believe of what its earlier process had learned: how old that is, what weight
// it still has, and what is dropped.
//
// The package does no I/O and has no clock. Nothing that it returns can break a rule: beliefs are estimates, and rules are kept by what
// the router observes, whatever is estimated (docs/design/memory.md has the argument).
package warmstart

import (
	"fmt"
	"math"
)

// Timestamp is a time by both clocks of a machine.
type Timestamp struct {
	Wall float64 // seconds since 1970 by the machine's clock, which may be set
	Up   float64 // seconds since the machine's boot, which can't be set and counts sleep
	Boot string  // identifies that boot
}

// Bounds on ages, in seconds.
const (
	clockTolerance = 2.0          // by which clocks may differ before they are not trusted
	maxAge         = 30 * 86400.0 // anything older is of no use
)

// Age returns the seconds that have passed since an earlier time. ok is false where the clocks do not tell: they went backwards,
// or one was set far ahead.
func (t Timestamp) Age(earlier Timestamp) (seconds float64, known bool) {
	if t.Boot != "" && t.Boot == earlier.Boot {
		if !(t.Up >= earlier.Up) {
			return 0, false // not the same boot after all, or another machine's folder
		}
		up, wall := t.Up-earlier.Up, t.Wall-earlier.Wall
		if math.Abs(wall-up) > clockTolerance {
			return up, up <= maxAge // the wall clock was set in between, the other one was not
		}
		return up, up <= maxAge
	}
	age := t.Wall - earlier.Wall
	if !(age >= 0 && age <= maxAge) {
		return 0, false
	}
	if age < t.Up-clockTolerance { // the machine has been up for longer: its clock was set back since
		return 0, false
	}
	return age, true
}

// Times is a histogram of processing times: buckets whose bounds grow by a ratio.
type Times struct {
	Counts []float64 `cbor:"1,keyasint"`
	Sum    float64   `cbor:"2,keyasint"`
}

// Profile is what was learned of one kind of request.
type Profile struct {
	Settings uint64  `cbor:"1,keyasint"` // fingerprint: what was learned under other settings is dropped
	Work     float64 `cbor:"2,keyasint"` // mean, core seconds
	Seen     float64 `cbor:"3,keyasint"` // completed requests behind it
	Hinted   float64 `cbor:"4,keyasint"` // recent sums of clients' estimates and of the actual work
	Worked   float64 `cbor:"5,keyasint"`
	Slow     float64 `cbor:"6,keyasint"` // usual slowdown
	Times    Times   `cbor:"7,keyasint"`
}

// Server is what was learned of one start of one server.
type Server struct {
	ID    uint32  `cbor:"1,keyasint"`
	Start float64 `cbor:"2,keyasint"` // as the list has it, in wall seconds; 0: long past
	Slow  float64 `cbor:"3,keyasint"` // slowdown relative to each profile's mean
	Fails float64 `cbor:"4,keyasint"` // fraction of recent attempts
	Ill   bool    `cbor:"5,keyasint"` // it gets probes only
	Pause float64 `cbor:"6,keyasint"` // seconds between probes
}

// Tenant is the state of a tenant's token bucket.
type Tenant struct {
	Left float64 `cbor:"1,keyasint"`
	Rate float64 `cbor:"2,keyasint"` // at which it fills, per second: another rate is another quota
}

// Knowledge is all that a process had learned.
type Knowledge struct {
	Profiles []Profile `cbor:"1,keyasint"`
	Engines  []Server  `cbor:"2,keyasint"`
	Tenants  []Tenant  `cbor:"3,keyasint"`
	Cut      float64   `cbor:"4,keyasint"` // price from which queued requests were given up; 0: none
	Pace     float64   `cbor:"5,keyasint"` // mean slowdown over all servers
	Asked    float64   `cbor:"6,keyasint"` // admitted work, decaying, and the seconds that it stands for
	Span     float64   `cbor:"7,keyasint"`
}

// Bounds on what is read: no router writes more.
const (
	MaxProfiles = 1024
	MaxServers  = 4096
	MaxTenants  = 4096
	MaxBuckets  = 256
)

// Half-lives of each kind of knowledge, in seconds, chosen by what each depends on.
const (
	processingTimesHalfLife = 600.0   // processing times change with load and release: an hour-old histogram is a hint
	workHalfLife            = 86400.0 // the work of a profile's requests depends on its clients, and changes with their releases
	biasHalfLife            = 86400.0 // the bias of clients' estimates: the same
	slowdownHalfLife        = 20.0    // a slowdown depends on the load, which differs after a minute
	healthHalfLife          = 15.0    // a server's trouble lasts for several probes
	admittedWorkHalfLife    = 60.0    // this router's share of the traffic
	cutoffDoublingTime      = 1.75    // in which the give-up price doubles, as it does in package admission
)

// Most that earlier knowledge may weigh, in samples: some tens of fresh samples overrule it.
const (
	maxProcessingTimesWeight = 40.0
	maxWorkWeight            = 10.0
	minWeight                = 0.02 // below which knowledge is dropped
	unknownAgeWeight         = 0.25 // factor on knowledge of unknown age; knowledge that lives for seconds has none
)

// Beliefs is what a new process starts with: knowledge, with the weight that it still has.
type Beliefs struct {
	Knowledge
	Why []string // what was dropped and why, one line each, bounded
}

// weight returns the weight of knowledge of an age and a half-life, 0 to 1. ok tells whether the age is known.
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

// Believe discounts knowledge of an age in seconds; ok tells whether the age is known. settings are the fingerprints of the
// present profiles, rates the tenants' quotas per second.
func Believe(known Knowledge, age float64, ageKnown bool, fingerprints []uint64, refillRates []float64) (b Beliefs) {
	ageKnown = ageKnown && age >= 0 && age <= maxAge
	addReason := func(format string, args ...any) {
		const maxReasons = 16 // lines
		if len(b.Why) < maxReasons {
			b.Why = append(b.Why, fmt.Sprintf(format, args...))
		}
	}
	if len(known.Profiles) > MaxProfiles || len(known.Engines) > MaxServers || len(known.Tenants) > MaxTenants {
		addReason("more than a router has: %d profiles, %d engines, %d tenants", len(known.Profiles), len(known.Engines), len(known.Tenants))
		b.Pace, b.Profiles, b.Tenants = 1, make([]Profile, len(fingerprints)), make([]Tenant, len(refillRates))
		return b
	}
	b.Profiles = make([]Profile, len(fingerprints))
	for n, p := range known.Profiles {
		switch {
		case n >= len(fingerprints):
			addReason("profile %d: there is none any more", n)
		case p.Settings != fingerprints[n]:
			addReason("profile %d: its settings changed", n)
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
			addReason("engine %d: figures out of range", server.ID)
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
		b.Tenants[n] = Tenant{Left: math.Inf(1), Rate: refillRate} // full, where no debt is known
		if n < len(known.Tenants) && ageKnown && known.Tenants[n].Rate == refillRate && inRange(known.Tenants[n].Left, -1e9, 1e9) {
			b.Tenants[n].Left = known.Tenants[n].Left + refillRate*age // a debt is paid by time
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

// inRange reports whether a number, which is not NaN, lies between bounds.
func inRange(x, low, high float64) bool { return x >= low && x <= high }

// invalidReason returns what makes a profile's numbers impossible, or an empty string.
func (p *Profile) invalidReason() string {
	switch {
	case len(p.Times.Counts) > MaxBuckets:
		return "too many buckets"
	case !inRange(p.Work, 0, 1e6) || !inRange(p.Seen, 0, 1e12) || !inRange(p.Hinted, 0, 1e12) || !inRange(p.Worked, 0, 1e12) || !inRange(p.Slow, 0, 1e3) || !inRange(p.Times.Sum, 0, 1e12):
		return "figures out of range"
	}
	for _, c := range p.Times.Counts {
		if !inRange(c, 0, 1e12) {
			return "a count out of range"
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

// discounted returns the profile with the weight that it has at an age.
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
	// The bias is a ratio of two sums: both shrink to what a few samples of the mean work would be.
	maxWeight := maxWorkWeight * max(p.Work, 1e-9)
	if biasScale := scale(p.Worked, maxWeight, biasHalfLife); biasScale > 0 && p.Hinted > 0 && inRange(p.Worked/p.Hinted, 0.01, 100) {
		p.Hinted, p.Worked = p.Hinted*biasScale, p.Worked*biasScale
	} else {
		p.Hinted, p.Worked = 0, 0
	}
	p.Slow = 1 + (max(p.Slow, 1)-1)*weight(age, slowdownHalfLife, ageKnown)
	return p
}
