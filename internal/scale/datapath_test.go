package scale

import (
	"testing"

	"dunereach/admission"
)

// The list by DNS is limited by the size of an answer: one more database does not fit, and the target has far more.
func TestListByDNSEnds(t *testing.T) {
	for _, length := range []int{5, 12, 36} {
		maxDatabases := maxListed(length)
		if !answerFits(maxDatabases, length) || answerFits(maxDatabases+1, length) {
			t.Errorf("names of %d letters: %d databases are not the largest number that fits", length, maxDatabases)
		}
		if maxDatabases < 50 || maxDatabases > 90 {
			t.Errorf("names of %d letters: %d databases in one answer", length, maxDatabases)
		}
	}
}

// The timed decisions are real: each request is attempted at a database of the pool, and none is rejected.
func TestDeciderAttemptsEachRequest(t *testing.T) {
	const databases, requests = 72, 500
	d := newControllerDriver(routerSettings(), databases)
	for range requests {
		d.host.database = 0
		d.handleRequests(1)
		if at := d.host.database; at < 1 || at > databases {
			t.Fatalf("request %d went to %d", d.lastID, at)
		}
	}
}

// A list that is applied reaches the controller, even if half of it is new.
func TestListTakerChangesTheModulesList(t *testing.T) {
	const databases = 100
	applier, err := newListApplier(databases)
	if err != nil {
		t.Fatal(err)
	}
	removed := applier.follower.List()[0].Server
	if err := applier.apply(databases, databases/2); err != nil {
		t.Fatal(err)
	}
	if _, _, _, listed := applier.controllerDriver.controller.Health(removed); listed {
		t.Error("a database that was removed from the list still counts as ready")
	}
	listed := 0
	for _, entry := range applier.follower.List() {
		if _, _, _, ok := applier.controllerDriver.controller.Health(entry.Server); ok && entry.State == admission.Ready {
			listed++
		}
	}
	if listed != databases {
		t.Errorf("the controller has %d of %d databases", listed, databases)
	}
}
