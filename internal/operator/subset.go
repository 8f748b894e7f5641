package operator

import (
	"fmt"
	"slices"

	"dunereach/fleet/subset"
)

// Subset configures how a router chooses the databases that it talks to. All routers should have the same section except for place and
// share.
type Subset struct {
	Size    int                 `json:"size" jsonschema:"minimum=1,maximum=65536,description=Databases that a router with the mean traffic talks to. A pool that is no larger is used whole."`
	Room    *float64            `json:"room,omitempty" jsonschema:"minimum=0,maximum=1,description=Part of the size that a subset may be larger by so that databases are held by equally many routers. Absent: 0.5."`
	Widest  int                 `json:"widest,omitempty" jsonschema:"enum=1,enum=2,enum=4,enum=8,enum=16,enum=32,enum=64,description=How many times as large the subset of a router may become while too few of its databases can be used. Absent: 4."`
	Near    *float64            `json:"near,omitempty" jsonschema:"minimum=0,maximum=0.9,description=Part of a subset that is for the router's zone before the rest is dealt out over all zones. Absent: 0.5."`
	Region  *float64            `json:"region,omitempty" jsonschema:"minimum=0,maximum=0.9,description=Part that is likewise for the router's region. Absent: 0.2 where regions are named and else 0."`
	Least   *int                `json:"least,omitempty" jsonschema:"minimum=0,maximum=64,description=Databases of each kind and of each profile's zones and kinds and beyond the router's zone and region that a subset has at least. Absent: 2."`
	Place   *int                `json:"place,omitempty" jsonschema:"minimum=0,maximum=1048576,description=This router's number among all of them: unique and best counted zone by zone. Absent: the list of routers says or the settings do."`
	Share   float64             `json:"share,omitempty" jsonschema:"minimum=0,maximum=64,description=This router's traffic by that of the mean router. Absent: 1."`
	Zones   map[string]float64  `json:"zones,omitempty" jsonschema:"description=Weight of the databases of each zone of the settings relative to the other zones. Absent: equal."`
	Regions map[string][]string `json:"regions,omitempty" jsonschema:"description=Zones of the settings by region. Absent: those of the section fleet."`
	Routers []SubsetRouter      `json:"routers,omitempty" jsonschema:"maxItems=65536,description=All routers as far as they are known: what dunereach fleet subset tells of a database is for these. A router finds its place and share here by its name."`
}

// SubsetRouter is one entry in the list of routers.
type SubsetRouter struct {
	Name  string  `json:"name" jsonschema:"minLength=1,maxLength=120,description=As the router's own configuration has it."`
	Zone  string  `json:"zone" jsonschema:"minLength=1,maxLength=120,description=One of the settings' zones."`
	Place *int    `json:"place,omitempty" jsonschema:"minimum=0,maximum=1048576,description=Its number. Absent: its position in this list."`
	Share float64 `json:"share,omitempty" jsonschema:"minimum=0,maximum=64,description=Its traffic by that of the mean router. Absent: 1."`
}

// Defaults for absent keys of the section.
const (
	defaultRoom   = 0.5
	defaultWidest = 4
	defaultNear   = 0.5
	defaultRegion = 0.2
	defaultLeast  = 2
)

func orDefault[T any](p *T, defaultValue T) T {
	if p == nil {
		return defaultValue
	}
	return *p
}

// PlaceOf returns the place of the router at a position of the list: the place that the entry gives, else its position.
func (s *Subset) PlaceOf(position int) int { return orDefault(s.Routers[position].Place, position) }

// Find returns the position of a router in the list, or -1.
func (s *Subset) Find(name string) int {
	return slices.IndexFunc(s.Routers, func(r SubsetRouter) bool { return r.Name == name })
}

// MinPerNeed returns the minimum number of databases for every need.
func (s *Subset) MinPerNeed() int { return orDefault(s.Least, defaultLeast) }

// RegionsOf returns the region number of each zone. Regions are numbered in order of first appearance; nil means that no regions are
// configured.
func (f *File) RegionsOf(zones []string) []int {
	regions := f.Subset.Regions
	if regions == nil && f.Fleet != nil {
		regions = f.Fleet.Regions
	}
	if len(regions) == 0 {
		return nil
	}
	numbers := map[string]int{}
	regionOf := make([]int, len(zones))
	for z, name := range zones {
		region := ""
		for k, zones := range regions {
			if slices.Contains(zones, name) {
				region = k
			}
		}
		if _, known := numbers[region]; !known {
			numbers[region] = len(numbers)
		}
		regionOf[z] = numbers[region]
	}
	return regionOf
}

// ZoneShares returns the share of the pool's weight that each zone has.
func (s *Subset) ZoneShares(zones []string) []float64 {
	shares, sum := make([]float64, len(zones)), 0.0
	for z, name := range zones {
		if shares[z] = s.Zones[name]; len(s.Zones) == 0 {
			shares[z] = 1
		}
		sum += shares[z]
	}
	for z := range shares {
		shares[z] /= sum
	}
	return shares
}

// SubsetOptions returns the options of a router whose zone and region have these shares of the pool's weight; the caller adds the needs.
// In a pool of one zone or one region no part of a subset is reserved for that zone or region.
func (f *File) SubsetOptions(zoneShare, regionShare float64) subset.Options {
	s := f.Subset
	o := subset.Options{Size: s.Size, SizeSlack: orDefault(s.Room, defaultRoom), MaxWidth: s.Widest, OwnZoneShare: orDefault(s.Near, defaultNear)}
	if o.MaxWidth == 0 {
		o.MaxWidth = defaultWidest
	}
	o.OwnRegionShare = orDefault(s.Region, min(defaultRegion, max(subset.MaxLocalShare-o.OwnZoneShare, 0)))
	if zoneShare < 1 {
		o.ZoneWeightShare = zoneShare
	}
	if regionShare < 1 {
		o.RegionWeightShare = regionShare
	}
	return o
}

// CheckSubset makes the checks of the section that the schema can't express.
func (f *File) CheckSubset(zones []string) error {
	s := f.Subset
	if s == nil {
		return nil
	}
	if err := s.checkZones(zones); err != nil {
		return err
	}
	o := f.SubsetOptions(1, 1)
	if err := o.Check(); err != nil {
		return fmt.Errorf("/subset/%v", err)
	}
	return s.checkRouters(zones)
}

// checkZones checks that regions and weights name only zones of the settings, and that weights, if given, name all of them.
func (s *Subset) checkZones(zones []string) error {
	for region, names := range s.Regions {
		for k, name := range names {
			if !slices.Contains(zones, name) {
				return fmt.Errorf("/subset/regions/%s/%d: %q is no zone of the settings", region, k, name)
			}
		}
	}
	for name, weight := range s.Zones {
		if !slices.Contains(zones, name) {
			return fmt.Errorf("/subset/zones/%s: it is no zone of the settings", name)
		}
		if !subset.ValidWeight(weight) {
			return fmt.Errorf("/subset/zones/%s: %v is no weight from 1e-6 to 1e6", name, weight)
		}
	}
	for _, name := range zones {
		if _, found := s.Zones[name]; !found && len(s.Zones) > 0 {
			return fmt.Errorf("/subset/zones: zone %q of the settings is missing", name)
		}
	}
	return nil
}

// checkRouters checks that names and places of the listed routers are distinct and that their zones are zones of the settings.
func (s *Subset) checkRouters(zones []string) error {
	names, places := map[string]int{}, map[int]int{}
	for k, r := range s.Routers {
		if first, duplicate := names[r.Name]; duplicate {
			return fmt.Errorf("/subset/routers/%d/name: %q is the name of router %d of the list too", k, r.Name, first)
		}
		if first, duplicate := places[s.PlaceOf(k)]; duplicate {
			return fmt.Errorf("/subset/routers/%d/place: %d is the place of %q too", k, s.PlaceOf(k), s.Routers[first].Name)
		}
		if !slices.Contains(zones, r.Zone) {
			return fmt.Errorf("/subset/routers/%d/zone: %q is no zone of the settings", k, r.Zone)
		}
		names[r.Name], places[s.PlaceOf(k)] = k, k
	}
	return nil
}
