package router

import (
	"testing"
	"time"

	"dunereach/internal/fake"
)

// expectNothingSent checks that no server is sent anything, until well after the 0.3 s that are allowed after a client has left.
func (h *harness) expectNothingSent() {
	h.t.Helper()
	late := time.After(400 * time.Millisecond)
	for {
		select {
		case s := <-h.received:
			h.t.Fatalf("a server was sent %q", s.Words)
		case e := <-h.inbox:
			h.Deliver(h.clock.now(), e)
		case <-late:
			return
		case <-time.After(10 * time.Millisecond):
			h.Tick(h.clock.now())
		}
	}
}

// leaveWhile makes a client send a request and leave, while the request is queued for lack of a server, or while it waits for a connection.
func (h *harness) leaveWhile(held bool, leave func(c *fake.Client)) *fake.Client {
	h.t.Helper()
	go h.accept(h.listener)
	c := h.client()
	h.acceptClient(<-h.arrivals, false)
	if !held {
		h.listServer(0)
	}
	h.call(c, "a")
	h.deliver(1)
	if h.Unanswered() != 1 {
		h.t.Fatal("the request is not in progress")
	}
	if held {
		leave(c)
		h.deliver(1)
		h.listServer(0)
		return c
	}
	connected := <-h.inbox // the connection is established, which the owner does not know yet
	leave(c)
	h.deliver(1)
	h.Deliver(h.clock.now(), connected)
	return c
}

// TestLeft guards against sending a request whose client has left: neither from the queue nor when the connection that it waits for is
// established. The test forces the order: the owner learns of the departure first.
func TestLeft(t *testing.T) {
	departures := map[string]func(c *fake.Client){
		"closes":      func(c *fake.Client) { c.Disconnect() },
		"half-closes": func(c *fake.Client) { c.HalfClose() },
		"cancels":     func(c *fake.Client) { c.Cancel(1) },
	}
	for name, leave := range departures {
		for state, held := range map[string]bool{"in the queue": true, "waiting for its connection": false} {
			t.Run(name+" "+state, func(t *testing.T) {
				h := newHarness(t, 100, 1)
				c := h.leaveWhile(held, leave)
				h.expectNothingSent()
				if h.Unanswered() != 0 || len(h.requests) != 0 {
					t.Error("the request is still in progress")
				}
				if name == "half-closes" {
					h.expectReply(c, rejectedReply)
					h.expectReply(c, "closed")
				}
			})
		}
	}
}

// newRunningRequest creates a harness with one request that runs at a server.
func newRunningRequest(t *testing.T) (h *harness, c *fake.Client, s fake.Message) {
	h = newHarness(t, 100, 1)
	h.listServer(0)
	go h.accept(h.listener)
	c = h.client()
	h.acceptClient(<-h.arrivals, false)
	h.call(c, "a")
	h.deliver(2) // the request, and the server's connection
	return h, c, <-h.received
}

// TestRunsOn: a running request goes on when its client half-closes the connection, and the client gets the answer if it still reads.
func TestRunsOn(t *testing.T) {
	h, c, s := newRunningRequest(t)
	c.HalfClose()
	h.deliver(1)
	s.Answer("served", "count=1", "x\t\t\n")
	h.deliver(1)
	h.expectReply(c, "2/1 call{ 0={ 1=\"x\\t\\t\\n\" 2=[ ] 3=1 } }")
	h.expectReply(c, "closed")
}

// TestRepeatTooLate guards against running a request twice: a retry is not sent if its connection is established only after the window in
// which servers drop repeats. As the request may have run, the client gets a failure and not a rejection.
func TestRepeatTooLate(t *testing.T) {
	h := newHarness(t, 100, 2)
	h.listServer(0)
	go h.accept(h.listener)
	c := h.client()
	h.acceptClient(<-h.arrivals, false)
	h.callProfile(c, "once", "a")
	h.deliver(2)
	first := h.clock.now()
	s := <-h.received
	h.listServer(1)
	s.Reset()
	h.deliver(1)           // the retry waits for a connection to the other server
	connected := <-h.inbox // which is established, but the owner does not know it yet
	for h.clock.now() < first+dedupWindow {
		time.Sleep(10 * time.Millisecond)
	}
	h.Deliver(h.clock.now(), connected)
	h.expectNothingSent()
	h.expectReply(c, "2/1 call{ 2={ 1=[ ] } }")
}

// TestClosedIdle: a server closes an idle connection at the moment when a non-idempotent request is sent on it. Nothing is written to a
// connection whose end has been read, so the request has not run and is sent again on another connection.
func TestClosedIdle(t *testing.T) {
	h, c, s := newRunningRequest(t)
	s.Answer("served", "count=1", "x\t\t\n")
	h.deliver(1)
	c.NextAnswer()
	s.Disconnect()
	end := <-h.inbox // read, but the owner does not know it yet
	h.callProfile(c, "never", "b")
	h.deliver(1)
	time.Sleep(20 * time.Millisecond) // enough for a writer to write what it may
	h.Deliver(h.clock.now(), end)
	for sent := false; !sent; {
		select {
		case s := <-h.received:
			s.Answer("served", "count=1", "y\t\t\n")
			sent = true
		case e := <-h.inbox:
			h.Deliver(h.clock.now(), e)
		case <-time.After(fake.Timeout):
			t.Fatal("nothing was sent")
		}
	}
	h.deliver(1)
	h.expectReply(c, "2/2 call{ 0={ 1=\"y\\t\\t\\n\" 2=[ ] 3=1 } }")
}
