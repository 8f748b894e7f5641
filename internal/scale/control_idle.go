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

// noBound as an upper bound means that a value has no bound.
var noBound = math.NaN()

const (
	idleSettleTime  = 2 * time.Second // by then connections and rounds of the previous load have ended
	idleMeasureTime = 6 * time.Second // about six heartbeats of each session
)

// controlIdle measures sessions without cold databases at growing sizes: first their heartbeats alone, then with each router's zone
// report to the owner of the plan once a second.
func controlIdle(routers int) ([]measure.Row, error) {
	sizes := controlSizes(routers)
	f, err := newControlFleet(routers)
	if err != nil {
		return nil, err
	}
	defer f.close()
	var heartbeats, reports []controlUsage
	for k, size := range sizes {
		if err := f.SetDemand(hollow.Demand{}); err != nil {
			return nil, err
		}
		if _, err := f.grow(previousSize(sizes, k), size); err != nil {
			return nil, err
		}
		for _, load := range []hollow.Demand{{}, {SendEvidence: true}} {
			if err := f.SetDemand(load); err != nil {
				return nil, err
			}
			time.Sleep(idleSettleTime)
			w, err := f.measure(size, idleMeasureTime)
			if err != nil {
				return nil, err
			}
			if load.SendEvidence {
				reports = append(reports, w)
			} else {
				heartbeats = append(heartbeats, w)
			}
		}
	}
	lastReport, err := f.CollectReports()
	if err != nil {
		return nil, err
	}
	rows := append(usageRows("heartbeats", sizes, heartbeats), pathRows("heartbeats", heartbeats)...)
	rows = append(rows, usageRows("with reports", sizes, reports)...)
	rows = append(rows, pathRows("with reports", reports)...)
	rows = append(rows, measure.AtLeast("databases listed at each router", float64(lastReport.Listed)/float64(routers), TargetDatabases))
	return append(rows, f.limitRows("idle")...), nil
}

// previousSize returns the size before the one with the given index, 0 for the first.
func previousSize(sizes []int, k int) int {
	if k == 0 {
		return 0
	}
	return sizes[k-1]
}

// usageRows returns the fits of the usage over the number of routers.
func usageRows(name string, sizes []int, all []controlUsage) (rows []measure.Row) {
	fitOf := func(metric func(k int, w controlUsage) float64) Fit {
		var xs, ys []float64
		for k, w := range all {
			xs, ys = append(xs, float64(sizes[k])), append(ys, metric(k, w))
		}
		return lineThrough(xs, ys)
	}
	atLargest := func(quantity string, value, bound float64) {
		rows = append(rows, bounded(fmt.Sprintf("%s: %s: at %d", name, quantity, lastOf(sizes)), value, bound))
	}
	largest := all[len(all)-1]
	fit := func(quantity string, routersPerStep, bound float64, metric func(controlUsage) float64) {
		rows = append(rows, fitOf(func(_ int, w controlUsage) float64 { return metric(w) }).Rows(name+": "+quantity, "routers", routersPerStep)...)
		atLargest(quantity, metric(largest), bound)
	}
	// The usage of the routers is fitted as their sum: the intercept is what the processes use without routers.
	perRouter := func(quantity string, bound float64, metric func(controlUsage) float64) {
		rows = append(rows, fitOf(func(k int, w controlUsage) float64 { return metric(w) * float64(sizes[k]) }).Rows(name+": router, "+quantity, "router", 1)...)
		atLargest("router, "+quantity, metric(largest), bound)
	}
	fit("leader, core", 1000, 1, func(w controlUsage) float64 { return w.leaderCore })
	fit("leader, MB", 1000, noBound, func(w controlUsage) float64 { return w.leaderMB })
	fit("leader, KB a second in and out", 1000, noBound, func(w controlUsage) float64 { return w.leaderBytes / 1000 })
	fit("leader, KB a second to the disk", 1000, noBound, func(w controlUsage) float64 { return w.leaderDisk / 1000 })
	fit("leader, descriptors", 1000, noBound, func(w controlUsage) float64 { return w.leaderDescriptors })
	fit("follower, core", 1000, noBound, func(w controlUsage) float64 { return w.followerCore })
	fit("follower, MB", 1000, noBound, func(w controlUsage) float64 { return w.followerMB })
	fit("follower, KB a second to the disk", 1000, noBound, func(w controlUsage) float64 { return w.followerDisk / 1000 })
	perRouter("core", MaxControlCore, func(w controlUsage) float64 { return w.routerCore })
	perRouter("MB", MaxControlMemoryMB, func(w controlUsage) float64 { return w.routerMB })
	perRouter("requests a second", noBound, func(w controlUsage) float64 { return w.routerRequests })
	perRouter("bytes a second", MaxControlByteRate, func(w controlUsage) float64 { return w.routerBytes })
	return rows
}

// pathRows returns the requests and the bytes of bodies by path, at the largest size.
func pathRows(name string, all []controlUsage) (rows []measure.Row) {
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
