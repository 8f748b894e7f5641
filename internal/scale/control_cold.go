package scale

import (
	"fmt"
	"time"

	"dunereach/internal/hollow"
	"dunereach/internal/measure"
)

const (
	coldSettleTime  = 4 * time.Second // by then the shares that are to be granted have been relinquished
	coldMeasureTime = 3 * time.Second // six rounds of each owner
)

// coldCounts are the numbers of cold databases measured at each size.
var coldCounts = []int{0, 1, 4, 8}

// controlCold measures the cost of each cold database at growing sizes.
func controlCold(routers int) ([]measure.Row, error) {
	sizes := controlSizes(routers)
	f, err := newControlFleet(routers)
	if err != nil {
		return nil, err
	}
	defer f.close()
	windows := make([][]controlUsage, len(sizes)) // by size and by number of cold databases
	for k, size := range sizes {
		if err := f.SetDemand(hollow.Demand{}); err != nil {
			return nil, err
		}
		// All routers are restarted, because the coordinators detect crashed owners sooner than they release tasks that no router requests
		// any more.
		if _, err := f.CrashRouters(numbers(1, previousSize(sizes, k))); err != nil {
			return nil, err
		}
		if _, err := f.grow(0, size); err != nil {
			return nil, err
		}
		for _, cold := range coldCounts {
			if err := f.loadAndAwaitTasks(hollow.Demand{ColdDatabases: cold, Generation: k}); err != nil {
				return nil, fmt.Errorf("%d routers, %d cold: %w", size, cold, err)
			}
			if cold > 0 {
				time.Sleep(coldSettleTime)
			}
			w, err := f.measure(size, coldMeasureTime)
			if err != nil {
				return nil, fmt.Errorf("%d routers, %d cold: %w", size, cold, err)
			}
			windows[k] = append(windows[k], w)
		}
	}
	return append(coldRows(sizes, windows), f.limitRows("cold")...), nil
}

// coldRows returns, for each quantity, the slope per cold database at each size and the fit of those slopes over the size.
func coldRows(sizes []int, all [][]controlUsage) (rows []measure.Row) {
	fit := func(quantity string, bound float64, metric func(controlUsage) float64) {
		var xs, ys []float64
		for k, size := range sizes {
			var counts, values []float64
			for n, w := range all[k] {
				counts, values = append(counts, float64(coldCounts[n])), append(values, metric(w))
				rows = append(rows, bounded(fmt.Sprintf("cold: %s: %d routers, %d cold", quantity, size, coldCounts[n]), metric(w), bound))
			}
			line := lineThrough(counts, values)
			rows = append(rows, measure.Figure(fmt.Sprintf("cold: %s: %d routers, each cold database", quantity, size), line.Slope),
				measure.Figure(fmt.Sprintf("cold: %s: %d routers, each cold database, standard error", quantity, size), line.SlopeError))
			xs, ys = append(xs, float64(size)), append(ys, line.Slope)
		}
		rows = append(rows, lineThrough(xs, ys).Rows("cold: "+quantity+", each cold database", "routers", 1000)...)
	}
	fit("leader, core", noBound, func(w controlUsage) float64 { return w.leaderCore })
	fit("leader, KB a second in and out", noBound, func(w controlUsage) float64 { return w.leaderBytes / 1000 })
	fit("follower, core", noBound, func(w controlUsage) float64 { return w.followerCore })
	fit("router, core", MaxControlCore, func(w controlUsage) float64 { return w.routerCore })
	fit("router, MB", MaxControlMemoryMB, func(w controlUsage) float64 { return w.routerMB })
	fit("router, bytes a second", MaxControlByteRate, func(w controlUsage) float64 { return w.routerBytes })
	fit("router, granted shares", noBound, func(w controlUsage) float64 { return w.grantedShares })
	fit("grants a second", noBound, func(w controlUsage) float64 { return w.grants })
	fit("shares relinquished a second", noBound, func(w controlUsage) float64 { return w.relinquished })
	fit("late grants a second", noBound, func(w controlUsage) float64 { return w.lateGrants })
	fit("load average of the machine", noBound, func(w controlUsage) float64 { return w.loadAverage })
	return rows
}
