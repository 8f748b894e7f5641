package discovery

import (
	"fmt"
	"testing"
	"time"
)

// TestListCostIsLinear: a list of eight times the databases takes about eight times as long, not the square of that,
// also when it comes again with a later number.
func TestListCostIsLinear(t *testing.T) {
	const few, times, mostTimes = 500, 8, 24
	small, large := shortestTime(t, few), shortestTime(t, few*times)
	t.Logf("%v for %d databases, %v for %d", small, few, large, few*times)
	if large > mostTimes*small {
		t.Errorf("%d databases take %v, %d take %v", few, small, few*times, large)
	}
}

// shortestTime is the shortest of some times for applying a known list again, since other load on the machine
// lengthens them.
func shortestTime(t *testing.T, databases int) time.Duration {
	t.Helper()
	shortest := time.Hour
	for range 7 {
		f := New([]string{"hall"}, []string{"std"})
		for revision := uint32(1); revision <= 2; revision++ {
			known := configWith(databases, revision)
			began := time.Now()
			if fresh, err := f.ApplyConfig(known); err != nil || !fresh {
				t.Fatal(fresh, err)
			}
			if revision == 2 {
				shortest = min(shortest, time.Since(began))
			}
		}
		if len(f.List()) != databases {
			t.Fatalf("%d databases of %d", len(f.List()), databases)
		}
	}
	return shortest
}

func configWith(databases int, revision uint32) ConfiguredList {
	targets := make([]Target, databases)
	for k := range targets {
		targets[k] = Target{UID: fmt.Sprint("d-", k), Endpoint: "127.0.0.1:9", Zone: "hall", Kind: "std", State: "ready"}
	}
	known := ConfiguredList{Rev: revision, Notices: []Event{{Rev: revision}}}
	known.Notices[0].Pool = &struct {
		All     bool     `json:"all"`
		Targets []Target `json:"targets"`
	}{true, targets}
	return known
}
