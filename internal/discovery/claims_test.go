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

// TestClaims: what may be used after each answer.
func TestClaims(t *testing.T) {
	type answer struct {
		serial  uint32
		servers []string
		want    string // servers that are ready then
	}
	ab, abDrains := []string{"a", "b"}, []string{"a", "-b"}
	abc := []string{"a", "b", "c"}
	for name, answers := range map[string][]answer{
		"news: a drain at once, a new server by the second answer": {
			{1, ab, "ab"}, {2, []string{"a", "-b", "c"}, "a"}, {2, []string{"a", "-b", "c"}, "ac"}},
		"events one after the other: each answer is the second one's word on what both have": {
			{2, abc, "ab"}, {3, []string{"a", "b", "c", "d"}, "abc"}, {4, []string{"a", "-b", "c", "d"}, "acd"}},
		"a list of an earlier numbering, and the true one: back after three": {
			{9, ab, "ab"}, {1, abDrains, "a"}, {1, abDrains, "a"}, {1, abDrains, "a"}, {1, ab, "a"}, {1, abDrains, "a"}, {2, ab, "a"}, {2, ab, "ab"}},
		"a list of an earlier numbering, and another under its number": {
			{9, ab, "ab"}, {9, abDrains, "a"}, {9, abDrains, "a"}, {9, abDrains, "a"}, {10, abc, "a"}, {10, abc, "abc"}},
		"a list of an earlier numbering, and true ones that change": {
			{9, ab, "ab"}, {2, abc, "ab"}, {3, []string{"a", "b", "c", "d"}, "ab"}, {4, []string{"-a", "b", "c", "d"}, "bcd"}},
		"stray and true in turn: the stray is not confirmed by its repetition": {
			{9, ab, "ab"}, {1, abDrains, "a"}, {9, ab, "a"}, {1, abDrains, "a"}, {9, ab, "a"}, {1, abDrains, "a"}},
		"an older list, once the one in hand is confirmed: nothing changes": {
			{5, abDrains, "a"}, {5, abDrains, "a"}, {4, ab, "a"}, {4, ab, "a"}, {5, abDrains, "a"}},
		"a server that comes back under its name is used by the second answer": {
			{2, abDrains, "a"}, {2, abDrains, "a"}, {3, ab, "a"}, {3, ab, "ab"}},
		"an empty list under the same number takes nothing away": {
			{1, nil, "ab"}, {1, ab, "ab"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := New([]string{"east"}, []string{"std"})
			f.tell(1, ab...)
			f.tell(1, ab...)
			for k, a := range answers {
				fresh, err := f.tell(a.serial, a.servers...)
				if got := f.readyNames("a", "b", "c", "d"); got != a.want {
					t.Fatalf("answer %d (%d %v; fresh %v, %v): ready %q, want %q", k, a.serial, a.servers, fresh, err, got, a.want)
				}
			}
		})
	}
}

// TestOutvoted: a list that was confirmed and that no answer tells any more is given up after a second of questions.
func TestOutvoted(t *testing.T) {
	f := New([]string{"east"}, []string{"std"})
	f.tell(9, "a", "b")
	f.tell(9, "a", "b")
	for k := range outvoteConfirmed {
		if !f.ready("b") {
			t.Fatalf("given up after %d answers", k)
		}
		if _, err := f.tell(1, "a", "-b"); (err == errReplaced) != (k == outvoteConfirmed-1) || !f.Unsettled() && err != errReplaced {
			t.Fatal(k, err)
		}
	}
	if f.ready("b") || f.Rev() != 1 {
		t.Errorf("ready %q at %d", f.readyNames("a", "b"), f.Rev())
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
	w.follower, w.number, w.drained = New([]string{"east"}, []string{"std"}), 1, map[string]bool{}
	w.log()
	for range 2 { // as the configuration has it
		w.follower.tell(w.number, w.servers...)
	}
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

// TestStraysAreHarmless: whatever changes, and however often the follower starts anew, lists of any earlier time between true answers, never
// the same one twice in a row, have no server used again that a true answer told to drain or to be gone. And once strays cease the true list
// is used after a few answers.
func TestStraysAreHarmless(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		w := &truth{next: 2, servers: []string{"n0", "n1"}}
		w.restart()
		strayed := false
		for range rapid.IntRange(1, 60).Draw(draw, "steps") {
			switch what := rapid.IntRange(0, 9).Draw(draw, "what"); {
			case what == 0:
				w.restart()
				strayed = false
			case what <= 2:
				w.event(draw)
			case what <= 4 && !strayed:
				k := rapid.IntRange(0, len(w.lists)-1).Draw(draw, "stray")
				w.follower.tell(w.numbers[k], w.lists[k]...)
				strayed = true
			default:
				w.follower.tell(w.number, w.servers...)
				w.told()
				strayed = false
			}
			for name := range w.drained {
				if w.follower.ready(name) {
					draw.Fatalf("%s is used", name)
				}
			}
		}
		const few = outvoteConfirmed + 2
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
