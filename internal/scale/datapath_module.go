package scale

import (
	"fmt"
	"net/netip"
	"runtime"

	"dunereach/admission"
	"dunereach/internal/backends"
	"dunereach/internal/discovery"
	"dunereach/internal/measure"
	"dunereach/internal/transport"
)

// heapPerInstance builds count instances and returns the live heap per instance, in bytes.
func heapPerInstance(count int, build func() any) float64 {
	instances := make([]any, 0, count)
	before := liveHeap()
	for range count {
		instances = append(instances, build())
	}
	after := liveHeap()
	runtime.KeepAlive(instances)
	return (float64(after) - float64(before)) / float64(count)
}

func liveHeap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC() // collects what finalizers released in the first collection
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// heapSlope measures the controller's heap over sizes, in KB, and fits a line.
func heapSlope(name string, sizes []int, build func(size int) any) ([]measure.Row, Fit, error) {
	const bytesPerKB = 1000
	costs := make([]float64, len(sizes))
	for k, size := range sizes {
		count := max(2000/size, 2) // small ones are built more often, as the heap is counted in pages
		costs[k] = heapPerInstance(count, func() any { return build(size) }) / bytesPerKB
	}
	return slopeRows(name, sizes, costs)
}

// moduleMemory measures the controller's heap by databases, with the routers of the target and of smaller fleets in the settings, by
// profiles and by tenants.
func moduleMemory(short bool) ([]measure.Row, error) {
	databases := []int{8, 72, 500, 2000, TargetDatabases}
	classes := []int{4, 16, 64, 256}
	tenants := []int{8, 100, 500, 2000}
	if short {
		databases = []int{8, 72, 500, TargetDatabases}
	}
	withRouters := func(routers int) func(int) any {
		return func(size int) any {
			settings := routerSettings()
			settings.Routers = routers
			return newControllerDriver(settings, size)
		}
	}
	var rows []measure.Row
	var targetFit Fit
	for _, routers := range []int{1, 300, TargetRouters} {
		name := fmt.Sprintf("controller's heap, KB, by databases, %d routers in the settings", routers)
		moreRows, fit, err := heapSlope(name, databases, withRouters(routers))
		if err != nil {
			return nil, err
		}
		rows, targetFit = append(rows, moreRows...), fit
	}
	rows = append(rows,
		measure.Figure("controller's heap at the target, whole pool, MB", targetFit.CostAt(TargetDatabases)/1000),
		measure.Figure("controller's heap at the target, subset of 64, MB", targetFit.CostAt(64)/1000))
	moreRows, _, err := heapSlope("controller's heap, KB, by profiles", classes, func(size int) any {
		settings := routerSettings()
		for len(settings.Profiles) < size {
			settings.Profiles = append(settings.Profiles, settings.Profiles[0])
		}
		return newControllerDriver(settings, 8)
	})
	if err != nil {
		return nil, err
	}
	rows = append(rows, moreRows...)
	moreRows, _, err = heapSlope("controller's heap, KB, by tenants", tenants, func(size int) any {
		settings := routerSettings()
		settings.Tenants = make([]admission.Tenant, size)
		for k := range settings.Tenants {
			settings.Tenants[k].QuotaPerS = 1000
		}
		return newControllerDriver(settings, 8)
	})
	return append(rows, moreRows...), err
}

// discardingOwner owns a connection pool that carries no requests.
type discardingOwner struct{}

func (discardingOwner) AttemptEnded(*backends.Attempt, admission.End)                        {}
func (discardingOwner) AttemptProgressed(*backends.Attempt, admission.ProgressKind, float64) {}
func (discardingOwner) ConnLost(uint32, transport.Ending)                                    {}
func (discardingOwner) ResultFits(*backends.Attempt, int) bool                               { return true }
func (discardingOwner) ResultReserved(*backends.Attempt, int)                                {}
func noConnection(netip.AddrPort, transport.Sink) backends.Connection                        { return nil }

// listApplier runs what the router's owner goroutine runs when a list arrives: the follower, the connection pool and the controller.
type listApplier struct {
	follower         *discovery.Follower
	pool             *backends.Pool
	controllerDriver *controllerDriver
	revision         uint32
	followerOnly     bool // lists are applied to the follower only
}

func newListApplier(databases int) (*listApplier, error) {
	applier := &listApplier{follower: discovery.New([]string{"east"}, []string{"std"}),
		pool:             backends.New(discardingOwner{}, backends.Limits{StreamsPerConn: 100, MaxConns: 5000, IdleTimeout: 30, StallTimeout: 0.25}, noConnection),
		controllerDriver: &controllerDriver{}}
	settings := routerSettings()
	applier.controllerDriver.controller = admission.New(settings, 0, &applier.controllerDriver.host)
	return applier, applier.apply(databases, 0)
}

// apply applies a complete list. The first changed databases have new names, so as many old databases are removed.
func (l *listApplier) apply(databases, changed int) error {
	l.revision++
	list := fullList(l.revision, databases, func(k int) string {
		if k < changed {
			return fmt.Sprintf("db-%d-%d", k, l.revision)
		}
		return fmt.Sprintf("db-%d", k)
	})
	if _, err := l.follower.ApplyConfig(list); err != nil {
		return err
	}
	if l.followerOnly {
		return nil
	}
	l.pool.UpdateServers(l.follower.List(), l.follower.Addr)
	l.controllerDriver.controller.UpdateServers(l.controllerDriver.now, admission.Full, l.follower.List())
	return nil
}

// fullList returns a complete list as a configuration has it. Each database has its own address.
func fullList(revision uint32, databases int, name func(k int) string) discovery.ConfiguredList {
	event := discovery.Event{Rev: revision}
	event.Pool = &struct {
		All     bool               `json:"all"`
		Targets []discovery.Target `json:"targets"`
	}{All: true}
	for k := range databases {
		event.Pool.Targets = append(event.Pool.Targets, discovery.Target{UID: name(k),
			Endpoint: fmt.Sprintf("127.1.%d.%d:4100", k/250, 1+k%250), Zone: "east", Kind: "std", State: "ready", Weight: 8})
	}
	return discovery.ConfiguredList{Rev: revision, Notices: []discovery.Event{event}}
}

// listChanges measures how long a complete list occupies the owner goroutine, with one, a tenth or half of the databases new.
func listChanges(short bool) ([]measure.Row, error) {
	sizes := []int{72, 250, 1000, 2000, TargetDatabases}
	rounds := 5
	if short {
		sizes, rounds = []int{72, 250, 1000, TargetDatabases}, 3
	}
	var rows []measure.Row
	for _, change := range []struct {
		name         string
		changedCount func(databases int) int
		followerOnly bool
	}{{"one", func(int) int { return 1 }, false}, {"a tenth", func(n int) int { return n / 10 }, false},
		{"half", func(n int) int { return n / 2 }, false}, {"one, the list's follower alone,", func(int) int { return 1 }, true}} {
		var items []workItem
		var applyErr error
		for _, databases := range sizes {
			applier, err := newListApplier(databases)
			if err != nil {
				return nil, err
			}
			applier.followerOnly = change.followerOnly
			items = append(items, workItem{1, func() {
				if err := applier.apply(databases, change.changedCount(databases)); err != nil {
					applyErr = err
				}
			}})
		}
		costs := medianCosts(rounds, items)
		if applyErr != nil {
			return nil, applyErr
		}
		for k := range costs {
			costs[k] /= 1000 // ms
		}
		changeRows, err := quadraticRows(fmt.Sprintf("owner goroutine busy with a list of which %s is new, ms", change.name), sizes, costs)
		if err != nil {
			return nil, err
		}
		rows = append(rows, changeRows...)
	}
	return rows, nil
}

// quadraticRows returns the costs by size and a fit over the square of the size, for work that compares each database with each other.
func quadraticRows(name string, sizes []int, costs []float64) ([]measure.Row, error) {
	var rows []measure.Row
	var points []Point
	for k, size := range sizes {
		rows = append(rows, measure.Figure(fmt.Sprintf("%s: %d", name, size), costs[k]))
		points = append(points, Point{float64(size) * float64(size), costs[k]})
	}
	fit, err := FitRelative(points)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	span := fmt.Sprintf("%s: fit over the square, from %d to %d, ", name, sizes[0], sizes[len(sizes)-1])
	return append(rows,
		measure.Figure(span+"slope for a million", fit.Slope*1e6),
		measure.Figure(span+"slope's standard error", fit.SlopeError*1e6),
		measure.Figure(span+"intercept", fit.Intercept)), nil
}
