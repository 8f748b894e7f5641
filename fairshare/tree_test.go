package fairshare

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// Properties are tried on the same cases every time; `make explore` tries others.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func flat(weights ...float64) Spec {
	s := Spec{Default: "t0", Ageing: 0.05, Turns: true, Changes: 20, GuardSpill: true}
	for k, w := range weights {
		s.Nodes = append(s.Nodes, Node{Name: fmt.Sprintf("t%d", k), Weight: w, Tenants: []int{k}})
	}
	return s
}

func must(t interface{ Fatal(...any) }, s Spec) *Tree {
	tree, err := New(s, 0)
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

// TestShares: teams that always ask get the work of their weights, whatever the sizes of their commands, at every level.
func TestShares(t *testing.T) {
	s := Spec{Default: "c", Nodes: []Node{{Name: "org", Weight: 1}, {Name: "f", Under: "org", Weight: 3},
		{Name: "a", Under: "f", Weight: 1}, {Name: "b", Under: "f", Weight: 2}, {Name: "c", Under: "org", Weight: 1}}}
	tree := must(t, s)
	p := newPool(tree, 8)
	sizes := []float64{0.1, 1, 3} // a, b, c
	for k := range 3 {
		for range 100 {
			p.hold(k, 1, sizes[k])
		}
	}
	for p.now < 2000 {
		p.step()
		for k := range 3 {
			for held := tree.Queued(k); held < 50; held++ {
				p.hold(k, 1, sizes[k])
			}
		}
	}
	all := p.done[0] + p.done[1] + p.done[2]
	for k, want := range []float64{0.25, 0.5, 0.25} {
		if got := p.done[k] / all; math.Abs(got/want-1) > 0.01 {
			t.Errorf("team %d had %.4f of the work, its budget is %.4f", k, got, want)
		}
	}
}

// TestSmall: a small team with large commands has no more than its part either.
func TestSmall(t *testing.T) {
	tree := must(t, flat(0.05, 1))
	p := newPool(tree, 4)
	for p.now < 4000 {
		for k, work := range []float64{4, 0.5} {
			for held := tree.Queued(k); held < 20; held++ {
				p.hold(k, 1, work)
			}
		}
		p.step()
	}
	if got, want := p.done[0]/(p.done[0]+p.done[1]), 0.05/1.05; math.Abs(got/want-1) > 0.1 {
		t.Errorf("a small team had %.4f of the work, its budget is %.4f", got, want)
	}
}

// TestLending: what a team leaves unused goes to the others by weight, and is its own again when it asks: its first
// command waits for one place to come free, and its share is whole from then on.
func TestLending(t *testing.T) {
	tree := must(t, flat(1, 1, 2))
	p := newPool(tree, 4)
	ask := func(teams ...int) {
		for _, k := range teams {
			for held := tree.Queued(k); held < 20; held++ {
				p.hold(k, 1, 1)
			}
		}
	}
	for p.now < 500 {
		ask(0, 2)
		p.step()
	}
	if got := p.done[2] / p.done[0]; math.Abs(got-2) > 0.05 {
		t.Errorf("lent %.3f to one of twice the weight, wanted 2", got)
	}
	clear(p.done)
	from := p.now
	first := p.hold(1, 1, 1)
	for p.now < from+4 {
		ask(0, 1, 2)
		p.step()
	}
	if got := p.done[1] / (p.done[0] + p.done[1] + p.done[2]); got > 0.5 {
		t.Errorf("a team that idled had %.2f of the work for four seconds: it hoards", got)
	}
	for p.now < from+500 {
		ask(0, 1, 2)
		p.step()
	}
	if p.waits[first] > 1 {
		t.Errorf("the first command of a team that idled waited %.3f s, a place came free after 1", p.waits[first])
	}
	if all := p.done[0] + p.done[1] + p.done[2]; math.Abs(p.done[1]/all-0.25) > 0.01 {
		t.Errorf("called back: %.4f of the work, its budget is 0.25", p.done[1]/all)
	}
}

// TestWaitBound: a command of a team that was inside its budget waits, in work of the pool, at most for what its own team
// has before it over the team's part, and one command of the largest size for each other team and each place. (Goyal et
// al. give it for one server; each place is one more command that can't be interrupted.)
func TestWaitBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "teams")
		places := rapid.IntRange(1, 6).Draw(t, "places")
		weights := rapid.SliceOfN(rapid.Float64Range(0.2, 5), n, n).Draw(t, "weights")
		// Credit ends at ten seconds of full use: the largest commands of all teams together are less.
		sizes := rapid.SliceOfN(rapid.Float64Range(0.05, 10*float64(places)/float64(n+1)), n, n).Draw(t, "sizes")
		var commands []int
		for range n {
			commands = append(commands, rapid.IntRange(1, 30).Draw(t, "commands"))
		}
		waitBound(t, places, weights, sizes, commands)
	})
}

// TestWaitBoundCases: what the property found once, each mended since.
func TestWaitBoundCases(t *testing.T) {
	waitBound(t, 1, []float64{1, 1}, []float64{1, 1}, []int{6, 1})
	waitBound(t, 1, []float64{1, 1, 1, 1}, []float64{1, 1, 1.75, 0.5}, []int{1, 7, 7, 7})
}

func waitBound(t rapid.TB, places int, weights, sizes []float64, commands []int) {
	n := len(weights)
	tree := must(t, flat(weights...))
	tree.Tick(0, float64(places))
	p := newPool(tree, places)
	p.free = 0 // all wait before the first goes, so that every team is in use and inside its budget
	largest, sum := 0.0, 0.0
	for _, s := range sizes {
		largest = max(largest, s)
	}
	for _, w := range weights {
		sum += w
	}
	type probe struct {
		at    int32
		bound float64
	}
	var probes []probe
	for k := range n {
		for j := range commands[k] {
			at := p.hold(k, float64(j), sizes[k])
			own := float64(j+1) * sizes[k]
			probes = append(probes, probe{at, (own*sum/weights[k] + float64(n+places)*largest) / float64(places)})
		}
	}
	p.free = places
	p.fill()
	for len(p.runs) > 0 {
		p.step()
	}
	for _, b := range probes {
		if p.waits[b.at] > b.bound+1e-9 {
			t.Fatalf("command %d waited %.3f s, the bound is %.3f", b.at, p.waits[b.at], b.bound)
		}
	}
}

// TestSettled: a team whose estimates are a tenth of the true work has no more of the pool for it.
func TestSettled(t *testing.T) {
	tree := must(t, flat(1, 1))
	p := newPool(tree, 4)
	for p.now < 1000 {
		for k, guess := range []float64{0.1, 1} {
			for held := tree.Queued(k); held < 20; held++ {
				p.ask(1, job{team: k, guess: guess, work: 1, threads: 1}, 1e9)
			}
		}
		p.step()
	}
	if got := p.done[0] / (p.done[0] + p.done[1]); math.Abs(got-0.5) > 0.02 {
		t.Errorf("a team that guesses a tenth had %.3f of the work, its budget is 0.5", got)
	}
}

// TestTurn: a command of two threads gets its places behind an endless flood of single ones, which find a place each time
// one comes free; without turns it never does.
func TestTurn(t *testing.T) {
	for _, turns := range []bool{true, false} {
		s := flat(1, 1)
		s.Turns = turns
		tree := must(t, s)
		p := newPool(tree, 4)
		flood := func() {
			for held := tree.Queued(1); held < 20; held++ {
				p.ask(1, job{team: 1, guess: 0.1 + float64(p.next%7)/100, work: 0.1 + float64(p.next%7)/100, threads: 1}, 1e9)
			}
		}
		for flood(); p.now < 1; flood() {
			p.step()
		}
		from := p.now
		at := p.ask(1, job{guess: 4, work: 4, threads: 2}, 4)
		for _, sent := p.waits[at]; !sent && p.now < from+10; _, sent = p.waits[at] {
			flood()
			p.step()
		}
		if wait, sent := p.waits[at]; turns && (!sent || wait > 2.5) || !turns && sent {
			t.Errorf("turns %v: sent %v after %.2f s", turns, sent, wait)
		}
	}
}

// TestFloorCeiling: a floor comes before all weights, a ceiling holds with places free.
func TestFloorCeiling(t *testing.T) {
	s := flat(1, 99, 1)
	s.Nodes[0].Floor, s.Nodes[2].Ceiling = 0.3, 0.1
	tree := must(t, s)
	p := newPool(tree, 8)
	ask := func(teams ...int) {
		for _, k := range teams {
			for held := tree.Queued(k); held < 30; held++ {
				p.hold(k, 1, 0.5)
			}
		}
	}
	for p.now < 400 {
		ask(0, 1)
		p.step()
	}
	if got := p.done[0] / (p.done[0] + p.done[1]); got < 0.28 || got > 0.33 {
		t.Errorf("a team of weight 1 in 100 with a floor of 0.3 had %.3f", got)
	}
	tree = must(t, s)
	p = newPool(tree, 8)
	for p.now < 400 {
		ask(2)
		p.now += 0.1
		tree.Tick(p.now, 8)
		for len(p.runs) > 0 && p.runs[0].until <= p.now {
			p.step()
		}
		p.fill()
	}
	if got := p.done[2] / 400 / 8; math.Abs(got-0.1) > 0.01 {
		t.Errorf("a team with a ceiling of 0.1 had %.3f of a pool that is otherwise free", got)
	}
}

// TestLevels: a team that fills the places steps back for one inside its budget that has used half its time, no more than
// a tenth of the threads and so many changes a second, and is raised when none waits; what spills is raised at once.
func TestLevels(t *testing.T) {
	s := flat(1, 1)
	s.Changes = 4
	tree := must(t, s)
	for at := range int32(40) {
		tree.AttemptStarted(0, at, 0, 10, 1, true)
	}
	tree.Tick(0, 40)
	tree.Enqueue(0, 100, 1, 1, 1, 1, 2)
	changes := func(now float64) string { return fmt.Sprint(tree.Tick(now, 40)) }
	for _, c := range []struct {
		now  float64
		what func()
		want string
	}{
		{0.5, nil, "[]"}, // not half its time yet
		{1.0, nil, "[{0 true}]"},
		{1.05, nil, "[]"}, // a quarter of a second's changes at once
		{1.3, nil, "[{1 true}]"},
		{2, func() { tree.Noted(0, 0.2, true) }, "[{0 false}]"},
		{2.3, nil, "[{2 true}]"},
		{3, func() { tree.Dequeue(100) }, "[]"},
		{3.4, nil, "[{1 false}]"}, // a second after the last that waited
		{3.7, nil, "[{2 false}]"},
		{9, nil, "[]"},
		{10, func() { // sends that can't be given another level, as where settings know none
			tree = must(t, s)
			for at := range int32(40) {
				tree.AttemptStarted(10, at, 0, 10, 1, false)
			}
			tree.Enqueue(10, 100, 1, 1, 1, 1, 12)
		}, "[]"},
		{11.5, nil, "[]"},
	} {
		if c.what != nil {
			c.what()
		}
		if got := changes(c.now); got != c.want {
			t.Errorf("at %v: %s, wanted %s", c.now, got, c.want)
		}
	}
}

// TestAccounts plays anything that a module may do and looks at what must always hold: the order is whole, nothing is
// lost, what is idle has no place, credit and debt are bounded, and equal calls come to equal decisions.
func TestAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		specs := []Spec{flat(1, 2, 3), flat(5, 1), {}, {Default: "t1", ByCall: true, Turns: true, Changes: 5, Nodes: []Node{
			{Name: "x", Weight: 1, Floor: 0.2}, {Name: "t0", Under: "x", Weight: 2, Ceiling: 0.5, Floor: 0.1},
			{Name: "t1", Weight: 1, Burst: 3, Tenants: []int{0, 1}}}}}
		two := [2]*Tree{must(t, specs[0]), must(t, specs[0])}
		now := 0.0
		state := map[int32]string{}
		steps := rapid.IntRange(1, 120).Draw(t, "steps")
		for range steps {
			now += rapid.Float64Range(0, 0.3).Draw(t, "pass")
			at := int32(rapid.IntRange(0, 20).Draw(t, "at"))
			team := rapid.IntRange(0, two[0].Teams()-1).Draw(t, "team")
			work := rapid.Float64Range(0.01, 50).Draw(t, "work")
			what := rapid.SampledFrom([]string{"hold", "unhold", "send", "end", "refund", "keep", "tick", "renew", "note", "ask"}).Draw(t, "what")
			spec := specs[rapid.IntRange(0, len(specs)-1).Draw(t, "spec")]
			var said [2]string
			for k, tree := range two {
				switch {
				case what == "hold" && state[at] == "":
					tree.Enqueue(now, at, team, work, work, 1, now+2)
				case what == "unhold":
					tree.Dequeue(at)
				case what == "send" && state[at] != "out":
					tree.Dequeue(at)
					tree.AttemptStarted(now, at, team, work, 2, true)
				case what == "end":
					tree.AttemptEnded(now, at, work)
				case what == "refund":
					tree.AttemptEnded(now, at, 0)
				case what == "keep":
					tree.AttemptEnded(now, at, -1)
				case what == "tick":
					said[k] = fmt.Sprint(tree.Tick(now, 20))
				case what == "renew":
					if err := tree.Reconfigure(spec); err != nil {
						t.Fatal(err)
					}
				case what == "note":
					tree.Noted(at, 0.4, work > 25)
				case what == "ask":
					said[k] = fmt.Sprint(tree.Ahead(team, work), tree.MayStart(now, at, team), tree.Lane(team))
				}
			}
			switch {
			case what == "hold" && state[at] == "":
				state[at] = "held"
			case what == "unhold" && state[at] == "held":
				delete(state, at)
			case what == "send":
				state[at] = "out"
			case (what == "end" || what == "refund" || what == "keep") && state[at] == "out":
				delete(state, at)
			}
			for k, tree := range two {
				said[k] += whole(t, tree, state, now)
			}
			if said[0] != said[1] {
				t.Fatalf("equal calls, other decisions:\n%s\n%s", said[0], said[1])
			}
		}
	})
}

// whole looks over a tree and prints the order that holds.
func whole(t *rapid.T, tree *Tree, state map[int32]string, now float64) string {
	held, out := 0, 0
	for _, s := range state {
		if s == "held" {
			held++
		} else {
			out++
		}
	}
	if r := &tree.nodes[tree.root]; r.queued != held || r.inUse != held+out || len(tree.running) != out {
		t.Fatalf("%d held, %d in use and %d out, wanted %d held and %d out", r.queued, r.inUse, len(tree.running), held, out)
	}
	for i := range tree.nodes {
		n := &tree.nodes[i]
		if (n.queued > 0 && int32(i) != tree.root) != (n.activeIndex >= 0) {
			t.Fatalf("node %d holds %d and has place %d", i, n.queued, n.activeIndex)
		}
		for k, c := range n.active {
			if tree.nodes[c].activeIndex != int32(k) || k > 0 && tree.precedes(c, n.active[k-1]) {
				t.Fatalf("order of node %d broken at %d", i, k)
			}
		}
		if n.inUse > 0 && int32(i) != tree.root {
			if far := math.Abs(n.virtualTime-meanVirtualTime(&tree.nodes[n.parent])) / tree.virtualTimePerSecond(n.parent); math.IsNaN(far) {
				t.Fatalf("node %d is %v s from the mean", i, far)
			}
		}
	}
	order, seen := "", map[int32]bool{}
	for tree.StartWalk(now); ; {
		at := tree.Next()
		if at < 0 {
			break
		}
		if seen[at] || state[at] != "held" {
			t.Fatalf("%d comes twice or is not held", at)
		}
		seen[at] = true
		order += fmt.Sprint(" ", at)
		tree.Skip(at)
	}
	stopped := false
	for i := range tree.nodes {
		stopped = stopped || tree.atCeiling(int32(i))
	}
	if len(seen) != held && !stopped {
		t.Fatalf("the walk brings %d of %d", len(seen), held)
	}
	return order
}
