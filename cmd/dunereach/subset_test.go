package main

import (
	"slices"
	"testing"

	"dunereach/internal/fake"
)

// TestSubset: a router with a subset sends requests only to the servers in it, and to others once those are unreachable.
func TestSubset(t *testing.T) {
	w := prepareCluster(t, 6, 1024)
	w.writeOperatorFile(`{"subset":{"size":2,"room":0,"least":0}}`)
	w.start()
	c := fake.NewClient(t, w.addr)
	var subset []*fake.Server
	const requests = 8 // concurrent, so that they spread over all servers in the subset
	var running []fake.Message
	for range requests {
		w.request(c, "lookup", 30000, "SELECT 1")
	}
	for range requests {
		s := w.receive("fetch")
		if running = append(running, s); !slices.Contains(subset, s.Server) {
			subset = append(subset, s.Server)
		}
	}
	if len(subset) != 2 {
		t.Fatalf("%d servers received requests, the subset has 2", len(subset))
	}
	for _, s := range running {
		s.Answer("served", "count=1", "x\t\t\n")
		c.NextAnswer()
	}

	w.cmd.Process.Kill()
	for range w.logLines { // until the process closes it
	}
	for _, e := range subset {
		e.Close()
	}
	w.start() // the same name gives the same subset
	c = fake.NewClient(t, w.addr)
	for range 6 {
		if s := w.completeRequest(c, "order"); slices.Contains(subset, s.Server) {
			t.Error("an unreachable server received a request")
		}
	}
}
