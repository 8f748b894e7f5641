package router

import (
	"fmt"
	"testing"
	"time"

	"dunereach/admission"
	"dunereach/internal/fake"
)

// unreadRequests is more than a connection's reader holds, so that some lie in the system's buffers.
const unreadRequests = 30

// sendMany sends requests in one write.
func sendMany(c *fake.Client, first int) {
	var b []byte
	for k := range unreadRequests {
		b = append(b, fake.Call(int32(first+k), "SELECT 1", "service", "lookup", "project", "acme", "allow", "20000", "ref", fmt.Sprintf("%016x", first+k))...)
	}
	c.SendRaw(b)
}

// leaves are the ways in which a client closes its connection.
var leaves = map[string]func(c *fake.Client){
	"resets": (*fake.Client).Reset,
	"closes": (*fake.Client).Disconnect,
}

// TestLeftBehindUnread guards against attempts for requests that were read after their client had closed the connection, behind much that was
// unread.
func TestLeftBehindUnread(t *testing.T) {
	for name, leave := range leaves {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBusyHarness(t)
			sendMany(b.client, 1)
			b.waitForInput(1)
			leave(b.client)
			time.Sleep(ownerBlockedFor)
			b.deliver(1)
			for range 20 { // until nothing is held back any more as the owner was blocked; the rest of the input is still unread
				time.Sleep(10 * time.Millisecond)
				b.Tick(b.clock.now())
			}
			b.expectNothingSent()
			if len(b.requests) != 0 {
				t.Errorf("%d requests are in progress", len(b.requests))
			}
		})
	}
}

// TestLeftWhileHeld guards against attempts for requests that were held when their client closed the connection, behind much that was unread.
func TestLeftWhileHeld(t *testing.T) {
	for name, leave := range leaves {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBusyHarness(t)
			b.list = b.list[:0]
			b.Members(b.clock.now(), admission.Full, nil, func() { b.pool.UpdateServers(nil, nil) })
			b.deliver(2) // the server's connections end
			b.call(b.client, "a")
			b.deliver(1)
			sendMany(b.client, 2)
			b.waitForInput(1)
			leave(b.client)
			time.Sleep(20 * time.Millisecond) // until the close has come
			b.tickSessions(1)
			if len(b.requests) != 0 {
				t.Errorf("%d requests are in progress", len(b.requests))
			}
			b.listServer(0)
			time.Sleep(20 * time.Millisecond)
			b.expectNothingSent()
		})
	}
}
