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
	slack  = 2.0          // by which clocks may differ before they are not trusted
	maxAge = 30 * 86400.0 // anything older is of no use
)

// Age returns the seconds that have passed since an earlier time. ok is false where the clocks do not tell: they went backwards,
// or one was set far ahead.
func (m Timestamp) Age(then Timestamp) (seconds float64, ok bool) {
	if m.Boot != "" && m.Boot == then.Boot {
		if !(m.Up >= then.Up) {
			return 0, false // not the same boot after all, or another machine's folder
		}
		up, wall := m.Up-then.Up, m.Wall-then.Wall
		if math.Abs(wall-up) > slack {
			return up, up <= maxAge // the wall clock was set in between, the other one was not
		}
		return up, up <= maxAge
	}
	age := m.Wall - then.Wall
	if !(age >= 0 && age <= maxAge) {
		return 0, false
	}
	if age < m.Up-slack { // the machine has been up for longer: its clock was set back since
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
	timesHalfLife   = 600.0   // processing times change with load and release: an hour-old histogram is a hint
	workHalfLife    = 86400.0 // the work of a profile's requests depends on its clients, and changes with their releases
	biasHalfLife    = 86400.0 // the bias of clients' estimates: the same
	slowHalfLife    = 20.0    // a slowdown depends on the load, which differs after a minute
	troubleHalfLife = 15.0    // a server's trouble lasts for several probes
	askedHalfLife   = 60.0    // this router's share of the traffic
	cutHalfLife     = 1.75    // in which the give-up price doubles, as it does in package admission
)

// Most that earlier knowledge may weigh, in samples: some tens of fresh samples overrule it.
const (
	maxTimesWeight   = 40.0
	maxSeenWeight    = 10.0
	minWeight        = 0.02 // below which knowledge is dropped
	unknownAgeWeight = 0.25 // factor on knowledge of unknown age; knowledge that lives for seconds has none
)

// Beliefs is what a new process starts with: knowledge, with the weight that it still has.
type Beliefs struct {
	Knowledge
	Why []string // what was dropped and why, one line each, bounded
}

// weight returns the weight of knowledge of an age and a half-life, 0 to 1. ok tells whether the age is known.
func weight(age, halves float64, ok bool) float64 {
	if !ok {
		if halves < 300 {
			return 0
		}
		return unknownAgeWeight
	}
	if p := math.Exp2(-age / halves); p >= minWeight {
		return p
	}
	return 0
}

// Believe discounts knowledge of an age in seconds; ok tells whether the age is known. settings are the fingerprints of the
// present profiles, rates the tenants' quotas per second.
func Believe(k Knowledge, age float64, ok bool, settings []uint64, rates []float64) (b Beliefs) {
	ok = ok && age >= 0 && age <= maxAge
	pass := func(format string, args ...any) {
		const most = 16 // lines
		if len(b.Why) < most {
			b.Why = append(b.Why, fmt.Sprintf(format, args...))
		}
	}
	if len(k.Profiles) > MaxProfiles || len(k.Engines) > MaxServers || len(k.Tenants) > MaxTenants {
		pass("more than a router has: %d profiles, %d engines, %d tenants", len(k.Profiles), len(k.Engines), len(k.Tenants))
		b.Pace, b.Profiles, b.Tenants = 1, make([]Profile, len(settings)), make([]Tenant, len(rates))
		return b
	}
	b.Profiles = make([]Profile, len(settings))
	for n, p := range k.Profiles {
		switch {
		case n >= len(settings):
			pass("profile %d: there is none any more", n)
		case p.Settings != settings[n]:
			pass("profile %d: its settings changed", n)
		default:
			if why := p.fault(); why != "" {
				pass("profile %d: %s", n, why)
				continue
			}
			b.Profiles[n] = p.discounted(age, ok)
		}
	}
	trouble := weight(age, troubleHalfLife, ok)
	for _, e := range k.Engines {
		if !inRange(e.Start, 0, 1e12) || !inRange(e.Slow, 0, 1e3) || !inRange(e.Fails, 0, 1) || !inRange(e.Pause, 0, 60) {
			pass("engine %d: figures out of range", e.ID)
			continue
		}
		if trouble == 0 {
			continue
		}
		e.Slow, e.Fails = 1+(max(e.Slow, 1)-1)*weight(age, slowHalfLife/4, ok), e.Fails*trouble
		if e.Ill = e.Ill && trouble >= 0.5; e.Ill || e.Slow > 1.05 {
			b.Engines = append(b.Engines, e)
		}
	}
	b.Tenants = make([]Tenant, len(rates))
	for n, rate := range rates {
		b.Tenants[n] = Tenant{Left: math.Inf(1), Rate: rate} // full, where no debt is known
		if n < len(k.Tenants) && ok && k.Tenants[n].Rate == rate && inRange(k.Tenants[n].Left, -1e9, 1e9) {
			b.Tenants[n].Left = k.Tenants[n].Left + rate*age // a debt is paid by time
		}
	}
	if b.Pace = 1; inRange(k.Pace, 0, 1e3) {
		b.Pace = 1 + (max(k.Pace, 1)-1)*weight(age, slowHalfLife, ok)
	}
	if inRange(k.Cut, 1e-12, 1e12) && ok && age < 20*cutHalfLife {
		b.Cut = k.Cut * math.Exp2(age/cutHalfLife)
	}
	if p := weight(age, askedHalfLife, ok); p > 0 && inRange(k.Asked, 0, 1e12) && inRange(k.Span, 0, 1e6) {
		b.Asked, b.Span = k.Asked*p, k.Span*p
	}
	return b
}

// inRange reports whether a number, which is not NaN, lies between bounds.
func inRange(x, low, high float64) bool { return x >= low && x <= high }

// fault returns what makes a profile's numbers impossible, or an empty string.
func (p *Profile) fault() string {
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
func (p Profile) discounted(age float64, ok bool) Profile {
	scale := func(n, most, halves float64) float64 {
		if n <= 0 {
			return 0
		}
		return min(n*weight(age, halves, ok), most*weight(age, halves, ok)) / n
	}
	f := scale(p.Times.N(), maxTimesWeight, timesHalfLife)
	times := Times{Sum: p.Times.Sum * f}
	for _, c := range p.Times.Counts {
		times.Counts = append(times.Counts, c*f)
	}
	p.Times = times
	p.Seen *= scale(p.Seen, maxSeenWeight, workHalfLife)
	if p.Seen == 0 || p.Work == 0 {
		p.Seen, p.Work = 0, 0
	}
	// The bias is a ratio of two sums: both shrink to what a few samples of the mean work would be.
	most := maxSeenWeight * max(p.Work, 1e-9)
	if b := scale(p.Worked, most, biasHalfLife); b > 0 && p.Hinted > 0 && inRange(p.Worked/p.Hinted, 0.01, 100) {
		p.Hinted, p.Worked = p.Hinted*b, p.Worked*b
	} else {
		p.Hinted, p.Worked = 0, 0
	}
	p.Slow = 1 + (max(p.Slow, 1)-1)*weight(age, slowHalfLife, ok)
	return p
}
