package subset

import (
	"fmt"
	"math"
)

// Options are the parameters of the selection, the same at all routers except for what depends on the router's zone and region.
type Options struct {
	Size           int     // databases in the subset of a router with the mean share of traffic
	SizeSlack      float64 // fraction of the size by which a subset may be larger, to even out the loads; see Router.PlannedWeight
	MaxWidth       int     // largest factor by which a subset may be widened, a power of two; 1 or 0: subsets are never widened
	OwnZoneShare   float64 // fraction of a subset that is reserved for the own zone, before the rest is spread over the whole pool
	OwnRegionShare float64 // the same for the own region
	// ZoneWeightShare and RegionWeightShare are the fractions of the pool's weight in the own zone and the own region. They come from the
	// settings: computed from the list, the removal of one database would move others. 0: unknown; no part of the subset is then
	// reserved for the zone or the region.
	ZoneWeightShare, RegionWeightShare float64
	Requirements                       []Requirement
	KeepCellsTogether                  bool // databases of one cell are selected together, since duplicates of some profile are dropped within a cell only
}

// Limits of the options.
const (
	MaxSize         = 1 << 16
	MaxWidthLimit   = 64
	MaxRequirements = 1 << 10
	MaxLocalShare   = 0.9 // the rest is what remains for a router whose zone fails
)

// Check returns an error if the options are invalid.
func (o *Options) Check() error {
	switch {
	case o.Size < 1 || o.Size > MaxSize:
		return fmt.Errorf("size: %d is not from 1 to %d", o.Size, MaxSize)
	case !(o.SizeSlack >= 0 && o.SizeSlack <= 1):
		return fmt.Errorf("room: %v is not from 0 to 1", o.SizeSlack)
	case o.MaxWidth < 0 || o.MaxWidth > MaxWidthLimit || o.MaxWidth&(o.MaxWidth-1) != 0:
		return fmt.Errorf("widest: %d is not a power of two up to %d", o.MaxWidth, MaxWidthLimit)
	case !(o.OwnZoneShare >= 0 && o.OwnRegionShare >= 0 && o.OwnZoneShare+o.OwnRegionShare <= MaxLocalShare):
		return fmt.Errorf("near: %v and region: %v must not be negative and must add up to at most %v", o.OwnZoneShare, o.OwnRegionShare, MaxLocalShare)
	case !(o.ZoneWeightShare >= 0 && o.ZoneWeightShare <= 1) || !(o.RegionWeightShare >= 0 && o.RegionWeightShare <= 1):
		return fmt.Errorf("zones: the weight shares of the own zone (%v) and the own region (%v) are not from 0 to 1", o.ZoneWeightShare, o.RegionWeightShare)
	case len(o.Requirements) > MaxRequirements:
		return fmt.Errorf("needs: %d requirements are more than the maximum of %d", len(o.Requirements), MaxRequirements)
	}
	for n := range o.Requirements {
		if minimum := o.Requirements[n].Minimum; minimum < 0 || minimum > MaxSize {
			return fmt.Errorf("needs/%d: the minimum %d is out of range", n, minimum)
		}
	}
	return nil
}

// localityFactors returns the factors by which the weights of databases in the own zone and in the rest of the own region are
// multiplied, relative to databases outside the region. The fraction 1 - OwnZoneShare - OwnRegionShare of a subset is then spread
// over the whole pool by weight, and the two shares over the own zone and the own region. If the routers are distributed over the
// zones by weight, the loads of all zones are equal.
func (o *Options) localityFactors(r *Router) (zoneFactor, regionFactor float64) {
	zoneDensity, regionDensity := 0.0, 0.0
	poolShare := 1.0
	if r.Zone >= 0 && o.ZoneWeightShare > 0 {
		zoneDensity = o.OwnZoneShare / o.ZoneWeightShare
		poolShare -= o.OwnZoneShare
	}
	if r.Region >= 0 && o.RegionWeightShare > 0 {
		regionDensity = o.OwnRegionShare / o.RegionWeightShare
		poolShare -= o.OwnRegionShare
	}
	return 1 + (zoneDensity+regionDensity)/poolShare, 1 + regionDensity/poolShare
}

// MaxTrafficShare limits the share of traffic, relative to the mean, by which a router's subset is enlarged.
const MaxTrafficShare = 64

// sizeForShare returns the size of a subset for a share of traffic relative to the mean router's. A router with less traffic than
// the mean does not get a smaller subset, since a small subset performs badly at any load.
func (o *Options) sizeForShare(share float64) int {
	if !(share > 1) {
		share = 1
	}
	return int(math.Ceil(float64(o.Size) * min(share, MaxTrafficShare)))
}

// maxMembers returns the largest number of databases at a width that a router with the mean share of traffic selects, requirements
// aside.
func (o Options) maxMembers(width int) int { return o.maxMembersForShare(1, width) }

// maxMembersForShare returns the same for any share of traffic.
func (o *Options) maxMembersForShare(share float64, width int) int {
	return int(float64(o.sizeForShare(share)*max(width, 1)) * (1 + o.SizeSlack))
}

// NormalizeWeight returns the weight if it is valid, and otherwise 1.
func NormalizeWeight(w float64) float64 {
	if !ValidWeight(w) {
		return 1
	}
	return w
}

// ValidWeight reports whether a weight can be used: it must be a number from 10^-6 to 10^6.
func ValidWeight(w float64) bool {
	const bound = 1e6
	return w >= 1/bound && w <= bound
}

// ConnectionBudget returns the largest number of routers that select a database with the given fraction of the pool's weight if each
// of the given number of routers selects size databases: the mean, increased by the allowed unevenness.
func ConnectionBudget(routers, size int, weightShare float64) int {
	meanRouters := float64(routers) * float64(size) * weightShare
	return min(routers, int(math.Ceil(meanRouters*MaxUnevenness)))
}

// MaxUnevenness is the largest ratio between the number of routers that select a database and the mean for its weight.
const MaxUnevenness = 1.15
