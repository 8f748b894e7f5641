package discovery

import (
	"fmt"
	"testing"

	"dunereach/admission"

	"pgregory.net/rapid"
)

// tell has a list answered as the name server does: servers by their names, those that drain with a "-" before.
func (f *Follower) tell(serial uint32, servers ...string) (fresh bool, err error) {
	lines := make([]string, len(servers))
	for k, name := range servers {
		priority := 0
		if name[0] == '-' {
			name, priority = name[1:], 1
		}
		lines[k] = fmt.Sprintf("s-%s.east %d 40 std 2 0 10.1.0.9:4100", name, priority)
	}
	return f.Answer(reply(question(f), serial, lines...))
}

// ready tells whether a server may be sent to.
func (f *Follower) ready(name string) bool {
	e, _, ok := f.used.find(f.numbers["s-"+name])
	return ok && e.State == admission.Ready
}

func (f *Follower) readyNames(names ...string) (ready string) {
	for _, name := range names {
		if f.ready(name) {
			ready += name
		}
	}
	return ready
}

// settled is a follower that has been told a list as often as it takes for it to be used.
func settled(serial uint32, servers ...string) *Follower {
	f := New([]string{"east"}, []string{"std"})
	for range grantAfter + 1 { // the first has none before it to agree with
		f.tell(serial, servers...)
	}
	return f
}

// TestClaims: what may be used after each answer.
func TestClaims(t *testing.T) {
	type answer struct {
		serial  uint32
		servers []string
		times   int
		until   string // servers that are ready after each time but the last
		want    string // and after that
	}
	ab, abDrains, abc := []string{"a", "b"}, []string{"a", "-b"}, []string{"a", "b", "c"}
	for name, answers := range map[string][]answer{
		"news: a drain at once, a new server by the last of some answers": {
			{2, []string{"a", "-b", "c"}, grantAfter, "a", "ac"}},
		"events one after the other: each answer speaks for all servers that it has": {
			{2, abc, 1, "", "ab"}, {3, abc, 1, "", "ab"}, {4, abc, 1, "", "ab"}, {5, []string{"a", "b", "c", "d"}, 1, "", "abc"},
			{6, []string{"a", "-b", "c", "d"}, 1, "", "ac"}},
		"a list of an earlier numbering, and the true one, which takes its place": {
			{9, ab, 1, "", "ab"}, {1, abDrains, outvoteNew, "a", "a"}, {1, abDrains, grantAfter, "a", "a"}, {2, ab, grantAfter, "a", "ab"}},
		"a list of an earlier numbering, and another under its number": {
			{9, ab, 1, "", "ab"}, {9, abDrains, outvoteNew, "a", "a"}, {10, abc, grantAfter, "a", "abc"}},
		"a list of an earlier numbering, and true ones that change": {
			{9, ab, 1, "", "ab"}, {2, abc, 1, "", "ab"}, {3, abc, 1, "", "ab"}, {4, []string{"a", "b", "c", "-d"}, 1, "", "ab"},
			{5, []string{"-a", "b", "c"}, 1, "", "bc"}},
		"stray and true in turn: the stray is not confirmed by its repetition": {
			{9, ab, 1, "", "ab"}, {1, abDrains, 1, "", "a"}, {9, ab, grantAfter - 1, "a", "a"}, {1, abDrains, 1, "", "a"}, {9, ab, 1, "", "a"},
			{1, abDrains, 1, "", "a"}},
		"an older list, once the one in hand is confirmed: nothing changes": {
			{5, abDrains, grantAfter, "a", "a"}, {4, ab, 20, "a", "a"}, {5, abDrains, 1, "", "a"}},
		"a name server that is behind for seconds, after a drain that one answer told": {
			{5, abDrains, 1, "", "a"}, {4, ab, 50, "a", "a"}, {5, abDrains, grantAfter, "a", "a"}, {6, ab, grantAfter, "a", "ab"}},
		"a server that comes back under its name": {
			{2, abDrains, grantAfter, "a", "a"}, {3, ab, grantAfter, "a", "ab"}},
		"an empty list under the same number takes nothing away": {
			{1, nil, 1, "", "ab"}, {1, ab, 1, "", "ab"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := settled(1, ab...)
			for k, a := range answers {
				for n := 1; n <= a.times; n++ {
					fresh, err := f.tell(a.serial, a.servers...)
					want := a.until
					if n == a.times {
						want = a.want
					}
					if got := f.readyNames("a", "b", "c", "d"); got != want {
						t.Fatalf("answer %d, time %d (%d %v; fresh %v, %v): ready %q, want %q", k, n, a.serial, a.servers, fresh, err, got, want)
					}
				}
			}
		})
	}
}

// TestOutvoted: a list that was confirmed holds against lower numbers, however long they go on, and against another list under its number
// for half a minute, in which only what both have is used.
func TestOutvoted(t *testing.T) {
	f := settled(9, "a", "b")
	for range 2 * outvoteConfirmed {
		if _, err := f.tell(1, "a", "-b"); err != errOlder || !f.ready("b") || !f.Unsettled() {
			t.Fatal(err, f.readyNames("a", "b"))
		}
	}
	for k := range outvoteConfirmed {
		_, err := f.tell(9, "a", "-b", "c")
		if (err == errReplaced) != (k == outvoteConfirmed-1) || f.readyNames("a", "b", "c") != "a" && err != errReplaced {
			t.Fatal(k, err, f.readyNames("a", "b", "c"))
		}
	}
	for range grantAfter - 1 {
		f.tell(9, "a", "-b", "c")
	}
	if f.readyNames("a", "b", "c") != "ac" {
		t.Errorf("ready %q", f.readyNames("a", "b", "c"))
	}
}

// TestRenewedOnStray: events of a renewed configuration that follow a stray don't give it the permission that it lacks.
func TestRenewedOnStray(t *testing.T) {
	f := settled(1, "a", "-b")
	f.tell(5, "a", "b")
	notice := Notice{Rev: 6}
	notice.Pool = &struct {
		All     bool     `json:"all"`
		Targets []Target `json:"targets"`
	}{Targets: []Target{{UID: "s-c", Endpoint: "10.1.0.9:4100", Zone: "east", Kind: "std", State: "draining"}}}
	if fresh, err := f.Start(Known{Rev: 6, Notices: []Notice{notice}}); !fresh || err != nil || f.Rev() != 6 {
		t.Fatal(fresh, err, f.Rev())
	}
	if got := f.readyNames("a", "b", "c"); got != "a" {
		t.Errorf("ready %q", got)
	}
}

// truth is the list of servers as it is, with the lists that it was and their numbers; numbering begins anew at each start.
type truth struct {
	lists    [][]string // of all times
	numbers  []uint32   // under which each was told when it was the newest
	number   uint32
	next     int             // name of the next server
	drained  map[string]bool // told by a true answer since the start of this follower
	servers  []string
	follower *Follower
}

func (w *truth) log() {
	w.lists, w.numbers = append(w.lists, append([]string(nil), w.servers...)), append(w.numbers, w.number)
}

// event changes the list: a server comes, or one drains, or one that drains goes.
func (w *truth) event(draw *rapid.T) {
	k := rapid.IntRange(0, len(w.servers)).Draw(draw, "server")
	switch {
	case k == len(w.servers):
		w.servers = append(w.servers, fmt.Sprint("n", w.next))
		w.next++
	case w.servers[k][0] == '-':
		w.servers = append(w.servers[:k:k], w.servers[k+1:]...)
	default:
		w.servers[k] = "-" + w.servers[k]
	}
	w.number++
	w.log()
}

// restart is a new follower that knows the list of now, and a numbering from 1.
func (w *truth) restart() {
	w.number, w.drained = 1, map[string]bool{}
	w.log()
	w.follower = settled(w.number, w.servers...) // as the configuration has it
	w.told()
}

// told notes what a true answer has told: whatever is not ready in it may not be sent to any more.
func (w *truth) told() {
	ready := map[string]bool{}
	for _, name := range w.servers {
		ready[name] = true
	}
	for n := range w.next {
		if name := fmt.Sprint("n", n); !ready[name] {
			w.drained[name] = true
		}
	}
}

// TestStraysAreHarmless: whatever changes, and however often the follower starts anew, lists of any earlier time, some in a row, have no server
// used again that a true answer told to drain or to be gone. And once strays cease the true list is used after a few answers.
func TestStraysAreHarmless(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		w := &truth{next: 2, servers: []string{"n0", "n1"}}
		w.restart()
		strays := 0 // in a row
		for range rapid.IntRange(1, 60).Draw(draw, "steps") {
			switch what := rapid.IntRange(0, 9).Draw(draw, "what"); {
			case what == 0:
				w.restart()
				strays = 0
			case what <= 2:
				w.event(draw)
			case what <= 5 && strays < grantAfter-1:
				k := rapid.IntRange(0, len(w.lists)-1).Draw(draw, "stray")
				w.follower.tell(w.numbers[k], w.lists[k]...)
				strays++
			default:
				w.follower.tell(w.number, w.servers...)
				w.told()
				strays = 0
			}
			for name := range w.drained {
				if w.follower.ready(name) {
					draw.Fatalf("%s is used", name)
				}
			}
		}
		const few = outvoteNew + 2*grantAfter
		for range few {
			w.follower.tell(w.number, w.servers...)
		}
		for _, name := range w.servers {
			if name[0] != '-' && !w.follower.ready(name) {
				draw.Fatalf("%s is not used after %d true answers", name, few)
			}
		}
	})
}
