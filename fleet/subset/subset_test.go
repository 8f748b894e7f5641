package subset

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// The fleet size for which the package is designed.
const (
	fleetRouters   = 1600
	fleetDatabases = 3900
	fleetZones     = 7
	fleetRegions   = 2
)

// standard returns the options for which docs/design/subset.md gives figures.
func standard(size int) Options {
	return Options{Size: size, SizeSlack: 0.5, MaxWidth: 4, OwnZoneShare: 0.5, OwnRegionShare: 0.2, ZoneWeightShare: 1.0 / fleetZones, RegionWeightShare: 4.0 / fleetZones}
}

func regionOf(zone int) int {
	if zone < 4 {
		return 0
	}
	return 1
}

func zonesOf(region int) (all []int) {
	for z := range fleetZones {
		if regionOf(z) == region {
			all = append(all, z)
		}
	}
	return all
}

// fleetPool returns a list of the designed size. The seed is part of the names.
func fleetPool(seed string, weightOf func(i int) float64) []Database {
	all := make([]Database, fleetDatabases)
	for i := range all {
		zone := i % fleetZones
		all[i] = Database{Name: fmt.Sprintf("db-%d.%s", i, seed), Zone: zone, Region: regionOf(zone), Kind: i / fleetZones % 2,
			Cell: i / 56, Weight: weightOf(i)}
	}
	return all
}

func equalWeight(int) float64 { return 1 }

// fleetRouter returns router k of n; routers are numbered zone by zone.
func fleetRouter(k, n int) Router {
	zone := k * fleetZones / n
	return Router{Name: fmt.Sprint("router-", k), Number: k, Zone: zone, Region: regionOf(zone)}
}

// withRegionPart returns the options for the router's region.
func withRegionPart(o Options, r Router) *Options {
	if r.Region == 1 {
		o.RegionWeightShare = 3.0 / fleetZones
	}
	return &o
}

// rankPlanned ranks the pool with sizes adjusted to this pool's own effective weight.
func rankPlanned(t testing.TB, pool *Pool, o *Options, r Router) *Ranking {
	t.Helper()
	ranking, err := pool.Rank(o, r)
	if err != nil {
		t.Fatal(err)
	}
	ranking.router.PlannedWeight = ranking.EffectiveWeight()
	return ranking
}

func namesOf(databases []Database, c Selection) []string {
	var names []string
	for _, m := range c.Members {
		names = append(names, databases[m.Index].Name)
	}
	slices.Sort(names)
	return names
}

// countMembers returns the number of routers that select each database, and the sum.
func countMembers(t testing.TB, databases []Database, o Options, routers []Router, width int) (members []int, total int) {
	pool := NewPool(databases)
	members = make([]int, len(databases))
	for _, r := range routers {
		c := rankPlanned(t, pool, withRegionPart(o, r), r).Select(width)
		total += len(c.Members)
		for _, m := range c.Members {
			members[m.Index]++
		}
	}
	return members, total
}

// mostToMean returns the ratio between the load of the most loaded database and the mean, both by weight.
func mostToMean(databases []Database, members []int, total int) float64 {
	weight, most := 0.0, 0.0
	for i, d := range databases {
		weight += d.Weight
		most = max(most, float64(members[i])/d.Weight)
	}
	return most / (float64(total) / weight)
}

func allFleetRouters() (all []Router) {
	for k := range fleetRouters {
		all = append(all, fleetRouter(k, fleetRouters))
	}
	return all
}

// TestSpreadAtFleetSize checks that the most loaded of 3,900 databases is selected by at most 1.15 times the mean number of routers,
// and by no more than the connection budget, at the ordinary width and when all routers widen at the same time.
func TestSpreadAtFleetSize(t *testing.T) {
	routers := allFleetRouters()
	for _, seed := range []string{"a", "b", "c"} {
		databases := fleetPool(seed, equalWeight)
		for _, width := range []int{1, 2, 4} {
			members, total := countMembers(t, databases, standard(64), routers, width)
			if got := mostToMean(databases, members, total); got > MaxUnevenness {
				t.Errorf("names %s, width %d: the ratio of the largest load to the mean is %.3f", seed, width, got)
			}
			budget := ConnectionBudget(fleetRouters, standard(64).maxMembers(width), 1.0/fleetDatabases)
			if most := slices.Max(members); most > budget {
				t.Errorf("names %s, width %d: %d routers select the same database, the budget is %d", seed, width, most, budget)
			}
		}
	}
}

// TestSpreadByWeight checks that databases of unequal weight are selected by proportional numbers of routers.
func TestSpreadByWeight(t *testing.T) {
	databases := fleetPool("weights", func(i int) float64 { return float64(1 + i%3) })
	members, total := countMembers(t, databases, standard(64), allFleetRouters(), 1)
	for weight := 1.0; weight <= 3; weight++ {
		held, count := 0, 0
		for i, d := range databases {
			if d.Weight == weight {
				held += members[i]
				count++
			}
		}
		mean := float64(total) * weight / 7800
		if got := float64(held) / float64(count) / mean; math.Abs(got-1) > 0.02 {
			t.Errorf("databases of weight %v are selected by %.3f times the expected number of routers", weight, got)
		}
	}
	// A light database is selected by about fifteen routers, so one router is 7%.
	if got := mostToMean(databases, members, total); got > 1.3 {
		t.Errorf("the ratio of the largest load to the mean, by weight, is %.3f", got)
	}
}

// TestUnequalRouters checks that a few routers with twenty times the traffic select twenty times as many databases, and that the
// loads stay even.
func TestUnequalRouters(t *testing.T) {
	databases := fleetPool("busy", equalWeight)
	routers := allFleetRouters()
	const busy = 2 * fleetZones // with consecutive numbers
	for k := fleetRouters - busy; k < fleetRouters; k++ {
		routers[k].TrafficShare, routers[k].Zone = 20, k%fleetZones
		routers[k].Region = regionOf(routers[k].Zone)
	}
	pool := NewPool(databases)
	last := routers[fleetRouters-1]
	if got := len(rankPlanned(t, pool, withRegionPart(standard(64), last), last).Select(1).Members); got < 20*64 {
		t.Errorf("a router with twenty times the traffic selects %d databases", got)
	}
	members, total := countMembers(t, databases, standard(64), routers, 1)
	if got := mostToMean(databases, members, total); got > MaxUnevenness {
		t.Errorf("the ratio of the largest load to the mean is %.3f", got)
	}
}

// TestZoneAndRegionShares checks that a subset has the intended share in the own zone and enough databases outside the own zone and
// region.
func TestZoneAndRegionShares(t *testing.T) {
	databases := fleetPool("near", equalWeight)
	pool := NewPool(databases)
	inOwnZone, members := 0, 0
	shape := PoolLayout{Zones: fleetZones, Kinds: 2}
	for _, r := range allFleetRouters() {
		zones := [fleetZones]int{}
		o := withRegionPart(standard(64), r)
		o.Requirements = shape.Requirements(r.Zone, zonesOf(r.Region), 4)
		c := rankPlanned(t, pool, o, r).Select(1)
		for _, m := range c.Members {
			zones[databases[m.Index].Zone]++
		}
		inOwnZone += zones[r.Zone]
		members += len(c.Members)
		if rest := len(c.Members) - zones[r.Zone]; rest < 16 {
			t.Errorf("%s has only %d databases outside its zone", r.Name, rest)
		}
		otherRegions := 0
		for z, n := range zones {
			if regionOf(z) != r.Region {
				otherRegions += n
			}
		}
		if otherRegions < 4 {
			t.Errorf("%s has only %d databases outside its region", r.Name, otherRegions)
		}
	}
	if got := float64(inOwnZone) / float64(members); got < 0.55 || got > 0.65 {
		t.Errorf("fraction %.3f of the selected databases is in the own zone", got)
	}
}

// TestUnequalZones checks that the loads stay even with zones of unequal size if the options state their sizes.
func TestUnequalZones(t *testing.T) {
	sizes := [fleetZones]int{1, 2, 3, 4, 5, 6, 9} // thirtieths
	var zones []int
	for z, n := range sizes {
		zones = append(zones, slices.Repeat([]int{z}, n)...)
	}
	databases := fleetPool("zones", equalWeight)
	for i := range databases {
		databases[i].Zone = zones[i%len(zones)]
		databases[i].Region = regionOf(databases[i].Zone)
	}
	pool, members, total := NewPool(databases), make([]int, len(databases)), 0
	for k := range fleetRouters {
		zone := zones[k*len(zones)/fleetRouters]
		o := standard(64)
		o.ZoneWeightShare, o.RegionWeightShare = float64(sizes[zone])/30, 1.0/3
		if regionOf(zone) == 1 {
			o.RegionWeightShare = 2.0 / 3
		}
		c := rankPlanned(t, pool, &o, Router{Number: k, Zone: zone, Region: regionOf(zone)}).Select(1)
		for _, m := range c.Members {
			members[m.Index]++
			total++
		}
	}
	if got := mostToMean(databases, members, total); got > 1.2 { // tolerance: the smallest zone has 53 routers
		t.Errorf("the ratio of the largest load to the mean is %.3f", got)
	}
}

// drawnCase is a small pool with its options and router, as drawn by property tests.
type drawnCase struct {
	databases []Database
	options   Options
	router    Router
}

func drawCase(t *rapid.T, maxRequirements int) (d drawnCase) {
	zones, kinds := rapid.IntRange(1, 4).Draw(t, "zones"), rapid.IntRange(1, 3).Draw(t, "kinds")
	for i := range rapid.IntRange(1, 120).Draw(t, "databases") {
		zone := rapid.IntRange(0, zones-1).Draw(t, "zone")
		d.databases = append(d.databases, Database{Name: fmt.Sprintf("s-%d", i), Zone: zone, Region: zone / 2, Cell: i / 4,
			Kind: rapid.IntRange(0, kinds-1).Draw(t, "kind"), Weight: rapid.SampledFrom([]float64{0.5, 1, 1, 1, 2, 8}).Draw(t, "weight")})
	}
	d.options = Options{Size: rapid.IntRange(1, 24).Draw(t, "size"), MaxWidth: 4, OwnZoneShare: 0.5, OwnRegionShare: 0.2, ZoneWeightShare: 1 / float64(zones),
		RegionWeightShare: float64(min(zones, 2)) / float64(zones), SizeSlack: rapid.SampledFrom([]float64{0, 0.25, 0.5}).Draw(t, "room"), KeepCellsTogether: rapid.Bool().Draw(t, "together")}
	for n := range rapid.IntRange(0, maxRequirements).Draw(t, "needs") {
		d.options.Requirements = append(d.options.Requirements, Requirement{Name: fmt.Sprint(n), Zones: rapid.SampledFrom([][]int{nil, {0}, {0, 1}}).Draw(t, "in"),
			Kinds: rapid.SampledFrom([][]int{nil, {0}, {1}}).Draw(t, "of"), Outside: rapid.Bool().Draw(t, "outside"),
			Minimum: rapid.IntRange(0, 4).Draw(t, "least")})
	}
	d.router = Router{Name: "r", Number: rapid.IntRange(-1, 2000).Draw(t, "place"), Zone: rapid.IntRange(-1, zones-1).Draw(t, "at"),
		Region: rapid.IntRange(-1, 1).Draw(t, "region"), TrafficShare: rapid.SampledFrom([]float64{0, 0.1, 1, 3}).Draw(t, "share")}
	// The planned weight is close to this pool's, so that most sizes lie within the slack.
	planned := rapid.SampledFrom([]float64{0, 0.5, 0.95, 1, 1.05, 2}).Draw(t, "planned")
	d.router.PlannedWeight = planned * d.rank(t, d.databases).EffectiveWeight()
	return d
}

func (d *drawnCase) rank(t *rapid.T, databases []Database) *Ranking {
	ranking, err := NewPool(databases).Rank(&d.options, d.router)
	if err != nil {
		t.Fatal(err)
	}
	return ranking
}

// TestOneDatabaseGone checks that removing a database does not change a subset that did not contain it. A subset that contained it
// may change by at most two databases, or one more than the number of requirements that cover the removed database. Adding a
// database is the same in reverse.
func TestOneDatabaseGone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawCase(t, 3)
		gone := rapid.IntRange(0, len(d.databases)-1).Draw(t, "gone")
		without := slices.Delete(slices.Clone(d.databases), gone, gone+1)
		for _, width := range []int{1, 2, 4} {
			ranking := d.rank(t, d.databases)
			before, after := namesOf(d.databases, ranking.Select(width)), namesOf(without, d.rank(t, without).Select(width))
			if !slices.Contains(before, d.databases[gone].Name) {
				if !slices.Equal(before, after) {
					t.Fatalf("width %d: after the removal of a database that was not selected, %v becomes %v", width, before, after)
				}
				continue
			}
			covering := 0
			for n := range d.options.Requirements {
				if d.options.Requirements[n].Minimum > 0 && d.options.Requirements[n].covers(&d.databases[gone]) {
					covering++
				}
			}
			left, entered := countMoved(before, after)
			if bound := max(2, covering+1); max(left, entered) > bound {
				t.Fatalf("width %d: %d databases left and %d entered the subset, the bound is %d", width, left, entered, bound)
			}
		}
	})
}

func countMoved(before, after []string) (left, entered int) {
	for _, name := range before {
		if !slices.Contains(after, name) {
			left++
		}
	}
	for _, name := range after {
		if !slices.Contains(before, name) {
			entered++
		}
	}
	return left, entered
}

// checkRequirements checks that a selection meets each requirement's minimum, or contains all databases that the requirement covers.
func (d *drawnCase) checkRequirements(t *rapid.T, c Selection) {
	for n := range d.options.Requirements {
		requirement := &d.options.Requirements[n]
		has, available := 0, 0
		for _, m := range c.Members {
			if requirement.covers(&d.databases[m.Index]) {
				has++
			}
		}
		for i := range d.databases {
			if requirement.covers(&d.databases[i]) {
				available++
			}
		}
		if has < min(requirement.Minimum, available) {
			t.Fatalf("requirement %d has %d of %d databases", n, has, min(requirement.Minimum, available))
		}
	}
}

// TestRequirementsAreMet checks that each requirement is met as far as the list allows, that a subset that grows beyond its limit reports
// this, and that a wider subset contains every narrower one.
func TestRequirementsAreMet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawCase(t, 6)
		ranking := d.rank(t, d.databases)
		narrower := []string{}
		for _, width := range []int{1, 2, 4} {
			c := ranking.Select(width)
			d.checkRequirements(t, c)
			size := min(ranking.Size(width), len(d.databases))
			if len(c.Members) < size {
				t.Fatalf("%d databases are selected, the size is %d", len(c.Members), size)
			}
			if maxMembers := max(int(float64(size)*(1+d.options.SizeSlack)), ranking.requiredCount); len(c.Members) > maxMembers {
				t.Fatalf("%d databases are selected, the limit is %d", len(c.Members), maxMembers)
			}
			if _, limit := ranking.freePlaces(size); c.Excess != max(ranking.requiredCount-limit, 0) {
				t.Fatalf("grown by %d with %d required databases", c.Excess, ranking.requiredCount)
			}
			names := namesOf(d.databases, c)
			if left, _ := countMoved(narrower, names); left > 0 {
				t.Fatalf("width %d lacks %d databases of the narrower subset", width, left)
			}
			narrower = names
		}
	})
}

// TestOrderOfTheListDoesNotMatter checks that neither the order of the list nor a duplicate entry changes the subset.
func TestOrderOfTheListDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawCase(t, 3)
		permuted := rapid.Permutation(d.databases).Draw(t, "mixed")
		permuted = append(permuted, permuted[0])
		a, b := namesOf(d.databases, d.rank(t, d.databases).Select(1)), namesOf(permuted, d.rank(t, permuted).Select(1))
		if !slices.Equal(a, b) {
			t.Fatalf("subset %v becomes %v after a reordering of the list", a, b)
		}
	})
}

// TestLostZone checks that a router whose zone fails still has some databases, and that its subset has the full size again once the
// list no longer contains the zone.
func TestLostZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawCase(t, 0)
		shape := PoolLayout{Zones: 4, Kinds: 3}
		d.options.Requirements = shape.Requirements(d.router.Zone, nil, 1)
		rest := slices.DeleteFunc(slices.Clone(d.databases), func(x Database) bool { return x.Zone == d.router.Zone })
		outside := 0
		for _, m := range d.rank(t, d.databases).Select(1).Members {
			if d.databases[m.Index].Zone != d.router.Zone {
				outside++
			}
		}
		if outside == 0 && len(rest) > 0 {
			t.Fatal("all databases of the subset are in the own zone")
		}
		if got, want := len(d.rank(t, rest).Select(1).Members), min(d.options.Size, len(rest)); got < want {
			t.Fatalf("%d databases without the zone, want %d", got, want)
		}
	})
}

// TestInvalidWeights checks that a weight that is NaN, infinite, out of range or not positive counts as 1.
func TestInvalidWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawCase(t, 2)
		invalid := slices.Clone(d.databases)
		at := rapid.IntRange(0, len(invalid)-1).Draw(t, "at")
		invalid[at].Weight = rapid.SampledFrom([]float64{0, -1, math.NaN(), math.Inf(1), 1e308, 5e-324}).Draw(t, "weight")
		normalized := slices.Clone(invalid)
		normalized[at].Weight = 1
		if a, b := namesOf(invalid, d.rank(t, invalid).Select(1)), namesOf(normalized, d.rank(t, normalized).Select(1)); !slices.Equal(a, b) {
			t.Fatalf("subset %v with the invalid weight, %v with weight 1", a, b)
		}
	})
}

func TestOptionsCheck(t *testing.T) {
	for _, c := range []struct {
		change  func(*Options)
		message string
	}{
		{func(o *Options) { o.Size = 0 }, "size: 0"},
		{func(o *Options) { o.Size = MaxSize + 1 }, "size"},
		{func(o *Options) { o.SizeSlack = math.NaN() }, "room"},
		{func(o *Options) { o.SizeSlack = 1.5 }, "room"},
		{func(o *Options) { o.MaxWidth = 3 }, "power of two"},
		{func(o *Options) { o.OwnZoneShare = math.NaN() }, "near"},
		{func(o *Options) { o.OwnZoneShare, o.OwnRegionShare = 0.8, 0.2 }, "near"},
		{func(o *Options) { o.RegionWeightShare = math.NaN() }, "zones"},
		{func(o *Options) { o.ZoneWeightShare = 7 }, "zones"},
		{func(o *Options) { o.Requirements = []Requirement{{Minimum: -1}} }, "needs/0"},
		{func(o *Options) { o.Requirements = make([]Requirement, MaxRequirements+1) }, "needs"},
	} {
		o := standard(64)
		c.change(&o)
		if err := o.Check(); err == nil || !strings.Contains(err.Error(), c.message) {
			t.Errorf("%+v: error %v does not contain %q", o, err, c.message)
		}
	}
}
