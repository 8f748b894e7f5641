package router

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"dunereach/admission"
	"dunereach/internal/config"
	"dunereach/internal/discovery"
	"dunereach/internal/fake"
	"dunereach/internal/frontend"
)

// busyHarness is a harness for tests in which the owner is blocked for 0.2 s, so that input has been unread for that time.
type busyHarness struct {
	*harness
	client *fake.Client
}

const ownerBlockedFor = 200 * time.Millisecond

// newBusyHarness creates one with a server that has two established connections, and one client.
func newBusyHarness(t *testing.T) *busyHarness {
	h := newHarness(t, 100, 2)
	h.listServer(0)
	go h.accept(h.listener)
	warmUp := h.client()
	h.acceptClient(<-h.arrivals, false)
	for _, ref := range []string{"e", "f"} {
		h.call(warmUp, ref)
		h.deliver(2)
	}
	for range 2 {
		(<-h.received).Answer("served", "count=1", "x\t\t\n")
		h.deliver(1)
		warmUp.NextAnswer()
	}
	b := &busyHarness{harness: h, client: h.client()}
	h.acceptClient(<-h.arrivals, false)
	nameServer := fake.NewNameServer(t, discovery.ServiceName)
	h.cfg.NameServer = netip.MustParseAddrPort(nameServer.Addr)
	h.service.list, h.answers = discovery.New(nil, nil), make(chan datagram)
	if err := h.useNameServer(h.cfg.NameServer); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.querySockets.close) // runs before the harness waits for its goroutines
	h.DetectOwnerDelay()
	return b
}

// runAttempt sends a request of the client and returns its attempt at the server.
func (b *busyHarness) runAttempt(ref string) fake.Message {
	b.t.Helper()
	b.call(b.client, ref)
	b.deliver(1)
	for {
		select {
		case s := <-b.received:
			return s
		case e := <-b.inbox:
			b.Deliver(b.clock.now(), e)
		case <-time.After(10 * time.Millisecond):
			b.Tick(b.clock.now())
		}
	}
}

// requestStates are the states that a request can be in when its client leaves. Each function prepares a state and returns a function that
// delivers the event that would make an attempt begin, ahead of the input that tells of the client's departure.
var requestStates = map[string]func(b *busyHarness, leave func(c *fake.Client)) (begin func()){
	// The request is read; the client's departure is unread behind it.
	"unread behind its call": func(b *busyHarness, leave func(*fake.Client)) func() {
		b.call(b.client, "a")
		b.waitForInput(1)
		leave(b.client)
		return func() { b.deliver(1) }
	},
	// The server has rejected the first attempt; the retry goes there again after a pause.
	"in the pause before a retry": func(b *busyHarness, leave func(*fake.Client)) func() {
		b.runAttempt("a").Answer("overload", "-", "")
		b.deliver(1)
		leave(b.client)
		b.waitForInput(1)
		return func() { b.Tick(b.clock.now()) }
	},
	// The first attempt's connection has been reset, then the client has left.
	"between two attempts": func(b *busyHarness, leave func(*fake.Client)) func() {
		b.runAttempt("a").Reset()
		b.waitForInput(1)
		leave(b.client)
		b.waitForInput(2)
		return func() { b.deliver(1) }
	},
	// The connection that the attempt waits for is established, then the client has left.
	"waiting for its connection": func(b *busyHarness, leave func(*fake.Client)) func() {
		b.list = b.list[:0]
		b.listServer(1)
		b.deliver(2) // the other server's connections end
		b.call(b.client, "a")
		b.deliver(1)
		b.waitForInput(1)
		leave(b.client)
		b.waitForInput(2)
		return func() { b.deliver(1) }
	},
	// The list that names a server is read before the client's departure; the attempt needs a connection, which takes longer.
	"held for want of a server": func(b *busyHarness, leave func(*fake.Client)) func() {
		b.list = b.list[:0]
		b.Members(b.clock.now(), admission.Full, nil, func() { b.pool.UpdateServers(nil, nil) })
		b.deliver(2) // the server's connections end
		b.call(b.client, "a")
		b.deliver(1)
		leave(b.client)
		b.waitForInput(1)
		return func() { b.listServer(1) }
	},
}

// TestGoneWhileBusy guards against attempts for clients that have left. A client leaves while the owner is blocked for 0.2 s, and the owner
// then first processes an event that makes an attempt begin. Nothing may be sent to a server, whatever the state of the request, also if a
// reload or the shutdown happens just then.
func TestGoneWhileBusy(t *testing.T) {
	departures := map[string]func(c *fake.Client){
		"closes":      func(c *fake.Client) { c.Disconnect() },
		"half-closes": func(c *fake.Client) { c.HalfClose() },
		"cancels":     func(c *fake.Client) { c.Cancel(1) },
	}
	concurrentEvents := map[string]func(b *busyHarness){
		"":              func(*busyHarness) {},
		", at a reload": func(b *busyHarness) { b.reload(config.Config{NameServer: b.cfg.NameServer, Settings: b.cfg.Settings}) },
		", at the end": func(b *busyHarness) {
			b.End()
			for s := range b.sessions {
				s.CloseWhenIdle(frontend.RouterStopping)
			}
		},
	}
	for departure, leave := range departures {
		for state, prepare := range requestStates {
			for event, trigger := range concurrentEvents {
				t.Run(departure+" "+state+event, func(t *testing.T) {
					t.Parallel()
					b := newBusyHarness(t)
					begin := prepare(b, leave)
					time.Sleep(ownerBlockedFor)
					trigger(b)
					begin()
					time.Sleep(20 * time.Millisecond) // enough for a writer to write what it may
					b.waitForInput(1)                 // the client's departure
					b.expectNothingSent()
					if b.Unanswered() != 0 || len(b.requests) != 0 {
						t.Errorf("%d requests are unanswered, %d in progress", b.Unanswered(), len(b.requests))
					}
				})
			}
		}
	}
}

// TestBehindForLong guards against attempts that are held forever: if the owner stays delayed they are held for a bounded time, then served.
func TestBehindForLong(t *testing.T) {
	b := newBusyHarness(t)
	b.call(b.client, "a")
	b.waitForInput(1)
	time.Sleep(ownerBlockedFor)
	b.deliver(1)
	start := b.clock.now()
	for len(b.received) == 0 {
		now := b.clock.now()
		b.noteDelay(now, 1) // a delay in each round
		b.Tick(now)
		if now > start+fake.Timeout.Seconds() {
			t.Fatal("the attempt is never sent")
		}
		time.Sleep(time.Millisecond)
	}
	if took := b.clock.now() - start; took < maxHold/2 {
		t.Errorf("the attempt was sent after %.3f s: it was not held", took)
	}
	(<-b.received).Answer("served", "count=1", "x\t\t\n")
	b.deliver(1)
	b.expectReply(b.client, "2/1 call{ 0={ 1=\"x\\t\\t\\n\" 2=[ ] 3=1 } }")
}

// TestBehindOthersInput guards against a request whose client is promised more time than it has left, because its bytes lay unread, alone or
// behind those of other connections, while the owner itself was never idle.
func TestBehindOthersInput(t *testing.T) {
	for _, connections := range []int{1, 2, 9, 40} {
		t.Run(fmt.Sprint(connections), func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, 1000, 0)
			go h.accept(h.listener)
			var clients []*fake.Client
			for range connections {
				clients = append(clients, h.client())
				h.acceptClient(<-h.arrivals, false)
			}
			sentAt := h.clock.now()
			for k, c := range clients {
				c.Call("SELECT 1", "service", "lookup", "project", "acme", "allow", "20000", "ref", fmt.Sprintf("%016x", k+1))
			}
			sent := h.clock.now()
			h.waitForInput(connections)
			time.Sleep(ownerBlockedFor)
			h.deliver(connections)
			if len(h.requests) != connections {
				t.Fatalf("%d requests of %d", len(h.requests), connections)
			}
			const timeout, slack = 20, 0.02 // seconds; what a client allows, and the system's clock of arrivals
			for _, req := range h.requests {
				if req.deadline > sent+timeout+slack || req.deadline < sentAt+timeout-maxLag-slack {
					t.Errorf("the deadline is %.3f s after the request", req.deadline-sent)
				}
			}
		})
	}
}
