package scale

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"dunereach/internal/hollow"
	"dunereach/internal/measure"
)

// none is a bound that is none.
var none = math.NaN()

const (
	idleSettles  = 2 * time.Second // connections and rounds of the load before have gone
	idleMeasured = 6 * time.Second // some six heartbeats of each session
)

// controlIdle measures sessions with nothing cold at growing sizes, first their heartbeats alone, then with each router's report on
// zones to the plan's owner once a second.
func controlIdle(routers int) ([]measure.Row, error) {
	sizes := controlSizes(routers)
	f, err := newControlFleet(routers)
	if err != nil {
		return nil, err
	}
	defer f.close()
	var heartbeats, reports []window
	for k, size := range sizes {
		if err := f.Load(hollow.Demand{}); err != nil {
			return nil, err
		}
		if _, err := f.grow(sizeBefore(sizes, k), size); err != nil {
			return nil, err
		}
		for _, load := range []hollow.Demand{{}, {Reports: true}} {
			if err := f.Load(load); err != nil {
				return nil, err
			}
			time.Sleep(idleSettles)
			w, err := f.measure(size, idleMeasured)
			if err != nil {
				return nil, err
			}
			if load.Reports {
				reports = append(reports, w)
			} else {
				heartbeats = append(heartbeats, w)
			}
		}
	}
	listed, err := f.Look()
	if err != nil {
		return nil, err
	}
	rows := append(windowRows("heartbeats", sizes, heartbeats), pathRows("heartbeats", heartbeats)...)
	rows = append(rows, windowRows("with reports", sizes, reports)...)
	rows = append(rows, pathRows("with reports", reports)...)
	rows = append(rows, measure.AtLeast("databases in the list of each router", float64(listed.Listed)/float64(routers), TargetDatabases))
	return append(rows, f.bounds("idle")...), nil
}

// sizeBefore the one with that index, 0: none.
func sizeBefore(sizes []int, k int) int {
	if k == 0 {
		return 0
	}
	return sizes[k-1]
}

// windowRows are the fits of what was used, by number of routers.
func windowRows(name string, sizes []int, all []window) (rows []measure.Row) {
	line := func(of func(k int, w window) float64) Fit {
		var xs, ys []float64
		for k, w := range all {
			xs, ys = append(xs, float64(sizes[k])), append(ys, of(k, w))
		}
		return lineThrough(xs, ys)
	}
	at := func(what string, value, bound float64) {
		rows = append(rows, bounded(fmt.Sprintf("%s: %s: at %d", name, what, lastOf(sizes)), value, bound))
	}
	largest := all[len(all)-1]
	fit := func(what string, per, bound float64, of func(window) float64) {
		rows = append(rows, line(func(_ int, w window) float64 { return of(w) }).Rows(name+": "+what, "routers", per)...)
		at(what, of(largest), bound)
	}
	// What each router uses is fitted as the sum of all: the intercept is what the processes use without routers.
	each := func(what string, bound float64, of func(window) float64) {
		rows = append(rows, line(func(k int, w window) float64 { return of(w) * float64(sizes[k]) }).Rows(name+": router, "+what, "router", 1)...)
		at("router, "+what, of(largest), bound)
	}
	fit("leader, core", 1000, 1, func(w window) float64 { return w.leaderCore })
	fit("leader, MB", 1000, none, func(w window) float64 { return w.leaderMB })
	fit("leader, KB a second in and out", 1000, none, func(w window) float64 { return w.leaderBytes / 1000 })
	fit("leader, KB a second to the disk", 1000, none, func(w window) float64 { return w.leaderDisk / 1000 })
	fit("leader, descriptors", 1000, none, func(w window) float64 { return w.leaderDescriptors })
	fit("follower, core", 1000, none, func(w window) float64 { return w.followerCore })
	fit("follower, MB", 1000, none, func(w window) float64 { return w.followerMB })
	fit("follower, KB a second to the disk", 1000, none, func(w window) float64 { return w.followerDisk / 1000 })
	each("core", ControlCore, func(w window) float64 { return w.routerCore })
	each("MB", ControlMemoryMB, func(w window) float64 { return w.routerMB })
	each("requests a second", none, func(w window) float64 { return w.routerRequests })
	each("bytes a second", ControlBytes, func(w window) float64 { return w.routerBytes })
	return rows
}

// pathRows are requests and bytes of bodies by kind, at the largest size.
func pathRows(name string, all []window) (rows []measure.Row) {
	w := all[len(all)-1]
	var paths []string
	for path := range w.requestsByPath {
		paths = append(paths, path)
	}
	slices.Sort(paths)
	for _, path := range paths {
		kind := strings.TrimPrefix(path, "/v1/")
		rows = append(rows, measure.Figure(name+": a router's requests a second, "+kind, w.requestsByPath[path]),
			measure.Figure(name+": a router's bytes of bodies a second, "+kind, w.bodyBytesByPath[path]))
	}
	return rows
}
