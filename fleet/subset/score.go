package subset

import (
	"math"
)

// scorer computes the scores of databases for one router. A score is uniform in [0, 1), divided by the database's weight and
// locality factor, so that the number of routers that select a database is proportional to both.
type scorer struct {
	router       *Router
	zoneFactor   float64 // for databases in the own zone
	regionFactor float64 // for databases in the other zones of the own region
	keepCells    bool
	unnumbered   bool
	routerHash   uint64 // hash of the name, used if the router has no number
}

func newScorer(o *Options, r *Router) scorer {
	s := scorer{router: r, keepCells: o.KeepCellsTogether, unnumbered: r.Number < 0}
	s.zoneFactor, s.regionFactor = o.localityFactors(r)
	if s.unnumbered {
		s.routerHash = hashName(r.Name)
	}
	return s
}

// scoreOf returns the score of a database and its weight multiplied by the locality factor. Databases with lower scores are
// preferred.
func (s *scorer) scoreOf(e *entry, d *Database) (score, effectiveWeight float64) {
	effectiveWeight = e.weight * s.localityFactor(d)
	if !s.keepCells {
		return unitInterval(s.position(e.nameHash, e.irrational)) / effectiveWeight, effectiveWeight
	}
	score = unitInterval(s.position(e.cellHash, e.cellIrrational)) / effectiveWeight
	// Databases of one cell stay adjacent; their own scores order them within the cell.
	return score + unitInterval(s.position(e.nameHash, e.irrational))*cellOrderScale, effectiveWeight
}

// cellOrderScale scales the scores that order databases within one cell. It is small enough not to interleave two cells.
const cellOrderScale = 1e-9

// position returns the element of a database's sequence that belongs to this router.
func (s *scorer) position(key, multiplier uint64) uint64 {
	if s.unnumbered {
		return mix(key ^ s.routerHash)
	}
	return multiplier*uint64(s.router.Number) + mix(key+1)
}

// localityFactor returns the factor for the database's zone.
func (s *scorer) localityFactor(d *Database) float64 {
	switch {
	case s.router.Zone >= 0 && d.Zone == s.router.Zone:
		return s.zoneFactor
	case s.router.Region >= 0 && d.Region == s.router.Region:
		return s.regionFactor
	}
	return 1
}

// irrational returns a number in (0, 1), in units of 2^-64, whose multiples fill the unit interval evenly. Its continued fraction
// begins with ones and twos drawn from the key and continues with ones for ever, so the number is as badly approximated by fractions
// as the golden ratio. Different keys have different numbers, so that two databases share few routers.
func irrational(key uint64) uint64 {
	const drawnTerms = 8 // terms: 256 numbers
	const golden = 0.6180339887498949
	x := golden
	for term := range drawnTerms {
		x = 1 / (float64(1+key>>term&1) + x)
	}
	return uint64(math.Ldexp(x, 64))
}

// hashName returns the mixed FNV-1a hash of a name, the same in every process and release.
func hashName(name string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := 0; i < len(name); i++ {
		h = (h ^ uint64(name[i])) * prime
	}
	return mix(h)
}

// mix is the finalizer of SplitMix64, which derives from MurmurHash3's.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unitInterval maps 64 bits to [0, 1).
func unitInterval(x uint64) float64 { return float64(x>>11) / (1 << 53) }

// Jitter returns a number in [0, 1) that depends on the router's name. Routers use it to spread out in time actions that they would
// otherwise take simultaneously.
func Jitter(router string) float64 { return unitInterval(hashName(router)) }
