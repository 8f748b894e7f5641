package subset

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// The size that the fleet is designed for.
const (
	fleetRouters   = 1600
	fleetDatabases = 3900
	fleetZones     = 7
	fleetRegions   = 2
)

// standard are the options that docs/design/subset.md gives figures for.
func standard(size int) Options {
	return Options{Size: size, Room: 0.5, Widest: 4, Near: 0.5, Region: 0.2, ZonePart: 1.0 / fleetZones, RegionPart: 4.0 / fleetZones}
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

// fleetPool is a list of the designed size; the seed gives other names.
func fleetPool(seed string, weightOf func(i int) float64) []Database {
	all := make([]Database, fleetDatabases)
	for i := range all {
		zone := i % fleetZones
		all[i] = Database{Name: fmt.Sprintf("db-%d.%s", i, seed), Zone: zone, Region: regionOf(zone), Kind: i / fleetZones % 2,
			Cell: i / 56, Weight: weightOf(i)}
	}
	return all
}

func one(int) float64 { return 1 }

// fleetRouter is router k of n, numbered zone by zone.
func fleetRouter(k, n int) Router {
	zone := k * fleetZones / n
	return Router{Name: fmt.Sprint("router-", k), Place: k, Zone: zone, Region: regionOf(zone)}
}

// regional gives the options of a router's region.
func regional(o Options, r Router) *Options {
	if r.Region == 1 {
		o.RegionPart = 3.0 / fleetZones
	}
	return &o
}

// choose ranks with sizes evened out by this very list.
func choose(t testing.TB, pool *Pool, o *Options, r Router) *Ranking {
	t.Helper()
	ranking, err := pool.Rank(o, r)
	if err != nil {
		t.Fatal(err)
	}
	ranking.router.Planned = ranking.Effective()
	return ranking
}

func namesOf(databases []Database, c Choice) []string {
	var all []string
	for _, m := range c.Members {
		all = append(all, databases[m.Index].Name)
	}
	slices.Sort(all)
	return all
}

// loads are the places that routers give each database.
func loads(t testing.TB, databases []Database, o Options, routers []Router, width int) (places []int, total int) {
	pool := NewPool(databases)
	places = make([]int, len(databases))
	for _, r := range routers {
		c := choose(t, pool, regional(o, r), r).Take(width)
		total += len(c.Members)
		for _, m := range c.Members {
			places[m.Index]++
		}
	}
	return places, total
}

// mostToMean compares the most loaded database, by weight, with the mean.
func mostToMean(databases []Database, places []int, total int) float64 {
	weight, most := 0.0, 0.0
	for i, d := range databases {
		weight += d.Weight
		most = max(most, float64(places[i])/d.Weight)
	}
	return most / (float64(total) / weight)
}

func fleetRouters1600() (all []Router) {
	for k := range fleetRouters {
		all = append(all, fleetRouter(k, fleetRouters))
	}
	return all
}

// TestSpreadAtFleetSize: the most loaded of 3,900 databases has at most 1.15 times the mean of routers, at the ordinary width and
// where all routers have widened together, which is the connection budget.
func TestSpreadAtFleetSize(t *testing.T) {
	routers := fleetRouters1600()
	for _, seed := range []string{"a", "b", "c"} {
		databases := fleetPool(seed, one)
		for _, width := range []int{1, 2, 4} {
			places, total := loads(t, databases, standard(64), routers, width)
			if got := mostToMean(databases, places, total); got > Unevenness {
				t.Errorf("names %s, width %d: most to mean is %.3f", seed, width, got)
			}
			budget := ConnectionBudget(fleetRouters, standard(64).mostPlaces(width), 1.0/fleetDatabases)
			if most := slices.Max(places); most > budget {
				t.Errorf("names %s, width %d: %d routers hold one database, the budget is %d", seed, width, most, budget)
			}
		}
	}
}

// TestSpreadByWeight: databases of unequal weight have routers in proportion.
func TestSpreadByWeight(t *testing.T) {
	databases := fleetPool("weights", func(i int) float64 { return float64(1 + i%3) })
	places, total := loads(t, databases, standard(64), fleetRouters1600(), 1)
	for weight := 1.0; weight <= 3; weight++ {
		held, count := 0, 0
		for i, d := range databases {
			if d.Weight == weight {
				held += places[i]
				count++
			}
		}
		mean := float64(total) * weight / 7800
		if got := float64(held) / float64(count) / mean; math.Abs(got-1) > 0.02 {
			t.Errorf("databases of weight %v have %.3f of the routers that they should", weight, got)
		}
	}
	// A light database has some fifteen routers, of which one is 7%.
	if got := mostToMean(databases, places, total); got > 1.3 {
		t.Errorf("most to mean by weight is %.3f", got)
	}
}

// TestUnequalRouters: a few routers with twenty times the traffic hold twenty times as many, and the loads stay even.
func TestUnequalRouters(t *testing.T) {
	databases := fleetPool("busy", one)
	routers := fleetRouters1600()
	const busy = 2 * fleetZones // numbered one after the other
	for k := fleetRouters - busy; k < fleetRouters; k++ {
		routers[k].Share, routers[k].Zone = 20, k%fleetZones
		routers[k].Region = regionOf(routers[k].Zone)
	}
	pool := NewPool(databases)
	last := routers[fleetRouters-1]
	if got := len(choose(t, pool, regional(standard(64), last), last).Take(1).Members); got < 20*64 {
		t.Errorf("a router with twenty times the traffic holds %d", got)
	}
	places, total := loads(t, databases, standard(64), routers, 1)
	if got := mostToMean(databases, places, total); got > Unevenness {
		t.Errorf("most to mean is %.3f", got)
	}
}

// TestNearAndFar: the own zone has its part, and each other zone some.
func TestNearAndFar(t *testing.T) {
	databases := fleetPool("near", one)
	pool := NewPool(databases)
	near, places := 0, 0
	shape := Shape{Zones: fleetZones, Kinds: 2}
	for _, r := range fleetRouters1600() {
		zones := [fleetZones]int{}
		o := regional(standard(64), r)
		o.Needs = shape.Needs(r.Zone, zonesOf(r.Region), 4)
		c := choose(t, pool, o, r).Take(1)
		for _, m := range c.Members {
			zones[databases[m.Index].Zone]++
		}
		near += zones[r.Zone]
		places += len(c.Members)
		if rest := len(c.Members) - zones[r.Zone]; rest < 16 {
			t.Errorf("%s has %d left without its zone", r.Name, rest)
		}
		beyond := 0
		for z, n := range zones {
			if regionOf(z) != r.Region {
				beyond += n
			}
		}
		if beyond < 4 {
			t.Errorf("%s has %d left without its region", r.Name, beyond)
		}
	}
	if got := float64(near) / float64(places); got < 0.55 || got > 0.65 {
		t.Errorf("%.3f of the places are near", got)
	}
}

// TestUnequalZones: with zones of unequal size, told, the loads stay even.
func TestUnequalZones(t *testing.T) {
	sizes := [fleetZones]int{1, 2, 3, 4, 5, 6, 9} // thirtieths
	var zones []int
	for z, n := range sizes {
		zones = append(zones, slices.Repeat([]int{z}, n)...)
	}
	databases := fleetPool("zones", one)
	for i := range databases {
		databases[i].Zone = zones[i%len(zones)]
		databases[i].Region = regionOf(databases[i].Zone)
	}
	pool, places, total := NewPool(databases), make([]int, len(databases)), 0
	for k := range fleetRouters {
		zone := zones[k*len(zones)/fleetRouters]
		o := standard(64)
		o.ZonePart, o.RegionPart = float64(sizes[zone])/30, 1.0/3
		if regionOf(zone) == 1 {
			o.RegionPart = 2.0 / 3
		}
		c := choose(t, pool, &o, Router{Place: k, Zone: zone, Region: regionOf(zone)}).Take(1)
		for _, m := range c.Members {
			places[m.Index]++
			total++
		}
	}
	if got := mostToMean(databases, places, total); got > 1.2 { // the smallest zone has 53 routers
		t.Errorf("most to mean is %.3f", got)
	}
}

// drawn is a small pool with its options, as properties draw them.
type drawn struct {
	databases []Database
	options   Options
	router    Router
}

func draw(t *rapid.T, mostNeeds int) (d drawn) {
	zones, kinds := rapid.IntRange(1, 4).Draw(t, "zones"), rapid.IntRange(1, 3).Draw(t, "kinds")
	for i := range rapid.IntRange(1, 120).Draw(t, "databases") {
		zone := rapid.IntRange(0, zones-1).Draw(t, "zone")
		d.databases = append(d.databases, Database{Name: fmt.Sprintf("s-%d", i), Zone: zone, Region: zone / 2, Cell: i / 4,
			Kind: rapid.IntRange(0, kinds-1).Draw(t, "kind"), Weight: rapid.SampledFrom([]float64{0.5, 1, 1, 1, 2, 8}).Draw(t, "weight")})
	}
	d.options = Options{Size: rapid.IntRange(1, 24).Draw(t, "size"), Widest: 4, Near: 0.5, Region: 0.2, ZonePart: 1 / float64(zones),
		RegionPart: float64(min(zones, 2)) / float64(zones), Room: rapid.SampledFrom([]float64{0, 0.25, 0.5}).Draw(t, "room"), Together: rapid.Bool().Draw(t, "together")}
	for n := range rapid.IntRange(0, mostNeeds).Draw(t, "needs") {
		d.options.Needs = append(d.options.Needs, Need{Name: fmt.Sprint(n), Zones: rapid.SampledFrom([][]int{nil, {0}, {0, 1}}).Draw(t, "in"),
			Kinds: rapid.SampledFrom([][]int{nil, {0}, {1}}).Draw(t, "of"), Outside: rapid.Bool().Draw(t, "outside"),
			Least: rapid.IntRange(0, 4).Draw(t, "least")})
	}
	d.router = Router{Name: "r", Place: rapid.IntRange(-1, 2000).Draw(t, "place"), Zone: rapid.IntRange(-1, zones-1).Draw(t, "at"),
		Region: rapid.IntRange(-1, 1).Draw(t, "region"), Share: rapid.SampledFrom([]float64{0, 0.1, 1, 3}).Draw(t, "share")}
	// Sizes are evened out by about this pool, so that most lie within the room.
	planned := rapid.SampledFrom([]float64{0, 0.5, 0.95, 1, 1.05, 2}).Draw(t, "planned")
	d.router.Planned = planned * d.rank(t, d.databases).Effective()
	return d
}

func (d *drawn) rank(t *rapid.T, databases []Database) *Ranking {
	ranking, err := NewPool(databases).Rank(&d.options, d.router)
	if err != nil {
		t.Fatal(err)
	}
	return ranking
}

// TestOneDatabaseGone: what is not held moves nothing when it goes, or comes; what is held moves two places at most, or one more
// than there are needs that it was among the best of.
func TestOneDatabaseGone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := draw(t, 3)
		gone := rapid.IntRange(0, len(d.databases)-1).Draw(t, "gone")
		without := slices.Delete(slices.Clone(d.databases), gone, gone+1)
		for _, width := range []int{1, 2, 4} {
			ranking := d.rank(t, d.databases)
			before, after := namesOf(d.databases, ranking.Take(width)), namesOf(without, d.rank(t, without).Take(width))
			if !slices.Contains(before, d.databases[gone].Name) {
				if !slices.Equal(before, after) {
					t.Fatalf("width %d: a database that was not held goes, and %v becomes %v", width, before, after)
				}
				continue
			}
			asked := 0
			for n := range d.options.Needs {
				if d.options.Needs[n].Least > 0 && d.options.Needs[n].covers(&d.databases[gone]) {
					asked++
				}
			}
			left, entered := moved(before, after)
			if bound := max(2, asked+1); max(left, entered) > bound {
				t.Fatalf("width %d: %d left and %d entered, the bound is %d", width, left, entered, bound)
			}
		}
	})
}

func moved(before, after []string) (left, entered int) {
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

// needsMet checks that a choice has the minimum of each need, or all that there are.
func (d *drawn) needsMet(t *rapid.T, c Choice) {
	for n := range d.options.Needs {
		need := &d.options.Needs[n]
		has, there := 0, 0
		for _, m := range c.Members {
			if need.covers(&d.databases[m.Index]) {
				has++
			}
		}
		for i := range d.databases {
			if need.covers(&d.databases[i]) {
				there++
			}
		}
		if has < min(need.Least, there) {
			t.Fatalf("need %d has %d of %d", n, has, min(need.Least, there))
		}
	}
}

// TestNeedsAreMet: each need has its minimum, or all that there are; a subset that grows for it says so; wider ones hold narrower.
func TestNeedsAreMet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := draw(t, 6)
		ranking := d.rank(t, d.databases)
		narrower := []string{}
		for _, width := range []int{1, 2, 4} {
			c := ranking.Take(width)
			d.needsMet(t, c)
			size := min(ranking.Size(width), len(d.databases))
			if len(c.Members) < size {
				t.Fatalf("%d places, the size is %d", len(c.Members), size)
			}
			if most := max(int(float64(size)*(1+d.options.Room)), ranking.needed); len(c.Members) > most {
				t.Fatalf("%d places, %d are the most", len(c.Members), most)
			}
			if _, limit := ranking.free(size); c.Grown != max(ranking.needed-limit, 0) {
				t.Fatalf("grown by %d with %d needed", c.Grown, ranking.needed)
			}
			names := namesOf(d.databases, c)
			if left, _ := moved(narrower, names); left > 0 {
				t.Fatalf("width %d lacks %d of the narrower one", width, left)
			}
			narrower = names
		}
	})
}

// TestOrderOfTheListDoesNotMatter: nor does a database that stands in it twice.
func TestOrderOfTheListDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := draw(t, 3)
		mixed := rapid.Permutation(d.databases).Draw(t, "mixed")
		mixed = append(mixed, mixed[0])
		a, b := namesOf(d.databases, d.rank(t, d.databases).Take(1)), namesOf(mixed, d.rank(t, mixed).Take(1))
		if !slices.Equal(a, b) {
			t.Fatalf("%v and %v", a, b)
		}
	})
}

// TestLostZone: without its zone no router has nothing, and each has its size again when the list lacks the zone.
func TestLostZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := draw(t, 0)
		shape := Shape{Zones: 4, Kinds: 3}
		d.options.Needs = shape.Needs(d.router.Zone, nil, 1)
		rest := slices.DeleteFunc(slices.Clone(d.databases), func(x Database) bool { return x.Zone == d.router.Zone })
		outside := 0
		for _, m := range d.rank(t, d.databases).Take(1).Members {
			if d.databases[m.Index].Zone != d.router.Zone {
				outside++
			}
		}
		if outside == 0 && len(rest) > 0 {
			t.Fatal("all are in the own zone")
		}
		if got, want := len(d.rank(t, rest).Take(1).Members), min(d.options.Size, len(rest)); got < want {
			t.Fatalf("%d places without the zone, %d wanted", got, want)
		}
	})
}

// TestOddWeights: a weight that is no number, zero or huge counts as 1, and moves nothing.
func TestOddWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := draw(t, 2)
		odd := slices.Clone(d.databases)
		at := rapid.IntRange(0, len(odd)-1).Draw(t, "at")
		odd[at].Weight = rapid.SampledFrom([]float64{0, -1, math.NaN(), math.Inf(1), 1e308, 5e-324}).Draw(t, "weight")
		plain := slices.Clone(odd)
		plain[at].Weight = 1
		if a, b := namesOf(odd, d.rank(t, odd).Take(1)), namesOf(plain, d.rank(t, plain).Take(1)); !slices.Equal(a, b) {
			t.Fatalf("%v and %v", a, b)
		}
	})
}

func TestOptionsCheck(t *testing.T) {
	for _, c := range []struct {
		change func(*Options)
		says   string
	}{
		{func(o *Options) { o.Size = 0 }, "size: 0"},
		{func(o *Options) { o.Size = MostSize + 1 }, "size"},
		{func(o *Options) { o.Room = math.NaN() }, "room"},
		{func(o *Options) { o.Room = 1.5 }, "room"},
		{func(o *Options) { o.Widest = 3 }, "power of two"},
		{func(o *Options) { o.Near = math.NaN() }, "near"},
		{func(o *Options) { o.Near, o.Region = 0.8, 0.2 }, "near"},
		{func(o *Options) { o.RegionPart = math.NaN() }, "zones"},
		{func(o *Options) { o.ZonePart = 7 }, "zones"},
		{func(o *Options) { o.Needs = []Need{{Least: -1}} }, "needs/0"},
		{func(o *Options) { o.Needs = make([]Need, MostNeeds+1) }, "needs"},
	} {
		o := standard(64)
		c.change(&o)
		if err := o.Check(); err == nil || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%+v: %v, which should say %q", o, err, c.says)
		}
	}
}
