package router

import (
	"net/netip"
	"testing"
	"time"

	"dunereach/admission"
	"dunereach/internal/config"
	"dunereach/internal/discovery"
	"dunereach/internal/fake"
	"dunereach/internal/frontend"
)

// busyHarness is a hall whose owner has been kept from its connections for 0.2 s when its test goes on: what came meanwhile has waited.
type busyHarness struct {
	*harness
	client *fake.Client
}

const ownerBlockedFor = 200 * time.Millisecond

// newBusyHarness has a server with two connections that are up, and one client.
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
		warmUp.Next()
	}
	b := &busyHarness{harness: h, client: h.client()}
	h.acceptClient(<-h.arrivals, false)
	nameServer := fake.NewNameServer(t, discovery.Record)
	h.cfg.NameServer = netip.MustParseAddrPort(nameServer.Addr)
	h.service.list, h.answers = discovery.New(nil, nil), make(chan datagram)
	if err := h.openQuerySocket(h.cfg.NameServer); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.closeQuerySockets) // before the goroutines are waited for
	h.WatchBacklog()
	return b
}

// runAttempt has one request of the client at the server.
func (b *busyHarness) runAttempt(ref string) fake.Said {
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

// requestStates are where a request can be when its client goes. Each leaves the owner with what makes an attempt begin, ahead of the
// client's end, and the client's end somewhere behind it.
var requestStates = map[string]func(b *busyHarness, leave func(c *fake.Client)) (begin func()){
	// The call is read; the client's end lies unread behind it.
	"unread behind its call": func(b *busyHarness, leave func(*fake.Client)) func() {
		b.call(b.client, "a")
		b.waitForInput(1)
		leave(b.client)
		return func() { b.deliver(1) }
	},
	// The server has turned the first attempt away; the retry goes there again after a pause.
	"in the pause before a retry": func(b *busyHarness, leave func(*fake.Client)) func() {
		b.runAttempt("a").Answer("overload", "-", "")
		b.deliver(1)
		leave(b.client)
		b.waitForInput(1)
		return func() { b.Tick(b.clock.now()) }
	},
	// The first attempt's connection has been reset, and the client has gone after that.
	"between two attempts": func(b *busyHarness, leave func(*fake.Client)) func() {
		b.runAttempt("a").Die()
		b.waitForInput(1)
		leave(b.client)
		b.waitForInput(2)
		return func() { b.deliver(1) }
	},
	// The connection that the attempt waits for is up, and the client has gone after that.
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
	// The list that names a server is read before the client's end; the attempt needs a connection, which takes longer.
	"held for want of a server": func(b *busyHarness, leave func(*fake.Client)) func() {
		b.list = b.list[:0]
		b.Members(b.clock.now(), admission.Full, nil, func() { b.pool.Members(nil, nil) })
		b.deliver(2) // its connections end
		b.call(b.client, "a")
		b.deliver(1)
		leave(b.client)
		b.waitForInput(1)
		return func() { b.listServer(1) }
	},
}

// TestGoneWhileBusy: a client has gone while the owner was busy for 0.2 s, and the owner comes to something else first that makes an
// attempt begin: nothing is sent to a server, wherever the request was, also when a new configuration or the end comes just then.
func TestGoneWhileBusy(t *testing.T) {
	departures := map[string]func(c *fake.Client){
		"closes":      func(c *fake.Client) { c.Leave() },
		"half-closes": func(c *fake.Client) { c.HalfClose() },
		"cancels":     func(c *fake.Client) { c.Cancel(1) },
	}
	concurrentEvents := map[string]func(b *busyHarness){
		"":              func(*busyHarness) {},
		", at a reload": func(b *busyHarness) { b.reload(config.Config{NameServer: b.cfg.NameServer, Settings: b.cfg.Settings}) },
		", at the end": func(b *busyHarness) {
			b.End()
			for s := range b.sessions {
				s.Last(frontend.RouterEnds)
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
					time.Sleep(20 * time.Millisecond) // in which a writer that may write has written
					b.waitForInput(1)                 // the client's end
					b.expectNothingSent()
					if b.Owed() != 0 || len(b.requests) != 0 {
						t.Errorf("%d are owed, %d in hand", b.Owed(), len(b.requests))
					}
				})
			}
		}
	}
}

// TestBehindForLong: an owner that stays behind its connections holds attempts for a bounded time only, and all are served.
func TestBehindForLong(t *testing.T) {
	b := newBusyHarness(t)
	b.call(b.client, "a")
	b.waitForInput(1)
	time.Sleep(ownerBlockedFor)
	b.deliver(1)
	start := b.clock.now()
	for len(b.received) == 0 {
		now := b.clock.now()
		b.noteDelay(now, 1) // a sign of it at each turn
		b.Tick(now)
		if now > start+fake.Patience.Seconds() {
			t.Fatal("it is never sent")
		}
		time.Sleep(time.Millisecond)
	}
	if took := b.clock.now() - start; took < maxHold/2 {
		t.Errorf("it was sent after %.3f s: it was not held", took)
	}
	(<-b.received).Answer("served", "count=1", "x\t\t\n")
	b.deliver(1)
	b.expectReply(b.client, "2/1 call{ 0={ 1=\"x\\t\\t\\n\" 2=[ ] 3=1 } }")
}
