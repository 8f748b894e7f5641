package router

import (
	"testing"
	"time"

	"dunereach/internal/fake"
)

// silent checks that no engine is sent anything, up to well past the 0.3 s that are allowed after a client has left.
func (h *hall) silent() {
	h.t.Helper()
	late := time.After(400 * time.Millisecond)
	for {
		select {
		case s := <-h.heard:
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

// leftWhile has a client ask and leave: while its request is held for want of a server, or while it waits for a connection.
func (h *hall) leftWhile(held bool, leave func(c *fake.Client)) *fake.Client {
	h.t.Helper()
	go h.accept(h.listener)
	c := h.client()
	h.arrive(<-h.arrivals, false)
	if !held {
		h.ready(0)
	}
	h.call(c, "a")
	h.deliver(1)
	if h.Owed() != 1 {
		h.t.Fatal("it is not in hand")
	}
	if held {
		leave(c)
		h.deliver(1)
		h.ready(0)
		return c
	}
	up := <-h.inbox // the connection is there, and its owner yet to know
	leave(c)
	h.deliver(1)
	h.Deliver(h.clock.now(), up)
	return c
}

// TestLeft: a command whose client has left, by whichever way, is not sent on: neither from the line nor when the connection
// that it waits for is up. The order is forced: the owner hears of the end first.
func TestLeft(t *testing.T) {
	ways := map[string]func(c *fake.Client){
		"closes":      func(c *fake.Client) { c.Leave() },
		"half-closes": func(c *fake.Client) { c.HalfClose() },
		"cancels":     func(c *fake.Client) { c.Cancel(1) },
	}
	for name, leave := range ways {
		for place, held := range map[string]bool{"in the line": true, "waiting for its connection": false} {
			t.Run(name+" "+place, func(t *testing.T) {
				h := newHall(t, 100, 1)
				c := h.leftWhile(held, leave)
				h.silent()
				if h.Owed() != 0 || len(h.cmds) != 0 {
					t.Error("it is still in hand")
				}
				if name == "half-closes" {
					h.expect(c, harmless)
					h.expect(c, "closed")
				}
			})
		}
	}
}

// running has one command at an engine.
func running(t *testing.T) (h *hall, c *fake.Client, s fake.Said) {
	h = newHall(t, 100, 1)
	h.ready(0)
	go h.accept(h.listener)
	c = h.client()
	h.arrive(<-h.arrivals, false)
	h.call(c, "a")
	h.deliver(2) // its call, and the engine's connection
	return h, c, <-h.heard
}

// TestRunsOn: what runs when its client closes its side goes on, and a client that still reads has its answer.
func TestRunsOn(t *testing.T) {
	h, c, s := running(t)
	c.HalfClose()
	h.deliver(1)
	s.Answer("served", "count=1", "x\t\t\n")
	h.deliver(1)
	h.expect(c, "2/1 call{ 0={ 1=\"x\\t\\t\\n\" 2=[ ] 3=1 } }")
	h.expect(c, "closed")
}

// TestRepeatTooLate: a repeat whose connection comes up after the window in which engines drop it never leaves, and what may
// have run is not told to be harmless.
func TestRepeatTooLate(t *testing.T) {
	h := newHall(t, 100, 2)
	h.ready(0)
	go h.accept(h.listener)
	c := h.client()
	h.arrive(<-h.arrivals, false)
	h.ask(c, "once", "a")
	h.deliver(2)
	first := h.clock.now()
	s := <-h.heard
	h.ready(1)
	s.Die()
	h.deliver(1)    // the repeat waits for a connection to the other engine
	up := <-h.inbox // which is there, and its owner yet to know
	for h.clock.now() < first+window {
		time.Sleep(10 * time.Millisecond)
	}
	h.Deliver(h.clock.now(), up)
	h.silent()
	h.expect(c, "2/1 call{ 2={ 1=[ ] } }")
}

// TestClosedIdle: an engine closes an idle connection in the instant in which a non-replayable command is sent on it. Nothing
// leaves on a connection whose end has been read, so it has run nowhere and goes out again on another.
func TestClosedIdle(t *testing.T) {
	h, c, s := running(t)
	s.Answer("served", "count=1", "x\t\t\n")
	h.deliver(1)
	c.Next()
	s.Leave()
	end := <-h.inbox // read, and its owner yet to know
	h.ask(c, "never", "b")
	h.deliver(1)
	time.Sleep(20 * time.Millisecond) // in which a writer that may write has written
	h.Deliver(h.clock.now(), end)
	for sent := false; !sent; {
		select {
		case s := <-h.heard:
			s.Answer("served", "count=1", "y\t\t\n")
			sent = true
		case e := <-h.inbox:
			h.Deliver(h.clock.now(), e)
		case <-time.After(fake.Patience):
			t.Fatal("nothing was sent")
		}
	}
	h.deliver(1)
	h.expect(c, "2/2 call{ 0={ 1=\"y\\t\\t\\n\" 2=[ ] 3=1 } }")
}
