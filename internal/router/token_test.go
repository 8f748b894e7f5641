package router

import (
	"strings"
	"testing"
	"time"

	"dunereach/internal/fake"
)

// answerNext answers the next attempt and returns it. Until then it delivers other input and runs the timers.
func (h *harness) answerNext() fake.Message {
	h.t.Helper()
	for late := time.After(fake.Timeout); ; {
		select {
		case s := <-h.received:
			s.Answer("served", "count=1", "x\t\t\n")
			return s
		case e := <-h.inbox:
			h.Deliver(h.clock.now(), e)
		case <-time.After(10 * time.Millisecond):
			h.Tick(h.clock.now())
		case <-late:
			h.t.Fatal("nothing was sent")
		}
	}
}

// TestOneToken: all attempts of a request that is idempotent by key carry the client's token: the router's retry at another server after
// the first connection was cut, and the client's own retry, which has a new id and a new connection. Each makes one attempt.
func TestOneToken(t *testing.T) {
	const token = "tok-17"
	h := newHarness(t, 100, 2)
	h.listServer(0)
	go h.accept(h.listener)
	ask := func(c *fake.Client, ref string) {
		c.Call("UPDATE sales_3.x", "service", "once", "project", "acme", "allow", "20000", "replay", token, "ref", ref+strings.Repeat("0", 15))
		h.deliver(1)
	}
	c := h.client()
	h.acceptClient(<-h.arrivals, false)
	ask(c, "a")
	h.deliver(1) // the connection is established
	first := <-h.received
	h.listServer(1)
	first.Reset()
	retry := h.answerNext()
	h.deliver(1)
	h.expectReply(c, "2/1 call{ 0={ 1=\"x\\t\\t\\n\" 2=[ ] 3=1 } }")
	other := h.client()
	h.acceptClient(<-h.arrivals, false)
	ask(other, "b")
	clientRetry := h.answerNext()
	if retry.Server == first.Server || retry.Words[1] != first.Words[1] || clientRetry.Words[1] == first.Words[1] {
		t.Errorf("sent %q, then %q, then %q", first.Words, retry.Words, clientRetry.Words)
	}
	for _, s := range []fake.Message{first, retry, clientRetry} {
		if !strings.Contains(s.Words[2], ",token="+token) {
			t.Errorf("sent without its token: %q", s.Words)
		}
	}
	h.deliver(1)
	h.expectReply(other, "2/1 call{ 0={ 1=\"x\\t\\t\\n\" 2=[ ] 3=1 } }")
	h.expectNothingSent()
}

// TestResetBehindInput: a server resets an idle connection while input before the reset is still unread, and a non-idempotent request is
// assigned to it. Nothing of the request has been sent, so it runs on another connection.
func TestResetBehindInput(t *testing.T) {
	h, c, s := newRunningRequest(t)
	s.Answer("served", "count=1", "x\t\t\n")
	h.deliver(1)
	c.NextAnswer()
	s.SendRaw(strings.Repeat("f", 16) + " nobody - 0\r\n\r\n") // a late answer with an unknown id
	input := <-h.inbox
	s.Reset()
	h.callProfile(c, "never", "b")
	h.deliver(1)
	time.Sleep(20 * time.Millisecond) // enough for a writer to write what it may
	h.Deliver(h.clock.now(), input)
	h.answerNext()
	h.deliver(1)
	h.expectReply(c, "2/2 call{ 0={ 1=\"x\\t\\t\\n\" 2=[ ] 3=1 } }")
}
