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

// heapOf is the live heap that what is made holds, in bytes, over so many of them.
func heapOf(count int, build func() any) float64 {
	held := make([]any, 0, count)
	before := liveHeap()
	for range count {
		held = append(held, build())
	}
	after := liveHeap()
	runtime.KeepAlive(held)
	return (float64(after) - float64(before)) / float64(count)
}

func liveHeap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC() // what finalizers freed by the first goes with the second
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// heapSlope measures the module's heap over sizes, in KB, and fits a line.
func heapSlope(name string, sizes []int, build func(size int) any) ([]measure.Row, Fit, error) {
	const bytesPerKB = 1000
	costs := make([]float64, len(sizes))
	for k, size := range sizes {
		count := max(2000/size, 2) // small ones are made often: the heap is counted in pages
		costs[k] = heapOf(count, func() any { return build(size) }) / bytesPerKB
	}
	return slopeRows(name, sizes, costs)
}

// moduleMemory is the heap of the module by databases, with the target's routers and with today's, by classes and by tenants.
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
			return newDecider(settings, size)
		}
	}
	var rows []measure.Row
	var atTarget Fit
	for _, routers := range []int{1, 300, TargetRouters} {
		name := fmt.Sprintf("module's heap, KB, by databases, %d routers in the settings", routers)
		some, fit, err := heapSlope(name, databases, withRouters(routers))
		if err != nil {
			return nil, err
		}
		rows, atTarget = append(rows, some...), fit
	}
	rows = append(rows,
		measure.Figure("module's heap at the target, whole pool, MB", atTarget.At(TargetDatabases)/1000),
		measure.Figure("module's heap at the target, subset of 64, MB", atTarget.At(64)/1000))
	some, _, err := heapSlope("module's heap, KB, by classes", classes, func(size int) any {
		settings := routerSettings()
		for len(settings.Profiles) < size {
			settings.Profiles = append(settings.Profiles, settings.Profiles[0])
		}
		return newDecider(settings, 8)
	})
	if err != nil {
		return nil, err
	}
	rows = append(rows, some...)
	some, _, err = heapSlope("module's heap, KB, by tenants", tenants, func(size int) any {
		settings := routerSettings()
		settings.Tenants = make([]admission.Tenant, size)
		for k := range settings.Tenants {
			settings.Tenants[k].QuotaPerS = 1000
		}
		return newDecider(settings, 8)
	})
	return append(rows, some...), err
}

// nobody owns a pool of connections that carries nothing.
type nobody struct{}

func (nobody) AttemptEnded(*backends.Attempt, admission.End)                        {}
func (nobody) AttemptProgressed(*backends.Attempt, admission.ProgressKind, float64) {}
func (nobody) ConnLost(uint32, transport.Ending)                                    {}
func noLine(netip.AddrPort, transport.Sink) backends.Connection                     { return nil }

// listTaker is what the router's owner goroutine runs when a list comes: the follower, the connections' pool, the module.
type listTaker struct {
	follower *discovery.Follower
	pool     *backends.Pool
	decider  *decider
	revision uint32
	alone    bool // the follower alone takes lists
}

func newListTaker(databases int) (*listTaker, error) {
	taker := &listTaker{follower: discovery.New([]string{"east"}, []string{"std"}),
		pool:    backends.New(nobody{}, backends.Limits{StreamsPerConn: 100, MaxConns: 5000, IdleTimeout: 30, StallTimeout: 0.25}, noLine),
		decider: &decider{}}
	settings := routerSettings()
	taker.decider.module = admission.New(settings, 0, &taker.decider.host)
	return taker, taker.take(databases, 0)
}

// take has a whole list come whose first so many databases have new names, so that as many old ones are gone.
func (l *listTaker) take(databases, changed int) error {
	l.revision++
	known := wholeList(l.revision, databases, func(k int) string {
		if k < changed {
			return fmt.Sprintf("db-%d-%d", k, l.revision)
		}
		return fmt.Sprintf("db-%d", k)
	})
	if _, err := l.follower.ApplyConfig(known); err != nil {
		return err
	}
	if l.alone {
		return nil
	}
	l.pool.UpdateServers(l.follower.List(), l.follower.Addr)
	l.decider.module.UpdateServers(l.decider.now, admission.Full, l.follower.List())
	return nil
}

// wholeList is an event of the list, as a configuration has it, with all databases at addresses of their own.
func wholeList(revision uint32, databases int, name func(k int) string) discovery.ConfiguredList {
	notice := discovery.Event{Rev: revision}
	notice.Pool = &struct {
		All     bool               `json:"all"`
		Targets []discovery.Target `json:"targets"`
	}{All: true}
	for k := range databases {
		notice.Pool.Targets = append(notice.Pool.Targets, discovery.Target{UID: name(k),
			Endpoint: fmt.Sprintf("127.1.%d.%d:4100", k/250, 1+k%250), Zone: "east", Kind: "std", State: "ready", Weight: 8})
	}
	return discovery.ConfiguredList{Rev: revision, Notices: []discovery.Event{notice}}
}

// listChanges is how long the owner's goroutine is busy with a whole list of which one, a tenth or half of the databases are new.
func listChanges(short bool) ([]measure.Row, error) {
	sizes := []int{72, 250, 1000, 2000, TargetDatabases}
	rounds := 5
	if short {
		sizes, rounds = []int{72, 250, 1000, TargetDatabases}, 3
	}
	var rows []measure.Row
	for _, change := range []struct {
		name  string
		of    func(databases int) int
		alone bool
	}{{"one", func(int) int { return 1 }, false}, {"a tenth", func(n int) int { return n / 10 }, false},
		{"half", func(n int) int { return n / 2 }, false}, {"one, the list's follower alone,", func(int) int { return 1 }, true}} {
		var pieces []piece
		var failed error
		for _, databases := range sizes {
			taker, err := newListTaker(databases)
			if err != nil {
				return nil, err
			}
			taker.alone = change.alone
			pieces = append(pieces, piece{1, func() {
				if err := taker.take(databases, change.of(databases)); err != nil {
					failed = err
				}
			}})
		}
		costs := medianCosts(rounds, pieces)
		if failed != nil {
			return nil, failed
		}
		for k := range costs {
			costs[k] /= 1000 // ms
		}
		some, err := squareRows(fmt.Sprintf("owner busy with a list of which %s is new, ms", change.name), sizes, costs)
		if err != nil {
			return nil, err
		}
		rows = append(rows, some...)
	}
	return rows, nil
}

// squareRows are costs by size and a line over the square of the size, where each database is compared with each.
func squareRows(name string, sizes []int, costs []float64) ([]measure.Row, error) {
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
