package main

import (
	"fmt"
	"testing"
	"time"

	"dunereach/internal/fake"
)

// TestFlowLost: where nothing that is sent from the router's socket is answered any more, the list is heard of on another, well
// before its news counts as told.
func TestFlowLost(t *testing.T) {
	w := newCluster(t, 2)
	w.nameServer.Asked() // from the socket that is lost then
	w.nameServer.Forget()
	w.nameServer.Set(2, fmt.Sprintf("s-0.east 0 10 std 0 0 %s", w.servers[0].Addr), fmt.Sprintf("s-1.east 1 10 std 0 0 %s", w.servers[1].Addr))
	from := time.Now()
	w.waitForLog(`"list of engines","rev":2`)
	if took := time.Since(from); took > 3*time.Second {
		t.Errorf("it took %v", took)
	}
	c := fake.NewClient(t, w.addr)
	for range 9 {
		if s := w.completeRequest(c, "lookup"); s.Engine != w.servers[0] {
			t.Error("a draining engine was sent something")
		}
	}
}
