package subset

import (
	"fmt"
	"reflect"
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
	var all []Need
	add := func(n Need) {
		n.Least = least
		for k := range all {
			if all[k].Outside == n.Outside && reflect.DeepEqual(all[k].Zones, n.Zones) && reflect.DeepEqual(all[k].Kinds, n.Kinds) {
				return
			}
		}
		all = append(all, n)
	}
	for _, p := range s.Placements {
		if p.Zones != nil || p.Kinds != nil {
			add(Need{Name: "profile " + p.Name, Zones: p.Zones, Kinds: p.Kinds})
		}
	}
	if s.Kinds > 1 {
		for kind := range s.Kinds {
			add(Need{Name: fmt.Sprintf("kind %d", kind), Kinds: []int{kind}})
		}
	}
	if s.ByZone && s.Zones > 1 {
		for z := range s.Zones {
			add(Need{Name: fmt.Sprintf("zone %d", z), Zones: []int{z}})
		}
	}
	if s.Zones > 1 && zone >= 0 {
		add(Need{Name: "other zones", Zones: []int{zone}, Outside: true})
	}
	if len(region) > 0 && len(region) < s.Zones {
		add(Need{Name: "other regions", Zones: region, Outside: true})
	}
	return all
}
