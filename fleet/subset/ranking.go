package subset

import (
	"cmp"
	"math"
	"slices"
)

// candidate is one database of a ranking.
type candidate struct {
	index int32
	need  int16 // the first need that it is among the best for, or notNeeded
	score float64
}

const notNeeded = -1

// Ranking is the order in which a router prefers the databases of one list. It is not changed once made.
type Ranking struct {
	options    *Options
	router     Router
	databases  []Database
	candidates []candidate // by score, best first, as far as sorted
	needed     int
	sorted     int // so many of the candidates are in order at least
	effective  float64
}

// Rank orders the pool for one router.
func (p *Pool) Rank(options *Options, router Router) (*Ranking, error) {
	if err := options.Check(); err != nil {
		return nil, err
	}
	r := &Ranking{options: options, router: router, databases: p.databases}
	r.candidates = make([]candidate, 0, len(p.entries))
	scores := newScorer(options, &r.router)
	for k := range p.entries {
		e := &p.entries[k]
		score, counts := scores.of(e, &p.databases[e.index])
		r.candidates = append(r.candidates, candidate{e.index, notNeeded, score})
		r.effective += counts
	}
	r.sort()
	r.markNeeded()
	return r, nil
}

// sort brings those in order that a subset at its widest may hold; the rest follows in no order.
func (r *Ranking) sort() {
	r.sorted = min(r.options.mostPlacesOf(r.router.Share, r.options.Widest), len(r.candidates))
	const spare = 1.5 // of the expected scores below the cut: a second pass is rare
	cut := (float64(r.sorted)*spare + 16) / max(r.effective, math.SmallestNonzeroFloat64)
	head := 0
	for k := range r.candidates {
		if r.candidates[k].score < cut {
			r.candidates[head], r.candidates[k] = r.candidates[k], r.candidates[head]
			head++
		}
	}
	if head < r.sorted {
		head = len(r.candidates)
	}
	slices.SortFunc(r.candidates[:head], r.compare)
}

// compare orders by score; names decide between equal ones, so that the order of the list does not matter.
func (r *Ranking) compare(a, b candidate) int {
	if a.score != b.score {
		return cmp.Compare(a.score, b.score)
	}
	return cmp.Compare(r.databases[a.index].Name, r.databases[b.index].Name)
}

// markNeeded marks the best few of each need.
func (r *Ranking) markNeeded() {
	best := make([]int, 0, 8) // places of the best candidates so far, best first
	for n := range r.options.Needs {
		best = r.bestFor(&r.options.Needs[n], best[:0])
		for _, k := range best {
			if c := &r.candidates[k]; c.need == notNeeded {
				c.need = int16(n)
				r.needed++
			}
		}
	}
}

// bestFor appends the places of the best candidates of a need to an empty slice, best first.
func (r *Ranking) bestFor(need *Need, best []int) []int {
	if need.Least == 0 {
		return best
	}
	byRank := func(a, b int) int { return r.compare(r.candidates[a], r.candidates[b]) }
	for k := range r.candidates {
		if !need.covers(&r.databases[r.candidates[k].index]) {
			continue
		}
		if len(best) == need.Least && byRank(k, best[len(best)-1]) > 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, k, byRank)
		if best = slices.Insert(best, at, k); len(best) > need.Least {
			best = best[:need.Least]
		}
	}
	return best
}

// Len is the number of different databases.
func (r *Ranking) Len() int { return len(r.candidates) }

// Size is how many places the router has at a width, needs and room aside: 1 is the ordinary one, 2 twice as many, and so on. It
// follows the router's share of the traffic and never passes the list.
func (r *Ranking) Size(width int) int {
	width = min(max(width, 1), max(r.options.Widest, 1))
	return min(r.options.sizeOf(r.router.Share)*width, len(r.candidates))
}

// Effective is the weight of the pool as this router sees it: near databases count as several. It is what Router.Planned wants.
func (r *Ranking) Effective() float64 { return r.effective }

// free is how many places there are beside the needed ones, and limit how many in all before the subset counts as grown. With room
// the free places are for those below the score at which the planned pool would fill the size and half of the room, within the size
// and its room: a router whose ranking is by chance dense at its head takes some more, one whose ranking is thin takes none of a worse
// score, and so the databases' loads stay even.
func (r *Ranking) free(size int) (free, limit int) {
	room := int(float64(size) * r.options.Room)
	if room == 0 || !(r.router.Planned > 0) {
		return max(size-r.needed, 0), size
	}
	cut := (float64(size) + float64(room)/2) / r.router.Planned
	below := 0
	for _, c := range r.candidates[:min(size+room, len(r.candidates))] {
		if c.score >= cut {
			break
		}
		if c.need == notNeeded { // others are held whatever the cut is
			below++
		}
	}
	limit = size + room
	return max(min(max(below, size-r.needed), limit-r.needed), 0), limit
}

// Take gives the subset of a width: what the needs ask for, then the best of the ranking. A wider subset holds every narrower one.
func (r *Ranking) Take(width int) Choice {
	free, limit := r.free(r.Size(width))
	choice := Choice{Members: make([]Member, 0, free+r.needed), Grown: max(r.needed-limit, 0)}
	for _, c := range r.candidates {
		member := Member{Index: int(c.index), Reason: Needed, Need: int(c.need)}
		if c.need == notNeeded {
			if free == 0 {
				continue
			}
			free--
			member = Member{Index: int(c.index), Reason: Ranked, Need: notNeeded}
		}
		member.Near = r.databases[c.index].Zone == r.router.Zone
		choice.Members = append(choice.Members, member)
	}
	slices.SortFunc(choice.Members, func(a, b Member) int { return cmp.Compare(a.Index, b.Index) })
	choice.Whole = len(choice.Members) == len(r.candidates)
	return choice
}
