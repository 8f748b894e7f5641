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

// busy is a hall whose owner has been kept from its connections for 0.2 s when its test goes on: what came meanwhile has waited.
type busy struct {
	*hall
	client *fake.Client
}

const busyFor = 200 * time.Millisecond

// newBusy has a server with two connections that are up, and one client.
func newBusy(t *testing.T) *busy {
	h := newHall(t, 100, 2)
	h.ready(0)
	go h.accept(h.listener)
	warm := h.client()
	h.arrive(<-h.arrivals, false)
	for _, ref := range []string{"e", "f"} {
		h.call(warm, ref)
		h.deliver(2)
	}
	for range 2 {
		(<-h.heard).Answer("served", "count=1", "x\t\t\n")
		h.deliver(1)
		warm.Next()
	}
	b := &busy{hall: h, client: h.client()}
	h.arrive(<-h.arrivals, false)
	names := fake.NewNameServer(t, discovery.Record)
	h.cfg.NameServer = netip.MustParseAddrPort(names.Addr)
	h.service.list, h.answers = discovery.New(nil, nil), make(chan datagram)
	if err := h.askBy(h.cfg.NameServer); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.hushAll) // before the goroutines are waited for
	h.WatchBacklog()
	return b
}

// run has one request of the client at the server.
func (b *busy) run(ref string) fake.Said {
	b.t.Helper()
	b.call(b.client, ref)
	b.deliver(1)
	for {
		select {
		case s := <-b.heard:
			return s
		case e := <-b.inbox:
			b.Deliver(b.clock.now(), e)
		case <-time.After(10 * time.Millisecond):
			b.Tick(b.clock.now())
		}
	}
}

// places are where a request can be when its client goes. Each leaves the owner with what makes an attempt begin, ahead of the
// client's end, and the client's end somewhere behind it.
var places = map[string]func(b *busy, leave func(c *fake.Client)) (begin func()){
	// The call is read; the client's end lies unread behind it.
	"unread behind its call": func(b *busy, leave func(*fake.Client)) func() {
		b.call(b.client, "a")
		b.waiting(1)
		leave(b.client)
		return func() { b.deliver(1) }
	},
	// The server has turned the first attempt away; the retry goes there again after a pause.
	"in the pause before a retry": func(b *busy, leave func(*fake.Client)) func() {
		b.run("a").Answer("overload", "-", "")
		b.deliver(1)
		leave(b.client)
		b.waiting(1)
		return func() { b.Tick(b.clock.now()) }
	},
	// The first attempt's connection has been reset, and the client has gone after that.
	"between two attempts": func(b *busy, leave func(*fake.Client)) func() {
		b.run("a").Die()
		b.waiting(1)
		leave(b.client)
		b.waiting(2)
		return func() { b.deliver(1) }
	},
	// The connection that the attempt waits for is up, and the client has gone after that.
	"waiting for its connection": func(b *busy, leave func(*fake.Client)) func() {
		b.list = b.list[:0]
		b.ready(1)
		b.deliver(2) // the other server's connections end
		b.call(b.client, "a")
		b.deliver(1)
		b.waiting(1)
		leave(b.client)
		b.waiting(2)
		return func() { b.deliver(1) }
	},
	// The list that names a server is read before the client's end; the attempt needs a connection, which takes longer.
	"held for want of a server": func(b *busy, leave func(*fake.Client)) func() {
		b.list = b.list[:0]
		b.Members(b.clock.now(), admission.Full, nil, func() { b.pool.Members(nil, nil) })
		b.deliver(2) // its connections end
		b.call(b.client, "a")
		b.deliver(1)
		leave(b.client)
		b.waiting(1)
		return func() { b.ready(1) }
	},
}

// TestGoneWhileBusy: a client has gone while the owner was busy for 0.2 s, and the owner comes to something else first that makes an
// attempt begin: nothing is sent to a server, wherever the request was, also when a new configuration or the end comes just then.
func TestGoneWhileBusy(t *testing.T) {
	ways := map[string]func(c *fake.Client){
		"closes":      func(c *fake.Client) { c.Leave() },
		"half-closes": func(c *fake.Client) { c.HalfClose() },
		"cancels":     func(c *fake.Client) { c.Cancel(1) },
	}
	meanwhile := map[string]func(b *busy){
		"":              func(*busy) {},
		", at a reload": func(b *busy) { b.renew(config.Config{NameServer: b.cfg.NameServer, Settings: b.cfg.Settings}) },
		", at the end": func(b *busy) {
			b.End()
			for s := range b.sessions {
				s.Last(frontend.RouterEnds)
			}
		},
	}
	for way, leave := range ways {
		for place, prepare := range places {
			for event, happens := range meanwhile {
				t.Run(way+" "+place+event, func(t *testing.T) {
					t.Parallel()
					b := newBusy(t)
					begin := prepare(b, leave)
					time.Sleep(busyFor)
					happens(b)
					begin()
					time.Sleep(20 * time.Millisecond) // in which a writer that may write has written
					b.waiting(1)                      // the client's end
					b.silent()
					if b.Owed() != 0 || len(b.cmds) != 0 {
						t.Errorf("%d are owed, %d in hand", b.Owed(), len(b.cmds))
					}
				})
			}
		}
	}
}

// TestBehindForLong: an owner that stays behind its connections holds attempts for a bounded time only, and all are served.
func TestBehindForLong(t *testing.T) {
	b := newBusy(t)
	b.call(b.client, "a")
	b.waiting(1)
	time.Sleep(busyFor)
	b.deliver(1)
	from := b.clock.now()
	for len(b.heard) == 0 {
		now := b.clock.now()
		b.delayed(now, 1) // a sign of it at each turn
		b.Tick(now)
		if now > from+fake.Patience.Seconds() {
			t.Fatal("it is never sent")
		}
		time.Sleep(time.Millisecond)
	}
	if took := b.clock.now() - from; took < heldAtMost/2 {
		t.Errorf("it was sent after %.3f s: it was not held", took)
	}
	(<-b.heard).Answer("served", "count=1", "x\t\t\n")
	b.deliver(1)
	b.expect(b.client, "2/1 call{ 0={ 1=\"x\\t\\t\\n\" 2=[ ] 3=1 } }")
}
