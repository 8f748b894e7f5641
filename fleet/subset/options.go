package subset

import (
	"fmt"
	"math"
)

// Options are the same at all routers.
type Options struct {
	Size   int     // places of a router with the mean share of traffic
	Room   float64 // part of the size that a subset may be larger by, so that loads are even: see Router.Planned
	Widest int     // how many times as many a router may hold in need, a power of two; 1 or 0: it never widens
	Near   float64 // part of a subset that is for the own zone, before the rest is dealt out over the whole pool
	Region float64 // part that is for the own region, likewise
	// ZonePart and RegionPart are the parts of the pool's weight that the own zone and the own region have, as the settings know
	// them: by the list, a database that goes would move others. 0: not known, and no part is for the zone or the region.
	ZonePart, RegionPart float64
	Needs                []Need
	Together             bool // databases of one cell are held together: a profile's repeats are dropped within a cell alone
}

// Bounds of the options.
const (
	MostSize   = 1 << 16
	MostWidest = 64
	MostNeeds  = 1 << 10
	MostNear   = 0.9 // the rest is what a router has left when its zone is lost
)

// Check tells what can't be carried out.
func (o *Options) Check() error {
	switch {
	case o.Size < 1 || o.Size > MostSize:
		return fmt.Errorf("size: %d is not from 1 to %d", o.Size, MostSize)
	case !(o.Room >= 0 && o.Room <= 1):
		return fmt.Errorf("room: %v is not from 0 to 1", o.Room)
	case o.Widest < 0 || o.Widest > MostWidest || o.Widest&(o.Widest-1) != 0:
		return fmt.Errorf("widest: %d is not a power of two up to %d", o.Widest, MostWidest)
	case !(o.Near >= 0 && o.Region >= 0 && o.Near+o.Region <= MostNear):
		return fmt.Errorf("near: %v and region: %v are not both from 0, and %v at most together", o.Near, o.Region, MostNear)
	case !(o.ZonePart >= 0 && o.ZonePart <= 1) || !(o.RegionPart >= 0 && o.RegionPart <= 1):
		return fmt.Errorf("zones: the own zone has %v and the own region %v of the weight", o.ZonePart, o.RegionPart)
	case len(o.Needs) > MostNeeds:
		return fmt.Errorf("needs: %d are more than %d", len(o.Needs), MostNeeds)
	}
	for n := range o.Needs {
		if least := o.Needs[n].Least; least < 0 || least > MostSize {
			return fmt.Errorf("needs/%d: a minimum of %d", n, least)
		}
	}
	return nil
}

// nearness is how many databases beyond the own region one of the own zone and one of the own region count as. A subset then has
// its rest, 1 - Near - Region, over the whole pool by weight, and the two parts over the own region and zone. Where each zone has
// routers by its weight, the loads of all zones are the same.
func (o *Options) nearness(r *Router) (zone, region float64) {
	ofZone, ofRegion := 0.0, 0.0
	rest := 1.0
	if r.Zone >= 0 && o.ZonePart > 0 {
		ofZone = o.Near / o.ZonePart
		rest -= o.Near
	}
	if r.Region >= 0 && o.RegionPart > 0 {
		ofRegion = o.Region / o.RegionPart
		rest -= o.Region
	}
	return 1 + (ofZone+ofRegion)/rest, 1 + ofRegion/rest
}

// MostShare bounds how much larger than the mean a router's subset may be by its traffic.
const MostShare = 64

// sizeOf is the size for a share of traffic relative to the mean router's. A router with little has no smaller one, since a small
// subset serves badly whatever the load.
func (o *Options) sizeOf(share float64) int {
	if !(share > 1) {
		share = 1
	}
	return int(math.Ceil(float64(o.Size) * min(share, MostShare)))
}

// mostPlaces is how many a router with the mean share of traffic holds at most at a width, needs aside.
func (o Options) mostPlaces(width int) int { return o.mostPlacesOf(1, width) }

// mostPlacesOf is the same for any share.
func (o *Options) mostPlacesOf(share float64, width int) int {
	return int(float64(o.sizeOf(share)*max(width, 1)) * (1 + o.Room))
}

// CheckedWeight is a weight that can be used: what is not a number, not above zero or beyond 10^6 either way counts as 1.
func CheckedWeight(w float64) float64 {
	if !UsableWeight(w) {
		return 1
	}
	return w
}

// UsableWeight tells whether a weight is taken as it is.
func UsableWeight(w float64) bool {
	const bound = 1e6
	return w >= 1/bound && w <= bound
}

// ConnectionBudget is how many routers hold a database of the given part of the pool's weight at most, when that many routers all
// hold that many places: the mean and the allowed unevenness.
func ConnectionBudget(routers, size int, part float64) int {
	mean := float64(routers) * float64(size) * part
	return min(routers, int(math.Ceil(mean*Unevenness)))
}

// Unevenness is how far the number of routers of a database may lie above the mean by weight.
const Unevenness = 1.15
