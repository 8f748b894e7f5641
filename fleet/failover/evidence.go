// Package failover decides, for a whole fleet, where each zone's work goes: what zones are lost, slow or cut off, what each can
// serve, a plan of shares, and the steps from one plan to the next. It does no I/O and knows no clock; times are seconds by the
// caller's own. One router at a time runs it, under a fence; all others follow its plans for as long as they live.
package failover

import (
	"cmp"
	"math"
	"slices"
)

// MostZones that a plan has room for.
const MostZones = 16

// Sight is what one router saw of one zone's engines since its last report.
type Sight struct {
	Sent   float64 `json:"n,omitempty"` // sends that ended
	Bad    float64 `json:"b,omitempty"` // of those: cut, refused to connect, not answered in time
	Turned float64 `json:"t,omitempty"` // turned away as full
	Late   float64 `json:"l,omitempty"` // answered after the latency target
	Work   float64 `json:"w,omitempty"` // core seconds answered in time
	Slow   float64 `json:"s,omitempty"` // time of answers over what their work takes on an idle core, by work; 0: none
	Ready  float64 `json:"r,omitempty"` // cores of ready engines in its list, cold ones by what they bear
	Cold   float64 `json:"c,omitempty"` // cores that cold ones do not bear yet
	Drains float64 `json:"d,omitempty"` // cores of draining ones
	Doubt  float64 `json:"q,omitempty"` // cores of ready ones that it sends trials only, as they failed it
	Did    float64 `json:"-"`           // core seconds that stand behind Slow
}

// bad is the share of what fails there by this router's word, and the weight of that word. A router that has stopped sending
// because engines failed it sends nearly nothing, and knows all the same.
func (s *Sight) bad() (share, weight float64) {
	if s.Sent > 0 {
		share, weight = s.Bad/s.Sent, min(s.Sent/enough, 1)
	}
	if doubt := min(s.Doubt/max(s.Ready, 1e-9), 1); s.Ready > 0 && doubt > 0 {
		share, weight = max(share, doubt), max(weight, doubt)
	}
	return share, weight
}

// Report is a router's evidence, once a second.
type Report struct {
	Zone   int     `json:"zone"`   // of the router
	Demand float64 `json:"demand"` // core seconds a second that its clients ask for
	Pinned float64 `json:"pinned"` // of those: may not leave the zone
	Epoch  uint64  `json:"epoch"`  // plan that it follows, 0: none
	Span   float64 `json:"span"`   // seconds that it is about, 0: one
	Sights []Sight `json:"sights"` // by zone
}

// Fails tells whether this router's own zone fails it: it sends most of what is ready there trials only.
func (r *Report) Fails() bool {
	if r.Zone < 0 || r.Zone >= len(r.Sights) {
		return false
	}
	share, weight := r.Sights[r.Zone].bad()
	return share >= mostBad && weight >= little
}

// seconds that a report is about. A late one tells of more work than a second's, and would have a zone bear more than it does.
func (r *Report) seconds() float64 {
	if r.Span <= 0 {
		return 1
	}
	return max(r.Span, 0.2) // two reports in a row tell of a few answers: no rate
}

// Check tells whether a report can be one.
func (r *Report) Check(zones int) bool {
	good := func(x float64) bool { return x >= 0 && x < 1e9 }
	if r.Zone < 0 || r.Zone >= zones || len(r.Sights) != zones || !good(r.Demand) || !good(r.Span) || !good(r.Pinned) || r.Pinned > r.Demand+1e-9 {
		return false
	}
	for _, s := range r.Sights {
		if !good(s.Sent) || !good(s.Bad) || !good(s.Turned) || !good(s.Late) || !good(s.Work) || !good(s.Slow) || !good(s.Ready) || !good(s.Drains) || !good(s.Cold) || !good(s.Doubt) ||
			s.Bad+s.Turned > s.Sent+1e-9 {
			return false
		}
	}
	return true
}

// Verdict on a zone.
type Verdict uint8

// The verdicts on a zone.
const (
	Unknown    Verdict = iota // nobody sends there
	Well                      //
	Lost                      // reached by nobody that counts
	Slow                      // answers take several times the usual
	Failing                   // a good part of what is sent there fails
	Overloaded                // turns away, or is late
	Draining                  // its engines are being taken away
	Empty                     // the list has no ready engine there
)

func (v Verdict) String() string {
	return [...]string{"unknown", "well", "lost", "slow", "failing", "overloaded", "draining", "empty"}[v]
}

// Judgement of the whole matrix of observers' zones and target zones.
type Judgement struct {
	Zones []Verdict
	Slow  []float64 // slowdown of each zone against the others, 1: none
	Cut   [][]bool  // from a zone to one: reached by others, or by its own, but not from there
	Alone []bool    // the observers of this zone are the ones cut off
}

// vote is one router's word with its weight.
type vote struct{ value, weight float64 }

// median by weight: a minority of observers, whatever they say, moves it no further than to what an honest one says.
func median(votes []vote) (value, weight float64) {
	for _, v := range votes {
		weight += v.weight
	}
	slices.SortFunc(votes, func(a, b vote) int { return cmp.Compare(a.value, b.value) })
	sum := 0.0
	for _, v := range votes {
		if sum += v.weight; sum >= weight/2 {
			return v.value, weight
		}
	}
	return 0, 0
}

// What makes a verdict.
const (
	enough   = 8.0  // sends for a router's whole weight: fewer count as few
	little   = 0.5  // weight under which nothing is known
	mostBad  = 0.5  // share of bad sends from which a zone is not reached
	someBad  = 0.15 // and from which it fails
	mostSlow = 2.5  // slowdown, as health has it for one engine
	agree    = 0.6  // share of all observers' weight that has to agree before a zone is given up: half may lie
	full     = 0.2  // share turned away or late
)

// Judge the zones by reports that are fresh. A router weighs by what it has sent, up to a bound; a zone's word is the median of
// its routers'.
func Judge(reports []Report, zones int) Judgement {
	j := Judgement{Zones: make([]Verdict, zones), Slow: make([]float64, zones), Alone: make([]bool, zones)}
	bad := make([][]float64, zones) // from, to: share that fails, NaN: not known
	for o := range zones {
		j.Cut = append(j.Cut, make([]bool, zones))
		bad[o] = make([]float64, zones)
		for z := range zones {
			var votes []vote
			for k := range reports {
				if share, w := reports[k].Sights[z].bad(); reports[k].Zone == o && w > 0 {
					votes = append(votes, vote{share, w})
				}
			}
			value, weight := median(votes)
			if bad[o][z] = value; weight < little {
				bad[o][z] = math.NaN()
			}
		}
	}
	reaches := func(o, z int) bool { return bad[o][z] < mostBad }
	fails := func(o, z int) bool { return bad[o][z] >= mostBad }
	// A zone whose observers reach no other one, while others reach each other, is itself cut off: its word on others counts for
	// nothing.
	for o := range zones {
		none, others := 0, 0
		for z := range zones {
			if z != o && fails(o, z) {
				none++
			}
			for p := range zones {
				if z != o && p != o && p != z && reaches(p, z) {
					others++
				}
			}
			if z != o && (reaches(o, z) || z != o && reaches(z, z) && math.IsNaN(bad[o][z])) {
				none = -zones
			}
		}
		j.Alone[o] = none >= 2 && others > 0
	}
	j.Slow = slower(reports, zones)
	for z := range zones {
		j.Zones[z] = judgeOne(reports, z, j.Alone, j.Slow[z])
		own := reaches(z, z) // its own routers reach it: it is there
		if j.Zones[z] == Lost && own {
			j.Zones[z] = Well
		}
		// Where its own routers are not heard, one other zone's word may be about the way between the two only.
		if others := 0; j.Zones[z] == Lost && math.IsNaN(bad[z][z]) && zones > 2 {
			for o := range zones {
				if o != z && fails(o, z) && !j.Alone[o] {
					others++
				}
			}
			if others < 2 {
				j.Zones[z] = Unknown
			}
		}
		for o := range zones {
			// Its own work too: others may reach it, or say that they do. Who reaches nobody has nowhere better to go.
			j.Cut[o][z] = fails(o, z) && j.Zones[z] != Lost && (o != z || !j.Alone[o])
		}
	}
	return j
}

// judgeOne takes the word of all observers that are not cut off themselves.
func judgeOne(reports []Report, z int, alone []bool, pace float64) Verdict {
	var lost, failing, crowded, weight, ready, drains float64
	var cores, going []vote
	for k := range reports {
		r := &reports[k]
		s := &r.Sights[z]
		if alone[r.Zone] && r.Zone != z {
			continue
		}
		cores, going = append(cores, vote{s.Ready, 1}), append(going, vote{s.Drains, 1})
		share, w := s.bad()
		if w <= 0 {
			continue
		}
		weight += w
		if share >= mostBad {
			lost += w
		} else if share >= someBad {
			failing += w
		}
		if s.Sent > 0 && (s.Turned+s.Late)/s.Sent >= full {
			crowded += w
		}
	}
	ready, _ = median(cores)
	drains, _ = median(going)
	switch {
	case len(cores) > 0 && ready <= 0 && drains > 0:
		return Draining
	case len(cores) > 0 && ready <= 0:
		return Empty
	case weight < little:
		return Unknown
	case lost >= agree*weight:
		return Lost
	case lost+failing >= agree*weight:
		return Failing
	case crowded >= agree*weight: // whether it is slow too or not: what it serves is its measure
		return Overloaded
	case pace >= mostSlow:
		return Slow
	}
	return Well
}

// slower compares zones with each other, as their own routers see them: time over work, less what their load explains. A router's own
// usual would follow a zone that stays slow, and a fleet that is slow everywhere has nowhere better to go. A zone that its own routers
// tell nothing of is not slow.
func slower(reports []Report, zones int) []float64 {
	const most = 0.8 // of a zone's cores in use: what load explains past that is five times and more, and a rough guess
	paces, all := make([]float64, zones), make([]float64, zones)
	for z := range zones {
		var slow, cores []vote
		work := 0.0
		for k := range reports {
			r := &reports[k]
			s := &r.Sights[z]
			work += s.Work / r.seconds()
			cores = append(cores, vote{s.Ready + s.Cold, 1})
			if r.Zone == z && s.Slow > 0 && s.Sent > 0 {
				slow = append(slow, vote{s.Slow, min(s.Sent/enough, 1)})
			}
		}
		pace, weight := median(slow)
		have, _ := median(cores)
		if weight >= little && have > 0 {
			paces[z] = max(pace*(1-min(work/have, most)), 1)
		}
	}
	for z := range zones {
		all[z] = 1
		var others []vote
		for y := range zones {
			if y != z && paces[y] > 0 {
				others = append(others, vote{paces[y], 1})
			}
		}
		if base, _ := median(others); paces[z] > 0 && base > 0 {
			all[z] = max(paces[z]/base, 1)
		}
	}
	return all
}
