package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"dunereach/internal/fake"
)

// crowdKind is the behavior of the clients of a crowd: many clients that hold connections and send no request.
type crowdKind string

const (
	silentCrowd         crowdKind = "quiet"
	partialMessageCrowd crowdKind = "half a message"
	slowCrowd           crowdKind = "a byte a second"
	resetCrowd          crowdKind = "reset"
	idleCrowd           crowdKind = "resting"
	mixedCrowd          crowdKind = "mixed"
)

// smallDescriptorLimit is a number of file descriptors of which the router allots eighteen to clients.
const smallDescriptorLimit = 48

// connectCrowd connects size clients of the given kind.
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
			c.SendRaw(partialMessage)
		case resetCrowd:
			c.SendRaw(partialMessage)
			c.Reset()
		case idleCrowd:
			c.SendHealthCheck()
		case slowCrowd:
			go func() {
				for _, b := range make([]byte, 30) {
					c.SendRaw([]byte{b, 50}[1:])
					time.Sleep(time.Second)
				}
			}()
		}
	}
	return clients
}

// TestBehindCrowd guards against a client that is not served, or whose connection is closed unread, because clients without
// requests hold all descriptors.
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

// requestInOrder sends a request of an ordered profile: it runs after all earlier requests with its key.
func (w *cluster) requestInOrder(c *fake.Client, key string) int32 {
	w.lastRef++
	return c.Call("SELECT 1", "service", "ledger", "project", "acme", "allow", "30000", "lookup", key, "ref", fmt.Sprintf("%016x", w.lastRef))
}

// completeNext lets the server complete the next request, which must be the one of the client.
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
	c.SendRaw(message[:20])
	w.connectCrowd(silentCrowd, sparedCrowdSize)
	w.waitForLog(`"why":"room needed"`)
	c.SendRaw(message[20:])
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

// TestCrowdSparesRequests guards against the close of a connection with an open request to free a descriptor. For each state that
// a request can be in, a crowd connects then.
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

// TestCrowdAtChange guards against requests lost to a crowd at a reload, at a drain and at a shutdown: each request gets an
// answer, the drained server receives nothing, and the router exits in time.
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
			if got := c.NextAnswer(); !strings.Contains(got, " 0={") && !strings.Contains(got, " 1={") {
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
		w.nameServer.SetList(2, fmt.Sprintf("s-0.east 1 10 std 0 0 %s", w.servers[0].Addr), fmt.Sprintf("s-1.east 0 10 std 0 0 %s", w.servers[1].Addr))
		w.waitForLog(`"list of engines","rev":2`)
		w.connectCrowd(mixedCrowd, size)
		for range 5 {
			if s := w.completeRequest(fake.NewClient(t, w.addr), "lookup"); s.Server != w.servers[1] {
				t.Error("a draining server received a request")
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
