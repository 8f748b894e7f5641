package admission

import (
	"runtime"
	"testing"
	"time"
)

// TestListsCostTheirLength: a list of eight times the databases is merged in about eight times the time, and not the square of that.
func TestListsCostTheirLength(t *testing.T) {
	const few, times, mostTimes = 500, 8, 24
	small, large := fastestMerge(few), fastestMerge(few*times)
	t.Logf("%v for %d databases, %v for %d", small, few, large, few*times)
	if large > mostTimes*small {
		t.Errorf("%d databases take %v, %d take %v", few, small, few*times, large)
	}
}

// fastestMerge is the shortest of some times in which a list that is known comes again, less one database: what else the machine does
// lengthens them.
func fastestMerge(databases int) time.Duration {
	list := make([]Entry, databases)
	for k := range list {
		list[k] = Entry{Engine: uint32(k + 1), State: Ready}
	}
	p := newPool(1)
	p.merge(Full, list, func(*server) {})
	shortest := time.Hour
	for range 9 {
		began := time.Now()
		p.merge(Full, list[1:], func(*server) {})
		shortest = min(shortest, time.Since(began))
	}
	if first := p.servers[p.index[1]]; first.State != Gone {
		return 0
	}
	return shortest
}

// TestSilentRoutersTakeNoMemory: a database's state does not grow with the number of routers while none of them tells its load.
func TestSilentRoutersTakeNoMemory(t *testing.T) {
	list := make([]Entry, 100)
	for k := range list {
		list[k] = Entry{Engine: uint32(k + 1), State: Ready}
	}
	allocated := func(routers int) uint64 {
		p := newPool(routers)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		p.merge(Full, list, func(*server) {})
		runtime.ReadMemStats(&after)
		return after.TotalAlloc - before.TotalAlloc
	}
	few, many := allocated(1), allocated(1600)
	if many > few+1024 {
		t.Errorf("100 databases take %d bytes with one router and %d with 1,600", few, many)
	}
}
