package main

import (
	"fmt"
	"testing"
	"time"

	"dunereach/internal/fake"
)

// TestFlowLost: when answers to the router's socket are lost, the router must receive the list on another socket, well before the
// change counts as reported.
func TestFlowLost(t *testing.T) {
	w := newCluster(t, 2)
	w.nameServer.AwaitQuery() // from the socket whose answers are lost next
	w.nameServer.IgnoreClients()
	w.nameServer.SetList(2, fmt.Sprintf("s-0.east 0 10 std 0 0 %s", w.servers[0].Addr), fmt.Sprintf("s-1.east 1 10 std 0 0 %s", w.servers[1].Addr))
	from := time.Now()
	w.waitForLog(`"list of engines","rev":2`)
	if took := time.Since(from); took > 3*time.Second {
		t.Errorf("the list arrived after %v", took)
	}
	c := fake.NewClient(t, w.addr)
	for range 9 {
		if s := w.completeRequest(c, "lookup"); s.Server != w.servers[0] {
			t.Error("a draining server received a request")
		}
	}
}
