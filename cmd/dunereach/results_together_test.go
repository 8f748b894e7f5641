package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dunereach/internal/fake"
)

const (
	resultsMemoryMB = 32
	requestsAtOnce  = 32 // as many as a connection carries
)

// newResultsCluster returns a cluster whose servers answer every request with a result of the largest size, all after the same time.
func newResultsCluster(t *testing.T) *cluster {
	w := prepareCluster(t, 3, 1024)
	w.replaceConfig(`"memory_mb":192`, fmt.Sprintf(`"memory_mb":%d`, resultsMemoryMB))
	w.replaceConfig(`"CpuOfKind":[8]`, `"CpuOfKind":[16]`)
	w.start()
	w.waitForLog("serving")
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go w.answer(ctx, answering{pages: pagesOfResult, shortest: 30 * time.Millisecond})
	return w
}

// sendTogether sends as many requests at once as a connection carries.
func sendTogether(c *fake.Client, client int) {
	for k := range requestsAtOnce {
		c.Call("SELECT 1", "service", "lookup", "project", "acme", "allow", "5000", "effort", "20", "memory", "8", "ref", fmt.Sprintf("%08x%08x", client, k))
	}
}

// countServed reads the answers to as many requests as sendTogether sends, and returns how many were served. It fails the test where the
// connection ends before.
func countServed(t *testing.T, c *fake.Client) (served int64) {
	for k := range requestsAtOnce {
		answer := c.NextAnswer()
		switch {
		case strings.Count(answer, "x") == pagesOfResult*pageSize*57/60:
			served++
		case !strings.Contains(answer, " 1={"): // not rejected
			t.Errorf("answer %d of %d: %.100q", k+1, requestsAtOnce, answer)
			return served
		}
	}
	return served
}

func (w *cluster) checkMemory() {
	w.t.Helper()
	if peak := w.peakMemory(); peak > resultsMemoryMB {
		w.t.Errorf("the router took %.0f MB of %d", peak, resultsMemoryMB)
	}
}

// TestResultsTogether guards against the end of connections of clients that read, with requests that servers have run, because results of
// the largest size that come together exceed the memory for output.
func TestResultsTogether(t *testing.T) {
	const clients, rounds = 4, 10
	w := newResultsCluster(t)
	var served atomic.Int64
	for round := range rounds {
		var group sync.WaitGroup
		for k := range clients {
			c := fake.NewClient(t, w.addr)
			group.Go(func() {
				defer c.Disconnect()
				sendTogether(c, 100*round+k)
				served.Add(countServed(t, c))
			})
		}
		group.Wait()
	}
	if n, sent := served.Load(), int64(rounds*clients*requestsAtOnce); n < sent*9/10 {
		t.Errorf("%d of %d requests were served", n, sent)
	}
	w.checkMemory()
}

// TestResultsBesideNonReaders guards against results that wait for memory for as long as others do not read theirs.
func TestResultsBesideNonReaders(t *testing.T) {
	const nonReaders, maxTime = 24, 3 * time.Second
	w := newResultsCluster(t)
	for k := range nonReaders {
		sendTogether(fake.NewClient(t, w.addr), 1000+k)
	}
	from := time.Now()
	c := fake.NewClient(t, w.addr)
	served := int64(0)
	for round := 0; served < requestsAtOnce; round++ {
		sendTogether(c, round)
		if served += countServed(t, c); t.Failed() || time.Since(from) > maxTime {
			t.Fatalf("%d of %d results of a client that reads came in %v", served, requestsAtOnce, time.Since(from))
		}
	}
	w.checkMemory()
}
