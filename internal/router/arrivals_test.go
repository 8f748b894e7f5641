package router

import (
	"fmt"
	"testing"

	"dunereach/internal/fake"
)

// tickSessions makes time go on for all clients' connections, by so many ticks.
func (h *harness) tickSessions(ticks int) {
	for range ticks {
		for s := range h.sessions {
			s.Tick()
		}
	}
}

// openSerials is which connections are there.
func (h *harness) openSerials() map[uint64]bool {
	open := map[uint64]bool{}
	for s := range h.sessions {
		open[s.Serial] = !s.Closing()
	}
	return open
}

// TestArrivalWaits guards against a client that is closed unread, or a new one closed to make room, where room comes within moments: an
// arrival waits until others have had their time to ask, and those behind it wait with the system.
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
		t.Fatalf("%d connections are there, want %d and an arrival that waits", len(h.sessions), maxClients)
	}
	h.tickSessions(3)
	h.admitPending(false)
	if open := h.openSerials(); open[1] || !open[2] || !open[maxClients+1] || h.nextArrival() == nil {
		t.Errorf("connections %v are there, want all but the oldest", open)
	}
	h.deliver(1) // the call, or the end of the one that made room
	h.deliver(1)
	if h.Owed() != 1 {
		t.Errorf("%d requests are in hand, want 1", h.Owed())
	}
}

// TestArrivalWaitsInVain: where a connection gives no room though it might have, an arrival waits for a bounded time.
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
	for k, c := range clients { // each asks after all
		c.Call("SELECT 1", "service", "lookup", "project", "acme", "allow", "20000", "ref", fmt.Sprintf("%016x", k+1))
		h.deliver(1)
	}
	h.admitPending(false)
	if h.nextArrival() == nil {
		t.Fatal("it waits though no connection gives room")
	}
	h.call(late, "f")
	h.deliver(1)
	h.expectReply(late, rejectedReply)
}

// TestUnreadStays guards against a resting connection that is closed over a request which was not read: the next one makes room.
func TestUnreadStays(t *testing.T) {
	const maxClients = 18
	h := newHarness(t, 48, 0)
	go h.accept(h.listener)
	var clients []*fake.Client
	for range maxClients {
		c := h.client()
		h.acceptClient(<-h.nextArrival(), false)
		c.AskHealth()
		h.deliver(1)
		c.Next()
		h.tickSessions(1)
		clients = append(clients, c)
	}
	h.call(clients[0], "a")
	h.waitForInput(1)
	h.client()
	h.acceptClient(<-h.nextArrival(), false)
	if open := h.openSerials(); !open[1] || open[2] {
		t.Errorf("connections %v are there, want the oldest, and not the next", open)
	}
	h.deliver(2)
	if h.Owed() != 1 {
		t.Errorf("%d requests are in hand, want 1", h.Owed())
	}
}
