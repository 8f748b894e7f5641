package subset

import (
	"fmt"
	"reflect"
	"slices"
)

// Placement lists the zones and kinds in which the requests of one profile may run; nil means all.
type Placement struct {
	Name         string
	Zones, Kinds []int
}

// PoolLayout is the part of the settings from which the requirements of every subset follow.
type PoolLayout struct {
	Zones, Kinds int
	Placements   []Placement
	DedupByZone  bool // duplicate requests of some profile are dropped within a zone only, so a second attempt needs a second database there
}

// Requirements returns the minimum numbers of databases of a router's subset: of each kind and each placement; of each zone if
// duplicates are dropped by zone; and of the zones outside the router's own zone and outside its region, which are what remains if
// those fail. A negative zone or an empty region is unknown.
func (s *PoolLayout) Requirements(zone int, regionZones []int, minimum int) []Requirement {
	all := append(s.placementRequirements(), s.kindAndZoneRequirements()...)
	all = append(all, s.outsideRequirements(zone, regionZones)...)
	var distinct []Requirement
	for _, n := range all {
		if !slices.ContainsFunc(distinct, n.coversSame) {
			n.Minimum = minimum
			distinct = append(distinct, n)
		}
	}
	return distinct
}

// placementRequirements returns one requirement for each placement that does not allow the whole pool.
func (s *PoolLayout) placementRequirements() []Requirement {
	var requirements []Requirement
	for _, p := range s.Placements {
		if p.Zones != nil || p.Kinds != nil {
			requirements = append(requirements, Requirement{Name: "profile " + p.Name, Zones: p.Zones, Kinds: p.Kinds})
		}
	}
	return requirements
}

// kindAndZoneRequirements returns one requirement for each kind if there are several, and one for each zone if duplicates are
// dropped by zone.
func (s *PoolLayout) kindAndZoneRequirements() []Requirement {
	var requirements []Requirement
	if s.Kinds > 1 {
		for kind := range s.Kinds {
			requirements = append(requirements, Requirement{Name: fmt.Sprintf("kind %d", kind), Kinds: []int{kind}})
		}
	}
	if s.DedupByZone && s.Zones > 1 {
		for z := range s.Zones {
			requirements = append(requirements, Requirement{Name: fmt.Sprintf("zone %d", z), Zones: []int{z}})
		}
	}
	return requirements
}

// outsideRequirements returns the requirements for the zones outside the router's own zone and outside its region.
func (s *PoolLayout) outsideRequirements(zone int, regionZones []int) []Requirement {
	var requirements []Requirement
	if s.Zones > 1 && zone >= 0 {
		requirements = append(requirements, Requirement{Name: "other zones", Zones: []int{zone}, Outside: true})
	}
	if len(regionZones) > 0 && len(regionZones) < s.Zones {
		requirements = append(requirements, Requirement{Name: "other regions", Zones: regionZones, Outside: true})
	}
	return requirements
}

// coversSame reports whether two requirements cover the same databases, whatever their names.
func (n Requirement) coversSame(other Requirement) bool {
	return n.Outside == other.Outside && reflect.DeepEqual(n.Zones, other.Zones) && reflect.DeepEqual(n.Kinds, other.Kinds)
}
