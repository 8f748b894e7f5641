package lease

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a session that could own a task.
type Candidate struct {
	Session    uint64
	Name, Zone string
	Tasks      int // number of tasks that it owns already
}

// ChooseOwner returns the index of the candidate that should own a free task, or -1 if there are no candidates. It uses rendezvous
// hashing, so every caller chooses the same candidate without a race, and few tasks move when a session starts or ends. Candidates
// that are not suppressed come before those that are, then candidates in the task's zone, then those that with the task own at most
// boundedLoadFactor times the average number of tasks.
func ChooseOwner(candidates []Candidate, task, zone string, suppressed func(name string) bool) int {
	total := 0
	for _, c := range candidates {
		total += c.Tasks
	}
	preferredMax := max(1, int(math.Ceil(boundedLoadFactor*float64(total+1)/float64(max(len(candidates), 1)))))
	best, bestRank, bestHash := -1, -1, uint64(0)
	for k, c := range candidates {
		rank := 0
		if !suppressed(c.Name) {
			rank += 4
		}
		if zone == "" || c.Zone == zone {
			rank += 2
		}
		if c.Tasks < preferredMax {
			rank++
		}
		hash := xxhash.Sum64String(c.Name + "\x00" + task)
		if rank > bestRank || rank == bestRank && (hash > bestHash || hash == bestHash && c.Session < candidates[best].Session) {
			best, bestRank, bestHash = k, rank, hash
		}
	}
	return best
}

// boundedLoadFactor is the multiple of the average number of tasks up to which a candidate is preferred. Hashing alone would give
// some candidate several times the average.
const boundedLoadFactor = 1.25

// FlapDamper suppresses sessions that lost their leases recently. The suppression time doubles with each loss. A FlapDamper is not
// safe for concurrent use.
type FlapDamper struct {
	flaps map[string]flap
}

// flap is the loss history of one session name.
type flap struct {
	losses   int
	until    float64
	lastLoss float64
}

// Limits of the suppression.
const (
	minSuppression   = 2.0   // seconds; shorter than a lease, so that a single loss has no effect
	maxSuppression   = 300.0 // seconds (5 minutes)
	forgetAfter      = 120.0 // seconds after the end of a suppression; the next loss then counts as the first
	maxFlappingNames = 1024
)

// NewFlapDamper returns a damper that suppresses no session.
func NewFlapDamper() *FlapDamper { return &FlapDamper{flaps: map[string]flap{}} }

// RecordLoss records that the lease of a session expired while the session owned tasks.
func (p *FlapDamper) RecordLoss(now float64, name string) {
	f := p.flaps[name]
	if now > f.until+forgetAfter {
		f.losses = 0
	}
	f.losses++
	f.lastLoss = now
	f.until = now + min(minSuppression*math.Pow(2, float64(min(f.losses-1, 20))), maxSuppression)
	p.flaps[name] = f
	for n, x := range p.flaps { // delete expired entries; the size limit is reached only if a whole fleet flaps
		if now > x.until+forgetAfter || len(p.flaps) > maxFlappingNames && n != name {
			delete(p.flaps, n)
		}
	}
}

// Suppressed reports whether the session with this name is suppressed now.
func (p *FlapDamper) Suppressed(now float64, name string) bool { return now < p.flaps[name].until }
