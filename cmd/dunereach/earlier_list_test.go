package main

import (
	"fmt"
	"testing"
	"time"

	"dunereach/internal/fake"
)

// The tests of this file guard against requests that run on a server which has been draining for a second or more, after a release
// that killed and restarted routers. Other routers had stopped using the server by then.
//
// Sequence of events:
//   - A router is killed and restarts. List events are numbered anew for it, from 1.
//   - An answer of the name server delivers a list from before the restart, with the number of that list: 3.
//   - The list changes; its number for this router is now 2, later 3.
//
// Cause: the router took the list with the highest number as the newest, regardless of the order of arrival. It skipped the answers
// numbered 1 and 2 as stale, and the one numbered 3 as a duplicate.
//
// Evidence from the log of a router in a replay, started at 4.22 s: at 5.12 s list 3 arrived with nine servers, one of them draining,
// followed by six answers with list 1, each logged as "an older list". At 9.02, 9.32, 9.62 and 9.92 s list 3 arrived with ten servers,
// two of them draining, and was skipped as a duplicate. Two of 44 routers were affected, both after such a first answer.

// listEntry is an entry of the name server's list. Priority 0 means ready, 1 draining.
func (w *cluster) listEntry(k, priority int) string {
	return fmt.Sprintf("s-%d.east %d 10 std 0 0 %s", k, priority, w.servers[k].Addr)
}

// newRestartedCluster returns a router with two servers that was killed and started again. The name server has the list that both
// processes know, but its next answer is the stale list.
func newRestartedCluster(t *testing.T, staleNumber uint32, staleList func(w *cluster) []string) *cluster {
	t.Helper()
	w := newCluster(t, 2)
	w.nameServer.SetList(3, w.listEntry(0, 0), w.listEntry(1, 0))
	w.waitForLog(`"list of engines","rev":3`)
	w.cmd.Process.Kill()
	w.cmd.Wait()
	w.nameServer.SetList(1, w.listEntry(0, 0), w.listEntry(1, 0))
	w.nameServer.QueueAnswer(staleNumber, staleList(w)...)
	w.start()
	w.waitForLog(`"serving"`)
	return w
}

// expectAvoids checks that no request reaches the given server, with ten concurrent requests in each round.
func (w *cluster) expectAvoids(c *fake.Client, server int) {
	w.t.Helper()
	const rounds, concurrent = 3, 10
	for range rounds {
		for range concurrent {
			w.request(c, "lookup", 30000, "SELECT 1")
		}
		for range concurrent {
			s := w.receive("fetch")
			if s.Server == w.servers[server] {
				w.t.Fatalf("server %d received a request", server)
			}
			s.Answer("served", "count=1", "x\t\t\n")
		}
	}
}

// TestListOfEarlierLife: a router received a list from before its start, with a higher number than those that follow. It must
// apply a drain as soon as the name server reports it, whatever the number of that event. The stale list alone must not lead to
// requests for a server that drains or is gone.
func TestListOfEarlierLife(t *testing.T) {
	const staleNumber = 3
	for name, number := range map[string]uint32{"lower number": staleNumber - 1, "same number": staleNumber, "higher number": staleNumber + 1} {
		t.Run(name, func(t *testing.T) { testDrainAfterStaleList(t, staleNumber, number) })
	}
	t.Run("a number that no other passes", func(t *testing.T) { testDrainAfterStaleList(t, 1<<32-1, 2) })
	t.Run("same number after an outage", func(t *testing.T) {
		w := newRestartedCluster(t, staleNumber, func(w *cluster) []string {
			w.nameServer.SetDown(true)
			return w.bothReadyList()
		})
		w.nameServer.SetDown(false)
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

// bothReadyList is the list with both servers ready.
func (w *cluster) bothReadyList() []string { return []string{w.listEntry(0, 0), w.listEntry(1, 0)} }

// drainFirst lets the name server report the drain of the first server under a list number, and waits for the end of the grace.
func (w *cluster) drainFirst(number uint32) {
	w.nameServer.SetList(number, w.listEntry(0, 1), w.listEntry(1, 0))
	w.nameServer.AwaitListSent()
	time.Sleep(grace)
}

// testDrainAfterStaleList gives a router the stale list, then the current list, then a drain under the given number.
func testDrainAfterStaleList(t *testing.T, staleNumber, number uint32) {
	w := newRestartedCluster(t, staleNumber, (*cluster).bothReadyList)
	w.nameServer.AwaitListSent() // the stale list was sent before this one
	w.drainFirst(number)
	w.expectAvoids(fake.NewClient(t, w.addr), 0)
}

// testStaleListAlone gives a router only the stale list. changeConfig changes the list that the router knows at its start.
func testStaleListAlone(t *testing.T, staleNumber uint32, changeConfig func(w *cluster)) {
	w := prepareCluster(t, 2, 1024)
	changeConfig(w)
	w.nameServer.SetDown(true)
	w.nameServer.QueueAnswer(staleNumber, w.bothReadyList()...)
	w.start()
	w.waitForLog(`"serving"`)
	w.nameServer.SetDown(false)
	w.waitForLog(fmt.Sprintf(`"list of engines","rev":%d`, staleNumber))
	w.nameServer.SetDown(true)
	w.expectAvoids(fake.NewClient(t, w.addr), 0)
}
