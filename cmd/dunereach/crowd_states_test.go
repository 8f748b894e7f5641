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
	silentCrowd         crowdKind = "quiet"
	partialMessageCrowd crowdKind = "half a message"
	slowCrowd           crowdKind = "a byte a second"
	resetCrowd          crowdKind = "reset"
	idleCrowd           crowdKind = "resting"
	mixedCrowd          crowdKind = "mixed"
)

// smallDescriptorLimit is a number of descriptors that gives clients eighteen.
const smallDescriptorLimit = 48

// connectCrowd has so many clients connect.
func (w *cluster) connectCrowd(kind crowdKind, size int) (clients []*fake.Client) {
	w.t.Helper()
	partialMessage := []byte{0, 0, 0, 50, 0x80}
	kinds := []crowdKind{silentCrowd, partialMessageCrowd, resetCrowd, idleCrowd}
	for k := range size {
		c := fake.NewClient(w.t, w.addr)
		clients = append(clients, c)
		clientKind := kind
		if kind == mixedCrowd {
			clientKind = kinds[k%len(kinds)]
		}
		switch clientKind {
		case partialMessageCrowd:
			c.Raw(partialMessage)
		case resetCrowd:
			c.Raw(partialMessage)
			c.Reset()
		case idleCrowd:
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
	}{{silentCrowd, 1}, {silentCrowd, 17}, {silentCrowd, 18}, {silentCrowd, 21}, {silentCrowd, 60}, {silentCrowd, 900}, {partialMessageCrowd, 60}, {partialMessageCrowd, 900},
		{slowCrowd, 40}, {resetCrowd, 200}, {idleCrowd, 200}, {mixedCrowd, 300}} {
		t.Run(fmt.Sprintf("%s/%d", c.kind, c.size), func(t *testing.T) {
			t.Parallel()
			w := newClusterWithLimit(t, 1, smallDescriptorLimit)
			before := fake.NewClient(t, w.addr)
			open := w.startRequests(before, 1)
			w.connectCrowd(c.kind, c.size/2)
			between := fake.NewClient(t, w.addr)
			seq := w.request(between, "lookup", 30000, "SELECT 1")
			w.connectCrowd(c.kind, c.size-c.size/2)
			w.completeNext(between, seq)
			w.completeRequest(fake.NewClient(t, w.addr), "lookup")
			w.completeAll(before, open)
		})
	}
}

const sparedCrowdSize = 60 // clients

// requestInOrder asks for a request that runs after all others with its key.
func (w *cluster) requestInOrder(c *fake.Client, key string) int32 {
	w.lastRef++
	return c.Call("SELECT 1", "service", "ledger", "project", "acme", "allow", "30000", "lookup", key, "ref", fmt.Sprintf("%016x", w.lastRef))
}

// completeNext has the server run the next request, which is the client's.
func (w *cluster) completeNext(c *fake.Client, seq int32) {
	w.t.Helper()
	w.receive("fetch").Answer("served", "count=1", "x\t\t\n")
	w.expectAnswer(c, resultMessage(seq, "x\t\t\n"))
}

func testInAcceptQueue(w *cluster, _ *fake.Client) {
	w.suspend()
	w.connectCrowd(mixedCrowd, sparedCrowdSize)
	late := fake.NewClient(w.t, w.addr)
	seq := w.request(late, "lookup", 30000, "SELECT 1")
	w.connectCrowd(mixedCrowd, sparedCrowdSize)
	w.cmd.Process.Signal(syscall.SIGCONT)
	w.completeNext(late, seq)
}

func testInReceiveBuffer(w *cluster, c *fake.Client) {
	w.suspend()
	seq := w.request(c, "lookup", 30000, "SELECT 1")
	w.connectCrowd(mixedCrowd, sparedCrowdSize)
	w.cmd.Process.Signal(syscall.SIGCONT)
	w.completeNext(c, seq)
}

func testHalfRead(w *cluster, c *fake.Client) {
	w.lastRef++
	message := fake.Call(2, "SELECT 1", "service", "lookup", "project", "acme", "allow", "30000", "ref", fmt.Sprintf("%016x", w.lastRef))
	c.Raw(message[:20])
	w.connectCrowd(silentCrowd, sparedCrowdSize)
	w.waitForLog(`"why":"room needed"`)
	c.Raw(message[20:])
	w.completeNext(c, 2)
}

func testQueued(w *cluster, c *fake.Client) {
	first := w.requestInOrder(c, "k")
	runs := w.receive("fetch")
	second := w.requestInOrder(c, "k")
	w.connectCrowd(silentCrowd, sparedCrowdSize)
	w.waitForLog(`"why":"room needed"`)
	runs.Answer("served", "count=1", "x\t\t\n")
	w.expectAnswer(c, resultMessage(first, "x\t\t\n"))
	w.completeNext(c, second)
}

func testSentToServer(w *cluster, c *fake.Client) {
	open := w.startRequests(c, 3)
	w.connectCrowd(mixedCrowd, sparedCrowdSize)
	w.waitForLog(`"why":"room needed"`)
	w.completeAll(c, open)
}

// TestCrowdSparesRequests guards against a connection that is closed to make room while its request is on its way: each state that a
// request can be in, with a crowd that comes then.
func TestCrowdSparesRequests(t *testing.T) {
	for _, c := range []struct {
		state string
		test  func(w *cluster, c *fake.Client)
	}{{"in the queue of accepted connections", testInAcceptQueue}, {"in the receive buffer", testInReceiveBuffer}, {"half read", testHalfRead},
		{"held", testQueued}, {"sent on", testSentToServer}} {
		t.Run(c.state, func(t *testing.T) {
			t.Parallel()
			w := newClusterWithLimit(t, 1, smallDescriptorLimit)
			w.waitForLog("serving")
			client := fake.NewClient(t, w.addr)
			if !client.Health() {
				t.Fatal("not ready")
			}
			c.test(w, client)
		})
	}
}

// TestCrowdAtChange guards against requests that are lost to a crowd at a reload, at a drain and at a shutdown: each has its answer, the
// drained server is sent nothing, and the router ends in time.
func TestCrowdAtChange(t *testing.T) {
	const size = 60
	sendRequests := func(w *cluster) (clients []*fake.Client) {
		for range 5 {
			c := fake.NewClient(w.t, w.addr)
			w.request(c, "lookup", 30000, "SELECT 1")
			clients = append(clients, c)
		}
		return clients
	}
	expectAnswers := func(w *cluster, clients []*fake.Client) {
		w.t.Helper()
		for k, c := range clients {
			if got := c.Next(); !strings.Contains(got, " 0={") && !strings.Contains(got, " 1={") {
				w.t.Errorf("client %d got %q", k, got)
			}
		}
	}
	t.Run("reload", func(t *testing.T) {
		w := newClusterWithLimit(t, 1, smallDescriptorLimit)
		w.waitForLog("serving")
		go answerRequests(w)
		w.connectCrowd(mixedCrowd, size)
		w.cmd.Process.Signal(syscall.SIGHUP)
		clients := sendRequests(w)
		w.cmd.Process.Signal(syscall.SIGHUP)
		w.connectCrowd(mixedCrowd, size)
		expectAnswers(w, append(clients, sendRequests(w)...))
	})
	t.Run("drain", func(t *testing.T) {
		w := newClusterWithLimit(t, 2, smallDescriptorLimit)
		w.waitForLog("serving")
		w.connectCrowd(mixedCrowd, size)
		w.nameServer.Set(2, fmt.Sprintf("s-0.east 1 10 std 0 0 %s", w.servers[0].Addr), fmt.Sprintf("s-1.east 0 10 std 0 0 %s", w.servers[1].Addr))
		w.waitForLog(`"list of engines","rev":2`)
		w.connectCrowd(mixedCrowd, size)
		for range 5 {
			if s := w.completeRequest(fake.NewClient(t, w.addr), "lookup"); s.Engine != w.servers[1] {
				t.Error("a draining server was sent a request")
			}
		}
	})
	t.Run("shutdown", func(t *testing.T) {
		w := newClusterWithLimit(t, 1, smallDescriptorLimit)
		w.waitForLog("serving")
		go answerRequests(w)
		w.connectCrowd(mixedCrowd, size)
		clients := sendRequests(w)
		w.cmd.Process.Signal(syscall.SIGTERM)
		clients = append(clients, sendRequests(w)...)
		w.connectCrowd(mixedCrowd, size)
		expectAnswers(w, clients)
		w.waitForExit(0)
	})
}
