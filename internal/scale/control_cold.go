package scale

import (
	"fmt"
	"time"

	"dunereach/internal/hollow"
	"dunereach/internal/measure"
)

const (
	coldSettles  = 4 * time.Second // the parts that are to be granted have been laid down by then
	coldMeasured = 3 * time.Second // six rounds of each owner
)

// coldCounts are the cold databases at each size.
var coldCounts = []int{0, 1, 4, 8}

// controlCold measures what each cold database costs at growing sizes.
func controlCold(routers int) ([]measure.Row, error) {
	sizes := controlSizes(routers)
	f, err := newControlFleet(routers)
	if err != nil {
		return nil, err
	}
	defer f.close()
	all := make([][]window, len(sizes)) // by size and count
	for k, size := range sizes {
		if err := f.Load(hollow.Demand{}); err != nil {
			return nil, err
		}
		// All end and begin anew: owners that end are missed sooner than tasks that nobody wants any more are released.
		if _, err := f.CrashRouters(numbers(1, sizeBefore(sizes, k))); err != nil {
			return nil, err
		}
		if _, err := f.grow(0, size); err != nil {
			return nil, err
		}
		for _, cold := range coldCounts {
			if err := f.load(hollow.Demand{Cold: cold, Generation: k}); err != nil {
				return nil, fmt.Errorf("%d routers, %d cold: %w", size, cold, err)
			}
			if cold > 0 {
				time.Sleep(coldSettles)
			}
			w, err := f.measure(size, coldMeasured)
			if err != nil {
				return nil, fmt.Errorf("%d routers, %d cold: %w", size, cold, err)
			}
			all[k] = append(all[k], w)
		}
	}
	return append(coldRows(sizes, all), f.bounds("cold")...), nil
}

// coldRows are, for each figure, the slope by cold databases at each size, and the fit of those slopes by size.
func coldRows(sizes []int, all [][]window) (rows []measure.Row) {
	fit := func(what string, bound float64, of func(window) float64) {
		var xs, ys []float64
		for k, size := range sizes {
			var counts, values []float64
			for n, w := range all[k] {
				counts, values = append(counts, float64(coldCounts[n])), append(values, of(w))
				rows = append(rows, bounded(fmt.Sprintf("cold: %s: %d routers, %d cold", what, size, coldCounts[n]), of(w), bound))
			}
			line := lineThrough(counts, values)
			rows = append(rows, measure.Figure(fmt.Sprintf("cold: %s: %d routers, each cold database", what, size), line.Slope),
				measure.Figure(fmt.Sprintf("cold: %s: %d routers, standard error of that", what, size), line.SlopeError))
			xs, ys = append(xs, float64(size)), append(ys, line.Slope)
		}
		rows = append(rows, lineThrough(xs, ys).Rows("cold: "+what+", each cold database", "routers", 1000)...)
	}
	fit("leader, core", none, func(w window) float64 { return w.leaderCore })
	fit("leader, KB a second in and out", none, func(w window) float64 { return w.leaderBytes / 1000 })
	fit("follower, core", none, func(w window) float64 { return w.followerCore })
	fit("router, core", ControlCore, func(w window) float64 { return w.routerCore })
	fit("router, MB", ControlMemoryMB, func(w window) float64 { return w.routerMB })
	fit("router, bytes a second", ControlBytes, func(w window) float64 { return w.routerBytes })
	fit("router, granted parts", none, func(w window) float64 { return w.shares })
	fit("grants a second", none, func(w window) float64 { return w.grants })
	fit("parts laid down a second", none, func(w window) float64 { return w.relinquished })
	fit("grants that came late a second", none, func(w window) float64 { return w.late })
	fit("load of the machine", none, func(w window) float64 { return w.load })
	return rows
}
