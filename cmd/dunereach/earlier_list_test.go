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

// server is an entry of the name server's list: priority 0 is ready, 1 draining.
func (w *town) server(k, priority int) string {
	return fmt.Sprintf("s-%d.east %d 10 std 0 0 %s", k, priority, w.engines[k].Addr)
}

// restarted is a router before two servers that has been killed and started again. The name server holds the list that both know, and
// its next answer is a stray.
func restarted(t *testing.T, number uint32, stray func(w *town) []string) *town {
	t.Helper()
	w := newTown(t, 2)
	w.names.Set(3, w.server(0, 0), w.server(1, 0))
	w.logged(`"list of engines","rev":3`)
	w.cmd.Process.Kill()
	w.cmd.Wait()
	w.names.Set(1, w.server(0, 0), w.server(1, 0))
	w.names.Stray(number, stray(w)...)
	w.start()
	w.logged(`"serving"`)
	return w
}

// avoids checks that requests, ten at a time, go to other servers than one.
func (w *town) avoids(c *fake.Client, server int) {
	w.t.Helper()
	const rounds, together = 3, 10
	for range rounds {
		for range together {
			w.call(c, "lookup", 30000, "SELECT 1")
		}
		for range together {
			s := w.hear("fetch")
			if s.Engine == w.engines[server] {
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
	const stray = 3
	for name, number := range map[string]uint32{"lower number": stray - 1, "same number": stray, "higher number": stray + 1} {
		t.Run(name, func(t *testing.T) { hearsOfDrain(t, stray, number) })
	}
	t.Run("a number that no other passes", func(t *testing.T) { hearsOfDrain(t, 1<<32-1, 2) })
	t.Run("same number after an outage", func(t *testing.T) {
		w := restarted(t, stray, func(w *town) []string {
			w.names.Down(true)
			return w.bothReady()
		})
		w.names.Down(false)
		w.logged(fmt.Sprintf(`"list of engines","rev":%d`, stray))
		w.drained(stray)
		w.avoids(fake.NewClient(t, w.addr), 0)
	})
	t.Run("allows nothing that drains", func(t *testing.T) {
		allowsNothing(t, stray, func(w *town) {
			w.rewrite(w.engines[0].Addr+`","az":"east","model":"std","state":"ready"`, w.engines[0].Addr+`","az":"east","model":"std","state":"draining"`)
		})
	})
	t.Run("allows nothing that is gone", func(t *testing.T) {
		allowsNothing(t, stray, func(w *town) {
			w.rewrite(fmt.Sprintf(`{"uid":"s-0","endpoint":"%s","az":"east","model":"std","state":"ready"},`, w.engines[0].Addr), "")
		})
	})
}

// bothReady is the list in which nothing drains.
func (w *town) bothReady() []string { return []string{w.server(0, 0), w.server(1, 0)} }

// drained has the name server tell under a number that the first server drains, and waits until the grace is over.
func (w *town) drained(number uint32) {
	w.names.Set(number, w.server(0, 1), w.server(1, 0))
	w.names.Sent()
	time.Sleep(grace)
}

// hearsOfDrain gives a router the stray, the true list, and then a drain under a number.
func hearsOfDrain(t *testing.T, stray, number uint32) {
	w := restarted(t, stray, (*town).bothReady)
	w.names.Sent() // the stray has gone out before
	w.drained(number)
	w.avoids(fake.NewClient(t, w.addr), 0)
}

// allowsNothing gives a router the stray alone, and nothing after it. Known changes what it knows at its start.
func allowsNothing(t *testing.T, stray uint32, known func(w *town)) {
	w := plan(t, 2, 1024)
	known(w)
	w.names.Down(true)
	w.names.Stray(stray, w.bothReady()...)
	w.start()
	w.logged(`"serving"`)
	w.names.Down(false)
	w.logged(fmt.Sprintf(`"list of engines","rev":%d`, stray))
	w.names.Down(true)
	w.avoids(fake.NewClient(t, w.addr), 0)
}
