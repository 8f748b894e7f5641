package main

import (
	"fmt"
	"testing"
	"time"

	"dunereach/internal/fake"
)

// What users saw: after a release in which routers were killed and started again, requests ran on a server that had been draining for
// a second and more, while other routers had left it.
//
// The order of events:
//   - A router is killed and starts again. The events of the list of servers are numbered anew for it, from 1.
//   - An answer of the name server brings it a list of before its start, under the number that this list had then: 3.
//   - The list changes; its number for this router is now 2, later 3.
//
// The cause: the list with the highest number counted as the newest, whatever came after it. So the router took the answers under 1 and 2
// for old ones and the one under 3 for the list that it had.
//
// The evidence: each question and answer in the log of a router in a replay. It had started at 4.22 s. At 5.12 came number 3 with nine
// servers, one of them draining, and then six times number 1, each logged as "an older list". At 9.02, 9.32, 9.62 and 9.92 came number 3
// with ten servers, two of them draining: read, and passed over as no news. Two of 44 routers were so, and each had such a first answer.

// listEntry is an entry of the name listEntry's list: priority 0 is ready, 1 draining.
func (w *cluster) listEntry(k, priority int) string {
	return fmt.Sprintf("s-%d.east %d 10 std 0 0 %s", k, priority, w.servers[k].Addr)
}

// newRestartedCluster is a router before two servers that has been killed and started again. The name server holds the list that both know, and
// its next answer is a stray.
func newRestartedCluster(t *testing.T, staleNumber uint32, staleList func(w *cluster) []string) *cluster {
	t.Helper()
	w := newCluster(t, 2)
	w.nameServer.Set(3, w.listEntry(0, 0), w.listEntry(1, 0))
	w.waitForLog(`"list of engines","rev":3`)
	w.cmd.Process.Kill()
	w.cmd.Wait()
	w.nameServer.Set(1, w.listEntry(0, 0), w.listEntry(1, 0))
	w.nameServer.Stray(staleNumber, staleList(w)...)
	w.start()
	w.waitForLog(`"serving"`)
	return w
}

// expectAvoids checks that requests, ten at a time, go to other servers than one.
func (w *cluster) expectAvoids(c *fake.Client, server int) {
	w.t.Helper()
	const rounds, concurrent = 3, 10
	for range rounds {
		for range concurrent {
			w.request(c, "lookup", 30000, "SELECT 1")
		}
		for range concurrent {
			s := w.receive("fetch")
			if s.Engine == w.servers[server] {
				w.t.Fatalf("server %d was sent a request", server)
			}
			s.Answer("served", "count=1", "x\t\t\n")
		}
	}
}

// TestListOfEarlierLife: a router that was given a list of before its start, under a number higher than those that follow, hears of a
// drain as soon as the name server has told it, whatever the number of that event is; and that list alone has nothing sent to a server
// that drains or is gone.
func TestListOfEarlierLife(t *testing.T) {
	const staleNumber = 3
	for name, number := range map[string]uint32{"lower number": staleNumber - 1, "same number": staleNumber, "higher number": staleNumber + 1} {
		t.Run(name, func(t *testing.T) { testDrainAfterStaleList(t, staleNumber, number) })
	}
	t.Run("a number that no other passes", func(t *testing.T) { testDrainAfterStaleList(t, 1<<32-1, 2) })
	t.Run("same number after an outage", func(t *testing.T) {
		w := newRestartedCluster(t, staleNumber, func(w *cluster) []string {
			w.nameServer.Down(true)
			return w.bothReadyList()
		})
		w.nameServer.Down(false)
		w.waitForLog(fmt.Sprintf(`"list of engines","rev":%d`, staleNumber))
		w.drainFirst(staleNumber)
		w.expectAvoids(fake.NewClient(t, w.addr), 0)
	})
	t.Run("allows nothing that drains", func(t *testing.T) {
		testStaleListAlone(t, staleNumber, func(w *cluster) {
			w.replaceConfig(w.servers[0].Addr+`","az":"east","model":"std","state":"ready"`, w.servers[0].Addr+`","az":"east","model":"std","state":"draining"`)
		})
	})
	t.Run("allows nothing that is gone", func(t *testing.T) {
		testStaleListAlone(t, staleNumber, func(w *cluster) {
			w.replaceConfig(fmt.Sprintf(`{"uid":"s-0","endpoint":"%s","az":"east","model":"std","state":"ready"},`, w.servers[0].Addr), "")
		})
	})
}

// bothReadyList is the list in which nothing drains.
func (w *cluster) bothReadyList() []string { return []string{w.listEntry(0, 0), w.listEntry(1, 0)} }

// drainFirst has the name server tell under a number that the first server drains, and waits until the grace is over.
func (w *cluster) drainFirst(number uint32) {
	w.nameServer.Set(number, w.listEntry(0, 1), w.listEntry(1, 0))
	w.nameServer.Sent()
	time.Sleep(grace)
}

// testDrainAfterStaleList gives a router the stray, the true list, and then a drain under a number.
func testDrainAfterStaleList(t *testing.T, staleNumber, number uint32) {
	w := newRestartedCluster(t, staleNumber, (*cluster).bothReadyList)
	w.nameServer.Sent() // the stray has gone out before
	w.drainFirst(number)
	w.expectAvoids(fake.NewClient(t, w.addr), 0)
}

// testStaleListAlone gives a router the stray alone, and nothing after it. Known changes what it knows at its start.
func testStaleListAlone(t *testing.T, staleNumber uint32, changeConfig func(w *cluster)) {
	w := prepareCluster(t, 2, 1024)
	changeConfig(w)
	w.nameServer.Down(true)
	w.nameServer.Stray(staleNumber, w.bothReadyList()...)
	w.start()
	w.waitForLog(`"serving"`)
	w.nameServer.Down(false)
	w.waitForLog(fmt.Sprintf(`"list of engines","rev":%d`, staleNumber))
	w.nameServer.Down(true)
	w.expectAvoids(fake.NewClient(t, w.addr), 0)
}
