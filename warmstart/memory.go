// Package warmstart decides what a router believes of what an earlier process of it knew: how old that is, what it is worth by now, and
// what of it is kept at all. It does no I/O and knows no clock. Nothing that it gives can break a rule: beliefs are estimates, and
// rules are kept by what is seen, whatever is estimated (docs/design/memory.md has the argument).
package warmstart

import (
	"fmt"
	"math"
)

// Moment is a time by both clocks of a machine.
type Moment struct {
	Wall float64 // seconds since 1970, as the machine has it: it may be set
	Up   float64 // seconds since the machine's start: it may not, and counts sleep
	Boot string  // names that start
}

// Slack that two wall clocks or a set clock get before they are not believed, and the longest age that means anything.
const (
	slack   = 2.0
	longest = 30 * 86400.0
)

// Age of what was written then. ok is false where the clocks don't say: they went backwards, or one was set far ahead.
func (m Moment) Age(then Moment) (seconds float64, ok bool) {
	if m.Boot != "" && m.Boot == then.Boot {
		if !(m.Up >= then.Up) {
			return 0, false // not the same start after all, or another machine's folder
		}
		up, wall := m.Up-then.Up, m.Wall-then.Wall
		if math.Abs(wall-up) > slack {
			return up, up <= longest // the wall clock was set meanwhile; the other one was not
		}
		return up, up <= longest
	}
	age := m.Wall - then.Wall
	if !(age >= 0 && age <= longest) {
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

// Profile is what was learned of one kind of command.
type Profile struct {
	Settings uint64  `cbor:"1,keyasint"` // fingerprint: what was learned under others says nothing
	Work     float64 `cbor:"2,keyasint"` // usual, core seconds
	Seen     float64 `cbor:"3,keyasint"` // answers behind it
	Hinted   float64 `cbor:"4,keyasint"` // recent sums of estimates and of the true work that they stood for
	Worked   float64 `cbor:"5,keyasint"`
	Slow     float64 `cbor:"6,keyasint"` // usual slowdown
	Times    Times   `cbor:"7,keyasint"`
}

// Engine is what was learned of one start of one engine.
type Engine struct {
	ID    uint32  `cbor:"1,keyasint"`
	Start float64 `cbor:"2,keyasint"` // as the list has it, in wall seconds; 0: long past
	Slow  float64 `cbor:"3,keyasint"` // against each profile's usual
	Fails float64 `cbor:"4,keyasint"` // recent share
	Ill   bool    `cbor:"5,keyasint"` // trials only
	Pause float64 `cbor:"6,keyasint"` // between them
}

// Tenant is what a tenant's bucket held.
type Tenant struct {
	Left float64 `cbor:"1,keyasint"`
	Rate float64 `cbor:"2,keyasint"` // it fills by, a second: another rate, another quota
}

// Known is all that a process knew.
type Known struct {
	Profiles []Profile `cbor:"1,keyasint"`
	Engines  []Engine  `cbor:"2,keyasint"`
	Tenants  []Tenant  `cbor:"3,keyasint"`
	Cut      float64   `cbor:"4,keyasint"` // price from which the line gave up; 0: none
	Pace     float64   `cbor:"5,keyasint"` // usual slowdown over all
	Asked    float64   `cbor:"6,keyasint"` // work let in, fading, and the seconds it stands for
	Span     float64   `cbor:"7,keyasint"`
}

// Bounds on what is read: more is not kept, since nobody has written it.
const (
	MostProfiles = 1024
	MostEngines  = 4096
	MostTenants  = 4096
	MostBuckets  = 256
)

// Half-lives of each kind of knowledge, in seconds.
const (
	timesHalve = 600.0   // processing times move with load and release: an hour-old histogram is a hint
	workHalves = 86400.0 // what a profile's commands cost is its clients', and changes with their releases
	biasHalves = 86400.0 // how wrong estimates are: the same
	slowHalves = 20.0    // a slowdown is the load's, and that is another after a minute
	illHalves  = 15.0    // an engine's trouble: some trials long
	askHalves  = 60.0    // this router's part of the traffic
	cutHalves  = 1.75    // in which the price that the line gave up doubles, as it does in the module
)

// What knowledge from before may weigh at most, in samples: some tens of fresh ones overrule it, as they do a thin histogram's start.
const (
	mostTimes = 40.0
	mostSeen  = 10.0
	leastPart = 0.02 // under which it is not worth having
	blind     = 0.25 // of its weight that knowledge of unknown age has; what lives for seconds has none
)

// Beliefs is what a new process starts with: the same kinds, with what they weigh by now.
type Beliefs struct {
	Known
	Why []string // what was passed over, one line each, a bounded number
}

func part(age, halves float64, ok bool) float64 {
	if !ok {
		if halves < 300 {
			return 0
		}
		return blind
	}
	if p := math.Exp2(-age / halves); p >= leastPart {
		return p
	}
	return 0
}

// Believe what was known, so long after it was written; ok false: nobody knows how long. settings are the fingerprints of the
// profiles that there are now, rates the tenants' quotas.
func Believe(k Known, age float64, ok bool, settings []uint64, rates []float64) (b Beliefs) {
	ok = ok && age >= 0 && age <= longest
	pass := func(format string, args ...any) {
		const most = 16 // lines: more tell nobody more
		if len(b.Why) < most {
			b.Why = append(b.Why, fmt.Sprintf(format, args...))
		}
	}
	if len(k.Profiles) > MostProfiles || len(k.Engines) > MostEngines || len(k.Tenants) > MostTenants {
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
			if why := p.wrong(); why != "" {
				pass("profile %d: %s", n, why)
				continue
			}
			b.Profiles[n] = p.now(age, ok)
		}
	}
	trouble := part(age, illHalves, ok)
	for _, e := range k.Engines {
		if !good(e.Start, 0, 1e12) || !good(e.Slow, 0, 1e3) || !good(e.Fails, 0, 1) || !good(e.Pause, 0, 60) {
			pass("engine %d: figures out of range", e.ID)
			continue
		}
		if trouble == 0 {
			continue
		}
		e.Slow, e.Fails = 1+(max(e.Slow, 1)-1)*part(age, slowHalves/4, ok), e.Fails*trouble
		if e.Ill = e.Ill && trouble >= 0.5; e.Ill || e.Slow > 1.05 {
			b.Engines = append(b.Engines, e)
		}
	}
	b.Tenants = make([]Tenant, len(rates))
	for n, rate := range rates {
		b.Tenants[n] = Tenant{Left: math.Inf(1), Rate: rate} // full: whoever owes nothing that is known
		if n < len(k.Tenants) && ok && k.Tenants[n].Rate == rate && good(k.Tenants[n].Left, -1e9, 1e9) {
			b.Tenants[n].Left = k.Tenants[n].Left + rate*age // a debt is paid by time, exactly
		}
	}
	if b.Pace = 1; good(k.Pace, 0, 1e3) {
		b.Pace = 1 + (max(k.Pace, 1)-1)*part(age, slowHalves, ok)
	}
	if good(k.Cut, 1e-12, 1e12) && ok && age < 20*cutHalves {
		b.Cut = k.Cut * math.Exp2(age/cutHalves)
	}
	if p := part(age, askHalves, ok); p > 0 && good(k.Asked, 0, 1e12) && good(k.Span, 0, 1e6) {
		b.Asked, b.Span = k.Asked*p, k.Span*p
	}
	return b
}

func good(x, low, high float64) bool { return x >= low && x <= high }

// wrong tells what makes a profile's figures impossible.
func (p *Profile) wrong() string {
	switch {
	case len(p.Times.Counts) > MostBuckets:
		return "too many buckets"
	case !good(p.Work, 0, 1e6) || !good(p.Seen, 0, 1e12) || !good(p.Hinted, 0, 1e12) || !good(p.Worked, 0, 1e12) || !good(p.Slow, 0, 1e3) || !good(p.Times.Sum, 0, 1e12):
		return "figures out of range"
	}
	for _, c := range p.Times.Counts {
		if !good(c, 0, 1e12) {
			return "a count out of range"
		}
	}
	return ""
}

// N is how many times stand in a histogram.
func (t *Times) N() (n float64) {
	for _, c := range t.Counts {
		n += c
	}
	return n
}

func (p Profile) now(age float64, ok bool) Profile {
	scale := func(n, most, halves float64) float64 {
		if n <= 0 {
			return 0
		}
		return min(n*part(age, halves, ok), most*part(age, halves, ok)) / n
	}
	f := scale(p.Times.N(), mostTimes, timesHalve)
	times := Times{Sum: p.Times.Sum * f}
	for _, c := range p.Times.Counts {
		times.Counts = append(times.Counts, c*f)
	}
	p.Times = times
	p.Seen *= scale(p.Seen, mostSeen, workHalves)
	if p.Seen == 0 || p.Work == 0 {
		p.Seen, p.Work = 0, 0
	}
	// The bias is a ratio of two sums: both shrink to what some samples of the usual work would be.
	most := mostSeen * max(p.Work, 1e-9)
	if b := scale(p.Worked, most, biasHalves); b > 0 && p.Hinted > 0 && good(p.Worked/p.Hinted, 0.01, 100) {
		p.Hinted, p.Worked = p.Hinted*b, p.Worked*b
	} else {
		p.Hinted, p.Worked = 0, 0
	}
	p.Slow = 1 + (max(p.Slow, 1)-1)*part(age, slowHalves, ok)
	return p
}
