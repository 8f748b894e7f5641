package main

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dunereach/internal/fake"
)

// TestThirtyRestart: thirty routers that serve are killed and started again at once while discovery is down. Nine in ten are ready within
// 10 s, and hear of the list within a second of its return; all serve then.
func TestThirtyRestart(t *testing.T) {
	const routers, nine = 30, 27
	w := make([]*town, routers)
	for k := range w {
		w[k] = newTown(t, 1)
	}
	for _, r := range w {
		if !fake.NewClient(t, r.addr).Health() {
			t.Fatal("not ready at first")
		}
		r.names.Down(true)
	}
	for _, r := range w {
		r.cmd.Process.Kill()
		r.cmd.Wait()
	}
	from := time.Now()
	for _, r := range w {
		r.start()
	}
	ready := times(w, func(r *town) time.Time {
		r.logged("serving")
		if !fake.NewClient(t, r.addr).Health() {
			t.Error("not ready")
		}
		return from
	})
	for _, r := range w {
		r.logged("the name server does not answer")
	}
	back := time.Now()
	for _, r := range w {
		r.names.Set(2, fmt.Sprintf("s-0.east 0 10 std 0 0 %s", r.engines[0].Addr))
		r.names.Down(false)
	}
	heard := times(w, func(r *town) time.Time {
		r.logged(`"list of engines","rev":2`)
		return back
	})
	for _, r := range w {
		r.serve(fake.NewClient(t, r.addr), "lookup")
	}
	t.Logf("ready after %v (nine in ten), %v (last); the list heard after %v, %v", ready[nine-1], ready[routers-1], heard[nine-1], heard[routers-1])
	if ready[nine-1] > 10*time.Second || heard[nine-1] > time.Second {
		t.Errorf("nine in ten are ready after %v and hear of the list after %v", ready[nine-1], heard[nine-1])
	}
}

// times waits for something of all routers at once, and gives how long each took, in order.
func times(all []*town, wait func(*town) (from time.Time)) []time.Duration {
	took := make(chan time.Duration, len(all))
	for _, r := range all {
		go func() {
			var from time.Time
			defer func() { took <- time.Since(from) }() // also where it is waited for in vain
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
