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
type CommonConfig struct {
	file       *operator.File
	zones      []string
	regions    []int // region number by zone; nil: no regions are configured
	shape      subset.PoolLayout
	zoneShares []float64 // share of the pool's weight by zone
	wholeCells bool      // databases of one cell are chosen together, as idempotency keys are valid within a cell only
}

// New returns the common part of a configuration whose operators' file has a section subset.
func New(cfg *config.Config) *CommonConfig {
	s := &CommonConfig{file: &cfg.Operator, zones: cfg.Settings.Zones, regions: cfg.Operator.RegionsOf(cfg.Settings.Zones)}
	s.zoneShares = cfg.Operator.Subset.ZoneShares(s.zones)
	s.shape = subset.PoolLayout{Zones: len(s.zones), Kinds: len(cfg.Settings.Kinds)}
	for k, p := range cfg.Settings.Admission.Profiles {
		s.shape.Placements = append(s.shape.Placements, subset.Placement{Name: cfg.Settings.Profiles[k], Zones: p.Zones, Kinds: p.Kinds})
		if p.Effect == admission.IdempotentByKey {
			s.shape.DedupByZone = s.shape.DedupByZone || p.Group == admission.GroupZone
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
func (s *CommonConfig) OwnRouter(cfg *config.Config) Chooser {
	section := s.file.Subset
	if k := section.Find(cfg.Name); k >= 0 && section.Place == nil {
		return s.ListedRouter(k)
	}
	r := subset.Router{Name: cfg.Name, Number: -1, Zone: cfg.Settings.Admission.Zone, TrafficShare: section.Share}
	switch {
	case section.Place != nil:
		r.Number = *section.Place
	case cfg.Settings.Admission.Routers > 1:
		r.Number = cfg.Settings.Admission.Me
	}
	return s.newChooser(r)
}

// ListedRouter returns the chooser of the router at a position of the section's list.
func (s *CommonConfig) ListedRouter(position int) Chooser {
	r := s.file.Subset.Routers[position]
	return s.newChooser(subset.Router{Name: r.Name, Number: s.file.Subset.PlaceOf(position), Zone: slices.Index(s.zones, r.Zone), TrafficShare: r.Share})
}

// newChooser completes a router's zone and region and computes its options.
func (s *CommonConfig) newChooser(r subset.Router) Chooser {
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
	o.Requirements = s.shape.Requirements(r.Zone, regionZones, s.file.Subset.MinPerNeed())
	o.KeepCellsTogether = s.wholeCells
	return Chooser{o, r}
}

// Choose chooses a subset of a pool for a router whose planned size is computed from the same pool.
func (c *Chooser) Choose(pool *subset.Pool, width int) (subset.Selection, error) {
	ranking, err := pool.Rank(&c.Options, c.Router)
	if err != nil {
		return subset.Selection{}, err
	}
	c.Router.PlannedWeight = ranking.EffectiveWeight()
	if ranking, err = pool.Rank(&c.Options, c.Router); err != nil {
		return subset.Selection{}, err
	}
	return ranking.Select(width), nil
}

// Databases converts the entries of a server list into databases of package subset. An entry without a name is named by its number.
func (s *CommonConfig) Databases(list []admission.Entry, nameOf func(engine uint32) string) []subset.Database {
	all := make([]subset.Database, len(list))
	for k, e := range list {
		d := subset.Database{Name: nameOf(e.Server), Zone: e.Zone, Kind: e.Kind, Region: -1, Cell: e.Cell, Weight: e.Weight}
		if d.Name == "" {
			d.Name = fmt.Sprint(e.Server)
		}
		if e.Zone >= 0 && e.Zone < len(s.regions) {
			d.Region = s.regions[e.Zone]
		}
		all[k] = d
	}
	return all
}
