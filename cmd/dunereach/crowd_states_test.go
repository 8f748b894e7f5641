package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"dunereach/internal/fake"
)

// crowdKind is what the clients of a crowd do. None of them asks for anything.
type crowdKind string

const (
	quietCrowd   crowdKind = "quiet"
	halfCrowd    crowdKind = "half a message"
	slowCrowd    crowdKind = "a byte a second"
	resetCrowd   crowdKind = "reset"
	restingCrowd crowdKind = "resting"
	mixedCrowd   crowdKind = "mixed"
)

// smallTable is a number of descriptors that gives clients eighteen.
const smallTable = 48

// crowd has so many clients connect.
func (w *town) crowd(kind crowdKind, size int) (clients []*fake.Client) {
	w.t.Helper()
	half := []byte{0, 0, 0, 50, 0x80}
	kinds := []crowdKind{quietCrowd, halfCrowd, resetCrowd, restingCrowd}
	for k := range size {
		c := fake.NewClient(w.t, w.addr)
		clients = append(clients, c)
		does := kind
		if kind == mixedCrowd {
			does = kinds[k%len(kinds)]
		}
		switch does {
		case halfCrowd:
			c.Raw(half)
		case resetCrowd:
			c.Raw(half)
			c.Reset()
		case restingCrowd:
			c.AskHealth()
		case slowCrowd:
			go func() {
				for _, b := range make([]byte, 30) {
					c.Raw([]byte{b, 50}[1:])
					time.Sleep(time.Second)
				}
			}()
		}
	}
	return clients
}

// TestBehindCrowd guards against a client that is not served, or closed unread, since others that ask nothing hold the descriptors.
func TestBehindCrowd(t *testing.T) {
	for _, c := range []struct {
		kind crowdKind
		size int
	}{{quietCrowd, 1}, {quietCrowd, 17}, {quietCrowd, 18}, {quietCrowd, 21}, {quietCrowd, 60}, {quietCrowd, 900}, {halfCrowd, 60}, {halfCrowd, 900},
		{slowCrowd, 40}, {resetCrowd, 200}, {restingCrowd, 200}, {mixedCrowd, 300}} {
		t.Run(fmt.Sprintf("%s/%d", c.kind, c.size), func(t *testing.T) {
			t.Parallel()
			w := newTownOf(t, 1, smallTable)
			before := fake.NewClient(t, w.addr)
			open := w.running(before, 1)
			w.crowd(c.kind, c.size/2)
			beside := fake.NewClient(t, w.addr)
			seq := w.call(beside, "lookup", 30000, "SELECT 1")
			w.crowd(c.kind, c.size-c.size/2)
			w.served(beside, seq)
			w.serve(fake.NewClient(t, w.addr), "lookup")
			w.completed(before, open)
		})
	}
}

const sparingCrowd = 60 // clients

// ledger asks for a request that runs after all others with its key.
func (w *town) ledger(c *fake.Client, key string) int32 {
	w.refs++
	return c.Call("SELECT 1", "service", "ledger", "project", "acme", "allow", "30000", "lookup", key, "ref", fmt.Sprintf("%016x", w.refs))
}

// served has the server run the next request, which is the client's.
func (w *town) served(c *fake.Client, seq int32) {
	w.t.Helper()
	w.hear("fetch").Answer("served", "count=1", "x\t\t\n")
	w.expect(c, served(seq, "x\t\t\n"))
}

func inAcceptQueue(w *town, _ *fake.Client) {
	w.standStill()
	w.crowd(mixedCrowd, sparingCrowd)
	late := fake.NewClient(w.t, w.addr)
	seq := w.call(late, "lookup", 30000, "SELECT 1")
	w.crowd(mixedCrowd, sparingCrowd)
	w.cmd.Process.Signal(syscall.SIGCONT)
	w.served(late, seq)
}

func inReceiveBuffer(w *town, c *fake.Client) {
	w.standStill()
	seq := w.call(c, "lookup", 30000, "SELECT 1")
	w.crowd(mixedCrowd, sparingCrowd)
	w.cmd.Process.Signal(syscall.SIGCONT)
	w.served(c, seq)
}

func halfRead(w *town, c *fake.Client) {
	w.refs++
	message := fake.Call(2, "SELECT 1", "service", "lookup", "project", "acme", "allow", "30000", "ref", fmt.Sprintf("%016x", w.refs))
	c.Raw(message[:20])
	w.crowd(quietCrowd, sparingCrowd)
	w.logged(`"why":"room needed"`)
	c.Raw(message[20:])
	w.served(c, 2)
}

func held(w *town, c *fake.Client) {
	first := w.ledger(c, "k")
	runs := w.hear("fetch")
	second := w.ledger(c, "k")
	w.crowd(quietCrowd, sparingCrowd)
	w.logged(`"why":"room needed"`)
	runs.Answer("served", "count=1", "x\t\t\n")
	w.expect(c, served(first, "x\t\t\n"))
	w.served(c, second)
}

func sentOn(w *town, c *fake.Client) {
	open := w.running(c, 3)
	w.crowd(mixedCrowd, sparingCrowd)
	w.logged(`"why":"room needed"`)
	w.completed(c, open)
}

// TestCrowdSparesRequests guards against a connection that is closed to make room while its request is on its way: each state that a
// request can be in, with a crowd that comes then.
func TestCrowdSparesRequests(t *testing.T) {
	for _, c := range []struct {
		state string
		play  func(w *town, c *fake.Client)
	}{{"in the queue of accepted connections", inAcceptQueue}, {"in the receive buffer", inReceiveBuffer}, {"half read", halfRead},
		{"held", held}, {"sent on", sentOn}} {
		t.Run(c.state, func(t *testing.T) {
			t.Parallel()
			w := newTownOf(t, 1, smallTable)
			w.logged("serving")
			client := fake.NewClient(t, w.addr)
			if !client.Health() {
				t.Fatal("not ready")
			}
			c.play(w, client)
		})
	}
}

// TestCrowdAtChange guards against requests that are lost to a crowd at a reload, at a drain and at a shutdown: each has its answer, the
// drained server is sent nothing, and the router ends in time.
func TestCrowdAtChange(t *testing.T) {
	const size = 60
	calls := func(w *town) (clients []*fake.Client) {
		for range 5 {
			c := fake.NewClient(w.t, w.addr)
			w.call(c, "lookup", 30000, "SELECT 1")
			clients = append(clients, c)
		}
		return clients
	}
	answered := func(w *town, clients []*fake.Client) {
		w.t.Helper()
		for k, c := range clients {
			if got := c.Next(); !strings.Contains(got, " 0={") && !strings.Contains(got, " 1={") {
				w.t.Errorf("client %d got %q", k, got)
			}
		}
	}
	t.Run("reload", func(t *testing.T) {
		w := newTownOf(t, 1, smallTable)
		w.logged("serving")
		go answerAll(w)
		w.crowd(mixedCrowd, size)
		w.cmd.Process.Signal(syscall.SIGHUP)
		clients := calls(w)
		w.cmd.Process.Signal(syscall.SIGHUP)
		w.crowd(mixedCrowd, size)
		answered(w, append(clients, calls(w)...))
	})
	t.Run("drain", func(t *testing.T) {
		w := newTownOf(t, 2, smallTable)
		w.logged("serving")
		w.crowd(mixedCrowd, size)
		w.names.Set(2, fmt.Sprintf("s-0.east 1 10 std 0 0 %s", w.engines[0].Addr), fmt.Sprintf("s-1.east 0 10 std 0 0 %s", w.engines[1].Addr))
		w.logged(`"list of engines","rev":2`)
		w.crowd(mixedCrowd, size)
		for range 5 {
			if s := w.serve(fake.NewClient(t, w.addr), "lookup"); s.Engine != w.engines[1] {
				t.Error("a draining server was sent a request")
			}
		}
	})
	t.Run("shutdown", func(t *testing.T) {
		w := newTownOf(t, 1, smallTable)
		w.logged("serving")
		go answerAll(w)
		w.crowd(mixedCrowd, size)
		clients := calls(w)
		w.cmd.Process.Signal(syscall.SIGTERM)
		clients = append(clients, calls(w)...)
		w.crowd(mixedCrowd, size)
		answered(w, clients)
		w.ended(0)
	})
}
