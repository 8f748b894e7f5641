package router

import (
	"fmt"
	"testing"

	"dunereach/internal/fake"
)

// tick makes time go on for all clients' connections, by so many ticks.
func (h *hall) tick(ticks int) {
	for range ticks {
		for s := range h.sessions {
			s.Tick()
		}
	}
}

// serials is which connections are there.
func (h *hall) serials() map[uint64]bool {
	there := map[uint64]bool{}
	for s := range h.sessions {
		there[s.Serial] = !s.Closing()
	}
	return there
}

// TestArrivalWaits guards against a client that is closed unread, or a new one closed to make room, where room comes within moments: an
// arrival waits until others have had their time to ask, and those behind it wait with the system.
func TestArrivalWaits(t *testing.T) {
	const room = 18
	h := newHall(t, 48, 0)
	go h.accept(h.listener)
	for range room {
		h.client()
		h.arrive(<-h.accepting(), false)
	}
	late := h.client()
	h.call(late, "a")
	h.arrive(<-h.accepting(), false)
	h.arriveHeld(false)
	if len(h.sessions) != room || h.accepting() != nil {
		t.Fatalf("%d connections are there, want %d and an arrival that waits", len(h.sessions), room)
	}
	h.tick(3)
	h.arriveHeld(false)
	if there := h.serials(); there[1] || !there[2] || !there[room+1] || h.accepting() == nil {
		t.Errorf("connections %v are there, want all but the oldest", there)
	}
	h.deliver(1) // the call, or the end of the one that made room
	h.deliver(1)
	if h.Owed() != 1 {
		t.Errorf("%d requests are in hand, want 1", h.Owed())
	}
}

// TestArrivalWaitsInVain: where a connection gives no room though it might have, an arrival waits for a bounded time.
func TestArrivalWaitsInVain(t *testing.T) {
	const room = 18
	h := newHall(t, 48, 0)
	go h.accept(h.listener)
	var clients []*fake.Client
	for range room {
		clients = append(clients, h.client())
		h.arrive(<-h.accepting(), false)
	}
	late := h.client()
	h.arrive(<-h.accepting(), false)
	for k, c := range clients { // each asks after all
		c.Call("SELECT 1", "service", "lookup", "project", "acme", "allow", "20000", "ref", fmt.Sprintf("%016x", k+1))
		h.deliver(1)
	}
	h.arriveHeld(false)
	if h.accepting() == nil {
		t.Fatal("it waits though no connection gives room")
	}
	h.call(late, "f")
	h.deliver(1)
	h.expect(late, harmless)
}

// TestUnreadStays guards against a resting connection that is closed over a request which was not read: the next one makes room.
func TestUnreadStays(t *testing.T) {
	const room = 18
	h := newHall(t, 48, 0)
	go h.accept(h.listener)
	var clients []*fake.Client
	for range room {
		c := h.client()
		h.arrive(<-h.accepting(), false)
		c.AskHealth()
		h.deliver(1)
		c.Next()
		h.tick(1)
		clients = append(clients, c)
	}
	h.call(clients[0], "a")
	h.waiting(1)
	h.client()
	h.arrive(<-h.accepting(), false)
	if there := h.serials(); !there[1] || there[2] {
		t.Errorf("connections %v are there, want the oldest, and not the next", there)
	}
	h.deliver(2)
	if h.Owed() != 1 {
		t.Errorf("%d requests are in hand, want 1", h.Owed())
	}
}
