package lease

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a session that would own a work.
type Candidate struct {
	Session    uint64
	Name, Zone string
	Works      int // that it owns already
}

// Choose the owner of a free work, -1: there is none. Everyone who asks gets the same answer, so that nobody races: the
// highest by rendezvous hashing, which moves few works when a session comes or goes. A candidate in the work's zone comes
// first, one that is passed over last, and one that owns well above the average after those that don't.
func Choose(all []Candidate, work, zone string, passed func(name string) bool) int {
	total := 0
	for _, c := range all {
		total += c.Works
	}
	// A quarter above the average, one at least: hashing alone gives some candidate several times it.
	enough := max(1, int(math.Ceil(1.25*float64(total+1)/float64(max(len(all), 1)))))
	best, rank, top := -1, -1, uint64(0)
	for k, c := range all {
		r := 0
		if !passed(c.Name) {
			r += 4
		}
		if zone == "" || c.Zone == zone {
			r += 2
		}
		if c.Works < enough {
			r++
		}
		h := xxhash.Sum64String(c.Name + "\x00" + work)
		if r > rank || r == rank && (h > top || h == top && c.Session < all[best].Session) {
			best, rank, top = k, r, h
		}
	}
	return best
}

// Passing remembers who lost works of late: a flapping owner is passed over for growing times.
type Passing struct {
	by map[string]flap
}

type flap struct {
	times int
	until float64
	last  float64
}

// Bounds of passing over.
const (
	firstPass   = 2.0   // seconds: less than a lease, so that one loss costs nothing
	longestPass = 300.0 // five minutes
	forgive     = 120.0 // seconds without a loss after which it counts as new
	mostPassed  = 1024
)

func NewPassing() *Passing { return &Passing{by: map[string]flap{}} }

// Lost tells that a name's lease ran out while it owned something.
func (p *Passing) Lost(now float64, name string) {
	f := p.by[name]
	if now > f.until+forgive {
		f.times = 0
	}
	f.times++
	f.last = now
	f.until = now + min(firstPass*math.Pow(2, float64(min(f.times-1, 20))), longestPass)
	p.by[name] = f
	for n, x := range p.by { // what was forgiven takes no room; the bound is a fleet that flaps as a whole
		if now > x.until+forgive || len(p.by) > mostPassed && n != name {
			delete(p.by, n)
		}
	}
}

// Over tells whether a name is to be passed over now.
func (p *Passing) Over(now float64, name string) bool { return now < p.by[name].until }
