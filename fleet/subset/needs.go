package subset

import (
	"fmt"
	"reflect"
	"slices"
)

// Placement is where the requests of one profile may run: the zones and kinds named, nil for all.
type Placement struct {
	Name         string
	Zones, Kinds []int
}

// Shape is what of the settings every subset must serve.
type Shape struct {
	Zones, Kinds int
	Placements   []Placement
	ByZone       bool // a profile's repeats are dropped within a zone alone: a second attempt needs a second database there
}

// Needs are the minima of a router's subset: of each kind and each placement, of each zone where repeats are dropped by zone, and of
// the zones beyond the router's own and beyond its region, which are what it has left when those are lost. A negative zone or an
// empty region is not known.
func (s *Shape) Needs(zone int, region []int, least int) []Need {
	wanted := append(s.placementNeeds(), s.kindAndZoneNeeds()...)
	wanted = append(wanted, s.outsideNeeds(zone, region)...)
	var distinct []Need
	for _, n := range wanted {
		if !slices.ContainsFunc(distinct, n.asksTheSame) {
			n.Least = least
			distinct = append(distinct, n)
		}
	}
	return distinct
}

// placementNeeds has one need for each placement that is narrower than the pool.
func (s *Shape) placementNeeds() []Need {
	var needs []Need
	for _, p := range s.Placements {
		if p.Zones != nil || p.Kinds != nil {
			needs = append(needs, Need{Name: "profile " + p.Name, Zones: p.Zones, Kinds: p.Kinds})
		}
	}
	return needs
}

// kindAndZoneNeeds has one need for each kind where there are several, and for each zone where repeats are dropped by zone.
func (s *Shape) kindAndZoneNeeds() []Need {
	var needs []Need
	if s.Kinds > 1 {
		for kind := range s.Kinds {
			needs = append(needs, Need{Name: fmt.Sprintf("kind %d", kind), Kinds: []int{kind}})
		}
	}
	if s.ByZone && s.Zones > 1 {
		for z := range s.Zones {
			needs = append(needs, Need{Name: fmt.Sprintf("zone %d", z), Zones: []int{z}})
		}
	}
	return needs
}

// outsideNeeds are those of the zones beyond the router's own and beyond its region.
func (s *Shape) outsideNeeds(zone int, region []int) []Need {
	var needs []Need
	if s.Zones > 1 && zone >= 0 {
		needs = append(needs, Need{Name: "other zones", Zones: []int{zone}, Outside: true})
	}
	if len(region) > 0 && len(region) < s.Zones {
		needs = append(needs, Need{Name: "other regions", Zones: region, Outside: true})
	}
	return needs
}

// asksTheSame tells whether two needs cover the same databases, whatever their names.
func (n Need) asksTheSame(other Need) bool {
	return n.Outside == other.Outside && reflect.DeepEqual(n.Zones, other.Zones) && reflect.DeepEqual(n.Kinds, other.Kinds)
}
