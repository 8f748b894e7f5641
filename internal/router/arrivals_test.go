package router

import (
	"fmt"
	"testing"

	"dunereach/internal/fake"
)

// tickSessions advances the timers of all client connections by the given number of ticks.
func (h *harness) tickSessions(ticks int) {
	for range ticks {
		for s := range h.sessions {
			s.Tick()
		}
	}
}

// openSerials returns the serial numbers of the connections, with false for those that are closing.
func (h *harness) openSerials() map[uint64]bool {
	open := map[uint64]bool{}
	for s := range h.sessions {
		open[s.Serial] = !s.Closing()
	}
	return open
}

// TestArrivalWaits guards against closing a client unread, or closing a new client to free a descriptor, when a descriptor is about to
// become free. A new connection waits until others have had time to send a request; later ones queue in the kernel.
func TestArrivalWaits(t *testing.T) {
	const maxClients = 18
	h := newHarness(t, 48, 0)
	go h.accept(h.listener)
	for range maxClients {
		h.client()
		h.acceptClient(<-h.nextArrival(), false)
	}
	late := h.client()
	h.call(late, "a")
	h.acceptClient(<-h.nextArrival(), false)
	h.admitPending(false)
	if len(h.sessions) != maxClients || h.nextArrival() != nil {
		t.Fatalf("%d connections, want %d and one that waits", len(h.sessions), maxClients)
	}
	h.tickSessions(3)
	h.admitPending(false)
	if open := h.openSerials(); open[1] || !open[2] || !open[maxClients+1] || h.nextArrival() == nil {
		t.Errorf("open connections are %v, want all but the oldest", open)
	}
	h.deliver(1) // the request, or the end of the connection that was closed
	h.deliver(1)
	if h.Unanswered() != 1 {
		t.Errorf("%d requests are in progress, want 1", h.Unanswered())
	}
}

// TestArrivalWaitsInVain guards against waiting forever: a new connection is rejected once no other can free a descriptor.
func TestArrivalWaitsInVain(t *testing.T) {
	const maxClients = 18
	h := newHarness(t, 48, 0)
	go h.accept(h.listener)
	var clients []*fake.Client
	for range maxClients {
		clients = append(clients, h.client())
		h.acceptClient(<-h.nextArrival(), false)
	}
	late := h.client()
	h.acceptClient(<-h.nextArrival(), false)
	for k, c := range clients { // each sends a request after all
		c.Call("SELECT 1", "service", "lookup", "project", "acme", "allow", "20000", "ref", fmt.Sprintf("%016x", k+1))
		h.deliver(1)
	}
	h.admitPending(false)
	if h.nextArrival() == nil {
		t.Fatal("the connection waits though no other can free a descriptor")
	}
	h.call(late, "f")
	h.deliver(1)
	h.expectReply(late, rejectedReply)
}

// TestUnreadStays guards against closing an idle connection that has an unread request: the next oldest is closed instead.
func TestUnreadStays(t *testing.T) {
	const maxClients = 18
	h := newHarness(t, 48, 0)
	go h.accept(h.listener)
	var clients []*fake.Client
	for range maxClients {
		c := h.client()
		h.acceptClient(<-h.nextArrival(), false)
		c.SendHealthCheck()
		h.deliver(1)
		c.NextAnswer()
		h.tickSessions(1)
		clients = append(clients, c)
	}
	h.call(clients[0], "a")
	h.waitForInput(1)
	h.client()
	h.acceptClient(<-h.nextArrival(), false)
	if open := h.openSerials(); !open[1] || open[2] {
		t.Errorf("open connections are %v, want the oldest, and not the next", open)
	}
	h.deliver(2)
	if h.Unanswered() != 1 {
		t.Errorf("%d requests are in progress, want 1", h.Unanswered())
	}
}
