package subset

import (
	"math"
)

// scorer gives databases their scores for one router: uniform in [0, 1), divided by weight and nearness, so that the part of
// routers that hold a database is in proportion to both.
type scorer struct {
	router      *Router
	near        float64 // a database of the own zone counts as this many
	region      float64 // one of another zone of the own region
	together    bool
	placeless   bool
	routerBlend uint64 // stands for the name of a router without a place
}

func newScorer(o *Options, r *Router) scorer {
	s := scorer{router: r, together: o.Together, placeless: r.Place < 0}
	s.near, s.region = o.nearness(r)
	if s.placeless {
		s.routerBlend = hashOf(r.Name)
	}
	return s
}

// of is the score of a database, the lower, the sooner it is held, and how many databases of a far zone it counts as.
func (s *scorer) of(e *entry, d *Database) (score, counts float64) {
	counts = e.weight * s.nearnessOf(d)
	if !s.together {
		return unit(s.position(e.own, e.irrational)) / counts, counts
	}
	score = unit(s.position(e.cell, e.togetherBy)) / counts
	// Databases of one cell stay side by side, in an order of their own.
	return score + unit(s.position(e.own, e.irrational))*sliver, counts
}

// sliver orders databases of one cell, and is too little to mix two cells.
const sliver = 1e-9

// position is the place of this router in a database's sequence of routers.
func (s *scorer) position(key, irrational uint64) uint64 {
	if s.placeless {
		return mix(key ^ s.routerBlend)
	}
	return irrational*uint64(s.router.Place) + mix(key+1)
}

func (s *scorer) nearnessOf(d *Database) float64 {
	switch {
	case s.router.Zone >= 0 && d.Zone == s.router.Zone:
		return s.near
	case s.router.Region >= 0 && d.Region == s.router.Region:
		return s.region
	}
	return 1
}

// irrational is a number in (0, 1), in units of 2^-64, whose multiples fill the unit interval evenly: a continued fraction that
// begins with ones and twos drawn by the key and ends with ones for ever, which makes it as badly approximated by fractions as
// the golden ratio is. Different keys have different numbers, so that two databases share few routers.
func irrational(key uint64) uint64 {
	const drawn = 8 // terms: 256 numbers
	const golden = 0.6180339887498949
	x := golden
	for term := range drawn {
		x = 1 / (float64(1+key>>term&1) + x)
	}
	return uint64(math.Ldexp(x, 64))
}

// hashOf is FNV-1a over the name, mixed: the same in every process and release.
func hashOf(name string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := 0; i < len(name); i++ {
		h = (h ^ uint64(name[i])) * prime
	}
	return mix(h)
}

// mix is the finalizer of MurmurHash3, by way of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unit maps 64 bits to [0, 1).
func unit(x uint64) float64 { return float64(x>>11) / (1 << 53) }

// Spread is a router's own number in [0, 1), by which routers do at different times what they would else do at once.
func Spread(router string) float64 { return unit(hashOf(router)) }
