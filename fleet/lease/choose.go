package lease

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a session that could own a task.
type Candidate struct {
	Session    uint64
	Name, Zone string
	Tasks      int // number that it owns already
}

// Choose returns the index of the candidate that is to own a free task, or -1. Every caller gets the same answer, so that nobody
// races: the highest by rendezvous hashing, which moves few tasks when a session comes or goes. Candidates in the task's zone are
// preferred, then those that own no more than enoughShare of the average; suppressed ones come last.
func Choose(all []Candidate, work, zone string, suppressed func(name string) bool) int {
	total := 0
	for _, c := range all {
		total += c.Tasks
	}
	enough := max(1, int(math.Ceil(enoughShare*float64(total+1)/float64(max(len(all), 1)))))
	best, rank, top := -1, -1, uint64(0)
	for k, c := range all {
		r := 0
		if !suppressed(c.Name) {
			r += 4
		}
		if zone == "" || c.Zone == zone {
			r += 2
		}
		if c.Tasks < enough {
			r++
		}
		h := xxhash.Sum64String(c.Name + "\x00" + work)
		if r > rank || r == rank && (h > top || h == top && c.Session < all[best].Session) {
			best, rank, top = k, r, h
		}
	}
	return best
}

// enoughShare is how far above the average a candidate may own: hashing alone gives some candidate several times the average.
const enoughShare = 1.25

// FlapDamper suppresses sessions that lost their leases of late, for a time that doubles with each loss. It is not safe for
// concurrent use.
type FlapDamper struct {
	by map[string]flap
}

// flap is what is remembered of one name.
type flap struct {
	times int
	until float64
	last  float64
}

// Bounds of suppression.
const (
	minSuppression = 2.0   // seconds: less than a lease, so that one loss costs nothing
	maxSuppression = 300.0 // seconds: five minutes
	forgetAfter    = 120.0 // seconds without a loss after which it counts as new
	maxFlapping    = 1024
)

// NewFlapDamper returns a damper that suppresses nobody.
func NewFlapDamper() *FlapDamper { return &FlapDamper{by: map[string]flap{}} }

// Lost reports that the lease of a name expired while it owned something.
func (p *FlapDamper) Lost(now float64, name string) {
	f := p.by[name]
	if now > f.until+forgetAfter {
		f.times = 0
	}
	f.times++
	f.last = now
	f.until = now + min(minSuppression*math.Pow(2, float64(min(f.times-1, 20))), maxSuppression)
	p.by[name] = f
	for n, x := range p.by { // forgotten ones take no memory; the bound is reached where a whole fleet flaps
		if now > x.until+forgetAfter || len(p.by) > maxFlapping && n != name {
			delete(p.by, n)
		}
	}
}

// Suppressed reports whether a name is suppressed now.
func (p *FlapDamper) Suppressed(now float64, name string) bool { return now < p.by[name].until }
