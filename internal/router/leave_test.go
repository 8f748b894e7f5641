package router

import (
	"testing"
	"time"

	"dunereach/internal/fake"
)

// expectNothingSent checks that no engine is sent anything, up to well past the 0.3 s that are allowed after a client has left.
func (h *harness) expectNothingSent() {
	h.t.Helper()
	late := time.After(400 * time.Millisecond)
	for {
		select {
		case s := <-h.received:
			h.t.Fatalf("an engine was sent %q", s.Words)
		case e := <-h.inbox:
			h.Deliver(h.clock.now(), e)
		case <-late:
			return
		case <-time.After(10 * time.Millisecond):
			h.Tick(h.clock.now())
		}
	}
}

// leaveWhile has a client ask and leave: while its request is held for want of a server, or while it waits for a connection.
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
	if h.Owed() != 1 {
		h.t.Fatal("it is not in hand")
	}
	if held {
		leave(c)
		h.deliver(1)
		h.listServer(0)
		return c
	}
	connected := <-h.inbox // the connection is there, and its owner yet to know
	leave(c)
	h.deliver(1)
	h.Deliver(h.clock.now(), connected)
	return c
}

// TestLeft: a command whose client has left, by whichever way, is not sent on: neither from the line nor when the connection
// that it waits for is up. The order is forced: the owner hears of the end first.
func TestLeft(t *testing.T) {
	departures := map[string]func(c *fake.Client){
		"closes":      func(c *fake.Client) { c.Leave() },
		"half-closes": func(c *fake.Client) { c.HalfClose() },
		"cancels":     func(c *fake.Client) { c.Cancel(1) },
	}
	for name, leave := range departures {
		for state, held := range map[string]bool{"in the line": true, "waiting for its connection": false} {
			t.Run(name+" "+state, func(t *testing.T) {
				h := newHarness(t, 100, 1)
				c := h.leaveWhile(held, leave)
				h.expectNothingSent()
				if h.Owed() != 0 || len(h.requests) != 0 {
					t.Error("it is still in hand")
				}
				if name == "half-closes" {
					h.expectReply(c, rejectedReply)
					h.expectReply(c, "closed")
				}
			})
		}
	}
}

// newRunningRequest has one command at an engine.
func newRunningRequest(t *testing.T) (h *harness, c *fake.Client, s fake.Said) {
	h = newHarness(t, 100, 1)
	h.listServer(0)
	go h.accept(h.listener)
	c = h.client()
	h.acceptClient(<-h.arrivals, false)
	h.call(c, "a")
	h.deliver(2) // its call, and the engine's connection
	return h, c, <-h.received
}

// TestRunsOn: what runs when its client closes its side goes on, and a client that still reads has its answer.
func TestRunsOn(t *testing.T) {
	h, c, s := newRunningRequest(t)
	c.HalfClose()
	h.deliver(1)
	s.Answer("served", "count=1", "x\t\t\n")
	h.deliver(1)
	h.expectReply(c, "2/1 call{ 0={ 1=\"x\\t\\t\\n\" 2=[ ] 3=1 } }")
	h.expectReply(c, "closed")
}

// TestRepeatTooLate: a repeat whose connection comes up after the window in which engines drop it never leaves, and what may
// have run is not told to be harmless.
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
	s.Die()
	h.deliver(1)           // the repeat waits for a connection to the other engine
	connected := <-h.inbox // which is there, and its owner yet to know
	for h.clock.now() < first+dedupWindow {
		time.Sleep(10 * time.Millisecond)
	}
	h.Deliver(h.clock.now(), connected)
	h.expectNothingSent()
	h.expectReply(c, "2/1 call{ 2={ 1=[ ] } }")
}

// TestClosedIdle: an engine closes an idle connection in the instant in which a non-replayable command is sent on it. Nothing
// leaves on a connection whose end has been read, so it has run nowhere and goes out again on another.
func TestClosedIdle(t *testing.T) {
	h, c, s := newRunningRequest(t)
	s.Answer("served", "count=1", "x\t\t\n")
	h.deliver(1)
	c.Next()
	s.Leave()
	end := <-h.inbox // read, and its owner yet to know
	h.callProfile(c, "never", "b")
	h.deliver(1)
	time.Sleep(20 * time.Millisecond) // in which a writer that may write has written
	h.Deliver(h.clock.now(), end)
	for sent := false; !sent; {
		select {
		case s := <-h.received:
			s.Answer("served", "count=1", "y\t\t\n")
			sent = true
		case e := <-h.inbox:
			h.Deliver(h.clock.now(), e)
		case <-time.After(fake.Patience):
			t.Fatal("nothing was sent")
		}
	}
	h.deliver(1)
	h.expectReply(c, "2/2 call{ 0={ 1=\"y\\t\\t\\n\" 2=[ ] 3=1 } }")
}
