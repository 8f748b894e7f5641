package admission

import (
	"runtime"
	"testing"
	"time"
)

// TestListsCostTheirLength guards against a merge that takes quadratic time: a list of eight times as many servers
// takes about eight times as long.
func TestListsCostTheirLength(t *testing.T) {
	const few, times, mostTimes = 500, 8, 24
	small, large := fastestMerge(few), fastestMerge(few*times)
	t.Logf("%v for %d servers, %v for %d", small, few, large, few*times)
	if large > mostTimes*small {
		t.Errorf("merging %d servers takes %v, merging %d takes %v", few, small, few*times, large)
	}
}

// fastestMerge is the shortest of several times for merging a known list with one server less. Other load on the
// machine can only lengthen them.
func fastestMerge(databases int) time.Duration {
	list := make([]Entry, databases)
	for k := range list {
		list[k] = Entry{Server: uint32(k + 1), State: Ready}
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

// TestSilentRoutersTakeNoMemory checks that the state of a server does not grow with the number of routers while none
// of them sends its load.
func TestSilentRoutersTakeNoMemory(t *testing.T) {
	list := make([]Entry, 100)
	for k := range list {
		list[k] = Entry{Server: uint32(k + 1), State: Ready}
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
		t.Errorf("100 servers take %d bytes with one router and %d with 1,600", few, many)
	}
}
