package subset

import (
	"cmp"
	"math"
	"slices"
)

// candidate is one database of a ranking.
type candidate struct {
	index       int32
	requirement int16 // first requirement for which it is among the best candidates, or notRequired
	score       float64
}

const notRequired = -1

// Ranking is the order in which a router prefers the databases of one list. It is immutable.
type Ranking struct {
	options         *Options
	router          Router
	databases       []Database
	candidates      []candidate // the first sortedCount by score, best first
	requiredCount   int
	sortedCount     int // minimum number of candidates that are in order
	effectiveWeight float64
}

// Rank ranks the pool for one router.
func (p *Pool) Rank(options *Options, router Router) (*Ranking, error) {
	if err := options.Check(); err != nil {
		return nil, err
	}
	r := &Ranking{options: options, router: router, databases: p.databases}
	r.candidates = make([]candidate, 0, len(p.entries))
	scores := newScorer(options, &r.router)
	for k := range p.entries {
		e := &p.entries[k]
		score, weight := scores.scoreOf(e, &p.databases[e.index])
		r.candidates = append(r.candidates, candidate{e.index, notRequired, score})
		r.effectiveWeight += weight
	}
	r.sort()
	r.markRequired()
	return r, nil
}

// sort orders the candidates that the widest subset may contain. The remaining ones follow in no particular order.
func (r *Ranking) sort() {
	r.sortedCount = min(r.options.maxMembersForShare(r.router.TrafficShare, r.options.MaxWidth), len(r.candidates))
	const headroom = 1.5 // factor on the expected number of scores below maxScore, so that a second pass over all candidates is rare
	maxScore := (float64(r.sortedCount)*headroom + 16) / max(r.effectiveWeight, math.SmallestNonzeroFloat64)
	belowMax := 0
	for k := range r.candidates {
		if r.candidates[k].score < maxScore {
			r.candidates[belowMax], r.candidates[k] = r.candidates[k], r.candidates[belowMax]
			belowMax++
		}
	}
	if belowMax < r.sortedCount {
		belowMax = len(r.candidates)
	}
	slices.SortFunc(r.candidates[:belowMax], r.compare)
}

// compare orders candidates by score. Names break ties, so that the order of the list does not matter.
func (r *Ranking) compare(a, b candidate) int {
	if a.score != b.score {
		return cmp.Compare(a.score, b.score)
	}
	return cmp.Compare(r.databases[a.index].Name, r.databases[b.index].Name)
}

// markRequired marks the best candidates of each requirement.
func (r *Ranking) markRequired() {
	best := make([]int, 0, 8) // indices of the best candidates so far, best first
	for n := range r.options.Requirements {
		best = r.bestFor(&r.options.Requirements[n], best[:0])
		for _, k := range best {
			if c := &r.candidates[k]; c.requirement == notRequired {
				c.requirement = int16(n)
				r.requiredCount++
			}
		}
	}
}

// bestFor appends the indices of a requirement's best candidates to an empty slice, best first.
func (r *Ranking) bestFor(requirement *Requirement, best []int) []int {
	if requirement.Minimum == 0 {
		return best
	}
	byRank := func(a, b int) int { return r.compare(r.candidates[a], r.candidates[b]) }
	for k := range r.candidates {
		if !requirement.covers(&r.databases[r.candidates[k].index]) {
			continue
		}
		if len(best) == requirement.Minimum && byRank(k, best[len(best)-1]) > 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, k, byRank)
		if best = slices.Insert(best, at, k); len(best) > requirement.Minimum {
			best = best[:requirement.Minimum]
		}
	}
	return best
}

// Len returns the number of distinct databases.
func (r *Ranking) Len() int { return len(r.candidates) }

// Size returns the size of the router's subset at a width, requirements and size slack aside: width 1 is the ordinary size, 2 twice
// as many databases, and so on. The size depends on the router's share of the traffic and never exceeds the list.
func (r *Ranking) Size(width int) int {
	width = min(max(width, 1), max(r.options.MaxWidth, 1))
	return min(r.options.sizeForShare(r.router.TrafficShare)*width, len(r.candidates))
}

// EffectiveWeight returns the weight of the pool as this router sees it, with the weights of databases in its own zone and region
// multiplied by their locality factors. It is the value for Router.PlannedWeight.
func (r *Ranking) EffectiveWeight() float64 { return r.effectiveWeight }

// freePlaces returns the number of databases to select besides the required ones, and the limit above which the subset counts as
// grown. With size slack, the free places go to databases whose scores are below the score at which the planned pool would fill the
// size and half of the slack, within the size and its slack. A router whose ranking happens to be dense at its head selects some
// more, and one whose ranking is sparse selects none with a worse score. This keeps the loads of the databases even.
func (r *Ranking) freePlaces(size int) (freePlaces, limit int) {
	slack := int(float64(size) * r.options.SizeSlack)
	if slack == 0 || !(r.router.PlannedWeight > 0) {
		return max(size-r.requiredCount, 0), size
	}
	maxScore := (float64(size) + float64(slack)/2) / r.router.PlannedWeight
	belowMax := 0
	for _, c := range r.candidates[:min(size+slack, len(r.candidates))] {
		if c.score >= maxScore {
			break
		}
		if c.requirement == notRequired { // required candidates are selected whatever their score
			belowMax++
		}
	}
	limit = size + slack
	return max(min(max(belowMax, size-r.requiredCount), limit-r.requiredCount), 0), limit
}

// Select returns the subset of a width: the databases that the requirements need, then the head of the ranking. A wider subset
// contains every narrower one.
func (r *Ranking) Select(width int) Selection {
	freePlaces, limit := r.freePlaces(r.Size(width))
	choice := Selection{Members: make([]Member, 0, freePlaces+r.requiredCount), Excess: max(r.requiredCount-limit, 0)}
	for _, c := range r.candidates {
		member := Member{Index: int(c.index), Reason: Required, Requirement: int(c.requirement)}
		if c.requirement == notRequired {
			if freePlaces == 0 {
				continue
			}
			freePlaces--
			member = Member{Index: int(c.index), Reason: Ranked, Requirement: notRequired}
		}
		member.InOwnZone = r.databases[c.index].Zone == r.router.Zone
		choice.Members = append(choice.Members, member)
	}
	slices.SortFunc(choice.Members, func(a, b Member) int { return cmp.Compare(a.Index, b.Index) })
	choice.WholePool = len(choice.Members) == len(r.candidates)
	return choice
}
