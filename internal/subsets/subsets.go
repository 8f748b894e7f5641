// Package subsets turns a router's configuration and the operators' file into what fleet/subset chooses by. The router and the
// command that prints subsets both use it, so that they choose alike.
package subsets

import (
	"fmt"
	"slices"

	"dunereach/admission"
	"dunereach/fleet/subset"
	"dunereach/internal/config"
	"dunereach/internal/operator"
)

// Setup is what all routers have in common.
type Setup struct {
	file       *operator.File
	zones      []string
	regions    []int // by zone; nil: not known
	shape      subset.Shape
	zoneShares []float64 // of the pool's weight, by zone
	singleCell bool
}

// New reads a configuration whose operators' file has a section subset.
func New(cfg *config.Config) *Setup {
	s := &Setup{file: &cfg.Operator, zones: cfg.Settings.Zones, regions: cfg.Operator.RegionsOf(cfg.Settings.Zones)}
	s.zoneShares = cfg.Operator.Subset.ZonePartsOf(s.zones)
	s.shape = subset.Shape{Zones: len(s.zones), Kinds: len(cfg.Settings.Kinds)}
	for k, p := range cfg.Settings.Brain.Profiles {
		s.shape.Placements = append(s.shape.Placements, subset.Placement{Name: cfg.Settings.Profiles[k], Zones: p.Zones, Kinds: p.Kinds})
		if p.Effect == admission.Uniqued {
			s.shape.ByZone = s.shape.ByZone || p.Group == admission.GroupZone
			s.singleCell = s.singleCell || p.Group == admission.GroupCell
		}
	}
	return s
}

// Chooser is one router with its options.
type Chooser struct {
	Options subset.Options
	Router  subset.Router
}

// Self is the router that the configuration is for. Its place is what the section says, else its place in the section's list, else
// its number in the settings; where those name one router only, its name ranks.
func (s *Setup) Self(cfg *config.Config) Chooser {
	section := s.file.Subset
	if k := section.Find(cfg.Name); k >= 0 && section.Place == nil {
		return s.Listed(k)
	}
	r := subset.Router{Name: cfg.Name, Place: -1, Zone: cfg.Settings.Brain.Zone, Share: section.Share}
	switch {
	case section.Place != nil:
		r.Place = *section.Place
	case cfg.Settings.Brain.Routers > 1:
		r.Place = cfg.Settings.Brain.Me
	}
	return s.newChooser(r)
}

// Listed is a router of the section's list.
func (s *Setup) Listed(position int) Chooser {
	r := s.file.Subset.Routers[position]
	return s.newChooser(subset.Router{Name: r.Name, Place: s.file.Subset.PlaceOf(position), Zone: slices.Index(s.zones, r.Zone), Share: r.Share})
}

// newChooser gives a router its options.
func (s *Setup) newChooser(r subset.Router) Chooser {
	if r.Region = -1; r.Zone >= len(s.zones) {
		r.Zone = -1
	}
	if s.regions != nil && r.Zone >= 0 {
		r.Region = s.regions[r.Zone]
	}
	var regionZones []int // zones of the router's own
	zoneShare, regionShare := 0.0, 0.0
	if r.Zone >= 0 && r.Zone < len(s.zoneShares) {
		zoneShare = s.zoneShares[r.Zone]
	}
	for z := range s.zones {
		if r.Region >= 0 && s.regions[z] == r.Region {
			regionZones = append(regionZones, z)
			regionShare += s.zoneShares[z]
		}
	}
	if len(regionZones) == len(s.zones) {
		regionShare = 1
	}
	o := s.file.SubsetOptions(zoneShare, regionShare)
	o.Needs = s.shape.Needs(r.Zone, regionZones, s.file.Subset.LeastOf())
	o.Together = s.singleCell
	return Chooser{o, r}
}

// Choose takes a subset as a router does whose sizes are evened out by this very pool.
func (c *Chooser) Choose(pool *subset.Pool, width int) (subset.Choice, error) {
	ranking, err := pool.Rank(&c.Options, c.Router)
	if err != nil {
		return subset.Choice{}, err
	}
	c.Router.Planned = ranking.Effective()
	if ranking, err = pool.Rank(&c.Options, c.Router); err != nil {
		return subset.Choice{}, err
	}
	return ranking.Take(width), nil
}

// Databases are the entries of a list, by their names.
func (s *Setup) Databases(list []admission.Entry, nameOf func(engine uint32) string) []subset.Database {
	all := make([]subset.Database, len(list))
	for k, e := range list {
		d := subset.Database{Name: nameOf(e.Engine), Zone: e.Zone, Kind: e.Kind, Region: -1, Cell: e.Cell, Weight: e.Weight}
		if d.Name == "" {
			d.Name = fmt.Sprint(e.Engine)
		}
		if e.Zone >= 0 && e.Zone < len(s.regions) {
			d.Region = s.regions[e.Zone]
		}
		all[k] = d
	}
	return all
}
