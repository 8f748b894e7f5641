package main

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dunereach/internal/fake"
)

// TestThirtyRestart: thirty serving routers are killed and restarted at once while the name server is down. Nine in ten must be
// ready within 10 s, and receive the list within a second of the name server's return. All of them must serve then.
func TestThirtyRestart(t *testing.T) {
	const routers, ninetyPercent = 30, 27
	w := make([]*cluster, routers)
	for k := range w {
		w[k] = newCluster(t, 1)
	}
	for _, r := range w {
		if !fake.NewClient(t, r.addr).Health() {
			t.Fatal("not ready at first")
		}
		r.nameServer.SetDown(true)
	}
	for _, r := range w {
		r.cmd.Process.Kill()
		r.cmd.Wait()
	}
	from := time.Now()
	for _, r := range w {
		r.start()
	}
	readyAfter := sortedWaits(w, func(r *cluster) time.Time {
		r.waitForLog("serving")
		if !fake.NewClient(t, r.addr).Health() {
			t.Error("not ready")
		}
		return from
	})
	for _, r := range w {
		r.waitForLog("the name server does not answer")
	}
	returnedAt := time.Now()
	for _, r := range w {
		r.nameServer.SetList(2, fmt.Sprintf("s-0.east 0 10 std 0 0 %s", r.servers[0].Addr))
		r.nameServer.SetDown(false)
	}
	listAfter := sortedWaits(w, func(r *cluster) time.Time {
		r.waitForLog(`"list of engines","rev":2`)
		return returnedAt
	})
	for _, r := range w {
		r.completeRequest(fake.NewClient(t, r.addr), "lookup")
	}
	t.Logf("ready after %v (nine in ten), %v (last); list received after %v, %v", readyAfter[ninetyPercent-1], readyAfter[routers-1], listAfter[ninetyPercent-1], listAfter[routers-1])
	if readyAfter[ninetyPercent-1] > 10*time.Second || listAfter[ninetyPercent-1] > time.Second {
		t.Errorf("nine in ten are ready after %v and receive the list after %v", readyAfter[ninetyPercent-1], listAfter[ninetyPercent-1])
	}
}

// sortedWaits runs wait for all routers at once and returns how long each took, in ascending order.
func sortedWaits(all []*cluster, wait func(*cluster) (from time.Time)) []time.Duration {
	took := make(chan time.Duration, len(all))
	for _, r := range all {
		go func() {
			var from time.Time
			defer func() { took <- time.Since(from) }() // also if the wait fails the test
			from = wait(r)
		}()
	}
	var sorted []time.Duration
	for range all {
		sorted = append(sorted, <-took)
	}
	slices.Sort(sorted)
	return sorted
}
