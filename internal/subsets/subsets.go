// Package subsets converts a router's configuration and the operators' file into the input of package fleet/subset. The router and the
// command that prints subsets both use it, so that both choose the same databases.
package subsets

import (
	"fmt"
	"slices"

	"dunereach/admission"
	"dunereach/fleet/subset"
	"dunereach/internal/config"
	"dunereach/internal/operator"
)

// CommonConfig is the part of the configuration that all routers share.
type Setup struct {
	file       *operator.File
	zones      []string
	regions    []int // region number by zone; nil: no regions are configured
	shape      subset.Shape
	zoneShares []float64 // share of the pool's weight by zone
	wholeCells bool      // databases of one cell are chosen together, as idempotency keys are valid within a cell only
}

// New returns the common part of a configuration whose operators' file has a section subset.
func New(cfg *config.Config) *Setup {
	s := &Setup{file: &cfg.Operator, zones: cfg.Settings.Zones, regions: cfg.Operator.RegionsOf(cfg.Settings.Zones)}
	s.zoneShares = cfg.Operator.Subset.ZonePartsOf(s.zones)
	s.shape = subset.Shape{Zones: len(s.zones), Kinds: len(cfg.Settings.Kinds)}
	for k, p := range cfg.Settings.Brain.Profiles {
		s.shape.Placements = append(s.shape.Placements, subset.Placement{Name: cfg.Settings.Profiles[k], Zones: p.Zones, Kinds: p.Kinds})
		if p.Effect == admission.Uniqued {
			s.shape.ByZone = s.shape.ByZone || p.Group == admission.GroupZone
			s.wholeCells = s.wholeCells || p.Group == admission.GroupCell
		}
	}
	return s
}

// Chooser chooses the subset of one router.
type Chooser struct {
	Options subset.Options
	Router  subset.Router
}

// OwnRouter returns the chooser of the router that the configuration belongs to. The router's place is the one given in the section,
// else its place in the section's list of routers, else its number in the settings. Where the settings name one router only, it has no
// place (-1) and its name is used instead.
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

// ListedRouter returns the chooser of the router at a position of the section's list.
func (s *Setup) Listed(position int) Chooser {
	r := s.file.Subset.Routers[position]
	return s.newChooser(subset.Router{Name: r.Name, Place: s.file.Subset.PlaceOf(position), Zone: slices.Index(s.zones, r.Zone), Share: r.Share})
}

// newChooser completes a router's zone and region and computes its options.
func (s *Setup) newChooser(r subset.Router) Chooser {
	if r.Region = -1; r.Zone >= len(s.zones) {
		r.Zone = -1
	}
	if s.regions != nil && r.Zone >= 0 {
		r.Region = s.regions[r.Zone]
	}
	var regionZones []int // zones of the router's own region
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
	o.Together = s.wholeCells
	return Chooser{o, r}
}

// Choose chooses a subset of a pool for a router whose planned size is computed from the same pool.
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

// Databases converts the entries of a server list into databases of package subset. An entry without a name is named by its number.
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
