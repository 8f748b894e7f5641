package scale

import (
	"fmt"
	"math"
	"runtime"
	"slices"

	"dunereach/admission"
	"dunereach/fleet/subset"
	"dunereach/internal/measure"

	"gonum.org/v1/gonum/stat"
)

// Subset measures the cost and the effects of a bounded subset of the databases at the designed size: how evenly databases are held,
// what changes when one is removed, the cost of the selection, and the cost of a decision. All of it runs the routers' own packages,
// on virtual time.
func Subset(short bool) (rows []measure.Row, err error) {
	sizes := []int{16, 32, 64, 128, 256}
	removals := 8 // databases that are removed, each from the complete list
	if short {
		sizes, removals = []int{32, 64}, 2
	}
	for _, part := range []func() ([]measure.Row, error){
		func() ([]measure.Row, error) { return spreadRows(sizes) },
		func() ([]measure.Row, error) { return churnRows(sizes, removals) },
		zoneLostRows,
		narrowingRows,
		func() ([]measure.Row, error) { return costRows(short) },
		func() ([]measure.Row, error) { return decisionRows(sizes) },
	} {
		partRows, err := part()
		if err != nil {
			return rows, err
		}
		rows = append(rows, partRows...)
	}
	if !short {
		rows = append(rows, methodRows(subsetSize)...)
	}
	return rows, nil
}

// Parameters of the measurements unless their names say otherwise.
const (
	subsetSize     = 64 // the smallest size for which bounds hold
	subsetSlack    = 0.5
	maxSubsetWidth = 4
	regionZones    = 4 // zones of the first region; the second has the rest
)

// subsetFleet is a pool with its routers, which are numbered zone by zone.
type subsetFleet struct {
	databases []subset.Database
	routers   []subset.Router
	size      int
}

func newSubsetFleet(routers, databases, size int) *subsetFleet {
	f := &subsetFleet{size: size}
	regionOf := func(zone int) int {
		if zone < regionZones {
			return 0
		}
		return 1
	}
	for k := range databases {
		zone := k % TargetZones
		f.databases = append(f.databases, subset.Database{Name: fmt.Sprintf("db-%d.example", k), Zone: zone, Region: regionOf(zone),
			Kind: k / TargetZones % 2, Weight: 1})
	}
	for k := range routers {
		zone := k * TargetZones / routers
		f.routers = append(f.routers, subset.Router{Name: fmt.Sprintf("router-%d", k), Number: k, Zone: zone, Region: regionOf(zone)})
	}
	return f
}

func (f *subsetFleet) options(r *subset.Router) *subset.Options {
	o := &subset.Options{Size: f.size, SizeSlack: subsetSlack, MaxWidth: maxSubsetWidth, OwnZoneShare: 0.5, OwnRegionShare: 0.2, ZoneWeightShare: 1.0 / TargetZones,
		RegionWeightShare: float64(regionZones) / TargetZones}
	if r.Region == 1 {
		o.RegionWeightShare = 1 - o.RegionWeightShare
	}
	var region []int
	for z := range TargetZones {
		if (z < regionZones) == (r.Region == 0) {
			region = append(region, z)
		}
	}
	layout := subset.PoolLayout{Zones: TargetZones, Kinds: 2}
	o.Requirements = layout.Requirements(r.Zone, region, 2)
	return o
}

// rankings returns the rankings of all routers over a list. If planned is nil, the planned weights are those of this list.
func (f *subsetFleet) rankings(databases []subset.Database, planned []float64) (list []*subset.Ranking, err error) {
	pool := subset.NewPool(databases)
	for k := range f.routers {
		r := f.routers[k]
		o := f.options(&r)
		if planned == nil {
			ranking, err := pool.Rank(o, r)
			if err != nil {
				return nil, err
			}
			r.PlannedWeight = ranking.EffectiveWeight()
		} else {
			r.PlannedWeight = planned[k]
		}
		ranking, err := pool.Rank(o, r)
		if err != nil {
			return nil, err
		}
		list = append(list, ranking)
	}
	return list, nil
}

// plannedWeights returns the weights by which the sizes of subsets are adjusted.
func plannedWeights(rankings []*subset.Ranking) (all []float64) {
	for _, r := range rankings {
		all = append(all, r.EffectiveWeight())
	}
	return all
}

// selectedNames returns the names of the databases that each router holds at a width.
func selectedNames(databases []subset.Database, rankings []*subset.Ranking, width int) [][]string {
	names := make([][]string, len(rankings))
	for r, ranking := range rankings {
		for _, m := range ranking.Select(width).Members {
			names[r] = append(names[r], databases[m.Index].Name)
		}
	}
	return names
}

// spreadRows measures how evenly databases are held, and the number of connections.
func spreadRows(sizes []int) (rows []measure.Row, err error) {
	for _, size := range sizes {
		f := newSubsetFleet(TargetRouters, TargetDatabases, size)
		rankings, err := f.rankings(f.databases, nil)
		if err != nil {
			return nil, err
		}
		for _, width := range []int{1, maxSubsetWidth} {
			subsets := selectedNames(f.databases, rankings, width)
			most, mean := routersPerDatabase(subsets)
			label := fmt.Sprintf("size %d, width %d: ", size, width)
			ratio := measure.Figure(label+"most to mean routers a database", float64(most)/mean)
			if size >= subsetSize {
				ratio = measure.AtMost(ratio.Name, ratio.Value, subset.MaxUnevenness)
			}
			budget := subset.ConnectionBudget(TargetRouters, int(float64(size*width)*(1+subsetSlack)), 1.0/TargetDatabases)
			rows = append(rows, ratio,
				measure.AtMost(label+"routers of the most held database, by the budget", float64(most), float64(budget)),
				measure.Figure(label+"mean places of a router", mean*TargetDatabases/TargetRouters),
				measure.Figure(label+"router to database links of the fleet, thousands", mean*TargetDatabases/1000))
		}
	}
	return append(rows, measure.Figure("without subsets: router to database links of the fleet, thousands", TargetRouters*TargetDatabases/1000)), nil
}

// churnRows measures the changes when a database is removed. Adding one is the same in reverse.
func churnRows(sizes []int, removals int) (rows []measure.Row, err error) {
	for _, size := range sizes {
		f := newSubsetFleet(TargetRouters, TargetDatabases, size)
		rankings, err := f.rankings(f.databases, nil)
		if err != nil {
			return nil, err
		}
		before, planned := selectedNames(f.databases, rankings, 1), plannedWeights(rankings)
		worst := placeChanges{}
		for n := range removals {
			removed := (n*977 + 5) % TargetDatabases
			remaining := slices.Delete(slices.Clone(f.databases), removed, removed+1)
			laterRankings, err := f.rankings(remaining, planned)
			if err != nil {
				return nil, err
			}
			changes := countChanges(before, selectedNames(remaining, laterRankings, 1), f.databases[removed].Name)
			worst.most, worst.otherSubsets = max(worst.most, changes.most), worst.otherSubsets+changes.otherSubsets
		}
		label := fmt.Sprintf("size %d, a database removed or added: ", size)
		rows = append(rows, measure.AtMost(label+"most places changed in a subset that held it", float64(worst.most), 2),
			measure.AtMost(label+"other subsets that changed", float64(worst.otherSubsets), 0))
	}
	return rows, nil
}

// zoneLostRows measures what a router has left when its zone is lost, before and after the list reports it.
func zoneLostRows() (rows []measure.Row, err error) {
	f := newSubsetFleet(TargetRouters, TargetDatabases, subsetSize)
	rankings, err := f.rankings(f.databases, nil)
	if err != nil {
		return nil, err
	}
	fewestOutsideZone, fewestOutsideRegion, inOwnZone, places := math.MaxInt, math.MaxInt, 0, 0
	for k, ranking := range rankings {
		r, outsideZone, outsideRegion := &f.routers[k], 0, 0
		for _, m := range ranking.Select(1).Members {
			d := &f.databases[m.Index]
			places++
			if d.Zone != r.Zone {
				outsideZone++
			} else {
				inOwnZone++
			}
			if d.Region != r.Region {
				outsideRegion++
			}
		}
		fewestOutsideZone, fewestOutsideRegion = min(fewestOutsideZone, outsideZone), min(fewestOutsideRegion, outsideRegion)
	}
	remaining := slices.DeleteFunc(slices.Clone(f.databases), func(d subset.Database) bool { return d.Zone == 0 })
	laterRankings, err := f.rankings(remaining, nil)
	if err != nil {
		return nil, err
	}
	subsets := selectedNames(remaining, laterRankings, 1)
	smallestSubset := math.MaxInt
	for _, own := range subsets {
		smallestSubset = min(smallestSubset, len(own))
	}
	most, mean := routersPerDatabase(subsets)
	mean *= float64(TargetDatabases) / float64(len(remaining))
	return []measure.Row{
		measure.Figure("size 64: fraction of places in the own zone", float64(inOwnZone)/float64(places)),
		measure.AtLeast("size 64, its zone lost: fewest databases left to a router", float64(fewestOutsideZone), 8),
		measure.AtLeast("size 64, its region lost: fewest databases left to a router", float64(fewestOutsideRegion), 2),
		measure.AtLeast("size 64, a zone removed from the list: fewest places of a router", float64(smallestSubset), subsetSize),
		// Routers of the lost zone spread over the other zones, as there are no databases in their own zone.
		measure.Figure("size 64, a zone removed from the list: most to mean routers a database", float64(most)/mean),
	}, nil
}

// narrowingRows lets all routers narrow from the maximum width at once and counts the connections that one database loses in a second.
func narrowingRows() ([]measure.Row, error) {
	f := newSubsetFleet(TargetRouters, TargetDatabases, subsetSize)
	rankings, err := f.rankings(f.databases, nil)
	if err != nil {
		return nil, err
	}
	closed := map[string]map[int]int{} // by database and second
	most, last := 0, 0.0
	for k, ranking := range rankings {
		name := f.routers[k].Name
		var departures subset.DepartureQueue
		start := subset.NarrowDelay * subset.Jitter(name) / 2 // after the NarrowDelay that all routers have in common
		wide, narrow := ranking.Select(maxSubsetWidth), ranking.Select(maxSubsetWidth/2)
		kept := map[int]bool{}
		for _, m := range narrow.Members {
			kept[m.Index] = true
		}
		var released []string
		for _, m := range wide.Members {
			if !kept[m.Index] {
				released = append(released, f.databases[m.Index].Name)
			}
		}
		departures.Add(start, name, released)
		for now := start; departures.Len() > 0; now += 0.5 {
			for _, database := range departures.TakeDue(now) {
				if closed[database] == nil {
					closed[database] = map[int]int{}
				}
				closed[database][int(now)]++
				most, last = max(most, closed[database][int(now)]), max(last, now)
			}
		}
	}
	// The mean rate follows from the size and slack at the two widths, with departures spread over about forty seconds.
	const maxPerSecond = 16
	return []measure.Row{
		measure.AtMost("all routers narrow from width 4 at once: most routers that leave one database in a second", float64(most), maxPerSecond),
		measure.Figure("all routers narrow from width 4 at once: seconds until the last has left", last),
	}, nil
}

// costRows measures the processor time and memory of a selection by the number of databases in the list.
func costRows(short bool) (rows []measure.Row, err error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	rounds := 200
	if short {
		rounds = 40
	}
	var counts, times, bytes []float64
	for _, databases := range []int{500, 1000, 2000, TargetDatabases} {
		f := newSubsetFleet(TargetRouters, databases, subsetSize)
		r := f.routers[0]
		o := f.options(&r)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		start := threadTime()
		for range rounds {
			pool := subset.NewPool(f.databases)
			ranking, err := pool.Rank(o, r)
			if err != nil {
				return nil, err
			}
			ranking.Select(1)
		}
		elapsed := threadTime() - start
		runtime.ReadMemStats(&after)
		counts = append(counts, float64(databases))
		times = append(times, elapsed.Seconds()*1e6/float64(rounds))
		bytes = append(bytes, float64(after.TotalAlloc-before.TotalAlloc)/float64(rounds))
		rows = append(rows, measure.Figure(fmt.Sprintf("selection from %d databases, us of processor time", databases), times[len(times)-1]),
			measure.Figure(fmt.Sprintf("selection from %d databases, KB allocated", databases), bytes[len(bytes)-1]/1000))
	}
	_, slope := stat.LinearRegression(counts, times, nil, false)
	offset, slopeBytes := stat.LinearRegression(counts, bytes, nil, false)
	return append(rows,
		measure.AtMost("selection from the target's databases, us", times[len(times)-1], 20_000),
		measure.Figure("slope: us a database of the list", slope),
		measure.Figure("slope: bytes allocated a database of the list", slopeBytes),
		measure.Figure("fit of the bytes: R squared", stat.RSquared(counts, bytes, nil, offset, slopeBytes))), nil
}

// decisionRows compares a decision of a router that holds a subset of 3,900 databases with one of a router whose pool has the size of
// the subset, and with one of a router that holds them all.
func decisionRows(sizes []int) (rows []measure.Row, err error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for _, size := range sizes {
		times := decisionTimes(newSubsetDriver(size, 1), newSubsetDriver(size, float64(size)/TargetDatabases))
		rows = append(rows, measure.Figure(fmt.Sprintf("a decision in a pool of %d, us", size), times[0]),
			measure.AtMost(fmt.Sprintf("a decision with %d of %d, by that in a pool of %d", size, TargetDatabases, size), times[1]/times[0], 1.3))
	}
	whole := decisionTimes(newSubsetDriver(TargetDatabases, 1))
	return append(rows, measure.Figure(fmt.Sprintf("a decision with all of %d, us", TargetDatabases), whole[0])), nil
}

// subsetDriver drives a controller that holds a subset, and keeps its clock.
type subsetDriver struct {
	host       *discardingHost
	controller *admission.Controller
	now        float64
}

func newSubsetDriver(databases int, coverage float64) *subsetDriver {
	d := &subsetDriver{host: &discardingHost{}}
	d.controller = admission.New(admission.Settings{Seed: 1, Routers: TargetRouters, Tick: 0.005, MaxSends: 4, KindCores: []float64{8},
		Profiles: []admission.Profile{{Target: 1, Benefit: 1, Threads: 1}}, ColdFrom: 0.35, WarmUp: 10, FallMultiple: 2, FallWindow: 1}, 0, d.host)
	var list []admission.Entry
	for k := range databases {
		list = append(list, admission.Entry{Server: uint32(k + 1), State: admission.Ready})
	}
	d.controller.UpdateServers(0, admission.Full, list)
	d.controller.SetCoverage(admission.Coverage{Part: coverage})
	return d
}

// handleRequests runs requests one after another: each is taken, attempted and completed.
func (d *subsetDriver) handleRequests(requests int) {
	for k := range requests {
		d.now += 0.001
		id := uint32(d.now*1000) + 1
		d.controller.Request(d.now, admission.Request{ID: id, Cost: 0.1, TimeLeft: 4})
		d.controller.Outcome(d.now+0.0005, admission.Outcome{ID: id, Server: d.host.database, End: admission.Completed, Latency: 0.0005, Work: 0.1, Final: true})
		if k%5 == 0 {
			d.controller.Woken(d.now, 0)
		}
	}
}

// decisionTimes returns the minimum over rounds, in microseconds per request. Rounds of the drivers alternate, so that other load on
// the machine affects all of them alike.
func decisionTimes(all ...*subsetDriver) []float64 {
	const rounds, requests = 15, 400
	leastTimes := slices.Repeat([]float64{math.Inf(1)}, len(all))
	for range rounds {
		for k, d := range all {
			start := threadTime()
			d.handleRequests(requests)
			leastTimes[k] = min(leastTimes[k], (threadTime()-start).Seconds()*1e6/requests)
		}
	}
	return leastTimes
}
