package fairshare

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// Properties use the same seed in every run; `make explore` tries others.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// flatSpec returns a spec of teams t0, t1 and so on without groups. Tenant k belongs to team tk.
func flatSpec(weights ...float64) Spec {
	s := Spec{Default: "t0", Ageing: 0.05, TurnsForBypassed: true, MaxPriorityChanges: 20, ProtectSpilling: true}
	for k, w := range weights {
		s.Nodes = append(s.Nodes, Node{Name: fmt.Sprintf("t%d", k), Weight: w, Tenants: []int{k}})
	}
	return s
}

func newTree(t interface{ Fatal(...any) }, s Spec) *Tree {
	tree, err := New(s, 0)
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

// TestShares checks that teams which always have queued requests get work in proportion to their weights at every
// level, whatever the size of their requests.
func TestShares(t *testing.T) {
	s := Spec{Default: "c", Nodes: []Node{{Name: "org", Weight: 1}, {Name: "f", Under: "org", Weight: 3},
		{Name: "a", Under: "f", Weight: 1}, {Name: "b", Under: "f", Weight: 2}, {Name: "c", Under: "org", Weight: 1}}}
	tree := newTree(t, s)
	pool := newPool(tree, 8)
	sizes := []float64{0.1, 1, 3} // a, b, c
	for k := range 3 {
		for range 100 {
			pool.enqueueOne(k, 1, sizes[k])
		}
	}
	for pool.now < 2000 {
		pool.runToNextEnd()
		for k := range 3 {
			for queued := tree.QueuedRequests(k); queued < 50; queued++ {
				pool.enqueueOne(k, 1, sizes[k])
			}
		}
	}
	total := pool.doneWork[0] + pool.doneWork[1] + pool.doneWork[2]
	for k, want := range []float64{0.25, 0.5, 0.25} {
		if got := pool.doneWork[k] / total; math.Abs(got/want-1) > 0.01 {
			t.Errorf("team %d got %.4f of the work, its share is %.4f", k, got, want)
		}
	}
}

// TestSmallTeamWithLargeRequests checks that a small team with large requests does not get more than its share.
func TestSmallTeamWithLargeRequests(t *testing.T) {
	tree := newTree(t, flatSpec(0.05, 1))
	pool := newPool(tree, 4)
	for pool.now < 4000 {
		for k, work := range []float64{4, 0.5} {
			for queued := tree.QueuedRequests(k); queued < 20; queued++ {
				pool.enqueueOne(k, 1, work)
			}
		}
		pool.runToNextEnd()
	}
	if got, want := pool.doneWork[0]/(pool.doneWork[0]+pool.doneWork[1]), 0.05/1.05; math.Abs(got/want-1) > 0.1 {
		t.Errorf("a small team got %.4f of the work, its share is %.4f", got, want)
	}
}

// TestUnusedShareIsLent checks that the share of an idle team goes to the others by weight, and that the team gets it
// back once it has requests: the first one waits only until one thread becomes free, and from then on the team has its
// full share.
func TestUnusedShareIsLent(t *testing.T) {
	tree := newTree(t, flatSpec(1, 1, 2))
	pool := newPool(tree, 4)
	fillQueues := func(teams ...int) {
		for _, k := range teams {
			for queued := tree.QueuedRequests(k); queued < 20; queued++ {
				pool.enqueueOne(k, 1, 1)
			}
		}
	}
	for pool.now < 500 {
		fillQueues(0, 2)
		pool.runToNextEnd()
	}
	if got := pool.doneWork[2] / pool.doneWork[0]; math.Abs(got-2) > 0.05 {
		t.Errorf("the team of twice the weight got %.3f times the work of the other, want 2", got)
	}
	clear(pool.doneWork)
	from := pool.now
	first := pool.enqueueOne(1, 1, 1)
	for pool.now < from+4 {
		fillQueues(0, 1, 2)
		pool.runToNextEnd()
	}
	if got := pool.doneWork[1] / (pool.doneWork[0] + pool.doneWork[1] + pool.doneWork[2]); got > 0.5 {
		t.Errorf("a team that was idle got %.2f of the work for four seconds: it kept too much credit", got)
	}
	for pool.now < from+500 {
		fillQueues(0, 1, 2)
		pool.runToNextEnd()
	}
	if pool.waits[first] > 1 {
		t.Errorf("the first request of a team that was idle waited %.3f s, a thread became free after 1", pool.waits[first])
	}
	if total := pool.doneWork[0] + pool.doneWork[1] + pool.doneWork[2]; math.Abs(pool.doneWork[1]/total-0.25) > 0.01 {
		t.Errorf("the team that was idle got %.4f of the work afterwards, its share is 0.25", pool.doneWork[1]/total)
	}
}

// TestWaitBound checks the bound on the wait of a request whose team was within its share. In work of the pool, it is
// the work that the team itself has queued before divided by the team's share, plus one request of the largest size per
// other team and per thread. Goyal et al. prove the bound for one server; each thread adds one request that cannot be
// interrupted.
func TestWaitBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "teams")
		threads := rapid.IntRange(1, 6).Draw(t, "places")
		weights := rapid.SliceOfN(rapid.Float64Range(0.2, 5), n, n).Draw(t, "weights")
		// Credit is limited to ten seconds of full use. The largest requests of all teams together stay below that.
		sizes := rapid.SliceOfN(rapid.Float64Range(0.05, 10*float64(threads)/float64(n+1)), n, n).Draw(t, "sizes")
		var requests []int
		for range n {
			requests = append(requests, rapid.IntRange(1, 30).Draw(t, "commands"))
		}
		checkWaitBound(t, threads, weights, sizes, requests)
	})
}

// TestWaitBoundCases covers inputs that once violated the bound of TestWaitBound.
func TestWaitBoundCases(t *testing.T) {
	checkWaitBound(t, 1, []float64{1, 1}, []float64{1, 1}, []int{6, 1})
	checkWaitBound(t, 1, []float64{1, 1, 1, 1}, []float64{1, 1, 1.75, 0.5}, []int{1, 7, 7, 7})
}

func checkWaitBound(t rapid.TB, threads int, weights, sizes []float64, requests []int) {
	n := len(weights)
	tree := newTree(t, flatSpec(weights...))
	tree.Tick(0, float64(threads))
	pool := newPool(tree, threads)
	pool.freeThreads = 0 // all requests are queued before the first starts, so that every team is in use and within its share
	largest, sum := 0.0, 0.0
	for _, s := range sizes {
		largest = max(largest, s)
	}
	for _, w := range weights {
		sum += w
	}
	type queuedRequest struct {
		slot    int32
		maxWait float64
	}
	var all []queuedRequest
	for k := range n {
		for j := range requests[k] {
			slot := pool.enqueueOne(k, float64(j), sizes[k])
			own := float64(j+1) * sizes[k]
			all = append(all, queuedRequest{slot, (own*sum/weights[k] + float64(n+threads)*largest) / float64(threads)})
		}
	}
	pool.freeThreads = threads
	pool.startAttempts()
	for len(pool.attempts) > 0 {
		pool.runToNextEnd()
	}
	for _, q := range all {
		if pool.waits[q.slot] > q.maxWait+1e-9 {
			t.Fatalf("request %d waited %.3f s, the bound is %.3f", q.slot, pool.waits[q.slot], q.maxWait)
		}
	}
}

// TestActualWorkIsCharged checks that a team whose estimates are a tenth of the actual work does not get more of the
// pool for it.
func TestActualWorkIsCharged(t *testing.T) {
	tree := newTree(t, flatSpec(1, 1))
	pool := newPool(tree, 4)
	for pool.now < 1000 {
		for k, estimate := range []float64{0.1, 1} {
			for queued := tree.QueuedRequests(k); queued < 20; queued++ {
				pool.enqueue(1, request{team: k, estimate: estimate, work: 1, threads: 1}, 1e9)
			}
		}
		pool.runToNextEnd()
	}
	if got := pool.doneWork[0] / (pool.doneWork[0] + pool.doneWork[1]); math.Abs(got-0.5) > 0.02 {
		t.Errorf("a team whose estimates are a tenth of the work got %.3f of the work, its share is 0.5", got)
	}
}

// TestTurnForBypassedRequest checks that a request for two threads starts despite an endless stream of requests for one
// thread, each of which fits whenever a thread becomes free. Without turns it never starts.
func TestTurnForBypassedRequest(t *testing.T) {
	for _, turns := range []bool{true, false} {
		s := flatSpec(1, 1)
		s.TurnsForBypassed = turns
		tree := newTree(t, s)
		pool := newPool(tree, 4)
		fillQueue := func() {
			for queued := tree.QueuedRequests(1); queued < 20; queued++ {
				pool.enqueue(1, request{team: 1, estimate: 0.1 + float64(pool.nextSlot%7)/100, work: 0.1 + float64(pool.nextSlot%7)/100, threads: 1}, 1e9)
			}
		}
		for fillQueue(); pool.now < 1; fillQueue() {
			pool.runToNextEnd()
		}
		from := pool.now
		slot := pool.enqueue(1, request{estimate: 4, work: 4, threads: 2}, 4)
		for _, started := pool.waits[slot]; !started && pool.now < from+10; _, started = pool.waits[slot] {
			fillQueue()
			pool.runToNextEnd()
		}
		if wait, started := pool.waits[slot]; turns && (!started || wait > 2.5) || !turns && started {
			t.Errorf("turns %v: started %v after %.2f s", turns, started, wait)
		}
	}
}

// TestFloorAndCeiling checks that a floor takes precedence over weights, and that a ceiling holds even while threads
// are free.
func TestFloorAndCeiling(t *testing.T) {
	s := flatSpec(1, 99, 1)
	s.Nodes[0].Floor, s.Nodes[2].Ceiling = 0.3, 0.1
	tree := newTree(t, s)
	pool := newPool(tree, 8)
	fillQueues := func(teams ...int) {
		for _, k := range teams {
			for queued := tree.QueuedRequests(k); queued < 30; queued++ {
				pool.enqueueOne(k, 1, 0.5)
			}
		}
	}
	for pool.now < 400 {
		fillQueues(0, 1)
		pool.runToNextEnd()
	}
	if got := pool.doneWork[0] / (pool.doneWork[0] + pool.doneWork[1]); got < 0.28 || got > 0.33 {
		t.Errorf("a team of weight 1 in 100 with a floor of 0.3 got %.3f of the work", got)
	}
	tree = newTree(t, s)
	pool = newPool(tree, 8)
	for pool.now < 400 {
		fillQueues(2)
		pool.now += 0.1
		tree.Tick(pool.now, 8)
		for len(pool.attempts) > 0 && pool.attempts[0].endsAt <= pool.now {
			pool.runToNextEnd()
		}
		pool.startAttempts()
	}
	if got := pool.doneWork[2] / 400 / 8; math.Abs(got-0.1) > 0.01 {
		t.Errorf("a team with a ceiling of 0.1 got %.3f of an otherwise idle pool", got)
	}
}

// TestPriorityChanges checks that attempts of a team that uses all threads are lowered for a request of a team within
// its share that has used half its time: at most a tenth of the threads, and no more changes per second than
// configured. They are restored once no such request waits. An attempt that spills to disk is restored at the next
// tick.
func TestPriorityChanges(t *testing.T) {
	s := flatSpec(1, 1)
	s.MaxPriorityChanges = 4
	tree := newTree(t, s)
	for slot := range int32(40) {
		tree.AttemptStarted(0, slot, 0, 10, 1, true)
	}
	tree.Tick(0, 40)
	tree.Enqueue(0, 100, 1, 1, 1, 1, 2)
	changes := func(now float64) string { return fmt.Sprint(tree.Tick(now, 40)) }
	for _, c := range []struct {
		now    float64
		action func()
		want   string
	}{
		{0.5, nil, "[]"}, // less than half its time is over
		{1.0, nil, "[{0 true}]"},
		{1.05, nil, "[]"}, // only a quarter of a second's changes may be made at once
		{1.3, nil, "[{1 true}]"},
		{2, func() { tree.ReportProgress(0, 0.2, true) }, "[{0 false}]"},
		{2.3, nil, "[{2 true}]"},
		{3, func() { tree.Dequeue(100) }, "[]"},
		{3.4, nil, "[{1 false}]"}, // a second after the request last waited too long
		{3.7, nil, "[{2 false}]"},
		{9, nil, "[]"},
		{10, func() { // attempts whose priority cannot be changed, as when the settings define no priorities
			tree = newTree(t, s)
			for slot := range int32(40) {
				tree.AttemptStarted(10, slot, 0, 10, 1, false)
			}
			tree.Enqueue(10, 100, 1, 1, 1, 1, 12)
		}, "[]"},
		{11.5, nil, "[]"},
	} {
		if c.action != nil {
			c.action()
		}
		if got := changes(c.now); got != c.want {
			t.Errorf("at %v: changes %s, want %s", c.now, got, c.want)
		}
	}
}

// TestInvariants makes random calls on two trees and checks after each that the order is consistent, that no request is
// lost, that only nodes with queued requests are in an active list, that virtual times are numbers, and that equal
// calls give equal decisions.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		specs := []Spec{flatSpec(1, 2, 3), flatSpec(5, 1), {}, {Default: "t1", RequestMayNameTeam: true, TurnsForBypassed: true, MaxPriorityChanges: 5, Nodes: []Node{
			{Name: "x", Weight: 1, Floor: 0.2}, {Name: "t0", Under: "x", Weight: 2, Ceiling: 0.5, Floor: 0.1},
			{Name: "t1", Weight: 1, Burst: 3, Tenants: []int{0, 1}}}}}
		trees := [2]*Tree{newTree(t, specs[0]), newTree(t, specs[0])}
		now := 0.0
		state := map[int32]string{}
		steps := rapid.IntRange(1, 120).Draw(t, "steps")
		for range steps {
			now += rapid.Float64Range(0, 0.3).Draw(t, "pass")
			slot := int32(rapid.IntRange(0, 20).Draw(t, "at"))
			team := rapid.IntRange(0, trees[0].TeamCount()-1).Draw(t, "team")
			work := rapid.Float64Range(0.01, 50).Draw(t, "work")
			operation := rapid.SampledFrom([]string{"hold", "unhold", "send", "end", "refund", "keep", "tick", "renew", "note", "ask"}).Draw(t, "what")
			spec := specs[rapid.IntRange(0, len(specs)-1).Draw(t, "spec")]
			var decisions [2]string
			for k, tree := range trees {
				switch {
				case operation == "hold" && state[slot] == "":
					tree.Enqueue(now, slot, team, work, work, 1, now+2)
				case operation == "unhold":
					tree.Dequeue(slot)
				case operation == "send" && state[slot] != "out":
					tree.Dequeue(slot)
					tree.AttemptStarted(now, slot, team, work, 2, true)
				case operation == "end":
					tree.AttemptEnded(now, slot, work)
				case operation == "refund":
					tree.AttemptEnded(now, slot, 0)
				case operation == "keep":
					tree.AttemptEnded(now, slot, -1)
				case operation == "tick":
					decisions[k] = fmt.Sprint(tree.Tick(now, 20))
				case operation == "renew":
					if err := tree.Reconfigure(spec); err != nil {
						t.Fatal(err)
					}
				case operation == "note":
					tree.ReportProgress(slot, 0.4, work > 25)
				case operation == "ask":
					decisions[k] = fmt.Sprint(tree.WorkQueuedBefore(team, work), tree.MayStart(now, slot, team), tree.MayUseFastPath(team))
				}
			}
			switch {
			case operation == "hold" && state[slot] == "":
				state[slot] = "held"
			case operation == "unhold" && state[slot] == "held":
				delete(state, slot)
			case operation == "send":
				state[slot] = "out"
			case (operation == "end" || operation == "refund" || operation == "keep") && state[slot] == "out":
				delete(state, slot)
			}
			for k, tree := range trees {
				decisions[k] += checkInvariants(t, tree, state, now)
			}
			if decisions[0] != decisions[1] {
				t.Fatalf("equal calls gave different decisions:\n%s\n%s", decisions[0], decisions[1])
			}
		}
	})
}

// checkInvariants checks the state of a tree and returns the order of its queued requests.
func checkInvariants(t *rapid.T, tree *Tree, state map[int32]string, now float64) string {
	queuedCount, runningCount := 0, 0
	for _, s := range state {
		if s == "held" {
			queuedCount++
		} else {
			runningCount++
		}
	}
	if r := &tree.nodes[tree.root]; r.queued != queuedCount || r.inUse != queuedCount+runningCount || len(tree.running) != runningCount {
		t.Fatalf("%d queued, %d in use and %d running, want %d queued and %d running", r.queued, r.inUse, len(tree.running), queuedCount, runningCount)
	}
	for i := range tree.nodes {
		n := &tree.nodes[i]
		if (n.queued > 0 && int32(i) != tree.root) != (n.activeIndex >= 0) {
			t.Fatalf("node %d has %d queued requests and the active index %d", i, n.queued, n.activeIndex)
		}
		for k, c := range n.active {
			if tree.nodes[c].activeIndex != int32(k) || k > 0 && tree.precedes(c, n.active[k-1]) {
				t.Fatalf("the active list of node %d is out of order at %d", i, k)
			}
		}
		if n.inUse > 0 && int32(i) != tree.root {
			if distance := math.Abs(n.virtualTime-meanVirtualTime(&tree.nodes[n.parent])) / tree.virtualTimePerSecond(n.parent); math.IsNaN(distance) {
				t.Fatalf("the virtual time of node %d is %v s from the mean", i, distance)
			}
		}
	}
	order, seen := "", map[int32]bool{}
	for tree.StartWalk(now); ; {
		slot := tree.Next()
		if slot < 0 {
			break
		}
		if seen[slot] || state[slot] != "held" {
			t.Fatalf("the walk returned %d twice, or it is not queued", slot)
		}
		seen[slot] = true
		order += fmt.Sprint(" ", slot)
		tree.Skip(slot)
	}
	limited := false
	for i := range tree.nodes {
		limited = limited || tree.atCeiling(int32(i))
	}
	if len(seen) != queuedCount && !limited {
		t.Fatalf("the walk returned %d of %d queued requests", len(seen), queuedCount)
	}
	return order
}
